// Package invariants checks histories recorded by the fakes of the platform against what must always hold. The
// histories come from the backend servers, not from the scheduler, so a wrong belief of the scheduler shows up.
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

// interval is one run of a task on a worker. end is zero while it runs.
type interval struct {
	start standin.Event
	end   standin.Event
}

func ended(t standin.EventType) bool {
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

// runs returns the runs of each task in order of start. A run ends with the first end event of the same attempt, epoch
// and worker.
func runs(events []standin.Event) map[structs.TaskID][]*interval {
	found := map[structs.TaskID][]*interval{}
	for _, e := range byTime(events) {
		if e.Type == standin.TaskStarted {
			found[e.Task] = append(found[e.Task], &interval{start: e})
			continue
		}
		if !ended(e.Type) {
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

// SingleRun returns the tasks that ran in two places, or twice in one, at the same time (I2).
func SingleRun(events []standin.Event) []string {
	var violations []string
	for task, intervals := range runs(events) {
		for i := 1; i < len(intervals); i++ {
			previous, next := intervals[i-1], intervals[i]
			if previous.end.Type == "" || next.start.At < previous.end.At {
				violations = append(violations, fmt.Sprintf("task %s: attempt %d on %s started at %s while attempt %d ran on %s",
					task, next.start.Attempt, next.start.Host, next.start.At, previous.start.Attempt, previous.start.Host))
			}
		}
	}
	return violations
}

// AtMostOneRun returns the tasks of a kind that started more than once (I7 for kinds that are not idempotent).
func AtMostOneRun(events []standin.Event, kind structs.KindName) []string {
	var violations []string
	for task, intervals := range runs(events) {
		if len(intervals) > 1 && intervals[0].start.Kind == kind {
			violations = append(violations, fmt.Sprintf("task %s of kind %s started %d times", task, kind, len(intervals)))
		}
	}
	return violations
}

// ResumeOnce returns the tasks that were stopped with a checkpoint and whose next run did not continue from it, and
// the tasks in unresumed that have no run after their last stop (I3).
func ResumeOnce(events []standin.Event, unresumed func(structs.TaskID) bool) []string {
	var violations []string
	for task, intervals := range runs(events) {
		for i, run := range intervals {
			if run.end.Type != standin.TaskStopped || run.end.Checkpoint == "" {
				continue
			}
			switch {
			case i+1 == len(intervals):
				if unresumed(task) {
					violations = append(violations, fmt.Sprintf("task %s was not resumed from %s", task, run.end.Checkpoint))
				}
			case intervals[i+1].start.Checkpoint != run.end.Checkpoint:
				violations = append(violations, fmt.Sprintf("task %s was stopped at %s and resumed from %q",
					task, run.end.Checkpoint, intervals[i+1].start.Checkpoint))
			}
		}
	}
	return violations
}

// Capacity returns the moments at which the reservations on a worker exceeded its capacity (I1).
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
		case ended(e.Type):
			used[e.Host] = used[e.Host].Sub(running[key])
			delete(running, key)
		}
	}
	return violations
}

// NoStart returns the task starts that selected reports, for example starts in a data centre after it was taken out
// of service (I4) or on a leaving host (I8), at or after from.
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

// NotRun returns the bodies that a caller was told had not run although a runner ran them (I6).
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

// Running returns the number of runs that have started and not ended.
func Running(events []standin.Event) int {
	n := 0
	for _, e := range events {
		switch {
		case e.Type == standin.TaskStarted:
			n++
		case ended(e.Type):
			n--
		}
	}
	return n
}

// InDatacentre selects the hosts of a data centre by the naming of the fakes, "<dc>-...".
func InDatacentre(dc structs.DatacentreID) func(structs.HostID) bool {
	return func(id structs.HostID) bool { return strings.HasPrefix(string(id), string(dc)+"-") }
}
