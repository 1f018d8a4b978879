// Package placement decides which pending batch tasks start on which workers of a shard.
//
// The shard owner keeps a table of workers and of the capacity committed on them, builds a Snapshot of it for each
// planning cycle, and calls Planner.Plan, a pure function of snapshot and pending tasks. The owner alone applies the
// plan: it commits each placement in its table, sends the start command, and keeps or releases the commitment depending
// on the response. The separation follows the Kubernetes scheduler (scheduler cache, assumed pods, filter and score
// plugins).
//
// The package makes no calls to other processes, starts no goroutines, reads no clock and takes no locks. The owner
// calls it while holding its own lock.
//
// # Invariants
//
// No worker is committed beyond its capacity in any dimension, whatever sizes were estimated: the resource filter
// checks each placement against the capacity that the plan has not used yet, and the owner checks it again when it
// commits. The capacity of a start command without a response stays committed until an inventory shows the outcome, so
// it is never assigned twice.
package placement

import (
	"fmt"
	"strings"
	"time"

	"fulmarcourse.example/core/placement/learn"
	"fulmarcourse.example/core/structs"
)

// Worker is the state of one worker in a planning cycle. It is not modified after the snapshot has been taken.
type Worker struct {
	Host        structs.HostID
	Rack        string
	Capacity    structs.Resources
	Reserved    structs.Resources // sum over all placements, including those whose start is unconfirmed
	Leaving     bool              // the host list marks it as leaving or no longer contains it
	Quarantined bool              // accepts probe tasks only
	Kinds       []learn.KindCount // placed tasks by kind, sorted by kind
	Tasks       []PlacedTask      // placed tasks, earliest first
}

// PlacedTask is a task placed on a worker, with the capacity that it reserves.
type PlacedTask struct {
	Kind     structs.KindName
	Reserved structs.Resources
	Since    time.Time
}

// Free returns the capacity that is not reserved. It is negative if a worker reports less capacity than it did before
// and more than that is reserved.
func (w *Worker) Free() structs.Resources { return w.Capacity.Sub(w.Reserved) }

// Snapshot is the state of one shard at the start of a planning cycle.
type Snapshot struct {
	Workers      []*Worker // sorted by host
	OutOfService bool      // no task may start in the data centre now
	Now          time.Time
}

// Pending is a task that is waiting to be started.
type Pending struct {
	Task     structs.TaskID
	Kind     structs.KindName
	Declared structs.Resources
	Urgent   bool
	Since    time.Time        // start of the wait
	Excluded []structs.HostID // workers on which it has failed
	Probe    structs.HostID   // quarantined worker that the task tests; it may start only there
	Held     structs.HostID   // worker that the previous plan held for the task (Unplaced.Held)
}

// Placement is the assignment of a task to a worker.
type Placement struct {
	Task     structs.TaskID
	Kind     structs.KindName
	Host     structs.HostID
	Reserved structs.Resources
	Explored bool // worker chosen at random to gather measurements (see Policy.ExploreShare)
}

// Rejection counts the workers that one filter rejected.
type Rejection struct {
	Filter string
	Hosts  int
}

// Unplaced is a task that the plan does not place, with the filters that rejected the workers.
type Unplaced struct {
	Task       structs.TaskID
	Rejections []Rejection    // shared between tasks; read-only
	Held       structs.HostID // worker held for the task; pass it as Pending.Held to the next plan
}

// Reason returns a text for operators on why the task was not placed, for example "no worker: resources 60, leaving 3".
func (u Unplaced) Reason() string {
	var parts []string
	for _, r := range u.Rejections {
		parts = append(parts, fmt.Sprintf("%s %d", r.Filter, r.Hosts))
	}
	text := "no worker"
	if len(parts) > 0 {
		text += ": " + strings.Join(parts, ", ")
	}
	if u.Held != "" {
		text += fmt.Sprintf("; %s is kept free for it", u.Held)
	}
	return text
}

// Plan is the result of a planning cycle.
type Plan struct {
	Placements []Placement
	Unplaced   []Unplaced
}
