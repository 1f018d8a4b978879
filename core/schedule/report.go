package schedule

import (
	"slices"
	"time"

	"fulmarcourse.example/core/workload"
)

// Running is one attempt that a worker runs.
type Running struct {
	Task       workload.TaskID
	Attempt    int64
	Checkpoint string
	Percent    float64 // progress; for service tasks the share of full speed at which they run
	Metric     float64 // tail latency in ms for a service task, thousandths of a core in use for any other; 0 if unknown
}

// EndKind is how an attempt ended on its worker.
type EndKind string

// Ends of attempts.
const (
	EndDone           EndKind = "done"
	EndFailed         EndKind = "failed"  // through a fault of the task or of the worker
	EndStopped        EndKind = "stopped" // by a stop order
	EndExpired        EndKind = "expired" // its task lease expired
	EndGangBroken     EndKind = "broken"  // another member of the gang ended
	EndGangIncomplete EndKind = "alone"   // the other members of the gang did not start
)

// Ended is one attempt that has ended on a worker.
type Ended struct {
	Number     int64 // increases by one with each end of a worker incarnation
	Task       workload.TaskID
	Attempt    int64
	Kind       EndKind
	Checkpoint string
}

// Report is a worker's response to a poll.
type Report struct {
	Incarnation int64         // start of the worker process, Unix milliseconds, or see NextIncarnation; 0 when not reported
	Address     string        // where the worker has answered; empty if the relay does not tell
	SentAt      time.Duration // when the poll was sent, boot clock of the owner
	Fence       int64         // fencing token of the poll; 0 if the relay does not tell
	ReceivedAt  time.Duration // when the report was received from the worker, boot clock of the owner; for measurements only
	Running     []Running
	Ended       []Ended
}

// lists reports whether the report lists an attempt as running or ended.
func (r Report) lists(key attemptKey) bool {
	return slices.ContainsFunc(r.Running, func(row Running) bool { return row.Task == key.task && row.Attempt == key.number }) ||
		slices.ContainsFunc(r.Ended, func(end Ended) bool { return end.Task == key.task && end.Attempt == key.number })
}

// ListsAllEnds reports whether a report lists every end that has not been acknowledged. One with as many ends as it can hold may leave out
// others, which have higher numbers. The worker lists them once these are acknowledged.
func (s *Scheduler) ListsAllEnds(report Report) bool {
	return s.cfg.EndsPerReport == 0 || len(report.Ended) < s.cfg.EndsPerReport
}

// Report applies a worker's report of what it runs and what has ended there. It returns the number of the latest end
// that was applied of the process that the report is of, which may be acknowledged once the progress is stored.
func (s *Scheduler) Report(now Time, id WorkerID, report Report) (lastEnd int64) {
	s.calledAt = now.Boot
	w, known := s.workers[id]
	if !known {
		return 0
	}
	if report.SentAt < w.polledAt {
		return s.ignoreOvertaken(w, report)
	}
	s.recordProcess(now, w, report)
	s.recordReport(now.Boot, w, report)
	s.recordListed(w, report)
	s.recordFenced(now.Boot, w, report)
	s.applyRunning(now, w, report)
	s.applyEnded(now, w, report)
	if s.ListsAllEnds(report) {
		s.resolveAbsent(now, w, report)
	} else {
		w.recordUnlistedEnds(report)
	}
	s.updateSlowness(now.Boot, w)
	s.guardServices(now, w)
	if s.contested[w.place()] {
		s.removeSuperseded(now, s.latestByPlace())
	}
	return w.lastEnd
}

// recordReport records that a worker has answered a poll, and what that says about it whatever its report lists.
func (s *Scheduler) recordReport(now time.Duration, w *worker, report Report) {
	w.polledAt = report.SentAt
	w.recordAnswered(now)
	w.reportedAt = now
	w.reports++
	s.reviewEntry(now, w)
	s.recordExtended(w)
	w.suspect = false
	w.silence, w.brokenAt = answering, 0
	s.index.markChanged(w)
	s.forgetSilent(w)
	s.setAnswers(w, true)
	s.recordAddress(w, report.Address)
}

