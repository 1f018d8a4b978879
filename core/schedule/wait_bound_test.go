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
