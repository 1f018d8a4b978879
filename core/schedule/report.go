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
	Percent    float64 // progress; for service tasks the share of speed at which they work
	Metric     float64 // tail latency in ms of a service task, thousandths of a core in use of any other; 0 if unknown
}

// EndKind is how an attempt ended on its worker.
type EndKind string

// Ends of attempts.
const (
	EndDone           EndKind = "done"
	EndFailed         EndKind = "failed"  // through its own fault or the worker's
	EndStopped        EndKind = "stopped" // by an order
	EndExpired        EndKind = "expired" // the task lease expired
	EndGangBroken     EndKind = "broken"  // another member of the gang ended
	EndGangIncomplete EndKind = "alone"   // the other members of the gang did not come
)

// Ended is one attempt that has ended on a worker.
type Ended struct {
	Number     int64 // rises by one with each end of one worker incarnation
	Task       workload.TaskID
	Attempt    int64
	Kind       EndKind
	Checkpoint string
}

// Report is a worker's answer to a look at it.
type Report struct {
	Incarnation int64         // start of the worker process, Unix milliseconds; 0 when it did not say
	SentAt      time.Duration // when the request was sent, boot clock of the owner
	Running     []Running
	Ended       []Ended
}

// Report takes in what a worker runs and what has ended there. It returns the number of the newest end, which may be
// acknowledged once the progress is stored.
func (s *Scheduler) Report(now Time, id WorkerID, report Report) (seen int64) {
	w, known := s.workers[id]
	if !known {
		return 0
	}
	if report.SentAt < w.lookedAt {
		return w.seen // two looks overtook each other; what this one lists is listed again
	}
	if w.incarnation != report.Incarnation {
		if w.incarnation != 0 {
			s.note(Event{Kind: EventWorkerRestarted, Worker: id})
			w.health, w.slowness = health{}, slowness{}
			w.stability.lost(now.Boot)
		}
		w.incarnation = report.Incarnation
		w.seen = 0
	}
	w.lookedAt = report.SentAt
	w.reportedAt = now.Boot
	w.extending = true
	w.doubtful = false
	delete(s.askFirst, id)
	listed := s.takeRunning(now, w, report)
	s.takeEnded(now, w, report)
	if len(report.Ended) < maxEndedPerReport {
		s.takeAbsent(now, w, report, listed)
	}
	s.watchSpeed(now.Boot, w)
	s.guardServices(now, w)
	return w.seen
}

// takeRunning takes in the attempts that run and returns their keys.
func (s *Scheduler) takeRunning(now Time, w *worker, report Report) map[attemptKey]bool {
	listed := make(map[attemptKey]bool, len(report.Running))
	for _, row := range report.Running {
		key := attemptKey{row.Task, row.Attempt}
		listed[key] = true
		a := w.attempts[key]
		if a == nil {
			a = s.adopt(now, w, row)
		}
		if a == nil {
			s.stopStray(now.Boot, w, key)
			continue
		}
		s.confirm(now.Boot, a)
		if a.phase == starting || a.phase == unanswered {
			a.phase = running
		}
		if a.percent != row.Percent {
			a.percentAt = now.Boot
		}
		a.percent = row.Percent
		a.figure = row.Metric
		if row.Checkpoint != "" {
			a.task.checkpoint = row.Checkpoint
		}
	}
	return listed
}

// adopt takes over an attempt that this scheduler has not started. It returns nil when the attempt must not go on.
func (s *Scheduler) adopt(now Time, w *worker, row Running) *attempt {
	t := s.task(row.Task)
	if t == nil || t.done || len(t.attempts) > 0 || t.step.job.state.Final() {
		return nil
	}
	a := &attempt{task: t, number: row.Attempt, worker: w, phase: running, startedAt: now.Boot,
		share: fullShare, pacedTo: fullShare, resumed: true}
	s.attach(a)
	s.note(a.event(EventAttemptAdopted))
	return a
}

// attach links an attempt with its task and worker.
func (s *Scheduler) attach(a *attempt) {
	t := a.task
	if t.waiting() {
		t.step.pending--
	}
	t.attempts = append(t.attempts, a)
	t.lastAttempt = max(t.lastAttempt, a.number)
	t.step.job.attempts++
	a.worker.add(a)
}

// stopStray stops an attempt that should not run.
func (s *Scheduler) stopStray(now time.Duration, w *worker, key attemptKey) {
	known, already := w.strays[key]
	if !already {
		var spec workload.Step
		if t := s.task(key.task); t != nil {
			spec = t.step.spec
		}
		w.addStray(key, spec.Reserved())
		known = w.strays[key]
		s.note(Event{Kind: EventAttemptOrphaned, Worker: w.info.ID, Task: key.task, Attempt: key.number})
	} else if now-known.askedAt < repeatAfter {
		return
	}
	known.askedAt = now
	s.orders = append(s.orders, Order{
		Kind: OrderStop, Worker: w.info.ID, Address: w.info.Address, Task: key.task, Attempt: key.number,
	})
}

