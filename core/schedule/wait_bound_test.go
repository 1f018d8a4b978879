package schedule

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"fulmarcourse.example/core/workload"
)

// The tests of this file bound how long a task that could run waits for one reason alone; docs/PROOFS.md lists the bounds of all
// reasons.

// longestWatched is how long a task is watched that does not start.
const longestWatched = 20 * time.Second

// waitOf plans and reports until a task starts, and returns how long that took; longestWatched if it does not start. each is called
// before each report.
func (h *harness) waitOf(id workload.TaskID, each func()) time.Duration {
	h.t.Helper()
	for waited := time.Duration(0); waited < longestWatched; waited += reportingStep {
		for _, o := range starts(h.run()) {
			if o.Task == id {
				return waited
			}
		}
		each()
		h.elapse(reportingStep)
	}
	return longestWatched
}

// elapse lets a time pass, after which the list is read and all workers report.
func (h *harness) elapse(d time.Duration) {
	h.advanceClock(d)
	h.list()
	h.reportAll()
}

// wantWait fails the test unless a task starts within a bound.
func (h *harness) wantWait(id workload.TaskID, bound time.Duration, each func()) {
	h.t.Helper()
	if waited := h.waitOf(id, each); waited > bound {
		h.t.Errorf("task %v has waited for %v, want at most %v", id, waited, bound)
	}
}

// progressOf returns a function that makes the tasks of the jobs whose names begin with "long" progress, in percent per second.
func (h *harness) progressOf(perSecond float64) func() {
	return func() {
		for _, w := range h.workers {
			for i := range w.running {
				if r := &w.running[i]; strings.HasPrefix(string(r.Task.Job), "long") {
					r.Percent += perSecond * reportingStep.Seconds()
				}
			}
		}
	}
}

// slowTasks adds jobs of one task each that run at less than a third of the speed that their callers have estimated, and makes them
// run until each worker counts as slow. It returns the function that makes them progress.
func (h *harness) slowTasks(jobs int) (progress func()) {
	h.t.Helper()
	const estimate = 10 * time.Second
	for n := range jobs {
		step := testStep(1)
		step.EstimateMs = estimate.Milliseconds()
		h.s.AddJob(testJob(workload.JobID(fmt.Sprint("long", n)), step), nil, false)
	}
	h.wantStarts(h.run(), jobs)
	progress = h.progressOf(0.3 * fullShare / estimate.Seconds())
	for range 30 {
		progress()
		h.elapse(reportingStep)
		h.run()
	}
	for _, w := range h.s.sortedWorkers {
		if !w.slowness.slow(h.now.Boot) {
			h.t.Fatalf("%s does not count as slow", w.info.ID)
		}
	}
	return progress
}

// Scenario: all workers count as slow, since the estimates of the tasks that run there are too low. Guards against a service that
// waits beside free capacity for as long as these tasks run: each report shows anew that they are slow.
func TestServiceWaitsNoLongerForWorkersThatStaySlow(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	h.addWorker("w2", nil)
	h.startedService("service", 1)
	progress := h.slowTasks(12)
	h.fail(taskID("service", 0, 0))
	h.wantWait(taskID("service", 0, 0), restartOverdueAfter, progress)
}

// taskWaitBound is the time within which a task has to start while there is capacity for it and the pool is little used.
const taskWaitBound = 3 * time.Second

// Guards against tasks that wait beside free capacity for as long as all workers
// that suit them are avoided after faults, of which each further one makes the time longer.
func TestTasksWaitNoLongerForAvoidedWorkersOfALittleUsedPool(t *testing.T) {
	for name, c := range map[string]struct {
		bound time.Duration
		fault func(h *harness)
	}{
		"lost several times": {taskWaitBound, func(h *harness) {
			for range 5 {
				h.workers["w1"].incarnation++
				h.reportAll()
			}
		}},
		"services failed several times": {taskWaitBound, func(h *harness) {
			h.failUntilBackOff(maxFailureBackOff, testService(1))
		}},
		"tasks failed several times": {lastResortAfterFailures + reportingStep, func(h *harness) {
			h.failUntilBackOff(maxFailureBackOff, testStep(1))
		}},
	} {
		for kind, step := range waitingSteps() {
			t.Run(name+", "+kind, func(t *testing.T) {
				h := newHarness(t, 1)
				h.addWorker("w1", nil)
				c.fault(h)
				h.s.AddJob(testJob("job", step), nil, false)
				h.wantWait(taskID("job", 0, 0), c.bound, func() {})
			})
		}
	}
}

