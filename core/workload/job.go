// Package workload holds the data types of jobs that are made of steps: the submitted job, its stored progress and the
// queues that jobs are submitted to. The types hold no locks and make no calls.
package workload

import (
	"time"

	"fulmarcourse.example/core/structs"
)

// EarlyCancelRetention is how long the cancellation of a job that is not stored is kept. A submission that was sent before it may take
// effect that late: its host may have been paused, and the store may carry out a write seconds after the call was given up.
const EarlyCancelRetention = 20 * time.Second

// JobID identifies a job. The caller chooses it, and it is unique across all queues.
type JobID string

// QueueName identifies a queue in the environment's configuration.
type QueueName string

// PoolName identifies a pool of workers that runs the tasks of one or more queues.
type PoolName string

// Job is an accepted submission. It never changes after it was accepted.
type Job struct {
	ID         JobID      `json:"id"`
	Queue      Queue      `json:"queue"`           // as configured when the job was accepted
	Input      string     `json:"input,omitempty"` // passed to every task unchanged
	Steps      []Step     `json:"steps"`
	Recurrence Recurrence `json:"recurrence,omitzero"`
	AcceptedMs int64      `json:"accepted_ms"` // Unix milliseconds at the entry host that accepted it
}

// Recurrence lets the steps of a job run several times. The zero value runs them once, as soon as possible.
type Recurrence struct {
	FirstMs    int64 `json:"first_ms,omitempty"`    // Unix milliseconds at which occurrence 0 is due
	IntervalMs int64 `json:"interval_ms,omitempty"` // from one occurrence to the next
	Count      int   `json:"count,omitempty"`       // number of occurrences; 0 means that the job does not recur
}

// Occurrences returns how many times the steps run, at least once.
func (r Recurrence) Occurrences() int { return max(r.Count, 1) }

// DueMs returns the Unix millisecond before which occurrence k must not start; 0 means at once.
func (r Recurrence) DueMs(k int) int64 {
	if r.Count == 0 {
		return 0
	}
	return r.FirstMs + int64(k)*r.IntervalMs
}

// Step is a set of identical tasks.
type Step struct {
	Tasks          int               `json:"tasks"`
	Size           structs.Resources `json:"size"`                      // of each task
	EstimateMs     int64             `json:"estimate_ms,omitempty"`     // rough estimate of the duration of a task
	After          []int             `json:"after,omitempty"`           // earlier steps that must be done first
	Checkpoints    bool              `json:"checkpoints,omitempty"`     // tasks save their progress
	Gang           bool              `json:"gang,omitempty"`            // tasks make progress only while all of them run, and end together
	SameRack       bool              `json:"same_rack,omitempty"`       // tasks are slower when they span racks
	Label          string            `json:"label,omitempty"`           // label that the worker must have
	DataRack       string            `json:"data_rack,omitempty"`       // rack of the data; tasks are slower on other racks
	MaxPerWorker   int               `json:"max_per_worker,omitempty"`  // maximum tasks of one occurrence on one worker; 0 means no limit
	Copies         bool              `json:"copies,omitempty"`          // several attempts of a task may run at once
	Service        bool              `json:"service,omitempty"`         // tasks run until the job is cancelled and are restarted
	Image          string            `json:"image,omitempty"`           // identifies the program of the tasks; equal images behave alike
	TailTargetMs   float64           `json:"tail_target_ms,omitempty"`  // upper bound of a service task's tail latency
	Filler         bool              `json:"filler,omitempty"`          // tasks use only processor time that others leave idle, and reserve none
	MaxUnavailable int               `json:"max_unavailable,omitempty"` // maximum unavailable tasks of a service step while the scheduler moves tasks off slow workers; 0: no moves
}

// Reserved returns the capacity that one task of the step reserves on its worker.
func (s Step) Reserved() structs.Resources {
	size := s.Size
	if s.Filler {
		size.MilliCPU = 0
	}
	return size
}

// TaskID identifies one task of a job.
type TaskID struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// Queue is the configuration of a queue.
type Queue struct {
	Name        QueueName `json:"name"`
	Pool        PoolName  `json:"pool"`
	Priority    int       `json:"priority"`     // 0 is the most urgent
	MaxFailures int       `json:"max_failures"` // failures of one task after which its job fails; 0 means no limit
	Stretch     float64   `json:"stretch"`      // factor by which the longest chain of estimated work may be exceeded
	TargetMs    int64     `json:"target_ms"`    // added to the stretched chain of estimated work
	// CapacityGuarded states that the workers of the pool reject what exceeds their capacity.
	CapacityGuarded bool `json:"capacity_guarded,omitempty"`
}

// State is the state of a job as shown to callers.
type State string

// States of a job.
const (
	StatePending   State = "pending"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Known reports whether the state is one of those above.
func (s State) Known() bool {
	switch s {
	case StatePending, StateRunning, StateCompleted, StateFailed, StateCancelled:
		return true
	}
	return false
}

// Final reports whether a job in state s never changes again.
func (s State) Final() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}
