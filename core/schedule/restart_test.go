package schedule

import (
	"testing"

	"fulmarcourse.example/core/workload"
)

// testService returns a service step.
func testService(tasks int) workload.Step {
	step := testStep(tasks)
	step.Service = true
	return step
}

// withCores returns a change that gives a worker a number of cores.
func withCores(cores int64) func(*WorkerInfo) {
	return func(info *WorkerInfo) { info.Capacity.MilliCPU = 1000 * cores }
}

// Guards against a full pool whose waiting tasks keep those of another pool, which has room, from starting.
func TestFullPoolDoesNotHoldUpOtherPools(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", withCores(1))
	h.addWorker("w2", func(info *WorkerInfo) { info.Pool = "other" })
	h.s.AddJob(testJob("a", testStep(2)), nil, false)
	other := testJob("b", testStep(3)) // more work, so that it comes last
	other.Queue.Pool = "other"
	h.s.AddJob(other, nil, false)
	h.wantStarts(h.orderedFor(h.run(), "b"), 3)
}

// Guards against a service start that is ordered although its worker has stopped answering while the start was stored: it
// would stay without an answer until the leases of the worker have expired.
func TestServiceStartIsNotOrderedOnceItsWorkerIsSilent(t *testing.T) {
	for name, silence := range map[string]func(h *harness){
		"poll failed": func(h *harness) { h.s.PollFailed(h.now, "w1") },
		"no report":   func(h *harness) { h.advanceClock(unreachableAfter) },
	} {
		h := newHarness(t, 1)
		h.addWorker("w1", nil)
		h.s.AddJob(testJob("service", testService(1)), nil, false)
		h.s.Plan(h.now)
		silence(h)
		h.store()
		if orders := starts(h.s.TakeOrders()); len(orders) > 0 {
			t.Errorf("%s: %s", name, describe(orders))
		}
		h.addWorker("w2", nil)
		h.s.PollFailed(h.now, "w1")
		if orders := starts(h.run()); len(orders) != 1 || orders[0].Worker != "w2" {
			t.Errorf("%s: then %s", name, describe(orders))
		}
	}
}