// Scenario: all workers count as slow, since the estimates of the tasks that run there are too low. Guards against tasks that wait
// beside free capacity for as long as these run.
func TestTasksWaitNoLongerForSlowWorkersOfALittleUsedPool(t *testing.T) {
	for kind, step := range waitingSteps() {
		t.Run(kind, func(t *testing.T) {
			h := newHarness(t, 1)
			h.addWorker("w1", nil)
			progress := h.slowTasks(6)
			h.s.AddJob(testJob("job", step), nil, false)
			h.wantWait(taskID("job", 0, 0), taskWaitBound, progress)
		})
	}
}

// waitingSteps returns steps of one task by kind.
func waitingSteps() map[string]workload.Step {
	filler := testStep(1)
	filler.Filler, filler.Image = true, "image"
	return map[string]workload.Step{"task": testStep(1), "filler": filler, "service that has not run": testService(1)}
}

// failUntilBackOff makes tasks of several jobs of a step fail on the worker w1, until it is put into a back-off of a length.
func (h *harness) failUntilBackOff(length time.Duration, step workload.Step) {
	h.t.Helper()
	health := &h.s.workers["w1"].health
	for n := 0; health.length < length; n++ {
		h.elapse(max(health.until-h.now.Boot, reportingStep))
		id := workload.JobID(fmt.Sprint("failing", n))
		h.s.AddJob(testJob(id, step), nil, false)
		h.wantStarts(h.run(), 1)
		h.fail(taskID(id, 0, 0))
		h.s.Cancel(h.now, id)
	}
}

// Scenario: a service whose worker is lost fits on no worker, since each runs a long task, and waits for one of these to end. Guards
// against tasks that wait as long beside the capacity that is kept for the service, in a pool that is little used.
func TestTasksWaitNoLongerForCapacityKeptInALittleUsedPool(t *testing.T) {
	for kind, step := range waitingSteps() {
		t.Run(kind, func(t *testing.T) {
			h := newHarness(t, 1)
			h.addWorker("w1", nil)
			h.s.AddJob(testJob("running", coresStep(7)), nil, false)
			h.wantStarts(h.run(), 1)
			service := h.displacedTask("service", coresStep(10), "w0")
			service.displacement.since = h.now.Boot - restartAfterLoss
			h.elapse(reportingStep)
			h.wantStarts(h.run(), 0)
			if service.nomination.worker == nil {
				t.Fatal("no capacity is kept for the service")
			}
			h.s.AddJob(testJob("job", step), nil, false)
			h.wantWait(taskID("job", 0, 0), taskWaitBound, func() {})
		})
	}
}

// Scenario: a service has failed on the only worker that suits it, which was lost, was put into back-off and became slow at the same
// time. Guards against faults whose times add up.
func TestServiceWaitsNoLongerForSeveralFaultsAtOnce(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	h.startedService("service", 1)
	h.failUntilBackOff(maxFailureBackOff, testStep(1))
	w := h.s.workers["w1"]
	for range 5 {
		w.stability.recordLoss(h.now.Boot)
	}
	w.slowness.add(h.now.Boot, maxSlowness, 100*minSlowWeight)
	h.fail(taskID("service", 0, 0))
	h.wantWait(taskID("service", 0, 0), restartOverdueAfter, func() {})
}

// Guards against rejections that keep a worker from tasks for longer the more of them there are, or for good.
func TestWaitsAfterRejectionsEnd(t *testing.T) {
	for outcome, bound := range map[Outcome]time.Duration{
		RejectedUnhealthy:  unhealthyBackOff,
		RejectedNoCapacity: maxNoCapacityBackOff,
	} {
		for kind, step := range waitingSteps() {
			t.Run(outcome.String()+", "+kind, func(t *testing.T) {
				h := newHarness(t, 1)
				h.addWorker("w1", nil)
				h.s.AddJob(testJob("job", step), nil, false)
				for range 6 {
					waited := time.Duration(0)
					orders := starts(h.plan())
					for ; len(orders) == 0 && waited < longestWatched; waited += reportingStep {
						h.elapse(reportingStep)
						orders = starts(h.plan())
					}
					if waited > bound {
						t.Fatalf("the next start was ordered after %v, want at most %v", waited, bound)
					}
					h.s.OrderAnswered(h.now, orders[0], outcome)
				}
			})
		}
	}
}

// Guards against a worker that is not found for some time once its back-off has ended, which nothing but the time shows.
func TestWorkerIsFoundSoonAfterItsBackOff(t *testing.T) {
	const (
		step    = 10 * time.Millisecond
		backOff = 5 * step
	)
	for kind, spec := range waitingSteps() {
		t.Run(kind, func(t *testing.T) {
			h := newHarness(t, 1)
			h.addWorker("w1", nil)
			h.s.AddJob(testJob("job", spec), nil, false)
			h.s.workers["w1"].unhealthyUntil = h.now.Boot + backOff
			waited := time.Duration(0)
			for ; len(starts(h.plan())) == 0 && waited < longestWatched; waited += step {
				h.advanceClock(step)
			}
			if bound := backOff + max(indexRefresh, fillerRetryDelay); waited > bound {
				t.Errorf("the task has waited for %v, want at most %v", waited, bound)
			}
		})
	}
}

