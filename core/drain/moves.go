package drain

import (
	"cmp"
	"slices"
	"time"

	"fulmarcourse.example/core/structs"
)

// Job is a job whose home shard is in the data centre that is being drained.
type Job struct {
	ID      structs.JobID
	Urgent  bool
	Running int // tasks with an attempt that is not confirmed as ended
	Pending int // tasks waiting to be started
}

// JobsToMove returns the jobs to assign to another home shard now, as far as the write budget allows. A job is moved
// when none of its tasks runs in the data centre any more: its former and its new owner must never both track a running
// task. Urgent jobs come first, then those with the most pending tasks; jobs without pending tasks stay.
func (d *Drainer) JobsToMove(now time.Time, jobs []Job) []structs.JobID {
	var ready []Job
	for _, j := range jobs {
		if j.Running == 0 && j.Pending > 0 {
			ready = append(ready, j)
		}
	}
	slices.SortFunc(ready, func(a, b Job) int {
		return cmp.Or(-compareBool(a.Urgent, b.Urgent), cmp.Compare(b.Pending, a.Pending), cmp.Compare(a.ID, b.ID))
	})
	var moves []structs.JobID
	for _, j := range ready {
		if !d.writes.Take(1, now) {
			break
		}
		moves = append(moves, j.ID)
	}
	return moves
}
