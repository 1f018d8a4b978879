package schedule

import (
	"slices"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
)

// scanInterval is the minimum time between two scans of all attempts for those that are worth moving or copying, and of all
// workers for overdue restarts. The conditions are durations of a second or more.
const scanInterval = 100 * time.Millisecond

// Plan stops attempts that have to leave their worker and starts the tasks that can start now. TakeOrders returns the
// resulting orders.
func (s *Scheduler) Plan(now Time) {
	s.calledAt, s.plannedAt = now.Boot, now
	s.expireEarlyCancels(now)
	s.repeatStops(now)
	s.moveFromDraining(now)
	s.interference.refresh(now.Boot)
	s.neededAtPlan = s.serviceNeeds(now)
	scan := now.Boot-s.scannedAt >= scanInterval
	if scan {
		s.scannedAt = now.Boot
		s.moveFromSlow(now)
		s.moveThrottledFillers(now)
		s.startCopies(now)
	}
	s.fillerSearches, s.incomplete = 0, false
	cycle := planCycle{now: now, scan: scan, displaced: s.displacedTasks(now)}
	s.keepOwnPlaces(&cycle)
	s.nominateForeseen(now)
	if scan || s.foreseen.outdated {
		s.foreseeRestarts(now)
	}
	s.restartFirst(&cycle)
	s.preempt(&cycle)
	steps := s.stepsByUrgency(now)
	for _, st := range steps {
		s.restartBefore(&cycle, st)
		s.startStep(&cycle, st)
	}
	s.startThrottledFillers(now, steps)
	if !s.incomplete {
		s.fillerPass++
	}
}

// Incomplete reports whether the latest planning run has left fillers to the next one that have not had their turn.
func (s *Scheduler) Incomplete() bool { return s.incomplete }

// planCycle records the task shapes that fit on no worker, so that they are not tried again in the same cycle.
type planCycle struct {
	now              Time
	scan             bool        // scanInterval has passed since the latest scan, or places have been given up
	displaced        []*task     // displaced tasks whose turn has not come yet in this cycle, the most urgent first
	unplaceable      []taskShape // tasks that fit on no worker
	unplaceableAtAll []taskShape // tasks that do not fit on avoided workers either, see chooseAvoided
	nominations      int
	nominationsLeft  bool        // a task has not had its turn because of maxNominations
	unnominatable    []taskShape // tasks that could not be nominated to any worker
	// unnominatableSteps are steps whose tasks exclude each other and of which a task could not be nominated to any worker.
	unnominatableSteps []*step
	pools              map[workload.PoolName]*openPool // only with displaced tasks
}

// taskShape holds the properties of a task that decide where it fits: its pool, its label, its size, for fillers their image, and
// whether it leaves the places of foreseen restarts free, see keptForForeseen.
type taskShape struct {
	pool   workload.PoolName
	label  string
	size   structs.Resources
	image  int
	yields bool
}

// fitsNowhere reports whether a task of the same pool and image, of at most the same size and without a label or with the same
// one has already failed to fit on any worker.
func (c *planCycle) fitsNowhere(t taskShape) bool {
	return t.among(c.unplaceable)
}

// among reports whether one of the shapes fits wherever a task of shape t does.
func (t taskShape) among(shapes []taskShape) bool {
	return slices.ContainsFunc(shapes, func(u taskShape) bool {
		return u.pool == t.pool && (u.label == "" || u.label == t.label) && u.image == t.image && (t.yields || !u.yields) && u.size.Fits(t.size)
	})
}

// stepsByUrgency returns the startable steps with pending tasks, the most urgent first.
func (s *Scheduler) stepsByUrgency(now Time) []*step {
	var steps []*step
	for st := range s.pendingSteps {
		if _, open := s.openSteps[st]; !open || st.pending == 0 {
			delete(s.pendingSteps, st)
			continue
		}
		if s.startable(now, st) {
			st.urgency = st.urgencyAt(now)
			steps = append(steps, st)
		}
	}
	slices.SortFunc(steps, func(a, b *step) int { return s.compareSteps(now, a, b) })
	return steps
}

// fillerRetryDelay is the time after which a filler that fitted nowhere is tried again. A search for a filler checks many
// workers, and what their services bear changes with the reports, which take longer than this.
const fillerRetryDelay = 100 * time.Millisecond

const (
	// maxFillerSearches is the maximum number of searches for fillers in a planning run. Reports and more urgent tasks wait for
	// the end of a run, and in a large fleet a search rates a thousand workers. The runs up to the first that can search for all
	// steps form a pass.
	maxFillerSearches = 64
	// maxRepeatedSearches is the number of searches in a planning run up to which a step is searched for that has fitted nowhere
	// in the same pass. The rest is for the steps that have not had their turn.
	maxRepeatedSearches = maxFillerSearches / 2
)

// mayPlaceFiller reports whether the planning run may place a further filler of a step.
func (s *Scheduler) mayPlaceFiller(now Time, st *step) bool {
	if s.fillerSearch.has(now, st) && len(s.fillerSearch.remaining) > 0 {
		return true
	}
	if st.hadTurn(s.fillerPass) {
		return s.fillerSearches < maxRepeatedSearches
	}
	return s.fillerSearches < maxFillerSearches
}

// hadTurn reports whether all tasks of a step were tried in a pass and one of them has fitted nowhere.
func (st *step) hadTurn(pass int) bool { return st.fitsNowhereIn == pass }

