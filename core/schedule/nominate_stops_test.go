package schedule

import (
	"testing"
	"time"
)

// stoppedService makes w1, which has some cores, run a service of a number of tasks of two cores each and short tasks on the rest, and
// cancels the service. It returns the orders to stop it, which the worker has not executed.
func (h *harness) stoppedService(cores int64, tasks int) (stops []Order) {
	h.t.Helper()
	h.addWorker("w1", withCores(cores))
	step := coresStep(2)
	step.Service, step.Tasks = true, tasks
	h.s.AddJob(testJob("cancelled", step), nil, false)
	h.wantStarts(h.run(), tasks)
	h.shortTasks("short", 1000, time.Second)
	h.wantStarts(h.run(), int(cores)-2*tasks)
	h.advanceClock(scanInterval)
	h.reportAll()
	h.s.Cancel(h.now, "cancelled")
	return ofKind(h.s.TakeOrders(), OrderStop)
}

// Guards against a service that needs more than a cancelled one leaves and for which no place becomes large enough: nothing is kept for it
// on that worker while the cancelled one is being stopped, so tasks that end take each core that becomes free meanwhile.
func TestPlaceOfAServiceBeingStoppedIsKept(t *testing.T) {
	h := newHarness(t, 1)
	stops := h.stoppedService(4, 1)
	service := h.lostTasks("service", coresStep(3))[0]
	h.wantStarts(h.plan(), 0)
	if service.nomination.worker != h.s.workers["w1"] {
		t.Fatal("the service is not nominated to w1, which stops another one")
	}
	h.endOne("w1")
	h.wantStarts(h.plan(), 0)
	h.accept(stops[0])
	h.reportAll()
	h.wantStarts(h.orderedFor(h.run(), "service"), 1)
}

// Guards against all but one of the services that will fit on a worker waiting until others are stopped there, and against tasks that end
// which take the places that are listed first.
func TestPlacesOfServicesBeingStoppedAreKeptForSeveral(t *testing.T) {
	h := newHarness(t, 1)
	stops := h.stoppedService(6, 3)
	services := coresStep(3)
	services.Tasks = 3
	tasks := h.lostTasks("service", services)
	h.wantStarts(h.plan(), 0)
	if n := len(h.s.workers["w1"].nominees); n != 2 {
		t.Fatalf("%d nominees on w1, want the two that will fit", n)
	}
	if tasks[2].nomination.worker != nil {
		t.Error("a third service is nominated to w1, which will have no room for it")
	}
	h.accept(stops[0])
	h.reportAll()
	h.wantStarts(h.plan(), 0)
	h.accept(stops[1])
	h.reportAll()
	h.wantStarts(h.orderedFor(h.run(), "service"), 1)
	h.accept(stops[2])
	h.reportAll()
	h.wantStarts(h.orderedFor(h.run(), "service"), 1)
}

// Guards against free capacity that stays unused for as long as a stop takes, although the nominee does not need it.
func TestTasksUseWhatANomineeWillNotNeed(t *testing.T) {
	h := newHarness(t, 1)
	stops := h.stoppedService(5, 2)
	h.lostTasks("service", coresStep(4))
	h.wantStarts(h.plan(), 0)
	h.endOne("w1")
	h.wantStarts(h.orderedFor(h.run(), "short"), 1)
	for _, o := range stops {
		h.accept(o)
	}
	h.reportAll()
	h.wantStarts(h.orderedFor(h.run(), "service"), 1)
}

// Guards against a service that waits for a stop which does not take effect although it is expected to fit sooner on another worker.
func TestNomineeDoesNotWaitForAStopThatFails(t *testing.T) {
	h := newHarness(t, 1)
	h.stoppedService(2, 1)
	h.addWorker("w2", withCores(2))
	h.shortTasks("long", 2, time.Minute)
	h.run()
	service := h.lostTasks("service", coresStep(2))[0]
	h.advanceClock(scanInterval)
	h.reportAll()
	h.plan()
	if service.nomination.worker != h.s.workers["w1"] {
		t.Fatal("the service is not nominated to w1")
	}
	h.advanceClock(4 * time.Second)
	for _, a := range h.s.workers["w2"].attemptList {
		a.startedAt = h.now.Boot - time.Minute + time.Second
	}
	h.reportAll()
	h.plan()
	if service.nomination.worker != h.s.workers["w2"] {
		t.Error("the service still waits for w1")
	}
}

// Guards against nominees that wait for long tasks and stop a service from being nominated to a worker that only has to stop others.
func TestNomineesThatWaitForStopsAreNotLimited(t *testing.T) {
	h := newHarness(t, 1)
	withLabel := func(info *WorkerInfo) { withCores(2)(info); info.Labels = []string{"label"} }
	h.addWorker("w2", withLabel)
	h.addWorker("w3", withLabel)
	h.shortTasks("long", 4, time.Hour)
	h.wantStarts(h.run(), 4)
	h.addWorker("w4", withCores(2))
	h.shortTasks("second", 2, time.Second)
	h.wantStarts(h.run(), 2)
	h.stoppedService(4, 2)
	labelled := coresStep(2)
	labelled.Label, labelled.Tasks = "label", 4/maxNominatedShare
	h.lostTasks("a-labelled", labelled)
	services := coresStep(2)
	services.Tasks = 3
	h.lostTasks("service", services)
	h.advanceClock(scanInterval)
	h.reportAll()
	h.plan()
	if n := len(h.s.workers["w1"].nominees); n != 2 {
		t.Errorf("%d nominees on w1, want 2", n)
	}
	if n := len(h.s.nominees); n != 5 {
		t.Errorf("%d nominees, want one each on w2, w3 and w4 and two on w1", n)
	}
}

// Guards against a worker that stops what a former owner has left there getting no nominee until it has ended.
func TestNomineeWaitsForWhatAFormerOwnerHasLeft(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", withCores(2))
	h.workers["w1"].running = []Running{{Task: taskID("ended", 0, 0), Attempt: 1}}
	h.reportAll()
	stops := ofKind(h.plan(), OrderStop)
	h.advanceClock(scanInterval)
	service := h.lostTasks("service", coresStep(2))[0]
	h.plan()
	if service.nomination.worker != h.s.workers["w1"] {
		t.Fatal("the service is not nominated to w1")
	}
	for _, o := range stops {
		h.accept(o)
	}
	h.reportAll()
	h.wantStarts(h.orderedFor(h.run(), "service"), 1)
}

// Guards against tasks that end which take what was kept for a nominee that has started elsewhere, before another displaced service is
// nominated there.
func TestPlaceThatANomineeGivesUpIsKeptForTheNext(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", withCores(2))
	h.shortTasks("short", 1000, time.Second)
	h.wantStarts(h.run(), 2)
	first := h.lostTasks("first", coresStep(2))[0]
	next := h.lostTasks("next", coresStep(2))[0]
	h.advanceClock(scanInterval)
	h.reportAll()
	h.wantStarts(h.run(), 0)
	h.endOne("w1")
	h.wantStarts(h.run(), 0)
	if first.nomination.worker != h.s.workers["w1"] || next.nomination.worker != nil {
		t.Fatal("want the first service alone to be nominated to w1")
	}
	h.addWorker("w2", withCores(2))
	orders := h.run()
	h.wantStarts(h.orderedFor(orders, "first"), 1) // on w2
	h.wantStarts(h.orderedFor(orders, "short"), 0)
	if next.nomination.worker != h.s.workers["w1"] {
		t.Error("the next service is not nominated to w1")
	}
	h.endOne("w1")
	h.wantStarts(h.orderedFor(h.run(), "next"), 1)
}
