package schedule

import (
	"testing"
	"time"
)

// lostWorker returns a harness with a worker that runs a task and has not answered a poll, and an idle one. Both are stored.
func lostWorker(t *testing.T) (h *harness, lost, idle *simWorker) {
	t.Helper()
	h = newHarness(t, 1)
	lost, idle = h.addWorker("lost", nil), h.addWorker("idle", func(info *WorkerInfo) { info.Draining = true })
	h.s.AddJob(testJob("job", testService(1)), nil, false)
	h.wantStarts(h.run(), 1)
	h.reportAll()
	h.s.KnownWorkers()
	h.s.PollFailed(h.now, lost.info.ID, Grant{})
	return h, lost, idle
}

// pass lets time pass and plans.
func (h *harness) pass(d time.Duration) {
	h.advanceClock(d)
	h.plan()
}

// handOut returns the known workers as they would be stored now.
func (h *harness) handOut() map[WorkerID]WorkerInfo {
	infos, _ := h.s.KnownWorkers()
	byID := map[WorkerID]WorkerInfo{}
	for _, info := range infos {
		byID[info.ID] = info
	}
	return byID
}

// mark lets the worker be silent until its remaining lease is handed out to be stored, and returns its description.
func (h *harness) mark(lost *simWorker) WorkerInfo {
	h.t.Helper()
	h.pass(0)
	h.pass(repeatTime)
	info := h.handOut()[lost.info.ID]
	if want := h.s.cfg.leaseBound() - repeatTime; info.LeaseRemaining != want {
		h.t.Fatalf("remaining lease %v, want %v", info.LeaseRemaining, want)
	}
	return info
}

// wantWithheld checks whether the leases of a worker are withheld.
func (h *harness) wantWithheld(w *simWorker, want bool) {
	h.t.Helper()
	if got := h.s.WithholdsLeases(w.info.ID); got != want {
		h.t.Fatalf("leases of %s withheld: %v, want %v", w.info.ID, got, want)
	}
}

// Guards against withholding the leases of workers that answer, or that no later owner waits for, and of any while the store is away: they
// could not be extended again until it is back.
func TestOnlyLeasesOfSilentStoredWorkersAreWithheld(t *testing.T) {
	h, lost, idle := lostWorker(t)
	h.advanceClock(time.Second)
	h.s.WithholdLeases(h.now, false, func(WorkerID) time.Duration { return 0 }, h.collectedUpTo)
	h.wantWithheld(lost, false)
	h.s.workers[lost.info.ID].stored = false
	h.plan()
	h.wantWithheld(lost, false)
	h.s.workers[lost.info.ID].stored = true
	h.plan()
	h.wantWithheld(lost, true)
	h.wantWithheld(idle, false)
}

// Guards against a write for each worker that is slow for a moment: one that answers the next poll after one has failed has its leases
// extended again without.
func TestWorkerThatIsSlowForAMomentNeedsNoWrite(t *testing.T) {
	h, lost, _ := lostWorker(t)
	h.handOut()
	h.pass(0)
	h.wantWithheld(lost, true)
	if !h.s.TakeAssignmentsChanged() {
		t.Error("nothing tells that the relay has to be told")
	}
	h.pass(repeatTime - time.Millisecond)
	if infos, changed := h.s.KnownWorkers(); changed {
		t.Errorf("known workers %v are stored again", infos)
	}
	h.report(lost.info.ID)
	h.wantWithheld(lost, false)
	if !h.s.workers[lost.info.ID].stored || !h.s.TakeAssignmentsChanged() {
		t.Error("the worker gets no tasks, or its relay is not told")
	}
}

