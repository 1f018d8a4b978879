package schedule

import "testing"

// Scenario: a service fails on the worker that has room for it alone, while a silent worker runs another one of that size. Guards against a
// foreseen restart that gets its place where a service has just failed, which returns there: the place is lost before the leases of the
// silent worker have expired, and one that would have lasted goes to another restart or to nobody.
func TestForeseenRestartsHaveNoPlaceWhereAServiceReturns(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	h.addService("lost", 12)
	h.wantStarts(h.run(), 1)
	h.addWorker("w2", nil)
	h.addService("returns", 12)
	h.wantStarts(h.run(), 1)
	h.passWithSilent(foreseenAfter+2*scanInterval, "w1")
	h.end(taskID("returns", 0, 0), EndFailed)
	h.advanceClock(scanInterval) // the planning run that knows of the end is a scan
	h.list()
	h.s.PollFailed(h.now, "w1")
	h.report("w2")
	orders := starts(h.run())
	if w := h.s.foreseen.places[h.s.task(taskID("lost", 0, 0))]; w != nil {
		t.Errorf("the foreseen restart has its place on %s", w.info.ID)
	}
	h.wantStartedOn(orders, "returns", "w2")
}
