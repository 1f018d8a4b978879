package schedule

import (
	"fmt"
	"testing"
	"time"

	"fulmarcourse.example/core/workload"
)

// newUncertainSuspect returns a scheduler with free workers and a task on whose record a number of brief crashes are which it may not have
// caused: its workers were cut off, and crashed behind the cut.
func newUncertainSuspect(t *testing.T, step workload.Step, crashes int) (h *harness, job workload.Job) {
	t.Helper()
	h = newStartedHarness(t, 4)
	job = testJob("job", step)
	h.s.AddJob(job, nil, false)
	for n := range crashes {
		h.s.addCrash(h.s.task(taskID("job", 0, 0)), workload.Crash{Worker: "gone", StartedMs: int64(n), Uncertain: true})
	}
	h.store()
	return h, job
}

// Guards against a task that waits beside free workers, all of which answer, for longer than the platform allows because several workers
// were cut off and crashed soon after they had started it (issue 47). A change of the owner is a disturbance of its own, after which a task
// has to run within the time without one that the platform states.
func TestTaskWithUncertainCrashesStartsBesideFreeWorkers(t *testing.T) {
	for crashes := 1; crashes <= 6; crashes++ {
		for kind, step := range waitingSteps() {
			for _, takeover := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d crashes, %s, takeover %t", crashes, kind, takeover), func(t *testing.T) {
					h, job := newUncertainSuspect(t, step, crashes)
					bound := taskWaitBound
					if takeover {
						h.inherit(2, job)
						h.listWorkers()
						bound = simCalmDown
					}
					h.wantWait(taskID("job", 0, 0), bound, func() {})
				})
			}
		}
	}
}

// Guards against a further crash that is as uncertain as those before because the worker was not watched: the task starts only where it
// is, also if that worker has less room, and after its bound on any worker, where each has gaps all the time.
func TestTaskWithUncertainCrashesStartsWhereItIsWatched(t *testing.T) {
	for _, allHaveGaps := range []bool{false, true} {
		h, _ := newUncertainSuspect(t, testStep(1), watchedFrom)
		h.s.AddJob(testJob("beside", testStep(1)), nil, false)
		h.wantStarts(h.run(), 1)
		watched := h.workerOf(taskID("beside", 0, 0))
		waited := h.waitOf(taskID("job", 0, 0), func() {
			for _, id := range h.workerIDs() {
				if allHaveGaps || id != watched {
					h.s.ReportsLost(id)
				}
			}
		})
		switch {
		case allHaveGaps && (waited < watchWait || waited > watchWait+reportingStep):
			t.Errorf("where all workers have gaps the task has waited for %v, want %v", waited, watchWait)
		case !allHaveGaps && (waited > taskWaitBound || h.workerOf(taskID("job", 0, 0)) != watched):
			t.Errorf("the task has started on %s after %v, want %s within %v", h.workerOf(taskID("job", 0, 0)), waited, watched, taskWaitBound)
		}
	}
}

// Scenario: all workers are cut off soon after a service has started on one of them, crash behind the cut and are back 3 s later, many
// times. Guards against taking that for a task that crashes its workers unobserved: it would wait for minutes.
func TestServiceWaitsNoLongerAfterCutsOfManyWorkers(t *testing.T) {
	const cuts = 2 * maxStartsOfCrashingTask
	for _, takeover := range []bool{false, true} {
		h := newStartedHarness(t, 4)
		job := testJob("job", testService(1))
		task := taskID("job", 0, 0)
		h.s.AddJob(job, nil, false)
		for n := range cuts {
			h.wantWait(task, simServiceDown-backAfter, func() {})
			for _, id := range h.workerIDs() {
				h.s.PollFailed(h.now, id, Grant{})
			}
			h.store()
			if takeover {
				h.inherit(int64(2+n), job)
			}
			h.advanceClock(backAfter)
			h.restartAs(WorkerID(fmt.Sprint("-", n)), h.workerIDs()...)
			h.wantState("job", workload.StateRunning)
		}
		if crashes := h.s.task(task).countCrashes(isUncertainBrief); crashes != cuts {
			t.Errorf("%d uncertain crashes on record, want %d", crashes, cuts)
		}
	}
}

// Guards against a back-off after crashes behind cuts of several workers, because the gaps of the others are forgotten, and against a task
// that crashes its workers and never gets it, because of a worker that misses a poll by chance, of others that its job crashes, or because
// its next process answered so soon that no gap was seen.
func TestCrashesThatComeAlone(t *testing.T) {
	for name, c := range map[string]struct {
		first   time.Duration // time of the gaps of two other workers before that of the worker; 0 for none
		others  []WorkerID    // workers with a gap after it
		suspect WorkerID      // runs a suspect before
		noGap   bool          // of the worker itself
		alone   bool
	}{
		"no other":                 {alone: true},
		"no gap seen":              {noGap: true, alone: true},
		"others long before":       {first: loneWindow + time.Second, alone: true},
		"others just before":       {first: loneWindow - time.Second},
		"others after":             {others: []WorkerID{"w2", "w3"}},
		"others, no gap seen":      {others: []WorkerID{"w2", "w3"}, noGap: true},
		"one other by chance":      {others: []WorkerID{"w2"}, alone: true},
		"one that runs a suspect":  {others: []WorkerID{"w2", "w3"}, suspect: "w2", alone: true},
		"two others and a suspect": {others: []WorkerID{"w1", "w2", "w3"}, suspect: "w1"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newStartedHarness(t, 5)
			if c.suspect != "" {
				h.s.AddJob(testJob("job", testStep(1)), nil, false)
				suspect := h.s.task(taskID("job", 0, 0))
				suspect.crashes = []workload.Crash{{Worker: "gone"}}
				h.s.start(h.now.Boot, suspect, h.s.workers[c.suspect])
			}
			h.advanceClock(breakAfterStart + time.Millisecond)
			if c.first > 0 {
				h.s.PollFailed(h.now, "w1", Grant{})
				h.s.PollFailed(h.now, "w2", Grant{})
				h.advanceClock(c.first)
			}
			if !c.noGap {
				h.s.PollFailed(h.now, "w0", Grant{})
			}
			h.advanceClock(time.Second)
			for _, id := range c.others {
				h.s.ReportsLost(id)
			}
			if alone := h.s.crashesAlone(h.s.workers["w0"]); alone != c.alone {
				t.Errorf("the crash comes alone: %t, want %t", alone, c.alone)
			}
		})
	}
}
