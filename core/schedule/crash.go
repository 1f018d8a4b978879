package schedule

import (
	"slices"
	"time"

	"fulmarcourse.example/core/workload"
)

// A task that crashes the workers that start it has to be told apart from the tasks beside it. Each of them gets the crash
// on record. A task is given up once the record points to it alone, which explains its crashes to the tasks beside it.
// Crashes soon after a start point to the task more than later ones. Only a worker that has accepted the task counts: a start
// without an answer may have arrived after the crash, and a task may not be given up for a crash that it cannot have caused.
// Nor may it be given up for crashes before which it may have ended, as on workers that were cut off first: see break.go. What bounds its
// starts then is in crash_watch.go. Crashes right after the last answer, in which only a short task may have ended, count with one more.
const (
	// briefRun is how long a task has to be listed as running for a later crash not to count as brief.
	briefRun = time.Second
	// briefCrashLimit is the number of brief crashes without another explanation after which a task is given up, if no task
	// of another job on the crashed worker has as many.
	briefCrashLimit = 2
	// certainBriefCrashes is the number of brief crashes, explained or not and with the uncertain ones, after which a task is
	// given up in any case, or after one more if other suspects share the last of them. The platform allows two starts after the
	// third crash; owners that are replaced may not notice some.
	certainBriefCrashes = 3
	// crashLimit is the number of crashes without another explanation after which a task is given up in any case, with the same
	// exception.
	crashLimit = 4
	// crashFreeRun is how long a task has to run for its record to be cleared, unless it has crashed after a longer run.
	crashFreeRun = 15 * time.Second
)

// expiredAttempt is an attempt whose lease has expired on a worker that did not report. Whether the worker had crashed is
// known once it reports again or another worker has its address.
type expiredAttempt struct {
	task    *task
	ran     time.Duration // for how long it was listed as running
	stopped bool          // the worker had been ordered to stop it

	mayEndUnobserved bool // see attempt.mayEndUnobserved
}

// suspect reports whether a worker has crashed under the task.
func (t *task) suspect() bool { return len(t.crashes) > 0 }

// onProbation reports whether a worker has crashed soon after it had started the task. Until they have run for briefRun, such tasks of
// different jobs do not share a worker, so that a further crash points to one job, or share it in groups, see crash_group.go.
func (t *task) onProbation() bool { return t.countCrashes(isBrief) > 0 }

// countCrashes returns the number of crashes on record that satisfy a condition.
func (t *task) countCrashes(condition func(workload.Crash) bool) int {
	n := 0
	for _, c := range t.crashes {
		if condition(c) {
			n++
		}
	}
	return n
}

// briefUnexplained returns the number of certain brief crashes on record without another explanation.
func (t *task) briefUnexplained() int {
	return t.countCrashes(func(c workload.Crash) bool { return isBrief(c) && isUnexplained(c) && isCertain(c) })
}

// pointedAt reports whether brief crashes that satisfy a condition suffice to give a task up. If the task can have been done before each of
// them, it takes one more than briefCrashLimit: a short task may be done behind a cut, just before its worker crashes there.
func (t *task) pointedAt(condition func(workload.Crash) bool) bool {
	certain, conclusive := 0, 0
	for _, c := range t.crashes {
		if isBrief(c) && isCertain(c) && condition(c) {
			certain++
			if !c.MayHaveEnded {
				conclusive++
			}
		}
	}
	return conclusive >= briefCrashLimit || certain > briefCrashLimit
}

// mayBeBriefUnexplained returns how many brief crashes without another explanation the task may have had, with the uncertain ones.
func (t *task) mayBeBriefUnexplained() int {
	return t.uncertainCrashes + t.countCrashes(func(c workload.Crash) bool { return isBrief(c) && isUnexplained(c) })
}

func isBrief(c workload.Crash) bool { return c.RanMs < briefRun.Milliseconds() }

func isUnexplained(c workload.Crash) bool { return !c.Explained }

func isCertain(c workload.Crash) bool { return !c.Uncertain }

