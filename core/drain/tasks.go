package drain

import (
	"time"

	"fulmarcourse.example/core/structs"
)

// CheckpointLoss is the work that a task loses although it takes a checkpoint before it is stopped: what it does
// between the checkpoint and its end.
const CheckpointLoss = 5 * time.Second

// Estimates is what the owner knows about a running task beyond its inventory.
type Estimates interface {
	// Remaining returns the expected time until the task is done, 0 if not known.
	Remaining(task structs.WorkerTask) time.Duration
	// CheckpointBytes returns the size of a checkpoint of a kind, 0 if not known.
	CheckpointBytes(kind structs.KindName) int64
	// Stopping reports whether a stop is already in progress.
	Stopping(task structs.TaskID) bool
}

// TasksOf returns the running tasks of inventories for Step. A task of a kind that is no longer in the document
// counts as one that can be neither resumed nor repeated.
func TasksOf(inventories []structs.Inventory, kinds map[structs.KindName]structs.Kind, known Estimates) []Task {
	var tasks []Task
	for _, inventory := range inventories {
		for _, t := range inventory.Tasks {
			if t.State != structs.OnWorkerRunning {
				continue
			}
			kind := kinds[t.Kind]
			task := Task{
				ID: t.Task, Checkpointable: kind.Checkpointable, Idempotent: kind.Idempotent, Lost: t.RanFor,
				Remaining: known.Remaining(t), Stopping: known.Stopping(t.Task),
			}
			if kind.Checkpointable {
				task.Lost = min(CheckpointLoss, t.RanFor)
				task.CheckpointBytes = known.CheckpointBytes(t.Kind)
			}
			tasks = append(tasks, task)
		}
	}
	return tasks
}
