package schedule

import (
	"testing"
	"time"

	"fulmarcourse.example/core/workload"
)

// planned runs a cycle without a write to the store and returns the new orders.
func (h *harness) planned() []Order {
	h.s.Plan(h.now)
	return h.s.TakeOrders()
}

// nominatedService fills the only worker with a task and returns a displaced service that is nominated to the worker.
func (h *harness) nominatedService(runs time.Duration) *task {
	h.t.Helper()
	h.runTasks(runningTask{"long", 4, 0, runs, false, nil})
	t := h.displacedTask("service", coresStep(2), "w0")
	t.displacement.since = h.now.Boot - restartAfterLoss
	h.wantStarts(h.run(), 0)
	if t.nomination.worker == nil {
		h.t.Fatal("the service is not nominated")
	}
	return t
}

// Guards against a displaced service that waits for a write to the store after its place has become free.
func TestNomineeStartsWithoutAWriteOnceItsPlaceIsFree(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", withCores(4))
	service := h.nominatedService(soonWait)
	h.end(taskID("long", 0, 0), EndDone)
	h.reportAll()
	orders := starts(h.planned())
	if len(orders) != 1 || orders[0].Task != service.id() {
		t.Fatalf("got the starts %s, want that of the service", describe(orders))
	}
}

// Guards against a failed service that waits for a write to the store although the record names the worker on which it starts again.
func TestServiceRestartsOnItsWorkerWithoutAWrite(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	h.startedService("service", 1)
	h.elapse(2 * restartOverdueAfter) // a failure after a brief run may be the worker's
	h.fail(taskID("service", 0, 0))
	h.wantStarts(h.planned(), 1)
}

// Guards against a service that is started while the store may name another worker: a later owner would start it a second time.
func TestServiceWaitsForTheWriteThatNamesItsWorker(t *testing.T) {
	nominate := func(h *harness, service *task, id WorkerID) {
		h.s.setNominee(service, nomination{worker: h.s.workers[id], soon: true, at: h.now.Boot})
	}
	for name, write := range map[string]func(h *harness, service *task){
		"nothing was written":  func(*harness, *task) {},
		"a write is under way": func(h *harness, _ *task) { h.s.Changed() },
		"another worker is being written": func(h *harness, service *task) {
			h.store()
			nominate(h, service, "w2")
			h.s.Changed()
		},
		"another worker may be stored": func(h *harness, service *task) {
			h.store()
			nominate(h, service, "w2")
			h.s.Changed()
			nominate(h, service, "w1")
			h.s.Changed()
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.addWorker("w1", withCores(4))
			h.runTasks(runningTask{"long", 4, 0, soonWait, false, nil})
			service := h.displacedTask("service", coresStep(2), "w0")
			service.displacement.since = h.now.Boot - restartAfterLoss
			h.planned()
			if service.nomination.worker == nil {
				t.Fatal("the service is not nominated")
			}
			h.addWorker("w2", withCores(1))
			write(h, service)
			nominate(h, service, "w1")
			h.end(taskID("long", 0, 0), EndDone)
			h.reportAll()
			h.wantStarts(h.planned(), 0)
			h.store()
			h.wantStarts(h.s.TakeOrders(), 1)
		})
	}
}

// Guards against a nominee that a later owner starts while its former owner's start may run, and against one that it never starts.
func TestNomineeAfterATakeover(t *testing.T) {
	for name, started := range map[string]bool{"started": true, "not started": false} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			w := h.addWorker("w1", withCores(4))
			service := h.nominatedService(soonWait)
			job, progress := service.step.job.rec, service.step.job.progress()
			if started {
				h.end(taskID("long", 0, 0), EndDone)
				h.reportAll()
				for _, o := range starts(h.planned()) {
					h.execute(o)
				}
			}
			h.newTerm(2)
			h.s.InheritWorkers(h.now, []WorkerInfo{w.info})
			h.s.AddJob(job, &progress, true)
			h.s.SetWorkers(h.now, []WorkerInfo{w.info})
			h.wantStarts(h.plan(), 0)
			if !started {
				h.end(taskID("long", 0, 0), EndDone)
			}
			h.listWorkers()
			want := 1
			if started {
				want = 0
			}
			h.wantStarts(h.run(), want)
			if s := h.s.task(taskID("service", 0, 0)); len(s.attempts) != 1 {
				t.Errorf("the service has %d attempts, want 1", len(s.attempts))
			}
		})
	}
}

// Guards against a record that names a worker to which the task is no longer nominated: a later owner would wait for its report.
func TestRecordNamesTheFormerWorkerOnceANominationHasEnded(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", withCores(4))
	service := h.nominatedService(soonWait)
	if got := service.recordedWorker; got != "w1" {
		t.Fatalf("the record names %q, want w1", got)
	}
	h.s.dropNomination(service)
	h.store()
	if got := service.recordedWorker; got != "w0" {
		t.Errorf("the record names %q, want w0", got)
	}
}

// Guards against a job that is shown as running again after it was shown as failed.
func TestFailedJobWithANomineeStaysFailed(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", withCores(4))
	service := h.nominatedService(soonWait)
	h.s.finish(h.now, service.step.job, workload.StateFailed)
	h.store()
	h.wantState("service", workload.StateFailed)
	h.s.Plan(h.now)
	h.wantState("service", workload.StateFailed)
}

// Guards against a service that a later owner does not start because its former owner had nominated it to a worker, for whose tasks it
// would have waited for long, and that is silent by then: it has not been started there.
func TestNomineeThatWaitsForLongIsNotRecordedAhead(t *testing.T) {
	h := newHarness(t, 1)
	w1 := h.addWorker("w1", withCores(4))
	service := h.nominatedService(time.Minute)
	job, progress := service.step.job.rec, service.step.job.progress()
	h.newTerm(2)
	h.s.InheritWorkers(h.now, []WorkerInfo{w1.info})
	h.s.AddJob(job, &progress, true)
	h.addWorkerSilent("w2", withCores(4), "w1")
	began := h.now.Boot
	for h.now.Boot-began < restartBound {
		if len(h.passWithSilent(scanInterval, "w1")) > 0 {
			return
		}
	}
	t.Errorf("the service does not start on w2 within %v of the takeover", restartBound)
}
