package schedule

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fulmarcourse.example/core/workload"
)

// restartAs ends the processes of workers and lists the next ones, which have just started at their addresses. Their IDs have a suffix.
func (h *harness) restartAs(suffix WorkerID, ids ...WorkerID) {
	addresses := make([]string, len(ids))
	for n, id := range ids {
		addresses[n] = h.workers[id].info.Address
		delete(h.workers, id)
	}
	for n, id := range ids {
		h.addWorker(id+suffix, func(info *WorkerInfo) {
			info.Address, info.StartedMs = addresses[n], h.now.UnixMs+h.workersAhead.Milliseconds()
		})
	}
}

// workerOf returns the worker that runs a task.
func (h *harness) workerOf(task workload.TaskID) WorkerID {
	h.t.Helper()
	for id, w := range h.workers {
		if slices.ContainsFunc(w.running, func(r Running) bool { return r.Task == task }) {
			return id
		}
	}
	h.t.Fatalf("%v runs on no worker", task)
	return ""
}

// Scenario: a worker is cut off soon after it has started a task, the task ends done behind the cut, and the worker crashes there
// 1.2 s later; the same happens to the next worker. Guards against a job that is shown as failed although none of its tasks has
// failed and no worker has crashed under one: nothing tells whether they ran until the crash (review of issue 30, case 1).
func TestTaskThatEndsBehindCutsIsNotGivenUp(t *testing.T) {
	playTaskThatEndsBehindCuts(t, 0)
}

// Guards against the same where the wall clocks of the workers are behind that of the owner: the start that the next process states lies before
// the last answer of the former one, which is taken for a proof that the task ran until the crash (issue 52).
func TestTaskThatEndsBehindCutsIsNotGivenUpBesideClocksThatAreBehind(t *testing.T) {
	playTaskThatEndsBehindCuts(t, -5*time.Second)
}

func playTaskThatEndsBehindCuts(t *testing.T, workersAhead time.Duration) {
	t.Helper()
	for _, takeover := range []bool{false, true} {
		h := newStartedHarness(t, 8)
		h.workersAhead = workersAhead
		job := testJob("job", testStep(1))
		task := taskID("job", 0, 0)
		h.s.AddJob(job, nil, false)
		for n := range int64(2) {
			h.wantStarts(h.run(), 1)
			id := h.workerOf(task)
			h.s.PollFailed(h.now, id, Grant{})
			h.store()
			if takeover {
				h.inherit(2+n, job)
			}
			h.advanceClock(1200 * time.Millisecond)
			h.end(task, EndDone)
			h.restartAs("'", id)
			h.settleWithoutStarts()
			h.wantState("job", workload.StateRunning)
		}
		h.wantStarts(h.run(), 1)
		h.end(task, EndDone)
		h.reportAll()
		h.store()
		h.wantState("job", workload.StateCompleted)
	}
}

// Scenario: a poll fails without a sign that the process has ended, the task ends done meanwhile, and then the worker crashes and is back at
// once; the same happens to the next worker. Guards against a job that is shown as failed because each next process started soon after
// the last answer: the worker was silent before that process had started, so its last answers may have been lost (issue 47).
func TestTaskThatEndsInSilenceBeforeAQuickRestartIsNotGivenUp(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		for _, sameID := range []bool{false, true} {
			h := newStartedHarness(t, 8)
			job := testJob("job", testStep(1))
			task := taskID("job", 0, 0)
			h.s.AddJob(job, nil, false)
			for n := range int64(2) {
				h.wantStarts(h.run(), 1)
				id := h.workerOf(task)
				h.advanceClock(100 * time.Millisecond)
				h.s.PollFailed(h.now, id, Grant{})
				h.store()
				if takeover {
					h.inherit(2+n, job)
				}
				h.advanceClock(200 * time.Millisecond)
				h.end(task, EndDone)
				if sameID {
					h.restart(id)
					h.workers[id].incarnation, h.workers[id].info.StartedMs = h.now.UnixMs, h.now.UnixMs
					h.listWorkers()
				} else {
					h.restartAs("'", id)
				}
				h.settleWithoutStarts()
				h.wantState("job", workload.StateRunning)
			}
			for _, c := range h.s.task(task).crashes {
				if !c.Uncertain {
					t.Errorf("takeover %t, same ID %t: a certain crash is on record: %+v", takeover, sameID, c)
				}
			}
		}
	}
}