// recordListed records whether all attempts of former owners on a worker are known with its report. One that is neither running nor among
// the ends of a report that leaves out others may have ended as well, so its task must not start until the worker has listed the rest. Nothing
// starts on the worker meanwhile, so that no new ends follow and a few reports suffice.
func (s *Scheduler) recordListed(w *worker, report Report) {
	w.listedAllEnds = s.ListsAllEnds(report)
	if w.listedAllEnds {
		s.stopAwaiting(w)
		return
	}
	if s.awaitingReport[w.info.ID] && !w.endsAwaited {
		w.endsAwaited = true
		s.emit(Event{Kind: EventEndsAwaited, Worker: w.info.ID, Value: float64(len(report.Ended))})
	}
}

// ignoreOvertaken handles a report whose poll was sent before that of the last report that was applied. The next report lists again what
// this one lists. It returns the number of the latest end of its process that was applied.
func (s *Scheduler) ignoreOvertaken(w *worker, report Report) (lastEnd int64) {
	s.recordExtended(w)
	if s.mayListUnappliedEnd(w, report) {
		w.becomeUnclear()
	}
	if w.incarnation != report.Incarnation {
		return 0 // the processes number their ends independently
	}
	return w.lastEnd
}

// mayListUnappliedEnd reports whether a report that is not applied may list an end that has not been applied. No other report lists it if the
// worker crashes now.
func (s *Scheduler) mayListUnappliedEnd(w *worker, report Report) bool {
	if w.incarnation != report.Incarnation || !s.ListsAllEnds(report) {
		return true
	}
	return slices.ContainsFunc(report.Ended, func(end Ended) bool { return end.Number > w.lastEnd && !w.appliedEnds[end.listed()] })
}

// recordProcess records which process of a worker has reported.
func (s *Scheduler) recordProcess(now Time, w *worker, report Report) {
	switch {
	case w.incarnation != report.Incarnation:
		if w.incarnation != 0 || s.mayReplaceFormer(now.Boot, w, report.Incarnation) {
			s.recordFormerCalls(now.Boot, w, report)
		}
		if w.incarnation != 0 && !countsFewer(report.Incarnation, w.incarnation) {
			s.emit(Event{Kind: EventWorkerRestarted, Worker: w.info.ID})
			s.workerCrashed(now, w, startAfter(w.incarnation, report.Incarnation), report.SentAt, report.lists)
			s.recordGap(now.Boot, w)
			w.health, w.slowness = health{}, slowness{}
			w.stability.recordLoss(now.Boot)
			s.knownWorkersChanged = true
		}
		w.incarnation = report.Incarnation
	case w.endsRenumbered(report.Ended):
		s.emit(Event{Kind: EventWorkerRestarted, Worker: w.info.ID, Reason: "numbers of ends"})
		s.recordFormerCalls(now.Boot, w, report)
	default:
		return
	}
	w.lastEnd, w.appliedEnds = 0, nil
}

// applyRunning applies the list of running attempts.
func (s *Scheduler) applyRunning(now Time, w *worker, report Report) {
	for _, row := range report.Running {
		key := attemptKey{row.Task, row.Attempt}
		a := w.attempts[key]
		if a == nil {
			a = s.adopt(now, w, row)
		}
		if a == nil {
			s.stopOrphan(now.Boot, w, key)
			continue
		}
		s.confirm(now.Boot, a)
		a.listedAt, a.listedIn = now.Boot, w.reports
		if a.phase == starting || a.phase == unanswered {
			a.phase = running
		}
		s.clearRecord(a)
		if a.percent != row.Percent {
			a.percentChangedAt = now.Boot
		}
		a.percent = row.Percent
		a.metric = row.Metric
		if row.Checkpoint != "" {
			a.task.checkpoint = row.Checkpoint
		}
	}
}

// adopt takes over an attempt that this scheduler has not started. It returns nil if the attempt has to be stopped.
func (s *Scheduler) adopt(now Time, w *worker, row Running) *attempt {
	t := s.task(row.Task)
	if t == nil || t.done || len(t.attempts) > 0 || t.step.job.state.Final() {
		return nil
	}
	a := &attempt{task: t, number: row.Attempt, worker: w, phase: running, startedAt: now.Boot,
		share: fullShare, confirmedShare: fullShare, resumed: true}
	s.attach(a)
	s.emit(a.event(EventAttemptAdopted))
	return a
}

