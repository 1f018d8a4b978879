package schedule

import (
	"cmp"
	"slices"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
)

// A displaced service task that is overdue, or would be although its restart was foreseen, takes the capacity of tasks that end on the
// worker to which it is nominated, and the memory and accelerators of fillers there. These start again, from their checkpoint if they save their
// progress; a stopped attempt is no failure. Services are not stopped: they may not miss their target either.
const (
	// maxPreemptions is how often a task may be stopped for a displaced one by an owner.
	maxPreemptions = 1
	// maxPreemptedShare is the inverse of the share of a pool's tasks that end which may be in the process of being stopped for
	// displaced ones. At least one displaced task at a time may have tasks stopped. An eighth is too little for a dozen services that are
	// displaced at once in a small pool: the last one waits for longer than the platform allows.
	maxPreemptedShare = 3
)

// preemption counts tasks of one kind in a pool, and those of them that are being stopped for displaced ones.
type preemption struct {
	running  int
	stopping int
}

// mayStop reports whether n more tasks may be stopped.
func (p *preemption) mayStop(n int) bool {
	return n == 0 || p.stopping == 0 || (p.stopping+n)*maxPreemptedShare <= p.running
}

// poolPreemption counts the tasks of a pool that may be stopped for displaced ones. Fillers are counted apart: otherwise, many of them would
// raise the number of other tasks that may be stopped at a time.
type poolPreemption struct {
	ending, fillers preemption
}

// of returns the counts for the kind of a task.
func (p *poolPreemption) of(t *task) *preemption {
	if t.step.spec.Filler {
		return &p.fillers
	}
	return &p.ending
}

// take counts attempts as stopped, and reports whether they may be.
func (p *poolPreemption) take(victims []*attempt) bool {
	fillers := 0
	for _, a := range victims {
		if a.task.step.spec.Filler {
			fillers++
		}
	}
	ending := len(victims) - fillers
	if !p.ending.mayStop(ending) || !p.fillers.mayStop(fillers) {
		return false
	}
	p.ending.stopping += ending
	p.fillers.stopping += fillers
	return true
}

// preempt stops tasks that end for the overdue displaced tasks that wait for them, the most urgent first.
func (s *Scheduler) preempt(cycle *planCycle) {
	if !cycle.scan {
		return
	}
	var pools map[workload.PoolName]*poolPreemption
	for _, t := range cycle.displaced {
		w := t.nomination.worker
		if w == nil || t.nomination.ownPlace || !s.mayPreempt(cycle.now, t, w) || !s.startsOnceFree(cycle.now, t, w) {
			continue
		}
		victims := w.victims(cycle.now, t)
		if len(victims) == 0 {
			if !w.fitsOncePreempted(cycle.now.Boot, t) {
				t.nomination.at = 0 // reviewed in the next scan: it may fit on another worker by then
			}
			continue
		}
		if pools == nil {
			pools = s.preemptions(cycle.now.Boot)
		}
		if !pools[w.info.Pool].take(victims) {
			continue
		}
		for _, a := range victims {
			s.preemptFor(cycle.now, t, a)
		}
	}
}

// mayPreempt reports whether tasks may be stopped for a displaced task on a worker: it is overdue, or its restart was foreseen and it is
// expected to be overdue before it fits.
func (s *Scheduler) mayPreempt(now Time, t *task, w *worker) bool {
	if t.restartOverdue(now) {
		return true
	}
	if !t.nomination.foreseen {
		return false
	}
	wait, _ := w.fitsIn(now, t, s.cfg.StopTime)
	return now.Boot+wait-t.displacement.since >= restartOverdueAfter
}

// startsOnceFree reports whether a displaced task starts on the worker to which it is nominated as soon as tasks there were stopped.
func (s *Scheduler) startsOnceFree(now Time, t *task, w *worker) bool {
	return t.avoids(now.Boot, w) <= s.cfg.StopTime && !s.capacityOutdated(now.Boot, t, w)
}

// preemptFor stops an attempt for a displaced task.
func (s *Scheduler) preemptFor(now Time, t *task, a *attempt) {
	event := a.event(EventTaskPreempted)
	event.For, event.Value = t.id(), (now.Boot - t.displacement.since).Seconds()
	s.emit(event)
	a.preempted = true
	a.task.preemptions++
	s.stop(now.Boot, a)
}

