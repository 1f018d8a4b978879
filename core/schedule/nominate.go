package schedule

import (
	"slices"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
)

// A displaced service task that fits on no worker is nominated to one: to the worker that it was on, while the place that it
// left there is free, or else to the worker on which it is expected to fit soonest. Until it has started somewhere, the
// worker starts no task that would take the capacity it needs: in a full pool, other tasks would otherwise take each place as
// soon as it is free, and none would become large enough for a service.
const (
	// maxNominatedShare is the inverse of the share of a pool's workers that may have a nominee at a time which waits for tasks
	// there to end. Others go on with tasks that end.
	maxNominatedShare = 2
	// soonWait is the expected time until it fits up to which a nominee counts as one that starts soon. Where tasks run for long, their
	// nominees may take all of maxNominatedShare for as long; half as many others are nominated beside them if they start soon.
	soonWait = 2 * time.Second
	// nominationReview is the time after which another worker may be chosen for a nominee that still does not fit. Tasks may
	// run for much longer than estimated.
	nominationReview = time.Second
	// maxNominations is the maximum number of nominations in a planning run for which all workers are checked. The runs up to the
	// first that can check them for all tasks form a pass, in which each task has one turn: tasks that fit nowhere would otherwise
	// use up each run.
	maxNominations = 32
	// maxNominationChecks is the maximum number of workers that are compared for a nomination.
	maxNominationChecks = 64
)

// nomination is the worker that keeps capacity for a displaced task.
type nomination struct {
	worker        *worker
	ownPlace      bool // the task was there last and the place that it left is free
	soon          bool // it is expected to fit within soonWait
	foreseen      bool // the worker was chosen before the task was displaced, see foreseen.go
	waitsForStops bool // it fits as soon as what is being stopped there has ended; it takes nothing from tasks that end
	at            time.Duration
}

// keepsFor reports whether a worker keeps capacity for a nominee that a task may not take. The place that a task has left comes
// before what others wait for there.
func (t *task) keepsFor(nominee *task, ownPlace bool) bool {
	return nominee != t && (!ownPlace || nominee.nomination.ownPlace)
}

// freeFor returns the capacity of a worker that a task may take: what is not reserved, less what its nominees need beside what is being
// stopped there. A nominee keeps nothing for those that were nominated after it, unless for their own place. It is not negative unless more
// is reserved than the worker has.
func (w *worker) freeFor(t *task) structs.Resources {
	return w.freeBeside(t, t != nil && t.nomination.worker == w && t.nomination.ownPlace)
}

// freeBeside is freeFor for a task that has left its place on the worker, or has not.
func (w *worker) freeBeside(t *task, ownPlace bool) structs.Resources {
	free := w.free()
	if len(w.nominees) == 0 {
		return free
	}
	rest, ahead := free.Add(w.beingStopped()), true
	for _, nominee := range w.nominees {
		ahead = ahead && nominee != t
		if t.keepsFor(nominee, ownPlace) && (ahead || nominee.nomination.ownPlace) {
			rest = rest.Sub(nominee.step.spec.Reserved())
		}
	}
	rest = smaller(rest, free)
	return structs.Resources{
		MilliCPU:     max(rest.MilliCPU, min(free.MilliCPU, 0)),
		MemoryBytes:  max(rest.MemoryBytes, min(free.MemoryBytes, 0)),
		Accelerators: max(rest.Accelerators, min(free.Accelerators, 0)),
	}
}

// nomineesOf returns the number of nominees of the worker of a task's step for which it keeps capacity beside the task.
func (w *worker) nomineesOf(t *task) int {
	n := 0
	for _, nominee := range w.nominees {
		if nominee.step == t.step && t.keepsFor(nominee, t.nomination.worker == w && t.nomination.ownPlace) {
			n++
		}
	}
	return n
}

// setNominee nominates a task to a worker.
func (s *Scheduler) setNominee(t *task, n nomination) {
	if t.nomination.worker == n.worker && !t.nomination.ownPlace && !n.ownPlace {
		t.nomination = n // it stays ahead of those that were nominated after it
		return
	}
	s.dropNomination(t)
	t.nomination = n
	n.worker.nominees = append(n.worker.nominees, t)
	s.nominees[t] = struct{}{}
	s.index.markChanged(n.worker)
	s.recordIntended(t)
}

