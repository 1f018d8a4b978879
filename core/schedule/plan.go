package schedule

import (
	"cmp"
	"slices"
	"time"

	"fulmarcourse.example/core/structs"
)

// Plan stops attempts that have to leave their worker and starts the tasks that can start now. TakeOrders returns the
// resulting orders.
func (s *Scheduler) Plan(now Time) {
	s.expireEarlyCancels(now)
	s.repeatStops(now)
	s.moveFromDraining(now)
	s.interference.refresh(now.Boot)
	s.moveFromSlow(now)
	s.moveThrottledFillers(now)
	s.startCopies(now)
	cycle := planCycle{now: now}
	for _, st := range s.stepsByUrgency(now) {
		s.startStep(&cycle, st)
	}
}

// planCycle records the task shapes that fit on no worker, so that they are not tried again in the same cycle.
type planCycle struct {
	now         Time
	unplaceable []taskShape // tasks that fit on no worker
}

// taskShape holds the properties of a task that decide where it fits: its size and, for fillers, its image.
type taskShape struct {
	size  structs.Resources
	image int
}

// fitsNowhere reports whether a task with the same image and at most the same size has already failed to fit on any
// worker.
func (c *planCycle) fitsNowhere(t taskShape) bool {
	return slices.ContainsFunc(c.unplaceable, func(u taskShape) bool {
		return u.image == t.image && u.size.Fits(t.size)
	})
}

// stepsByUrgency returns the startable steps with pending tasks, the most urgent first.
func (s *Scheduler) stepsByUrgency(now Time) []*step {
	var steps []*step
	for st := range s.openSteps {
		if st.pending > 0 && s.startable(now, st) {
			steps = append(steps, st)
		}
	}
	slices.SortFunc(steps, func(a, b *step) int {
		return cmp.Or(
			cmp.Compare(a.rank(now), b.rank(now)),
			cmp.Compare(a.job.dueByMs, b.job.dueByMs),
			cmp.Compare(a.job.rec.ID, b.job.rec.ID),
			cmp.Compare(a.occurrence, b.occurrence),
			cmp.Compare(a.index, b.index),
		)
	})
	return steps
}

// startable reports whether a step is due and its tasks are certainly not running under a former owner. The second
// condition does not apply to services, whose tasks are checked one by one by mayRunElsewhere, nor to steps that allow
// copies once takeoverCopyDelay has passed.
func (s *Scheduler) startable(now Time, st *step) bool {
	if s.placementUnknown(st.job) && !st.spec.Service && !(st.spec.Copies && now.Boot-s.takeoverAt > takeoverCopyDelay) {
		return false
	}
	return now.UnixMs >= st.job.rec.Recurrence.DueMs(st.occurrence)
}

// placementUnknown reports whether a former owner may have started tasks of a job on workers that have not reported
// yet.
func (s *Scheduler) placementUnknown(j *job) bool { return j.inherited && !s.TakeoverComplete() }

// mayRunElsewhere reports whether a former owner may have started a service task on a worker that has not reported yet.
func (s *Scheduler) mayRunElsewhere(t *task) bool {
	return t.step.spec.Service && s.placementUnknown(t.step.job) && s.awaitingReport[t.storedWorker]
}

// Ranks of jobs that miss their objective, which is the time from their acceptance to dueByMs. Late jobs have little
// value left for their callers and come after all jobs that can still be in time; worthless ones have none and come
// last.
const (
	lateRank      = 1 << 10
	worthlessRank = 1 << 20
)

// worthlessFactor is the multiple of a job's objective after which its result has no value.
const worthlessFactor = 3

// rank returns the sort rank of a step, the lowest first: the priority of its queue, with late jobs after all others.
func (st *step) rank(now Time) int {
	rec := st.job.rec
	if st.spec.Service || rec.Recurrence.Count > 0 {
		return rec.Queue.Priority
	}
	objective := st.job.dueByMs - rec.AcceptedMs
	switch {
	case now.UnixMs > rec.AcceptedMs+worthlessFactor*objective:
		return worthlessRank
	case now.UnixMs > st.job.dueByMs:
		return lateRank + rec.Queue.Priority
	}
	return rec.Queue.Priority
}

// startStep starts the pending tasks of a step as far as capacity allows.
func (s *Scheduler) startStep(cycle *planCycle, st *step) {
	shape, sufficient := st.shape()
	if sufficient && cycle.fitsNowhere(shape) {
		return
	}
	for _, t := range st.tasks {
		if !t.pending() || s.mayRunElsewhere(t) {
			continue
		}
		w := s.choose(cycle.now, t)
		if w != nil {
			s.start(cycle.now.Boot, t, w)
			continue
		}
		if sufficient && len(t.failedOn) == 0 {
			cycle.unplaceable = append(cycle.unplaceable, shape)
			return
		}
	}
}

// shape returns the shape of the step's tasks, and whether the shape is sufficient to decide where they fit.
func (st *step) shape() (shape taskShape, sufficient bool) {
	spec := st.spec
	shape = taskShape{spec.Reserved(), noImage}
	if spec.Filler {
		shape = taskShape{spec.Size, st.imageIndex}
	}
	return shape, spec.Label == "" && spec.MaxPerWorker == 0
}

