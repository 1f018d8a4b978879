package schedule

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fulmarcourse.example/core/workload"
)

// runningTask is a task that ends and runs beside others on a worker, for the choice of those to stop.
type runningTask struct {
	name     workload.JobID
	cores    int64
	priority int
	estimate time.Duration
	late     bool // its job misses its objective
	change   func(st *workload.Step)
}

func saves(st *workload.Step)  { st.Checkpoints = true }
func filler(st *workload.Step) { st.Filler = true }

// runTasks starts each of the tasks on the only worker.
func (h *harness) runTasks(tasks ...runningTask) {
	h.t.Helper()
	for _, r := range tasks {
		step := coresStep(r.cores)
		step.EstimateMs = r.estimate.Milliseconds()
		if r.change != nil {
			r.change(&step)
		}
		job := testJob(r.name, step)
		job.Queue.Priority = r.priority
		job.AcceptedMs = h.now.UnixMs
		if r.late {
			job.AcceptedMs -= time.Hour.Milliseconds()
		}
		h.s.AddJob(job, nil, false)
		h.wantStarts(h.run(), 1)
	}
	h.elapse(scanInterval)
}

// overdueService adds a service of one task whose worker is lost and that has waited for restartOverdueAfter.
func (h *harness) overdueService(id workload.JobID, cores int64) *task {
	t := h.displacedTask(id, coresStep(cores), "w0")
	t.displacement.since = h.now.Boot - restartOverdueAfter
	return t
}

// stops returns the jobs of which a task is stopped in the next planning run.
func (h *harness) stops() []workload.JobID {
	var jobs []workload.JobID
	for _, o := range ofKind(h.run(), OrderStop) {
		jobs = append(jobs, o.Task.Job)
	}
	slices.Sort(jobs)
	return jobs
}

func (h *harness) wantStops(want ...workload.JobID) {
	h.t.Helper()
	if got := h.stops(); !slices.Equal(got, want) {
		h.t.Errorf("tasks of %v are stopped, want %v", got, want)
	}
}

// Guards against a displaced service that stops more, or more valuable, work than it needs the capacity of.
func TestPreemptionStopsTheTasksThatLoseLeast(t *testing.T) {
	for name, c := range map[string]struct {
		tasks []runningTask
		want  []workload.JobID
	}{
		"progress is saved": {[]runningTask{
			{"a", 2, 0, time.Minute, false, nil}, {"b", 2, 0, time.Minute, false, saves}}, []workload.JobID{"b"}},
		"priority": {[]runningTask{
			{"a", 2, 0, time.Minute, false, nil}, {"b", 2, 2, time.Minute, false, nil}}, []workload.JobID{"b"}},
		"late": {[]runningTask{
			{"a", 2, 0, time.Minute, false, nil}, {"b", 2, 0, time.Minute, true, nil}}, []workload.JobID{"b"}},
		"leaves soonest": {[]runningTask{
			{"a", 2, 0, time.Minute, false, nil}, {"b", 2, 0, time.Hour, false, nil}}, []workload.JobID{"b"}},
		"no more than needed": {[]runningTask{
			{"a", 1, 0, time.Minute, false, saves}, {"b", 2, 0, time.Minute, false, nil}, {"c", 1, 0, time.Minute, false, nil}},
			[]workload.JobID{"b"}},
		"several": {[]runningTask{
			{"a", 1, 0, time.Minute, false, saves}, {"b", 1, 0, time.Hour, false, nil}, {"c", 2, 0, time.Minute, false, nil}},
			[]workload.JobID{"a", "b"}},
		"no filler": {[]runningTask{
			{"b", 2, 0, time.Hour, false, filler}, {"a", 4, 0, time.Minute, false, nil}}, []workload.JobID{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.addWorker("w1", withCores(4))
			h.runTasks(c.tasks...)
			h.overdueService("service", 2)
			h.wantStops(c.want...)
		})
	}
}

