package guard

import (
	"time"

	"fulmarcourse.example/core/structs"
)

// naive evicts the largest task of every worker whose latest measurement is above a threshold. It is the baseline.
type naive struct{}

// NewNaive returns the baseline policy.
func NewNaive() Policy { return naive{} }

// Name returns "naive".
func (naive) Name() string { return "naive" }

// Step implements Policy.
func (naive) Step(_ time.Time, hosts []HostSignal) []Action {
	var actions []Action
	for i := range hosts {
		h := &hosts[i]
		if share(h.Usage.MilliCPU, h.Capacity.MilliCPU) < ThrottleCPU && h.Latency < ThrottleLatency &&
			share(h.Usage.MemoryBytes, h.Capacity.MemoryBytes) < EvictMemory {
			continue
		}
		var largest *TaskSignal
		for j := range h.Tasks {
			t := &h.Tasks[j]
			if t.evictable() && (largest == nil || t.Usage.MilliCPU > largest.Usage.MilliCPU) {
				largest = t
			}
		}
		if largest != nil {
			actions = append(actions, evict(h.Host, largest, "pressure"))
		}
	}
	return actions
}

func evict(host structs.HostID, t *TaskSignal, reason string) Action {
	return Action{Kind: Evict, Host: host, Task: t.Task, Attempt: t.Attempt, Reason: reason}
}

// share returns used as a share of capacity.
func share(used, capacity int64) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(used) / float64(capacity)
}
