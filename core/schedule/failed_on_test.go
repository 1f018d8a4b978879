package schedule

import (
	"fmt"
	"testing"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
)

// reportingStep is the interval at which workers report and planning runs are made in the tests of tasks that have failed.
const reportingStep = 100 * time.Millisecond

// startOf plans and reports until a task starts, and returns its order and how long that took. It fails the test after bound.
func (h *harness) startOf(id workload.TaskID, bound time.Duration) (Order, time.Duration) {
	h.t.Helper()
	for waited := time.Duration(0); waited < bound; waited += reportingStep {
		for _, o := range starts(h.run()) {
			if o.Task == id {
				return o, waited
			}
		}
		h.advanceClock(reportingStep)
		h.list()
		h.reportAll()
	}
	h.t.Fatalf("task %v has not started within %v", id, bound)
	return Order{}, 0
}

// Scenario: the two workers that suit a step fail all that they start. Guards against tasks that are never started again, with
// attempts left, since they have failed on each worker that suits them: because of a label, the size, accelerators, an evacuated data
// centre, a small pool, or the limit of tasks of a step on a worker. Guards against a restart at once too, which would use up the
// attempts during a short fault.
func TestATaskThatHasFailedOnAllSuitableWorkersStartsAgain(t *testing.T) {
	plain := func(h *harness, change func(*WorkerInfo)) {
		for n := range 4 {
			h.addWorker(WorkerID(fmt.Sprint("plain", n)), change)
		}
	}
	for name, c := range map[string]struct {
		others func(h *harness)
		suits  func(info *WorkerInfo)
		step   func(step *workload.Step)
	}{
		"label": {
			others: func(h *harness) { plain(h, nil) },
			suits:  func(info *WorkerInfo) { info.Labels = []string{"b"} },
			step:   func(step *workload.Step) { step.Label = "b" },
		},
		"size": {
			others: func(h *harness) { plain(h, withCores(2)) },
			suits:  withCores(16),
			step:   func(step *workload.Step) { step.Size.MilliCPU = 4000 },
		},
		"accelerators": {
			others: func(h *harness) { plain(h, nil) },
			suits:  func(info *WorkerInfo) { info.Capacity.Accelerators = 1 },
			step:   func(step *workload.Step) { step.Size.Accelerators = 1 },
		},
		"evacuated data centre": {
			others: func(h *harness) {
				plain(h, func(info *WorkerInfo) { info.Datacentre = "dc2" })
				h.s.SetEvacuated([]structs.DatacentreID{"dc2"})
			},
		},
		"small pool": {
			others: func(h *harness) { plain(h, func(info *WorkerInfo) { info.Pool = "other" }) },
		},
		"limit per worker": {step: func(step *workload.Step) { step.MaxPerWorker = 1 }},
		"filler":           {step: func(step *workload.Step) { step.Filler, step.Image = true, "image" }},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			if c.others != nil {
				c.others(h)
			}
			h.addWorker("w1", c.suits)
			h.addWorker("w2", c.suits)
			step := testStep(1)
			if c.step != nil {
				c.step(&step)
			}
			h.s.AddJob(testJob("job", step), nil, false)
			task := taskID("job", 0, 0)
			first, _ := h.startOf(task, time.Second)
			h.fail(task)
			second, _ := h.startOf(task, time.Second)
			if first.Worker == second.Worker {
				t.Fatalf("started on %s again while another worker suits it", first.Worker)
			}
			h.fail(task)
			if _, waited := h.startOf(task, restartBound); waited < time.Second {
				t.Errorf("started again %v after it had failed on all workers that suit it", waited)
			}
			h.end(task, EndDone)
			h.reportAll()
			h.store()
			h.wantState("job", workload.StateCompleted)
		})
	}
}

// Scenario: a task has failed on one of two workers, and the other one is full for a second. Guards against a return to the worker on
// which the task has failed while another one is about to have the capacity.
func TestATaskThatHasFailedPrefersOtherWorkers(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", withCores(1))
	h.s.AddJob(testJob("job", testStep(1)), nil, false)
	task := taskID("job", 0, 0)
	h.startOf(task, time.Second)
	h.addWorker("w2", withCores(1))
	h.s.AddJob(testJob("other", testStep(1)), nil, false)
	h.startOf(taskID("other", 0, 0), time.Second)
	h.fail(task)
	for range int(time.Second / reportingStep) {
		h.advanceClock(reportingStep)
		h.reportAll()
		h.wantStarts(h.run(), 0)
	}
	h.end(taskID("other", 0, 0), EndDone)
	h.reportAll()
	if order, _ := h.startOf(task, reportingStep); order.Worker != "w2" {
		t.Errorf("started on %s, on which it has failed, want w2", order.Worker)
	}
}

// Guards against an exclusion of a worker after faults that ends only by a change of the worker: each has to pass by itself.
func TestExclusionsAfterFaultsEnd(t *testing.T) {
	const bound = maxFailureBackOff
	for want, exclude := range map[WaitReason]func(h *harness, t *task, w *worker){
		WaitFailedThere: func(h *harness, t *task, w *worker) {
			t.recordFailedOn(h.now.Boot, w.info.ID)
		},
		WaitFaulty: func(h *harness, _ *task, w *worker) {
			for n := range 20 {
				w.health.recordFailure(h.now.Boot, workload.JobID(fmt.Sprint("job", n)))
			}
		},
		WaitLostRecently: func(h *harness, _ *task, w *worker) {
			for range 20 {
				w.stability.recordLoss(h.now.Boot)
			}
		},
		WaitSlow: func(h *harness, _ *task, w *worker) {
			for range 20 {
				w.slowness.add(h.now.Boot, maxSlowness, 1)
			}
		},
		WaitUnhealthy: func(h *harness, _ *task, w *worker) { w.unhealthyUntil = h.now.Boot + unhealthyBackOff },
		WaitRejections: func(h *harness, _ *task, w *worker) {
			w.full.length = maxNoCapacityBackOff
			w.full.extend(h.now.Boot)
		},
	} {
		t.Run(want.String(), func(t *testing.T) {
			h := newHarness(t, 1)
			h.addWorker("w", nil)
			h.s.AddJob(testJob("job", testStep(1)), nil, false)
			exclude(h, h.s.jobs["job"].steps[0].tasks[0], h.s.workers["w"])
			if got := h.s.obstacle(h.now, h.s.jobs["job"].steps[0].tasks[0], h.s.workers["w"]); got != want {
				t.Fatalf("obstacle %v, want %v", got, want)
			}
			h.startOf(taskID("job", 0, 0), bound+reportingStep)
		})
	}
}
