package placement

import (
	"slices"

	"fulmarcourse.example/core/placement/learn"
	"fulmarcourse.example/core/structs"
)

// Totals sums up a snapshot for the shard's digest and its quotas.
type Totals struct {
	Capacity structs.Resources // of the workers that take tasks
	Free     structs.Resources // unreserved capacity of these workers
	Largest  structs.Resources // capacity of the largest of these workers, each dimension by itself
	Workers  int               // number of these workers
}

// Totals returns the sums over the workers that take ordinary tasks. Workers that are committed beyond their
// capacity count as full.
func (s Snapshot) Totals() Totals {
	var t Totals
	for _, n := range s.Nodes {
		if n.Leaving || n.Quarantined {
			continue
		}
		free := n.Free()
		t.Workers++
		t.Capacity = t.Capacity.Add(n.Capacity)
		t.Free = t.Free.Add(structs.Resources{
			MilliCPU: max(free.MilliCPU, 0), MemoryBytes: max(free.MemoryBytes, 0), Accelerators: max(free.Accelerators, 0),
		})
		t.Largest = structs.Resources{
			MilliCPU:     max(t.Largest.MilliCPU, n.Capacity.MilliCPU),
			MemoryBytes:  max(t.Largest.MemoryBytes, n.Capacity.MemoryBytes),
			Accelerators: max(t.Largest.Accelerators, n.Capacity.Accelerators),
		}
	}
	return t
}

// Advertise returns the free capacity to report in a digest while a data centre returns: share is that of
// drain.Ramp, and keeps other hosts from sending all waiting jobs at once.
func (t Totals) Advertise(share float64) structs.Resources {
	return structs.Resources{
		MilliCPU:     int64(float64(t.Free.MilliCPU) * share),
		MemoryBytes:  int64(float64(t.Free.MemoryBytes) * share),
		Accelerators: int64(float64(t.Free.Accelerators) * share),
	}
}

// RecordColocations notes in history which workers run other kinds together than in the previous snapshot. The
// owner calls it for each snapshot, so that late measurements find the co-location of their time.
func RecordColocations(history *learn.History, previous, current Snapshot) {
	before := make(map[structs.HostID]*Node, len(previous.Nodes))
	for _, n := range previous.Nodes {
		before[n.Host] = n
	}
	for _, n := range current.Nodes {
		old := before[n.Host]
		delete(before, n.Host)
		if old == nil || (old != n && !slices.Equal(old.Kinds, n.Kinds)) {
			history.Record(n.Host, current.Now, n.Kinds)
		}
	}
	for host := range before {
		history.Forget(host)
	}
}
