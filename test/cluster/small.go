package cluster

import (
	"fmt"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/standin"
)

// SmallService is the service of SmallDocument.
const SmallService = structs.ServiceName("quotes")

// probeDeadline is the deadline of the requests with which AwaitServing tests the routes.
const probeDeadline = 5 * time.Second

// SmallDocument allows all kinds of work in the three data centres of Small.
const SmallDocument = `[environment]
name = production

[datacentre a]
batch = yes
[datacentre b]
batch = yes
[datacentre c]
batch = yes

[service quotes]
datacentres = a, b, c

[kind quote]
class = latency-critical
service = quotes
idempotent = no
deadline = 2s

[kind preview]
class = latency-critical
service = quotes
idempotent = yes
deadline = 2s

[kind trace]
class = batch
idempotent = yes
checkpointable = yes
cpu = 2
memory = 4GiB
run-time = 5s

[kind template]
class = batch
idempotent = no
checkpointable = no
cpu = 1
memory = 1GiB
run-time = 5s

[team gilders]
cpu = 64
memory = 256GiB
urgent = yes

[team cutters]
cpu = 64
memory = 256GiB
`

// Small returns the configuration of a cluster of three data centres with two entry hosts, two workers and two runners
// each.
func Small() Config {
	dc := func(id structs.DatacentreID) Datacentre {
		return Datacentre{ID: id, EntryHosts: 2, Racks: 2, WorkersPerRack: 1, RunnersPerRack: 1}
	}
	return Config{
		Datacentres: []Datacentre{dc("a"), dc("b"), dc("c")},
		Document:    SmallDocument,
		Service:     SmallService,
		Worker: standin.WorkerConfig{
			Capacity: structs.Resources{MilliCPU: 16_000, MemoryBytes: 60 << 30, Accelerators: 2},
		},
		Runner: standin.RunnerConfig{
			ServiceTime: map[structs.KindName]time.Duration{"quote": 20 * time.Millisecond, "preview": 20 * time.Millisecond},
		},
		LinkDelay: 5 * time.Millisecond,
		Seed:      1,
	}
}

// AwaitServing waits until every entry host answers requests of an idempotent kind.
func (c *Cluster) AwaitServing(service structs.ServiceName, kind structs.KindName) {
	c.t.Helper()
	for _, id := range c.order {
		c.Await("requests through "+string(id)+" are answered", func() bool {
			probe := Call{Service: service, Kind: kind, Deadline: probeDeadline, Body: "probe"}
			return Send(c.Entry(id).HTTP, probe).Outcome == structs.Answered
		})
	}
}

// SubmitSampleJobs submits a job of four traces and one of four templates through every entry host and
// returns their ids.
func (c *Cluster) SubmitSampleJobs(runSeconds float64) []structs.JobID {
	c.t.Helper()
	var ids []structs.JobID
	for i, host := range c.order {
		for _, kind := range []structs.KindName{"trace", "template"} {
			spec := structs.JobSpec{Team: "cutters", Kind: kind, Tasks: 4, RunSeconds: runSeconds, Key: fmt.Sprint(kind, i)}
			record, status := SubmitJob(c.Entry(host).HTTP, spec)
			if status >= 300 || record.ID == "" {
				c.t.Fatalf("submission of %s through %s: status %d", kind, host, status)
			}
			ids = append(ids, record.ID)
		}
	}
	return ids
}
