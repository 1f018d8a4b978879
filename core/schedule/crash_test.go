package schedule

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fulmarcourse.example/core/workload"
)

// replace ends the process of a worker with all that it runs and lists another worker at its address.
func (h *harness) replace(id, next WorkerID) *simWorker {
	before := h.workers[id]
	delete(h.workers, id)
	return h.addWorker(next, func(info *WorkerInfo) {
		info.Address, info.StartedMs = before.info.Address, before.info.StartedMs+1
	})
}

// addStarted adds a worker whose entry says when its process started.
func (h *harness) addStarted(id WorkerID) *simWorker {
	return h.addWorker(id, func(info *WorkerInfo) { info.StartedMs = 1 })
}

// newStartedHarness returns a harness with workers w0, w1 and so on.
func newStartedHarness(t *testing.T, workers int) *harness {
	h := newHarness(t, 1)
	for i := range workers {
		h.addStarted(WorkerID(fmt.Sprint("w", i)))
	}
	return h
}

func countEvents(events []Event, kind EventKind) int {
	n := 0
	for _, e := range events {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

// Guards against a crash that the log does not show because the worker returned under another ID.
func TestReplacedWorkerIsLogged(t *testing.T) {
	h := newHarness(t, 1)
	h.addStarted("w1")
	h.s.AddJob(testJob("job", testStep(2)), nil, false)
	h.run()
	h.reportAll()
	h.s.TakeEvents()
	h.replace("w1", "w2")
	events := h.s.TakeEvents()
	if replaced, crashed := countEvents(events, EventWorkerReplaced), countEvents(events, EventAttemptCrashed); replaced != 1 || crashed != 2 {
		t.Fatalf("%d workers replaced, %d attempts crashed, want 1 and 2: %+v", replaced, crashed, events)
	}
}

// crash ends the process of the worker that runs a task and lists its successor.
func (h *harness) crash(task workload.TaskID) {
	h.t.Helper()
	for id, w := range h.workers {
		for _, r := range w.running {
			if r.Task == task {
				h.replace(id, id+"'")
				return
			}
		}
	}
	h.t.Fatalf("%v runs on no worker", task)
}

// settle plans and executes orders until the scheduler has nothing more to start.
func (h *harness) settle() (starts []Order) {
	for range 20 {
		for _, o := range h.run() {
			if o.Kind == OrderStart {
				starts = append(starts, o)
			}
		}
		h.advanceClock(100 * time.Millisecond)
		h.reportAll()
	}
	return starts
}

// inherit replaces the owner by one that knows what is stored.
func (h *harness) inherit(term int64, jobs ...workload.Job) {
	known, _ := h.s.KnownWorkers()
	if known == nil {
		known = h.s.Workers()
	}
	stored := map[workload.JobID]workload.Progress{}
	for _, j := range h.s.jobs {
		stored[j.rec.ID] = j.progress()
	}
	h.newTerm(term)
	h.s.InheritWorkers(h.now, known)
	for _, job := range jobs {
		p := stored[job.ID]
		h.s.AddJob(job, &p, true)
	}
}

// Guards against a task that crashes one worker after another because crashes are not counted (issue 21).
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	for _, service := range []bool{false, true} {
		h := newStartedHarness(t, 8)
		step := testStep(1)
		step.Service = service
		h.s.AddJob(testJob("crashing", step), nil, false)
		total := 0
		for total < maxStartsOfCrashingTask {
			ordered := len(starts(h.run()))
			if total += ordered; ordered == 0 {
				break
			}
			h.crash(taskID("crashing", 0, 0))
			h.settleWithoutStarts()
		}
		h.store()
		h.wantState("crashing", workload.StateFailed)
	}
}

// maxStartsOfCrashingTask is the platform's bound: after three crashes under a task, fewer than three further starts.
const maxStartsOfCrashingTask = 3 + 2

// settleWithoutStarts lets back-offs of workers pass, makes all workers report and stores the progress.
func (h *harness) settleWithoutStarts() {
	for range 50 {
		h.advanceClock(100 * time.Millisecond)
		h.reportAll()
	}
	h.store()
}

// Guards against crashes that are forgotten when the owner changes: each owner would start the task again.
func TestCrashesAreCountedOverOwners(t *testing.T) {
	h := newStartedHarness(t, 8)
	job := testJob("crashing", testStep(1))
	h.s.AddJob(job, nil, false)
	total := 0
	for term := int64(2); total < maxStartsOfCrashingTask; term++ {
		ordered := len(starts(h.run()))
		if total += ordered; ordered == 0 {
			break
		}
		h.crash(taskID("crashing", 0, 0))
		h.settleWithoutStarts()
		h.store()
		h.inherit(term, job)
		h.listWorkers()
		h.settleWithoutStarts()
	}
	h.store()
	h.wantState("crashing", workload.StateFailed)
}

// silence makes the poll of the worker that runs a task fail.
func (h *harness) silence(task workload.TaskID) {
	for id, w := range h.workers {
		if slices.ContainsFunc(w.running, func(r Running) bool { return r.Task == task }) {
			h.s.PollFailed(h.now, id, Grant{})
		}
	}
}

// Guards against a crash that nobody counts: its owner is replaced after it has noticed the silence of the worker and before
// the worker returns.
func TestCrashAfterSilenceIsCountedByTheNextOwner(t *testing.T) {
	h := newStartedHarness(t, 8)
	job := testJob("crashing", testStep(1))
	h.s.AddJob(job, nil, false)
	for term := int64(2); term <= 1+briefCrashLimit; term++ {
		h.wantStarts(h.run(), 1)
		h.silence(taskID("crashing", 0, 0))
		h.store()
		h.inherit(term, job)
		h.crash(taskID("crashing", 0, 0))
		h.settleWithoutStarts()
	}
	h.store()
	h.wantState("crashing", workload.StateFailed)
}

// Guards against owners that each start two copies of a crashing task: they are replaced before any worker returns.
func TestCopiesOfCrashingTaskAreBoundedOverOwners(t *testing.T) {
	h := newStartedHarness(t, 12)
	step := testStep(1)
	step.Copies = true
	job := testJob("crashing", step)
	h.s.AddJob(job, nil, false)
	total := 0
	for term := int64(2); term <= 5; term++ {
		for range 2 {
			h.advanceClock(silentAfter + scanInterval)
			h.listIdle() // the workers that run the task have crashed and do not report
			for _, o := range starts(h.plan()) {
				h.accept(o)
				total++
			}
			h.silence(taskID("crashing", 0, 0))
			h.store()
		}
		h.inherit(term, job)
	}
	if total != briefCrashLimit {
		t.Errorf("%d starts, want %d", total, briefCrashLimit)
	}
}

// listIdle lists all workers and makes those report that run nothing.
func (h *harness) listIdle() {
	h.list()
	h.advanceClock(time.Millisecond)
	for id, w := range h.workers {
		if len(w.running) == 0 {
			h.report(id)
		}
	}
}

// Guards against a further start of a crashing task before the crash that the owner has noticed is stored: the next owner
// would count from the start. The same holds for a copy while a worker is silent.
func TestCrashIsStoredBeforeTheNextStart(t *testing.T) {
	for _, copies := range []bool{false, true} {
		h := newStartedHarness(t, 4)
		step := testStep(1)
		step.Copies = copies
		h.s.AddJob(testJob("crashing", step), nil, false)
		h.wantStarts(h.run(), 1)
		if copies {
			h.silence(taskID("crashing", 0, 0))
			h.advanceClock(silentAfter)
		} else {
			h.crash(taskID("crashing", 0, 0))
		}
		h.listIdle()
		h.s.Plan(h.now)
		h.wantStarts(h.s.TakeOrders(), 0)
		h.store()
		h.advanceClock(scanInterval)
		h.s.Plan(h.now)
		h.wantStarts(h.s.TakeOrders(), 1)
	}
}

// Guards against a second crashing task that goes on because each of its crashes is explained by another one.
func TestExplainedCrashesStillBoundTheStarts(t *testing.T) {
	h := newHarness(t, 1)
	h.addStarted("w1")
	h.addStarted("w2")
	h.s.AddJob(testJob("crashing", testStep(1)), nil, false)
	h.wantStarts(h.run(), 1)
	task := h.s.jobs["crashing"].steps[0].tasks[0]
	for i := range certainBriefCrashes {
		crash := workload.Crash{Worker: fmt.Sprint("other", i), StartedMs: 1}
		h.s.addCrash(task, crash)
		h.s.explain([]workload.Crash{crash})
	}
	h.s.giveUpCrashing(h.now, h.s.jobs["crashing"].steps[0].tasks)
	h.store()
	h.wantState("crashing", workload.StateFailed)
}

// Guards against services that wait for the leases of a process that no longer exists, under its owner and under the next.
func TestServiceOfReplacedWorkerStartsAtOnce(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		h := newHarness(t, 1)
		h.addStarted("w1")
		step := testStep(1)
		step.Service = true
		job := testJob("service", step)
		h.s.AddJob(job, nil, false)
		h.wantStarts(h.run(), 1)
		h.reportAll()
		if takeover {
			h.inherit(2, job)
		}
		h.replace("w1", "w2")
		h.reportAll()
		h.wantStarts(h.settle(), 1)
		if !h.s.TakeoverComplete() {
			t.Error("the takeover waits for a worker whose process has ended")
		}
	}
}