// Guards against the same while the owner notices the silence, or the loss of the reports of a relay, only after the next process has
// started: the reports that it lacks may list the end of the task.
func TestTaskThatEndsBeforeANoticedLossIsNoCertainCrash(t *testing.T) {
	for name, notice := range map[string]func(*harness, WorkerID){
		"failed poll":   func(h *harness, id WorkerID) { h.s.PollFailed(h.now, id, Grant{}) },
		"lost reports":  func(h *harness, id WorkerID) { h.s.ReportsLost(id) },
		"another relay": func(h *harness, id WorkerID) { h.s.PollerLost(id, Grant{At: h.now.Boot}) },
	} {
		h := newStartedHarness(t, 4)
		h.s.AddJob(testJob("job", testStep(1)), nil, false)
		task := taskID("job", 0, 0)
		h.wantStarts(h.run(), 1)
		id := h.workerOf(task)
		h.advanceClock(200 * time.Millisecond)
		h.end(task, EndDone)
		restartedMs := h.now.UnixMs
		h.advanceClock(100 * time.Millisecond)
		h.s.Plan(h.now)
		notice(h, id)
		h.advanceClock(time.Second)
		h.restart(id)
		h.workers[id].incarnation, h.workers[id].info.StartedMs = restartedMs, restartedMs
		h.listWorkers()
		if crashes := h.s.task(task).crashes; len(crashes) != 1 || !crashes[0].Uncertain {
			t.Errorf("%s: crashes on record: %+v, want an uncertain one", name, crashes)
		}
	}
}

// Scenario: an owner that is behind has not applied the last results of a worker, or never gets them, when the next process answers under
// its ID or another one at its address. Guards against a crash that counts as certain although those results may list the end of the task
// (issue 47, seeds 402993 and 502935).
func TestNextProcessWithoutAFailedPollIsNoCertainCrash(t *testing.T) {
	for _, sameID := range []bool{false, true} {
		h := newStartedHarness(t, 4)
		h.s.AddJob(testJob("job", testStep(1)), nil, false)
		task := taskID("job", 0, 0)
		h.wantStarts(h.run(), 1)
		id := h.workerOf(task)
		h.advanceClock(200 * time.Millisecond)
		h.end(task, EndDone)
		if sameID {
			h.restart(id)
			h.workers[id].incarnation, h.workers[id].info.StartedMs = h.now.UnixMs, h.now.UnixMs
			h.listWorkers()
		} else {
			h.restartAs("'", id)
		}
		if crashes := h.s.task(task).crashes; len(crashes) != 1 || !crashes[0].Uncertain {
			t.Errorf("same ID %t: crashes on record: %+v, want an uncertain one", sameID, crashes)
		}
	}
}

// breakConnection makes the poll of a worker fail because the connection broke soon after its last answer.
func (h *harness) breakConnection(id WorkerID) {
	h.s.ConnectionBroken(h.now, id)
	h.s.PollFailed(h.now, id, Grant{})
}

// backAfter is how long a worker that has crashed is away.
const backAfter = 3 * time.Second

