package schedule

import (
	"testing"

	"fulmarcourse.example/core/workload"
)

const secondPool = workload.PoolName("second")

// twoPools returns a harness with a worker that is too small for any task in the pool of the queue and a free one in another pool.
func twoPools(t *testing.T) *harness {
	h := newHarness(t, 1)
	h.addWorker("w1", func(info *WorkerInfo) { info.Capacity.MilliCPU = 100 })
	h.addWorker("w2", func(info *WorkerInfo) { info.Pool = secondPool })
	return h
}

// sendQueue makes the configuration send the queue of the jobs to a pool.
func (h *harness) sendQueue(pool workload.PoolName) {
	h.s.SetQueuePools(map[workload.QueueName]QueuePool{testQueue().Name: {Pool: pool, CapacityGuarded: true}})
}

// Scenario: jobs wait in a queue, and a version of the configuration sends it to another pool. Guards against jobs that stay behind beside free
// workers, on which later jobs of the queue run: those that wait, those that a new owner finds in the store, and steps that become due later.
func TestWaitingJobsFollowTheirQueueToAnotherPool(t *testing.T) {
	second := testStep(1)
	second.After = []int{0}
	for name, c := range map[string]struct {
		step      workload.Step
		inherited bool
	}{
		"tasks that end":         {step: testStep(2)},
		"services":               {step: testService(2)},
		"found by the new owner": {step: testStep(2), inherited: true},
	} {
		t.Run(name, func(t *testing.T) {
			h := twoPools(t)
			if !c.inherited {
				h.s.AddJob(testJob("job", c.step, second), nil, false)
				h.wantStarts(h.run(), 0)
			}
			h.sendQueue(secondPool)
			if c.inherited {
				h.s.AddJob(testJob("job", c.step, second), nil, true)
			}
			orders := append(h.run(), h.run()...) // services start once they are stored
			h.wantStarts(orders, 2)
			for _, o := range starts(orders) {
				if o.Worker != "w2" {
					t.Errorf("%v starts on %s", o.Task, o.Worker)
				}
			}
			if c.step.Service {
				return
			}
			h.end(taskID("job", 0, 0), EndDone)
			h.end(taskID("job", 0, 1), EndDone)
			h.reportAll()
			h.wantStarts(h.run(), 1)
		})
	}
}

// Scenario: the queue of a job whose tasks run is sent to another pool, and back. Guards against attempts that are stopped or started again for
// that, and against a service that does not come back in the pool that its queue has when it fails.
func TestRunningTasksStayWhenTheirQueueMoves(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	h.addWorker("w2", func(info *WorkerInfo) { info.Pool = secondPool })
	h.startedService("service", 1)
	h.sendQueue(secondPool)
	h.reportAll()
	if orders := h.run(); len(orders) != 0 {
		t.Errorf("orders after the move: %s", describe(orders))
	}
	h.fail(taskID("service", 0, 0))
	h.reportAll()
	orders := append(h.run(), h.run()...)
	h.wantStarts(orders, 1)
	if o := starts(orders)[0]; o.Worker != "w2" {
		t.Errorf("the service starts again on %s, want w2", o.Worker)
	}
	h.sendQueue(testPool)
	h.reportAll()
	if orders := h.run(); len(orders) != 0 {
		t.Errorf("orders after the move back: %s", describe(orders))
	}
}

// Guards against a job that loses its pool with its queue: a version without the queue leaves its accepted jobs where they are.
func TestJobsOfARemovedQueueKeepTheirPool(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	h.s.AddJob(testJob("job", testStep(1)), nil, false)
	h.s.SetQueuePools(map[workload.QueueName]QueuePool{"another": {Pool: secondPool}})
	h.wantStarts(h.run(), 1)
}

// Guards against tasks that are started beyond the capacity of workers that do not guard it, since their job was accepted when its pool was
// one that does.
func TestJobsFollowWhetherTheirPoolGuardsItsCapacity(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	h.s.AddJob(testJob("job", testStep(1)), nil, false)
	h.s.SetQueuePools(map[workload.QueueName]QueuePool{testQueue().Name: {Pool: testPool}})
	if h.s.jobs["job"].rec.Queue.CapacityGuarded {
		t.Error("the job counts its pool as one that guards its capacity")
	}
}
