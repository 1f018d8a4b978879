package schedule

import (
	"fmt"
	"testing"
	"time"

	"fulmarcourse.example/core/workload"
)

// Scenario: services of several jobs fail one after another on the only worker. Guards against a sound worker that is in back-off for up
// to maxFailureBackOff again and again because services that ran there for long have failed: they never succeed, so their failures add
// up, and each that fails waits for restartOverdueAfter although its place is free. Guards also against a worker on which services
// fail soon after their starts and that is not avoided.
func TestServicesThatFailAfterALongRunPutNoWorkerIntoBackOff(t *testing.T) {
	for _, c := range []struct {
		runsFor time.Duration
		backOff bool
	}{{10 * time.Second, false}, {restartOverdueAfter, false}, {restartOverdueAfter / 2, true}} {
		t.Run(c.runsFor.String(), func(t *testing.T) {
			h := newHarness(t, 1)
			h.addWorker("w1", nil)
			var services []workload.TaskID
			for n := range 3 {
				id := workload.JobID(fmt.Sprint("service", n))
				h.startedService(id, 1)
				services = append(services, taskID(id, 0, 0))
			}
			h.elapse(c.runsFor)
			for _, id := range services {
				h.fail(id)
			}
			inBackOff := countEvents(h.s.TakeEvents(), EventWorkerInBackOff) > 0
			if inBackOff != c.backOff {
				t.Errorf("the worker is in back-off: %t, want %t", inBackOff, c.backOff)
			}
			if started := len(starts(h.run())); !c.backOff && started != len(services) {
				t.Errorf("%d of %d services started again at once", started, len(services))
			}
		})
	}
}
