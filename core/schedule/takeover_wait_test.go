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
	h.advanceClock(withholdAfter)
	h.report(idle.info.ID)
	h.wantStarts(h.run(), 0) // the relays are told to withhold the leases
	h.advanceClock(h.s.cfg.leaseBound() - remaining - withholdAfter)
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