// certainlyCrashes reports whether a task is given up although the records of the tasks beside it may say as much. Starts without an answer and
// uncertain crashes count only beside as many certain brief crashes as would give it up if it were alone. It takes one more crash if the
// latest one points to other suspects as well.
func (s *Scheduler) certainlyCrashes(t *task, beside []*task) bool {
	brief := t.countCrashes(isBrief) + t.uncertainCrashes
	certain := t.countCrashes(func(c workload.Crash) bool { return isBrief(c) && isCertain(c) })
	unexplained := t.countCrashes(func(c workload.Crash) bool { return isUnexplained(c) && isCertain(c) })
	if certain >= briefCrashLimit && brief > certainBriefCrashes || unexplained > crashLimit {
		return true
	}
	latest, found := t.latestCertain()
	if !found || s.pointsToOthers(t, latest, beside) {
		return false
	}
	pointedAt := t.pointedAt(func(workload.Crash) bool { return true })
	return pointedAt && brief == certainBriefCrashes && isBrief(latest) || unexplained == crashLimit
}

// onProbation reports whether the attempt is of a task on probation and has not run for briefRun.
func (a *attempt) onProbation() bool { return a.task.onProbation() && a.listedFor() < briefRun }

// onProbation reports whether the worker runs a task on probation.
func (w *worker) onProbation() bool {
	return slices.ContainsFunc(w.attemptList, (*attempt).onProbation)
}

// process returns a record of the end of the worker's current process.
func (w *worker) process() workload.Crash {
	started := startOf(w.incarnation)
	if started == 0 {
		started = w.info.StartedMs
	}
	return workload.Crash{Worker: string(w.info.ID), StartedMs: started}
}

// workerCrashed records the crash of a worker's process for the tasks that it ran. survives states which attempts the next
// process runs, which started at nextMs, 0 if that is not known. foundAt is when the poll was sent that the next process has answered
// under the same ID; 0 if that has another ID. A worker that left after it had announced it has not crashed.
func (s *Scheduler) workerCrashed(now Time, w *worker, nextMs int64, foundAt time.Duration, survives func(attemptKey) bool) {
	defer s.forgetSilent(w)
	if w.info.Draining {
		return
	}
	s.retainCrashed(w)
	c := crash{s: s, worker: w, now: now, nextMs: nextMs, foundAt: foundAt, broken: s.brokeAlone(w), lone: s.crashesAlone(w), noPeers: !s.hasPeers(w)}
	for _, a := range w.attemptList {
		if !survives(a.key()) {
			c.addAttempt(now, a)
		}
	}
	for _, x := range w.expired {
		c.add(x.task, now.unixMsAt(w.reportedAt), x.ran, c.evidenceOf(!x.stopped, x.mayEndUnobserved, now.unixMsAt(w.polledAt)))
	}
	for _, t := range s.silentOn[w.info.ID] {
		silence := t.silenceOf(w.info.ID)
		if !survives(attemptKey{t.id(), t.lastAttempt}) && !c.answersAgain(silence) {
			c.add(t, silence.SinceMs, 0, evidence{silence.Broken || c.followed(silence.AskedMs),
				silence.MayHaveEnded && !c.followed(silence.AskedMs)})
		}
	}
	s.giveUpCrashing(now, c.tasks)
}

// crash is the crash of one worker's process.
type crash struct {
	s       *Scheduler
	worker  *worker
	now     Time
	nextMs  int64         // start of the next process, Unix milliseconds; 0 if unknown
	foundAt time.Duration // see workerCrashed
	broken  bool          // the connection to the worker broke soon after its last answer, see break.go
	lone    bool          // few other workers have stopped answering near that time, see crash_watch.go
	noPeers bool          // there are too few other workers to tell
	tasks   []*task       // whose record has changed
}

// answersAgain reports whether the process that did not answer is the one that has been found. The known workers may name the one before
// it until that one's crash is stored.
func (c *crash) answersAgain(silence *workload.Silence) bool {
	return c.foundAt > 0 && c.nextMs > 0 && silence.StartedMs == c.nextMs
}

