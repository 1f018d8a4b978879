package placement

import (
	"slices"
	"time"

	"fulmarcourse.example/core/structs"
)

// View is a worker in the middle of a planning cycle: the snapshot plus what the plan has placed so far.
type View struct {
	*Node
	Available structs.Resources // capacity that is neither reserved nor planned
	Counts    []int32           // placed and planned tasks by kind index (see Preparer)
	Held      bool              // kept free for a task that has waited for long
	// HeldUntil is when the task that a worker is held for can be expected to start there. Tasks that end before
	// may use the worker meanwhile. Zero if it is not known.
	HeldUntil time.Time
}

// Task is a pending task in the middle of a planning cycle.
type Task struct {
	*Pending
	Size      structs.Resources // reservation
	KindIndex int               // position of its kind in the kinds of the cycle
	EndsBy    time.Time         // when it is expected to be done if it starts now; zero if that is not known
}

// Filter decides whether a worker may take a task.
type Filter interface {
	Name() string
	Allows(task *Task, view *View) bool
}

// DefaultFilters returns the filters that every policy uses. Whether the data centre may start tasks at all is
// checked once per cycle.
func DefaultFilters() []Filter {
	return []Filter{leavingFilter{}, probeFilter{}, quarantineFilter{}, excludedFilter{}, heldFilter{}, resourceFilter{}}
}

// outReason is reported for every task while the data centre may start none.
const outReason = "datacentre-out"

// leavingFilter rejects workers that are leaving.
type leavingFilter struct{}

func (leavingFilter) Name() string { return "leaving" }
func (leavingFilter) Allows(_ *Task, view *View) bool {
	return !view.Leaving
}

// probeFilter sends a probe task to the worker that it tests and nowhere else.
type probeFilter struct{}

func (probeFilter) Name() string { return "probe" }
func (probeFilter) Allows(task *Task, view *View) bool {
	return task.Probe == "" || task.Probe == view.Host
}

// quarantineFilter rejects quarantined workers for all tasks but their probe.
type quarantineFilter struct{}

func (quarantineFilter) Name() string { return "quarantined" }
func (quarantineFilter) Allows(task *Task, view *View) bool {
	return !view.Quarantined || task.Probe == view.Host
}

// excludedFilter rejects workers on which the task has failed.
type excludedFilter struct{}

func (excludedFilter) Name() string { return "excluded" }
func (excludedFilter) Allows(task *Task, view *View) bool {
	return !slices.Contains(task.Excluded, view.Host)
}

// heldFilter rejects workers that the plan keeps free for another task, except for tasks that will be done before
// that one can start (backfilling). Urgent tasks do not wait.
type heldFilter struct{}

func (heldFilter) Name() string { return "held" }
func (heldFilter) Allows(task *Task, view *View) bool {
	return !view.Held || task.Urgent || (!task.EndsBy.IsZero() && task.EndsBy.Before(view.HeldUntil))
}

// resourceFilter rejects workers without enough unreserved capacity. Measured usage plays no part: it lags, and a
// host must never be committed beyond its capacity.
type resourceFilter struct{}

func (resourceFilter) Name() string { return "resources" }
func (resourceFilter) Allows(task *Task, view *View) bool {
	return task.Size.Fits(view.Available)
}
