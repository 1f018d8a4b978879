package schedule

import (
	"testing"
	"time"

	"fulmarcourse.example/core/workload"
)

// shrink sets the processor time of a worker, as its next entry in the platform's list says.
func (h *harness) shrink(id WorkerID, milliCPU int64) {
	h.workers[id].info.Capacity.MilliCPU = milliCPU
	h.list()
}

// newHarnessWithOne returns a harness with the worker w1, which runs a service and an ordinary task of 4 cores each.
func newHarnessWithOne(t *testing.T) *harness {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	service := serviceStep("image", 1)
	service.Size.MilliCPU = 4000
	h.s.AddJob(testJob("service", service), nil, false)
	h.s.AddJob(testJob("running", coresStep(4)), nil, false)
	h.wantStarts(h.run(), 2)
	h.reportAll()
	return h
}

// coresStep returns a step with one task of some cores, which is so long that it does not count as stuck.
func coresStep(cores int64) workload.Step {
	step := testStep(1)
	step.Size.MilliCPU = cores * 1000
	step.EstimateMs = time.Hour.Milliseconds()
	return step
}

// Guards against tasks that are stopped, or that wait for room which is there, when the capacity of their worker shrinks
// below what they reserve: they go on, nothing starts beside them, and starts resume as soon as the capacity grows.
func TestTasksGoOnWhileCapacityShrinks(t *testing.T) {
	h := newHarnessWithOne(t)
	h.shrink("w1", 5000)
	h.s.AddJob(testJob("waiting", coresStep(1)), nil, false)
	h.wantNoOrders(h.settle())
	h.end(taskID("running", 0, 0), EndDone)
	h.reportAll()
	h.wantStarts(h.run(), 1) // 4 of 5 cores are reserved
	h.s.AddJob(testJob("next", coresStep(2)), nil, false)
	h.wantNoOrders(h.settle())
	h.shrink("w1", 16000)
	h.wantStarts(h.plan(), 1)
}

func (h *harness) wantNoOrders(orders []Order) {
	h.t.Helper()
	if len(orders) > 0 {
		h.t.Fatalf("unexpected orders: %s", describe(orders))
	}
}

// Guards against a new owner that starts tasks on workers whose capacity has shrunk below what they run: it learns from
// the list how much they have and from their reports what they run.
func TestNewOwnerStartsNothingOnShrunkWorkers(t *testing.T) {
	h := newHarnessWithOne(t)
	h.shrink("w1", 5000)
	service := h.s.jobs["service"].rec
	running := h.s.jobs["running"].rec
	h.inherit(2, service, running)
	h.s.AddJob(testJob("waiting", coresStep(1)), nil, false)
	h.listWorkers()
	h.wantNoOrders(h.settle())
	h.shrink("w1", 16000)
	h.wantStarts(h.plan(), 1)
}

// Guards against urgent tasks that wait for a worker whose capacity has shrunk although another one has room, also where
// their data is on the shrunk one, and before the list shows its capacity.
func TestTasksGoElsewhereAtOnceWhenCapacityShrinks(t *testing.T) {
	for _, listed := range []bool{false, true} {
		h := newHarnessWithOne(t)
		h.workers["w1"].info.Labels = []string{"rack1"}
		h.addWorker("w2", func(info *WorkerInfo) { info.Labels = []string{"rack2"} })
		step := testStep(1)
		step.DataRack = "rack1"
		h.s.AddJob(testJob("urgent", step), nil, false)
		if listed {
			h.shrink("w1", 5000)
		} else {
			rejected := starts(h.plan())
			h.wantStarts(rejected, 1)
			h.s.OrderAnswered(h.now, rejected[0], RejectedNoCapacity)
		}
		orders := h.plan()
		h.wantStarts(orders, 1)
		if w := starts(orders)[0].Worker; w != "w2" {
			t.Errorf("capacity listed %t: the task starts on %s, want w2", listed, w)
		}
	}
}

// Guards against a worker that counts as faulty, and a job that counts as failing, because starts are rejected for lack of
// capacity.
func TestRejectionForCapacityIsNoFault(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	h.s.AddJob(testJob("job", testStep(1)), nil, false)
	for range 2 * testQueue().MaxFailures {
		orders := starts(h.plan())
		h.wantStarts(orders, 1)
		h.s.OrderAnswered(h.now, orders[0], RejectedNoCapacity)
		h.advanceClock(20 * time.Second)
		h.listWorkers()
	}
	if n := countEvents(h.s.TakeEvents(), EventWorkerInBackOff); n != 0 {
		t.Errorf("the worker was backed off %d times", n)
	}
	h.wantStarts(h.run(), 1)
	h.wantState("job", workload.StateRunning)
}

// Guards against starts that are repeated every half second on a worker whose capacity has shrunk while the list does not
// show it, as when the store is away; each is rejected.
func TestWorkerWithoutCapacityIsNotHammered(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	h.s.AddJob(testJob("job", testStep(1)), nil, false)
	rejected := 0
	for range 100 {
		for _, o := range starts(h.plan()) {
			h.s.OrderAnswered(h.now, o, RejectedNoCapacity)
			rejected++
		}
		h.advanceClock(100 * time.Millisecond)
		h.reportAll()
	}
	if most := 7; rejected > most { // after 0, 0.5, 1.5, 3.5, 5.5, 7.5 and 9.5 s
		t.Errorf("%d starts were rejected within 10 s, want at most %d", rejected, most)
	}
}

// Guards against a back-off that outlasts the lack of capacity: the list shows the capacity that the worker has.
func TestStartsResumeWhenTheListShowsTheCapacity(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	h.s.AddJob(testJob("large", coresStep(10)), nil, false)
	orders := starts(h.plan())
	h.wantStarts(orders, 1)
	h.s.OrderAnswered(h.now, orders[0], RejectedNoCapacity)
	h.wantStarts(h.plan(), 0)
	h.s.AddJob(testJob("small", coresStep(1)), nil, false)
	h.shrink("w1", 5000)
	h.wantStarts(h.plan(), 1)
	h.shrink("w1", 16000)
	h.wantStarts(h.plan(), 1)
}

// Guards against capacity that is left unused because a rejection arrives after the list has shown why the task did not fit.
func TestRejectionThatTheListExplainsCausesNoBackOff(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	h.s.AddJob(testJob("large", coresStep(10)), nil, false)
	orders := starts(h.plan())
	h.wantStarts(orders, 1)
	h.shrink("w1", 5000)
	h.s.OrderAnswered(h.now, orders[0], RejectedNoCapacity)
	h.s.AddJob(testJob("small", coresStep(1)), nil, false)
	h.wantStarts(h.plan(), 1)
}
