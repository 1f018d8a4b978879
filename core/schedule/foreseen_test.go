package schedule

import (
	"fmt"
	"testing"
	"time"

	"fulmarcourse.example/core/workload"
)

// passWithSilent lets time pass in which some workers are silent and the others report. It returns the starts.
func (h *harness) passWithSilent(d time.Duration, silent ...WorkerID) []Order {
	var orders []Order
	for end := h.now.Boot + d; h.now.Boot < end; {
		h.advanceClock(reportingStep)
		isSilent := map[WorkerID]bool{}
		for _, id := range silent {
			isSilent[id] = true
			h.s.PollFailed(h.now, id, Grant{})
		}
		h.list()
		for _, id := range h.workerIDs() {
			if !isSilent[id] {
				h.advanceTasks(id, reportingStep)
				h.report(id)
			}
		}
		orders = append(orders, starts(h.run())...)
	}
	return orders
}

// passUntilDisplaced lets time pass in which some workers are silent until a service on one of them is displaced.
func (h *harness) passUntilDisplaced(service *task, silent ...WorkerID) {
	h.t.Helper()
	for waited := time.Duration(0); !service.displaced(); waited += reportingStep {
		if waited > 2*h.s.cfg.leaseBound() {
			h.t.Fatal("the service is not displaced")
		}
		h.passWithSilent(reportingStep, silent...)
	}
}

// leaseTasks returns a step of tasks of one core that run for about as long as a lease lasts.
func leaseTasks(n int) workload.Step {
	step := testStep(n)
	step.EstimateMs = testLease.Milliseconds()
	return step
}

// advanceTasks makes the tasks of a worker run at the estimated rate.
func (h *harness) advanceTasks(id WorkerID, d time.Duration) {
	running := h.workers[id].running
	for i := range running {
		if spec := h.s.task(running[i].Task).step.spec; !spec.Service {
			running[i].Percent += fullShare * float64(d.Milliseconds()) / float64(spec.EstimateMs)
		}
	}
}

func coresService(cores int64) workload.Step {
	step := coresStep(cores)
	step.Service = true
	return step
}

// addService adds a job of one service task.
func (h *harness) addService(id workload.JobID, cores int64) {
	h.s.AddJob(testJob(id, coresService(cores)), nil, false)
}

// serviceOnFirst returns a harness in which w1 runs a service of 12 cores and w2, of 16 cores as well, runs nothing.
func serviceOnFirst(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	h.addService("lost", 12)
	h.wantStarts(h.run(), 1)
	h.addWorker("w2", nil)
	return h
}

// useHalf makes tasks that end use half of the 16 cores of a worker that runs nothing: a pool of which less is in use is little used.
func (h *harness) useHalf(w WorkerID) {
	h.t.Helper()
	h.s.AddJob(testJob("half", leaseTasks(8)), nil, false)
	for _, o := range h.run() {
		if o.Worker != w {
			h.t.Fatalf("%v was started on %s, want %s", o.Task, o.Worker, w)
		}
	}
}

// wantReason checks for what the task of a job waits.
func (h *harness) wantReason(id workload.JobID, want WaitReason) {
	h.t.Helper()
	if got, _ := newExplainer(h.s, h.now).reason(h.s.task(taskID(id, 0, 0))); got != want {
		h.t.Fatalf("%s waits for %v, want %v", id, got, want)
	}
}

// wantStartedOn checks that the task of a job, and no other, was started on a worker.
func (h *harness) wantStartedOn(orders []Order, id workload.JobID, w WorkerID) {
	h.t.Helper()
	if len(orders) != 1 || orders[0].Task.Job != id || orders[0].Worker != w {
		h.t.Fatalf("started %s, want %s on %s", describe(orders), id, w)
	}
}