// Scenario: a new owner has not polled a worker yet, or its polls have not failed yet. Guards against leases that are withheld, so that
// each change of the owner takes a write before the leases of workers that answer are extended, and against a third owner that waits as
// long as the second one because that has stored nothing.
func TestNewOwnerStoresTheRemainingLeasesOfTheWorkersThatItAwaits(t *testing.T) {
	for name, pollFails := range map[string]bool{"poll fails": true, "no result": false} {
		t.Run(name, func(t *testing.T) {
			h, lost, idle := lostWorker(t)
			infos := []WorkerInfo{lost.info, idle.info}
			h.newTerm(2)
			h.s.InheritWorkers(h.now, infos)
			h.handOut()
			h.pass(answerTime - time.Millisecond)
			h.wantWithheld(lost, false)
			h.report(idle.info.ID)
			if pollFails {
				h.s.PollFailed(h.now, lost.info.ID, Grant{})
			} else {
				h.advanceClock(time.Millisecond)
			}
			h.pass(0)
			h.wantWithheld(lost, true)
			h.wantWithheld(idle, false)
			h.pass(repeatTime)
			bound := h.s.cfg.HandoverGrace + h.s.cfg.leaseBound()
			left := h.handOut()[lost.info.ID].LeaseRemaining
			if want := bound - answerTime - repeatTime; left < want || left > want+time.Millisecond {
				t.Errorf("remaining lease %v, want %v", left, want)
			}
		})
	}
}

// Scenario: the worker answers just before its relay is told to withhold the leases, and the owner collects the answer late. Guards
// against a stored wait that the grant after this answer outlasts: the next owner would start the task a second time.
func TestWaitIsStoredOnlyAfterTheAnswersBeforeTheWithholding(t *testing.T) {
	h, lost, _ := lostWorker(t)
	h.pass(0)
	h.collected = h.now.Boot // the answer was received after that, and may have been before the withholding
	h.pass(time.Second)
	if info := h.handOut()[lost.info.ID]; info.LeaseRemaining != 0 {
		t.Fatalf("remaining lease %v is handed out before the answers are collected", info.LeaseRemaining)
	}
	h.report(lost.info.ID)
	h.wantWithheld(lost, false) // nothing is in the store
	h.collected = 0
	h.pass(time.Millisecond)
	if info := h.handOut()[lost.info.ID]; info.LeaseRemaining != 0 {
		t.Errorf("remaining lease %v of a worker that answers", info.LeaseRemaining)
	}
}

// Scenario: the relay has not confirmed that it withholds the leases, since it is cut off or does not know of it. Guards against a
// stored wait while this relay goes on extending the leases.
func TestWaitIsNotStoredWithoutTheRelaysResponse(t *testing.T) {
	h, lost, _ := lostWorker(t)
	for range 5 {
		h.withheld = map[WorkerID]time.Duration{}
		h.pass(time.Second)
		h.s.knownWorkersChanged = true
		if info := h.handOut()[lost.info.ID]; info.LeaseRemaining != 0 {
			t.Fatalf("remaining lease %v is handed out", info.LeaseRemaining)
		}
	}
	h.wantWithheld(lost, true)
}

// Scenario: a worker answers again after its remaining lease was handed out to be stored, and the store is down for a while. Guards
// against leases that are extended, and starts, while the store may hold the remaining lease: the next owner would start the tasks
// a second time. Neither the late confirmation of the write with the remaining lease ends the withholding, nor one with
// another address.
func TestLeasesStayWithheldUntilTheWorkerIsStoredWithoutItsWait(t *testing.T) {
	for name, returns := range map[string]func(*simWorker){
		"same process":    func(*simWorker) {},
		"next process":    func(w *simWorker) { w.incarnation++; w.running = nil },
		"another address": func(w *simWorker) { w.incarnation++; w.running, w.info.Address = nil, "elsewhere" },
	} {
		t.Run(name, func(t *testing.T) {
			h, lost, _ := lostWorker(t)
			marked := h.mark(lost)
			h.advanceClock(time.Millisecond)
			returns(lost)
			h.report(lost.info.ID)
			h.s.KnownWorkersStored([]WorkerInfo{marked})
			h.wantWithheld(lost, true)
			cleared := h.handOut()[lost.info.ID]
			if cleared.LeaseRemaining != 0 || cleared.Address != lost.info.Address {
				t.Fatalf("handed out after the answer: %+v", cleared)
			}
			for range 3 { // the store is down
				h.advanceClock(time.Second)
				h.report(lost.info.ID)
				h.wantStarts(h.plan(), 0)
				h.wantWithheld(lost, true)
			}
			other := cleared
			other.Address = "former"
			h.s.KnownWorkersStored([]WorkerInfo{other})
			h.wantWithheld(lost, true)
			h.s.KnownWorkersStored([]WorkerInfo{cleared})
			h.wantWithheld(lost, false)
			if !h.s.workers[lost.info.ID].stored {
				t.Error("the worker gets no tasks after it is stored")
			}
		})
	}
}

