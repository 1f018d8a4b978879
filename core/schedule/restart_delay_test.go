package schedule

import (
	"testing"
	"time"
)

// Guards against figures from which it cannot be told why a service runs again late: whether the start was decided late,
// the store confirmed its worker late or the worker answered late.
func TestRestartsTellWhatTheyWaitedFor(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	service := testStep(1)
	service.Service = true
	h.s.AddJob(testJob("service", service), nil, false)
	first := h.run()
	if r := h.s.TakeRestarts(); r.Confirmation.Count != 0 {
		t.Error("the first start is counted as a restart")
	}
	h.s.TakeEvents()

	h.advanceClock(time.Second)
	h.end(first[0].Task, EndFailed)
	h.workers["w1"].info.Draining = true
	h.listWorkers()
	endKnown := h.now.Boot
	h.plan() // no worker may get it
	h.advanceClock(7 * time.Second)
	if wait := h.s.Counts(h.now).LongestServiceWait; wait != 7*time.Second {
		t.Errorf("the longest wait of a service is %v", wait)
	}
	h.addWorker("w2", nil)
	h.s.Plan(h.now)
	undecided := h.now.Boot - endKnown
	h.advanceClock(2 * time.Second)
	h.store()
	orders := h.s.TakeOrders()
	h.wantStarts(orders, 1)
	h.advanceClock(300 * time.Millisecond)
	h.accept(orders[0])

	r := h.s.TakeRestarts()
	if r.Decision.Max != undecided || r.Store.Max != 2*time.Second || r.Confirmation.Max != 300*time.Millisecond {
		t.Errorf("%v to the decision, %v to the order, %v to the answer", r.Decision.Max, r.Store.Max, r.Confirmation.Max)
	}
	if wait := h.s.Counts(h.now).LongestServiceWait; wait != 0 {
		t.Errorf("a service that runs waits %v", wait)
	}
	for _, event := range h.s.TakeEvents() {
		if event.Kind == EventTaskStarted && (event.Waited != undecided+2*time.Second || event.Stored != 2*time.Second) {
			t.Errorf("the event of the start says %v, of it %v after the decision", event.Waited, event.Stored)
		}
	}
}

// Guards against a wait that begins anew with each start that a worker rejects.
func TestRejectedStartDoesNotShortenTheWait(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	service := testStep(1)
	service.Service = true
	h.s.AddJob(testJob("service", service), nil, false)
	task := h.run()[0].Task
	h.advanceClock(time.Second)
	h.end(task, EndFailed)
	h.addWorker("w2", nil)
	endKnown := h.now.Boot
	h.addWorker("w3", nil)
	rejected := h.plan()
	h.wantStarts(rejected, 1)
	h.advanceClock(4 * time.Second)
	h.s.OrderAnswered(h.now, rejected[0], RejectedNoCapacity)
	h.reportAll()
	h.wantStarts(h.run(), 1)
	if r := h.s.TakeRestarts(); r.Decision.Max != h.now.Boot-endKnown {
		t.Errorf("%v from the end to the decision", r.Decision.Max)
	}
}