// Guards against first starts of services that take the room which the services of a silent worker will need, and against holding
// back those for which there is room beside, and tasks that end.
func TestFirstStartsLeaveRoomForForeseenRestarts(t *testing.T) {
	h := serviceOnFirst(t)
	h.useHalf("w2")
	h.passWithSilent(foreseenAfter, "w1")
	h.addService("large", 5)
	h.wantStarts(h.passWithSilent(scanInterval, "w1"), 0)
	h.wantReason("large", WaitForeseen)
	h.addService("small", 4)
	h.wantStartedOn(h.passWithSilent(scanInterval, "w1"), "small", "w2")
	h.s.AddJob(testJob("short", testStep(4)), nil, false)
	h.wantStarts(h.passWithSilent(scanInterval, "w1"), 4) // in the place of the foreseen restart
}

// Guards against a first start that leaves the places of foreseen restarts free and makes tasks of its size wait, too: that it fits
// nowhere says nothing of them.
func TestTasksOfTheSizeOfAHeldFirstStartStart(t *testing.T) {
	h := serviceOnFirst(t)
	h.useHalf("w2")
	h.passWithSilent(foreseenAfter+scanInterval, "w1")
	h.addService("held", 5)
	ending := testJob("ending", coresStep(5))
	ending.Queue.Priority = 1 // it comes after the service
	h.s.AddJob(ending, nil, false)
	h.wantStartedOn(h.passWithSilent(reportingStep, "w1"), "ending", "w2")
}

// Guards against first starts that go on waiting for the services of a worker that answers again.
func TestAnswerOfASilentWorkerReleasesForeseenPlaces(t *testing.T) {
	h := serviceOnFirst(t)
	h.useHalf("w2")
	h.addService("large", 5)
	h.passWithSilent(foreseenAfter, "w1", "w2")
	h.wantStarts(h.passWithSilent(scanInterval, "w1"), 0)
	h.wantStartedOn(h.passWithSilent(scanInterval), "large", "w2")
	if len(h.s.foreseen.places) > 0 || len(h.s.workers["w2"].foreseen.tasks) > 0 {
		t.Errorf("places are kept: %v", h.s.foreseen.places)
	}
}

// Guards against a service whose restart was foreseen and that waits behind tasks that end once the leases have expired.
func TestForeseenRestartComesFirstOnceTheLeasesHaveExpired(t *testing.T) {
	for _, short := range []int{0, 8} {
		h := serviceOnFirst(t)
		h.s.AddJob(testJob("short", leaseTasks(short+1)), nil, false)
		h.passWithSilent(h.s.cfg.leaseBound(), "w1")
		for range short {
			h.end(h.workers["w2"].running[0].Task, EndDone)
		}
		h.s.AddJob(testJob("next", leaseTasks(16)), nil, false)
		orders := h.passWithSilent(reportingStep, "w1")
		if started := h.orderedFor(orders, "lost"); len(started) != 1 || started[0].Worker != "w2" {
			t.Errorf("beside %d tasks that have ended: %s", short, describe(orders))
		}
	}
}

// Guards against a place of a foreseen restart that tasks which end take again and again after the leases have expired.
func TestForeseenRestartWaitsOnlyForTasksThatRun(t *testing.T) {
	h := serviceOnFirst(t)
	h.s.AddJob(testJob("short", leaseTasks(16)), nil, false)
	h.passWithSilent(h.s.cfg.leaseBound(), "w1")
	for range 12 { // as many start as end
		h.s.AddJob(testJob(workload.JobID("next"+h.now.Boot.String()), leaseTasks(8)), nil, false)
		h.end(h.workers["w2"].running[0].Task, EndDone)
		if started := h.orderedFor(h.passWithSilent(reportingStep, "w1"), "lost"); len(started) == 1 {
			return
		}
	}
	t.Error("the service has not been started")
}

// Guards against first starts that leave room for restarts which are foreseen no longer: their leases have expired and the services were
// cancelled.
func TestFirstStartsGoOnOnceNoRestartIsForeseen(t *testing.T) {
	h := serviceOnFirst(t)
	h.addService("other", 16)
	h.wantStartedOn(starts(h.run()), "other", "w2")
	h.passWithSilent(h.s.cfg.leaseBound()+reportingStep, "w1")
	h.addService("next", 8)
	h.s.Cancel(h.now, "lost")
	h.s.Cancel(h.now, "other")
	h.run()
	h.wantStartedOn(h.passWithSilent(reportingStep, "w1"), "next", "w2")
}

