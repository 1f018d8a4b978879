// Package guard protects services and tasks on a worker from tasks that use more than their share. It selects the tasks
// to throttle and, if that is not enough, those to checkpoint and evict so that the least useful work is lost. It is
// pure: signals and the time are arguments, and the caller applies the actions.
//
// Signals lag and are noisy. They are smoothed, throttling starts and ends at different thresholds that must be crossed
// for a minimum time, and evictions are limited per worker and per shard, so that bursts of noise cause no eviction
// storm. Throttling batch work by the latency of services follows Lo et al., "Heracles" (2015).
package guard

import (
	"time"

	"fulmarcourse.example/core/structs"
)

// Thresholds. Usage is a share of the capacity of the worker; latency is HostSignal.Latency, the slowdown of runners
// relative to the slowdown that batch work may cause.
const (
	ThrottleCPU     = 0.92 // CPU share at which throttling begins
	ReleaseCPU      = 0.78 // CPU share below which throttling is released
	ThrottleLatency = 1.0  // latency at which throttling begins
	ReleaseLatency  = 0.75 // latency below which throttling is released
	EvictMemory     = 0.95 // memory share at which tasks are evicted; throttling frees no memory
	TargetCPU       = 0.85 // target CPU share of throttling and eviction
	TargetMemory    = 0.88 // target memory share of eviction
	// LatencyRelief is the share of the CPU usage of batch tasks to free when latency is high although CPU is
	// available.
	LatencyRelief = 0.25
)

// Durations. All of them are longer than the lag of usage measurements, a few seconds.
const (
	SmoothingTime     = 4 * time.Second  // time constant of the smoothed signals
	ThrottleAfter     = 3 * time.Second  // duration of pressure before throttling begins
	EvictMemoryAfter  = 2 * time.Second  // duration of memory pressure before an eviction
	ReleaseAfter      = 15 * time.Second // time below the release thresholds before throttling is released
	ThrottleInterval  = 5 * time.Second  // minimum time between two changes of throttling on a worker
	EvictAfter        = 20 * time.Second // duration of pressure with all tasks at ThrottleFloor before an eviction
	EvictInterval     = time.Minute      // minimum time between two evictions on a worker, in which the signals settle
	MaxSignalAge      = 10 * time.Second // older signals are ignored
	MaxSignalInterval = 2 * time.Second  // maximum time that one signal counts for
	RestartCost       = 20 * time.Second // cost of an eviction in addition to the lost work
	EvictWindow       = time.Minute      // period to which EvictShare applies
)

// Factors and limits of the actions.
const (
	ThrottleFactor = 0.5  // factor applied to the speed of a task by one throttling step
	ThrottleFloor  = 0.2  // minimum speed of a throttled task, as a share of full speed
	ReleaseStep    = 0.1  // increase of that share by one release step (AIMD: Chiu and Jain, 1989)
	EvictShare     = 0.05 // evictions per EvictWindow as a share of the workers of the shard; at least one eviction
	MinEvictBurst  = 2.0  // burst of evictions in a shard, whatever its number of workers
)

// TaskSignal is the measured state of one task on a worker.
type TaskSignal struct {
	Task           structs.TaskID
	Attempt        int
	Usage          structs.Resources // measured
	Reserved       structs.Resources
	Throttle       float64 // share of full speed in effect; 1 is unthrottled
	Urgent         bool
	Checkpointable bool
	Idempotent     bool
	LostWork       time.Duration // useful work lost if it is evicted now, after a checkpoint if it supports checkpoints
}

// evictable reports whether the task can be resumed or repeated elsewhere.
func (t *TaskSignal) evictable() bool { return t.Checkpointable || t.Idempotent }

// HostSignal is the measured state of one worker.
type HostSignal struct {
	Host     structs.HostID
	Capacity structs.Resources
	Usage    structs.Resources // measured, of the whole worker
	// Latency is the highest slowdown among the runners on the worker's machine, divided by the slowdown that batch work
	// may cause; 0 if there are none. A runner's slowdown is the ratio of its smoothed service time to the typical one
	// of its service.
	Latency float64
	Age     time.Duration // of the measurements
	Tasks   []TaskSignal
}

// ActionKind is the kind of an Action.
type ActionKind string

// Kinds of actions.
const (
	SetThrottle ActionKind = "throttle"
	Evict       ActionKind = "evict" // checkpoint if the task supports it, then stop
)

// Action is a change of one task for the caller to apply.
type Action struct {
	Kind    ActionKind
	Host    structs.HostID
	Task    structs.TaskID
	Attempt int
	Share   float64 // SetThrottle only: share of full speed
	Reason  string
}

// Policy derives actions from signals. Step is called about once a second with the signals of all workers.
type Policy interface {
	Name() string
	Step(now time.Time, hosts []HostSignal) []Action
}