// attach links an attempt to its task and worker.
func (s *Scheduler) attach(a *attempt) {
	t := a.task
	if t.pending() {
		t.step.pending--
	}
	t.attempts = append(t.attempts, a)
	t.lastAttempt = max(t.lastAttempt, a.number)
	t.step.job.attempts++
	a.worker.add(a)
}

// stopOrphan stops an attempt that runs although the scheduler has no use for it.
func (s *Scheduler) stopOrphan(now time.Duration, w *worker, key attemptKey) {
	orphaned, known := w.orphans[key]
	if !known {
		reserved := w.info.Capacity // of a job that ended under a former owner the size is not kept
		if t := s.task(key.task); t != nil {
			reserved = t.step.spec.Reserved()
		}
		w.addOrphan(key, reserved)
		orphaned = w.orphans[key]
		s.emit(Event{Kind: EventAttemptOrphaned, Worker: w.info.ID, Task: key.task, Attempt: key.number})
	}
	orphaned.listedIn = w.reports
	if known && now-orphaned.stopSentAt < resendAfter {
		return
	}
	orphaned.stopSentAt = now
	s.orders = append(s.orders, Order{
		Kind: OrderStop, Worker: w.info.ID, Address: w.address(), Task: key.task, Attempt: key.number,
	})
}

// applyEnded applies the ends that are new. The order in which a worker lists them is not defined, but a report that leaves out ends leaves
// out the latest ones: an acknowledgement is for all ends up to a number, so those below it must have been listed.
func (s *Scheduler) applyEnded(now Time, w *worker, report Report) {
	applied := w.lastEnd
	w.recordListedEnds(report.Ended)
	for _, end := range report.Ended {
		if end.Number <= applied {
			continue
		}
		w.lastEnd = max(w.lastEnd, end.Number)
		if w.appliedEnds[end.listed()] {
			continue
		}
		w.removeOrphan(attemptKey{end.Task, end.Attempt})
		s.applyEnd(now, w, end, now.Boot-report.ReceivedAt)
	}
}

// applyEnd applies one end, of which a report of the given age tells. Ends that a former owner has already stored are
// recognised by their attempt number.
func (s *Scheduler) applyEnd(now Time, w *worker, end Ended, age time.Duration) {
	t := s.task(end.Task)
	if t == nil {
		return
	}
	a := w.attempts[attemptKey{end.Task, end.Attempt}]
	s.emit(Event{Kind: EventTaskEnded, Worker: w.info.ID, Task: end.Task, Attempt: end.Attempt, Reason: string(end.Kind), Age: age})
	t.lastAttempt = max(t.lastAttempt, end.Attempt)
	if end.Checkpoint != "" && (a != nil || len(t.attempts) == 0) && t.checkpoint != end.Checkpoint {
		t.checkpoint = end.Checkpoint
		s.markDirty(t.step.job)
	}
	if a != nil {
		if end.Kind == EndDone {
			a.recordFinalRate(now.Boot)
		}
		s.drop(a) // before taskDone and taskFailed, so that only other attempts of the task are stopped
	}
	switch end.Kind {
	case EndDone:
		s.taskDone(now, w, t)
	case EndFailed:
		s.taskFailed(now, w, t, end.Attempt, t.mayHaveRunLong(now.Boot, a))
	}
}

func (s *Scheduler) taskDone(now Time, w *worker, t *task) {
	w.health.recordSuccess()
	st := t.step
	if t.done || st.spec.Service {
		return
	}
	if t.pending() {
		st.pending--
	}
	t.done = true
	t.checkpoint = ""
	delete(s.suspects, t)
	st.unfinished--
	s.markDirty(st.job)
	for _, a := range t.attempts {
		s.stop(now.Boot, a)
	}
	if st.unfinished == 0 {
		s.stepDone(now, st)
	}
}

