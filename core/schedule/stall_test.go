package schedule

import (
	"testing"
	"time"
)

// Scenario: a data centre is cut off for some seconds, and the tasks there go on. Guards against taking the silence of their
// worker for a lack of progress: the tasks were stopped as soon as the worker answered again, and the worker counted as
// slow, so that its services moved as well.
func TestTasksOnSilentWorkersAreNotStalled(t *testing.T) {
	h := newHarness(t, 1)
	w1 := h.addWorker("w1", nil)
	step := testStep(1)
	step.EstimateMs = 8000
	h.s.AddJob(testJob("job", step), nil, false)
	h.wantStarts(h.run(), 1)
	h.addWorker("w2", nil)
	for range 90 {
		h.advanceClock(scanInterval)
		h.report("w2")
		if orders := h.run(); len(orders) > 0 {
			t.Fatalf("orders for a task on a silent worker: %s", describe(orders))
		}
	}
	w1.running[0].Percent = 90
	h.report("w1")
	h.advanceClock(scanInterval)
	if orders := h.run(); len(orders) > 0 {
		t.Fatalf("orders for a task that has made progress: %s", describe(orders))
	}
	if h.s.workers["w1"].slowness.slow(h.now.Boot) {
		t.Fatal("the worker counts as slow")
	}
}

// Guards against waiting for a task that its worker lists without progress for longer than the task is estimated to take.
func TestTasksThatStandStillAreMoved(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	h.s.AddJob(testJob("job", testStep(1)), nil, false)
	h.wantStarts(h.run(), 1)
	h.addWorker("w2", nil)
	stops := 0
	for at := time.Duration(0); at < 2*minStalledTime; at += scanInterval {
		h.advanceClock(scanInterval)
		h.reportAll()
		stops += len(ofKind(h.run(), OrderStop))
	}
	if stops != 1 {
		t.Fatalf("%d stops, want 1", stops)
	}
}
