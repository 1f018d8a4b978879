package schedule

import (
	"fmt"
	"testing"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
)

// shortTasks adds a job of tasks of one core that are estimated to take a time.
func (h *harness) shortTasks(id workload.JobID, tasks int, estimate time.Duration) {
	step := testStep(tasks)
	step.EstimateMs = estimate.Milliseconds()
	job := testJob(id, step)
	job.AcceptedMs = h.now.UnixMs
	h.s.AddJob(job, nil, false)
}

// lostService adds a service of one task that needs two cores and whose worker is lost, and fills the pool, two workers of two
// cores, with short tasks of one core. Those on w2 end first.
func (h *harness) lostService() *task {
	h.t.Helper()
	h.addWorker("w1", withCores(2))
	h.addWorker("w2", withCores(2))
	h.shortTasks("short", 1000, time.Second)
	h.wantStarts(h.run(), 4)
	for _, a := range h.s.workers["w1"].attemptList {
		a.startedAt += time.Second / 2
	}
	h.advanceClock(scanInterval)
	h.reportAll()
	t := h.displacedTask("service", coresStep(2), "w0")
	t.displacement.since = h.now.Boot - restartAfterLoss
	return t
}

// displacedTask adds a service of a step and returns its first task, which has run on a worker.
func (h *harness) displacedTask(id workload.JobID, step workload.Step, w WorkerID) *task {
	step.Service = true
	h.s.AddJob(testJob(id, step), nil, false)
	t := h.s.task(taskID(id, 0, 0))
	t.ran, t.storedWorker = true, w
	return t
}

// endOne ends one of the short tasks that run on a worker, and the worker reports.
func (h *harness) endOne(id WorkerID) {
	h.t.Helper()
	for _, r := range h.workers[id].running {
		if r.Task.Job == "short" {
			h.end(r.Task, EndDone)
			h.advanceClock(time.Millisecond)
			h.report(id)
			return
		}
	}
	h.t.Fatalf("no short task runs on %s", id)
}

// Guards against a service that needs more than a short task leaves and for which no place becomes large enough, because each
// place is taken at once.
func TestPlacesOnTheWorkerOfANomineeAreKept(t *testing.T) {
	h := newHarness(t, 1)
	service := h.lostService()
	h.wantStarts(h.run(), 0)
	if service.nomination.worker != h.s.workers["w2"] {
		t.Fatal("the service is not nominated to w2, where it fits first")
	}
	h.endOne("w2")
	h.endOne("w1")
	h.wantStarts(h.orderedFor(h.run(), "short"), 1) // on w1
	h.endOne("w2")
	if orders := starts(h.run()); len(orders) != 1 || orders[0].Task.Job != "service" || orders[0].Worker != "w2" {
		t.Fatalf("started %s", describe(orders))
	}
	if service.nomination.worker != nil || len(h.s.nominees) != 0 || len(h.s.workers["w2"].nominees) != 0 {
		t.Error("capacity is kept for a service that was started")
	}
}

// Guards against services that fail at the same time and one of which takes the place that another has left, while its own goes
// to a service that has not run, and against short tasks that take it.
func TestPlaceOfAServiceIsKeptUntilItHasStarted(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", withCores(3))
	h.addWorker("w2", withCores(2))
	for id, cores := range map[workload.JobID]int64{"large": 3, "small": 2} {
		step := coresStep(cores)
		step.Service = true
		h.s.AddJob(testJob(id, step), nil, false)
	}
	h.wantStarts(h.run(), 2)
	h.reportAll()
	h.s.AddJob(testJob("new", testService(10)), nil, false)
	h.shortTasks("short", 10, time.Second)
	h.wantStarts(h.run(), 0)
	h.end(taskID("large", 0, 0), EndFailed)
	h.end(taskID("small", 0, 0), EndFailed)
	h.reportAll()
	for waited := time.Duration(0); waited < restartOverdueAfter; waited += scanInterval {
		h.wantStarts(h.run(), 0)
		h.advanceClock(scanInterval)
		h.reportAll()
	}
	orders := h.run()
	h.wantStarts(h.orderedFor(orders, "large"), 1)
	h.wantStarts(h.orderedFor(orders, "small"), 1)
	h.wantStarts(orders, 2)
}

