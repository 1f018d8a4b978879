package schedule

import (
	"testing"
	"time"
)

// Guards against a takeover of which nobody can tell how many workers it waits for, for how long, and whether the former owner has stored
// the rest of their leases.
func TestAwaitedWorkersAreCounted(t *testing.T) {
	h := newHarness(t, 2)
	h.s.InheritWorkers(h.now, []WorkerInfo{{ID: "known"}, {ID: "silent", LeaseRemaining: 2 * time.Second}})
	longest := h.s.cfg.HandoverGrace + h.s.cfg.leaseBound()
	if got, want := h.s.Awaited(h.now.Boot), (AwaitedWorkers{Workers: 2, WithRemaining: 1, Longest: longest}); got != want {
		t.Errorf("awaited %+v, want %+v", got, want)
	}
	h.advanceClock(time.Second)
	h.s.InheritUnknown(h.now)
	if got := h.s.Awaited(h.now.Boot).Longest; got != longest {
		t.Errorf("the longest wait is %v after some workers could not be read, want %v", got, longest)
	}
}

// Guards against waits for a worker that do not tell when its leases expire, and against tasks of older jobs that name another worker than
// the one that holds them up longest.
func TestWaitsTellWhenTheLeasesExpire(t *testing.T) {
	h := newHarness(t, 2)
	idle := h.addWorker("idle", nil)
	h.newTerm(2)
	h.s.InheritWorkers(h.now, []WorkerInfo{{ID: "a-stored", LeaseRemaining: 4 * time.Second}, {ID: "b-unknown"}})
	h.list()
	h.s.AddJob(testJob("job", testStep(1)), nil, true)
	h.advanceClock(LongWait)
	h.report(idle.info.ID)
	h.plan()
	waits := h.s.Waits(h.now)
	if len(waits.Steps) != 1 {
		t.Fatalf("%d steps wait, want 1: %v", len(waits.Steps), &waits.Tasks)
	}
	w := waits.Steps[0]
	if want := h.s.cfg.HandoverGrace + h.s.cfg.leaseBound() - LongWait; w.Reason != WaitTakeover || w.Worker != "b-unknown" || w.ExpiresIn != want {
		t.Errorf("waits as %v for %s, whose leases expire in %v; want b-unknown in %v", w.Reason, w.Worker, w.ExpiresIn, want)
	}
}

// Guards against a silent worker whose expiry is not told, and against an expiry that is told while leases are extended.
func TestWaitForASilentWorkerTellsWhenItsLeasesExpire(t *testing.T) {
	h, lost, _ := lostWorker(t)
	if got := h.s.expiresIn(h.now.Boot, "idle"); got != 0 {
		t.Errorf("the leases of a worker that answers expire in %v", got)
	}
	h.pass(unreachableAfter + LongWait)
	waits := h.s.Waits(h.now)
	if len(waits.Steps) != 1 || waits.Steps[0].Reason != WaitWorkerSilent || waits.Steps[0].Worker != lost.info.ID {
		t.Fatalf("waiting steps %+v", waits.Steps)
	}
	if got, want := waits.Steps[0].ExpiresIn, h.s.workers[lost.info.ID].leaseEnd-h.now.Boot; got != want || want <= 0 {
		t.Errorf("the leases expire in %v, want %v", got, want)
	}
}
