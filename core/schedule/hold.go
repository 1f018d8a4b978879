package schedule

import "time"

// hold returns why a pending task is not tried on any worker, Suitable if it is.
func (s *Scheduler) hold(now Time, t *task) WaitReason {
	if r := s.stepHold(now, t.step); r != Suitable {
		return r
	}
	if s.mayRunElsewhere(t) {
		return WaitOwnWorker
	}
	return s.recordHold(now.Boot, t)
}

// stepHold returns why the tasks of a step are not tried: it is not due, or they may be running under a former owner. The
// second condition does not apply to services, whose tasks are checked one by one by mayRunElsewhere, nor to steps that
// allow copies once takeoverCopyDelay has passed.
func (s *Scheduler) stepHold(now Time, st *step) WaitReason {
	if now.UnixMs < st.job.rec.Recurrence.DueMs(st.occurrence) {
		return WaitNotDue
	}
	if s.placementUnknown(st.job) && !st.spec.Service && !(st.spec.Copies && now.Boot-s.takeoverAt > takeoverCopyDelay) {
		return WaitTakeover
	}
	return Suitable
}

// startable reports whether the tasks of a step are tried.
func (s *Scheduler) startable(now Time, st *step) bool { return s.stepHold(now, st) == Suitable }

// placementUnknown reports whether a former owner may have started tasks of a job on workers that have not reported
// yet.
func (s *Scheduler) placementUnknown(j *job) bool { return j.inherited && !s.TakeoverComplete() }

// mayRunElsewhere reports whether a former owner may have started a service task on a worker that has not reported yet.
func (s *Scheduler) mayRunElsewhere(t *task) bool {
	return t.step.spec.Service && s.placementUnknown(t.step.job) && s.mayRunOn(t.storedWorker)
}

// recordHold returns why a task is not started yet because of its record. The crashes have to be stored first: a later
// owner would otherwise not know of those that this owner has noticed. And so many workers must not be silent that the
// number of crashes, once known, may suffice to give the task up. A task that may have crashed its workers waits the longer the
// more have crashed.
func (s *Scheduler) recordHold(now time.Duration, t *task) WaitReason {
	switch {
	case len(t.crashes) > t.storedCrashes:
		return WaitCrashNotStored
	case s.mayBeCrashing(t):
		return WaitSilentWorkers
	case t.inBackOff(now):
		return WaitCrashBackOff
	}
	return Suitable
}

// heldBack reports whether a task is not started yet because of its record.
func (s *Scheduler) heldBack(now time.Duration, t *task) bool {
	return s.recordHold(now, t) != Suitable
}
