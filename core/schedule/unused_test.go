package schedule

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fulmarcourse.example/core/structs"
)

// unusedNow returns the workers that are not used as "worker=reason", the longest time first.
func (h *harness) unusedNow() []string {
	found := []string{}
	for _, w := range h.s.Unused(h.now).Workers {
		found = append(found, fmt.Sprint(w.Info.ID, "=", w.Reason))
	}
	return found
}

func (h *harness) wantUnused(want ...string) {
	h.t.Helper()
	if got := h.unusedNow(); !slices.Equal(got, want) {
		h.t.Errorf("not used: %v, want %v", got, want)
	}
}

// Guards against a worker that is listed as sound, gets no tasks and is in no summary, against one that is named before
// UnusedAfter, and against one that stays in the summary once it is used.
func TestEachReasonForAnUnusedWorkerIsNamed(t *testing.T) {
	forAWhile := time.Hour
	rows := map[WaitReason]func(h *harness, w *worker){
		WaitUnreachable: func(h *harness, w *worker) { h.s.PollFailed(h.now, w.info.ID, Grant{}) },
		WaitNotStored:   func(_ *harness, w *worker) { w.stored = false },
		WaitEndsUnlisted: func(h *harness, w *worker) {
			h.s.cfg.EndsPerReport = 1
			h.s.awaitingReport[w.info.ID] = true
			h.workers[w.info.ID].ended = []Ended{{Number: w.lastEnd + 1}}
			h.report(w.info.ID)
		},
		WaitEntryOutdated: func(_ *harness, w *worker) {
			w.info.StartedMs = w.incarnation + 1
			w.entries = entries{latest: w.info}
		},
		WaitUnhealthy:    func(h *harness, w *worker) { w.unhealthyUntil = h.now.Boot + forAWhile },
		WaitRejections:   func(h *harness, w *worker) { w.full.until = h.now.Boot + forAWhile },
		WaitLostRecently: func(h *harness, w *worker) { w.stability.until = h.now.Boot + forAWhile },
		WaitFaulty:       func(h *harness, w *worker) { w.health.until = h.now.Boot + forAWhile },
		WaitSlow:         func(h *harness, w *worker) { w.slowness = slowness{sum: 400, weight: 100, at: h.now.Boot} },
	}
	for _, reason := range UnusedReasons() {
		makeUnused, made := rows[reason]
		if !made {
			if reason != WaitReplaced { // see TestReplacedEntryIsNamed
				t.Errorf("%v is not tested", reason)
			}
			continue
		}
		h := newHarness(t, 1)
		h.addWorker("w1", nil)
		h.addWorker("w2", nil)
		makeUnused(h, h.s.workers["w1"])
		h.wantUnused()
		h.advanceClock(UnusedAfter - time.Millisecond)
		h.report("w2")
		if reason != WaitUnreachable {
			h.report("w1")
		}
		h.wantUnused()
		h.advanceClock(time.Millisecond)
		h.wantUnused("w1=" + reason.String())
		u := h.s.Unused(h.now)
		if u.ByReason[reason] != 1 || u.Longest != UnusedAfter || u.Workers[0].Unused != UnusedAfter {
			t.Errorf("%v: %v, longest %v", reason, &u.ByReason, u.Longest)
		}
		if h.s.Use(h.now, "w1") != NotUsed || h.s.Use(h.now, "w2") != Used || h.s.Use(h.now, "w3") != NotSound {
			t.Errorf("%v: use is %d, %d, %d", reason, h.s.Use(h.now, "w1"), h.s.Use(h.now, "w2"), h.s.Use(h.now, "w3"))
		}
		h.advanceClock(2 * forAWhile)
		h.acknowledge("w1")
		h.listWorkers()
		h.wantUnused()
		makeUnused(h, h.s.workers["w1"])
		h.wantUnused() // the time counts anew
	}
}

// Guards against lines about workers that get no tasks for a reason that the list states, or that are merely full.
func TestFullAndUnsoundWorkersAreNotNamed(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("full", nil)
	h.addWorker("draining", func(info *WorkerInfo) { info.Draining = true })
	h.addWorker("evacuated", func(info *WorkerInfo) { info.Datacentre = "dc2" })
	h.addWorker("unlisted", nil)
	h.s.SetEvacuated([]structs.DatacentreID{"dc2"})
	h.s.workers["full"].reserved = h.s.workers["full"].info.Capacity
	delete(h.workers, "unlisted")
	for range 10 {
		h.advanceClock(time.Second)
		h.list()
		h.report("full")
		h.wantUnused()
	}
	for id, want := range map[WorkerID]Use{"full": Used, "draining": NotSound, "evacuated": NotSound, "unlisted": NotSound} {
		if got := h.s.Use(h.now, id); got != want {
			t.Errorf("use of %s is %d, want %d", id, got, want)
		}
	}
}