// Guards against a displaced service that waits for long tasks, and against one that stops tasks and does not get their places.
func TestOverdueServiceStartsInPlaceOfALongTask(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", withCores(4))
	h.runTasks(runningTask{"long", 4, 0, time.Minute, false, saves})
	service := h.displacedTask("service", coresStep(2), "w0")
	service.displacement.since = h.now.Boot
	for range 3 { // others that would take the place
		h.shortTasks(workload.JobID(fmt.Sprint("short-", h.now.UnixMs)), 10, time.Second)
		h.elapse(reportingStep)
		h.run()
	}
	h.wantWait(service.id(), restartBound, func() {})
	for _, e := range h.s.TakeEvents() {
		if e.Kind == EventTaskPreempted && e.Task.Job == "long" && e.For == service.id() && e.Value >= restartOverdueAfter.Seconds() {
			return
		}
	}
	t.Error("no event names the service for which the task was stopped, and for how long that one has waited")
}

// Guards against tasks that are stopped for a service which is not overdue: the tasks may end in time.
func TestPreemptionWaitsUntilTheServiceIsOverdue(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", withCores(2))
	h.runTasks(runningTask{"a", 2, 0, time.Minute, false, nil})
	h.overdueService("service", 2).displacement.since += 2 * scanInterval
	h.wantStops()
	h.elapse(scanInterval)
	h.wantStops()
	h.elapse(scanInterval)
	h.wantStops("a")
}

// Guards against tasks that are stopped for nothing: the service would not fit without them, or will fit without a stop.
func TestPreemptionStopsNothingInVain(t *testing.T) {
	for name, prepare := range map[string]func(h *harness){
		"a service leaves no room": func(h *harness) {
			h.startedService("other", 3)
			h.runTasks(runningTask{"a", 1, 0, time.Minute, false, saves})
		},
		"another attempt is being stopped": func(h *harness) {
			h.runTasks(runningTask{"a", 2, 0, time.Minute, false, saves}, runningTask{"b", 2, 0, time.Minute, false, nil})
			h.s.Cancel(h.now, "b")
			h.s.TakeOrders()
		},
		"a task should have ended": func(h *harness) {
			h.runTasks(runningTask{"a", 2, 0, time.Minute, false, saves}, runningTask{"b", 2, 0, time.Minute, false, nil})
			for percent := 75.0; percent <= 95; percent += 10 {
				h.setPercent("b", percent)
				h.elapse(minRateSpan)
			}
			h.advanceClock(minRateSpan)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.addWorker("w1", withCores(4))
			prepare(h)
			h.overdueService("service", 2)
			h.wantStops()
		})
	}
}

// Guards against tasks that are stopped for a service which cannot start in their place yet: the capacity of the worker may have shrunk,
// or the worker is avoided after a fault.
func TestPreemptionWaitsUntilTheServiceMayStart(t *testing.T) {
	for name, c := range map[string]struct {
		prepare, end func(h *harness, service *task)
	}{
		"outdated list": {
			func(h *harness, service *task) {
				service.step.job.rec.Queue.CapacityGuarded = false
				h.advanceClock(maxCapacityAge + scanInterval)
				h.reportAll()
			},
			func(h *harness, _ *task) { h.list() },
		},
		"recent fault": {
			func(h *harness, _ *task) { h.s.workers["w1"].stability.recordLoss(h.now.Boot) },
			func(h *harness, _ *task) { h.elapse(restartOverdueAfter) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.addWorker("w1", withCores(4))
			h.runTasks(runningTask{"a", 4, 0, time.Minute, false, saves})
			service := h.overdueService("service", 2)
			c.prepare(h, service)
			h.wantStops()
			c.end(h, service)
			h.advanceClock(scanInterval)
			h.wantStops("a")
		})
	}
}

// setPercent sets the progress of the tasks of a job.
func (h *harness) setPercent(id workload.JobID, percent float64) {
	for _, w := range h.workers {
		for i := range w.running {
			if w.running[i].Task.Job == id {
				w.running[i].Percent = percent
			}
		}
	}
}

// Guards against an overdue service that waits on a worker whose tasks may not be stopped again, beside one whose tasks may.
func TestOverdueServiceIsNominatedWhereTasksMayBeStopped(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", withCores(4))
	h.runTasks(runningTask{"a", 4, 0, 20 * time.Second, false, nil})
	h.s.task(taskID("a", 0, 0)).preemptions = maxPreemptions
	h.addWorker("w2", withCores(4))
	h.runTasks(runningTask{"b", 4, 0, time.Minute, false, nil})

	h.overdueService("service", 2)
	h.wantStops("b")
}

