package schedule

import (
	"fmt"
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

// Scenario: more services than a planning run nominates fit on no worker, each for a reason of its own: its size, its label or its
// limit of tasks per worker. Guards against their searches using up those of each planning run, so that a service behind them that a
// worker has room for is never nominated.
func TestServicesThatFitNowhereDoNotStopOthers(t *testing.T) {
	for name, unfit := range map[string]func(n int) workload.Step{
		"size": func(n int) workload.Step {
			step := coresStep(1)
			step.Size.MilliCPU = 16000 - 100*int64(n) // each fits where none before it does
			return step
		},
		"label": func(n int) workload.Step {
			step := coresStep(4)
			step.Label = fmt.Sprint("label", n)
			return step
		},
		"limit": func(int) workload.Step {
			step := coresStep(4)
			step.MaxPerWorker = 1
			return step
		},
	} {
		h := newHarness(t, 1)
		for _, id := range []WorkerID{"w1", "w2"} {
			h.addWorker(id, func(info *WorkerInfo) {
				withCores(3)(info)
				for n := range 2 * maxNominations {
					info.Labels = append(info.Labels, fmt.Sprint("label", n))
				}
			})
		}
		h.shortTasks("short", 1000, time.Hour)
		h.wantStarts(h.run(), 6)
		for n := range 2 * maxNominations {
			step := unfit(n)
			step.Tasks = 20
			h.lostTasks(workload.JobID(fmt.Sprintf("a%02d", n)), step)
		}
		service := h.lostTasks("service", coresStep(2))[0]
		for range 4 {
			h.advanceClock(scanInterval)
			h.reportAll()
			h.run()
		}
		if service.nomination.worker == nil {
			t.Errorf("%s: the service is not nominated", name)
		}
	}
}

// besideServices returns what Waits tells about the longest waiting task of a job.
func (h *harness) besideServices(id workload.JobID) (WaitReason, int) {
	h.t.Helper()
	for _, waiting := range h.s.Waits(h.now).Steps {
		if waiting.Task.Job == id {
			return waiting.Reason, waiting.BesideServices
		}
	}
	h.t.Fatalf("%s does not wait", id)
	return 0, 0
}

// Guards against lines that say services have the capacity which a service waits for, because a task that ends and needs as much was
// explained before it.
func TestWaitOfAServiceIsNotThatOfATaskThatEnds(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", withCores(4))
	h.shortTasks("short", 1000, time.Hour)
	h.wantStarts(h.run(), 4)
	h.s.AddJob(testJob("a-ends", coresStep(3)), nil, false)
	h.lostTasks("service", coresStep(3))
	h.advanceClock(2 * LongWait)
	h.s.task(taskID("service", 0, 0)).displacement.since = h.now.Boot
	h.reportAll()
	if reason, beside := h.besideServices("service"); reason != WaitCapacity || beside != 1 {
		t.Errorf("the service waits for %v, %d workers have room beside services", reason, beside)
	}
}

// Guards against counting the capacity that is kept for one service as room for another of its size.
func TestWaitOfAServiceIsNotThatOfANominee(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", withCores(4))
	h.shortTasks("short", 1000, time.Hour)
	h.wantStarts(h.run(), 4)
	h.lostTasks("a-nominee", coresStep(3))
	h.lostTasks("service", coresStep(3))
	h.advanceClock(2 * LongWait)
	h.reportAll()
	h.wantStarts(h.run(), 0)
	if reason, beside := h.besideServices("a-nominee"); reason != WaitNominated || beside != 1 {
		t.Errorf("the nominee waits for %v, %d workers have room beside services", reason, beside)
	}
	if reason, beside := h.besideServices("service"); reason != WaitServiceShare || beside != 0 {
		t.Errorf("the other service waits for %v, %d workers have room beside services", reason, beside)
	}
}

// Guards against nominees that wait for long tasks to end and stop a service from being nominated to a worker on which tasks end
// within a second.
func TestNomineesThatWaitForLongDoNotStopOthers(t *testing.T) {
	h := newHarness(t, 1)
	withLabel := func(info *WorkerInfo) { withCores(2)(info); info.Labels = []string{"label"} }
	h.addWorker("w1", withLabel)
	h.addWorker("w2", withLabel)
	h.shortTasks("long", 4, time.Hour)
	h.wantStarts(h.run(), 4)
	h.addWorker("w3", withCores(2))
	h.addWorker("w4", withCores(2))
	h.shortTasks("short", 1000, time.Second)
	h.wantStarts(h.run(), 4)
	labelled := coresStep(2)
	labelled.Label, labelled.Tasks = "label", 4/maxNominatedShare
	h.lostTasks("a-labelled", labelled)
	services := coresStep(2)
	services.Tasks = 2
	h.lostTasks("service", services)
	h.advanceClock(scanInterval)
	h.reportAll()
	h.run()
	if n := len(h.s.nominees); n != 4/maxNominatedShare+1 {
		t.Fatalf("%d nominees, want two that wait for long and one that starts soon", n)
	}
	h.endOne("w3")
	h.endOne("w3")
	h.endOne("w4")
	h.endOne("w4")
	h.wantStarts(h.orderedFor(h.run(), "service"), 2)
}

// Guards against lines that say services have the capacity which tasks that end on a slow worker have.
func TestSlowWorkerHasRoomBesideServices(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", withCores(4))
	h.shortTasks("short", 1000, time.Hour)
	h.wantStarts(h.run(), 4)
	service := h.lostTasks("service", coresStep(3))[0]
	h.advanceClock(2 * LongWait)
	service.displacement.since = h.now.Boot - restartAfterLoss // it avoids slow workers until it is overdue
	h.reportAll()
	h.s.workers["w1"].slowness.add(h.now.Boot, maxSlowness, 2*minSlowWeight)
	h.wantStarts(h.run(), 0)
	if service.nomination.worker != nil {
		t.Error("the service is nominated to a slow worker")
	}
	if reason, beside := h.besideServices("service"); reason != WaitCapacity || beside != 1 {
		t.Errorf("the service waits for %v, %d workers have room beside services", reason, beside)
	}
}