// Scenario: a task crashes each worker right after it has accepted the task. Connections break at once, and the worker is back as another
// process 3 s later, in some of the cases under a new owner, or with a wall clock that is ahead of the owner's. Guards against a crashing task
// that is taken for one that may have ended, or whose lease may have expired, before the crash, and takes more workers than the platform
// allows.
func TestTaskThatBreaksConnectionsIsGivenUp(t *testing.T) {
	for _, c := range []struct {
		takeover, service bool
		workersAhead      time.Duration
	}{
		{}, {takeover: true}, {service: true}, {takeover: true, service: true},
		{workersAhead: time.Hour}, {takeover: true, workersAhead: time.Hour},
	} {
		h := newStartedHarness(t, 8)
		h.workersAhead = c.workersAhead
		step := testStep(1)
		step.Service = c.service
		job := testJob("crashing", step)
		task := taskID("crashing", 0, 0)
		h.s.AddJob(job, nil, false)
		total := 0
		for term := int64(2); total < maxStartsOfCrashingTask; term++ {
			ordered := len(starts(h.run()))
			if total += ordered; ordered == 0 {
				break
			}
			id := h.workerOf(task)
			h.breakConnection(id)
			h.store()
			if c.takeover {
				h.inherit(term, job)
			}
			h.advanceClock(backAfter)
			h.restartAs("'", id)
			h.settleWithoutStarts()
		}
		h.wantState("crashing", workload.StateFailed)
		if total > briefCrashLimit {
			t.Errorf("%+v: %d starts of a task alone on its workers, want %d", c, total, briefCrashLimit)
		}
	}
}

// Guards against a task that crashes its workers in such a way that none of the crashes is certain, and takes one after another: the
// platform allows five starts. Its job is not shown as failed: all that is known could as well happen to a task that ends.
func TestStartsAreBoundedWhileCrashesAreUncertain(t *testing.T) {
	const day = time.Minute
	for _, service := range []bool{false, true} {
		h := newStartedHarness(t, 16)
		step := testStep(1)
		step.Service = service
		h.s.AddJob(testJob("job", step), nil, false)
		task := taskID("job", 0, 0)
		total := 0
		for end := h.now.Boot + day; h.now.Boot < end; {
			if ordered := starts(h.run()); len(ordered) > 0 {
				total += len(ordered)
				id := h.workerOf(task)
				h.s.PollFailed(h.now, id, Grant{})
				h.store()
				h.advanceClock(backAfter)
				h.restartAs("'", id)
			}
			h.advanceClock(100 * time.Millisecond)
			h.reportAll()
		}
		h.store()
		h.wantState("job", workload.StateRunning)
		if total < briefCrashLimit || total > maxStartsOfCrashingTask {
			t.Errorf("service %t: %d starts within %v, want %d to %d", service, total, day, briefCrashLimit, maxStartsOfCrashingTask)
		}
	}
}

// Guards against a back-off that begins anew without end or is forgotten when the owner changes: a task that crashes its workers and cannot
// be observed would take more of them with each owner.
func TestBackOffOfLoneCrashesHoldsOverOwners(t *testing.T) {
	h := newStartedHarness(t, 4)
	job := testJob("job", testStep(1))
	h.s.AddJob(job, nil, false)
	record := h.s.task(taskID("job", 0, 0))
	for n := range maxStartsOfCrashingTask {
		h.s.addCrash(record, workload.Crash{Worker: "gone", StartedMs: int64(n), Uncertain: true, Lone: true})
	}
	h.store()
	h.inherit(2, job)
	h.listWorkers()
	h.wantStartAfter(loneBackOff, "w0")
}

// Scenario: the connections to a share of the workers are reset at the same time, the tasks on them end done behind the cut, and the
// workers crash there later; twice. Guards against a job that is shown as failed for it: a cause that many connections share is no task.
// A later owner, which has not seen the breaks, must not count them either.
func TestConnectionsThatBreakTogetherProveNoCrash(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		h := newStartedHarness(t, 2*commonBreaks)
		job := testJob("job", testStep(1))
		task := taskID("job", 0, 0)
		h.s.AddJob(job, nil, false)
		for n := range int64(2) {
			h.wantStarts(h.run(), 1)
			id := h.workerOf(task)
			h.breakConnection(id) // the first of the breaks: nothing tells it from the crash of one worker yet
			cut := []WorkerID{id}
			for _, other := range h.workerIDs() {
				if other != id && len(cut) <= commonBreaks {
					h.breakConnection(other)
					cut = append(cut, other)
				}
			}
			h.store()
			if takeover {
				h.inherit(2+n, job)
			}
			h.advanceClock(1200 * time.Millisecond)
			h.end(task, EndDone)
			h.restartAs("'", cut...)
			h.settleWithoutStarts()
			h.wantState("job", workload.StateRunning)
		}
	}
}

