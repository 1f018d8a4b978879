package schedule

import (
	"testing"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
)

// Guards against restarting a task that has reached its failure limit: after a takeover the ends reported by several
// workers arrive in any order.
func TestFailuresCountInAnyOrder(t *testing.T) {
	h := newHarness(t, 2)
	ids := []WorkerID{"w1", "w2", "w3", "w4"}
	var infos []WorkerInfo
	for _, id := range ids {
		infos = append(infos, h.addWorker(id, nil).info)
	}
	for i, id := range ids {
		if w := h.workers[id]; id != "w4" {
			w.ends = 1
			w.ended = []Ended{{Number: 1, Task: taskID("job", 0, 0), Attempt: int64(i + 1), Kind: EndFailed}}
		}
	}
	h.s.InheritWorkers(h.now, infos)
	h.s.AddJob(testJob("job", testStep(1)), nil, true)
	for _, id := range []WorkerID{"w3", "w1", "w2", "w4"} {
		h.report(id)
	}
	h.wantStarts(h.run(), 0)
	h.store()
	h.wantState("job", workload.StateFailed)
}

// inheritedHarness returns the owner of term 2, which has inherited the workers w1 and w2 and the job named old.
func inheritedHarness(t *testing.T) *harness {
	h := newHarness(t, 2)
	w1, w2 := h.addWorker("w1", nil), h.addWorker("w2", nil)
	h.newTerm(2)
	h.s.InheritWorkers(h.now, []WorkerInfo{w1.info, w2.info})
	h.s.SetWorkers(h.now, []WorkerInfo{w1.info, w2.info})
	h.s.AddJob(testJob("old", testStep(1)), nil, true)
	return h
}

// Guards against running a task twice after a takeover: an inherited task may run on a worker that has not reported.
func TestInheritedTaskWaitsForSilentWorkers(t *testing.T) {
	h := inheritedHarness(t)
	h.s.AddJob(testJob("new", testStep(1)), nil, false)
	h.report("w1")
	orders := h.run()
	h.wantStarts(orders, 1)
	if orders[0].Task.Job != "new" {
		t.Fatalf("started %v before w2 reported", orders[0].Task)
	}
	h.end(taskID("new", 0, 0), EndDone)
	h.wantStartAfter(h.s.cfg.HandoverGrace+h.s.cfg.leaseBound(), "w1")
}