// addAttempt adds the crash to the record of the task that the worker ran in an attempt.
func (c *crash) addAttempt(now Time, a *attempt) {
	certain, uncertain := a.certainlyRan(), a.mayHaveRun()
	a.crashCounted = true
	if uncertain {
		a.task.uncertainCrashes++
		c.s.markRecordDirty(a.task)
		c.tasks = append(c.tasks, a.task)
	}
	if !certain {
		return
	}
	found := c.evidenceOf(c.ranBefore(a) && !a.mayHaveStopped(), a.mayEndUnobserved(), now.unixMsAt(a.worker.polledAt))
	e := a.event(EventAttemptCrashed)
	e.Value = a.listedFor().Seconds()
	if !found.stillRan {
		e.Reason = "uncertain"
	}
	c.s.emit(e)
	c.add(a.task, now.unixMsAt(max(c.worker.reportedAt, a.confirmedAt)), a.listedFor(), found)
}

// evidence is what is known about whether a task ran when the process of its worker ended.
type evidence struct {
	stillRan     bool // as far as that can be observed
	mayHaveEnded bool // it can have been done before; only with stillRan
}

// evidenceOf returns the evidence about an attempt. ran states that it ran on the process until the last answer and was not to be stopped;
// polledMs is when the last answered poll was sent, Unix milliseconds.
func (c *crash) evidenceOf(ran, mayEndUnobserved bool, polledMs int64) evidence {
	followed := c.followed(polledMs)
	stillRan := ran && (c.broken || followed)
	return evidence{stillRan, stillRan && !followed && mayEndUnobserved}
}

// mayHaveStopped reports whether the worker was ordered to stop the attempt. Unless the next process has accepted the order, the attempt may
// have ended before the crash, also if no answer has arrived. An order without an answer came too late if it was first sent after the
// connection to the worker had broken.
func (a *attempt) mayHaveStopped() bool {
	tooLate := a.stopConfirmedAt == 0 && a.worker.silence == broken && a.stoppingSince > a.worker.brokenAt
	return a.stopSentAt > 0 && !tooLate
}

// ranBefore reports whether an attempt ran on the process that has ended. The next one may have accepted the start under the same ID
// before its first report was applied.
func (c *crash) ranBefore(a *attempt) bool {
	return c.foundAt == 0 || a.listedAt > 0 || a.confirmedAt < c.foundAt
}

// followed reports whether the next process had started when the last answered poll was sent, in Unix milliseconds, so that what ran
// there according to the answer ran until the crash.
func (c *crash) followed(polledMs int64) bool { return c.nextMs > 0 && c.nextMs <= polledMs }

// add adds the crash to the record of a task that certainly ran until sinceMs, Unix milliseconds. If its lease may have
// expired before the crash, the task does not count.
func (c *crash) add(t *task, sinceMs int64, ran time.Duration, found evidence) {
	if c.mayHaveOutlastedLease(sinceMs) {
		return
	}
	entry := c.worker.process()
	entry.RanMs = ran.Milliseconds()
	entry.Uncertain, entry.MayHaveEnded = !found.stillRan, found.mayHaveEnded
	entry.Lone = entry.Uncertain && c.lone
	entry.NoPeers = entry.Lone && c.noPeers
	if c.s.addCrash(t, entry) {
		c.tasks = append(c.tasks, t)
	}
}

// mayHaveOutlastedLease reports whether the next process may have started after the lease of a task had expired that certainly ran until
// sinceMs, Unix milliseconds. The start that it states is a time on the clock of another machine, which may differ, so it matters only if
// the process was not found before that by this owner's clock.
func (c *crash) mayHaveOutlastedLease(sinceMs int64) bool {
	expiryMs := sinceMs + c.s.cfg.TaskLease.Milliseconds()
	return c.now.UnixMs >= expiryMs && c.nextMs >= expiryMs
}

// certainlyRan reports whether the worker ran the attempt until it stopped answering.
func (a *attempt) certainlyRan() bool {
	return a.confirmedAt > 0 && !a.stoppedInTime && !a.endUnlisted && !a.crashCounted
}

// mayHaveRun reports whether it is unknown if the worker ran the attempt: its start was not answered.
func (a *attempt) mayHaveRun() bool {
	return a.confirmedAt == 0 && a.phase != awaitingStore && !a.crashCounted
}

// markRecordDirty records that the record of a task has to be stored unless the task or its job has ended.
func (s *Scheduler) markRecordDirty(t *task) {
	if !t.done && !t.step.job.state.Final() {
		s.markDirty(t.step.job)
	}
}

