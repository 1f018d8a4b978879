package schedule

import (
	"testing"
	"time"

	"fulmarcourse.example/core/workload"
)

const testEndsPerReport = 2

// endsHarness returns the owner of term 2. Under the former one, three tasks of the job named old were done on worker w1, whose reports list
// testEndsPerReport ends. Worker w2 is free.
func endsHarness(t *testing.T) *harness {
	h := newHarness(t, 1)
	w1 := h.addWorker("w1", nil)
	h.s.AddJob(testJob("old", testStep(3)), nil, false)
	h.wantStarts(h.run(), 3)
	for n := range 3 {
		h.end(taskID("old", 0, n), EndDone)
	}
	w2 := h.addWorker("w2", nil)
	h.takeOverWithEnds(2, []WorkerInfo{w1.info, w2.info})
	return h
}

// takeOverWithEnds begins a term whose owner has inherited the job named old and workers, none of which has reported yet.
func (h *harness) takeOverWithEnds(term int64, known []WorkerInfo) {
	h.newTerm(term)
	h.s.cfg.EndsPerReport = testEndsPerReport
	h.s.InheritWorkers(h.now, known)
	h.s.AddJob(testJob("old", testStep(3)), nil, true)
	h.list()
}

// Scenario: tasks have ended on a worker under a former owner, more than one report lists. Guards against starting those again that the
// first report leaves out, and against new starts on the worker, whose ends would add to those that it has to list.
func TestTasksWhoseEndsAReportLeavesOutAreNotStartedAgain(t *testing.T) {
	h := endsHarness(t)
	h.s.AddJob(testJob("new", testStep(20)), nil, false)
	h.reportAll()
	for _, o := range starts(h.run()) {
		if o.Task.Job != "new" || o.Worker != "w2" {
			t.Errorf("%v starts on %s before w1 has listed all ends", o.Task, o.Worker)
		}
	}
	if events := countEvents(h.s.TakeEvents(), EventEndsAwaited); events != 1 {
		t.Errorf("%d events about ends that are awaited, want 1", events)
	}
	h.reportAll() // the first ends are not acknowledged yet, so w1 lists them again
	if h.s.TakeoverComplete() {
		t.Error("the takeover is complete before w1 has listed all ends")
	}
	h.acknowledge("w1")
	h.reportAll()
	if !h.s.TakeoverComplete() {
		t.Error("the takeover is not complete once w1 has listed all ends")
	}
	for _, o := range starts(h.run()) {
		if o.Task.Job != "new" || o.Worker != "w1" {
			t.Errorf("%v starts on %s, want the rest of the new job on w1", o.Task, o.Worker)
		}
	}
	h.wantState("old", workload.StateCompleted)
}

// Guards against a service that runs twice, or is not restarted, since its end is among those that the first report leaves out.
func TestServiceWaitsForEndsThatAReportLeavesOut(t *testing.T) {
	h := newHarness(t, 1)
	w1 := h.addWorker("w1", nil)
	job := testJob("service", testService(3))
	h.s.AddJob(job, nil, false)
	h.run()
	h.store()
	h.run()
	for n := range 3 {
		h.end(taskID("service", 0, n), EndFailed)
	}
	w2 := h.addWorker("w2", nil)
	h.newTerm(2)
	h.s.cfg.EndsPerReport = testEndsPerReport
	h.s.InheritWorkers(h.now, []WorkerInfo{w1.info, w2.info})
	h.s.AddJob(job, &workload.Progress{State: workload.StateRunning, Steps: []workload.StepProgress{{Tasks: []workload.TaskProgress{
		{Index: 0, Worker: "w1"}, {Index: 1, Worker: "w1"}, {Index: 2, Worker: "w1"},
	}}}}, true)
	h.list()
	h.reportAll()
	h.wantStarts(append(h.run(), h.run()...), 0)
	h.acknowledge("w1")
	h.reportAll()
	h.wantStarts(append(h.run(), h.run()...), 3)
}

// Scenario: the worker does not list the rest: its process ends and the next one answers, it is lost for good, or the owner is replaced
// between the two reports. Guards against a wait without a bound, and against a later owner that does not wait at all.
func TestWaitForEndsThatAReportLeavesOutIsBounded(t *testing.T) {
	t.Run("next process", func(t *testing.T) {
		h := endsHarness(t)
		h.reportAll()
		w1 := h.workers["w1"]
		w1.incarnation, w1.ended, w1.ends = w1.incarnation+1, nil, 0
		h.reportAll()
		h.wantStarts(h.run(), 1) // the task whose end nobody knows of
	})
	t.Run("lost for good", func(t *testing.T) {
		h := endsHarness(t)
		h.reportAll()
		h.s.PollFailed(h.now, "w1", Grant{At: h.now.Boot, Lease: testLease})
		h.advanceClock(h.s.cfg.HandoverGrace + h.s.cfg.leaseBound() - time.Second)
		h.report("w2")
		h.wantStarts(h.run(), 0)
		h.advanceClock(time.Second)
		h.report("w2")
		h.wantStarts(h.run(), 1)
	})
	for name, replace := range map[string]func(*harness){
		"next owner": func(h *harness) {
			known, changed := h.s.KnownWorkers()
			if !changed || len(known) != 2 {
				h.t.Fatalf("known workers %v, changed %t", known, changed)
			}
			h.takeOverWithEnds(3, known)
		},
		"next relay": func(h *harness) { h.s.PollerLost("w1", Grant{At: h.now.Boot}) },
	} {
		t.Run(name, func(t *testing.T) {
			h := endsHarness(t)
			h.reportAll()
			replace(h)
			h.reportAll()
			h.wantStarts(h.run(), 0)
			h.acknowledge("w1")
			h.reportAll()
			h.wantStarts(h.run(), 0)
			h.wantState("old", workload.StateCompleted)
		})
	}
}

// Guards against taking an attempt for lost, or its end for one of another process, since a report of a worker that was known throughout
// leaves out ends.
func TestReportThatLeavesOutEndsSaysNothingAboutOtherAttempts(t *testing.T) {
	h := newHarness(t, 1)
	h.s.cfg.EndsPerReport = testEndsPerReport
	h.addWorker("w1", nil)
	h.s.AddJob(testJob("job", testStep(5)), nil, false)
	h.wantStarts(h.run(), 5)
	h.reportAll()
	for n := range 5 {
		h.end(taskID("job", 0, n), EndDone)
	}
	for range 3 {
		h.advanceClock(time.Second)
		h.reportAll()
		h.wantStarts(h.run(), 0)
		h.acknowledge("w1")
	}
	events := h.s.TakeEvents()
	if lost, restarted := countEvents(events, EventAttemptLost), countEvents(events, EventWorkerRestarted); lost+restarted > 0 {
		t.Errorf("%d attempts lost, %d restarts of the worker", lost, restarted)
	}
	h.wantState("job", workload.StateCompleted)
}
