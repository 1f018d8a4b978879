package standin

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"fulmarcourse.example/core/structs"
)

// attemptKey names one attempt of a task on a worker.
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
	latest     sample // a newer one, reported when it is as old as the lag
}

// sample is one measurement of a task.
type sample struct {
	at       time.Time
	usage    structs.Resources
	progress float64
}

func (t *task) running() bool { return t.state == structs.WorkerTaskRunning }

// target is the progress at which the task ends.
func (t *task) target() float64 {
	if t.behaviour.Fails {
		return min(1, t.behaviour.FailAt)
	}
	return 1
}

// usage is what the task uses at its present throttle. Memory does not shrink with the speed.
func (t *task) usage() structs.Resources {
	u := t.behaviour.Usage
	u.MilliCPU = int64(float64(u.MilliCPU) * t.throttle)
	return u
}

// untilEnd is the time that the task needs at the given rate, a share of the speed it has alone on a host.
func (t *task) untilEnd(rate float64) time.Duration {
	left := max(0, t.target()-t.progress)
	return time.Duration(left * float64(t.behaviour.RunTime) / rate)
}

// move advances a running task by d at the given rate.
func (t *task) move(d time.Duration, rate float64) {
	if t.behaviour.RunTime > 0 {
		t.progress = min(t.target(), t.progress+rate*float64(d)/float64(t.behaviour.RunTime))
	}
}

// measure takes a measurement and reports the previous one once it is as old as lag.
func (t *task) measure(now time.Time, lag time.Duration) {
	if !t.latest.at.IsZero() && now.Sub(t.latest.at) < lag {
		return
	}
	t.reported = t.latest
	t.latest = sample{at: now, usage: t.usage(), progress: t.progress}
}

// report is the task's entry in the inventory.
func (t *task) report(now time.Time) structs.WorkerTask {
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

// checkpointProgress returns the progress that a checkpoint holds. The empty name is the start of the task.
func checkpointProgress(name string) (float64, bool) {
	if name == "" {
		return 0, true
	}
	_, text, found := strings.Cut(name, checkpointSeparator)
	progress, err := strconv.ParseFloat(text, 64)
	return progress, found && err == nil && progress >= 0 && progress <= 1
}
