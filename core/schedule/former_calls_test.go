package schedule

import (
	"testing"
	"time"
)

// replacedProcess returns a harness in which the process of a worker was lost, and the next one has reported under the same ID, from an
// address. The result seenAt is when that report was received: timed calls to the former process may have been sent until then.
func replacedProcess(t *testing.T, address string) (h *harness, w *simWorker, seenAt time.Duration) {
	t.Helper()
	h = newHarness(t, 1)
	h.s.cfg.MaxTaskLease, h.s.cfg.CallDelay = longestTestLease, testCallDelay
	w = h.addWorker("w1", nil)
	h.s.PollFailed(h.now, "w1", Grant{At: h.now.Boot, Lease: testLease})
	h.advanceClock(time.Second)
	w.incarnation, w.info.Address = 2, address
	h.report("w1")
	return h, w, h.now.Boot
}

// startOn makes a worker, which is the only one that is stored, start a task once it may.
func (h *harness) startOn(w *simWorker) {
	h.t.Helper()
	known, _ := h.s.KnownWorkers()
	h.s.KnownWorkersStored(known)
	h.s.AddJob(testJob("job", testStep(1)), nil, false)
	for range 100 { // 10 s, longer than a worker is avoided after a restart
		h.advanceClock(100 * time.Millisecond)
		h.report(w.info.ID)
		if len(starts(h.run())) > 0 {
			return
		}
	}
	h.t.Fatal("the task does not start")
}

// Scenario: a poll for the former process of a worker reaches the next one late, which runs a task, and whose path is cut then. Guards
// against a second run of the task: the poll has extended the lease by the longest one that the worker grants. A process at another address
// cannot get that poll, so that its tasks wait no longer than those of others.
func TestLeasesAfterARestartOutlastCallsToTheFormerProcess(t *testing.T) {
	for _, address := range []string{"w1", "elsewhere"} {
		t.Run(address, func(t *testing.T) {
			h, w, _ := replacedProcess(t, address)
			h.startOn(w)
			h.addWorker("w2", nil)
			granted := Grant{At: h.now.Boot, Lease: testLease}
			h.advanceClock(time.Second)
			h.s.PollFailed(h.now, "w1", granted)
			end := granted.At + h.s.cfg.leaseBound()
			if address == "w1" {
				end = h.now.Boot + h.s.cfg.longestLeaseBound()
			}
			h.wantStartAfter(end-h.now.Boot, "w2")
		})
	}
}

// Guards against a task that starts on the next process of a worker before a later owner knows of the replacement: it would wait too
// briefly. Neither a write from before the replacement nor one with another description of the worker counts.
func TestNothingStartsOnANextProcessBeforeItIsStored(t *testing.T) {
	h, w, _ := replacedProcess(t, "w1")
	former := w.info
	h.s.AddJob(testJob("job", testStep(1)), nil, false)
	for range 100 {
		h.advanceClock(100 * time.Millisecond)
		h.report("w1")
		h.s.KnownWorkersStored([]WorkerInfo{former})
		h.wantStarts(h.run(), 0)
	}
	known, changed := h.s.KnownWorkers()
	if !changed || len(known) != 1 || known[0].FormerCalls == 0 {
		t.Fatalf("known workers %+v, changed %t: want one with calls to a former process", known, changed)
	}
	h.wantStarts(h.run(), 0)
	h.s.KnownWorkersStored([]WorkerInfo{former})
	h.wantStarts(h.run(), 0)
	h.s.KnownWorkersStored(known)
	h.wantStarts(h.run(), 1)
}

// Scenario: the owner of a worker whose process was replaced is lost, and the worker is cut off. Guards against a next owner that does not
// wait for the leases that calls to the former process may have extended, and against one that waits for longer than such calls may be
// carried out.
func TestNextOwnerWaitsForCallsToAFormerProcess(t *testing.T) {
	for _, later := range []time.Duration{0, testCallDelay} {
		t.Run(later.String(), func(t *testing.T) {
			h, w, seenAt := replacedProcess(t, "w1")
			h.startOn(w)
			h.advanceClock(seenAt + testCallDelay + later/2 - h.now.Boot)
			h.s.knownWorkersChanged = true
			h.report("w1")
			h.plan()
			known, _ := h.s.KnownWorkers()
			cfg := h.s.cfg
			cfg.Term = 2
			h.newTerm(2)
			h.s.cfg = cfg
			end := min(h.now.Boot+cfg.HandoverGrace, seenAt+testCallDelay) + cfg.longestLeaseBound()
			end = max(end, h.now.Boot+cfg.HandoverGrace+cfg.leaseBound())
			h.s.InheritWorkers(h.now, known)
			h.pass(end - h.now.Boot - time.Millisecond)
			if h.s.TakeoverComplete() {
				t.Fatal("the leases of the worker count as expired")
			}
			h.pass(formerCallsStep + time.Millisecond)
			if !h.s.TakeoverComplete() {
				t.Error("the next owner waits for longer than the leases may last")
			}
		})
	}
}