// Guards against an overdue service that stays where no task may be stopped for it until its nomination is reviewed, while tasks may
// be stopped on another worker.
func TestNominationIsReviewedAtOnceWhereNoTaskMayBeStopped(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", withCores(4))
	h.runTasks(runningTask{"a", 4, 0, 20 * time.Second, false, nil})
	h.s.task(taskID("a", 0, 0)).preemptions = maxPreemptions
	service := h.overdueService("service", 2)
	h.wantStops()
	if service.nomination.worker != h.s.workers["w1"] {
		t.Fatal("the service is not nominated to the only worker")
	}
	h.addWorker("w2", withCores(4))
	h.s.AddJob(testJob("b", coresStep(4)), nil, false)
	h.s.start(h.now.Boot, h.s.task(taskID("b", 0, 0)), h.s.workers["w2"])
	for _, o := range h.s.TakeOrders() {
		h.accept(o)
	}
	h.elapse(scanInterval)
	h.wantStops("b")
}

// Guards against a task that is stopped again and again for displaced services, and against stops that count as its failures.
func TestTaskIsPreemptedAtMostOnce(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", withCores(4))
	h.runTasks(runningTask{"a", 4, 0, time.Minute, false, nil})
	h.s.jobs["a"].rec.Queue.MaxFailures = 1
	for n := range 3 {
		service := h.overdueService(workload.JobID(fmt.Sprint("service-", n)), 2)
		stopped := h.stops()
		if n == 0 && len(stopped) == 0 {
			t.Fatal("the task is not stopped for the first service")
		}
		if n > 0 && len(stopped) > 0 {
			t.Fatalf("the task is stopped again for service %d", n)
		}
		h.elapse(scanInterval)
		h.run()
		h.s.Cancel(h.now, service.step.job.rec.ID)
		for range 3 {
			h.run()
			h.elapse(scanInterval)
		}
		h.wantState("a", workload.StateRunning)
		if a := h.s.task(taskID("a", 0, 0)); len(a.attempts) != 1 {
			t.Fatalf("the task does not run after service %d has ended", n)
		}
	}
}

// Guards against tasks that end which all are stopped at once where many services are displaced: they come back in a full pool, and
// little would be completed.
func TestPreemptionIsLimitedToAShareOfThePool(t *testing.T) {
	const workers, tasksEach = 8, 4
	h := newHarness(t, 1)
	for n := range workers {
		h.addWorker(WorkerID(fmt.Sprint("w", n+1)), withCores(tasksEach))
	}
	h.shortTasks("long", workers*tasksEach, time.Minute)
	h.wantStarts(h.run(), workers*tasksEach)
	h.elapse(scanInterval)
	for n := range workers {
		h.overdueService(workload.JobID(fmt.Sprint("service-", n)), 2)
	}
	if got := len(h.stops()); got == 0 || got > workers*tasksEach/maxPreemptedShare {
		t.Errorf("%d of %d tasks are stopped at once", got, workers*tasksEach)
	}
}

// Guards against fillers that raise the number of other tasks which may be stopped at a time.
func TestFillersDoNotRaiseTheLimitOfPreemption(t *testing.T) {
	const workers = 8
	h := newHarness(t, 1)
	for n := range workers {
		h.addWorker(WorkerID(fmt.Sprint("w", n+1)), withCores(4))
	}
	fill := fillerStep("filler", 4*workers)
	fill.Size.MilliCPU = 100
	h.s.AddJob(testJob("fill", fill), nil, false)
	h.run()
	h.shortTasks("long", workers, time.Minute)
	for _, task := range h.s.jobs["long"].steps[0].tasks {
		task.step.spec.Size.MilliCPU = 4000
	}
	h.run()
	h.elapse(scanInterval)
	fillers := 0
	for _, task := range h.s.jobs["fill"].steps[0].tasks {
		fillers += len(task.attempts)
	}
	if fillers < workers {
		t.Fatalf("%d fillers run, want %d or more", fillers, workers)
	}
	for n := range workers {
		h.overdueService(workload.JobID(fmt.Sprint("service-", n)), 2)
	}
	if got := len(h.stops()); got == 0 || got > workers/maxPreemptedShare {
		t.Errorf("%d of %d tasks are stopped at once", got, workers)
	}
}