// dropNomination ends the nomination of a task, if it has one.
func (s *Scheduler) dropNomination(t *task) {
	w := t.nomination.worker
	if w == nil {
		return
	}
	w.nominees = slices.DeleteFunc(w.nominees, func(other *task) bool { return other == t })
	t.nomination = nomination{}
	delete(s.nominees, t)
	s.index.markChanged(w)
	s.recordIntended(t)
}

// giveUpPlace ends the nomination of a task that starts on a worker or is nominated to it; nil if it is nominated to none.
func (s *Scheduler) giveUpPlace(t *task, w *worker) {
	s.placesGivenUp = s.placesGivenUp || t.nomination.worker != nil && t.nomination.worker != w && !t.nomination.ownPlace
	s.dropNomination(t)
}

// dropOutdatedNominations ends the nominations of tasks that need not start any more and those to workers on which no task
// may start.
func (s *Scheduler) dropOutdatedNominations(now Time) {
	for t := range s.nominees {
		w := t.nomination.worker
		if !t.displaced() || t.step.job.state.Final() || s.heldBack(now.Boot, t) || s.workers[w.info.ID] != w || !s.mayBeNominatedTo(now, t, w) {
			s.dropNomination(t)
		}
	}
}

// mayBeNominatedTo reports whether a worker may start a task as soon as enough capacity is free.
func (s *Scheduler) mayBeNominatedTo(now Time, t *task, w *worker) bool {
	return s.suitsOnceFree(now, t, w) && !t.avoidsSlow(now, w)
}

// avoidsSlow reports whether a worker is slow and a task is not nominated to it for that. Once the task is overdue it is started on
// slow workers, too.
func (t *task) avoidsSlow(now Time, w *worker) bool {
	return w.slowness.slow(now.Boot) && !t.restartOverdue(now)
}

// suitsOnceFree reports whether a worker may start a task as soon as enough capacity is free, if its recent faults are ignored.
func (s *Scheduler) suitsOnceFree(now Time, t *task, w *worker) bool {
	return s.mayStartOn(now.Boot, w) && s.suits(now, t, w)
}

// waitingNominees returns the number of nominees of a pool that wait for other tasks to end, and of those that start soon. What waits for
// stops only is not counted: it takes nothing from tasks that end.
func (s *Scheduler) waitingNominees(pool workload.PoolName) (all, soon int) {
	for t := range s.nominees {
		if t.step.job.rec.Queue.Pool != pool || t.nomination.ownPlace || t.nomination.waitsForStops {
			continue
		}
		all++
		if t.nomination.soon {
			soon++
		}
	}
	return all, soon
}

// nominate chooses a worker that keeps capacity for a displaced task which fits on none.
func (s *Scheduler) nominate(cycle *planCycle, t *task, pool *openPool) {
	if s.nominateToOwnPlace(cycle.now, t) {
		return
	}
	now, known := cycle.now, t.nomination.worker != nil
	shape, sufficient := t.step.shape()
	shape.yields = t.leavesForeseenPlaces(now.Boot)
	sufficient = sufficient && !t.onProbation()
	switch {
	case !cycle.scan && t.displacement.since != now.Boot, known && now.Boot-t.nomination.at < nominationReview,
		cycle.scan && t.displacement.triedIn == s.nominationPass:
		return
	case !known && (sufficient && shape.among(cycle.unnominatable) || slices.Contains(cycle.unnominatableSteps, t.step)):
		s.recordTurn(cycle, t)
		return
	case cycle.nominations >= maxNominations:
		cycle.nominationsLeft = true
		return
	}
	limit := max(pool.workers/maxNominatedShare, 1)
	waiting, soon := s.waitingNominees(t.step.job.rec.Queue.Pool)
	onlySoon := !known && waiting >= limit
	onlyStops := onlySoon && soon >= max(limit/2, 1)
	if onlyStops && len(s.stopping) == 0 {
		return
	}
	s.recordTurn(cycle, t)
	cycle.nominations++
	best, soonest := s.fitsSoonest(now, t, onlyStops)
	if best == nil || onlySoon && soonest > soonWait {
		s.giveUpPlace(t, nil)
		if sufficient {
			cycle.unnominatable = append(cycle.unnominatable, shape)
		} else if !t.onProbation() {
			cycle.unnominatableSteps = append(cycle.unnominatableSteps, t.step)
		}
		return
	}
	if best != t.nomination.worker {
		s.giveUpPlace(t, best)
		s.emitNomination(t, best, soonest)
	}
	foreseen := t.nomination.foreseen && best == t.nomination.worker
	s.setNominee(t, nomination{worker: best, soon: soonest <= soonWait, foreseen: foreseen,
		waitsForStops: best.fitsOnceStopped(t), at: now.Boot})
}