// Guards against a later owner that waits for calls to a former process although none can be carried out any more: the known workers are
// stored again once their time has passed.
func TestFormerCallsLeaveTheKnownWorkers(t *testing.T) {
	h, w, seenAt := replacedProcess(t, "w1")
	h.startOn(w)
	for h.now.Boot < seenAt+testCallDelay+h.s.cfg.longestLeaseBound() {
		h.advanceClock(500 * time.Millisecond)
		h.report("w1")
		h.s.KnownWorkers()
		h.plan()
	}
	known, changed := h.s.KnownWorkers()
	if !changed || known[0].FormerCalls != 0 || !h.s.workers["w1"].stored {
		t.Errorf("known workers %+v, changed %t, stored %t: want no calls to a former process", known, changed, h.s.workers["w1"].stored)
	}
}

// Scenario: a worker whose leases have expired is gone from the list and returns. Guards against a next process that counts as the first one
// there, and against the same process that counts as the next one.
func TestProcessThatReturnsAfterItsWorkerWasRemoved(t *testing.T) {
	for name, incarnation := range map[string]int64{"same process": 1, "next process": 2} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.s.cfg.MaxTaskLease, h.s.cfg.CallDelay = longestTestLease, testCallDelay
			w := h.addWorker("w1", nil)
			h.s.PollFailed(h.now, "w1", Grant{At: h.now.Boot, Lease: testLease})
			h.s.SetWorkers(h.now, nil)
			h.advanceClock(h.s.cfg.leaseBound())
			h.plan()
			if _, known := h.s.workers["w1"]; known {
				t.Fatal("the worker is not removed")
			}
			w.incarnation = incarnation
			h.list()
			h.report("w1")
			if replaced := h.s.workers["w1"].formerCalls.leasesEnd > 0; replaced != (incarnation == 2) {
				t.Errorf("counts as the next process: %t", replaced)
			}
		})
	}
}

// Guards against services on a worker whose leases may last because of calls to its former process, while others have room: if it is lost,
// they wait for longer than the platform allows.
func TestServicesAvoidNextProcessesWhileOthersHaveRoom(t *testing.T) {
	h, w, _ := replacedProcess(t, "w1")
	h.startOn(w)
	h.addWorker("w2", nil)
	h.s.AddJob(testJob("service", testService(2)), nil, false)
	for _, o := range starts(h.run()) {
		if o.Worker != "w2" {
			t.Errorf("service %v starts on %s", o.Task, o.Worker)
		}
	}
}

// Scenario: a relay of the next owner has an answer of a worker, and its results are lost; then another process answers under the same ID.
// Guards against timed calls of this owner that count as those of a former one, which have no effect any more.
func TestCallsAfterLostResultsCountAsThoseOfThisOwner(t *testing.T) {
	for name, lose := range map[string]func(h *harness){
		"results lost": func(h *harness) { h.s.ReportsLost("w1") },
		"relay lost":   func(h *harness) { h.s.PollerLost("w1", Grant{At: h.now.Boot, Lease: testLease}) },
		"nothing lost": func(*harness) {},
	} {
		t.Run(name, func(t *testing.T) {
			h := inheriting(t, testLease)
			h.s.cfg.CallDelay = testCallDelay
			lose(h)
			w := h.addWorker("w1", func(info *WorkerInfo) { info.StartedMs = 2 })
			want := h.now.Boot + h.s.cfg.longestLeaseBound()
			if name != "nothing lost" {
				want += testCallDelay
			}
			if got := h.s.workers[w.info.ID].formerCalls.leasesEnd; got != want {
				t.Errorf("leases may last for %v, want %v", got-h.now.Boot, want-h.now.Boot)
			}
		})
	}
}

// Scenario: the next process of a worker listens elsewhere, and the one after it at the former address again, all within the time in which a
// call may be carried out late; that one runs a task, and its path is cut. Guards against a second run of the task: a poll for the first
// process, carried out late, has extended the lease of the third one.
func TestCallsToAFormerAddressOutlastAProcessElsewhere(t *testing.T) {
	h, w, _ := replacedProcess(t, "elsewhere")
	h.advanceClock(time.Second)
	w.incarnation, w.info.Address = 3, "w1"
	h.report("w1")
	h.startOn(w)
	h.addWorker("w2", nil)
	granted := Grant{At: h.now.Boot, Lease: testLease}
	h.s.PollFailed(h.now, "w1", granted)
	end, _ := h.s.LeasesEnd("w1")
	if want := h.now.Boot + h.s.cfg.longestLeaseBound(); end < want {
		t.Errorf("the leases count as expired %v after the poll failed, want %v", end-h.now.Boot, want-h.now.Boot)
	}
}
