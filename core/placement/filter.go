package placement

import (
	"slices"
	"time"

	"fulmarcourse.example/core/structs"
)

// View is the state of a worker during a planning cycle: its snapshot plus the placements of the plan so far.
type View struct {
	*Worker
	Available structs.Resources // capacity that is neither reserved nor assigned by the plan
	Counts    []int32           // placed and planned tasks by kind index (see Preparer)
	Held      bool              // the worker is held for a task that has waited for HoldAfter
	// HeldUntil is the expected start of the task for which the worker is held, zero if unknown. Tasks that are
	// expected to end before then may use the worker in the meantime.
	HeldUntil time.Time
}

// Task is a pending task during a planning cycle.
type Task struct {
	*Pending
	Size      structs.Resources // reservation
	KindIndex int               // index of its kind among the kinds of the cycle
	EndsBy    time.Time         // expected completion time if it starts now; zero if unknown
}

// Filter decides whether a worker may take a task.
type Filter interface {
	Name() string
	Allows(task *Task, view *View) bool
}

// DefaultFilters returns the filters that every policy uses. Whether the data centre may start tasks at all is checked
// once per cycle, by Planner.Plan.
func DefaultFilters() []Filter {
	return []Filter{leavingFilter{}, probeFilter{}, quarantineFilter{}, excludedFilter{}, heldFilter{}, resourceFilter{}}
}

// outOfServiceReason is the rejection reported for every task while no task may start in the data centre.
const outOfServiceReason = "datacentre-out"

// leavingFilter rejects workers that are leaving.
type leavingFilter struct{}

func (leavingFilter) Name() string { return "leaving" }
func (leavingFilter) Allows(_ *Task, view *View) bool {
	return !view.Leaving
}

// probeFilter allows a probe task only on the worker that it tests.
type probeFilter struct{}

func (probeFilter) Name() string { return "probe" }
func (probeFilter) Allows(task *Task, view *View) bool {
	return task.Probe == "" || task.Probe == view.Host
}

// quarantineFilter rejects quarantined workers for all tasks except their probes.
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

// heldFilter rejects workers that are held for another task, except for tasks that are expected to end before that task
// can start (backfilling). Urgent tasks ignore holds.
type heldFilter struct{}

func (heldFilter) Name() string { return "held" }
func (heldFilter) Allows(task *Task, view *View) bool {
	return !view.Held || task.Urgent || (!task.EndsBy.IsZero() && task.EndsBy.Before(view.HeldUntil))
}

// resourceFilter rejects workers without enough unreserved capacity. Measured usage is not considered: it lags, and a
// worker must never be committed beyond its capacity.
type resourceFilter struct{}

func (resourceFilter) Name() string { return "resources" }
func (resourceFilter) Allows(task *Task, view *View) bool {
	return task.Size.Fits(view.Available)
}
