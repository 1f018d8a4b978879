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

// Guards against a worker on which services fail soon after their starts and that is not avoided, because the owner which has started them
// has taken over, or because they were started from a checkpoint.
func TestServicesThatFailSoonAfterATakeoverPutTheirWorkerIntoBackOff(t *testing.T) {
	h := newHarness(t, 1)
	h.addStarted("w1")
	h.inherit(2)
	h.listWorkers()
	var services []workload.TaskID
	for _, id := range []workload.JobID{"a", "b"} {
		h.s.AddJob(testJob(id, testService(1)), nil, false)
		services = append(services, taskID(id, 0, 0))
		h.s.task(services[len(services)-1]).checkpoint = "checkpoint"
	}
	h.wantStarts(h.run(), len(services))
	h.advanceClock(restartOverdueAfter / 2)
	for _, id := range services {
		h.end(id, EndFailed)
	}
	h.listWorkers()
	if !h.s.workers["w1"].health.inBackOff(h.now.Boot) {
		t.Error("the worker is not in back-off")
	}
}
