package drain

import (
	"cmp"
	"slices"
	"time"

	"fulmarcourse.example/core/structs"
)

// Job is a job whose home is in the data centre that is drained.
type Job struct {
	ID      structs.JobID
	Urgent  bool
	Running int // tasks with an attempt that has not certainly ended
	Pending int // tasks that wait for a start
}

// JobsToMove returns the jobs to give another home shard now, as far as the write budget allows. A job moves when none
// of its tasks runs in the data centre any more: its former and its new owner must never both know of a running
// task. Urgent jobs go first, then those with the most waiting tasks; jobs without waiting tasks stay.
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