// Guards against an overdue service for which nothing is stopped on a worker that answers, because a stop on one that has fallen silent is
// not answered.
func TestStopOnASilentWorkerDoesNotHoldBackOthers(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", withCores(4))
	h.runTasks(runningTask{"a", 4, 0, time.Hour, false, nil})
	h.addWorker("w2", withCores(4))
	h.runTasks(runningTask{"b", 4, 0, time.Minute, false, nil})
	service := h.overdueService("service", 2)
	h.s.setNominee(service, nomination{worker: h.s.workers["w1"], at: h.now.Boot})
	orders := h.plan()
	if stops := ofKind(orders, OrderStop); len(stops) != 1 || stops[0].Worker != "w1" {
		t.Fatalf("got %s, want a stop on w1", describe(orders))
	}
	began := h.now.Boot
	for h.now.Boot-began < restartBound {
		h.advanceClock(scanInterval)
		h.s.PollFailed(h.now, "w1", Grant{})
		h.list()
		h.report("w2")
		if len(starts(h.run())) > 0 {
			return
		}
	}
	t.Errorf("the service, which is nominated to %s, does not start there within %v of the last answer of w1", service.nomination.worker.info.ID, restartBound)
}

// Guards against a task that is stopped although what is being stopped beside it, of a job that is not known any more, leaves room.
func TestOrphansThatAreBeingStoppedCount(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", withCores(4))
	h.runTasks(runningTask{"a", 2, 0, time.Minute, false, saves}, runningTask{"b", 2, 0, time.Minute, false, nil})
	b := h.s.task(taskID("b", 0, 0))
	key := b.attempts[0].key()
	h.s.drop(b.attempts[0])
	h.s.jobs["b"].state = "cancelled"
	h.s.stopOrphan(h.now.Boot, h.s.workers["w1"], key)
	h.s.TakeOrders()
	h.overdueService("service", 2)
	h.wantStops()
}

// Guards against an overdue service that waits without a bound for the memory of fillers, which are never stopped for it.
func TestOverdueServiceTakesTheMemoryOfFillers(t *testing.T) {
	h := newHarness(t, 1)
	w := h.addWorker("w1", func(info *WorkerInfo) {
		withCores(4)(info)
		info.Capacity.MemoryBytes = 4 << 30
	})
	step := fillerStep("filler", 4)
	step.Size.MilliCPU, step.Size.MemoryBytes, step.Checkpoints, step.EstimateMs = 500, 1<<30, true, time.Minute.Milliseconds()
	h.s.AddJob(testJob("fill", step), nil, false)
	h.run()
	h.elapse(scanInterval)
	if len(w.running) != 4 {
		t.Fatalf("%d fillers run, want 4", len(w.running))
	}
	service := coresStep(2)
	service.Size.MemoryBytes = 2 << 30
	task := h.displacedTask(workload.JobID("service"), service, "w0")
	task.displacement.since = h.now.Boot
	h.wantWait(task.id(), restartBound, func() {})
}

// Guards against a foreseen restart that waits until it is overdue before long tasks in its place are stopped: its service does not run
// since its worker fell silent. Tasks that end before that are not stopped for it.
func TestForeseenRestartDoesNotWaitForLongTasks(t *testing.T) {
	for name, c := range map[string]struct {
		rest    time.Duration // of the tasks in its place, from the restart on
		stopped bool
	}{
		"long tasks":  {time.Minute, true},
		"short tasks": {restartOverdueAfter / 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := serviceOnFirst(t)
			step := testStep(16)
			step.EstimateMs = (h.s.cfg.leaseBound() + c.rest).Milliseconds()
			h.s.AddJob(testJob("use", step), nil, false)
			h.wantStarts(h.run(), 16)
			lost := h.s.task(taskID("lost", 0, 0))
			h.passUntilDisplaced(lost, "w1")
			h.passWithSilent(2*scanInterval, "w1")
			stopped := 0
			for _, task := range h.s.jobs["use"].steps[0].tasks {
				stopped += task.preemptions
			}
			if (stopped > 0) != c.stopped {
				t.Errorf("%d tasks were stopped %v after the lease had expired", stopped, 2*scanInterval)
			}
		})
	}
}