// twoLost returns a harness in which w0 and w1 run services of 12 cores, "first" and "second", tasks that end use half of w2, and w3 runs
// nothing. w0 is silent until its leases are about to expire, w1 for a shorter time.
func twoLost(t *testing.T, shorter time.Duration) *harness {
	t.Helper()
	h := newHarness(t, 1)
	h.addWorker("w0", nil)
	h.addService("first", 12)
	h.wantStarts(h.run(), 1)
	h.addWorker("w1", nil)
	h.addService("second", 12)
	h.wantStarts(h.run(), 1)
	h.addWorker("w2", nil)
	h.useHalf("w2")
	h.addWorker("w3", nil)
	h.passWithSilent(shorter, "w0")
	h.wantStarts(h.passWithSilent(h.s.cfg.leaseBound()-shorter, "w0", "w1"), 0)
	return h
}

// Guards against a service whose foreseen place is taken by another one, of which the leases expire some milliseconds earlier and whose
// own place tasks that end still use.
func TestForeseenRestartsDoNotTakeThePlacesOfEachOther(t *testing.T) {
	h := twoLost(t, reportingStep)
	h.wantStarts(h.passWithSilent(reportingStep, "w0", "w1"), 0)
	h.wantReason("first", WaitNominated)
	h.wantStartedOn(h.passWithSilent(reportingStep, "w0", "w1"), "second", "w3")
}

// Guards against a service that waits for tasks on its own foreseen place although a worker has the room, which is kept for one whose
// leases expire much later.
func TestOverdueForeseenRestartTakesThePlaceOfAnother(t *testing.T) {
	h := twoLost(t, 3*time.Second)
	h.wantStarts(h.passWithSilent(restartOverdueAfter, "w0", "w1"), 0)
	h.wantStartedOn(h.passWithSilent(scanInterval+reportingStep, "w0", "w1"), "first", "w3")
}

// Guards against a foreseen restart that is nominated nowhere when its leases expire, because another service has taken its place since
// the latest scan.
func TestForeseenRestartGetsAnotherPlaceOnceItsOwnIsTaken(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	h.addService("lost", 12)
	h.wantStarts(h.run(), 1)
	h.addWorker("w3", nil)
	h.useHalf("w3")
	h.addWorker("w2", nil)
	h.passWithSilent(h.s.cfg.leaseBound(), "w1")
	if place := h.s.foreseen.places[h.s.task(taskID("lost", 0, 0))]; place != h.s.workers["w2"] {
		t.Fatalf("the place is %v, want w2", place)
	}
	h.addService("adopted", 12)
	h.workers["w2"].running = []Running{{Task: taskID("adopted", 0, 0), Attempt: 1, Percent: fullShare}}
	h.wantStarts(h.passWithSilent(reportingStep, "w1"), 0)
	if w := h.s.task(taskID("lost", 0, 0)).nomination.worker; w != h.s.workers["w3"] {
		t.Errorf("nominated to %v, want w3", w)
	}
}

// Guards against first starts that are held although the pool has room for all, and by a service that fits on no worker: it would
// hold back those that fit beside what is there.
func TestForeseenRestartsHoldNothingElse(t *testing.T) {
	h := serviceOnFirst(t)
	h.addService("other", 8)
	h.wantStartedOn(starts(h.run()), "other", "w2")
	h.passWithSilent(foreseenAfter, "w1")
	h.addService("small", 7)
	h.wantStartedOn(h.passWithSilent(scanInterval, "w1"), "small", "w2")
	h.addWorker("w3", nil)
	h.addWorker("w4", nil)
	h.addService("large", 16)
	if started := h.passWithSilent(scanInterval, "w1"); len(started) != 1 || started[0].Task.Job != "large" {
		t.Errorf("started %s", describe(started))
	}
}

