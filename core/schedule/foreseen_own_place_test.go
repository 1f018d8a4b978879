package schedule

import (
	"testing"
	"time"
)

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
	h.s.PollFailed(h.now, "w1", Grant{})
	h.report("w2")
	orders := starts(h.run())
	if w := h.s.foreseen.places[h.s.task(taskID("lost", 0, 0))]; w != nil {
		t.Errorf("the foreseen restart has its place on %s", w.info.ID)
	}
	h.wantStartedOn(orders, "returns", "w2")
}

// smallAndLargeLost returns a harness in which w0 and w1, which are silent, run services, "small" of 8 cores and "large" of 12, and w2 runs
// nothing, so that only "large" has a place there. The leases of w0 are about to expire, those of w1 do some time later.
func smallAndLargeLost(t *testing.T, later time.Duration) *harness {
	t.Helper()
	h := newHarness(t, 1)
	h.addWorker("w0", nil)
	h.addService("small", 8)
	h.wantStarts(h.run(), 1)
	h.addWorker("w1", nil)
	h.addService("large", 12)
	h.wantStarts(h.run(), 1)
	h.addWorker("w2", nil)
	h.wantStarts(h.passWithSilent(h.s.cfg.leaseBound()-time.Second, "w0", "w1"), 0)
	w0, w1 := h.s.workers["w0"], h.s.workers["w1"]
	w0.leaseEnd = h.now.Boot + time.Second
	w1.leaseEnd = w0.leaseEnd + later
	h.wantStarts(h.passWithSilent(time.Second-reportingStep, "w0", "w1"), 0)
	if place := h.s.foreseen.places[h.s.task(taskID("large", 0, 0))]; place != h.s.workers["w2"] {
		t.Fatal("large has no place")
	}
	return h
}

// Guards against a service whose foreseen place is taken by another one that has none, because the leases of its worker expire some
// milliseconds earlier: the places were chosen for the largest first, and small ones would break up the room.
func TestForeseenRestartsWithoutAPlaceTakeNoneOfOthers(t *testing.T) {
	h := smallAndLargeLost(t, reportingStep)
	h.wantStarts(h.passWithSilent(reportingStep, "w0", "w1"), 0)
	if small := h.s.task(taskID("small", 0, 0)); !small.displaced() || small.nomination.worker != nil {
		t.Errorf("small is displaced: %t, and nominated to %v", small.displaced(), small.nomination.worker)
	}
	h.wantStartedOn(h.passWithSilent(reportingStep, "w0", "w1"), "large", "w2")
}

// Guards against a service that waits for longer than restartOverdueAfter beside room that is kept for one whose leases expire much later.
func TestOverdueForeseenRestartWithoutAPlaceTakesThatOfAnother(t *testing.T) {
	h := smallAndLargeLost(t, 3*time.Second)
	h.wantStarts(h.passWithSilent(restartOverdueAfter, "w0", "w1"), 0)
	h.wantStartedOn(h.passWithSilent(scanInterval+reportingStep, "w0", "w1"), "small", "w2")
}
