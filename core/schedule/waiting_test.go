package schedule

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
)

// explained is a scheduler with the worker w1 and the job "job" of one pending task.
type explained struct {
	*harness
	step workload.Step
	job  workload.Job
	w    *worker // w1
}

// add adds the job and returns its task.
func (e *explained) add(inherited bool) *task {
	e.job.Steps = []workload.Step{e.step}
	e.s.AddJob(e.job, nil, inherited)
	return e.s.task(taskID("job", 0, 0))
}

// Guards against a reason that the log names and the planner does not follow, and against a start that the planner makes
// although a reason is named: each row makes one thing hold back a task that could start otherwise.
func TestEachReasonHoldsBackATask(t *testing.T) {
	rows := []struct {
		want   WaitReason
		worker WorkerID // that the reason names
		make   func(e *explained) *task
	}{
		{WaitNotDue, "", func(e *explained) *task {
			e.job.Recurrence = workload.Recurrence{Count: 1, FirstMs: e.now.UnixMs + 5000}
			return e.add(false)
		}},
		{WaitTakeover, "w0", func(e *explained) *task {
			e.s.InheritWorkers(e.now, []WorkerInfo{{ID: "w2"}, {ID: "w0"}})
			return e.add(true)
		}},
		{WaitOwnWorker, "w0", func(e *explained) *task {
			e.s.InheritWorkers(e.now, []WorkerInfo{{ID: "w0"}})
			e.step.Service = true
			task := e.add(true)
			task.storedWorker, task.ran = "w0", true
			return task
		}},
		{WaitCrashNotStored, "w0", func(e *explained) *task {
			task := e.add(false)
			task.crashes = []workload.Crash{{Worker: "w0"}}
			return task
		}},
		{WaitSilentWorkers, "w9", func(e *explained) *task {
			e.s.InheritWorkers(e.now, []WorkerInfo{{ID: "w9"}})
			task := e.add(false)
			task.crashes, task.storedCrashes = []workload.Crash{{Worker: "w0"}}, 1
			task.silentOn, task.storedSilentOn = []workload.Silence{{Worker: "w9"}}, 1
			return task
		}},
		{WaitCrashBackOff, "", func(e *explained) *task {
			task := e.add(false)
			lone := workload.Crash{Worker: "w0", Uncertain: true, Lone: true}
			task.crashes, task.storedCrashes, task.crashedAt = slices.Repeat([]workload.Crash{lone}, maxLoneCrashes), maxLoneCrashes, e.now.Boot
			return task
		}},
		{WaitListNotRead, "w1", func(e *explained) *task { e.s.listReadAt = 0; return e.add(false) }},
		{WaitEvacuated, "w1", func(e *explained) *task {
			e.s.SetEvacuated([]structs.DatacentreID{"dc1"})
			return e.add(false)
		}},
		{WaitDraining, "w1", func(e *explained) *task { e.w.info.Draining = true; return e.add(false) }},
		{WaitUnlisted, "w1", func(e *explained) *task {
			e.w.listed, e.w.unlistedAt = false, e.now.Boot-listingGrace
			return e.add(false)
		}},
		{WaitUnreachable, "w1", func(e *explained) *task { e.w.suspect = true; return e.add(false) }},
		{WaitUnreachable, "w1", func(e *explained) *task {
			e.w.reportedAt = e.now.Boot - unreachableAfter
			return e.add(false)
		}},
		{WaitCapacity, "w1", func(e *explained) *task { e.step.Size.MilliCPU = 16001; return e.add(false) }},
		{WaitCapacity, "w1", func(e *explained) *task { e.step.Size.MemoryBytes = 65 << 30; return e.add(false) }},
		{WaitCapacityOutdated, "w1", func(e *explained) *task {
			e.job.Queue.CapacityGuarded = false
			e.w.listedAt = e.now.Boot - maxCapacityAge - 1
			return e.add(false)
		}},
		{WaitNotStored, "w1", func(e *explained) *task { e.w.stored = false; return e.add(false) }},
		{WaitEndsUnlisted, "w1", func(e *explained) *task { e.w.endsAwaited = true; return e.add(false) }},
		{WaitUnhealthy, "w1", func(e *explained) *task { e.w.unhealthyUntil = e.now.Boot + 1; return e.add(false) }},
		{WaitRejections, "w1", func(e *explained) *task { e.w.full.extend(e.now.Boot); return e.add(false) }},
		{WaitMaxPerWorker, "w1", func(e *explained) *task {
			e.step.Tasks, e.step.MaxPerWorker = 2, 1
			e.add(false)
			e.wantStarts(e.run(), 1)
			return e.s.task(taskID("job", 0, 1))
		}},
		{WaitRecentGap, "w1", func(e *explained) *task {
			e.s.ReportsLost("w1")
			task := e.add(false)
			uncertain := workload.Crash{Worker: "w0", Uncertain: true}
			task.crashes, task.storedCrashes, task.crashedAt = slices.Repeat([]workload.Crash{uncertain}, watchedFrom), watchedFrom, e.now.Boot
			return task
		}},
		{WaitProbation, "w1", func(e *explained) *task {
			crash := workload.Crash{Worker: "w0"}
			e.s.AddJob(testJob("other", testStep(1)), nil, false)
			e.wantStarts(e.run(), 1)
			other := e.s.task(taskID("other", 0, 0))
			other.crashes, other.storedCrashes = []workload.Crash{crash}, 1
			task := e.add(false)
			task.crashes, task.storedCrashes = []workload.Crash{crash}, 1
			return task
		}},
		{WaitLostRecently, "w1", func(e *explained) *task { e.w.stability.recordLoss(e.now.Boot); return e.add(false) }},
		{WaitFaulty, "w1", func(e *explained) *task {
			e.w.health.recordFailure(e.now.Boot, "a")
			e.w.health.recordFailure(e.now.Boot, "b")
			return e.add(false)
		}},
		{WaitSlow, "w1", func(e *explained) *task {
			e.w.slowness.add(e.now.Boot, maxSlowness, 2*minSlowWeight)
			return e.add(false)
		}},
		{WaitFailedThere, "w1", func(e *explained) *task {
			task := e.add(false)
			task.recordFailedOn(e.now.Boot, "w1")
			return task
		}},
		{WaitSpare, "w1", func(e *explained) *task {
			e.s.AddJob(testJob("other", coresStep(16)), nil, false)
			e.wantStarts(e.run(), 1)
			e.step.Filler = true
			return e.add(false)
		}},
		{WaitServiceTarget, "w1", func(e *explained) *task {
			e.s.AddJob(testJob("service", serviceStep("image", 1)), nil, false)
			e.wantStarts(e.run(), 1)
			service := e.w.attemptList[0]
			service.phase, service.metric, service.overTargetSince = running, 2*targetTailMs, e.now.Boot
			e.step.Filler = true
			return e.add(false)
		}},
		{WaitNominated, "w1", func(e *explained) *task {
			e.s.AddJob(testJob("other", testStep(8)), nil, false)
			e.wantStarts(e.run(), 8)
			return e.displacedTask("job", coresStep(9), "w1")
		}},
		{WaitNominee, "w1", func(e *explained) *task {
			e.s.AddJob(testJob("other", testStep(8)), nil, false)
			e.wantStarts(e.run(), 8)
			e.displacedTask("service", coresStep(9), "w1")
			return e.add(false)
		}},
		{WaitForeseen, "w1", func(e *explained) *task {
			e.useHalf("w1")
			e.addWorker("w0", nil)
			e.addService("other", 16)
			e.wantStarts(e.run(), 1)
			e.passWithSilent(foreseenAfter+scanInterval, "w0")
			e.step.Service = true
			return e.add(false)
		}},
		{WaitServiceShare, "w1", func(e *explained) *task {
			e.s.AddJob(testJob("other", testService(2)), nil, false)
			e.wantStarts(e.run(), 2)
			task := e.displacedTask("job", coresStep(15), "w0")
			task.displacement.since = e.now.Boot - restartAfterLoss
			return task
		}},
		{WaitLabel, "w1", func(e *explained) *task { e.step.Label = "ssd"; return e.add(false) }},
		{WaitNoWorker, "", func(e *explained) *task { e.job.Queue.Pool = "other"; return e.add(false) }},
	}
	for _, row := range rows {
		h := newHarness(t, 1)
		h.addWorker("w1", nil)
		e := &explained{harness: h, step: testStep(1), job: testJob("job"), w: h.s.workers["w1"]}
		task := row.make(e)
		for _, w := range e.s.sortedWorkers {
			e.s.index.markChanged(w)
		}
		e.s.Plan(e.now)
		if len(task.attempts) != 0 {
			t.Errorf("%v: the task was started", row.want)
			continue
		}
		x := newExplainer(e.s, e.now)
		x.awaited = "w0"
		reason, search := x.reason(task)
		if reason != row.want || search.worker != row.worker {
			t.Errorf("waits for %v of %q, want %v of %q", reason, search.worker, row.want, row.worker)
		}
		if waits := e.s.Waits(e.now); waits.Tasks[row.want] != 1 {
			t.Errorf("%v: the summary is %v", row.want, &waits.Tasks)
		}
	}
}

