package schedule

import "testing"

// replace ends the process of a worker with all that it runs and lists another worker at its address.
func (h *harness) replace(id, next WorkerID) *simWorker {
	before := h.workers[id]
	delete(h.workers, id)
	return h.addWorker(next, func(info *WorkerInfo) {
		info.Address, info.StartedMs = before.info.Address, before.info.StartedMs+1
	})
}

// addStarted adds a worker whose entry says when its process started.
func (h *harness) addStarted(id WorkerID) *simWorker {
	return h.addWorker(id, func(info *WorkerInfo) { info.StartedMs = 1 })
}

func countEvents(events []Event, kind EventKind) int {
	n := 0
	for _, e := range events {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

// Guards against a crash that the log does not show because the worker returned under another ID.
func TestReplacedWorkerIsLogged(t *testing.T) {
	h := newHarness(t, 1)
	h.addStarted("w1")
	h.s.AddJob(testJob("job", testStep(2)), nil, false)
	h.run()
	h.reportAll()
	h.s.TakeEvents()
	h.replace("w1", "w2")
	events := h.s.TakeEvents()
	if replaced, crashed := countEvents(events, EventWorkerReplaced), countEvents(events, EventAttemptCrashed); replaced != 1 || crashed != 2 {
		t.Fatalf("%d workers replaced, %d attempts crashed, want 1 and 2: %+v", replaced, crashed, events)
	}
}
