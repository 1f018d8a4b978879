package schedule

import (
	"fmt"
	"testing"

	"fulmarcourse.example/core/workload"
)

// needsText returns the figures of a summary: tasks and thousandths of a core, for starts also those in room.
func needsText(n ServiceNeeds) string {
	start := func(s StartTotal) string { return fmt.Sprintf("%d/%d/%d", s.Tasks, s.MilliCPU, s.InRoom) }
	return fmt.Sprintf("on silent %d/%d displaced %d/%d first %s restarts %s others %s fillers %s",
		n.OnSilent.Tasks, n.OnSilent.MilliCPU, n.Displaced.Tasks, n.Displaced.MilliCPU,
		start(n.FirstStarts), start(n.Restarts), start(n.OtherStarts), start(n.Fillers))
}

func (h *harness) wantNeeds(want string) {
	h.t.Helper()
	if got := needsText(h.s.TakeServiceNeeds(h.now)); got != want {
		h.t.Errorf("counted %s\nwant    %s", got, want)
	}
}

// otherPool returns a job whose tasks start in another pool.
func otherPool(id workload.JobID) workload.Job {
	job := testJob(id, testStep(1))
	job.Queue.Pool = "other"
	return job
}

// Guards against a log from which it cannot be told what took the capacity that services on silent workers, and those that
// wait for a place, would have needed.
func TestServiceNeedsTellWhatTookRoom(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", withCores(2))
	h.startedService("lost", 2)
	h.addWorker("w2", withCores(4))
	h.addWorker("w3", func(info *WorkerInfo) { info.Pool = "other" })
	h.s.AddJob(testJob("before", testStep(1)), nil, false)
	h.wantStarts(h.run(), 1)
	h.wantNeeds("on silent 0/0 displaced 0/0 first 0/0/0 restarts 0/0/0 others 0/0/0 fillers 0/0/0")

	h.s.PollFailed(h.now, "w1", Grant{})
	first, half, filler := testService(1), testStep(1), testStep(1)
	half.Size.MilliCPU, filler.Filler = 500, true
	half.EstimateMs = 3_600_000 // so that it is not moved for lack of progress
	first.Size.MilliCPU = 2000
	h.s.AddJob(testJob("first", first), nil, false)
	h.s.AddJob(testJob("half", half), nil, false)
	h.s.AddJob(otherPool("elsewhere"), nil, false)
	h.wantStarts(h.run(), 3)
	h.wantNeeds("on silent 2/2000 displaced 0/0 first 1/2000/1 restarts 0/0/0 others 1/500/1 fillers 0/0/0")

	delete(h.workers, "w1") // its leases expire
	h.listWorkers()
	h.wantNeeds("on silent 2/2000 displaced 0/0 first 0/0/0 restarts 0/0/0 others 0/0/0 fillers 0/0/0")
	h.advanceClock(h.s.cfg.leaseBound())
	h.listWorkers()
	half.Size.MilliCPU = 200
	h.s.AddJob(testJob("rest", half), nil, false)
	h.s.AddJob(testJob("filler", filler), nil, false)
	h.run()
	h.wantNeeds("on silent 0/0 displaced 2/2000 first 0/0/0 restarts 0/0/0 others 1/200/0 fillers 1/1000/0")

	h.end(taskID("before", 0, 0), EndDone)
	h.reportAll()
	h.run()
	h.wantNeeds("on silent 0/0 displaced 1/1000 first 0/0/0 restarts 1/1000/1 others 0/0/0 fillers 0/0/0")
	h.wantNeeds("on silent 0/0 displaced 1/1000 first 0/0/0 restarts 0/0/0 others 0/0/0 fillers 0/0/0")
}

// Guards against services of a cancelled job, which need no place again, and those of workers that answer again being counted.
func TestServiceNeedsLeaveOutWhatNeedsNoPlace(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", withCores(2))
	h.startedService("cancelled", 1)
	h.startedService("stays", 1)
	h.s.PollFailed(h.now, "w1", Grant{})
	h.s.Cancel(h.now, "cancelled")
	h.wantNeeds("on silent 1/1000 displaced 0/0 first 0/0/0 restarts 0/0/0 others 0/0/0 fillers 0/0/0")
	h.reportAll()
	h.wantNeeds("on silent 0/0 displaced 0/0 first 0/0/0 restarts 0/0/0 others 0/0/0 fillers 0/0/0")
}

// Guards against services that a former owner may have started on a worker that has not reported being counted as waiting for a
// place.
func TestServiceNeedsAfterATakeover(t *testing.T) {
	h := newHarness(t, 1)
	w := h.addWorker("w1", nil)
	service := testJob("service", testService(1))
	h.s.AddJob(service, nil, false)
	h.plan() // stored, and the order is not executed
	progress := h.s.jobs["service"].progress()
	h.newTerm(2)
	h.s.InheritWorkers(h.now, []WorkerInfo{w.info})
	h.s.AddJob(service, &progress, true)
	h.s.Plan(h.now)
	n := h.s.TakeServiceNeeds(h.now)
	if n.Displaced.Tasks != 0 || n.OnSilent.Tasks != 1 {
		t.Errorf("counted %s", needsText(n))
	}
}
