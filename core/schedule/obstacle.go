package schedule

import (
	"slices"
	"time"
)

// obstacle returns why a task may not start on a worker, Suitable if it may. Lasting obstacles are checked before those that
// pass, so that a worker which is full and avoided counts as full.
func (s *Scheduler) obstacle(now Time, t *task, w *worker) WaitReason {
	if r := w.lacks(t); r != Suitable {
		return r
	}
	if r := s.closed(now.Boot, w); r != Suitable {
		return r
	}
	if r := s.lacksRoom(now.Boot, t, w); r != Suitable {
		return r
	}
	if r := w.refuses(now.Boot); r != Suitable {
		return r
	}
	if r := w.limits(now.Boot, t); r != Suitable {
		return r
	}
	if r := w.avoided(now.Boot); r != Suitable {
		return r
	}
	if slices.Contains(t.failedOn, w.info.ID) {
		return WaitFailedThere
	}
	if t.step.spec.Filler {
		return s.fillerObstacle(now.Boot, t, w)
	}
	return Suitable
}

// lacks returns which property of a worker does not suit a task.
func (w *worker) lacks(t *task) WaitReason {
	switch {
	case w.info.Pool != t.step.job.rec.Queue.Pool:
		return WaitPool
	case !w.hasLabel(t.step.spec.Label):
		return WaitLabel
	}
	return Suitable
}

// closed returns why no task may start on a worker before it, its entry in the list or its data centre changes. Before the
// platform's list has been read, a worker that the former owner knew may be draining.
func (s *Scheduler) closed(now time.Duration, w *worker) WaitReason {
	switch {
	case s.listReadAt == 0:
		return WaitListNotRead
	case s.evacuated[w.info.Datacentre]:
		return WaitEvacuated
	}
	return w.gone(now)
}

// gone returns why a worker is not expected to answer, or will leave.
func (w *worker) gone(now time.Duration) WaitReason {
	switch {
	case w.info.Draining:
		return WaitDraining
	case !w.listed && now-w.unlistedAt >= listingGrace:
		return WaitUnlisted
	case w.suspect || !w.reachable(now):
		return WaitUnreachable
	}
	return Suitable
}

// lacksRoom returns why the capacity of a worker does not suffice for a task.
func (s *Scheduler) lacksRoom(now time.Duration, t *task, w *worker) WaitReason {
	switch {
	case !t.step.spec.Reserved().Fits(w.free()):
		return WaitCapacity
	case !t.step.spec.Reserved().Fits(w.freeFor(t)):
		return WaitNominee
	case s.keptForForeseen(now, t, w), s.blocksForeseen(t, w):
		return WaitForeseen
	case s.capacityOutdated(now, t, w):
		return WaitCapacityOutdated
	}
	return Suitable
}

// refuses returns why a worker that answers gets no tasks.
func (w *worker) refuses(now time.Duration) WaitReason {
	switch {
	case w.entryOutdated():
		return WaitEntryOutdated
	case w.endsAwaited:
		return WaitEndsUnlisted
	case !w.stored:
		return WaitNotStored
	case now < w.unhealthyUntil:
		return WaitUnhealthy
	case now < w.full.until:
		return WaitRejections
	}
	return Suitable
}

// entryOutdated reports whether the entry of the worker describes another process than the one that has answered last, see entries.
func (w *worker) entryOutdated() bool { return w.describesOther(&w.info) }

// limits returns why the tasks on a worker exclude a further one.
func (w *worker) limits(now time.Duration, t *task) WaitReason {
	spec := &t.step.spec
	switch {
	case spec.MaxPerWorker > 0 && w.tasksOf(t.step)+w.nomineesOf(t) >= spec.MaxPerWorker:
		return WaitMaxPerWorker
	case w.excludesSuspect(now, t):
		return WaitProbation
	case w.hasRecentGap(now, t):
		return WaitRecentGap
	case spec.Service && w.formerCallsOutlast(now):
		return WaitFormerCalls
	}
	return Suitable
}

// avoided returns why a worker is avoided after recent faults.
func (w *worker) avoided(now time.Duration) WaitReason {
	switch {
	case now < w.stability.until:
		return WaitLostRecently
	case w.health.inBackOff(now):
		return WaitFaulty
	case w.slowness.slow(now):
		return WaitSlow
	}
	return Suitable
}

// fillerObstacle returns why a filler may not start on a worker with the capacity for it: too little processor time is unused,
// or its services are not expected to meet their targets with it. No filler starts on the worker of a service that is over its
// target, however low its estimated pressure: pressures are estimates, and a new filler would use the processor time that
// the guard frees by throttling others.
func (s *Scheduler) fillerObstacle(now time.Duration, t *task, w *worker) WaitReason {
	if w.spareFillerCPU() < minSpare(t.step.spec.Size.MilliCPU) {
		return WaitSpare
	}
	if w.mayBeOverByFillers(now) {
		return WaitServiceTarget
	}
	if tail, _ := s.predictTail(now, w, t); tail >= tailStart {
		return WaitServiceTarget
	}
	return Suitable
}

// usable reports whether tasks may start on a worker and it is not avoided because of recent faults.
func (s *Scheduler) usable(now time.Duration, w *worker) bool {
	return s.mayStartOn(now, w) && w.avoided(now) == Suitable
}

// mayStartOn reports whether tasks may start on a worker if its recent faults are ignored.
func (s *Scheduler) mayStartOn(now time.Duration, w *worker) bool {
	return s.closed(now, w) == Suitable && w.refuses(now) == Suitable
}

// fits reports whether a task may start on a worker that is not avoided because of recent faults.
func (s *Scheduler) fits(now Time, t *task, w *worker) bool { return s.obstacle(now, t, w) == Suitable }

// fitsAvoided reports whether a task for which avoided workers are used as well may start on a worker: whether the worker
// has room for it and was not at fault within restartOverdueAfter.
func (s *Scheduler) fitsAvoided(now Time, t *task, w *worker) bool {
	return s.mayStartOn(now.Boot, w) && !w.faultyWithin(now.Boot, restartOverdueAfter) && s.hasRoom(now, t, w)
}

// hasRoom reports whether a worker has the capacity and the properties that a task needs.
func (s *Scheduler) hasRoom(now Time, t *task, w *worker) bool {
	return s.lacksRoom(now.Boot, t, w) == Suitable && s.suits(now, t, w)
}

// suits reports whether a worker has the properties that a task needs, whatever its capacity is.
func (s *Scheduler) suits(now Time, t *task, w *worker) bool {
	if w.lacks(t) != Suitable || w.limits(now.Boot, t) != Suitable {
		return false
	}
	return !t.step.spec.Filler || s.fillerObstacle(now.Boot, t, w) == Suitable
}