// Guards against a service that waits for one worker while it fits on another.
func TestNomineeStartsWhereItFitsFirst(t *testing.T) {
	h := newHarness(t, 1)
	h.lostService()
	h.run()
	h.addWorker("w3", withCores(2))
	if orders := h.orderedFor(h.run(), "service"); len(orders) != 1 || orders[0].Worker != "w3" {
		t.Fatalf("started %s", describe(orders))
	}
	if len(h.s.nominees) != 0 || len(h.s.workers["w2"].nominees) != 0 {
		t.Error("capacity is kept for a service that was started")
	}
}

// Guards against capacity that stays unused because it is kept for a service that has ended, and against a service that waits
// for a worker that does not answer any more.
func TestNominationEnds(t *testing.T) {
	for name, end := range map[string]func(h *harness){
		"cancelled":     func(h *harness) { h.s.Cancel(h.now, "service") },
		"worker silent": func(h *harness) { h.s.PollFailed(h.now, "w2", Grant{}) },
		"worker drains": func(h *harness) { h.workers["w2"].info.Draining = true; h.list() },
		"evacuated":     func(h *harness) { h.s.SetEvacuated([]structs.DatacentreID{"dc1"}) },
	} {
		h := newHarness(t, 1)
		service := h.lostService()
		h.run()
		if service.nomination.worker != h.s.workers["w2"] {
			t.Fatalf("%s: the service is not nominated to w2", name)
		}
		end(h)
		h.run()
		if len(h.s.workers["w2"].nominees) != 0 || service.nomination.worker == h.s.workers["w2"] {
			t.Errorf("%s: the capacity of w2 is still kept", name)
		}
	}
}

// Guards against a service that waits for long tasks because the first estimate of their ends was wrong, while others end.
func TestNominationIsReviewed(t *testing.T) {
	h := newHarness(t, 1)
	service := h.lostService()
	h.run()
	for _, a := range h.s.workers["w2"].attemptList {
		a.startedAt -= time.Minute // for much longer than estimated
	}
	h.advanceClock(nominationReview)
	h.reportAll()
	h.run()
	if service.nomination.worker != h.s.workers["w1"] {
		t.Error("the service still waits for w2")
	}
}

// Guards against keeping capacity on workers that a service may not use.
func TestNomineeNeedsItsLabel(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w3", func(info *WorkerInfo) { withCores(2)(info); info.Labels = []string{"ssd"} })
	h.shortTasks("long", 2, time.Hour)
	h.wantStarts(h.run(), 2)
	h.lostService()
	step := coresStep(2)
	step.Label = "ssd"
	labelled := h.displacedTask("labelled", step, "w0")
	labelled.displacement.since = h.now.Boot - restartAfterLoss
	h.run()
	if w := labelled.nomination.worker; w == nil || w.info.ID != "w3" {
		t.Errorf("the service is nominated to %v, only w3 has its label", w)
	}
}

// Guards against a service that may not share a worker with others of its step and waits for a worker that has one.
func TestNomineeKeepsToItsLimitPerWorker(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", withCores(3))
	h.addWorker("w2", withCores(3))
	step := coresStep(2)
	step.Service, step.Tasks, step.MaxPerWorker = true, 2, 1
	h.s.AddJob(testJob("service", step), nil, false)
	h.wantStarts(h.run(), 2)
	h.reportAll()
	h.shortTasks("short", 1000, time.Second)
	h.run()
	failed := h.s.task(taskID("service", 0, 0))
	own := failed.attempts[0].worker
	h.fail(failed.id())
	h.run()
	if failed.nomination.worker != own {
		t.Errorf("the service is nominated to %v, only %s may run it", failed.nomination.worker, own.info.ID)
	}
}

