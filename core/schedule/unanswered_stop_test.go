package schedule

import (
	"testing"
	"time"
)

// Scenario: the owner has an attempt stopped, and the worker carries that out and crashes before its answer arrives. Guards against a
// crash that counts as certain under a task which may have been stopped before.
func TestAttemptWithAnUnansweredStopIsNoCertainCrash(t *testing.T) {
	h := newStartedHarness(t, 4)
	task := taskID("job", 0, 0)
	h.s.AddJob(testJob("job", testStep(1)), nil, false)
	h.wantStarts(h.run(), 1)
	id := h.workerOf(task)
	h.s.PollFailed(h.now, id, Grant{})
	h.s.stop(h.now.Boot, h.s.task(task).attempts[0])
	orders := ofKind(h.s.TakeOrders(), OrderStop)
	h.report(id)
	for _, o := range orders {
		h.execute(o) // the answer is lost
	}
	h.breakConnection(id)
	h.store()
	h.advanceClock(backAfter)
	h.restartAs("'", id)
	if crashes := h.s.task(task).crashes; len(orders) != 1 || len(crashes) != 1 || !crashes[0].Uncertain {
		t.Errorf("%d stops, crashes on record: %+v, want one stop and an uncertain crash", len(orders), crashes)
	}
}

// Scenario: a task crashes its worker, whose connection breaks, and the owner then orders the worker to stop the task, without an answer.
// Guards against a crash that proves nothing because of that stop: the task would be started on further workers. Guards also against a
// crash that counts as certain although the worker has accepted the stop.
func TestStopAfterTheConnectionHasBrokenLeavesACrashCertain(t *testing.T) {
	for _, accepted := range []bool{false, true} {
		h := newStartedHarness(t, 4)
		task := taskID("job", 0, 0)
		h.s.AddJob(testJob("job", testStep(1)), nil, false)
		h.wantStarts(h.run(), 1)
		id := h.workerOf(task)
		h.breakConnection(id)
		h.advanceClock(time.Millisecond)
		h.s.stop(h.now.Boot, h.s.task(task).attempts[0])
		orders := ofKind(h.s.TakeOrders(), OrderStop)
		for _, o := range orders {
			if accepted {
				h.accept(o)
			}
		}
		h.store()
		h.advanceClock(backAfter)
		h.restartAs("'", id)
		if crashes := h.s.task(task).crashes; len(orders) != 1 || len(crashes) != 1 || crashes[0].Uncertain != accepted {
			t.Errorf("accepted %t: %d stops, crashes on record: %+v, want one stop and a crash, certain: %t", accepted, len(orders), crashes, !accepted)
		}
	}
}
