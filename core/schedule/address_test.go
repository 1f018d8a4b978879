package schedule

import (
	"slices"
	"testing"
	"time"
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

// Scenario: a worker starts again under its ID as another kind; its entry is still that of the former process, or is already the new
// one while the answers to polls that were sent before still come from the former process. Guards against a task that starts on a worker
// without the label it needs.
func TestNothingStartsOnAWorkerBesideTheEntryOfAnotherProcess(t *testing.T) {
	step := testStep(1)
	step.Label = "ssd"
	for name, change := range map[string]func(h *harness, w *simWorker) (sentAt func() time.Duration){
		"former entry": func(h *harness, w *simWorker) func() time.Duration {
			w.incarnation = 2
			return func() time.Duration { return h.now.Boot }
		},
		"next entry": func(h *harness, w *simWorker) func() time.Duration {
			next := w.info
			next.StartedMs = 2
			h.s.SetWorkers(h.now, []WorkerInfo{next})
			read := h.now.Boot
			return func() time.Duration { return read }
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			w := h.addWorker("w1", func(info *WorkerInfo) { info.StartedMs, info.Labels = 1, []string{"ssd"} })
			sentAt := change(h, w)
			h.s.AddJob(testJob("job", step), nil, false)
			for range 100 { // 10 s, longer than a worker is avoided after a restart
				h.advanceClock(100 * time.Millisecond)
				h.s.Report(h.now, "w1", Report{Incarnation: w.incarnation, Address: w.info.Address, SentAt: sentAt()})
				h.wantStarts(h.run(), 0)
			}
			w.incarnation, w.info.StartedMs = 2, 2
			h.list()
			var started []Order
			for n := 0; len(started) == 0 && n < 100; n++ {
				h.advanceClock(100 * time.Millisecond)
				h.reportAll()
				started = starts(h.run())
			}
			h.wantStarts(started, 1)
		})
	}
}

// Scenario: a worker crashes, and another one starts again at its address after the clock of the machine was set back. Guards against
// a start that is compared with that of the crashed process: the live worker would count as ended, and its tasks would run twice.
func TestWorkerThatStartsBeforeTheFormerOneAtItsAddressStays(t *testing.T) {
	h := newHarness(t, 1)
	for id, start := range map[WorkerID]int64{"w1": 5000, "w2": 3000} {
		w := h.addWorker(id, func(info *WorkerInfo) { info.StartedMs = start })
		w.incarnation = start
	}
	h.reportAll()
	next := h.workers["w2"]
	next.info.Address, next.info.StartedMs, next.incarnation = h.workers["w1"].info.Address, 4000, 4000
	delete(h.workers, "w1")
	h.advanceClock(time.Second)
	h.s.SetWorkers(h.now, []WorkerInfo{next.info})
	h.report("w2")
	h.s.SetWorkers(h.now, []WorkerInfo{next.info})
	if w := h.s.workers["w2"]; w == nil || !w.listed {
		t.Error("the worker that has answered last is removed")
	}
}

// Scenario: a part of the known workers cannot be read, so a listed worker is stored before it answers; then the list names another
// address, at which it answers. Guards against tasks that start there while a later owner would know the former address only.
func TestWorkerStoredBeforeItsAnswerIsStoredAgainAtItsAddress(t *testing.T) {
	h := newHarness(t, 2)
	h.s.InheritUnknown(h.now)
	other := h.addWorker("other", nil) // its report changes the known workers
	silent := &simWorker{info: other.info, incarnation: 1, stopped: map[attemptKey]bool{}}
	silent.info.ID, silent.info.Address, silent.info.Labels = "silent", "first", []string{"ssd"}
	list := func() { h.s.SetWorkers(h.now, []WorkerInfo{other.info, silent.info}) }
	list()
	h.report("other")
	known, _ := h.s.KnownWorkers()
	h.s.KnownWorkersStored(known)
	if len(known) != 2 {
		t.Fatalf("known workers %+v", known)
	}
	h.workers["silent"] = silent
	silent.info.Address = "second"
	list()
	step := testStep(1)
	step.Label = "ssd"
	h.s.AddJob(testJob("job", step), nil, false)
	for range 20 { // 2 s
		h.advanceClock(100 * time.Millisecond)
		h.reportAll()
		h.wantStarts(h.run(), 0)
	}
	known, _ = h.s.KnownWorkers()
	h.s.KnownWorkersStored(known)
	h.reportAll()
	h.wantStarts(h.run(), 1)
}
