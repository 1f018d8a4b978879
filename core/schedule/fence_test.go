package schedule

import (
	"testing"
	"time"
)

// storeKnown stores the known workers for later owners.
func (h *harness) storeKnown() {
	if known, changed := h.s.KnownWorkers(); changed {
		h.s.KnownWorkersStored(known)
	}
}

// fencedReport makes a worker report to a relay that uses a fencing token.
func (h *harness) fencedReport(id WorkerID, fence int64) {
	w := h.workers[id]
	h.s.Report(h.now, id, Report{Incarnation: w.incarnation, Address: w.info.Address, SentAt: h.now.Boot, Fence: fence,
		Running: w.running, Ended: w.ended})
}

// returnedHarness returns a harness in which the next process of worker w1 has reported, to a relay that can raise tokens. Workers grant
// leases up to the longest.
func returnedHarness(t *testing.T, longest time.Duration) *harness {
	h := newHarness(t, 1)
	h.s.cfg.MaxTaskLease, h.s.cfg.CallDelay = longest, testCallDelay
	w := h.addWorker("w1", nil)
	h.s.PollFailed(h.now, "w1", Grant{At: h.now.Boot, Lease: testLease})
	h.advanceClock(time.Second)
	w.incarnation = 2
	h.fencedReport("w1", 1)
	return h
}

// Scenario: a worker starts again under its ID, and is lost some seconds after that. Guards against a wait for leases that calls to its former
// process cannot have extended, since the present one has answered a call with a higher token, and against one that is too short: without such
// an answer, or before a later owner knows of the token.
func TestRaisedTokenBoundsTheLeasesOfTheNextProcess(t *testing.T) {
	for name, c := range map[string]struct{ stored, answered bool }{
		"answered": {true, true}, "not answered": {true, false}, "not stored": {false, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := returnedHarness(t, longestTestLease)
			if c.stored {
				h.storeKnown()
			}
			if got := h.s.FenceOffset("w1"); (got == 1) != c.stored {
				t.Fatalf("the token is raised by %d, stored: %t", got, c.stored)
			}
			raisedAt := h.now.Boot
			if c.answered {
				h.fencedReport("w1", 1+h.s.FenceOffset("w1"))
			}
			h.advanceClock(3 * time.Second)
			h.fencedReport("w1", 1)
			granted := Grant{At: h.now.Boot, Lease: testLease}
			h.s.PollFailed(h.now, "w1", granted)
			want := h.now.Boot + h.s.cfg.longestLeaseBound()
			if c.stored && c.answered {
				want = max(raisedAt+h.s.cfg.longestLeaseBound(), granted.At+h.s.cfg.leaseBound())
			}
			if end, bounded := h.s.LeasesEnd("w1"); !bounded || end != want {
				t.Errorf("the leases count as expired %v after the loss, want %v", end-h.now.Boot, want-h.now.Boot)
			}
		})
	}
}

// Guards against a service on a process that has just returned: if the worker is lost right away, it would be away for longer than the platform
// allows. Guards also against a wait without a bound where no relay raises the token.
func TestServiceWaitsUntilTheLeasesOfANextProcessAreShortEnough(t *testing.T) {
	for name, c := range map[string]struct {
		raised bool
		lease  time.Duration
		want   time.Duration // for how long services are held back at most
	}{
		"raised token":              {true, longestTestLease, maxFormerCallsWait},
		"relay of a former version": {false, longestTestLease, maxFormerCallsWait},
		"leases are no longer":      {true, testLease, 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := returnedHarness(t, c.lease)
			h.storeKnown()
			found := h.now.Boot
			h.s.AddJob(testJob("service", testService(1)), nil, false)
			h.s.AddJob(testJob("job", testStep(1)), nil, false)
			held := time.Duration(0)
			for range 100 {
				fence := int64(1)
				if c.raised {
					fence += h.s.FenceOffset("w1")
				}
				h.fencedReport("w1", fence)
				h.storeKnown()
				h.run()
				h.run()
				if h.s.workers["w1"].formerCallsOutlast(h.now.Boot) {
					held = h.now.Boot - found
				}
				if len(h.s.task(taskID("service", 0, 0)).attempts) > 0 {
					break
				}
				h.advanceClock(100 * time.Millisecond)
			}
			end := h.s.workers["w1"].formerCalls.leasesEnd
			if c.raised && c.lease > testLease && end-h.now.Boot > h.s.cfg.leaseBound() {
				t.Errorf("the service starts %v after the return, with leases for %v", h.now.Boot-found, end-h.now.Boot)
			}
			if held > c.want {
				t.Errorf("services are held back for %v after the return, want at most %v", held, c.want)
			}
			if len(h.s.task(taskID("service", 0, 0)).attempts) == 0 {
				t.Error("the service does not start")
			}
		})
	}
}

// Guards against a later owner whose token is below that of the former one, so that the worker rejects its calls, and against calls of the
// former one that it does not fence off.
func TestLaterOwnerKeepsTheRaisedToken(t *testing.T) {
	h := returnedHarness(t, longestTestLease)
	h.storeKnown()
	known := []WorkerInfo{h.s.infoWithLeases(h.now.Boot, h.s.workers["w1"])}
	cfg := h.s.cfg
	cfg.Term = 2
	h.newTerm(2)
	h.s.cfg = cfg
	h.s.InheritWorkers(h.now, known)
	if got := h.s.FenceOffset("w1"); got != 1 {
		t.Errorf("the later owner raises the token by %d, want 1", got)
	}
}

// Scenario: an owner does not know the token that a former one has used, as its known workers could not be read. Guards against a worker that
// rejects its calls for good, and against raising the token where a later owner may be the cause.
func TestTokenOfAWorkerThatRejectsPollsIsRaisedOnceTheStoreHasConfirmedTheOwner(t *testing.T) {
	h := newHarness(t, 2)
	h.s.cfg.MaxTaskLease = longestTestLease
	h.addWorker("w1", nil)
	h.storeKnown()
	h.s.PollFenced(h.now, "w1")
	h.s.PollFailed(h.now, "w1", Grant{})
	h.s.RaiseRejected(h.now.Boot)
	h.storeKnown()
	if got := h.s.FenceOffset("w1"); got != 0 {
		t.Fatalf("the token is raised by %d before the store has confirmed the owner", got)
	}
	for _, want := range []int64{1, 3, 7} {
		h.advanceClock(time.Second)
		h.s.RaiseRejected(h.now.Boot)
		h.storeKnown()
		if got := h.s.FenceOffset("w1"); got != want {
			t.Fatalf("the token is raised by %d, want %d", got, want)
		}
		h.s.PollFenced(h.now, "w1")
	}
}

// Guards against an owner that gives up because a worker has rejected an order of a relay which does not know the raised token, and against one
// that goes on where only a later owner can be the cause.
func TestRejectedOrderProvesALaterOwnerOnlyWhereNoTokenIsRaised(t *testing.T) {
	for name, lease := range map[string]time.Duration{"tokens raised": longestTestLease, "no token raised": testLease} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.s.cfg.MaxTaskLease = lease
			h.addWorker("w1", nil)
			h.s.AddJob(testJob("job", testStep(1)), nil, false)
			orders := h.plan()
			h.wantStarts(orders, 1)
			if goesOn := h.s.OrderAnswered(h.now, orders[0], RejectedFenced); goesOn != (lease == longestTestLease) {
				t.Errorf("the owner goes on: %t", goesOn)
			}
		})
	}
}
