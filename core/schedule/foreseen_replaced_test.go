package schedule

import "testing"

// Scenario: a service is to be restarted in a place on another worker, and the next process at the address of that worker answers under
// another ID just before the leases of the silent one have expired. Guards against a start on the worker that has left: no outcome of that
// start is recorded, and the service does not run again under this owner.
func TestForeseenRestartLeavesTheWorkerThatIsReplaced(t *testing.T) {
	h := newHarness(t, 1)
	h.addStarted("w1")
	h.addService("lost", 12)
	h.wantStarts(h.run(), 1)
	h.addStarted("w2")
	h.passWithSilent(foreseenAfter, "w1")
	for end, _ := h.s.LeasesEnd("w1"); h.now.Boot+reportingStep < end; {
		h.passWithSilent(reportingStep, "w1")
	}
	if w := h.s.foreseen.places[h.s.task(taskID("lost", 0, 0))]; w == nil || w.info.ID != "w2" {
		t.Fatal("the service has no place on w2")
	}
	next := h.workers["w2"].info
	next.ID, next.StartedMs = "w3", next.StartedMs+1000
	delete(h.workers, "w2")
	h.workers["w3"] = &simWorker{info: next, incarnation: next.StartedMs, stopped: map[attemptKey]bool{}}
	h.wantStartedOn(h.passWithSilent(restartAfterLoss, "w1"), "lost", "w3")
}
