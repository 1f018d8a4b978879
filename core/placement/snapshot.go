// Package placement decides which pending batch tasks start on which workers of a shard.
//
// The shard owner keeps a table of workers and of the capacity committed on them, builds a Snapshot of it for each
// planning cycle, and calls Planner.Plan, a pure function of snapshot and pending tasks. It then applies the plan
// alone: it commits each placement in its table, sends the start command, and keeps or releases the commitment by the
// answer. The separation follows the scheduler of Kubernetes (scheduler cache, assumed pods, filter and score plugins).
//
// Nothing here makes calls, starts goroutines, reads a clock or takes locks. The owner calls it under its own lock.
//
// # Invariants
//
// No host is committed beyond its capacity in any dimension, whatever sizes were learned: the resource filter checks
// each placement against what the plan has left, and the owner checks it again when it commits. Capacity of a start
// command without an answer stays committed until an inventory settles it, so it is never given away twice.
package placement

import (
	"fmt"
	"strings"
	"time"

	"fulmarcourse.example/core/placement/learn"
	"fulmarcourse.example/core/structs"
)

// Node is one worker as a planning cycle sees it. It is never changed after the snapshot was taken.
type Node struct {
	Host        structs.HostID
	Rack        string
	Capacity    structs.Resources
	Reserved    structs.Resources // sum over all placements, uncertain ones included
	Leaving     bool              // the host list reports it as leaving, or no longer at all
	Quarantined bool              // takes probe tasks only
	Kinds       []learn.KindCount // placed tasks by kind, sorted by kind
	Tasks       []PlacedTask      // placed tasks, the earliest first
}

// PlacedTask is a placed task as far as its capacity is concerned.
type PlacedTask struct {
	Kind     structs.KindName
	Reserved structs.Resources
	Since    time.Time
}

// Free returns the capacity that is not reserved. It is negative where a host reports less capacity than before.
func (n *Node) Free() structs.Resources { return n.Capacity.Sub(n.Reserved) }

// Snapshot is the state of one shard at the start of a planning cycle.
type Snapshot struct {
	Nodes        []*Node // sorted by host
	OutOfService bool    // the data centre may not start tasks now
	Now          time.Time
}

// Pending is a task that waits for a start.
type Pending struct {
	Task     structs.TaskID
	Kind     structs.KindName
	Declared structs.Resources
	Urgent   bool
	Since    time.Time        // when it began to wait
	Excluded []structs.HostID // workers on which it has failed
	Probe    structs.HostID   // set when the task tests a quarantined worker: it starts there or not at all
	Held     structs.HostID   // worker that the last plan kept free for the task (Unplaced.Held)
}

// Placement is one decision of a plan.
type Placement struct {
	Task     structs.TaskID
	Kind     structs.KindName
	Host     structs.HostID
	Reserved structs.Resources
	Explored bool // chosen at random to gather evidence
}

// Rejection counts the workers that one filter rejected.
type Rejection struct {
	Filter string
	Hosts  int
}

// Unplaced is a task that the plan leaves waiting, with the filters that rejected the workers.
type Unplaced struct {
	Task       structs.TaskID
	Rejections []Rejection    // shared between tasks; not to be changed
	Held       structs.HostID // a worker that is kept free for the task; to be passed on in Pending.Held
}

// Reason returns why the task waits, in words for operators, for example "no worker: resources 60, leaving 3".
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