// endNominations ends a pass of nominations if all displaced tasks have had their turn in it.
func (s *Scheduler) endNominations(cycle *planCycle) {
	if cycle.scan && !cycle.nominationsLeft {
		s.nominationPass++
	}
}

// nominateToPlacesGivenUp nominates displaced tasks once more if nominees have started or were nominated elsewhere in the same planning run.
// Tasks that end would take what was kept for them before the next scan.
func (s *Scheduler) nominateToPlacesGivenUp(cycle *planCycle) {
	if !s.placesGivenUp {
		return
	}
	s.placesGivenUp = false
	cycle.scan, cycle.unnominatable, cycle.unnominatableSteps = true, nil, nil
	for _, t := range cycle.displaced {
		pool := cycle.pools[t.step.job.rec.Queue.Pool]
		if t.nomination.worker == nil && pool != nil && s.comesFirst(cycle.now.Boot, t, pool) {
			s.nominate(cycle, t, pool)
		}
	}
	s.endNominations(cycle)
}

// recordTurn records that a task had its turn in a pass of nominations. The runs between scans are no part of it.
func (s *Scheduler) recordTurn(cycle *planCycle, t *task) {
	if cycle.scan {
		t.displacement.triedIn = s.nominationPass
	}
}

// nominateToOwnPlace nominates a task to the worker that it was on, if the place that it left there is free.
func (s *Scheduler) nominateToOwnPlace(now Time, t *task) bool {
	w := s.workers[t.storedWorker]
	if w == nil || !s.mayBeNominatedTo(now, t, w) || !t.step.spec.Reserved().Fits(w.freeBeside(t, true)) {
		return false
	}
	if t.nomination.worker != w || !t.nomination.ownPlace {
		s.emitNomination(t, w, t.avoids(now.Boot, w))
		s.setNominee(t, nomination{worker: w, ownPlace: true, at: now.Boot})
	}
	return true
}

// fitsSoonest returns the worker on which a task is expected to fit soonest, and after which time. On workers where another nominee waits
// for tasks to end, and with onlyStops on all, it has to fit as soon as what is being stopped there has ended. It compares the worker to
// which the task is nominated and maxNominationChecks others on which it can fit, from where the last search ended. The former comes
// first: places that are kept there would otherwise be given up at each review.
func (s *Scheduler) fitsSoonest(now Time, t *task, onlyStops bool) (best *worker, soonest time.Duration) {
	compare := func(w *worker) bool {
		if t.avoidsSlow(now, w) || !s.fitsBesideServices(now, t, w) || s.keptForForeseen(now.Boot, t, w) {
			return false
		}
		if (onlyStops || w.hasOtherWaitingNominee(t)) && !w.fitsOnceStopped(t) {
			return false
		}
		wait, possible := w.fitsIn(now, t, s.cfg.StopTime)
		if !possible {
			return false
		}
		wait = max(wait, t.avoids(now.Boot, w))
		if best == nil || wait < soonest {
			best, soonest = w, wait
		}
		return true
	}
	if t.nomination.worker != nil {
		compare(t.nomination.worker)
	}
	found := 0
	for i := range s.sortedWorkers {
		if !compare(s.sortedWorkers[(s.nominateFrom+i)%len(s.sortedWorkers)]) {
			continue
		}
		if found++; found == maxNominationChecks {
			s.nominateFrom = (s.nominateFrom + i + 1) % len(s.sortedWorkers)
			break
		}
	}
	return best, soonest
}

