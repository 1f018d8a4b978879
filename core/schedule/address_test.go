package schedule

import (
	"slices"
	"testing"
)

// Scenario: a worker starts again under its ID at another address. Guards against a later owner that polls the former one if the
// platform's list cannot be read; and against one that takes the address of a changed entry, at which the worker has not answered.
func TestKnownWorkersAreStoredWithTheAddressOfTheirAnswer(t *testing.T) {
	h := newHarness(t, 1)
	w := h.addWorker("w1", nil)
	h.s.KnownWorkers()
	stored := func(want string) {
		t.Helper()
		infos, changed := h.s.KnownWorkers()
		if !changed || len(infos) != 1 || infos[0].Address != want {
			t.Errorf("known workers %+v, changed %v, want the address %s", infos, changed, want)
		}
	}
	entry := w.info
	entry.Address = "elsewhere"
	h.s.SetWorkers(h.now, []WorkerInfo{entry})
	if infos, changed := h.s.KnownWorkers(); changed {
		t.Errorf("known workers %+v are stored for a changed entry", infos)
	}
	w.info.Address = "elsewhere"
	w.incarnation++
	h.reportAll()
	stored("elsewhere")
}

// Scenario: another writer changes the entry of a live worker, which names the address of one that has started later. Guards against
// treating the worker as no longer listed: nothing would start on it for as long as the entry stays.
func TestWorkerListedAtTheAddressOfALaterOneStaysListed(t *testing.T) {
	h, on, listed := runningService(t)
	n := slices.IndexFunc(listed, func(info WorkerInfo) bool { return info.ID != on.ID })
	h.workers[listed[n].ID].incarnation += 5000
	h.reportAll()
	for i := range listed {
		if listed[i].ID == on.ID {
			listed[i].Address = listed[n].Address
		}
	}
	h.s.SetWorkers(h.now, listed)
	if w := h.s.workers[on.ID]; w == nil || !w.listed {
		t.Errorf("%s is not listed any more", on.ID)
	}
}

// Scenario: a worker starts again under its ID at another address, and another process at the former one, which answers first. Guards
// against forgetting that tasks of a former owner may run at the new address: they would start a second time.
func TestInheritedWorkerThatMovesIsAwaited(t *testing.T) {
	h := inheritedHarness(t)
	h.report("w1")
	moved := h.workers["w2"]
	former := moved.info.Address
	moved.info.Address, moved.info.StartedMs, moved.incarnation = "elsewhere", 2, 2
	moved.running = []Running{{Task: taskID("old", 0, 0), Attempt: 1}}
	h.list()
	h.workers["w3"] = &simWorker{info: h.workers["w1"].info, incarnation: 3, stopped: map[attemptKey]bool{}}
	h.workers["w3"].info.ID, h.workers["w3"].info.Address, h.workers["w3"].info.StartedMs = "w3", former, 3
	h.list()
	h.report("w3")
	h.list()
	h.wantStarts(h.run(), 0)
	h.report("w2")
	h.wantStarts(h.run(), 0)
	if n := len(h.s.task(taskID("old", 0, 0)).attempts); n != 1 {
		t.Errorf("the task that runs at the new address has %d attempts, want 1", n)
	}
}