// startStep starts the pending tasks of a step, except for displaced ones, as far as capacity allows.
func (s *Scheduler) startStep(cycle *planCycle, st *step) {
	if cycle.now.Boot < st.retryAt {
		st.unplacedAt = cycle.now.Boot
		return
	}
	shape, sufficient := st.shape()
	shape.yields = s.yieldsToForeseen(st)
	if cycle.fitsNowhere(shape) {
		s.recordUnplaced(cycle, st, shape)
		return
	}
	var tried stepSearches
	for _, t := range st.tasks {
		if !t.pending() || t.displaced() || s.mayRunElsewhere(t) || s.heldBack(cycle.now.Boot, t) {
			continue
		}
		if t.forgetFailedOn(cycle.now.Boot); tried.exclude(t) {
			continue
		}
		if st.spec.Filler && !s.mayPlaceFiller(cycle.now, st) {
			s.incomplete = s.incomplete || !st.hadTurn(s.fillerPass)
			return
		}
		w := s.choose(cycle.now, t)
		if w != nil {
			if !st.spec.Filler {
				s.countPassedOver(cycle, w)
			}
			s.start(cycle.now.Boot, t, w)
			continue
		}
		s.recordUnplaced(cycle, st, shape)
		if st.spec.Filler {
			st.retryAt = cycle.now.Boot + fillerRetryDelay
		}
		if t.onProbation() || s.mayBlockForeseen(t) {
			continue // it avoids workers that the other tasks do not
		}
		tried.add(t)
		if len(tried.untried) > 0 {
			continue
		}
		if sufficient {
			cycle.unplaceable = append(cycle.unplaceable, shape)
		}
		break
	}
	if st.unplacedAt == cycle.now.Boot {
		st.fitsNowhereIn = s.fillerPass
	}
}

// recordUnplaced records that no worker was found for a task of a step, and in a scan whether that is so because it yields to foreseen
// restarts.
func (s *Scheduler) recordUnplaced(cycle *planCycle, st *step, shape taskShape) {
	st.unplacedAt = cycle.now.Boot
	if shape.yields && cycle.scan && s.heldByForeseen(cycle.now, st) {
		st.recordHeld(cycle.now.Boot)
	}
}

// stepSearches describes the searches of a planning run for tasks of a step that have found no worker. Such tasks differ only in the
// workers on which they have failed, so few searches decide for all of them.
type stepSearches struct {
	made    bool
	untried []WorkerID // workers that none of the searches has considered, since all these tasks have failed there
}

// exclude reports whether a task fits on no worker either: it has failed on all workers that were not considered.
func (c *stepSearches) exclude(t *task) bool {
	return c.made && !slices.ContainsFunc(c.untried, func(id WorkerID) bool { return !slices.Contains(t.failedOn, id) })
}

// add records that no worker was found for a task.
func (c *stepSearches) add(t *task) {
	if !c.made {
		c.made, c.untried = true, slices.Clone(t.failedOn)
		return
	}
	c.untried = slices.DeleteFunc(c.untried, func(id WorkerID) bool { return !slices.Contains(t.failedOn, id) })
}

// shape returns the shape of the step's tasks, and whether it is sufficient to decide where they fit. If it is not, they do not
// fit on some of the workers on which other tasks of the shape do.
func (st *step) shape() (shape taskShape, sufficient bool) {
	spec := st.spec
	pool := st.job.rec.Queue.Pool
	shape = taskShape{pool: pool, label: spec.Label, size: spec.Reserved(), image: noImage}
	if spec.Filler {
		shape.size, shape.image = spec.Size, st.imageIndex
	}
	return shape, spec.MaxPerWorker == 0
}

// start creates an attempt of a task on a worker. The start of a service task is ordered once its worker is stored: a
// later owner then knows where the task may run and need not wait for other workers.
func (s *Scheduler) start(now time.Duration, t *task, w *worker) {
	base := (s.cfg.Term - 1) * attemptsPerTerm
	a := &attempt{task: t, number: max(t.lastAttempt, base) + 1, worker: w, phase: starting,
		startedAt: now, share: fullShare, confirmedShare: fullShare, resumed: t.checkpoint != ""}
	s.countStart(t, w)
	if t.step.spec.Service {
		s.recordTaken(now, t)
		s.giveUpPlace(t, w)
	}
	s.attach(a)
	if t.step.spec.Service {
		t.storedWorker = w.info.ID
		s.markDirty(t.step.job)
		if t.recordedWorker != w.info.ID {
			a.phase = awaitingStore
			return
		}
	}
	s.orderStart(now, a)
}

// orderStart issues the start order of an attempt.
func (s *Scheduler) orderStart(now time.Duration, a *attempt) {
	a.orderedAt = now
	order := a.order(OrderStart)
	order.Input, order.Checkpoint = a.task.step.job.rec.Input, a.task.checkpoint
	s.orders = append(s.orders, order)
	event := a.event(EventTaskStarted)
	waited := time.Duration(0)
	if len(a.task.attempts) == 1 { // a copy does not wait
		waited = now - s.waitsSince(a.task)
	}
	if a.task.endedAt > 0 || waited > LongWait {
		event.Waited, event.Stored = waited, now-a.startedAt
	}
	if waited > LongWait {
		event.WaitReason = a.task.waitReason
	}
	a.task.waitReason = Suitable
	s.emit(event)
}