// hasOtherWaitingNominee reports whether another nominee waits for tasks on the worker to end. One for which its own place is kept
// does not, and may avoid the worker for restartOverdueAfter. Foreseen restarts share a worker.
func (w *worker) hasOtherWaitingNominee(t *task) bool {
	if t.nomination.foreseen && t.nomination.worker == w {
		return false
	}
	return slices.ContainsFunc(w.nominees, func(nominee *task) bool {
		return nominee != t && !nominee.nomination.ownPlace && !nominee.nomination.foreseen && !nominee.nomination.waitsForStops
	})
}

func (s *Scheduler) emitNomination(t *task, w *worker, wait time.Duration) {
	s.emit(Event{Kind: EventTaskNominated, Worker: w.info.ID, Task: t.id(), Attempt: t.lastAttempt + 1, Value: wait.Seconds()})
}

// fitsNominated reports whether a task may start on the worker to which it is nominated. A worker on which it has failed counts
// at once if its last run was not brief, and one that is avoided after a fault once the task is overdue.
func (s *Scheduler) fitsNominated(now Time, t *task) bool {
	w := t.nomination.worker
	return s.fits(now, t, w) ||
		t.mayReturnTo(w) && s.usable(now.Boot, w) && s.hasRoom(now, t, w) ||
		t.restartOverdue(now) && s.fitsAvoided(now, t, w)
}

// mayReturnTo reports whether a task was on a worker last and has run there for so long that its failure need not be the
// worker's.
func (t *task) mayReturnTo(w *worker) bool {
	return w.info.ID == t.storedWorker && t.ranFor >= restartOverdueAfter
}

// avoids returns for how long a displaced task avoids a worker because of recent faults; see chooseAvoided.
func (t *task) avoids(now time.Duration, w *worker) time.Duration {
	if w.avoided(now) == Suitable && (!slices.Contains(t.failedOn, w.info.ID) || t.mayReturnTo(w)) {
		return 0
	}
	since := t.displacement.since
	if now < w.stability.until {
		since = max(since, w.stability.lostAt)
	}
	if w.health.inBackOff(now) {
		since = max(since, w.health.until-w.health.length)
	}
	return max(since+restartOverdueAfter-now, 0)
}

// fitsIn returns the time in which the tasks that end on a worker are expected to leave enough capacity for a task beside what is kept
// for others, or to be stopped for it if it is overdue. It returns false if they do not have as much.
func (w *worker) fitsIn(now Time, t *task, stopTime time.Duration) (wait time.Duration, possible bool) {
	type release struct {
		in   time.Duration
		size structs.Resources
	}
	overdue := t.restartOverdue(now)
	var buffer [64]release // on the stack, enough for most workers
	releases := buffer[:0]
	for _, a := range w.attemptList {
		switch {
		case a.phase == stopping:
			releases = append(releases, release{a.stoppingFor(now.Boot, stopTime), a.task.step.spec.Reserved()})
		case !a.task.step.spec.Service:
			in := a.remaining(now.Boot)
			if overdue && (a.preemptible() || a.shouldHaveEnded(now.Boot)) {
				in = min(in, stopTime)
			}
			releases = append(releases, release{in, a.task.step.spec.Reserved()})
		}
	}
	for _, o := range w.orphans {
		releases = append(releases, release{stopTime, o.reserved})
	}
	slices.SortFunc(releases, func(a, b release) int { return int(a.in - b.in) })
	need, free := t.step.spec.Reserved(), w.free().Sub(w.keptForOthers(t))
	for _, r := range releases {
		if need.Fits(free) {
			break
		}
		free, wait = free.Add(r.size), r.in
	}
	return wait, need.Fits(free)
}

// remaining returns the time after which an attempt of a task that ends is expected to have ended: from its measured rate, or
// else by the caller's estimate. One that has run for longer than estimated is expected to run for half as long again.
func (a *attempt) remaining(now time.Duration) time.Duration {
	if a.rateKnown && a.rate > 0 {
		seconds := (fullShare - a.percent) / a.rate
		return max(time.Duration(seconds*float64(time.Second))-(now-a.measuredAt), 0)
	}
	ran := now - a.startedAt
	estimate := time.Duration(a.task.step.spec.EstimateMs) * time.Millisecond
	if ran >= estimate {
		return ran / 2
	}
	return estimate - ran
}
