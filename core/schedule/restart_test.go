package schedule

import (
	"testing"
	"time"

	"fulmarcourse.example/core/workload"
)

// testService returns a service step.
func testService(tasks int) workload.Step {
	step := testStep(tasks)
	step.Service = true
	return step
}

// startedService adds a service and starts its tasks.
func (h *harness) startedService(id workload.JobID, tasks int) {
	h.t.Helper()
	h.s.AddJob(testJob(id, testService(tasks)), nil, false)
	h.wantStarts(h.orderedFor(h.run(), id), tasks)
	h.reportAll()
}

// fail ends the attempt of a task as failed, and its worker reports.
func (h *harness) fail(id workload.TaskID) {
	h.end(id, EndFailed)
	h.reportAll()
}

// withCores returns a change that gives a worker a number of cores.
func withCores(cores int64) func(*WorkerInfo) {
	return func(info *WorkerInfo) { info.Capacity.MilliCPU = 1000 * cores }
}

// waitForRestart makes tasks end one reporting interval after their start, until a task of a service starts, and returns how
// long that took.
func (h *harness) waitForRestart(service workload.JobID) time.Duration {
	h.t.Helper()
	const interval = 100 * time.Millisecond
	for waited := time.Duration(0); waited < restartBound; waited += interval {
		orders := starts(h.run())
		if len(h.orderedFor(orders, service)) > 0 {
			return waited
		}
		h.advanceClock(interval)
		for _, o := range orders {
			h.end(o.Task, EndDone)
		}
		h.reportAll()
	}
	h.t.Fatalf("no task of %s has started within %v", service, restartBound)
	return 0
}

// restartBound is the time within which the platform demands that a service task runs again if there is room for it.
const restartBound = 3 * time.Second

// Guards against a service task that had run and stays down while tasks that end take each core that becomes free, of the
// same or of a higher priority.
func TestDisplacedServiceTaskIsNotPassedOverForLong(t *testing.T) {
	for _, priority := range []int{0, 1} {
		h := newHarness(t, 1)
		h.addWorker("w1", withCores(1))
		service := testJob("service", testService(1))
		service.Queue.Priority = priority
		h.s.AddJob(service, nil, false)
		h.wantStarts(h.run(), 1)
		h.s.AddJob(testJob("short", testStep(1000)), nil, false)
		h.addWorker("w2", withCores(1))
		h.addWorker("w3", withCores(1))
		h.fail(taskID("service", 0, 0))
		h.waitForRestart("service")
	}
}

// Guards against tasks that end taking the places that services leave while a displaced service task waits, and against
// the displaced task taking the place of a task that has ended.
func TestDisplacedServiceTaskTakesThePlaceThatAServiceLeaves(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", withCores(1))
	h.startedService("service", 1)
	h.addWorker("w2", withCores(1))
	h.startedService("other", 1)
	h.addWorker("w3", withCores(1))
	h.s.AddJob(testJob("first", testStep(1)), nil, false)
	h.wantStarts(h.orderedFor(h.run(), "first"), 1)
	h.s.PollFailed(h.now, "w1", Grant{})
	delete(h.workers, "w1")
	h.advanceClock(h.s.cfg.leaseBound())
	h.reportAll()
	h.wantStarts(h.run(), 0)
	short := testJob("short", testStep(100))
	short.AcceptedMs = h.now.UnixMs
	h.s.AddJob(short, nil, false)
	h.end(taskID("first", 0, 0), EndDone)
	h.reportAll()
	h.wantStarts(h.orderedFor(h.run(), "short"), 1)
	h.s.Cancel(h.now, "other")
	h.run()
	h.reportAll()
	h.wantStarts(h.orderedFor(h.run(), "service"), 1)
}

// Guards against the next owner taking a displaced task for one that has never run.
func TestNextOwnerRestartsDisplacedServiceTask(t *testing.T) {
	h := newHarness(t, 1)
	w1 := h.addWorker("w1", withCores(2))
	h.startedService("service", 1)
	service, progress := h.s.jobs["service"].rec, h.s.jobs["service"].progress()
	w1.running = nil
	w1.incarnation++
	h.newTerm(2)
	h.s.InheritWorkers(h.now, []WorkerInfo{w1.info})
	h.s.AddJob(service, &progress, true)
	h.s.AddJob(testJob("short", testStep(1000)), nil, false)
	h.listWorkers()
	h.waitForRestart("service")
}