// Scenario: a worker answers once and falls silent again before it is stored without its wait. Guards against leases that are extended
// once a write is confirmed which was made before the remaining lease was handed out again, and against the former, shorter wait.
func TestWaitOfAWorkerThatIsSilentAgainIsStoredAnew(t *testing.T) {
	h, lost, _ := lostWorker(t)
	h.mark(lost)
	h.advanceClock(time.Second)
	h.report(lost.info.ID)
	cleared := h.handOut()[lost.info.ID]
	h.s.PollFailed(h.now, lost.info.ID, Grant{})
	h.pass(0)
	h.pass(repeatTime)
	if !h.s.workers[lost.info.ID].withheld.marked {
		t.Fatal("the remaining lease is not stored again")
	}
	h.s.KnownWorkersStored([]WorkerInfo{cleared})
	h.wantWithheld(lost, true)
	h.s.knownWorkersChanged = true
	if got, want := h.handOut()[lost.info.ID].LeaseRemaining, h.s.cfg.leaseBound()-repeatTime; got != want {
		t.Errorf("remaining lease %v, want %v", got, want)
	}
}

// Guards against leases that count as lasting until further results have been collected although no relay has extended them, which costs
// the services of a lost worker the time of a call.
func TestWithheldLeasesExpireWithoutFurtherResults(t *testing.T) {
	for _, withheld := range []bool{true, false} {
		h, lost, _ := lostWorker(t)
		if withheld {
			h.mark(lost)
		}
		h.collected = h.now.Boot
		h.advanceClock(h.s.workers[lost.info.ID].leaseEnd - h.now.Boot)
		h.s.Expire(h.now, true, h.collectedUpTo)
		if expired := len(h.s.workers[lost.info.ID].attempts) == 0; expired != withheld {
			t.Errorf("leases expired %t, withheld %t", expired, withheld)
		}
	}
}

// Guards against a store that is written to in each planning run while a worker is silent, and against a wait that is stored once and
// is as long as at first for an owner that follows much later.
func TestRemainingLeaseIsStoredAgainOnceItIsShorter(t *testing.T) {
	h, lost, _ := lostWorker(t)
	h.mark(lost)
	writes := 0
	for range int(h.s.cfg.leaseBound() / (100 * time.Millisecond)) {
		h.pass(100 * time.Millisecond)
		if _, changed := h.s.KnownWorkers(); changed {
			writes++
		}
	}
	if most := int(h.s.cfg.leaseBound()/remainingStep) + 2; writes < 3 || writes > most {
		t.Errorf("%d writes while the leases expire, want 3 to %d", writes, most)
	}
	h.wantWithheld(lost, true)
}

