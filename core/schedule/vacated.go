package schedule

import (
	"slices"
	"time"

	"fulmarcourse.example/core/workload"
)

// Where the capacity of a pool does not suffice for all, services and tasks that end have shares of it. A displaced service
// task comes before all tasks that end if services stay within their share with it: if it returns to the capacity that it
// left itself, or that services have left which ended, or if all services together leave minEndingShare to tasks that end.
const (
	// minEndingShare is the inverse of the share of a pool's capacity that is left to tasks that end when services are
	// restarted whose capacity is lost.
	minEndingShare = 8
	// restartAfterLoss is how long a service task whose worker is lost comes after tasks that end: the worker may return, and
	// urgent tasks would wait for a restart that is not needed. With the time of a nomination it stays below the 3 s that the
	// platform allows.
	restartAfterLoss = time.Second
)

// recordVacated records that a service task has left its place on a worker that answers, and does not need one any more.
func (s *Scheduler) recordVacated(a *attempt) {
	st := a.task.step
	if st.spec.Service && !a.worker.suspect && st.job.state.Final() {
		s.vacated[st.job.rec.Queue.Pool] += st.spec.Size.MilliCPU
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

// serviceShare describes the capacity of a pool's workers on which tasks may start, in thousandths of a core.
type serviceShare struct {
	workers  int
	capacity int64
	services int64 // what services have or is kept for them
	promised int64 // what is kept for services whose own capacity is lost
}

// serviceShares returns the shares of all pools.
func (s *Scheduler) serviceShares(now time.Duration) map[workload.PoolName]*serviceShare {
	shares := map[workload.PoolName]*serviceShare{}
	for _, w := range s.sortedWorkers {
		share := shares[w.info.Pool]
		if share == nil {
			share = &serviceShare{}
			shares[w.info.Pool] = share
		}
		if s.closed(now, w) != Suitable {
			continue
		}
		share.workers++
		share.capacity += w.info.Capacity.MilliCPU
		share.services += w.serviceReserved.MilliCPU
		for _, nominee := range w.nominees {
			share.addNominee(s, now, nominee)
		}
	}
	return shares
}

func (share *serviceShare) addNominee(s *Scheduler, now time.Duration, t *task) {
	share.services += t.step.spec.Size.MilliCPU
	if !s.hasLeftPlace(now, t) {
		share.promised += t.step.spec.Size.MilliCPU
	}
}

// allows reports whether services that take further thousandths of a core leave minEndingShare to tasks that end.
func (share *serviceShare) allows(milliCPU int64) bool {
	return share.services+milliCPU <= share.capacity-share.capacity/minEndingShare
}

// comesFirst reports whether a displaced task comes before all tasks that end.
func (s *Scheduler) comesFirst(now time.Duration, t *task, share *serviceShare) bool {
	size := t.step.spec.Size.MilliCPU
	switch {
	case t.nomination.worker != nil, s.hasLeftPlace(now, t), s.vacated[t.step.job.rec.Queue.Pool]-share.promised >= size:
		return true
	}
	return now-t.displacement.since >= restartAfterLoss && share.allows(size)
}

// restartFirst starts the displaced tasks that come before all tasks that end, and keeps capacity for those of them that fit
// on no worker.
func (s *Scheduler) restartFirst(cycle *planCycle) {
	s.dropOutdatedNominations(cycle.now)
	if len(cycle.displaced) == 0 {
		clear(s.vacated)
		return
	}
	for _, t := range cycle.displaced { // before one of them takes the place that another has left
		s.nominateToOwnPlace(cycle.now, t)
	}
	cycle.shares = s.serviceShares(cycle.now.Boot)
	cycle.displaced = slices.DeleteFunc(cycle.displaced, func(t *task) bool { return s.restartedFirst(cycle, t) })
}

// restartedFirst starts a displaced task if it comes first and fits on a worker. If it comes first and does not fit, it is
// nominated.
func (s *Scheduler) restartedFirst(cycle *planCycle, t *task) bool {
	share := cycle.shares[t.step.job.rec.Queue.Pool]
	if share == nil || !s.comesFirst(cycle.now.Boot, t, share) {
		return false
	}
	nominated := t.nomination.worker != nil
	w := s.chooseForRestart(cycle, t)
	if w == nil && nominated && s.fitsNominated(cycle.now, t) {
		w = t.nomination.worker
	}
	if w != nil {
		s.start(cycle.now.Boot, t, w)
		if !nominated {
			share.services += t.step.spec.Size.MilliCPU
		}
		return true
	}
	s.nominate(cycle, t, share)
	if !nominated && t.nomination.worker != nil {
		share.addNominee(s, cycle.now.Boot, t)
	}
	return false
}
