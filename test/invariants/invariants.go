// Package invariants checks the invariants of the system on histories that the fakes of the platform record. The
// histories come from the backend servers, not from the scheduler, so wrong scheduler state is detected. The numbers
// I1 to I8 in comments are those of the invariants in the documentation.
package invariants

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/standin"
)

// taskRun is one run of a task on a worker. end is zero while it runs.
type taskRun struct {
	start standin.Event
	end   standin.Event
}

func isEnd(t standin.EventType) bool {
	switch t {
	case standin.TaskStopped, standin.TaskFinished, standin.TaskFailed, standin.TaskExpired:
		return true
	}
	return false
}

// byTime returns the events in order of time; equal times keep the order of recording.
func byTime(events []standin.Event) []standin.Event {
	sorted := slices.Clone(events)
	slices.SortStableFunc(sorted, func(a, b standin.Event) int { return cmp.Compare(a.At, b.At) })
	return sorted
}

// runsByTask returns the runs of each task in order of start. A run ends with the first end event of the same attempt,
// epoch and worker.
func runsByTask(events []standin.Event) map[structs.TaskID][]*taskRun {
	found := map[structs.TaskID][]*taskRun{}
	for _, e := range byTime(events) {
		if e.Type == standin.TaskStarted {
			found[e.Task] = append(found[e.Task], &taskRun{start: e})
			continue
		}
		if !isEnd(e.Type) {
			continue
		}
		for _, run := range found[e.Task] {
			s := run.start
			if run.end.Type == "" && s.Host == e.Host && s.Attempt == e.Attempt && s.Epoch == e.Epoch {
				run.end = e
				break
			}
		}
	}
	return found
}

// SingleRun returns the tasks of which two runs overlapped, on one worker or on two (I2).
func SingleRun(events []standin.Event) []string {
	var violations []string
	for task, taskRuns := range runsByTask(events) {
		for i := 1; i < len(taskRuns); i++ {
			previous, next := taskRuns[i-1], taskRuns[i]
			if previous.end.Type == "" || next.start.At < previous.end.At {
				violations = append(violations, fmt.Sprintf("task %s: attempt %d on %s started at %s while attempt %d ran on %s",
					task, next.start.Attempt, next.start.Host, next.start.At, previous.start.Attempt, previous.start.Host))
			}
		}
	}
	return violations
}

// AtMostOneRun returns the tasks of a kind that started more than once. It checks I7 for kinds that are not idempotent.
func AtMostOneRun(events []standin.Event, kind structs.KindName) []string {
	var violations []string
	for task, taskRuns := range runsByTask(events) {
		if len(taskRuns) > 1 && taskRuns[0].start.Kind == kind {
			violations = append(violations, fmt.Sprintf("task %s of kind %s started %d times", task, kind, len(taskRuns)))
		}
	}
	return violations
}

// ResumeOnce returns the tasks that were stopped with a checkpoint and whose next run did not continue from it. Tasks
// without a next run are returned only if mustResume returns true for them (I3).
func ResumeOnce(events []standin.Event, mustResume func(structs.TaskID) bool) []string {
	var violations []string
	for task, taskRuns := range runsByTask(events) {
		for i, run := range taskRuns {
			if run.end.Type != standin.TaskStopped || run.end.Checkpoint == "" {
				continue
			}
			switch {
			case i+1 == len(taskRuns):
				if mustResume(task) {
					violations = append(violations, fmt.Sprintf("task %s was not resumed from %s", task, run.end.Checkpoint))
				}
			case taskRuns[i+1].start.Checkpoint != run.end.Checkpoint:
				violations = append(violations, fmt.Sprintf("task %s was stopped at %s and resumed from %q",
					task, run.end.Checkpoint, taskRuns[i+1].start.Checkpoint))
			}
		}
	}
	return violations
}

// Capacity returns the times at which the reservations on a worker exceeded its capacity (I1).
func Capacity(events []standin.Event, capacity map[structs.HostID]structs.Resources) []string {
	var violations []string
	used := map[structs.HostID]structs.Resources{}
	running := map[string]structs.Resources{}
	for _, e := range byTime(events) {
		key := fmt.Sprint(e.Host, e.Task, e.Attempt, e.Epoch)
		switch {
		case e.Type == standin.TaskStarted:
			running[key] = e.Reserved
			used[e.Host] = used[e.Host].Add(e.Reserved)
			if !used[e.Host].Fits(capacity[e.Host]) {
				violations = append(violations, fmt.Sprintf("host %s at %s: %+v reserved of %+v", e.Host, e.At, used[e.Host], capacity[e.Host]))
			}
		case isEnd(e.Type):
			used[e.Host] = used[e.Host].Sub(running[key])
			delete(running, key)
		}
	}
	return violations
}

// NoStart returns the task starts at or after from, a time since the start of the history, on the hosts for which
// selected returns true, for example in a data centre that was taken out of service (I4) or on a leaving host (I8).
func NoStart(events []standin.Event, from time.Duration, selected func(structs.HostID) bool) []string {
	var violations []string
	for _, e := range events {
		if e.Type == standin.TaskStarted && e.At >= from && selected(e.Host) {
			violations = append(violations, fmt.Sprintf("task %s started on %s at %s, limit %s", e.Task, e.Host, e.At, from))
		}
	}
	return violations
}

// RequestsAtMostOnce returns the request bodies that reached runners more than once (I7). Bodies must be unique per
// request.
func RequestsAtMostOnce(events []standin.Event) []string {
	counts := requestStarts(events)
	var violations []string
	for body, count := range counts {
		if count > 1 {
			violations = append(violations, fmt.Sprintf("request %q ran %d times", body, count))
		}
	}
	return violations
}

// NotRun returns the bodies that were reported to a caller as not run although a runner ran them (I6).
func NotRun(events []standin.Event, reported []string) []string {
	counts := requestStarts(events)
	var violations []string
	for _, body := range reported {
		if counts[body] > 0 {
			violations = append(violations, fmt.Sprintf("request %q was reported as not run and ran", body))
		}
	}
	return violations
}

func requestStarts(events []standin.Event) map[string]int {
	counts := map[string]int{}
	for _, e := range events {
		if e.Type == standin.RequestStarted {
			counts[e.Body]++
		}
	}
	return counts
}

// Running returns the number of task runs that have started and not ended.
func Running(events []standin.Event) int {
	n := 0
	for _, e := range events {
		switch {
		case e.Type == standin.TaskStarted:
			n++
		case isEnd(e.Type):
			n--
		}
	}
	return n
}

// InDatacentre returns a function that selects the hosts of a data centre by their ids, which the fakes begin with
// "<dc>-".
func InDatacentre(dc structs.DatacentreID) func(structs.HostID) bool {
	return func(id structs.HostID) bool { return strings.HasPrefix(string(id), string(dc)+"-") }
}