// Guards against first starts that wait for silent workers in a pool that is little used: the platform allows them to wait for 3 s while
// there is capacity for them twice over and under half of the pool is in use.
func TestForeseenRestartsHoldNothingInALittleUsedPool(t *testing.T) {
	h := serviceOnFirst(t)
	h.addService("other", 12)
	h.wantStartedOn(starts(h.run()), "other", "w2")
	h.addWorker("w3", nil)
	h.addWorker("w4", nil)
	h.passWithSilent(foreseenAfter+scanInterval, "w1", "w2")
	if len(h.s.foreseen.places) != 2 {
		t.Fatalf("%d restarts are foreseen, want 2", len(h.s.foreseen.places))
	}
	h.addService("next", 5)
	h.wantStarts(h.passWithSilent(scanInterval, "w1", "w2"), 1)
}

// Guards against a first start that takes what a service has left before a foreseen restart gets its place there.
func TestRoomThatAServiceLeavesIsKeptForForeseenRestarts(t *testing.T) {
	h := serviceOnFirst(t)
	h.addService("other", 16)
	h.wantStartedOn(starts(h.run()), "other", "w2")
	h.addWorker("w3", nil)
	h.addService("third", 16)
	h.wantStartedOn(starts(h.run()), "third", "w3")
	h.passWithSilent(foreseenAfter+scanInterval, "w1")
	if c := h.s.Counts(h.now); c.Foreseen != 1 || c.ForeseenNowhere != 1 {
		t.Errorf("%d restarts are foreseen, %d without a place, want one without", c.Foreseen, c.ForeseenNowhere)
	}
	h.addService("next", 8)
	h.s.Cancel(h.now, "other")
	h.run()
	h.report("w2")
	h.wantStarts(h.run(), 0) // no scan has been made since the other one has ended
	h.wantStarts(h.passWithSilent(reportingStep, "w1"), 0)
	h.wantReason("next", WaitForeseen)
}

// Guards against first starts that wait without a bound while workers become silent one after another, or while the store is away and
// no lease counts as expired.
func TestFirstStartsWaitForForeseenRestartsWithinABound(t *testing.T) {
	const (
		period    = 4 * time.Second
		silentFor = 3800 * time.Millisecond // of each period
	)
	h := serviceOnFirst(t)
	h.addService("other", 12)
	h.wantStartedOn(starts(h.run()), "other", "w2")
	h.addWorker("w3", nil)
	h.useHalf("w3")
	var started []Order
	waited := -period // until one of the two workers is silent for long enough at any time
	for ; len(started) == 0 && waited < 2*h.s.maxForeseenHold(); waited += reportingStep {
		if waited == 0 {
			h.addService("next", 5)
		}
		var silent []WorkerID
		if waited >= -period && (waited+period)%period < silentFor {
			silent = append(silent, "w1")
		}
		if waited >= -period/2 && (waited+3*period/2)%period < silentFor {
			silent = append(silent, "w2")
		}
		started = h.passWithSilent(reportingStep, silent...)
	}
	h.wantStartedOn(started, "next", "w3")
	if bound := h.s.maxForeseenHold(); waited < bound || waited > bound+scanInterval {
		t.Errorf("the first start has waited for %v, want %v", waited, bound)
	}
	h = serviceOnFirst(t)
	h.useHalf("w2")
	h.relaysAway = true // leases that are certainly withheld expire without further results
	h.passWithSilent(foreseenAfter, "w1", "w2")
	h.collected = h.now.Boot // no lease counts as expired from here on
	h.addService("next", 5)
	orders := h.passWithSilent(h.s.cfg.leaseBound()+foreseenAfter, "w1")
	if len(h.orderedFor(orders, "next")) != 1 {
		t.Errorf("started %s while leases do not expire", describe(orders))
	}
}

