package schedule

import (
	"slices"
	"time"

	"fulmarcourse.example/core/workload"
)

// A task that crashes the workers that start it has to be told apart from the tasks beside it. Each of them gets the crash
// on record. A task is given up once the record points to it alone, and the crashes that this explains are removed from the
// records of the others. Crashes soon after a start point to the task more than later ones.
const (
	// briefRun is how long a task has to be listed as running for a later crash not to count as brief.
	briefRun = time.Second
	// briefCrashLimit is the number of brief crashes on record after which a task is given up if it is the only one on
	// the crashed worker with so many.
	briefCrashLimit = 2
	// certainBriefCrashes is the number of brief crashes on record after which a task is given up in any case.
	certainBriefCrashes = 3
	// crashLimit is the number of crashes on record, brief or not, after which a task is given up in any case. The
	// platform allows two starts after the third crash; one of them may crash a worker while no owner notices.
	crashLimit = 4
	// crashFreeRun is how long a task has to run for its record to be cleared, unless it has crashed after a longer run.
	crashFreeRun = 15 * time.Second
	// vanishedRetention is how long a worker that has vanished is remembered: its successor shows that it crashed.
	vanishedRetention = time.Minute
)

// expiredAttempt is an attempt whose lease has expired on a worker that did not report. Whether the worker had crashed is
// known once it reports again or another worker has its address.
type expiredAttempt struct {
	task   *task
	number int64
	ran    time.Duration // for how long it was listed as running
}

// vanishedWorker is a worker that was removed while it did not report.
type vanishedWorker struct {
	worker *worker
	at     time.Duration // when it was removed
}

// suspect reports whether a worker has crashed under the task.
func (t *task) suspect() bool { return len(t.crashes) > 0 }

// onProbation reports whether a worker has crashed soon after it had started the task. Such tasks of different
// jobs do not share a worker until they have run for briefRun, so that a further crash points to one job.
func (t *task) onProbation() bool { return t.briefCrashes() > 0 }

// briefCrashes returns the number of brief crashes on record.
func (t *task) briefCrashes() int {
	n := 0
	for _, c := range t.crashes {
		if c.RanMs < briefRun.Milliseconds() {
			n++
		}
	}
	return n
}

// onProbation reports whether the worker runs a task on probation of a job other than j.
func (w *worker) onProbation(j *job) bool {
	return slices.ContainsFunc(w.attemptList, func(a *attempt) bool {
		return a.task.step.job != j && a.task.onProbation() && a.listedFor() < briefRun
	})
}

// process returns a record of the end of the worker's current process.
func (w *worker) process() workload.Crash {
	started := w.incarnation
	if started == 0 {
		started = w.info.StartedMs
	}
	return workload.Crash{Worker: string(w.info.ID), StartedMs: started}
}

// workerCrashed records the crash of a worker's process for the tasks that it ran. survives states which attempts the
// worker's next process runs. A worker that left after it had announced it has not crashed.
func (s *Scheduler) workerCrashed(now Time, w *worker, survives func(attemptKey) bool) {
	if w.info.Draining {
		return
	}
	var tasks []*task
	record := func(t *task, ran time.Duration) {
		crash := w.process()
		crash.RanMs = ran.Milliseconds()
		if s.addCrash(t, crash) {
			tasks = append(tasks, t)
		}
	}
	for _, a := range w.attemptList {
		if a.phase == awaitingStore || a.stopConfirmedAt > 0 || survives(a.key()) {
			continue
		}
		e := a.event(EventAttemptCrashed)
		e.Value = a.listedFor().Seconds()
		s.emit(e)
		record(a.task, a.listedFor())
	}
	for _, x := range w.expired {
		record(x.task, x.ran)
	}
	for _, t := range s.inheritedOn[w.info.ID] {
		if len(t.attempts) == 0 && !survives(attemptKey{t.id(), t.lastAttempt}) {
			record(t, t.inheritedRun())
		}
	}
	s.forgetInherited(w)
	s.giveUpCrashing(now, tasks)
}

// inheritedRun returns for how long a task counts as having run under a former owner. That of a service is unknown. Of other
// tasks only the starts of suspects and the unanswered ones are stored.
func (t *task) inheritedRun() time.Duration {
	if t.step.spec.Service {
		return briefRun
	}
	return 0
}

// forgetInherited drops what is kept about the tasks of a worker in case it has crashed.
func (s *Scheduler) forgetInherited(w *worker) {
	w.expired = nil
	delete(s.inheritedOn, w.info.ID)
}

// addCrash adds a crash to the record of a task. It returns false if the task has ended or has it on record.
func (s *Scheduler) addCrash(t *task, crash workload.Crash) bool {
	if t.done || t.step.job.state.Final() || slices.ContainsFunc(t.crashes, crash.SameProcess) {
		return false
	}
	t.crashes = append(t.crashes, crash)
	s.suspects[t] = struct{}{}
	s.markDirty(t.step.job)
	return true
}

