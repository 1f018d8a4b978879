// Package drain decides in which order and how fast tasks are moved out of a data centre that was taken out of service,
// and how fast task starts resume in one that is back in service. It is pure: tasks and the time are arguments, and the
// shard owner applies the steps under its own lock.
//
// A drain has three budgets: the time until the tasks must have left, the bytes per second of checkpoints on the links
// between data centres, and the store writes per second. Within them it prefers to stop tasks that lose little work and
// would have to be stopped anyway, and does not stop tasks that finish sooner than they could be moved.
package drain

import (
	"cmp"
	"slices"
	"time"

	"fulmarcourse.example/core/internal/bucket"
	"fulmarcourse.example/core/structs"
)

// Thresholds of a drain.
const (
	// DrainLimit is the time after which all tasks that can be stopped must have left.
	DrainLimit = 10 * time.Minute
	// LinkBytesPerSecond is the budget of a shard for checkpoints that leave the data centre. Links between data
	// centres cost more than others; 50 MB/s is 0.4 Gbit/s.
	LinkBytesPerSecond = 50e6
	// LinkBurst is the burst of the link budget, in seconds of its rate.
	LinkBurst = 2.0
	// WritesPerSecond is the budget of a shard for the store writes of a drain: each stopped task and each moved job is
	// one write. The store handles several hundred writes/s in total.
	WritesPerSecond = 20.0
	// LostStep is the precision with which lost work is compared; among tasks within the same step, the longest
	// remaining time comes first.
	LostStep = 10 * time.Second
	// CheckpointLoss is the work that a task loses even if it takes a checkpoint before it is stopped: the work between
	// the checkpoint and the stop.
	CheckpointLoss = 5 * time.Second
	// RestartCost is the cost of stopping and resuming a task in addition to the lost work. A task that would finish
	// within this time is not worth moving.
	RestartCost = 20 * time.Second
)

// Task is a task that runs in the data centre.
type Task struct {
	ID              structs.TaskID
	Checkpointable  bool
	Idempotent      bool
	LostWork        time.Duration // work lost if it is stopped now, after a checkpoint if it supports checkpoints
	Remaining       time.Duration // expected remaining run time; 0 if unknown
	CheckpointBytes int64         // size of a checkpoint; 0 if unknown
	Stopping        bool          // a stop is already in progress
}

// stoppable reports whether the task can be resumed or repeated elsewhere.
func (t *Task) stoppable() bool { return t.Checkpointable || t.Idempotent }

// finishesWithin reports whether the task is expected to finish within d.
func (t *Task) finishesWithin(d time.Duration) bool { return t.Remaining > 0 && t.Remaining <= d }

// Step is the decision for all tasks at one time.
type Step struct {
	Stop    []structs.TaskID // checkpoint if the task supports it, then stop; in this order
	Finish  []structs.TaskID // left to run to completion
	Waiting []structs.TaskID // to be stopped when the budgets allow it
	Overdue []structs.TaskID // past the limit, and neither resumable nor repeatable; operators have to decide
}

// Limits are the budgets of one drain.
type Limits struct {
	Duration        time.Duration // see DrainLimit
	BytesPerSecond  float64       // of checkpoints that leave the data centre
	WritesPerSecond float64       // store writes
}

// DefaultLimits returns the budgets defined in this package.
func DefaultLimits() Limits { return Limits{DrainLimit, LinkBytesPerSecond, WritesPerSecond} }

// Drainer plans the drain of one shard. It is not safe for concurrent use.
type Drainer struct {
	limits   Limits
	deadline time.Time
	link     *bucket.Bucket // checkpoint bytes
	writes   *bucket.Bucket // store writes
}

// NewDrainer returns a Drainer for a drain that begins at now.
func NewDrainer(limits Limits, now time.Time) *Drainer {
	return &Drainer{
		limits: limits, deadline: now.Add(limits.Duration),
		link:   bucket.New(limits.BytesPerSecond, limits.BytesPerSecond*LinkBurst, now),
		writes: bucket.New(limits.WritesPerSecond, max(1, limits.WritesPerSecond), now),
	}
}

// Step selects the tasks to stop now. The owner calls it about once a second with the tasks that are still running.
//
// Checkpointable tasks are stopped first, as far as the budgets allow, those with the least lost work and then those
// with the longest remaining time first. Those that are expected to finish before their turn are left to finish. Tasks
// that restart from the beginning elsewhere come next, unless they are expected to finish within the limit. Tasks that
// can be neither resumed nor repeated are never stopped.
func (d *Drainer) Step(now time.Time, tasks []Task) Step {
	var step Step
	left := max(0, d.deadline.Sub(now))
	queue := d.candidates(&step, tasks, left)
	var queuedBytes float64 // checkpoint bytes of the tasks earlier in the queue
	linkFree := true
	for _, t := range queue {
		delay := time.Duration(queuedBytes / d.limits.BytesPerSecond * float64(time.Second))
		checkpointBytes := float64(t.CheckpointBytes)
		if !t.Checkpointable {
			delay, checkpointBytes = left, 0
		}
		if t.finishesWithin(min(delay+RestartCost, left)) {
			step.Finish = append(step.Finish, t.ID)
			continue
		}
		queuedBytes += checkpointBytes
		if t.Checkpointable {
			linkFree = linkFree && d.link.Ready(now)
		}
		if (t.Checkpointable && !linkFree) || !d.writes.Take(1, now) {
			step.Waiting = append(step.Waiting, t.ID)
			continue
		}
		d.link.Take(checkpointBytes, now)
		step.Stop = append(step.Stop, t.ID)
	}
	return step
}

// candidates returns the tasks that may be stopped, in the order of stopping, and adds the others to step.
func (d *Drainer) candidates(step *Step, tasks []Task, left time.Duration) []*Task {
	var queue []*Task
	for i := range tasks {
		t := &tasks[i]
		switch {
		case t.Stopping:
		case t.stoppable():
			queue = append(queue, t)
		case left > 0:
			step.Finish = append(step.Finish, t.ID)
		default:
			step.Overdue = append(step.Overdue, t.ID)
		}
	}
	slices.SortFunc(queue, compareStopOrder)
	return queue
}

// compareStopOrder orders tasks by the benefit of stopping them early.
func compareStopOrder(a, b *Task) int {
	return cmp.Or(
		-compareBool(a.Checkpointable, b.Checkpointable),
		cmp.Compare(a.LostWork/LostStep, b.LostWork/LostStep),
		-cmp.Compare(a.remainingOrMax(), b.remainingOrMax()),
		compareID(a.ID, b.ID))
}

// remainingOrMax returns the expected remaining time, or the longest duration if it is unknown.
func (t *Task) remainingOrMax() time.Duration {
	if t.Remaining <= 0 {
		return 1<<63 - 1
	}
	return t.Remaining
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func compareID(a, b structs.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
}

// NaiveStep stops all tasks that can be stopped at once, ordered by ID. It is the baseline for Drainer.
func NaiveStep(tasks []Task) Step {
	var step Step
	for i := range tasks {
		if t := &tasks[i]; !t.Stopping && t.stoppable() {
			step.Stop = append(step.Stop, t.ID)
		}
	}
	slices.SortFunc(step.Stop, compareID)
	return step
}