// Guards against taking a worker whose connection breaks after other signs of silence for one that has crashed at that time: the owner
// does not know when it has last answered, nor what its answers said.
func TestBreakAfterSilenceProvesNoCrash(t *testing.T) {
	for name, before := range map[string]func(*harness, WorkerID){
		"no answer":            func(h *harness, id WorkerID) { h.s.PollFailed(h.now, id, Grant{}) },
		"lost reports":         func(h *harness, id WorkerID) { h.s.ReportsLost(id) },
		"another relay":        func(h *harness, id WorkerID) { h.s.PollerLost(id, Grant{At: h.now.Boot}) },
		"answered after break": func(h *harness, id WorkerID) { h.breakConnection(id); h.report(id); h.s.PollFailed(h.now, id, Grant{}) },
	} {
		h := newStartedHarness(t, 4)
		h.s.AddJob(testJob("job", testStep(1)), nil, false)
		task := taskID("job", 0, 0)
		h.wantStarts(h.run(), 1)
		id := h.workerOf(task)
		before(h, id)
		h.breakConnection(id)
		h.advanceClock(1200 * time.Millisecond)
		h.restartAs("'", id)
		if crashes := h.s.task(task).crashes; len(crashes) != 1 || !crashes[0].Uncertain {
			t.Errorf("%s: crashes on record: %+v, want an uncertain one", name, crashes)
		}
	}
}

// Guards against a crash of a task on probation that is noticed too late to be certain.
func TestWorkerOfATaskOnProbationIsWatched(t *testing.T) {
	h := newStartedHarness(t, 4)
	h.s.AddJob(testJob("crashing", testStep(1)), nil, false)
	h.wantStarts(h.run(), 1)
	task := taskID("crashing", 0, 0)
	if id := h.workerOf(task); h.s.OnProbation(id) {
		t.Error("a worker is on probation whose task has no crash on record")
	}
	h.crash(task)
	h.settleWithoutStarts()
	h.wantStarts(h.run(), 1)
	id := h.workerOf(task)
	if !h.s.OnProbation(id) {
		t.Error("the worker of a task under which another has just crashed is not on probation")
	}
	h.advanceClock(briefRun)
	h.report(id)
	if h.s.OnProbation(id) {
		t.Error("the worker is still on probation after the task has run for long enough")
	}
}

// Scenario: an owner that has just taken over starts many tasks at the same time that each crash their worker. Guards against taking that
// for a cause which the workers share: none of the tasks would be given up, and each would take worker after worker.
func TestTasksThatCrashTheirWorkersTogetherAreGivenUp(t *testing.T) {
	const jobs = 2 * commonBreaks
	h := newStartedHarness(t, 2*jobs)
	step := testStep(1)
	step.Size.MilliCPU = 16000 // one on each worker
	for n := range jobs {
		h.s.AddJob(testJob(workload.JobID(fmt.Sprint("crashing", n)), step), nil, false)
	}
	for range briefCrashLimit {
		orders := starts(h.run())
		h.wantStarts(orders, jobs)
		h.advanceClock(10 * time.Millisecond)
		var crashed []WorkerID
		for _, o := range orders {
			h.breakConnection(o.Worker)
			crashed = append(crashed, o.Worker)
		}
		h.advanceClock(backAfter)
		h.restartAs("'", crashed...)
		h.settleWithoutStarts()
	}
	for n := range jobs {
		h.wantState(workload.JobID(fmt.Sprint("crashing", n)), workload.StateFailed)
	}
}

// Guards against an owner that takes back what a former one has seen: the connection broke under the former owner, and breaks of other
// workers since say nothing about it.
func TestBreakSeenByAFormerOwnerIsKept(t *testing.T) {
	h := newStartedHarness(t, 8)
	job := testJob("crashing", testStep(1))
	task := taskID("crashing", 0, 0)
	h.s.AddJob(job, nil, false)
	h.wantStarts(h.run(), 1)
	crashed := h.workerOf(task)
	h.breakConnection(crashed)
	h.store()
	h.inherit(2, job)
	h.list()
	for _, id := range h.workerIDs() {
		if id != crashed {
			h.report(id)
			h.breakConnection(id)
		}
	}
	h.advanceClock(backAfter)
	h.restartAs("'", crashed)
	if crashes := h.s.task(task).crashes; len(crashes) != 1 || crashes[0].Uncertain {
		t.Errorf("crashes on record: %+v, want a certain one", crashes)
	}
}

