package schedule

import (
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