// Guards against a reason without a name and two reasons of the same name: metrics would lose one of them.
func TestReasonsHaveNames(t *testing.T) {
	names := map[string]WaitReason{}
	for r := Suitable; r < numWaitReasons; r++ {
		if other, known := names[r.String()]; known || r.String() == "" {
			t.Errorf("reasons %d and %d are both named %q", other, r, r)
		}
		names[r.String()] = r
	}
	if got := WaitReason(200).String(); got != "200" {
		t.Errorf("the unknown reason is %q", got)
	}
}

// Guards against a task that is said to have no capacity while an avoided worker has it, or to be avoided while none has
// the capacity: the reason is the one nearest to a start.
func TestNearestReasonIsNamed(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", withCores(1))
	h.addWorker("w2", nil)
	h.addWorker("w3", nil)
	h.addWorker("w4", func(info *WorkerInfo) { info.Pool = "other" })
	h.s.workers["w2"].health.until = h.now.Boot + time.Minute
	h.s.workers["w3"].info.Draining = true
	h.s.AddJob(testJob("small", coresStep(2)), nil, false)
	h.s.AddJob(testJob("large", coresStep(17)), nil, false)
	h.advanceClock(LongWait)
	h.reportAll()
	h.s.Plan(h.now)
	waits := h.s.Waits(h.now)
	if len(waits.Steps) != 2 || waits.Longest < LongWait {
		t.Fatalf("%d steps, the longest wait is %v", len(waits.Steps), waits.Longest)
	}
	large, small := waits.Steps[0], waits.Steps[1]
	if small.Reason != WaitFaulty || small.Worker != "w2" || small.Workers.String() != "faulty_worker=1 no_capacity=1 draining=1" {
		t.Errorf("small: %v of %s, workers %v", small.Reason, small.Worker, &small.Workers)
	}
	if large.Reason != WaitCapacity || large.Worker != "w1" || large.Workers.String() != "no_capacity=2 draining=1" {
		t.Errorf("large: %v of %s, workers %v", large.Reason, large.Worker, &large.Workers)
	}
	if small.Task != taskID("small", 0, 0) || small.Tasks != 1 || small.Size.MilliCPU != 2000 {
		t.Errorf("small: %+v", small)
	}
}