// preemptions returns the counts of all pools, on workers that answer.
func (s *Scheduler) preemptions(now time.Duration) map[workload.PoolName]*poolPreemption {
	pools := map[workload.PoolName]*poolPreemption{}
	for _, w := range s.sortedWorkers {
		pool := pools[w.info.Pool]
		if pool == nil {
			pool = &poolPreemption{}
			pools[w.info.Pool] = pool
		}
		if w.suspect || !w.reachable(now) {
			continue // what is being stopped there may take until its leases have expired
		}
		for _, a := range w.attemptList {
			if a.task.step.spec.Service {
				continue
			}
			switch counts := pool.of(a.task); {
			case a.phase == stopping && a.preempted:
				counts.stopping++
				counts.running++
			case a.phase != stopping:
				counts.running++
			}
		}
	}
	return pools
}

// victims returns the attempts on a worker to stop so that a task fits there: those with which the least work is lost. It returns none
// if the task fits once those have left that are being stopped or should have ended, or if it would fit with none either.
func (w *worker) victims(now Time, t *task) []*attempt {
	need := t.step.spec.Reserved()
	free, candidates := w.releases(now.Boot, t)
	slices.SortStableFunc(candidates, func(a, b *attempt) int { return comparePreemption(now, a, b) })
	stopped := 0
	for ; stopped < len(candidates) && !need.Fits(free); stopped++ {
		free = free.Add(candidates[stopped].task.step.spec.Reserved())
	}
	if stopped == 0 || !need.Fits(free) {
		return nil
	}
	return spareVictims(candidates[:stopped], need, free)
}

// fitsOncePreempted reports whether a task would fit on a worker once all attempts have left that may be stopped for it.
func (w *worker) fitsOncePreempted(now time.Duration, t *task) bool {
	free, candidates := w.releases(now, t)
	for _, a := range candidates {
		free = free.Add(a.task.step.spec.Reserved())
	}
	return t.step.spec.Reserved().Fits(free)
}

// releases returns the capacity that a task may take on a worker once all has left that is being stopped or should have ended, and the
// attempts that may be stopped for it.
func (w *worker) releases(now time.Duration, t *task) (free structs.Resources, candidates []*attempt) {
	free = w.free().Add(w.orphaned()).Sub(w.keptForOthers(t))
	for _, a := range w.attemptList {
		switch {
		case a.phase == stopping, a.shouldHaveEnded(now):
			free = free.Add(a.task.step.spec.Reserved())
		case a.preemptible():
			candidates = append(candidates, a)
		}
	}
	return free, candidates
}

// spareVictims removes the attempts that need not be stopped, the most valuable first. free is the capacity once all have left.
func spareVictims(victims []*attempt, need, free structs.Resources) []*attempt {
	for i := len(victims) - 1; i >= 0; i-- {
		if rest := free.Sub(victims[i].task.step.spec.Reserved()); need.Fits(rest) {
			free, victims = rest, slices.Delete(victims, i, i+1)
		}
	}
	return victims
}

// preemptible reports whether an attempt may be stopped for a displaced task. One of a task on probation shows whether the task crashes
// its worker.
func (a *attempt) preemptible() bool {
	spec := &a.task.step.spec
	return a.phase == running && a.confirmedAt > 0 && !spec.Service &&
		a.task.mayBeStoppedAgain() && !a.task.onProbation()
}

// mayBeStoppedAgain reports whether an owner may stop the task for a displaced one, as far as former stops tell.
func (t *task) mayBeStoppedAgain() bool { return t.preemptions < maxPreemptions }

// shouldHaveEnded reports whether an attempt of a task that ends should have ended by its measured rate, so that its end is about to be
// reported. The caller's estimate is too rough to rely on. Overdue tasks do not wait for attempts that run on for as long as a stop takes:
// of several that queue for a few workers the last would wait for too long.
func (a *attempt) shouldHaveEnded(now time.Duration) bool {
	return a.phase == running && !a.task.step.spec.Service && a.rateKnown && a.rate > 0 && a.remaining(now) == 0
}

// comparePreemption orders attempts by what their stop costs, the lowest cost first: tasks that resume, those of the lowest priority
// and late ones, and those that would run on for longest.
func comparePreemption(now Time, a, b *attempt) int {
	return cmp.Or(
		-compareBool(a.resumes(), b.resumes()),
		cmp.Compare(b.task.step.rank(now), a.task.step.rank(now)),
		cmp.Compare(b.remaining(now.Boot), a.remaining(now.Boot)),
	)
}

// resumes reports whether little work is lost with an attempt: its task saves its progress, or has another attempt.
func (a *attempt) resumes() bool { return a.task.step.spec.Checkpoints || len(a.task.attempts) > 1 }