// Guards against a new owner that starts others in the place of services on a worker which is silent since before the takeover.
func TestNewOwnerForeseesRestarts(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	h.addService("lost", 12)
	h.wantStarts(h.run(), 1)
	h.addWorker("w2", nil)
	h.useHalf("w2")
	former := h.s.jobs
	h.newTerm(2)
	h.s.InheritWorkers(h.now, []WorkerInfo{h.workers["w1"].info, h.workers["w2"].info})
	for _, id := range []workload.JobID{"lost", "half"} {
		progress := former[id].progress()
		h.s.AddJob(former[id].rec, &progress, true)
	}
	h.passWithSilent(foreseenAfter, "w1")
	h.addService("large", 5)
	h.wantStarts(h.passWithSilent(scanInterval, "w1"), 0)
	h.wantReason("large", WaitForeseen)
	h.s.Cancel(h.now, "large")
	for range 8 {
		h.end(h.workers["w2"].running[0].Task, EndDone)
	}
	orders := h.passWithSilent(h.s.cfg.HandoverGrace+h.s.cfg.leaseBound()-foreseenAfter, "w1")
	h.wantStartedOn(orders, "lost", "w2")
}

// Guards against a new owner that starts others in the place of services on workers which it does not know: the stored set of known
// workers was missing or could not be read.
func TestNewOwnerForeseesRestartsOfUnknownWorkers(t *testing.T) {
	h := serviceOnFirst(t)
	h.useHalf("w2")
	former := h.s.jobs
	delete(h.workers, "w1")
	h.newTerm(2)
	h.s.InheritUnknown(h.now)
	for _, id := range []workload.JobID{"lost", "half"} {
		progress := former[id].progress()
		h.s.AddJob(former[id].rec, &progress, true)
	}
	h.passWithSilent(foreseenAfter + scanInterval)
	h.addService("large", 5)
	h.wantStarts(h.passWithSilent(scanInterval), 0)
	h.wantReason("large", WaitForeseen)
}

// Guards against places of foreseen restarts that exceed the number of tasks of a step on one worker: they could not be used.
func TestForeseenPlacesKeepToTheLimitOfAStep(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	h.addWorker("w2", nil)
	step := coresService(2)
	step.Tasks, step.MaxPerWorker = 2, 1
	h.s.AddJob(testJob("lost", step), nil, false)
	h.wantStarts(h.run(), 2)
	h.addWorker("w3", nil)
	h.passWithSilent(foreseenAfter+scanInterval, "w1", "w2")
	if n := len(h.s.workers["w3"].foreseen.tasks); n != 1 || len(h.s.foreseen.places) != 2 {
		t.Errorf("%d of %d foreseen restarts have places on w3, want 1 of 2", n, len(h.s.foreseen.places))
	}
}

// Guards against small foreseen restarts that get places first and break up the room for large ones: services that fit on the workers that
// are left would wait until others are cancelled.
func TestForeseenRestartsThatAllFitHavePlaces(t *testing.T) {
	for name, c := range map[string]struct{ lost, rooms []int64 }{ // cores
		"one small":   {[]int64{2, 4, 4}, []int64{4, 6}},
		"two small":   {[]int64{3, 3, 4}, []int64{4, 6}},
		"three sizes": {[]int64{1, 2, 3, 4, 5, 6}, []int64{7, 7, 7}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			need := int64(0)
			for _, cores := range c.lost {
				need += cores
			}
			h.addWorker("lost", withCores(need))
			for n, cores := range c.lost {
				h.addService(workload.JobID(fmt.Sprint("lost-", n)), cores)
			}
			h.wantStarts(h.run(), len(c.lost))
			for n, cores := range c.rooms {
				id := WorkerID(fmt.Sprint("w", n))
				h.addWorker(id, withCores(16))
				beside := workload.JobID("beside-" + string(id))
				h.addService(beside, 16-cores)
				h.wantStartedOn(starts(h.run()), beside, id)
			}
			h.passWithSilent(foreseenAfter+scanInterval, "lost")
			if counts := h.s.Counts(h.now); counts.Foreseen != len(c.lost) || counts.ForeseenNowhere != 0 {
				t.Errorf("%d restarts are foreseen, %d of them without a place, want %d and none", counts.Foreseen, counts.ForeseenNowhere, len(c.lost))
			}
		})
	}
}
