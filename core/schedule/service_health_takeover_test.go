package schedule

import (
	"testing"
	"time"

	"fulmarcourse.example/core/workload"
)

// Scenario: services have run on a worker for long and fail while the owner changes, so that the new one learns of the ends without having
// known the attempts, or soon after it has. Guards against a sound worker that is avoided for that.
func TestServicesThatFailAtATakeoverPutNoWorkerIntoBackOff(t *testing.T) {
	for name, adopted := range map[string]bool{"before the first report": false, "after it": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.addStarted("w1")
			var jobs []workload.Job
			for _, id := range []workload.JobID{"a", "b", "c"} {
				jobs = append(jobs, testJob(id, testService(1)))
				h.s.AddJob(jobs[len(jobs)-1], nil, false)
			}
			h.wantStarts(h.run(), len(jobs))
			for range 20 {
				h.elapse(reportingStep)
				h.run()
			}
			h.inherit(2, jobs...)
			if adopted {
				h.listWorkers()
				h.advanceClock(100 * time.Millisecond)
			}
			for _, job := range jobs {
				h.end(taskID(job.ID, 0, 0), EndFailed)
			}
			h.listWorkers()
			if h.s.workers["w1"].health.inBackOff(h.now.Boot) {
				t.Error("the worker is in back-off")
			}
		})
	}
}