// Guards against another task of the step that takes the place on the worker of a nominee, beside which there is room for a
// further task but not for one of the same step.
func TestNomineeIsNotReplacedByItsStep(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", withCores(4))
	step := coresStep(2)
	step.Service, step.Tasks, step.MaxPerWorker = true, 2, 1
	h.s.AddJob(testJob("service", step), nil, false)
	h.wantStarts(h.run(), 1)
	h.reportAll()
	failed := h.workers["w1"].running[0].Task
	h.fail(failed)
	for waited := time.Duration(0); waited < restartOverdueAfter; waited += scanInterval {
		h.wantStarts(h.run(), 0)
		h.advanceClock(scanInterval)
		h.reportAll()
	}
	if orders := starts(h.run()); len(orders) != 1 || orders[0].Task != failed {
		t.Errorf("started %s", describe(orders))
	}
}

// Guards against fillers that wait for processor time which they do not reserve, because memory or processor time is kept for
// a service.
func TestFillersStartBesideANominee(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", func(info *WorkerInfo) { info.Draining = true })
	h.addWorker("w2", withCores(4))
	step := coresStep(3)
	step.Service = true
	h.s.AddJob(testJob("service", step), nil, false)
	h.wantStarts(h.run(), 1)
	h.reportAll()
	h.fail(taskID("service", 0, 0))
	h.run()
	if len(h.s.workers["w2"].nominees) == 0 {
		t.Fatal("the service is not nominated")
	}
	filler := testStep(1)
	filler.Filler = true
	h.s.AddJob(testJob("filler", filler), nil, false)
	h.s.AddJob(testJob("short", coresStep(2)), nil, false)
	orders := h.run()
	h.wantStarts(h.orderedFor(orders, "filler"), 1)
	h.wantStarts(h.orderedFor(orders, "short"), 0)
}

// Guards against a next owner that starts others in place of services that were displaced under the former one.
func TestNextOwnerNominatesDisplacedServices(t *testing.T) {
	h := newHarness(t, 1)
	w1 := h.addWorker("w1", withCores(2))
	step := coresStep(2)
	step.Service = true
	h.s.AddJob(testJob("service", step), nil, false)
	h.wantStarts(h.run(), 1)
	h.reportAll()
	h.end(taskID("service", 0, 0), EndFailed)
	rec, progress := h.s.jobs["service"].rec, h.s.jobs["service"].progress()
	h.newTerm(2)
	h.s.InheritWorkers(h.now, []WorkerInfo{w1.info})
	h.s.AddJob(rec, &progress, true)
	h.shortTasks("short", 10, time.Second)
	h.listWorkers()
	h.waitForRestart("service")
}

// Guards against all workers that keep capacity for services at once, on which tasks that end could start.
func TestNomineesThatWaitAreLimited(t *testing.T) {
	h := newHarness(t, 1)
	for _, id := range []WorkerID{"w1", "w2", "w3", "w4"} {
		h.addWorker(id, withCores(4))
	}
	h.shortTasks("short", 1000, time.Second)
	h.wantStarts(h.run(), 16)
	h.advanceClock(scanInterval)
	h.reportAll()
	for i := range 4 {
		t := h.displacedTask(workload.JobID(fmt.Sprint("service", i)), coresStep(2), "w0")
		t.displacement.since = h.now.Boot - restartAfterLoss
	}
	h.run()
	if n := len(h.s.nominees); n != 4/maxNominatedShare {
		t.Errorf("%d nominees on 4 workers", n)
	}
}

