package schedule

import (
	"cmp"
	"slices"
	"time"

	"fulmarcourse.example/core/structs"
)

// Plan starts the tasks that can start now and moves those that have to leave their worker. The orders are taken out
// with TakeOrders.
func (s *Scheduler) Plan(now Time) {
	s.repeatStops(now)
	s.leaveDraining(now)
	s.model.refresh(now.Boot)
	s.leaveSlow(now)
	s.moveSlowed(now)
	s.startCopies(now)
	cycle := planCycle{now: now}
	for _, st := range s.urgent(now) {
		s.startStep(&cycle, st)
	}
}

// planCycle remembers what found no room, so that equal steps are not tried again in the same cycle.
type planCycle struct {
	now  Time
	full []triedSize // tasks that fit on no worker
}

// triedSize is a task that fits on no worker: the size decides, and for fillers the image.
type triedSize struct {
	size  structs.Resources
	image int
}

// tried reports whether a task of the same image that is no smaller was tried in vain.
func (c *planCycle) tried(t triedSize) bool {
	return slices.ContainsFunc(c.full, func(full triedSize) bool {
		return full.image == t.image && full.size.Fits(t.size)
	})
}

// urgent returns the steps with waiting tasks, the most urgent first.
func (s *Scheduler) urgent(now Time) []*step {
	var steps []*step
	for st := range s.open {
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

// startable reports whether a step is due and its tasks are certainly not running under a former owner.
func (s *Scheduler) startable(now Time, st *step) bool {
	if s.uncertain(st.job) && !st.spec.Service && !(st.spec.Copies && now.Boot-s.inheritedAt > takeoverCopies) {
		return false
	}
	return now.UnixMs >= st.job.rec.Recurrence.DueMs(st.occurrence)
}

// uncertain reports whether it is not known yet where a former owner has started tasks of a job.
func (s *Scheduler) uncertain(j *job) bool { return j.inherited && !s.TakeoverComplete() }

// mayRunElsewhere reports whether a former owner may have started a service task on a worker that has not reported yet.
func (s *Scheduler) mayRunElsewhere(t *task) bool {
	return t.step.spec.Service && s.uncertain(t.step.job) && s.askFirst[t.recorded]
}

// Ranks of jobs that miss their objective: late ones are worth a small part to their callers and come after all that
// can still be in time; hopeless ones are worth nothing and come last.
const (
	lateRank     = 1 << 10
	hopelessRank = 1 << 20
)

// lateFactor is the multiple of a job's objective after which its result is worth nothing.
const lateFactor = 3

// rank orders steps: by the priority of their queue, the late ones behind all others.
func (st *step) rank(now Time) int {
	rec := st.job.rec
	if st.spec.Service || rec.Recurrence.Count > 0 {
		return rec.Queue.Priority
	}
	objective := st.job.dueByMs - rec.AcceptedMs
	switch {
	case now.UnixMs > rec.AcceptedMs+lateFactor*objective:
		return hopelessRank
	case now.UnixMs > st.job.dueByMs:
		return lateRank + rec.Queue.Priority
	}
	return rec.Queue.Priority
}

// startStep starts the waiting tasks of a step as far as there is room.
func (s *Scheduler) startStep(cycle *planCycle, st *step) {
	size, plain := st.triedSize()
	if plain && cycle.tried(size) {
		return
	}
	for _, t := range st.tasks {
		if !t.waiting() || s.mayRunElsewhere(t) {
			continue
		}
		w := s.choose(cycle.now, t)
		if w != nil {
			s.start(cycle.now.Boot, t, w)
			continue
		}
		if plain && len(t.avoid) == 0 {
			cycle.full = append(cycle.full, size)
			return
		}
	}
}

// triedSize returns what decides where the tasks of the step fit; plain is false when more does.
func (st *step) triedSize() (size triedSize, plain bool) {
	spec := st.spec
	size = triedSize{spec.Reserved(), noImage}
	if spec.Filler {
		size = triedSize{spec.Size, st.image}
	}
	return size, spec.Label == "" && spec.MaxPerWorker == 0
}

// start begins an attempt of a task on a worker. The start of a service task is ordered once the store holds the worker:
// a later owner then knows where the task may run, and need not wait for other workers.
func (s *Scheduler) start(now time.Duration, t *task, w *worker) {
	base := (s.cfg.Term - 1) * attemptsPerTerm
	a := &attempt{task: t, number: max(t.lastAttempt, base) + 1, worker: w, phase: starting,
		startedAt: now, share: fullShare, pacedTo: fullShare, resumed: t.checkpoint != ""}
	s.attach(a)
	if t.step.spec.Service {
		a.phase = recording
		t.recorded = w.info.ID
		s.markDirty(t.step.job)
		return
	}
	s.orderStart(a)
}

// orderStart orders the start of an attempt.
func (s *Scheduler) orderStart(a *attempt) {
	order := a.order(OrderStart)
	order.Input, order.Checkpoint = a.task.step.job.rec.Input, a.task.checkpoint
	s.orders = append(s.orders, order)
	s.note(a.event(EventTaskStarted))
}

// choose returns the best worker for a task, or nil when none has room.
func (s *Scheduler) choose(now Time, t *task) *worker {
	var best *worker
	bestScore := 0.0
	for _, w := range s.order {
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
		w.health.quarantined(now.Boot),
		w.slowness.slow(now.Boot),
		!spec.Reserved().Fits(w.free()),
		!w.hasLabel(spec.Label),
		slices.Contains(t.avoid, w.info.ID):
		return false
	}
	if spec.Filler && !s.fillerFits(now.Boot, t, w) {
		return false
	}
	return spec.MaxPerWorker == 0 || w.tasksOf(t.step) < spec.MaxPerWorker
}

// fillerFits reports whether there is unused processor time for a filler and the services on the worker keep to their
// targets beside it. Nothing starts beside a service that is over its target, however harmless it is taken to be: the
// pressures are estimates, and a new filler would take the place of those that the guard slows down.
func (s *Scheduler) fillerFits(now time.Duration, t *task, w *worker) bool {
	size := t.step.spec.Size.MilliCPU
	if w.fillerRoom() < size*minFillerRoom/100 {
		return false
	}
	for _, a := range w.list {
		if a.pressed(now) {
			return false
		}
	}
	tail, _ := s.harm(now, w, t)
	return tail < tailStart
}

// minFillerRoom is the share of its processor demand, in percent, that a filler task must find unused at its start.
// With less it would only slow down the fillers that run already.
const minFillerRoom = 60

// serviceUse is the share of their reservation, in percent, that service tasks are assumed to use.
const serviceUse = 50

// fillerRoom returns the thousandths of a core that further filler tasks are expected to get. Fillers that are slowed
// down leave the rest of their demand to others.
func (w *worker) fillerRoom() int64 {
	others := w.used.MilliCPU - w.serviceCPU + w.serviceCPU*serviceUse/100
	fillers := int64(0)
	for _, a := range w.list {
		if a.filler() {
			fillers += a.task.step.spec.Size.MilliCPU * int64(a.share) / fullShare
		}
	}
	return w.info.Capacity.MilliCPU - others - fillers
}

// tasksOf counts the tasks of a step on the worker.
func (w *worker) tasksOf(st *step) int {
	n := 0
	for _, a := range w.list {
		if a.task.step == st {
			n++
		}
	}
	return n
}

// score rates a worker that fits a task; the highest is best.
func (s *Scheduler) score(now time.Duration, t *task, w *worker) float64 {
	spec := t.step.spec
	capacity := float64(max(w.info.Capacity.MilliCPU, 1))
	var rating float64
	switch {
	case spec.Filler:
		_, pressure := s.harm(now, w, t)
		rating = float64(w.fillerRoom())/capacity - pressurePenalty*pressure
	case spec.Service:
		// Services fill workers one by one, so that others keep room for large tasks and for fillers that disturb no
		// service; equal images share workers, so that a filler that presses one image finds workers without it.
		rating = float64(w.serviceCPU)/capacity - mixPenalty*w.otherImages(spec.Image)
	default:
		rating = float64(w.free().MilliCPU) / capacity
	}
	if spec.DataRack != "" && !w.hasLabel(spec.DataRack) {
		rating -= remoteDataPenalty
	}
	return rating
}

const (
	// pressurePenalty weighs the pressure on services against unused processor time.
	pressurePenalty = 3.0
	// mixPenalty weighs services of other images against full workers.
	mixPenalty = 1.0
)

// otherImages returns the share of the services on the worker that run other images.
func (w *worker) otherImages(image string) float64 {
	if w.services == 0 {
		return 0
	}
	others := 0
	for _, a := range w.list {
		if spec := a.task.step.spec; spec.Service && spec.Image != image {
			others++
		}
	}
	return float64(others) / float64(w.services)
}

// remoteDataPenalty is larger than any other difference between two workers.
const remoteDataPenalty = 2
