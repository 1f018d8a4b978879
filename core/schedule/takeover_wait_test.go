package schedule

import (
	"testing"
	"time"
)

// Scenario: a worker is lost under a service task, its owner waits for the end of its leases, and is replaced 2 s before that. Guards
// against a later owner that waits anew for as long as a lease may last: with the lease of 10 s of flojel-sched a service runs nowhere
// beside free workers for more than 20 s, and each further change of the owner adds to it.
func TestLaterOwnerDoesNotWaitAnewForALostWorker(t *testing.T) {
	const remaining = 2 * time.Second
	h := newHarness(t, 1)
	lost, idle := h.addWorker("lost", nil), h.addWorker("idle", func(info *WorkerInfo) { info.Draining = true })
	job := testJob("job", testService(1))
	h.s.AddJob(job, nil, false)
	h.wantStarts(h.run(), 1)
	h.reportAll()
	stored := h.s.jobs["job"].progress()
	idle.info.Draining = false
	h.listWorkers()
	h.s.PollFailed(h.now, lost.info.ID, Grant{})
	h.run()
	h.advanceClock(repeatTime)
	h.report(idle.info.ID)
	h.wantStarts(h.run(), 0) // the relays are told to withhold the leases
	h.advanceClock(h.s.cfg.leaseBound() - remaining - repeatTime)
	h.report(idle.info.ID)
	h.wantStarts(h.run(), 0)
	h.s.knownWorkersChanged = true
	known, _ := h.s.KnownWorkers()

	h.newTerm(2)
	h.s.InheritWorkers(h.now, known)
	h.s.SetWorkers(h.now, []WorkerInfo{idle.info})
	h.s.AddJob(job, &stored, true)
	h.report(idle.info.ID)
	h.advanceClock(remaining + h.s.cfg.HandoverGrace)
	h.report(idle.info.ID)
	h.run()
	if len(h.s.task(taskID("job", 0, 0)).attempts) == 0 {
		t.Errorf("the service runs nowhere %v after the change of owner, when the leases of its worker have expired",
			remaining+h.s.cfg.HandoverGrace)
	}
}

// Guards against a takeover that waits longer by the time that the new owner takes to read the jobs and the known workers: 0.5 s and more in
// a large partition.
func TestTakeoverCountsFromTheBeginningOfTheTerm(t *testing.T) {
	const reading = 700 * time.Millisecond
	h := newHarness(t, 2)
	h.s.cfg.AcquiredAt = h.now.Boot - reading
	h.s.InheritWorkers(h.now, []WorkerInfo{{ID: "known"}, {ID: "silent", LeaseRemaining: 2 * time.Second}})
	whole := h.s.cfg.HandoverGrace + h.s.cfg.leaseBound()
	for id, want := range map[WorkerID]time.Duration{"known": whole - reading, "silent": 2*time.Second - reading} {
		if got := h.s.expiresIn(h.now.Boot, id); got != want {
			t.Errorf("the leases of %s expire in %v, want %v", id, got, want)
		}
	}
	h.s.InheritUnknown(h.now)
	if got := h.s.unknownUntil - h.now.Boot; got != whole-reading {
		t.Errorf("leases of unknown workers expire in %v, want %v", got, whole-reading)
	}
	h.s.cfg.AcquiredAt = h.now.Boot + reading
	if got := h.s.cfg.begunAt(h.now.Boot); got != h.now.Boot {
		t.Errorf("the term begins %v after the takeover", got-h.now.Boot)
	}
}
