// Package drain decides in which order and how fast work leaves a data centre that was taken out of service, and
// how work returns to one that is back. It is pure: tasks and the time are arguments, and the shard owner applies
// the steps under its own lock.
//
// A drain keeps to three budgets: the time until work must have left, the bytes per second of checkpoints on the
// links between data centres, and the store writes per second. Within them it prefers stops that lose little work
// and would otherwise have to come anyway, and leaves tasks alone that finish sooner than they could be moved.
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
	// DrainLimit is the time after which work that can be stopped must have left.
	DrainLimit = 10 * time.Minute
	// LinkBytesPerSecond is the budget of a shard for checkpoints that leave the data centre. Links between data
	// centres cost more than usual; 50 MB/s is 0.4 Gbit/s.
	LinkBytesPerSecond = 50e6
	// LinkBurst is how many seconds of the link budget may be used at once.
	LinkBurst = 2.0
	// WritesPerSecond is the budget of a shard for store writes of a drain: each stopped task and each moved job
	// is one change. The store takes several hundred writes/s for everything.
	WritesPerSecond = 20.0
	// LostStep is the precision with which lost work is compared; within it the longest remaining time decides.
	LostStep = 10 * time.Second
	// CheckpointLoss is the work that a task loses although it takes a checkpoint before it is stopped: what it does
	// between the checkpoint and its end.
	CheckpointLoss = 5 * time.Second
	// RestartCost is what stopping and resuming a task costs besides the work it loses. A task that would finish
	// within it is not worth moving.
	RestartCost = 20 * time.Second
)

// Task is a task that runs in the data centre.
type Task struct {
	ID              structs.TaskID
	Checkpointable  bool
	Idempotent      bool
	LostWork        time.Duration // work that is lost when it is stopped now, after a checkpoint if it can take one
	Remaining       time.Duration // expected time until it is done; 0 if not known
	CheckpointBytes int64         // size of a checkpoint; 0 if not known
	Stopping        bool          // a stop is already in progress
}

// stoppable reports whether the task can be resumed or repeated elsewhere.
func (t *Task) stoppable() bool { return t.Checkpointable || t.Idempotent }

// finishesWithin reports whether the task is expected to be done within d.
func (t *Task) finishesWithin(d time.Duration) bool { return t.Remaining > 0 && t.Remaining <= d }

// Step is what to do now.
type Step struct {
	Stop    []structs.TaskID // checkpoint if the task can, then stop; in this order
	Finish  []structs.TaskID // left to run until they are done
	Waiting []structs.TaskID // to be stopped when the budgets allow
	Overdue []structs.TaskID // past the limit, and can be neither resumed nor repeated; operators have to decide
}

// Limits are the budgets of one drain.
type Limits struct {
	Duration        time.Duration
	BytesPerSecond  float64
	WritesPerSecond float64 // per second
}

// DefaultLimits returns the budgets named in this package.
func DefaultLimits() Limits { return Limits{DrainLimit, LinkBytesPerSecond, WritesPerSecond} }

// Drainer moves the work of one shard out. It is not safe for concurrent use.
type Drainer struct {
	limits   Limits
	deadline time.Time
	link     *bucket.Bucket
	writes   *bucket.Bucket
}

// NewDrainer returns a Drainer for a drain that begins now.
func NewDrainer(limits Limits, now time.Time) *Drainer {
	return &Drainer{
		limits: limits, deadline: now.Add(limits.Duration),
		link:   bucket.New(limits.BytesPerSecond, limits.BytesPerSecond*LinkBurst, now),
		writes: bucket.New(limits.WritesPerSecond, max(1, limits.WritesPerSecond), now),
	}
}

// Step chooses what to stop now. The owner calls it about once a second with the tasks that still run.
//
// Tasks that can take a checkpoint go first, the least lost work and then the longest remaining time ahead, as far
// as the budgets allow. Those that would be done before their turn comes are left to finish. Then come tasks that
// start from the beginning elsewhere, unless they would finish within the limit. Tasks that can be neither resumed
// nor repeated are never stopped.
func (d *Drainer) Step(now time.Time, tasks []Task) Step {
	var step Step
	left := max(0, d.deadline.Sub(now))
	queue := d.candidates(&step, tasks, left)
	var ahead float64 // bytes of checkpoints in front of a task
	linkFree := true
	for _, t := range queue {
		turn := time.Duration(ahead / d.limits.BytesPerSecond * float64(time.Second))
		bytes := float64(t.CheckpointBytes)
		if !t.Checkpointable {
			turn, bytes = left, 0
		}
		if t.finishesWithin(min(turn+RestartCost, left)) {
			step.Finish = append(step.Finish, t.ID)
			continue
		}
		ahead += bytes
		if t.Checkpointable {
			linkFree = linkFree && d.link.Ready(now)
		}
		if (t.Checkpointable && !linkFree) || !d.writes.Take(1, now) {
			step.Waiting = append(step.Waiting, t.ID)
			continue
		}
		d.link.Take(bytes, now)
		step.Stop = append(step.Stop, t.ID)
	}
	return step
}

// candidates returns the tasks that may be stopped in the order of their turn and reports the others in step.
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
	slices.SortFunc(queue, compareTurn)
	return queue
}

// compareTurn orders tasks by the benefit of stopping them early.
func compareTurn(a, b *Task) int {
	return cmp.Or(
		-compareBool(a.Checkpointable, b.Checkpointable),
		cmp.Compare(a.LostWork/LostStep, b.LostWork/LostStep),
		-cmp.Compare(a.remainingOrLong(), b.remainingOrLong()),
		compareID(a.ID, b.ID))
}

// remainingOrLong returns the expected remaining time; one that is not known counts as long.
func (t *Task) remainingOrLong() time.Duration {
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

// NaiveStep stops everything that can be stopped at once, in order of id. It is the baseline for Drainer.
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