// Scenario: a nominee waits for its second place on a worker of a pool in which more workers than are compared would suit it later.
// Guards against nominations that move to another worker at each review, so that places that were kept are given up and none becomes
// large enough.
func TestNominationStaysWhereTheTaskFitsSoonest(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w", withCores(2))
	for n := range 4 * maxNominationChecks {
		h.addWorker(WorkerID(fmt.Sprint("x", n)), withCores(2))
	}
	h.shortTasks("short", 100*maxNominationChecks, 10*time.Second)
	h.run()
	h.advanceClock(scanInterval)
	h.reportAll()
	w := h.s.workers["w"]
	for _, a := range w.attemptList {
		a.startedAt -= time.Second // they end first
	}
	service := h.displacedTask("service", coresStep(2), "w0")
	service.displacement.since = h.now.Boot - restartAfterLoss
	h.s.setNominee(service, nomination{worker: w, at: h.now.Boot})
	h.endOne("w")
	for range 3 {
		service.nomination.at -= nominationReview
		h.advanceClock(scanInterval)
		h.reportAll()
		h.run()
		if service.nomination.worker != w {
			t.Fatalf("nominated to %s, want w with one of two places free", service.nomination.worker.info.ID)
		}
	}
}

// Scenario: more displaced tasks than a planning run nominates belong to a service that runs at most once on each worker, and does
// so on all. Guards against their searches using up those of a planning run, so that a service behind them is not nominated.
func TestTasksThatCannotBeNominatedDoNotStopOthers(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", withCores(4))
	h.addWorker("w2", withCores(4))
	spread := coresStep(1)
	spread.Service, spread.MaxPerWorker, spread.Tasks = true, 1, 2*maxNominations
	h.s.AddJob(testJob("a-spread", spread), nil, false)
	h.wantStarts(h.run(), 2)
	h.shortTasks("short", 1000, time.Hour)
	h.wantStarts(h.run(), 6)
	for _, task := range h.s.jobs["a-spread"].steps[0].tasks[2:] {
		task.ran, task.storedWorker = true, "w0"
		task.displacement.since = h.now.Boot - restartAfterLoss
	}
	service := h.displacedTask("service", coresStep(2), "w0")
	service.displacement.since = h.now.Boot - restartAfterLoss
	for range 3 {
		h.advanceClock(scanInterval)
		h.reportAll()
		h.run()
	}
	if service.nomination.worker == nil {
		t.Error("the service is not nominated")
	}
}

// Guards against a service that stays down for as long as the worker that keeps its place is in back-off: another one of the same
// size comes before it and fits nowhere, so that no further worker is searched for a task of this size.
func TestNomineeStartsInBackOffBesideAnotherOfItsSize(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", withCores(1))
	h.startedService("lost", 1)
	h.addWorker("w2", withCores(1))
	h.startedService("failed", 1)
	h.s.PollFailed(h.now, "w1", Grant{})
	delete(h.workers, "w1")
	h.advanceClock(h.s.cfg.leaseBound())
	h.reportAll()
	h.wantStarts(h.run(), 0)
	h.advanceClock(2 * restartOverdueAfter)
	h.fail(taskID("failed", 0, 0))
	health := &h.s.workers["w2"].health
	health.length, health.until = maxFailureBackOff, h.now.Boot+maxFailureBackOff
	h.wantStarts(h.run(), 0)
	h.advanceClock(restartOverdueAfter)
	h.reportAll()
	h.wantStarts(h.orderedFor(h.run(), "failed"), 1)
}

// Guards against a service that waits for as long as the only worker with room for it beside its services counts as slow, while tasks
// that end take each place there that becomes free.
func TestOverdueServiceIsNominatedToASlowWorker(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w0", withCores(2))
	h.startedService("service", 1)
	h.addWorker("w1", withCores(2))
	h.shortTasks("short", 1000, time.Second)
	h.run()
	h.s.PollFailed(h.now, "w0", Grant{})
	delete(h.workers, "w0")
	for range 40 {
		h.s.workers["w1"].slowness.add(h.now.Boot, maxSlowness, minSlowWeight)
	}
	for _, wait := range []time.Duration{h.s.cfg.leaseBound(), restartOverdueAfter} {
		h.advanceClock(wait)
		h.s.workers["w1"].slowness.at = h.now.Boot // slow tasks go on there
		h.reportAll()
		h.run()
	}
	if w := h.s.task(taskID("service", 0, 0)).nomination.worker; w != h.s.workers["w1"] {
		t.Errorf("the service is nominated to %v, want w1", w)
	}
}
