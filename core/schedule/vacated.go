package schedule

import (
	"slices"
	"time"

	"fulmarcourse.example/core/workload"
)

// restartAfterLoss is how long a service task whose worker is lost comes after tasks that end: the worker may return, and urgent
// tasks would wait for a restart that is not needed. With the time of a nomination it stays below the 3 s that the platform
// allows. A task that returns to the capacity which it left itself, or which services have left that ended, does not wait.
const restartAfterLoss = time.Second

// recordVacated records that a service task has left its place on a worker that answers, and does not need one any more.
func (s *Scheduler) recordVacated(a *attempt) {
	st := a.task.step
	if st.spec.Service && !a.worker.suspect && st.job.state.Final() {
		s.vacated[a.worker.info.Pool] += st.spec.Size.MilliCPU
	}
}

// recordTaken records that a service task takes a place, unless it is due to it as it has left one itself.
func (s *Scheduler) recordTaken(now time.Duration, t *task) {
	if t.ran && s.hasLeftPlace(now, t) {
		return
	}
	pool := t.step.job.rec.Queue.Pool
	s.vacated[pool] = max(s.vacated[pool]-t.step.spec.Size.MilliCPU, 0)
}

// hasLeftPlace reports whether the worker of a displaced task still answers, so that the capacity it had there is not lost.
func (s *Scheduler) hasLeftPlace(now time.Duration, t *task) bool {
	w := s.workers[t.storedWorker]
	return w != nil && !w.suspect && w.reachable(now)
}

// openPool describes the workers of a pool on which tasks may start.
type openPool struct {
	workers  int
	promised int64 // thousandths of a core that are kept for services whose own capacity is lost
}

// openPools returns the pools with workers on which tasks may start.
func (s *Scheduler) openPools(now time.Duration) map[workload.PoolName]*openPool {
	pools := map[workload.PoolName]*openPool{}
	for _, w := range s.sortedWorkers {
		if s.closed(now, w) != Suitable {
			continue
		}
		pool := pools[w.info.Pool]
		if pool == nil {
			pool = &openPool{}
			pools[w.info.Pool] = pool
		}
		pool.workers++
		for _, nominee := range w.nominees {
			pool.addNominee(s, now, nominee)
		}
	}
	return pools
}

func (p *openPool) addNominee(s *Scheduler, now time.Duration, t *task) {
	if !s.hasLeftPlace(now, t) {
		p.promised += t.step.spec.Size.MilliCPU
	}
}

// comesFirst reports whether a displaced task comes before all tasks that end: it starts where it fits, and is nominated otherwise. Only
// workers whose services leave room for it get a nominee, so tasks that end keep the capacity of all others.
func (s *Scheduler) comesFirst(now time.Duration, t *task, pool *openPool) bool {
	return t.nomination.worker != nil || s.hasLeftPlace(now, t) || now-t.displacement.since >= restartAfterLoss ||
		s.vacated[t.step.job.rec.Queue.Pool]-pool.promised >= t.step.spec.Size.MilliCPU
}

// keepOwnPlaces keeps the places that displaced tasks have left, before one of them takes the place of another and before foreseen restarts
// get theirs.
func (s *Scheduler) keepOwnPlaces(cycle *planCycle) {
	s.dropOutdatedNominations(cycle.now)
	for _, t := range cycle.displaced {
		s.nominateToOwnPlace(cycle.now, t)
	}
}

// restartFirst starts the displaced tasks that come before all tasks that end, and keeps capacity for those of them that fit
// on no worker.
func (s *Scheduler) restartFirst(cycle *planCycle) {
	cycle.scan, s.placesGivenUp = cycle.scan || s.placesGivenUp, false
	if len(cycle.displaced) == 0 {
		clear(s.vacated)
		return
	}
	cycle.pools = s.openPools(cycle.now.Boot)
	cycle.displaced = slices.DeleteFunc(cycle.displaced, func(t *task) bool { return s.restartedFirst(cycle, t) })
	s.endNominations(cycle)
	s.nominateToPlacesGivenUp(cycle)
}

// restartedFirst starts a displaced task if it comes first and fits on a worker. If it comes first and does not fit, it is
// nominated.
func (s *Scheduler) restartedFirst(cycle *planCycle, t *task) bool {
	pool := cycle.pools[t.step.job.rec.Queue.Pool]
	if pool == nil || !s.comesFirst(cycle.now.Boot, t, pool) {
		return false
	}
	nominated := t.nomination.worker != nil
	w := s.chooseForRestart(cycle, t)
	if w == nil && nominated && s.fitsNominated(cycle.now, t) {
		w = t.nomination.worker
	}
	if w != nil {
		s.start(cycle.now.Boot, t, w)
		return true
	}
	s.nominate(cycle, t, pool)
	if !nominated && t.nomination.worker != nil {
		pool.addNominee(s, cycle.now.Boot, t)
	}
	return false
}
