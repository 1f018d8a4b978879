package schedule

import (
	"fmt"
	"testing"
	"time"

	"fulmarcourse.example/core/workload"
)

// Scenario: the only worker of a pool is cut off soon after a harmless service has started there, crashes behind the cut and is back 3 s
// later, several times. Guards against counting each of these crashes as a lone one, since no other worker can have a gap: the service
// would wait for loneBackOff beside a free worker that answers.
func TestServiceWaitsNoLongerInAPoolOfOneWorker(t *testing.T) {
	for _, workers := range []int{1, 2} {
		t.Run(fmt.Sprintf("%d workers", workers), func(t *testing.T) {
			h := newStartedHarness(t, workers)
			task := taskID("job", 0, 0)
			h.s.AddJob(testJob("job", testService(1)), nil, false)
			for n := range 6 {
				h.wantWait(task, simServiceDown-backAfter, func() {})
				id := h.workerOf(task)
				h.s.PollFailed(h.now, id, Grant{})
				h.store()
				h.advanceClock(backAfter)
				h.restartAs(WorkerID(fmt.Sprint("-", n)), id)
				h.wantState("job", workload.StateRunning)
			}
		})
	}
}

// Guards against harmless suspects that run one after another on few workers, so that the last one waits beside a pool of which under half
// is in use for longer than the platform allows a service: workers were cut off and crashed under all of them three times.
func TestManySuspectsWithUncertainCrashesStartInASmallPool(t *testing.T) {
	const workers, jobs = 2, 30
	h := newStartedHarness(t, workers)
	for n := range jobs {
		id := workload.JobID(fmt.Sprint("job", n))
		step := testService(1)
		step.Size.MilliCPU = 500
		h.s.AddJob(testJob(id, step), nil, false)
		for c := range 3 {
			h.s.addCrash(h.s.task(taskID(id, 0, 0)), workload.Crash{Worker: "gone", StartedMs: int64(c), Uncertain: true})
		}
	}
	h.store()
	started, from := 0, h.now.Boot
	for h.now.Boot-from < time.Minute && started < jobs {
		started += len(starts(h.run()))
		h.elapse(reportingStep)
	}
	if waited := h.now.Boot - from; started < jobs || waited > simServiceDown {
		t.Errorf("%d of %d services have started after %v, want all within %v", started, jobs, waited, simServiceDown)
	}
}

// Scenario: a task that crashes its workers is one of many suspects with three uncertain crashes each, some of which are explained by another
// task that was given up, and shares workers with some of them. Guards against more starts of it than the platform allows, and against giving
// up one that has shared its worker.
func TestTaskThatCrashesAGroupOfUncertainSuspectsIsGivenUp(t *testing.T) {
	for _, suspects := range []int{2, 12, 30} {
		for _, workers := range []int{1, 2, 4} {
			for _, crashing := range []int{0, suspects - 1} {
				t.Run(fmt.Sprintf("%d suspects, %d workers, crashing %d", suspects, workers, crashing), func(t *testing.T) {
					g := newGroupSim(t, suspects, workers, crashing)
					for n, id := range g.tasks {
						g.s.task(id).crashes = nil
						for c := range 3 {
							known := n%3 == 0 && n != crashing && c == 0
							g.s.addCrash(g.s.task(id), workload.Crash{Worker: "gone", StartedMs: int64(c), Uncertain: !known, Explained: known})
						}
						g.starts[id] = 3
					}
					g.store()
					g.play(groupSimLength)
					t.Logf("longest wait %v", g.longest)
				})
			}
		}
	}
}
