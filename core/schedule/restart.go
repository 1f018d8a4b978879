package schedule

import (
	"cmp"
	"iter"
	"math"
	"slices"
	"time"
)

const (
	// maxPassedOver is the number of other tasks within passedOverWindow that may start on workers with room for a displaced
	// service task before it comes first for precedence. It has an effect only within restartAfterLoss; from then on the task comes
	// before those that end without it.
	maxPassedOver    = 30
	passedOverWindow = 1500 * time.Millisecond
	// precedence is how long a displaced task that was passed over comes first. It is limited so that tasks that end do not
	// wait for capacity that is no longer there for both.
	precedence = 1500 * time.Millisecond
	// restartOverdueAfter is how long a displaced service task waits for a worker on which it has not failed, and how long
	// it avoids a worker after a fault. With the write to the store and the start it stays below the 3 s that the platform
	// allows while there is room.
	restartOverdueAfter = 1500 * time.Millisecond
)

// displacement describes a service task that has run and has lost its place. The zero value describes one that has not.
type displacement struct {
	since      time.Duration // when it was first seen to be displaced
	countFrom  time.Duration // start of the current passedOverWindow
	passedOver int           // starts of other tasks in the window on workers with room for it
	firstUntil time.Duration // until when it comes before all other tasks, because it was passed over too often
	foreseen   bool          // its restart was foreseen and had no place when it became due
	triedIn    int           // latest pass of nominations in which it had its turn, see maxNominations; 0 if none
}

// displaced reports whether a service task has run and has lost its place.
func (t *task) displaced() bool { return t.ran && t.step.spec.Service && t.pending() }

// restartOverdue reports whether a displaced task has waited for too long.
func (t *task) restartOverdue(now Time) bool {
	return now.Boot-t.displacement.since >= restartOverdueAfter
}

// update starts a new window to count in once the current one has passed.
func (d *displacement) update(now time.Duration) {
	if d.since == 0 {
		d.since = now
	}
	if now-d.countFrom > passedOverWindow {
		d.countFrom, d.passedOver = now, 0
	}
}

// first reports whether the task comes before all other tasks.
func (d *displacement) first(now time.Duration) bool { return now < d.firstUntil }

// maxPassedOverChecks is the maximum number of displaced tasks that are checked at each start of another task. After the loss
// of a data centre there are hundreds, and most of them differ little.
const maxPassedOverChecks = 32

// countPassedOver records that a task is started on a worker on which displaced tasks might have started. It checks the most
// urgent ones only.
func (s *Scheduler) countPassedOver(cycle *planCycle, w *worker) {
	for _, t := range cycle.displaced[:min(len(cycle.displaced), maxPassedOverChecks)] {
		d := &t.displacement
		if d.first(cycle.now.Boot) || !s.fits(cycle.now, t, w) {
			continue
		}
		d.passedOver++
		if d.passedOver >= maxPassedOver {
			*d = displacement{since: d.since, foreseen: d.foreseen, firstUntil: cycle.now.Boot + precedence}
		}
	}
}

// restartRank returns the sort rank of a displaced task. It compares with step.rank.
func (t *task) restartRank(now Time) int {
	if t.displacement.first(now.Boot) {
		return math.MinInt
	}
	return t.step.rank(now)
}

// pendingServiceSteps returns the open steps of services with pending tasks, in no particular order.
func (s *Scheduler) pendingServiceSteps() iter.Seq[*step] {
	return func(yield func(*step) bool) {
		for st := range s.pendingSteps {
			if _, open := s.openSteps[st]; open && st.pending > 0 && st.spec.Service && !yield(st) {
				return
			}
		}
	}
}

// displacedTasks returns the displaced tasks that may start, the most urgent first.
func (s *Scheduler) displacedTasks(now Time) []*task {
	var tasks []*task
	for st := range s.pendingServiceSteps() {
		if !s.startable(now, st) {
			continue
		}
		for _, t := range st.tasks {
			if !t.displaced() {
				continue
			}
			t.displacement.update(now.Boot)
			if !s.mayRunElsewhere(t) && !s.heldBack(now.Boot, t) {
				tasks = append(tasks, t)
			}
		}
	}
	slices.SortFunc(tasks, func(a, b *task) int {
		return cmp.Or(
			cmp.Compare(a.restartRank(now), b.restartRank(now)),
			cmp.Compare(a.displacement.since, b.displacement.since),
			compareIDs(a.step, b.step),
			cmp.Compare(a.index, b.index),
		)
	})
	return tasks
}

// restartBefore starts the displaced tasks that come before the tasks of a step, as far as capacity allows: those that come
// first, those of a lower rank, and before a service those of its own rank.
func (s *Scheduler) restartBefore(cycle *planCycle, st *step) {
	rank := st.rank(cycle.now)
	for len(cycle.displaced) > 0 {
		t := cycle.displaced[0]
		own := t.restartRank(cycle.now)
		if own > rank || own == rank && !st.spec.Service {
			return
		}
		cycle.displaced = cycle.displaced[1:]
		w := s.chooseForRestart(cycle, t)
		if w != nil {
			s.start(cycle.now.Boot, t, w)
		}
	}
}

// chooseForRestart returns the best worker for a displaced task, or nil when it fits on none.
func (s *Scheduler) chooseForRestart(cycle *planCycle, t *task) *worker {
	if t.nomination.foreseen && s.fits(cycle.now, t, t.nomination.worker) {
		return t.nomination.worker
	}
	shape, sufficient := t.step.shape()
	shape.yields = t.leavesForeseenPlaces(cycle.now.Boot)
	sufficient = sufficient && !t.onProbation()
	if !cycle.fitsNowhere(shape) {
		w := s.choose(cycle.now, t)
		if w != nil {
			return w
		}
		if sufficient && len(t.failedOn) == 0 {
			cycle.unplaceable = append(cycle.unplaceable, shape)
		}
	}
	t.step.unplacedAt = cycle.now.Boot
	if !cycle.scan || !t.restartOverdue(cycle.now) || shape.among(cycle.unplaceableAtAll) {
		return nil
	}
	w := s.chooseAvoided(cycle.now, t)
	if w == nil && sufficient {
		cycle.unplaceableAtAll = append(cycle.unplaceableAtAll, shape)
	}
	return w
}

// chooseAvoided returns the best of the workers with room for a task among those on which it has failed and those whose
// latest fault was restartOverdueAfter ago. Workers on which the task has failed come last.
func (s *Scheduler) chooseAvoided(now Time, t *task) *worker {
	var best *worker
	bestFailed, bestScore := false, 0.0
	for _, w := range s.sortedWorkers {
		if !s.fitsAvoided(now, t, w) {
			continue
		}
		failed, score := slices.Contains(t.failedOn, w.info.ID), s.score(now.Boot, t, w)
		if best == nil || bestFailed && !failed || bestFailed == failed && score > bestScore {
			best, bestFailed, bestScore = w, failed, score
		}
	}
	return best
}

// faultyWithin reports whether the worker has become slow, was lost or was put into back-off within a time that has just passed.
func (w *worker) faultyWithin(now, d time.Duration) bool {
	backOffFrom := w.health.until - w.health.length
	return w.slowness.slowWithin(now, d) ||
		now < w.stability.until && now-w.stability.lostAt < d ||
		w.health.inBackOff(now) && now-backOffFrom < d
}
