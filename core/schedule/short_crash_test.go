package schedule

import (
	"fmt"
	"testing"
	"time"

	"fulmarcourse.example/core/workload"
)

// Scenario: a task of 300 ms has reported a tenth of its work when its worker is cut off. It ends done behind the cut, the worker crashes
// there, and the end of the cut breaks the connection, all within MaxUnobserved after the worker's last answer; the same happens to the
// next worker. In half of the cases the connection stays, and the next process answers under the same ID and has started within that time.
// Guards against a job that is shown as failed although no worker has crashed under any of its tasks.
func TestShortTaskThatEndsBeforeCrashesIsNotGivenUp(t *testing.T) {
	const (
		runTime  = 300 * time.Millisecond
		answered = runTime / 10
	)
	for name, crash := range map[string]func(h *harness, id WorkerID){
		"connection breaks": func(h *harness, id WorkerID) {
			h.breakConnection(id)
			h.store()
			h.advanceClock(backAfter)
			h.restartAs("'", id)
		},
		"next process starts": func(h *harness, id WorkerID) {
			h.s.PollFailed(h.now, id, Grant{})
			h.restart(id)
			h.workers[id].incarnation, h.workers[id].info.StartedMs = h.now.UnixMs, h.now.UnixMs
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newStartedHarness(t, 8)
			step := testStep(1)
			step.EstimateMs = runTime.Milliseconds()
			task := taskID("job", 0, 0)
			h.s.AddJob(testJob("job", step), nil, false)
			for range briefCrashLimit {
				h.wantStarts(h.run(), 1)
				id := h.workerOf(task)
				h.advanceClock(answered)
				h.workers[id].running[0].Percent = 100 * float64(answered) / float64(runTime)
				h.report(id)
				h.advanceClock(MaxUnobserved - 2*answered)
				h.end(task, EndDone)
				crash(h, id)
				h.settleWithoutStarts()
				h.wantState("job", workload.StateRunning)
			}
		})
	}
}

// Scenario: a task of 300 ms crashes each of its workers, some time after their last answer. Guards against a crashing task that takes more
// workers than the platform allows because it may have been done before each crash, also over owners and where the first crash is uncertain.
func TestShortTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	const runTime = 300 * time.Millisecond
	for name, c := range map[string]struct {
		after     time.Duration // from the accepted start to the break
		uncertain bool          // the first crash comes behind a cut
		most      int           // starts
	}{
		"at once":                                     {after: 10 * time.Millisecond, most: briefCrashLimit},
		"before it can be done":                       {after: 140 * time.Millisecond, most: briefCrashLimit},
		"when it may be done":                         {after: 400 * time.Millisecond, most: briefCrashLimit + 1},
		"at once, after an uncertain one":             {after: 10 * time.Millisecond, uncertain: true, most: certainBriefCrashes},
		"when it may be done, after an uncertain one": {after: 400 * time.Millisecond, uncertain: true, most: certainBriefCrashes + 1},
	} {
		for _, takeover := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, takeover %t", name, takeover), func(t *testing.T) {
				h := newStartedHarness(t, 8)
				step := testStep(1)
				step.EstimateMs = runTime.Milliseconds()
				job := testJob("crashing", step)
				h.s.AddJob(job, nil, false)
				total := 0
				for term := int64(2); total < maxStartsOfCrashingTask; term++ {
					ordered := len(starts(h.run()))
					if total += ordered; ordered == 0 {
						break
					}
					id := h.workerOf(taskID("crashing", 0, 0))
					h.advanceClock(c.after)
					if c.uncertain && total == 1 {
						h.s.PollFailed(h.now, id, Grant{})
					} else {
						h.breakConnection(id)
					}
					h.store()
					if takeover {
						h.inherit(term, job)
					}
					h.advanceClock(backAfter)
					h.restartAs("'", id)
					h.settleWithoutStarts()
				}
				h.wantState("crashing", workload.StateFailed)
				if total > c.most {
					t.Errorf("%d starts, want at most %d", total, c.most)
				}
			})
		}
	}
}

// Guards against a shortest rest that is longer than a task may take: it counts from the share that is done, is at most the run time of
// another task of the step, and is not known where the task goes on from a checkpoint and has not been listed.
func TestShortestRest(t *testing.T) {
	for name, c := range map[string]struct {
		change func(a *attempt)
		want   time.Duration
	}{
		"new":                    {func(*attempt) {}, 500 * time.Millisecond},
		"half done":              {func(a *attempt) { a.percent = 50 }, 250 * time.Millisecond},
		"another is done sooner": {func(a *attempt) { a.task.step.fastest = 1000 }, 100 * time.Millisecond},
		"another is done later":  {func(a *attempt) { a.task.step.fastest = 50 }, 500 * time.Millisecond},
		"without an estimate":    {func(a *attempt) { a.task.step.spec.EstimateMs = 0 }, 0},
		"from a checkpoint":      {func(a *attempt) { a.resumed = true }, 0},
		"from one, and listed":   {func(a *attempt) { a.resumed, a.listedAt, a.percent = true, 1, 80 }, 100 * time.Millisecond},
	} {
		h := newStartedHarness(t, 4)
		h.s.AddJob(testJob("job", testStep(2)), nil, false)
		h.wantStarts(h.run(), 2)
		a := h.s.task(taskID("job", 0, 0)).attempts[0]
		c.change(a)
		if got := a.shortestRest(); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// Guards against a shortest rest that leaves out the tasks that are done: the fastest rate of a step is recorded with each of them, and a slower
// one does not replace it.
func TestFastestRateOfAStepIsThatOfItsDoneTasks(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	h.s.AddJob(testJob("job", testStep(3)), nil, false)
	h.wantStarts(h.run(), 3)
	for n, after := range []time.Duration{2 * time.Second, 2 * time.Second} {
		h.advanceClock(after)
		h.end(taskID("job", 0, n), EndDone)
		h.reportAll()
	}
	st := h.s.task(taskID("job", 0, 0)).step
	if first, second := st.tasks[0].rate, st.tasks[1].rate; second >= first || st.fastest != first {
		t.Errorf("rates %v and %v, the fastest is %v", first, second, st.fastest)
	}
}
