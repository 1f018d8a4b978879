package schedule

import "testing"

// Scenario: an entry of another writer names a pool that does not exist and the address of a worker. Guards against taking the
// worker for ended, whose tasks would start again elsewhere while they run. A later process of the same pool does replace it,
// also beside such an entry.
func TestEntryOfAnotherPoolReplacesNoWorker(t *testing.T) {
	h := newHarness(t, 1)
	h.addStarted("w1")
	h.addStarted("w2")
	h.s.AddJob(testJob("job", testStep(1)), nil, false)
	orders := starts(h.run())
	h.reportAll()
	running := h.workers[orders[0].Worker].info
	foreign := running
	foreign.ID, foreign.Pool = "foreign", "no such pool"
	foreign.StartedMs = running.StartedMs + 5000
	listed := []WorkerInfo{foreign}
	for _, w := range h.workers {
		listed = append(listed, w.info)
	}
	h.s.TakeEvents()
	h.s.SetWorkers(h.now, listed)
	if n := countEvents(h.s.TakeEvents(), EventWorkerReplaced); n != 0 {
		t.Errorf("%d workers replaced by an entry of another pool, want none", n)
	}
	for range 3 {
		h.wantStarts(h.run(), 0)
		h.reportAll()
	}
	next := running
	next.ID, next.StartedMs = "next", running.StartedMs+1000
	h.s.SetWorkers(h.now, append(listed, next))
	if n := countEvents(h.s.TakeEvents(), EventWorkerReplaced); n != 1 {
		t.Errorf("%d workers replaced by a later process, want 1", n)
	}
}
