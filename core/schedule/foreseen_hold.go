package schedule

import (
	"slices"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
)

// foreseenHold says which places of foreseen restarts first starts leave free in a pool.
type foreseenHold struct {
	labelledOnly bool          // only those of restarts that need a label, which few workers may have
	bound        time.Duration // the time for which a step may be held back in all
}

// applies reports whether first starts leave the place of a foreseen restart free, by the label that it needs; empty if it needs none.
func (h foreseenHold) applies(label string) bool { return label != "" || !h.labelledOnly }

// maxForeseenHold is the time for which foreseen restarts hold back the first starts of a step in all: as long as the leases of a worker
// last that falls silent, also under a former owner.
func (s *Scheduler) maxForeseenHold() time.Duration {
	return s.cfg.HandoverGrace + s.cfg.leaseBound()
}

// holdOf returns which places first starts leave free in a pool. In one that is little used, the platform allows first starts to wait
// for 3 s at most, also while workers are silent, and restarts that may run on any worker find room.
func (s *Scheduler) holdOf(now time.Duration, pool workload.PoolName) foreseenHold {
	if s.useOf(now, pool).little {
		return foreseenHold{labelledOnly: true, bound: lastResortAfter}
	}
	return foreseenHold{bound: s.maxForeseenHold()}
}

// yieldsToForeseen reports whether the first starts of a step leave places of foreseen restarts free.
func (s *Scheduler) yieldsToForeseen(st *step) bool {
	return st.spec.Service && st.heldFor < s.foreseen.holds[st.job.rec.Queue.Pool].bound
}

// keptForForeseen reports whether a worker has no room for the first start of a service beside its services and the foreseen restarts:
// those that have a place there, and any one without a place that would fit. A restart that was foreseen itself leaves the places of the
// others free elsewhere until it is overdue: leases of workers that fell silent together expire one after another.
func (s *Scheduler) keptForForeseen(now time.Duration, t *task, w *worker) bool {
	if t.ran {
		return t.leavesForeseenPlaces(now) && w != t.nomination.worker && len(w.foreseen.tasks) > 0 &&
			!t.step.spec.Reserved().Fits(w.roomBesideServices(t).Sub(w.foreseen.size))
	}
	if !s.yieldsToForeseen(t.step) {
		return false
	}
	hold := s.foreseen.holds[w.info.Pool]
	kept := w.foreseen.sizeKeptBy(hold)
	room := w.roomBesideServices(t).Sub(kept)
	if (!hold.labelledOnly || kept != structs.Resources{}) && !t.step.spec.Reserved().Fits(room) {
		return true
	}
	return slices.ContainsFunc(s.foreseen.unplaced[w.info.Pool], func(need foreseenNeed) bool {
		return hold.applies(need.label) && need.size.Fits(room) && w.hasLabel(need.label)
	})
}

// mayBlockForeseen reports whether a task that ends does not start where it leaves no room for foreseen restarts: in a full pool, once it may
// not be stopped for them any more.
func (s *Scheduler) mayBlockForeseen(t *task) bool {
	return !t.step.spec.Service && !t.mayBeStoppedAgain() && len(s.foreseen.tasks) > 0 &&
		!s.foreseen.holds[t.step.job.rec.Queue.Pool].labelledOnly
}

// blocksForeseen reports whether a task that may not be stopped any more leaves too little room on a worker for the foreseen restarts that
// have a place there, beside others that may not be stopped.
func (s *Scheduler) blocksForeseen(t *task, w *worker) bool {
	if len(w.foreseen.tasks) == 0 || !s.mayBlockForeseen(t) {
		return false
	}
	room := w.roomBesideServices(t).Sub(w.foreseen.size)
	for _, a := range w.attemptList {
		if !a.task.step.spec.Service && a.phase != stopping && !a.task.mayBeStoppedAgain() {
			room = room.Sub(a.task.step.spec.Reserved())
		}
	}
	return !t.step.spec.Reserved().Fits(room)
}

// sizeKeptBy returns what the places need that first starts leave free.
func (p *keptPlaces) sizeKeptBy(hold foreseenHold) structs.Resources {
	if !hold.labelledOnly {
		return p.size
	}
	size := structs.Resources{}
	for _, t := range p.tasks {
		if hold.applies(t.step.spec.Label) {
			size = size.Add(t.step.spec.Reserved())
		}
	}
	return size
}

// leavesForeseenPlaces reports whether the restart of a displaced task was foreseen, with a place or without, and it is not overdue.
func (t *task) leavesForeseenPlaces(now time.Duration) bool {
	return (t.nomination.foreseen || t.displacement.foreseen) && now-t.displacement.since < restartOverdueAfter
}

// heldByForeseen reports whether a first start of a step would fit on a worker but for the foreseen restarts. In a pool that is little
// used, an avoided worker would do as well, see chooseLastResort.
func (s *Scheduler) heldByForeseen(now Time, st *step) bool {
	n := slices.IndexFunc(st.tasks, func(t *task) bool { return t.pending() && !t.ran && !s.heldBack(now.Boot, t) })
	if n < 0 {
		return false
	}
	t := st.tasks[n]
	littleUsed := s.foreseen.holds[st.job.rec.Queue.Pool].labelledOnly
	return slices.ContainsFunc(s.sortedWorkers, func(w *worker) bool {
		return s.lacksRoom(now.Boot, t, w) == WaitForeseen && s.mayStartOn(now.Boot, w) && s.suits(now, t, w) &&
			(littleUsed || w.avoided(now.Boot) == Suitable)
	})
}

// recordHeld adds the time since it was called last to that for which foreseen restarts have held back first starts of a step. It is
// called in each scan in which they do, so they have not held them back for all of a longer time.
func (st *step) recordHeld(now time.Duration) {
	st.heldFor += min(now-st.heldAt, 2*scanInterval)
	st.heldAt = now
}
