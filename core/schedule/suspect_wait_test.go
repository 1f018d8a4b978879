package schedule

import (
	"fmt"
	"testing"

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