// markRecordStored records what is stored of the crashes and silent workers of a task.
func (t *task) markRecordStored(tp workload.TaskProgress) {
	t.storedCrashes, t.storedSilentOn = len(tp.Crashes), len(tp.SilentOn)
}

// addCrash adds a crash to the record of a task. It returns false if the task has ended or has it on record.
func (s *Scheduler) addCrash(t *task, entry workload.Crash) bool {
	if t.done || t.step.job.state.Final() || slices.ContainsFunc(t.crashes, entry.SameProcess) {
		return false
	}
	t.crashes = append(t.crashes, entry)
	t.crashedAt = s.calledAt
	s.suspects[t] = struct{}{}
	s.markDirty(t.step.job)
	return true
}

// giveUpCrashing gives up the job of that one of the tasks of a crashed worker that is found to have crashed it, if there is one. It
// explains the crash to the others.
func (s *Scheduler) giveUpCrashing(now Time, tasks []*task) {
	t := s.culprit(tasks)
	if t == nil {
		return
	}
	s.emit(Event{Kind: EventJobEnded, Job: t.step.job.rec.ID, Reason: "crashes workers", Task: t.id(),
		Attempt: t.lastAttempt, Value: float64(len(t.crashes))})
	s.finish(now, t.step.job, workload.StateFailed)
	s.explain(t.crashes)
}

// culprit returns the task that is to be given up after a crash, or nil. If several jobs may have the same number of brief crashes on
// record, none is given up before the record of one of them is certain.
func (s *Scheduler) culprit(tasks []*task) *task {
	tasks = slices.DeleteFunc(slices.Clone(tasks), func(t *task) bool { return t.step.job.state.Final() })
	var certain, best *task
	for _, t := range tasks {
		if s.certainlyCrashes(t, tasks) && (certain == nil || t.countCrashes(isBrief) > certain.countCrashes(isBrief)) {
			certain = t
		}
		if t.crashedBriefly() && (best == nil || t.briefUnexplained() > best.briefUnexplained()) {
			best = t
		}
	}
	if certain != nil {
		return certain
	}
	if best == nil || !best.pointedAt(isUnexplained) || s.tied(best, tasks) {
		return nil
	}
	return best
}

// crashedBriefly reports whether the latest crash on the record of a task is brief and without another explanation.
func (t *task) crashedBriefly() bool {
	n := len(t.crashes) - 1
	return n >= 0 && isBrief(t.crashes[n]) && isUnexplained(t.crashes[n])
}

// tied reports whether the record of another job's task points to it as much as that of t does: of one of the tasks of the crashed
// worker, or of one that has shared the latest group of t.
func (s *Scheduler) tied(t *task, tasks []*task) bool {
	for _, other := range tasks {
		if other.step.job != t.step.job && other.mayBeBriefUnexplained() >= t.briefUnexplained() {
			return true
		}
	}
	for other := range s.suspects {
		if other.step.job != t.step.job && !other.step.job.state.Final() && other.sharedGroup(t) {
			return true
		}
	}
	return false
}

// explain marks crashes in the records of all tasks once the task that caused them is known.
func (s *Scheduler) explain(crashes []workload.Crash) {
	for t := range s.suspects {
		for i := range t.crashes {
			c := &t.crashes[i]
			if !c.Explained && slices.ContainsFunc(crashes, c.SameProcess) {
				c.Explained = true
				s.markRecordDirty(t)
			}
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
	a.task.crashes, a.task.storedCrashes, a.task.uncertainCrashes = nil, 0, 0
	delete(s.suspects, a.task)
	s.markRecordDirty(a.task)
}

// recordInherited records which tasks of a job have crashes on record, and on which workers tasks were when these stopped
// answering to a former owner.
func (s *Scheduler) recordInherited(j *job) {
	for _, st := range j.steps {
		for _, t := range st.tasks {
			if t.suspect() {
				s.suspects[t] = struct{}{}
				t.crashedAt = s.takeoverAt
			}
			for _, silence := range t.silentOn {
				id := WorkerID(silence.Worker)
				s.silentOn[id] = append(s.silentOn[id], t)
			}
		}
	}
}