func (s *Scheduler) stepDone(now Time, st *step) {
	delete(s.openSteps, st)
	j := st.job
	j.unfinishedSteps--
	for _, next := range st.dependents {
		next.unmetDeps--
		s.openStep(next)
	}
	if j.unfinishedSteps == 0 && !j.state.Final() {
		s.finish(now, j, workload.StateCompleted)
		s.emit(Event{Kind: EventJobEnded, Job: j.rec.ID, Reason: string(j.state)})
	}
}

// mayHaveRunLong reports whether the task is of a service and its failed attempt a may have run for so long that the failure need not be
// the worker's. Nothing tells how long it ran if another owner started it, before the first report or after it: a is nil or was adopted.
func (t *task) mayHaveRunLong(now time.Duration, a *attempt) bool {
	if !t.step.spec.Service {
		return false
	}
	startedHere := a != nil && a.orderedAt > 0
	return !startedHere || a.confirmedAt > 0 && now-a.confirmedAt >= restartOverdueAfter
}

// taskFailed records that an attempt of a task has failed on a worker. Services fail at any time and never succeed, so that their
// failures on a sound worker would add up: only those of attempts that certainly did not run long count against it.
func (s *Scheduler) taskFailed(now Time, w *worker, t *task, number int64, mayHaveRunLong bool) {
	// After a takeover the ends reported by several workers arrive in any order, and some are already stored.
	if slices.Contains(t.failed, number) {
		return
	}
	j := t.step.job
	if !t.step.spec.Service {
		t.failed = append(t.failed, number)
		w.health.tasksFailed = true
		s.markDirty(j)
	}
	t.recordFailedOn(now.Boot, w.info.ID)
	if !mayHaveRunLong && w.health.recordFailure(now.Boot, j.rec.ID) {
		s.emit(Event{Kind: EventWorkerInBackOff, Worker: w.info.ID, Value: w.health.until.Seconds()})
	}
	limit := j.rec.Queue.MaxFailures
	if limit == 0 || len(t.failed) < limit || j.state.Final() {
		return
	}
	s.finish(now, j, workload.StateFailed)
	s.emit(Event{Kind: EventJobEnded, Job: j.rec.ID, Reason: string(j.state), Task: t.id(), Attempt: number,
		Value: float64(len(t.failed))})
}

// recordUnlistedEnds records which attempts have ended although a report that leaves out ends does not list them: it lists all that run.
// Should the worker crash before it lists their ends, it has not crashed while it ran them.
func (w *worker) recordUnlistedEnds(report Report) {
	for _, a := range w.attemptList {
		if a.listedIn != w.reports && a.confirmedAt > 0 && a.confirmedAt < report.SentAt {
			a.endUnlisted = true
		}
	}
}

// resolveAbsent handles the attempts that the worker neither runs nor lists as ended. A report proves the absence only
// of attempts whose start or stop was confirmed before the poll was sent; these are removed. Other attempts that
// have to be stopped or whose start is unanswered get a stop order.
func (s *Scheduler) resolveAbsent(now Time, w *worker, report Report) {
	for key, orphaned := range w.orphans {
		if orphaned.listedIn != w.reports && orphaned.stopSentAt < report.SentAt {
			w.removeOrphan(key)
		}
	}
	for _, a := range slices.Clone(w.attemptList) {
		if a.listedIn == w.reports {
			if a.phase == stopping {
				s.stop(now.Boot, a)
			}
			continue
		}
		switch {
		case a.confirmedAt > 0 && a.confirmedAt < report.SentAt, a.stopConfirmedAt > 0 && a.stopConfirmedAt < report.SentAt:
			s.emit(a.event(EventAttemptLost))
			s.drop(a)
		case a.phase == unanswered, a.phase == stopping:
			s.stop(now.Boot, a)
		}
	}
}

// task returns a task, or nil if it does not exist.
func (s *Scheduler) task(id workload.TaskID) *task {
	j, known := s.jobs[id.Job]
	if !known {
		return nil
	}
	st := j.step(id.Occurrence, id.Step)
	if st == nil || id.Index < 0 || id.Index >= len(st.tasks) {
		return nil
	}
	return st.tasks[id.Index]
}
