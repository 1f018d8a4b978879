package schedule

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"fulmarcourse.example/core/workload"
)

// mostStartsOfCrashers returns how often the task of a job that starts most often does so within a time, if each task crashes the workers
// that run it. crash ends the processes, and tells the owner what it sees of that.
func mostStartsOfCrashers(h *harness, length time.Duration, tasks int, crash func(h *harness, ids []WorkerID)) int {
	h.t.Helper()
	h.s.AddJob(testJob("job", testStep(tasks)), nil, false)
	total := map[workload.TaskID]int{}
	for end := h.now.Boot + length; h.now.Boot < end; {
		var ids []WorkerID
		for _, o := range starts(h.run()) {
			total[o.Task]++
			if !slices.Contains(ids, o.Worker) {
				ids = append(ids, o.Worker)
			}
		}
		if len(ids) > 0 {
			crash(h, ids)
		}
		if state, _ := h.s.JobState("job"); state == workload.StateFailed {
			break
		}
		h.advanceClock(100 * time.Millisecond)
		h.reportAll()
	}
	return slices.Max(slices.Collect(maps.Values(total)))
}

// crashUnobserved lets polls fail without a broken connection and starts other processes at the same addresses after a time.
func crashUnobserved(back time.Duration, beside ...WorkerID) func(h *harness, ids []WorkerID) {
	return func(h *harness, ids []WorkerID) {
		for _, id := range slices.Concat(ids, beside) {
			h.s.PollFailed(h.now, id, Grant{})
		}
		h.store()
		h.advanceClock(back)
		h.restartAs("'", ids...)
	}
}

// Guards against a task that crashes its workers, none of which could be observed, and takes one after another, because none of the crashes
// counts as a lone one.
func TestStartsAreBoundedWhileNoCrashIsLone(t *testing.T) {
	for name, c := range map[string]struct {
		tasks int
		crash func(h *harness, ids []WorkerID)
	}{
		"its former worker is back soon":       {1, crashUnobserved(time.Second)},
		"other tasks of its job do the same":   {3, crashUnobserved(backAfter)},
		"another worker misses a poll":         {1, crashUnobserved(backAfter, "w15")},
		"the worker is back for the next poll": {1, restartBetweenPolls},
	} {
		t.Run(name, func(t *testing.T) {
			if total := mostStartsOfCrashers(newStartedHarness(t, 16), time.Minute, c.tasks, c.crash); total > maxStartsOfCrashingTask {
				t.Errorf("%d starts within a minute, want at most %d", total, maxStartsOfCrashingTask)
			}
		})
	}
}

// restartBetweenPolls ends processes between two polls, of which the next one is answered by the next process under the same ID.
func restartBetweenPolls(h *harness, ids []WorkerID) {
	h.store()
	h.advanceClock(50 * time.Millisecond)
	for _, id := range ids {
		h.restart(id)
		h.workers[id].incarnation, h.workers[id].info.StartedMs = h.now.UnixMs, h.now.UnixMs
	}
	h.list()
}

// Scenario: a task crashes each worker that runs it, in a pool of one or two. Guards against starts without a bound because no other worker
// shows that these crashes come alone: the task is given up if their connections break, and has to wait after some starts if not.
func TestStartsAreBoundedInAPoolOfOneWorker(t *testing.T) {
	for name, c := range map[string]struct {
		crash func(h *harness, ids []WorkerID)
		most  int
	}{
		"connections break":   {crashObserved, maxStartsOfCrashingTask},
		"no connection break": {crashUnobserved(backAfter), loneWeight * maxLoneCrashes},
	} {
		for _, workers := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s, %d workers", name, workers), func(t *testing.T) {
				if total := mostStartsOfCrashers(newStartedHarness(t, workers), loneBackOff, 1, c.crash); total > c.most {
					t.Errorf("%d starts within %v, want at most %d", total, loneBackOff, c.most)
				}
			})
		}
	}
}

// crashObserved lets the connections to workers break and starts other processes at the same addresses.
func crashObserved(h *harness, ids []WorkerID) {
	for _, id := range ids {
		h.breakConnection(id)
	}
	h.store()
	h.advanceClock(backAfter)
	h.restartAs("'", ids...)
}
