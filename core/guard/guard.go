// Package guard protects services and tasks on a worker from tasks that use more than their share. It chooses
// which tasks to throttle, and if that does not help, which to checkpoint and evict so that the fewest useful
// seconds of work are lost. It is pure: signals and the time are arguments, and the caller applies the actions.
//
// Signals lag and are noisy. They are smoothed, a level is entered and left at different thresholds that must hold
// for a time, and evictions are limited per worker and per shard, so that waves of noise cause no eviction storm.
// Throttling batch work by the latency of services is from Lo et al., "Heracles" (2015).
package guard

import (
	"time"

	"fulmarcourse.example/core/structs"
)

// Thresholds of pressure. Usage is a share of the capacity of the worker; latency is the tail latency of the
// services on the worker divided by its target.
const (
	ThrottleCPU     = 0.92 // share of processors at which throttling begins
	ReleaseCPU      = 0.78 // share of processors below which tasks are released
	ThrottleLatency = 1.0  // ratio to the target at which throttling begins
	ReleaseLatency  = 0.75 // ratio to the target below which tasks are released
	EvictMemory     = 0.95 // share of memory at which tasks are evicted; throttling frees no memory
	TargetCPU       = 0.85 // share of processors that throttling and eviction aim at
	TargetMemory    = 0.88 // share of memory that eviction aims at
	// LatencyRelief is the share of the batch usage to take away when latency is high although processors are free.
	LatencyRelief = 0.25
)

// Times. All of them are longer than the lag of usage measurements, a few seconds.
const (
	SmoothingTime     = 4 * time.Second  // time constant of the smoothed signals
	ThrottleAfter     = 3 * time.Second  // how long pressure lasts before throttling begins
	EvictMemoryAfter  = 2 * time.Second  // how long memory pressure lasts before an eviction
	ReleaseAfter      = 15 * time.Second // how long it is calm before tasks are released
	ThrottleInterval  = 5 * time.Second  // time between two changes of throttling on a worker
	EvictAfter        = 20 * time.Second // how long full throttling is tried before an eviction
	EvictInterval     = time.Minute      // time between two evictions on a worker, in which the signals settle
	MaxSignalAge      = 10 * time.Second // older signals are ignored
	MaxSignalInterval = 2 * time.Second  // longest time that one signal may count for
	RestartCost       = 20 * time.Second // what an eviction costs besides the work it loses
	EvictWindow       = time.Minute      // time in which EvictShare may be used once
)

// Amounts.
const (
	ThrottleFactor = 0.5  // tasks are throttled by halves ...
	ThrottleFloor  = 0.2  // ... down to this share of full speed ...
	ReleaseStep    = 0.1  // ... and released in steps of this size (AIMD: Chiu and Jain, 1989)
	EvictShare     = 0.05 // evictions per EvictWindow as a share of the workers of the shard
	MinEvictBurst  = 2.0  // evictions that are always allowed at once
)

// TaskSignal is what is known about one task on a worker.
type TaskSignal struct {
	Task           structs.TaskID
	Attempt        int
	Usage          structs.Resources // measured
	Reserved       structs.Resources
	Throttle       float64 // share of full speed in effect; 1 is unthrottled
	Urgent         bool
	Checkpointable bool
	Idempotent     bool
	LostWork       time.Duration // useful work that is lost when it is evicted now, after a checkpoint if it can take one
}

// evictable reports whether the task can be resumed or repeated elsewhere.
func (t *TaskSignal) evictable() bool { return t.Checkpointable || t.Idempotent }

// HostSignal is what is known about one worker.
type HostSignal struct {
	Host     structs.HostID
	Capacity structs.Resources
	Usage    structs.Resources // measured, of the whole worker
	Latency  float64           // worst ratio of tail latency to its target of the services on the worker; 0 if none
	Age      time.Duration     // of the measurements
	Tasks    []TaskSignal
}

// ActionKind is what to do with a task.
type ActionKind string

// Kinds of actions.
const (
	SetThrottle ActionKind = "throttle"
	Evict       ActionKind = "evict" // checkpoint first if the task can, then stop
)

// Action is one decision.
type Action struct {
	Kind    ActionKind
	Host    structs.HostID
	Task    structs.TaskID
	Attempt int
	Share   float64 // SetThrottle only: share of full speed
	Reason  string
}

// Policy turns signals into actions. Step is called about once a second with the signals of all workers.
type Policy interface {
	Name() string
	Step(now time.Time, hosts []HostSignal) []Action
}
