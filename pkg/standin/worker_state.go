package standin

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"fulmarcourse.example/core/structs"
)

// attemptKey identifies one attempt of a task.
type attemptKey struct {
	task    structs.TaskID
	attempt int
}

// task is one attempt on a worker.
type task struct {
	cmd        structs.StartCommand
	behaviour  TaskBehaviour
	state      structs.WorkerTaskState
	started    time.Time
	ended      time.Time // when state is not running
	leaseUntil time.Time
	progress   float64 // 0 to 1
	throttle   float64 // share of full speed
	checkpoint string
	reason     string
	reported   sample // the measurement that the worker reports
	pending    sample // a newer measurement, reported once it is as old as the usage lag
}

// sample is one measurement of a task.
type sample struct {
	at       time.Time
	usage    structs.Resources
	progress float64
}

func (t *task) running() bool { return t.state == structs.WorkerTaskRunning }

// endProgress returns the progress at which the task ends.
func (t *task) endProgress() float64 {
	if t.behaviour.Fails {
		return min(1, t.behaviour.FailAt)
	}
	return 1
}

// usage returns the resources that the task uses at its current throttle. Memory use does not depend on the speed.
func (t *task) usage() structs.Resources {
	u := t.behaviour.Usage
	u.MilliCPU = int64(float64(u.MilliCPU) * t.throttle)
	return u
}

// timeToEnd returns the remaining run time at the given rate, a share of the speed that the task has alone on a host.
func (t *task) timeToEnd(rate float64) time.Duration {
	left := max(0, t.endProgress()-t.progress)
	return time.Duration(left * float64(t.behaviour.RunTime) / rate)
}

// advance updates the progress of a running task by d at the given rate.
func (t *task) advance(d time.Duration, rate float64) {
	if t.behaviour.RunTime > 0 {
		t.progress = min(t.endProgress(), t.progress+rate*float64(d)/float64(t.behaviour.RunTime))
	}
}

// sampleUsage takes a new sample once the pending one is as old as lag, and reports the pending one.
func (t *task) sampleUsage(now time.Time, lag time.Duration) {
	if !t.pending.at.IsZero() && now.Sub(t.pending.at) < lag {
		return
	}
	t.reported = t.pending
	t.pending = sample{at: now, usage: t.usage(), progress: t.progress}
}

// inventoryEntry returns the task's entry in the inventory.
func (t *task) inventoryEntry(now time.Time) structs.WorkerTask {
	entry := structs.WorkerTask{
		Task: t.cmd.Task, Attempt: t.cmd.Attempt, Kind: t.cmd.Kind, State: t.state, Reserved: t.cmd.Reserved,
		Usage: t.reported.usage, Progress: t.reported.progress, Checkpoint: t.checkpoint, Throttle: t.throttle,
		Reason: t.reason, RanFor: now.Sub(t.started),
	}
	if !t.running() {
		entry.RanFor = t.ended.Sub(t.started)
	}
	if !t.reported.at.IsZero() {
		entry.UsageAge = now.Sub(t.reported.at)
	}
	return entry
}

// checkpointSeparator precedes the progress in the name of a checkpoint.
const checkpointSeparator = "@"

func checkpointName(cmd structs.StartCommand, progress float64) string {
	return fmt.Sprintf("%s/%d%s%.9f", cmd.Task, cmd.Attempt, checkpointSeparator, progress)
}

// checkpointProgress returns the progress that a checkpoint holds. The empty name stands for the start of the task.
func checkpointProgress(name string) (float64, bool) {
	if name == "" {
		return 0, true
	}
	_, text, found := strings.Cut(name, checkpointSeparator)
	progress, err := strconv.ParseFloat(text, 64)
	return progress, found && err == nil && progress >= 0 && progress <= 1
}