// Guards against tasks that a worker suits and that are held back by the planner itself, whose log would say nothing.
func TestReasonsWithASuitableWorker(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	h.s.Plan(h.now)
	h.s.AddJob(testJob("job", testStep(1)), nil, false)
	want := func(reason WaitReason) {
		t.Helper()
		if waits := h.s.Waits(h.now); waits.Tasks[reason] != 1 {
			t.Errorf("%v instead of %v", &waits.Tasks, reason)
		}
	}
	want(WaitTurn)
	h.s.task(taskID("job", 0, 0)).step.unplacedAt = h.now.Boot // as if the search had not found w1
	want(WaitNotFound)
	h.advanceClock(maxPlanAge + 1)
	want(WaitPlan)
}

// Guards against a service whose start waits for the store and that no line names.
func TestStartThatIsNotStoredIsNamed(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	h.s.AddJob(testJob("service", testService(1)), nil, false)
	h.s.Plan(h.now)
	h.advanceClock(LongWait)
	waits := h.s.Waits(h.now)
	if len(waits.Steps) != 1 || waits.Steps[0].Reason != WaitStore || waits.Steps[0].Worker != "w1" {
		t.Errorf("%v: %+v", &waits.Tasks, waits.Steps)
	}
}

// Guards against a task that counts as running for seconds although its start was not answered or its worker is silent: no
// line would say why it does not run.
func TestUnresolvedAttemptIsNamed(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	h.s.Plan(h.now)
	h.s.AddJob(testJob("job", testStep(1)), nil, false)
	h.wantStarts(h.plan(), 1) // not answered
	h.advanceClock(LongWait)
	want := func(reason WaitReason, waited time.Duration) {
		t.Helper()
		waits := h.s.Waits(h.now)
		if len(waits.Steps) != 1 || waits.Steps[0].Reason != reason || waits.Steps[0].Worker != "w1" || waits.Longest != waited {
			t.Errorf("%v after %v, want %v after %v", &waits.Tasks, waits.Longest, reason, waited)
		}
	}
	want(WaitAnswer, LongWait)
	h.s.Report(h.now, "w1", Report{Incarnation: 1, SentAt: h.now.Boot, Running: []Running{{Task: taskID("job", 0, 0), Attempt: 1}}})
	if waits := h.s.Waits(h.now); waits.Tasks != (WaitCounts{}) {
		t.Errorf("the task runs and waits for %v", &waits.Tasks)
	}
	h.advanceClock(unreachableAfter)
	want(WaitWorkerSilent, unreachableAfter)
}