// Scenario: a worker starts again under its ID at another address, and its polls go to the former one. Guards against a summary
// from which this cannot be told: list and reports name different starts and addresses, and no report arrives.
func TestUnusedWorkerTellsListAndReportsApart(t *testing.T) {
	h := newHarness(t, 1)
	w := h.addWorker("w1", func(info *WorkerInfo) { info.Address, info.StartedMs = "a:1", 1000 })
	h.wantUnused()
	w.info.Address, w.info.StartedMs = "b:1", 9000
	for range 8 {
		h.advanceClock(time.Second)
		h.list()
	}
	workers := h.s.Unused(h.now).Workers
	if len(workers) != 1 {
		t.Fatalf("%d workers are not used, want 1", len(workers))
	}
	u := workers[0]
	if u.Reason != WaitUnreachable || u.Info.Address != "b:1" || u.Info.StartedMs != 9000 || u.ReportedAddress != "a:1" ||
		u.ReportedStartMs != 1000 || u.SilentFor != 8*time.Second || u.Awaited {
		t.Errorf("%+v", u)
	}
	if want := 7 * time.Second; u.Unused != want { // since the list names another process
		t.Errorf("not used for %v, want %v", u.Unused, want)
	}
}

// Guards against a worker of a former owner that never reports to this one and of which the summary does not say that the takeover
// waits for it, or that has a time since its latest report.
func TestUnusedWorkerThatIsAwaited(t *testing.T) {
	h := newHarness(t, 2)
	h.s.InheritWorkers(h.now, []WorkerInfo{{ID: "w1", Address: "a:1", StartedMs: 7}})
	h.s.SetWorkers(h.now, []WorkerInfo{{ID: "w1", Address: "a:1", StartedMs: 8}})
	h.advanceClock(UnusedAfter)
	workers := h.s.Unused(h.now).Workers
	if len(workers) != 1 || !workers[0].Awaited || workers[0].SilentFor != NotReported || workers[0].ReportedStartMs != 7 ||
		workers[0].ReportedAddress != "a:1" || workers[0].Reason != WaitUnreachable {
		t.Errorf("%+v", workers)
	}
}

// Scenario: a process ends, the next one at its address has another ID, and the entry of the first one stays listed. Guards against
// an entry that is ignored for as long as it is renewed without a line, and against one that is named after it has lapsed.
func TestReplacedEntryIsNamed(t *testing.T) {
	h := newHarness(t, 1)
	w1 := h.addWorker("w1", func(info *WorkerInfo) { info.Address, info.StartedMs = "a:1", 1000 })
	h.addWorker("w2", func(info *WorkerInfo) { info.Address, info.StartedMs = "a:1", 2000 })
	next := func() {
		h.advanceClock(time.Second)
		h.list()
		h.report("w2")
	}
	for range 5 {
		next()
	}
	h.wantUnused("w1=replaced")
	if u := h.s.Unused(h.now).Workers[0]; u.ReplacedBy != "w2" || u.Info.StartedMs != 1000 || u.SilentFor != NotReported {
		t.Errorf("%+v", u)
	}
	if use := h.s.Use(h.now, "w1"); use != NotUsed {
		t.Errorf("use of w1 is %d", use)
	}
	w1.info.Draining = true
	next()
	h.wantUnused()
	delete(h.workers, "w1")
	next()
	h.wantUnused()
	if len(h.s.replacedEntries) != 0 || h.s.Use(h.now, "w1") != NotSound {
		t.Errorf("%d entries are remembered, use of w1 is %d", len(h.s.replacedEntries), h.s.Use(h.now, "w1"))
	}
}

// Guards against state that grows with each worker that returns under a new ID: 900 places with a new process each second, whose
// former entries lapse.
func TestStateOfReplacedEntriesIsBounded(t *testing.T) {
	const places, processes = 900, 10
	h := newHarness(t, 1)
	for n := range processes {
		h.advanceClock(time.Second)
		started := int64(n + 1)
		var infos []WorkerInfo
		for place := range places {
			for _, process := range []int{n - 1, n} { // the former entry is listed once more
				if process >= 0 {
					id := WorkerID(fmt.Sprint(place, "-", process))
					infos = append(infos, WorkerInfo{ID: id, Address: fmt.Sprint(place), StartedMs: int64(process + 1)})
				}
			}
		}
		h.s.SetWorkers(h.now, infos)
		for place := range places {
			h.s.Report(h.now, WorkerID(fmt.Sprint(place, "-", n)), Report{Incarnation: started, SentAt: h.now.Boot})
		}
		if got := len(h.s.replacedEntries); got > places {
			t.Fatalf("%d entries are remembered after %d processes", got, n+1)
		}
		if got := len(h.s.Unused(h.now).Workers); got > len(infos) {
			t.Fatalf("%d workers are not used of %d", got, len(infos))
		}
	}
}

// Scenario: a worker is avoided, gets a task between two samples and is avoided again. Guards against a time without use that includes
// the start of the task.
func TestTimeWithoutUseCountsFromTheLatestStart(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	w := h.s.workers["w1"]
	w.health.until = h.now.Boot + time.Second
	h.wantUnused()
	h.advanceClock(2 * time.Second)
	h.reportAll()
	h.s.AddJob(testJob("job", testStep(1)), nil, false)
	h.wantStarts(h.run(), 1)
	started := h.now.Boot
	w.health.until = h.now.Boot + time.Minute
	for range 2 {
		h.advanceClock(UnusedAfter / 2)
		h.reportAll()
	}
	workers := h.s.Unused(h.now).Workers
	if len(workers) != 1 || workers[0].Since != started {
		t.Errorf("%+v, want one that has not been used since %v", workers, started)
	}
}