// giveUpCrashing gives up the jobs of those of the tasks of a crashed worker that are found to have crashed it.
func (s *Scheduler) giveUpCrashing(now Time, tasks []*task) {
	for t := culprit(tasks); t != nil; t = culprit(tasks) {
		crashes := t.crashes
		s.emit(Event{Kind: EventJobEnded, Job: t.step.job.rec.ID, Reason: "crashes workers", Task: t.id(),
			Attempt: t.lastAttempt, Value: float64(len(crashes))})
		s.finish(now, t.step.job, workload.StateFailed)
		s.removeExplained(crashes)
	}
}

// culprit returns the task that is to be given up after a crash, or nil. If several jobs have the same number of brief
// crashes on record, none is given up before the record of one of them is certain.
func culprit(tasks []*task) *task {
	var best *task
	tied := false
	for _, t := range tasks {
		switch {
		case t.step.job.state.Final():
		case best == nil || t.briefCrashes() > best.briefCrashes():
			best, tied = t, false
		case t.briefCrashes() == best.briefCrashes():
			tied = tied || t.step.job != best.step.job
			if len(t.crashes) > len(best.crashes) {
				best = t
			}
		}
	}
	switch {
	case best == nil:
		return nil
	case best.briefCrashes() >= certainBriefCrashes, len(best.crashes) >= crashLimit:
		return best
	case best.briefCrashes() >= briefCrashLimit && !tied:
		return best
	}
	return mostCrashes(tasks)
}

// mostCrashes returns a task with crashLimit crashes on record, or nil.
func mostCrashes(tasks []*task) *task {
	n := slices.IndexFunc(tasks, func(t *task) bool {
		return len(t.crashes) >= crashLimit && !t.step.job.state.Final()
	})
	if n < 0 {
		return nil
	}
	return tasks[n]
}

// removeExplained removes crashes from the records of all tasks once the task that caused them is known.
func (s *Scheduler) removeExplained(crashes []workload.Crash) {
	for t := range s.suspects {
		if t.step.job.state.Final() {
			delete(s.suspects, t)
			continue
		}
		before := len(t.crashes)
		t.crashes = slices.DeleteFunc(t.crashes, func(c workload.Crash) bool {
			return slices.ContainsFunc(crashes, c.SameProcess)
		})
		if len(t.crashes) < before {
			s.markDirty(t.step.job)
		}
		if len(t.crashes) == 0 {
			delete(s.suspects, t)
		}
	}
}

// clearRecord removes the crashes on record of a task whose attempt has run for long enough without one.
func (s *Scheduler) clearRecord(a *attempt) {
	ran := a.listedFor()
	if !a.task.suspect() || ran < crashFreeRun {
		return
	}
	for _, c := range a.task.crashes {
		if ran.Milliseconds() <= c.RanMs {
			return
		}
	}
	a.task.crashes = nil
	delete(s.suspects, a.task)
	s.markDirty(a.task.step.job)
}

// latestByAddress returns the listed worker of each address whose process started last. A process that has crashed comes
// back at its address under a new ID, and the platform lists both until the entry of the first one lapses.
func latestByAddress(infos []WorkerInfo) map[string]*WorkerInfo {
	latest := make(map[string]*WorkerInfo, len(infos))
	for i := range infos {
		info := &infos[i]
		if other := latest[info.Address]; other == nil || info.StartedMs > other.StartedMs {
			latest[info.Address] = info
		}
	}
	return latest
}

// supersedes reports whether a worker started later than another one at the same address, whose process has thus ended.
func (info *WorkerInfo) supersedes(other *WorkerInfo) bool {
	return info != nil && info.ID != other.ID && other.StartedMs > 0 && info.StartedMs > other.StartedMs
}

// removeSuperseded removes the workers whose process has ended because a later one has its address. What ran on them has
// ended as well, so its leases need not expire.
func (s *Scheduler) removeSuperseded(now Time, latest map[string]*WorkerInfo) {
	for _, w := range slices.Clone(s.sortedWorkers) {
		next := latest[w.info.Address]
		if !next.supersedes(&w.info) {
			continue
		}
		s.emit(Event{Kind: EventWorkerReplaced, Worker: w.info.ID, Reason: string(next.ID)})
		s.workerCrashed(now, w, noneSurvives)
		for _, a := range slices.Clone(w.attemptList) {
			s.drop(a)
		}
		s.removeWorker(w)
	}
	for id, v := range s.vanished {
		if latest[v.worker.info.Address].supersedes(&v.worker.info) {
			s.workerCrashed(now, v.worker, noneSurvives)
			delete(s.vanished, id)
		} else if now.Boot-v.at > vanishedRetention {
			delete(s.vanished, id)
		}
	}
}

func noneSurvives(attemptKey) bool { return false }

// recordInherited records on which workers a former owner may have started the tasks of a job, and which tasks are
// suspects.
func (s *Scheduler) recordInherited(j *job) {
	for _, st := range j.steps {
		for _, t := range st.tasks {
			if t.storedWorker != "" && !t.done {
				s.inheritedOn[t.storedWorker] = append(s.inheritedOn[t.storedWorker], t)
			}
			if t.suspect() {
				s.suspects[t] = struct{}{}
			}
		}
	}
}