// Scenario: a worker starts again under its ID, and its next process accepts a start before the owner, which is behind, has applied the
// first report of that process. Guards against counting the crash of the former process under a task that never ran there.
func TestStartThatTheNextProcessHasAcceptedIsNoCertainCrash(t *testing.T) {
	h := newStartedHarness(t, 1)
	h.advanceClock(time.Second)
	h.restart("w0")
	first := Report{Incarnation: h.now.UnixMs, SentAt: h.now.Boot}
	h.advanceClock(MaxUnobserved / 2)
	h.s.AddJob(testJob("job", testStep(1)), nil, false)
	h.wantStarts(h.run(), 1)
	h.advanceClock(time.Second)
	h.s.Report(h.now, "w0", first)
	for _, c := range h.s.task(taskID("job", 0, 0)).crashes {
		if !c.Uncertain {
			t.Errorf("a certain crash is on record: %+v", c)
		}
	}
}

// Scenario: the owner has a running attempt stopped, and the worker accepts that and crashes before its next answer. Guards against a
// crash that counts as certain under a task which has been stopped before, in this owner's record and in that of a later one (issue 47).
func TestStoppedAttemptIsNoCertainCrash(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		h := newStartedHarness(t, 4)
		job := testJob("job", testStep(1))
		task := taskID("job", 0, 0)
		h.s.AddJob(job, nil, false)
		h.wantStarts(h.run(), 1)
		id := h.workerOf(task)
		h.s.PollFailed(h.now, id, Grant{}) // nothing shows at first whether the stop arrives
		h.s.stop(h.now.Boot, h.s.task(task).attempts[0])
		orders := ofKind(h.s.TakeOrders(), OrderStop)
		h.report(id)
		for _, o := range orders {
			h.accept(o)
		}
		h.breakConnection(id)
		h.store()
		if takeover {
			h.inherit(2, job)
		}
		h.advanceClock(backAfter)
		h.restartAs("'", id)
		if crashes := h.s.task(task).crashes; len(orders) != 1 || len(crashes) != 1 || !crashes[0].Uncertain {
			t.Errorf("takeover %t: %d stops, crashes on record: %+v, want one stop and an uncertain crash", takeover, len(orders), crashes)
		}
	}
}

// Scenario: a worker has started again, and its next process runs a task and is silent for a moment. The owner is lost while the store
// names the former process, whose crash it has not stored, and the silence. Guards against counting the crash of the former process under
// a task that has run on the next one only (issue 47, seed 500186).
func TestSilenceOfTheNextProcessIsNoCrashOfTheFormer(t *testing.T) {
	h := newStartedHarness(t, 1)
	known, _ := h.s.KnownWorkers()
	h.advanceClock(time.Second)
	h.restart("w0")
	h.workers["w0"].incarnation, h.workers["w0"].info.StartedMs = h.now.UnixMs, h.now.UnixMs
	h.listWorkers()
	job := testJob("job", testStep(1))
	task := taskID("job", 0, 0)
	h.s.AddJob(job, nil, false)
	h.advanceClock(maxProbation)
	h.reportAll()
	h.wantStarts(h.run(), 1)
	h.s.PollFailed(h.now, "w0", Grant{})
	stored := h.s.task(task).step.job.progress()
	h.workers["w0"].running = nil // stopped since, and no longer listed
	h.newTerm(2)
	h.s.InheritWorkers(h.now, known)
	h.s.AddJob(job, &stored, true)
	silences := len(h.s.task(task).silentOn)
	h.listWorkers()
	if crashes := h.s.task(task).crashes; silences != 1 || len(crashes) > 0 {
		t.Errorf("%d silent workers and crashes on record: %+v, want one worker and no crash", silences, crashes)
	}
}