// start creates an attempt of a task on a worker. The start of a service task is ordered once its worker is stored: a
// later owner then knows where the task may run and need not wait for other workers.
func (s *Scheduler) start(now time.Duration, t *task, w *worker) {
	base := (s.cfg.Term - 1) * attemptsPerTerm
	a := &attempt{task: t, number: max(t.lastAttempt, base) + 1, worker: w, phase: starting,
		startedAt: now, share: fullShare, confirmedShare: fullShare, resumed: t.checkpoint != ""}
	s.attach(a)
	if t.step.spec.Service {
		a.phase = awaitingStore
		t.storedWorker = w.info.ID
		s.markDirty(t.step.job)
		return
	}
	s.orderStart(a)
}

// orderStart issues the start order of an attempt.
func (s *Scheduler) orderStart(a *attempt) {
	order := a.order(OrderStart)
	order.Input, order.Checkpoint = a.task.step.job.rec.Input, a.task.checkpoint
	s.orders = append(s.orders, order)
	s.emit(a.event(EventTaskStarted))
}

// choose returns the best worker for a task, or nil when it fits on none.
func (s *Scheduler) choose(now Time, t *task) *worker {
	var best *worker
	bestScore := 0.0
	for _, w := range s.sortedWorkers {
		if !s.fits(now, t, w) {
			continue
		}
		if score := s.score(now.Boot, t, w); best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// fits reports whether a task may start on a worker.
func (s *Scheduler) fits(now Time, t *task, w *worker) bool {
	spec := t.step.spec
	switch {
	case w.info.Pool != t.step.job.rec.Queue.Pool,
		!w.available(now.Boot),
		s.evacuated[w.info.Datacentre],
		w.health.inBackOff(now.Boot),
		w.slowness.slow(now.Boot),
		!spec.Reserved().Fits(w.free()),
		!w.hasLabel(spec.Label),
		slices.Contains(t.failedOn, w.info.ID):
		return false
	}
	if spec.Filler && !s.fillerFits(now.Boot, t, w) {
		return false
	}
	return spec.MaxPerWorker == 0 || w.tasksOf(t.step) < spec.MaxPerWorker
}

// fillerFits reports whether a worker has unused processor time for a filler and its services are expected to meet
// their targets with it. No filler starts on the worker of a service that is over its target, however low its estimated
// pressure: pressures are estimates, and a new filler would use the processor time that the guard frees by throttling
// others.
func (s *Scheduler) fillerFits(now time.Duration, t *task, w *worker) bool {
	size := t.step.spec.Size.MilliCPU
	if w.spareFillerCPU() < size*minFillerCPUShare/100 {
		return false
	}
	for _, a := range w.attemptList {
		if a.mayBeOverByFillers(now) {
			return false
		}
	}
	tail, _ := s.predictTail(now, w, t)
	return tail < tailStart
}

// minFillerCPUShare is the share of its processor demand, in percent, that must be unused for a filler task to start.
// With less it would only take processor time from the fillers that already run.
const minFillerCPUShare = 60

// serviceUse is the share of their reservation, in percent, that service tasks are assumed to use.
const serviceUse = 50

// spareFillerCPU returns the thousandths of a core that further filler tasks are expected to get. Fillers that are
// throttled leave the rest of their demand to others.
func (w *worker) spareFillerCPU() int64 {
	others := w.reserved.MilliCPU - w.serviceCPU + w.serviceCPU*serviceUse/100
	fillers := int64(0)
	for _, a := range w.attemptList {
		if a.filler() {
			fillers += a.task.step.spec.Size.MilliCPU * int64(a.share) / fullShare
		}
	}
	return w.info.Capacity.MilliCPU - others - fillers
}

// tasksOf counts the tasks of a step on the worker.
func (w *worker) tasksOf(st *step) int {
	n := 0
	for _, a := range w.attemptList {
		if a.task.step == st {
			n++
		}
	}
	return n
}

// score rates a worker that fits a task; the highest score is best.
func (s *Scheduler) score(now time.Duration, t *task, w *worker) float64 {
	spec := t.step.spec
	capacity := float64(max(w.info.Capacity.MilliCPU, 1))
	var rating float64
	switch {
	case spec.Filler:
		_, rise := s.predictTail(now, w, t)
		rating = float64(w.spareFillerCPU())/capacity - pressurePenalty*rise
	case spec.Service:
		// Services are packed onto few workers, so that others keep capacity for large tasks and for fillers that
		// interfere with no service. Services of the same image share workers, so that a filler that interferes with
		// one image finds workers without it.
		rating = float64(w.serviceCPU)/capacity - mixedImagePenalty*w.otherImageShare(spec.Image)
	default:
		rating = float64(w.free().MilliCPU) / capacity
	}
	if spec.DataRack != "" && !w.hasLabel(spec.DataRack) {
		rating -= remoteDataPenalty
	}
	return rating
}

const (
	// pressurePenalty is the weight of the pressure on services relative to the unused share of the processor time.
	pressurePenalty = 3.0
	// mixedImagePenalty is the weight of services of other images relative to the share of the worker used by services.
	mixedImagePenalty = 1.0
)

// otherImageShare returns the share of the services on the worker that run other images.
func (w *worker) otherImageShare(image string) float64 {
	if w.services == 0 {
		return 0
	}
	others := 0
	for _, a := range w.attemptList {
		if spec := a.task.step.spec; spec.Service && spec.Image != image {
			others++
		}
	}
	return float64(others) / float64(w.services)
}

// remoteDataPenalty exceeds any other difference between the scores of two workers.
const remoteDataPenalty = 2
