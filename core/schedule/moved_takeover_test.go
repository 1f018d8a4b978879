package schedule

import "testing"

// Scenario: a worker starts again under its id at another address, answers there and gets a task; its owner is lost before it has
// stored that address. Another worker takes the former address, and the next owner reads the list while the entry of the first one is
// away, as after an outage of the store in which entries end. Guards against a later owner that takes the first worker, of which it
// knows the former address only, for replaced there: it would start the task again while it still runs.
func TestTaskOfAMovedWorkerIsNotStartedTwiceAfterATakeover(t *testing.T) {
	h := newHarness(t, 1)
	moved := h.addWorker("moved", func(info *WorkerInfo) { info.StartedMs = 1 })
	known, _ := h.s.KnownWorkers()

	formerAddress := moved.info.Address
	moved.info.Address, moved.info.StartedMs, moved.incarnation = "elsewhere", 2, 2
	h.s.SetWorkers(h.now, []WorkerInfo{moved.info})
	h.reportAll()
	job := testJob("job", testStep(1))
	h.s.AddJob(job, nil, false)
	h.advanceClock(firstProbation)
	h.reportAll()
	h.run() // the known workers are not stored again before the owner is lost
	if len(moved.running) == 0 {
		return // nothing was started on the worker, so there is nothing to start twice
	}

	h.newTerm(2)
	h.s.InheritWorkers(h.now, known)
	h.s.AddJob(job, nil, true)
	delete(h.workers, moved.info.ID) // its entry is away, and the relay polls the former address
	next := h.addWorker("next", func(info *WorkerInfo) { info.Address, info.StartedMs = formerAddress, 3 })
	h.listWorkers()
	if h.run(); len(next.running) > 0 {
		t.Errorf("%v runs on the worker %s and on %s", next.running[0].Task, moved.info.ID, next.info.ID)
	}
}