// Guards against giving up the tasks that happened to run beside one that crashes its workers.
func TestTasksBesideACrashingTaskGoOn(t *testing.T) {
	h := newStartedHarness(t, 3)
	service := testStep(9)
	service.Service = true
	h.s.AddJob(testJob("service", service), nil, false)
	h.settle()
	h.s.AddJob(testJob("batch", testStep(6)), nil, false)
	h.s.AddJob(testJob("crashing", testStep(1)), nil, false)
	for range maxStartsOfCrashingTask {
		if len(h.orderedFor(h.run(), "crashing")) == 0 {
			break
		}
		h.crash(taskID("crashing", 0, 0))
		h.settleWithoutStarts()
	}
	h.store()
	h.wantState("crashing", workload.StateFailed)
	h.settle()
	h.wantState("service", workload.StateRunning)
	h.wantState("batch", workload.StateRunning)
	for _, id := range []workload.JobID{"service", "batch"} {
		for _, task := range h.s.jobs[id].steps[0].tasks {
			if len(task.attempts) != 1 || task.countCrashes(isUnexplained) > 0 {
				t.Errorf("%v has %d attempts and crashes %v", task.id(), len(task.attempts), task.crashes)
			}
		}
	}
}

// orderedFor returns the start orders for a job.
func (h *harness) orderedFor(orders []Order, id workload.JobID) []Order {
	return slices.DeleteFunc(starts(orders), func(o Order) bool { return o.Task.Job != id })
}

