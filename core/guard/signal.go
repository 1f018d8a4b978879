package guard

import (
	"time"

	"fulmarcourse.example/core/structs"
)

// CheckpointLoss is the work that a task loses although it takes a checkpoint before it is evicted: what it does
// between the checkpoint and its end.
const CheckpointLoss = 5 * time.Second

// SignalOf builds the signal of a worker from its inventory. latency is the worst ratio of tail latency to target
// of the services on the worker, 0 if there are none; urgent tells which tasks are urgent. Usage of the worker is
// the sum over its tasks, and its age that of the newest measurement: one task whose measurements have stopped must
// not keep the whole worker from being protected.
func SignalOf(host structs.Host, inventory structs.Inventory, kinds map[structs.KindName]structs.Kind, latency float64, urgent func(structs.TaskID) bool) HostSignal {
	signal := HostSignal{Host: host.ID, Capacity: host.Capacity, Latency: latency}
	signal.Age = MaxSignalAge + 1 // until a task has been measured
	for _, t := range inventory.Tasks {
		if t.State != structs.OnWorkerRunning {
			continue
		}
		kind := kinds[t.Kind] // a kind that is no longer in the document counts as one that cannot be stopped
		signal.Usage = signal.Usage.Add(t.Usage)
		if t.Usage != (structs.Resources{}) {
			signal.Age = min(signal.Age, t.UsageAge)
		}
		signal.Tasks = append(signal.Tasks, TaskSignal{
			Task: t.Task, Attempt: t.Attempt, Usage: t.Usage, Reserved: t.Reserved, Throttle: t.Throttle,
			Urgent: urgent(t.Task), Checkpointable: kind.Checkpointable, Idempotent: kind.Idempotent, Lost: lostWork(kind, t.RanFor),
		})
	}
	return signal
}

// lostWork returns the work that is lost when a task that has run for ranFor is evicted.
func lostWork(kind structs.Kind, ranFor time.Duration) time.Duration {
	if kind.Checkpointable {
		return min(CheckpointLoss, ranFor)
	}
	return ranFor
}