// Guards against a copy, whose task runs, that is logged as a start after a long wait.
func TestCopyHasNotWaited(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	step := testStep(1)
	step.Copies = true
	h.s.AddJob(testJob("job", step), nil, false)
	h.wantStarts(h.run(), 1)
	h.addWorker("w2", nil)
	h.advanceClock(LongWait + silentAfter)
	h.report("w2")
	h.wantStarts(h.run(), 1)
	for _, event := range h.s.TakeEvents() {
		if event.Kind == EventTaskStarted && event.Waited != 0 {
			t.Errorf("attempt %d has waited %v", event.Attempt, event.Waited)
		}
	}
}

// Guards against a start after a long wait that does not name what the task has waited for, and against one that names the
// reason of an earlier wait.
func TestLateStartNamesItsReason(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", withCores(1))
	h.s.AddJob(testJob("job", coresStep(2)), nil, false)
	h.plan()
	h.advanceClock(2 * LongWait)
	h.reportAll()
	h.s.Waits(h.now)
	h.shrink("w1", 16000)
	h.wantStarts(h.run(), 1)
	h.s.AddJob(testJob("prompt", coresStep(2)), nil, false)
	h.wantStarts(h.run(), 1)
	events := slices.DeleteFunc(h.s.TakeEvents(), func(e Event) bool { return e.Kind != EventTaskStarted })
	if events[0].WaitReason != WaitCapacity || events[0].Waited < 2*LongWait {
		t.Errorf("the late start waited %v for %v", events[0].Waited, events[0].WaitReason)
	}
	if events[1].WaitReason != Suitable || events[1].Waited != 0 {
		t.Errorf("the prompt start waited %v for %v", events[1].Waited, events[1].WaitReason)
	}
	if h.s.task(taskID("job", 0, 0)).waitReason != Suitable {
		t.Error("the reason is kept after the start")
	}
}

// Guards against a wait that counts the time before an occurrence was due, and against overflow with a distant one.
func TestWaitBeginsWhenTheOccurrenceIsDue(t *testing.T) {
	for _, interval := range []int64{3000, math.MaxInt64 / 4} {
		h := newHarness(t, 1)
		h.addWorker("w1", withCores(1))
		job := testJob("job", coresStep(2))
		job.Recurrence = workload.Recurrence{Count: 2, FirstMs: h.now.UnixMs + 1000, IntervalMs: interval}
		h.s.AddJob(job, nil, false)
		h.plan()
		h.advanceClock(3500 * time.Millisecond)
		h.reportAll()
		h.plan()
		waits := h.s.Waits(h.now)
		if waits.Tasks[WaitNotDue] != 1 || len(waits.Steps) != 1 || waits.Longest.Round(100*time.Millisecond) != 2500*time.Millisecond {
			t.Errorf("interval %d: %v, the longest has waited %v", interval, &waits.Tasks, waits.Longest)
		}
	}
}

// Guards against a summary whose cost grows with the number of waiting tasks, while the owner is locked.
func TestSummaryIsBounded(t *testing.T) {
	const workers, jobs = 200, 400
	h := fleet(workers)
	for n := range jobs {
		step := coresStep(17)
		step.Size.MilliCPU += int64(n) // no two share a search
		h.s.AddJob(testJob(workload.JobID(fmt.Sprint("job", n)), step), nil, false)
	}
	h.advanceClock(LongWait)
	h.reportAll()
	h.s.Plan(h.now)
	waits := h.s.Waits(h.now)
	const searches = maxWaitChecks / workers
	if waits.Tasks[WaitCapacity] != searches || waits.Tasks[WaitUnexplained] != jobs-searches {
		t.Errorf("%v, want %d searches", &waits.Tasks, searches)
	}
	if len(waits.Steps) != 2*maxWaitsPerReason {
		t.Errorf("%d steps are described", len(waits.Steps))
	}
}