// newSuspects returns a scheduler with room on one worker and a number of tasks that one crash may be due to, and the last one of them.
func newSuspects(t *testing.T, suspects int) (h *harness, last workload.TaskID) {
	t.Helper()
	h = newHarness(t, 1)
	h.addWorker("w1", nil)
	for n := range suspects {
		task := h.displacedTask(workload.JobID(fmt.Sprintf("job%02d", n)), testStep(1), "w0")
		task.crashes, task.storedCrashes = []workload.Crash{{Worker: "w0"}}, 1
		last = task.id()
	}
	return h, last
}

// Scenario: a worker has crashed soon after it had started tasks of several jobs, and there is room on one worker only. Guards against a
// wait of such a task that is longer than the brief runs of the others, one after another.
func TestSuspectsOfACrashWaitForBriefRunsOnly(t *testing.T) {
	const suspects = 3
	h, last := newSuspects(t, suspects)
	h.wantWait(last, (suspects-1)*(briefRun+reportingStep), func() {})
}

// Guards against a task that waits on after another one of its step has left the worker.
func TestTaskStartsOnceAnotherOfItsStepHasEnded(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	step := testStep(2)
	step.MaxPerWorker = 1
	h.s.AddJob(testJob("job", step), nil, false)
	h.wantStarts(h.run(), 1)
	h.elapse(reportingStep)
	h.end(taskID("job", 0, 0), EndDone)
	h.reportAll()
	h.wantWait(taskID("job", 0, 1), 0, func() {})
}

// Guards against waits for a worker of a former owner that go on after it has reported, or longer than its leases may last.
func TestWaitsForAWorkerOfAFormerOwnerEnd(t *testing.T) {
	for want, add := range map[WaitReason]func(h *harness){
		WaitTakeover: func(h *harness) { h.s.AddJob(testJob("job", testStep(1)), nil, true) },
		WaitOwnWorker: func(h *harness) {
			h.s.AddJob(testJob("job", testService(1)), nil, true)
			task := h.s.task(taskID("job", 0, 0))
			task.storedWorker, task.ran = "w0", true
		},
		WaitSilentWorkers: func(h *harness) {
			h.s.AddJob(testJob("job", testStep(1)), nil, false)
			inherited := h.s.task(taskID("job", 0, 0))
			inherited.crashes, inherited.storedCrashes = []workload.Crash{{Worker: "gone"}}, 1
			inherited.silentOn, inherited.storedSilentOn = []workload.Silence{{Worker: "w0"}}, 1
			h.s.silentOn["w0"] = []*task{inherited}
		},
	} {
		for _, silent := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v, silent %t", want, silent), func(t *testing.T) {
				h := newHarness(t, 1)
				h.s.InheritWorkers(h.now, []WorkerInfo{{ID: "w0", Address: "w0", Pool: testPool}})
				h.addWorker("w1", nil)
				add(h)
				h.wantStarts(h.run(), 0)
				if waits := h.s.Waits(h.now); waits.Tasks[want] != 1 {
					t.Fatalf("waits for %v", &waits.Tasks)
				}
				bound := h.s.cfg.HandoverGrace + h.s.cfg.leaseBound() + reportingStep
				if !silent {
					h.addWorker("w0", nil)
					bound = 0
				}
				h.wantWait(taskID("job", 0, 0), bound, func() {})
			})
		}
	}
}

// Scenario: the only worker that suits two jobs fails all that it starts, for as long as its first two back-offs last. Guards against a
// worker that counts as the last resort so soon that tasks use up their attempts there.
func TestLastResortLeavesAttemptsOfTasks(t *testing.T) {
	const fault = firstFailureBackOff + lastResortAfterFailures
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	jobs := []workload.JobID{"a", "b"}
	for _, id := range jobs {
		h.s.AddJob(testJob(id, testStep(1)), nil, false)
	}
	for waited := time.Duration(0); waited < fault; waited += reportingStep {
		for _, o := range starts(h.run()) {
			h.end(o.Task, EndFailed)
		}
		h.elapse(reportingStep)
	}
	h.store()
	for _, id := range jobs {
		h.wantState(id, workload.StateRunning)
	}
}

// serviceWaitBound is the time since its last run within which a service has to run again while there is capacity for it.
const serviceWaitBound = 9 * time.Second

// Scenario: as in TestSuspectsOfACrashWaitForBriefRunsOnly, with services of twelve jobs. Guards against a wait that grows with the
// number of suspects, beside free capacity.
func TestServiceWaitsForAnyNumberOfSuspectsWithinItsBound(t *testing.T) {
	const suspects = 12
	h, last := newSuspects(t, suspects)
	h.wantWait(last, serviceWaitBound, func() {})
}