// takeEnded takes in the ends that are new.
func (s *Scheduler) takeEnded(now Time, w *worker, report Report) {
	for _, end := range report.Ended {
		if end.Number <= w.seen {
			continue
		}
		w.seen = end.Number
		w.removeStray(attemptKey{end.Task, end.Attempt})
		s.takeEnd(now, w, end)
	}
}

// takeEnd takes in one end. Ends that a former owner has stored already are recognised by their attempt number.
func (s *Scheduler) takeEnd(now Time, w *worker, end Ended) {
	t := s.task(end.Task)
	if t == nil {
		return
	}
	a := w.attempts[attemptKey{end.Task, end.Attempt}]
	s.note(Event{Kind: EventTaskEnded, Worker: w.info.ID, Task: end.Task, Attempt: end.Attempt, Reason: string(end.Kind)})
	t.lastAttempt = max(t.lastAttempt, end.Attempt)
	if end.Checkpoint != "" && (a != nil || len(t.attempts) == 0) && t.checkpoint != end.Checkpoint {
		t.checkpoint = end.Checkpoint
		s.markDirty(t.step.job)
	}
	if a != nil {
		if end.Kind == EndDone {
			a.rateTotal(now.Boot)
		}
		s.drop(a) // before the task is judged, so that only its other attempts are stopped
	}
	switch end.Kind {
	case EndDone:
		s.taskDone(now, w, t)
	case EndFailed:
		s.taskFailed(now, w, t, end.Attempt)
	}
}

func (s *Scheduler) taskDone(now Time, w *worker, t *task) {
	w.health.succeeded()
	st := t.step
	if t.done || st.spec.Service {
		return
	}
	if t.waiting() {
		st.pending--
	}
	t.done = true
	t.checkpoint = ""
	st.left--
	s.markDirty(st.job)
	for _, a := range t.attempts {
		s.stop(now.Boot, a)
	}
	if st.left == 0 {
		s.stepDone(now, st)
	}
}

func (s *Scheduler) stepDone(now Time, st *step) {
	delete(s.open, st)
	j := st.job
	j.openSteps--
	for _, next := range st.followers {
		next.waitsFor--
		s.openStep(next)
	}
	if j.openSteps == 0 && !j.state.Final() {
		s.finish(now, j, workload.StateCompleted)
		s.note(Event{Kind: EventJobEnded, Job: j.rec.ID, Reason: string(j.state)})
	}
}

func (s *Scheduler) taskFailed(now Time, w *worker, t *task, number int64) {
	// After a takeover the ends of several workers arrive in any order, and some are stored already.
	if slices.Contains(t.failed, number) {
		return
	}
	j := t.step.job
	if !t.step.spec.Service {
		t.failed = append(t.failed, number)
		s.markDirty(j)
	}
	if !slices.Contains(t.avoid, w.info.ID) {
		t.avoid = append(t.avoid, w.info.ID)
	}
	if w.health.failed(now.Boot, j.rec.ID) {
		s.note(Event{Kind: EventWorkerQuarantined, Worker: w.info.ID, Value: w.health.until.Seconds()})
	}
	limit := j.rec.Queue.MaxFailures
	if limit == 0 || len(t.failed) < limit || j.state.Final() {
		return
	}
	s.finish(now, j, workload.StateFailed)
	s.note(Event{Kind: EventJobEnded, Job: j.rec.ID, Reason: string(j.state), Task: t.id(), Attempt: number,
		Value: float64(len(t.failed))})
}

// takeAbsent settles the attempts that the worker neither runs nor lists as ended. Only what was settled before the
// request was sent can be concluded from its answer.
func (s *Scheduler) takeAbsent(now Time, w *worker, report Report, listed map[attemptKey]bool) {
	for key, stray := range w.strays {
		if !listed[key] && stray.askedAt < report.SentAt {
			w.removeStray(key)
		}
	}
	for _, a := range slices.Clone(w.list) {
		if listed[a.key()] {
			if a.phase == stopping {
				s.stop(now.Boot, a)
			}
			continue
		}
		switch {
		case a.confirmedAt > 0 && a.confirmedAt < report.SentAt, a.stopAckedAt > 0 && a.stopAckedAt < report.SentAt:
			s.note(a.event(EventAttemptLost))
			s.drop(a)
		case a.phase == unanswered, a.phase == stopping:
			s.stop(now.Boot, a)
		}
	}
}

// task returns a task, or nil when there is none such.
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
