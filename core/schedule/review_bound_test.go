package schedule

import (
	"testing"
	"time"

	"fulmarcourse.example/core/workload"
)

// lostTasks adds a service of a step and returns its tasks, which have run on a worker that was lost restartAfterLoss ago.
func (h *harness) lostTasks(id workload.JobID, step workload.Step) []*task {
	step.Service = true
	h.s.AddJob(testJob(id, step), nil, false)
	tasks := h.s.jobs[id].steps[0].tasks
	for _, t := range tasks {
		t.ran, t.storedWorker = true, "w0"
		t.displacement.since = h.now.Boot - restartAfterLoss
	}
	return tasks
}

// Guards against a service that waits beside a worker with room for it because another one, which has failed there after a brief run,
// avoids its own place on that worker.
func TestWorkerThatKeepsAnOwnPlaceTakesAnotherNominee(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", withCores(4))
	h.startedService("failed", 1)
	h.shortTasks("short", 1000, time.Second)
	h.wantStarts(h.run(), 3)
	h.advanceClock(scanInterval)
	h.fail(taskID("failed", 0, 0))
	service := h.lostTasks("service", coresStep(2))[0]
	h.run()
	if w := h.s.workers["w1"]; service.nomination.worker != w {
		t.Fatalf("the service is nominated to %v, w1 has room for it", service.nomination.worker)
	}
	h.endOne("w1")
	h.wantStarts(h.run(), 0)
	h.endOne("w1")
	h.wantStarts(h.orderedFor(h.run(), "service"), 1)
	h.advanceClock(restartOverdueAfter)
	h.reportAll()
	h.wantStarts(h.orderedFor(h.run(), "failed"), 1)
}

// addSpreadServices adds services of eight tasks that exclude each other until they need a share of the pool, in percent.
func (p *fullPool) addSpreadServices(percent int64) {
	const tasks = 8
	for need := int64(0); need < poolWorkers*16000*percent/100; {
		step := testService(tasks)
		step.MaxPerWorker = 1
		step.Size.MilliCPU = 1500 + p.rnd.Int64N(2000)
		need += tasks * step.Size.MilliCPU
		p.services = append(p.services, p.addJob("service", step, 0).steps[0].tasks...)
	}
}

// Guards against services of which a worker runs one task at most and that wait although one without a task of theirs has room.
func TestServicesThatExcludeEachOtherRestartInAFullPool(t *testing.T) {
	for seed := range uint64(3) {
		p := newFullPool(t, seed)
		p.addSpreadServices(40)
		p.play(poolWarmUp, 0)
		p.play(2*poolWarmUp, burstDemand)
		p.lose(50)
		p.play(poolEnd, burstDemand)
		p.checkWaits()
		p.checkShare(p.capacityTime-p.serviceTime, minShareOfRest)
	}
}