// Scenario: three owners in a row, the second for a second only. Guards against a wait that begins anew with one of them, and against
// an owner whose relays extend leases although the store says that none does.
func TestRemainingLeaseIsInheritedOverTwoOwners(t *testing.T) {
	h, lost, _ := lostWorker(t)
	marked := h.mark(lost)
	h.newTerm(2)
	h.s.InheritWorkers(h.now, []WorkerInfo{marked})
	h.wantWithheld(lost, true) // before its first relay gets an assignment
	h.pass(time.Second)
	second := h.handOut()[lost.info.ID]
	if second.LeaseRemaining > marked.LeaseRemaining || second.LeaseRemaining < marked.LeaseRemaining-time.Second {
		t.Errorf("remaining lease %v after a second of the second owner, former one %v", second.LeaseRemaining, marked.LeaseRemaining)
	}
	h.newTerm(3)
	h.s.InheritWorkers(h.now, []WorkerInfo{second})
	h.wantWithheld(lost, true)
	h.pass(second.LeaseRemaining - time.Millisecond)
	if h.s.TakeoverComplete() {
		t.Error("the takeover is complete before the leases have expired")
	}
	h.pass(time.Millisecond)
	if !h.s.TakeoverComplete() {
		t.Error("the third owner waits longer than the leases last")
	}
}

// Scenario: the next owner reaches the worker. Guards against leases that its relays extend while the store holds the remaining lease:
// the owner after it would start the tasks a second time.
func TestInheritedWithholdingEndsWithAWriteOnly(t *testing.T) {
	h, lost, _ := lostWorker(t)
	marked := h.mark(lost)
	h.newTerm(2)
	h.s.InheritWorkers(h.now, []WorkerInfo{marked})
	h.advanceClock(time.Millisecond)
	h.report(lost.info.ID) // the platform's list has not been read
	h.wantWithheld(lost, true)
	cleared := h.handOut()[lost.info.ID]
	if cleared.LeaseRemaining != 0 {
		t.Fatalf("remaining lease %v of a worker that answers", cleared.LeaseRemaining)
	}
	h.s.KnownWorkersStored([]WorkerInfo{cleared})
	h.wantWithheld(lost, false)
}

// Scenario: a relay of the worker is lost. Before it has confirmed the withholding, it may extend leases for as long as it is permitted.
// Guards against a stored wait that ends before these leases; afterwards, against a wait that begins anew though nothing was extended.
func TestLossOfARelayExtendsTheWaitOnlyBeforeTheWithholding(t *testing.T) {
	h, lost, _ := lostWorker(t)
	h.pass(0)
	permitted := h.now.Boot + time.Second
	h.s.PollerLost(lost.info.ID, Grant{At: permitted})
	h.withheld = map[WorkerID]time.Duration{}
	h.plan()
	h.pass(repeatTime)
	got := h.handOut()[lost.info.ID].LeaseRemaining
	if want := permitted + h.s.cfg.leaseBound() - h.now.Boot; got != want {
		t.Fatalf("remaining lease %v after the loss of a relay, want %v", got, want)
	}
	end := h.s.workers[lost.info.ID].leaseEnd
	h.s.ReportsLost(lost.info.ID)
	h.s.PollerLost(lost.info.ID, Grant{At: h.now.Boot + time.Minute})
	if w := h.s.workers[lost.info.ID]; w.leaseEnd != end || w.leasesExtended || !w.withheld.marked {
		t.Errorf("the loss of a relay that withholds the leases has moved their end by %v", w.leaseEnd-end)
	}
}

// Scenario: a part of the known workers cannot be read. It may hold a later description of the worker, without its remaining lease.
// Guards against the shorter wait, and against leases that are extended while the store holds the remaining lease.
func TestRemainingLeaseIsNoBoundIfAPartCannotBeRead(t *testing.T) {
	h, lost, _ := lostWorker(t)
	marked := h.mark(lost)
	h.newTerm(2)
	h.s.InheritWorkers(h.now, []WorkerInfo{marked})
	h.s.InheritUnknown(h.now)
	h.wantWithheld(lost, true)
	h.pass(marked.LeaseRemaining + time.Second)
	if !h.s.awaitingReport[lost.info.ID] {
		t.Error("the leases of the worker count as expired")
	}
}
