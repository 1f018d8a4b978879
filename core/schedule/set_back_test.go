package schedule

import (
	"testing"
	"time"

	"fulmarcourse.example/core/workload"
)

// setBack makes the process of a worker end and another one start at its address under a new ID, with a lower start since the clock of
// the machine was set back. The list shows the next one, and at first the former one as well.
func (h *harness) setBack(id, next WorkerID) *simWorker {
	former := h.workers[id]
	delete(h.workers, id)
	info := former.info
	info.ID, info.StartedMs = next, former.info.StartedMs-1000
	w := &simWorker{info: info, incarnation: info.StartedMs, stopped: map[attemptKey]bool{}}
	h.workers[next] = w
	return w
}

// pollSetBack lets a second go by, in which the worker with a former ID does not answer and the others do once the owner polls them.
func (h *harness) pollSetBack(former WorkerID) {
	for range 10 {
		h.advanceClock(100 * time.Millisecond)
		h.s.PollFailed(h.now, former, Grant{})
		for _, info := range h.s.Workers() {
			if h.workers[info.ID] != nil {
				h.report(info.ID)
			}
		}
	}
}

// Scenario: the clock of a machine is set back; its worker ends and the next one, under another ID, has the lower start. Guards against
// taking that one for a former process, so that it gets no task until the leases of the silent one have expired; and against treating
// these as expired before.
func TestWorkerWithALowerStartAtTheAddressOfASilentOneIsUsed(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", func(info *WorkerInfo) { info.StartedMs = 5000 })
	h.s.AddJob(testJob("before", testStep(1)), nil, false)
	h.wantStarts(h.run(), 1)
	h.reportAll()
	silentSince := h.now.Boot
	h.setBack("w1", "w2")
	h.s.AddJob(testJob("after", testStep(1)), nil, false)
	startedAfter := map[workload.JobID]time.Duration{}
	for len(startedAfter) < 2 && h.now.Boot < silentSince+20*time.Second {
		h.pollSetBack("w1")
		h.list()
		for _, o := range starts(h.run()) {
			if startedAfter[o.Task.Job] == 0 {
				startedAfter[o.Task.Job] = h.now.Boot - silentSince
			}
		}
	}
	// Polled from the first list after unreachableAfter on.
	if wait := startedAfter["after"]; wait == 0 || wait > unreachableAfter+2*time.Second {
		t.Errorf("the next process gets a task after %v, want at most %v", wait, unreachableAfter+2*time.Second)
	}
	if wait := startedAfter["before"]; wait < h.s.cfg.leaseBound() {
		t.Errorf("the task of the silent worker starts again after %v, its leases may last %v", wait, h.s.cfg.leaseBound())
	}
}

// Scenario: an entry of a former process is still listed when the next one, which has answered from its address, is silent and answers
// again. Guards against treating either worker as ended because of the entry, or using the former one.
func TestEntryOfAFormerProcessBesideASilentWorkerChangesNothing(t *testing.T) {
	h := newHarness(t, 1)
	w := h.addWorker("w1", func(info *WorkerInfo) { info.StartedMs = 5000 })
	h.s.AddJob(testJob("job", testStep(1)), nil, false)
	h.wantStarts(h.run(), 1)
	h.reportAll()
	former := w.info
	former.ID, former.StartedMs = "former", 4000
	list := func() { h.s.SetWorkers(h.now, []WorkerInfo{w.info, former}) }
	for range 40 { // 4 s, longer than unreachableAfter
		h.advanceClock(100 * time.Millisecond)
		h.s.PollFailed(h.now, "w1", Grant{})
		h.s.PollFailed(h.now, "former", Grant{})
		list()
		h.wantStarts(h.run(), 0)
	}
	for n := range 10 {
		h.advanceClock(100 * time.Millisecond)
		w.running[0].Percent = float64(n + 1)
		h.report("w1")
		list()
		h.wantStarts(h.run(), 0)
	}
	if w := h.s.workers["w1"]; w == nil || len(w.attempts) != 1 {
		t.Error("the task of the worker that was silent is lost")
	}
	if h.s.workers["former"] != nil {
		t.Error("the former process counts as a worker beside the one that answers")
	}
}
