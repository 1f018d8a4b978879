package node

import (
	"math/rand/v2"
	"sync"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/jobs"
)

// capacity implements jobs.Capacity from the host list.
type capacity struct {
	hosts *hostTable
}

// Largest returns the maximum worker capacity of each data centre. The maxima of the dimensions may be those of
// different workers.
func (c capacity) Largest() map[structs.DatacentreID]structs.Resources {
	largest := map[structs.DatacentreID]structs.Resources{}
	for _, host := range c.hosts.all() {
		if host.Role != structs.RoleWorker {
			continue
		}
		old := largest[host.Datacentre]
		largest[host.Datacentre] = structs.Resources{
			MilliCPU:     max(old.MilliCPU, host.Capacity.MilliCPU),
			MemoryBytes:  max(old.MemoryBytes, host.Capacity.MemoryBytes),
			Accelerators: max(old.Accelerators, host.Capacity.Accelerators),
		}
	}
	return largest
}

// homeChooser implements shard.Homes. Unless the job's data centre is out of service, it chooses only shards that can
// start one of the job's tasks now.
type homeChooser struct {
	directory *directory
	documents documents

	mu  sync.Mutex // guards rnd
	rnd *rand.Rand
}

func newHomeChooser(d *directory, docs documents, seed uint64) *homeChooser {
	return &homeChooser{directory: d, documents: docs, rnd: rand.New(rand.NewPCG(seed, 1))}
}

// ChooseHome implements shard.Homes. A shard qualifies if its data centre is in service and allows batch work, it has
// free capacity for one task of the job and it has no pending tasks; the last two conditions keep jobs from moving back
// and forth between full shards. They do not apply to a job whose current data centre is out of service.
func (h *homeChooser) ChooseHome(record structs.JobRecord, exclude structs.ShardID) (structs.ShardID, bool) {
	document, _, ok := h.documents.Document()
	if !ok {
		return structs.ShardID{}, false
	}
	size := jobs.DeclaredSize(document, record.Spec)
	outOfService := h.documents.Datacentre(exclude.Datacentre) == structs.DatacentreOut
	var candidates []jobs.HomeCandidate
	for _, c := range h.directory.Candidates() {
		hasCapacity := c.Digest.Pending == 0 && size.Fits(c.Digest.Free)
		if c.Digest.Shard == exclude || c.State == structs.DatacentreOut || !c.BatchAllowed || (!outOfService && !hasCapacity) {
			continue
		}
		candidates = append(candidates, c)
	}
	demand := jobs.HomeDemand{Size: size, Tasks: record.Pending(), PreferredDatacentre: exclude.Datacentre}
	h.mu.Lock()
	defer h.mu.Unlock()
	return jobs.TwoChoiceHome(candidates, demand, h.rnd)
}