// Scenario: in a large pool tasks of many sizes wait for a label that no worker has. Guards against a check of all workers for
// each of them, after which the waits of other tasks remain unexplained.
func TestMissingLabelsLeaveChecksForOtherWaits(t *testing.T) {
	h := fleet(maxWaitChecks / 10)
	const jobs = 40
	for n := range jobs {
		step := testStep(1)
		step.Size.MilliCPU, step.Label = int64(1000+n), "rare"
		h.s.AddJob(testJob(workload.JobID(fmt.Sprint("labelled", n)), step), nil, false)
	}
	large := testStep(1)
	large.Size.MilliCPU = 1 << 40
	h.s.AddJob(testJob("z", large), nil, false)
	h.s.Plan(h.now)
	waits := h.s.Waits(h.now)
	if waits.Tasks[WaitLabel] != jobs || waits.Tasks[WaitCapacity] != 1 {
		t.Errorf("%v, want %d tasks without a label and one without capacity", &waits.Tasks, jobs)
	}
}

// Guards against an explanation that changes decisions: two schedulers get the same disturbances, and one explains each time.
func TestSummaryChangesNoDecision(t *testing.T) {
	for seed := range uint64(40) {
		plain, explaining := newDisturbed(t, seed), newDisturbed(t, seed)
		for n := range 60 {
			explaining.s.Waits(explaining.now)
			a, b := plain.disturbAndPlan(n), explaining.disturbAndPlan(n)
			explaining.s.Waits(explaining.now)
			if a != b {
				t.Fatalf("seed %d, step %d: %s without, %s with explanations", seed, n, a, b)
			}
		}
	}
}

// disturbed is a scheduler with random disturbances.
type disturbed struct {
	*harness
	rnd *rand.Rand
}

func newDisturbed(t *testing.T, seed uint64) *disturbed {
	h := newHarness(t, 1)
	for n := range 8 {
		h.addWorker(WorkerID(fmt.Sprint("w", n)), func(info *WorkerInfo) { info.Labels = []string{fmt.Sprint("r", n/2)} })
	}
	return &disturbed{h, rand.New(rand.NewPCG(seed, 3))}
}

// disturbAndPlan disturbs the workers, adds a job of a random kind, plans and returns the orders.
func (d *disturbed) disturbAndPlan(n int) string {
	d.disturb(d.rnd, n)
	step := testStep(1 + d.rnd.IntN(3))
	step.Size.MilliCPU = 500 + d.rnd.Int64N(8000)
	switch d.rnd.IntN(4) {
	case 0:
		step.Filler, step.Image = true, "filler"
	case 1:
		step.Service, step.Image, step.TailTargetMs = true, "service", targetTailMs
	case 2:
		step.Label = fmt.Sprint("r", d.rnd.IntN(5))
	}
	d.s.AddJob(testJob(workload.JobID(fmt.Sprint("waiting", n)), step), nil, false)
	orders := d.run()
	slices.SortStableFunc(orders, func(a, b Order) int { return cmp.Compare(fmt.Sprint(a.Task), fmt.Sprint(b.Task)) })
	return describe(orders)
}

// BenchmarkWaits measures the summary of a large fleet in a burst.
func BenchmarkWaits(b *testing.B) {
	h, _ := burstFleet()
	h.s.Plan(h.now)
	for b.Loop() {
		h.s.Waits(h.now)
	}
}

// Guards against lines about a service that waits from which it cannot be told whether services or tasks that end use the
// capacity it needs: w1 and w2 have room for it beside their services, w2 keeps that for another one, and w3 is too small.
func TestWaitTellsWhereServicesLeaveRoom(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w0", withCores(1))
	h.startedService("service", 1)
	h.s.AddJob(testJob("long", testStep(4)), nil, false)
	h.addWorker("w1", withCores(2))
	h.addWorker("w2", withCores(2))
	h.wantStarts(h.run(), 4)
	h.addWorker("w3", func(info *WorkerInfo) { info.Capacity.MilliCPU = 500 })
	h.s.PollFailed(h.now, "w0", Grant{})
	delete(h.workers, "w0")
	h.advanceClock(h.s.cfg.leaseBound())
	h.reportAll()
	h.wantStarts(h.run(), 0)
	other := &task{step: &step{spec: workload.Step{Service: true, Size: structs.Resources{MilliCPU: 1500}}}}
	h.s.workers["w2"].nominees = []*task{other}
	h.advanceClock(LongWait)
	h.reportAll()
	steps := h.s.Waits(h.now).Steps
	if len(steps) != 1 || !steps[0].Service || steps[0].BesideServices != 1 {
		t.Errorf("the waits are %+v", steps)
	}
}