// Guards against services that have not run and take the capacity for which tasks that end are waiting, and against tasks
// of a service that start while one that has run waits.
func TestNewServiceTasksComeAfterTasksThatEndAndDisplacedOnes(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", withCores(1))
	h.s.AddJob(testJob("service", testService(3)), nil, false)
	h.wantStarts(h.orderedFor(h.run(), "service"), 1)
	h.s.AddJob(testJob("a new service", testService(3)), nil, false)
	h.s.AddJob(testJob("short", testStep(2)), nil, false)
	h.fail(taskID("service", 0, 0))
	h.workers["w1"].info.Draining = true
	h.addWorker("w2", withCores(3))
	orders := h.run()
	h.wantStarts(h.orderedFor(orders, "short"), 2)
	restarted := h.orderedFor(orders, "service")
	h.wantStarts(restarted, 1)
	if restarted[0].Task.Index != 0 {
		t.Fatalf("started %s", describe(restarted))
	}
}

// Guards against a service task that never starts again because it has failed once on each worker.
func TestServiceRestartsAlsoWhereItHasFailed(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	h.addWorker("w2", nil)
	h.startedService("service", 1)
	for range 4 {
		h.fail(taskID("service", 0, 0))
		started := len(starts(h.run()))
		h.advanceClock(restartOverdueAfter)
		h.reportAll()
		if started += len(starts(h.run())); started != 1 {
			t.Fatalf("%d starts within %v", started, restartOverdueAfter)
		}
		h.reportAll()
	}
}

// Guards against a service task that stays down while all workers with room are in back-off, because tasks of several
// services have failed on them: services never succeed, so their failures add up.
func TestServiceRestartsOnWorkersInBackOff(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	h.addWorker("w2", nil)
	h.startedService("a", 1)
	h.startedService("b", 1)
	h.startedService("c", 1)
	for _, w := range h.s.sortedWorkers {
		w.health.recordFailure(h.now.Boot, "x")
		w.health.recordFailure(h.now.Boot, "y")
	}
	h.fail(taskID("c", 0, 0))
	h.run()
	h.advanceClock(restartOverdueAfter)
	h.reportAll()
	h.run()
	h.reportAll()
	if h.s.task(taskID("c", 0, 0)).pending() {
		t.Fatalf("the task is still down after %v", restartOverdueAfter)
	}
}

// Guards against a service task that stays down while the only worker with room counts as slow, though nothing has run there since
// that would show it.
func TestServiceRestartsOnWorkerThatWasSlow(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	h.startedService("service", 1)
	for range 40 {
		h.s.workers["w1"].slowness.add(h.now.Boot, maxSlowness, minSlowWeight)
	}
	h.fail(taskID("service", 0, 0))
	h.wantStarts(h.run(), 0)
	h.advanceClock(restartOverdueAfter)
	h.reportAll()
	h.wantStarts(h.run(), 1)
}

// Guards against service tasks that stay down while the only workers with room have returned after repeated losses and get
// no tasks for up to maxProbation.
func TestServiceRestartsOnReturnedWorkers(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	h.startedService("service", 4)
	for range 3 { // each loss doubles the time in which the worker gets no tasks
		h.advanceClock(2 * briefRun)
		h.reportAll()
		w := h.workers["w1"]
		w.running, w.ended, w.ends = nil, nil, 0
		w.incarnation++
		h.reportAll()
		h.run()
		h.advanceClock(restartOverdueAfter)
		h.reportAll()
		h.run()
		h.reportAll()
		if pending := h.s.jobs["service"].steps[0].pending; pending > 0 {
			t.Fatalf("%d tasks are still down after %v", pending, restartOverdueAfter)
		}
	}
}

// Guards against a full pool whose waiting tasks keep those of another pool, which has room, from starting.
func TestFullPoolDoesNotHoldUpOtherPools(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", withCores(1))
	h.addWorker("w2", func(info *WorkerInfo) { info.Pool = "other" })
	h.s.AddJob(testJob("a", testStep(2)), nil, false)
	other := testJob("b", testStep(3)) // more work, so that it comes last
	other.Queue.Pool = "other"
	h.s.AddJob(other, nil, false)
	h.wantStarts(h.orderedFor(h.run(), "b"), 3)
}

// Guards against a service start that is ordered although its worker has stopped answering while the start was stored: it
// would stay without an answer until the leases of the worker have expired.
func TestServiceStartIsNotOrderedOnceItsWorkerIsSilent(t *testing.T) {
	for name, silence := range map[string]func(h *harness){
		"poll failed": func(h *harness) { h.s.PollFailed(h.now, "w1", Grant{}) },
		"no report":   func(h *harness) { h.advanceClock(unreachableAfter) },
	} {
		h := newHarness(t, 1)
		h.addWorker("w1", nil)
		h.s.AddJob(testJob("service", testService(1)), nil, false)
		h.s.Plan(h.now)
		silence(h)
		h.store()
		if orders := starts(h.s.TakeOrders()); len(orders) > 0 {
			t.Errorf("%s: %s", name, describe(orders))
		}
		h.addWorker("w2", nil)
		h.s.PollFailed(h.now, "w1", Grant{})
		if orders := starts(h.run()); len(orders) != 1 || orders[0].Worker != "w2" {
			t.Errorf("%s: then %s", name, describe(orders))
		}
	}
}