// Guards against giving up a task whose start was not answered: it may have arrived after the crash, and the task may never
// have run on the worker. Nor does the next owner count a start that was only intended.
func TestStartsWithoutAnswerAreNoCrashes(t *testing.T) {
	for _, outcome := range []Outcome{Unanswered, NotRun} {
		h := newStartedHarness(t, 8)
		job := testJob("job", testStep(1))
		h.s.AddJob(job, nil, false)
		for term := int64(2); term <= 6; term++ {
			orders := starts(h.plan())
			h.wantStarts(orders, 1)
			h.s.OrderAnswered(h.now, orders[0], outcome)
			h.s.PollFailed(h.now, orders[0].Worker, Grant{})
			h.store()
			h.inherit(term, job)
			h.replace(orders[0].Worker, orders[0].Worker+"'")
			h.settleWithoutStarts()
		}
		h.wantStarts(h.run(), 1)
		h.end(taskID("job", 0, 0), EndDone)
		h.reportAll()
		h.store()
		h.wantState("job", workload.StateCompleted)
	}
}

// Guards against a crashing task that goes on because the answers to its starts were lost: such crashes count beside two
// certain ones, also when those have another explanation.
func TestUnansweredStartsCountBesideCertainCrashes(t *testing.T) {
	for unanswered := range certainBriefCrashes {
		h := newStartedHarness(t, 4)
		h.s.AddJob(testJob("crashing", testStep(1)), nil, false)
		task := h.s.jobs["crashing"].steps[0].tasks[0]
		for i := range certainBriefCrashes {
			orders := starts(h.plan())
			h.wantStarts(orders, 1)
			if i == unanswered {
				h.s.OrderAnswered(h.now, orders[0], Unanswered)
				h.replace(orders[0].Worker, orders[0].Worker+"'")
			} else {
				h.accept(orders[0])
				h.s.explain(task.crashes)
				h.crash(task.id())
			}
			h.settleWithoutStarts()
		}
		h.wantState("crashing", workload.StateFailed)
	}
}