// Guards against restarting an inherited task while the process that polls its worker still extends its lease: the
// reports of the worker are lost on their way to the owner.
func TestInheritedTaskOutlastsLostReports(t *testing.T) {
	for name, lose := range map[string]func(*harness){
		"connection lost": func(h *harness) { h.s.PollerLost("w2", Grant{At: h.now.Boot}) },
		"reports lost, then the worker is silent": func(h *harness) {
			h.s.ReportsLost("w2")
			h.s.PollFailed(h.now, "w2", Grant{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := inheritedHarness(t)
			h.advanceClock(h.s.cfg.HandoverGrace + h.s.cfg.leaseBound() - time.Second)
			lose(h)
			h.wantStartAfter(h.s.cfg.leaseBound(), "w1")
		})
	}
}

// Guards against a takeover that waits for the leases of workers that were drained and have left: with several changes
// of owner in a row, pending tasks would be delayed each time.
func TestLaterOwnersDoNotWaitForDrainedWorkers(t *testing.T) {
	h := newHarness(t, 1)
	w1, w2 := h.addWorker("w1", nil), h.addWorker("w2", nil)
	h.s.AddJob(testJob("job", testStep(2)), nil, false)
	h.run()
	w1.info.Draining, w2.info.Draining = true, true
	h.listWorkers()
	if infos, _ := h.s.KnownWorkers(); len(infos) != 2 {
		t.Fatalf("%d known workers while tasks run on both", len(infos))
	}
	h.end(taskID("job", 0, 0), EndDone)
	h.end(taskID("job", 0, 1), EndDone)
	h.reportAll()
	infos, changed := h.s.KnownWorkers()
	if len(infos) != 0 || !changed {
		t.Fatalf("%d known workers, changed %v, after both are empty", len(infos), changed)
	}
	w1.info.Draining = false
	h.listWorkers()
	if infos, changed := h.s.KnownWorkers(); len(infos) != 1 || !changed {
		t.Fatalf("%d known workers, changed %v, after one came back", len(infos), changed)
	}
}

// Guards against running a task twice when an owner is cut off from the store and from some workers: a later owner may
// have extended the leases of those workers.
func TestUnconfirmedOwnerPresumesNothingExpired(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	h.s.AddJob(testJob("job", testStep(1)), nil, false)
	h.run()
	h.addWorker("w2", nil)
	h.s.PollFailed(h.now, "w1", Grant{})
	h.advanceClock(2 * h.s.cfg.leaseBound())
	h.report("w2")
	h.s.Expire(h.now, false, h.collectedUpTo)
	h.s.Plan(h.now)
	h.wantStarts(h.s.TakeOrders(), 0)
	h.s.Expire(h.now, true, h.collectedUpTo)
	h.s.Plan(h.now)
	h.wantStarts(h.s.TakeOrders(), 1)
}

// Scenario: a worker does not answer a poll, and answers again soon after. The owner is past its processor limit: the reports wait
// in the relay, which goes on extending the leases. Guards against taking the leases for expired meanwhile, so that tasks that
// run, or have ended, are started again.
func TestWorkerWithUncollectedReportsKeepsItsTasks(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	h.s.AddJob(testJob("job", testStep(1)), nil, false)
	h.run()
	h.addWorker("w2", nil)
	h.s.PollFailed(h.now, "w1", Grant{})
	h.collected = h.now.Boot
	h.advanceClock(h.s.cfg.leaseBound())
	h.report("w2")
	h.wantStarts(h.run(), 0)
	h.collected += h.s.cfg.leaseBound()
	h.wantStarts(h.run(), 1)
}

// Guards against taking the leases of a worker for expired although it has answered: its report is ignored because the poll
// counts as sent before that of an earlier report, and the next poll may have extended the leases.
func TestIgnoredReportShowsThatLeasesAreExtended(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	h.s.AddJob(testJob("job", testStep(1)), nil, false)
	h.run()
	h.addWorker("w2", nil)
	h.s.PollFailed(h.now, "w1", Grant{})
	h.s.Report(h.now, "w1", Report{Incarnation: h.workers["w1"].incarnation, SentAt: h.now.Boot - time.Second})
	h.advanceClock(h.s.cfg.leaseBound())
	h.report("w2")
	h.wantStarts(h.run(), 0)
}

// Guards against a new owner that does not restore stored progress.
func TestProgressSurvivesATakeover(t *testing.T) {
	h := newHarness(t, 1)
	w := h.addWorker("w1", nil)
	second := testStep(1)
	second.After = []int{0}
	job := testJob("job", testStep(2), second)
	h.s.AddJob(job, nil, false)
	h.run()
	h.end(taskID("job", 0, 0), EndDone)
	h.end(taskID("job", 0, 1), EndFailed)
	h.reportAll()
	records := h.store()
	w.ended = nil // acknowledged
	h.newTerm(2)
	h.s.InheritWorkers(h.now, []WorkerInfo{w.info})
	h.s.AddJob(job, &records[len(records)-1].Progress, true)
	h.listWorkers()
	orders := h.run()
	h.wantStarts(orders, 1)
	if orders[0].Task != taskID("job", 0, 1) || orders[0].Attempt <= attemptsPerTerm {
		t.Fatalf("started %s", describe(orders))
	}
}

// Guards against a task without a failure limit whose attempt numbers run into those of the next term: workers would
// reject its starts as stale, or take them for attempts of another owner.
func TestAttemptNumbersOfTermsDoNotMeet(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	h.s.AddJob(testJob("job", testStep(1)), nil, false)
	for range 1100 { // more attempts than flapping workers cause in a long day
		orders := h.run()
		h.wantStarts(orders, 1)
		if orders[0].Attempt > attemptsPerTerm {
			t.Fatalf("attempt %d of term 1 is in the range of term 2", orders[0].Attempt)
		}
		h.end(taskID("job", 0, 0), EndStopped)
		h.workers["w1"].ended = h.workers["w1"].ended[len(h.workers["w1"].ended)-1:]
		h.reportAll()
	}
}

// Guards against a new owner that starts tasks on workers that are draining or have left: it knows them from its
// predecessor's record, and they report, before it has read the platform's list.
func TestNothingStartsBeforeTheWorkersAreListed(t *testing.T) {
	h := newHarness(t, 1)
	w1, w2 := h.addWorker("w1", nil), h.addWorker("w2", nil)
	h.newTerm(2)
	h.s.InheritWorkers(h.now, []WorkerInfo{w1.info, w2.info})
	h.s.AddJob(testJob("job", testStep(20)), nil, false)
	h.reportAll()
	h.wantStarts(h.run(), 0)
	w1.info.Draining = true
	h.listWorkers()
	for _, o := range starts(h.run()) {
		if o.Worker == "w1" {
			t.Fatalf("a task starts on a draining worker: %s", describe([]Order{o}))
		}
	}
}

// Scenario: an owner is lost soon after its takeover, while a draining worker has not reported to it yet. Guards against a later
// owner that does not wait for this worker: its tasks would run twice.
func TestDrainingWorkerIsKnownUntilItHasReported(t *testing.T) {
	h := newHarness(t, 1)
	w1 := h.addWorker("w1", nil)
	h.s.AddJob(testJob("job", testStep(1)), nil, false)
	h.run()
	w1.info.Draining = true
	h.newTerm(2)
	h.s.InheritWorkers(h.now, []WorkerInfo{w1.info})
	h.list()
	if infos, _ := h.s.KnownWorkers(); len(infos) != 1 {
		t.Errorf("known workers %v before the draining one has reported, want it among them", infos)
	}
	h.reportAll()
	h.end(taskID("job", 0, 0), EndDone)
	h.reportAll()
	if infos, changed := h.s.KnownWorkers(); len(infos) != 0 || !changed {
		t.Errorf("known workers %v, changed %v, once it runs nothing", infos, changed)
	}
}

// Guards against an entry of the platform's list that names no real worker and is stored as a known one: each later owner would
// hold up the tasks of older jobs until leases that nobody has granted would have ended.
func TestWorkerThatHasNeverAnsweredIsNotKnown(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	infos := append(h.s.Workers(), oddEntry)
	h.s.SetWorkers(h.now, infos)
	h.s.PollFailed(h.now, oddEntry.ID, Grant{})
	known, changed := h.s.KnownWorkers()
	if !changed || len(known) != 1 || known[0].ID != "w1" {
		t.Fatalf("known workers %v, changed %v, want w1", known, changed)
	}
	h.newTerm(2)
	h.s.InheritWorkers(h.now, known)
	h.s.AddJob(testJob("old", testStep(1)), nil, true)
	h.s.SetWorkers(h.now, infos)
	h.report("w1")
	h.wantStarts(h.run(), 1)
}

// Guards against a start on a worker for which a later owner would not wait, because its first answer is not stored yet.
func TestNothingStartsBeforeTheWorkerIsStored(t *testing.T) {
	h := newHarness(t, 1)
	w := &simWorker{info: WorkerInfo{ID: "w1", Address: "w1", Pool: testPool, Capacity: structs.Resources{MilliCPU: 16000, MemoryBytes: 64 << 30}},
		incarnation: 1, stopped: map[attemptKey]bool{}}
	h.workers["w1"] = w
	h.s.SetWorkers(h.now, []WorkerInfo{w.info})
	h.s.AddJob(testJob("job", testStep(1)), nil, false)
	h.report("w1")
	h.wantStarts(h.run(), 0)
	known, changed := h.s.KnownWorkers()
	if !changed || len(known) != 1 {
		t.Fatalf("known workers %v, changed %v after the first answer", known, changed)
	}
	h.s.KnownWorkersStored(known)
	h.wantStarts(h.run(), 1)
}

// Scenario: a worker that the platform still lists does not answer for longer than its leases last, and answers again. Guards
// against later owners that wait for it meanwhile, and against a start on it before it is stored again.
func TestWorkerIsKnownAgainOnceItAnswersAgain(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	h.s.KnownWorkers()
	h.s.PollFailed(h.now, "w1", Grant{})
	h.advanceClock(h.s.cfg.leaseBound() - time.Second)
	h.plan()
	if known, changed := h.s.KnownWorkers(); changed {
		t.Fatalf("known workers %v while a lease may last", known)
	}
	h.advanceClock(time.Second)
	h.plan()
	if known, changed := h.s.KnownWorkers(); !changed || len(known) != 0 {
		t.Fatalf("known workers %v, changed %v, once all leases have expired", known, changed)
	}
	h.s.AddJob(testJob("job", testStep(1)), nil, false)
	h.s.SetWorkers(h.now, []WorkerInfo{h.workers["w1"].info})
	h.reportAll()
	h.wantStarts(h.run(), 0)
	known, changed := h.s.KnownWorkers()
	if !changed || len(known) != 1 {
		t.Fatalf("known workers %v, changed %v, once it answers again", known, changed)
	}
	h.s.KnownWorkersStored(known)
	h.wantStarts(h.run(), 1)
}

// unknownHarness returns the owner of term 2, whose predecessor has used workers that are not known, with the listed worker w1.
func unknownHarness(t *testing.T) *harness {
	h := newHarness(t, 2)
	h.s.InheritUnknown(h.now)
	h.addWorker("w1", nil)
	return h
}

// Scenario: a part of the known workers cannot be read. Guards against a task that runs twice, because it runs on a worker of that
// part, whether the platform lists the worker or not, and against a takeover that never ends.
func TestUnknownWorkersAreWaitedFor(t *testing.T) {
	for name, listed := range map[string]bool{"listed": true, "not listed": false} {
		t.Run(name, func(t *testing.T) {
			h := unknownHarness(t)
			if listed {
				h.workers["w2"] = &simWorker{info: h.workers["w1"].info}
				h.workers["w2"].info.ID = "w2"
				h.list()
			}
			h.s.AddJob(testJob("old", testStep(1)), nil, true)
			h.s.AddJob(testJob("new", testStep(1)), nil, false)
			h.report("w1")
			orders := h.run()
			h.wantStarts(orders, 1)
			if orders[0].Task.Job != "new" {
				t.Fatalf("started %v", orders[0].Task)
			}
			h.end(taskID("new", 0, 0), EndDone)
			h.wantStartAfter(h.s.cfg.HandoverGrace+h.s.cfg.leaseBound(), "w1")
		})
	}
}

// Guards against a service that runs twice because the worker on which it was started last is not known, and against one that
// waits although it was never started.
func TestServiceWaitsForAnUnknownWorker(t *testing.T) {
	h := unknownHarness(t)
	job := testJob("service", testService(2))
	progress := workload.Progress{State: workload.StateRunning, Steps: []workload.StepProgress{{Tasks: []workload.TaskProgress{
		{Index: 0, Worker: "w2"},
	}}}}
	h.s.AddJob(job, &progress, true)
	h.report("w1")
	orders := h.run()
	h.store()
	if got := append(starts(orders), starts(h.run())...); len(got) != 1 || got[0].Task.Index != 1 {
		t.Fatalf("started %s, want the service task that was never started", describe(got))
	}
	h.advanceClock(h.s.cfg.HandoverGrace + h.s.cfg.leaseBound())
	h.report("w1")
	orders = h.run()
	if got := append(starts(orders), starts(h.run())...); len(got) != 1 || got[0].Task.Index != 0 {
		t.Fatalf("started %s, want the other service task", describe(got))
	}
}

// Guards against a new owner that stops all tasks on a draining worker at once, because it does not know for how long the worker
// stays.
func TestInheritedDrainingWorkerKeepsItsTasks(t *testing.T) {
	h := newHarness(t, 1)
	w1 := h.addWorker("w1", nil)
	job := testJob("job", testStep(1))
	h.s.AddJob(job, nil, false)
	h.run()
	w1.info.Draining, w1.info.Remaining = true, 20*time.Second
	h.newTerm(2)
	h.s.InheritWorkers(h.now, []WorkerInfo{{ID: "w1", Address: "w1", Pool: testPool, StartedMs: 1, Draining: true}})
	h.s.AddJob(job, nil, true)
	h.report("w1")
	if orders := h.run(); len(orders) != 0 {
		t.Errorf("%s before the list of workers was read", describe(orders))
	}
	h.addWorker("w2", nil)
	if orders := h.run(); len(orders) != 0 {
		t.Errorf("%s although the worker stays for 20 s", describe(orders))
	}
	h.advanceClock(19 * time.Second)
	h.reportAll()
	if stops := ofKind(h.run(), OrderStop); len(stops) != 1 {
		t.Errorf("%d stops just before the worker leaves, want 1", len(stops))
	}
}