// Guards against counting a crash under an attempt that had been stopped before it: the stop was not answered.
func TestStoppedAttemptIsNotCountedAsCrashed(t *testing.T) {
	h := newHarness(t, 1)
	h.addStarted("w1")
	step := testStep(1)
	step.Service, step.MaxUnavailable = true, 1
	h.s.AddJob(testJob("service", step), nil, false)
	h.settle()
	task := h.s.jobs["service"].steps[0].tasks[0]
	h.s.stop(h.now.Boot, task.attempts[0])
	h.replace("w1", "w2")
	if task.suspect() {
		t.Errorf("crashes on record: %v", task.crashes)
	}
}

// Guards against counting a crash under a task whose lease had expired before it: a worker that is cut off stops what it runs.
func TestCrashAfterTheLeaseIsNotCounted(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		for _, c := range []struct {
			silentFor time.Duration
			counted   bool
		}{{testLease - time.Second, true}, {testLease + time.Second, false}} {
			h := newHarness(t, 1)
			h.addStarted("w1")
			job := testJob("job", testStep(1))
			h.s.AddJob(job, nil, false)
			h.wantStarts(h.run(), 1)
			h.silence(taskID("job", 0, 0))
			h.store()
			if takeover {
				h.inherit(2, job)
			}
			h.advanceClock(c.silentFor)
			address := h.workers["w1"].info.Address
			delete(h.workers, "w1")
			h.addWorker("w2", func(info *WorkerInfo) { info.Address, info.StartedMs = address, h.now.UnixMs })
			if counted := h.s.jobs["job"].steps[0].tasks[0].suspect(); counted != c.counted {
				t.Errorf("silent for %v, takeover %t: crash counted %t, want %t", c.silentFor, takeover, counted, c.counted)
			}
		}
	}
}

// Guards against counting two crashes under an attempt that ended with the first: until a poll that was sent after its start
// is answered, it stays with the worker, which may crash again (soak seed 20261639).
func TestAttemptEndsWithTheFirstCrash(t *testing.T) {
	h := newStartedHarness(t, 1)
	h.s.AddJob(testJob("job", testStep(1)), nil, false)
	h.wantStarts(h.run(), 1)
	w := h.workers["w0"]
	w.incarnation, w.running = 2, nil
	h.s.Report(h.now, "w0", Report{Incarnation: 2, SentAt: h.now.Boot}) // sent before the start was confirmed
	h.s.PollFailed(h.now, "w0", Grant{})
	h.workers["w0"].info.StartedMs = 2
	h.replace("w0", "w1")
	h.settleWithoutStarts()
	if n := len(h.s.jobs["job"].steps[0].tasks[0].crashes); n != 1 {
		t.Errorf("%d crashes on record, want 1", n)
	}
	h.wantState("job", workload.StateRunning)
}
