package schedule

import (
	"slices"
	"time"
)

// Limits of one search for a worker. Only few workers are checked and rated in full, so that a search costs little more in
// a large fleet than in a small one.
const (
	// maxCandidates is the number of workers that fit a short task and are compared, and the number of workers with the
	// highest estimated ratings that are checked for a filler or a service.
	maxCandidates = 24
	// minShared is the number of workers of one search that the next fillers of a step may take in a small pool, and
	// sharedPart the inverse of their share of a larger one. The workers behind them are often worse than those that a new
	// search finds.
	minShared  = 8
	sharedPart = 32
	// maxFillerChecks is the number of further workers that are checked for a filler if none of the highest rated ones
	// fits. The next search of its step continues with the workers that follow.
	maxFillerChecks = 200
)

// candidate is a worker that fits a task, with its rating.
type candidate struct {
	worker  *worker
	hasData bool    // the worker is in the rack of the task's data, or the task has none
	rating  float64 // the highest is best
}

// better reports whether c is a better choice than other. Tasks take several times as long on another rack than that of
// their data, so the rack comes before the rating.
func (c candidate) better(other candidate) bool {
	if other.worker == nil || c.hasData != other.hasData {
		return other.worker == nil || c.hasData
	}
	return c.rating > other.rating
}

// search collects the candidates for one task.
type search struct {
	s     *Scheduler
	now   Time
	task  *task
	found int
	best  candidate
}

// consider checks one worker and reports whether the search may end.
func (c *search) consider(w *worker) (enough bool) {
	if !c.s.fits(c.now, c.task, w) {
		return false
	}
	c.found++
	next := candidate{w, w.hasLabel(c.task.step.spec.DataRack), c.s.score(c.now.Boot, c.task, w)}
	if next.better(c.best) {
		c.best = next
	}
	return c.found >= maxCandidates
}

// choose returns the best of the workers that a search finds for a task, or nil when it fits on none. A pending task may get an
// avoided worker, see chooseLastResort.
func (s *Scheduler) choose(now Time, t *task) *worker {
	s.index.update(s, now)
	p := s.index.pools[t.step.job.rec.Queue.Pool]
	if p == nil {
		return nil
	}
	if label := t.step.spec.Label; label != "" && len(p.byLabel[label]) == 0 {
		return nil
	}
	if w := s.searchUsable(now, t, p); w != nil {
		return w
	}
	return s.chooseLastResort(now, t, p)
}

// searchUsable returns the best of the workers of a pool that a search finds for a task and that are not avoided because of recent
// faults.
func (s *Scheduler) searchUsable(now Time, t *task, p *poolIndex) *worker {
	c := &search{s: s, now: now, task: t}
	for _, w := range p.byLabel[t.step.spec.DataRack] {
		if c.consider(w) {
			break
		}
	}
	if c.best.worker != nil {
		return c.best.worker
	}
	switch spec := &t.step.spec; {
	case t.onProbation():
		p.byFree.largest(0, c.consider)
	case spec.Filler:
		s.searchFillers(c, p)
	case spec.Service:
		s.searchServices(c, p)
	case p.scarce(spec.Size.MilliCPU):
		p.byFree.tightest(spec.Size.MilliCPU, c.consider)
	default:
		p.byFree.largest(spec.Size.MilliCPU, c.consider)
	}
	return c.best.worker
}

// scarceShare is the inverse of the share of a pool's workers below which capacity for a task counts as scarce.
const scarceShare = 4

// scarce reports whether few workers have the capacity for a task. Such tasks are packed tightly, so that larger ones
// still find a worker; otherwise they are spread, so that a faulty worker affects few of them.
func (p *poolIndex) scarce(milliCPU int64) bool {
	return p.byFree.count(milliCPU) < len(p.byFree.workers)/scarceShare
}

// searchFillers checks the workers with the highest estimated ratings, the best first. The tasks of a step start together, so
// those that follow in the same planning run take the workers that remain of one search before the next one begins.
func (s *Scheduler) searchFillers(c *search, p *poolIndex) {
	if s.fillerSearch.matches(c) && s.fillerSearch.takeNext(c) {
		return
	}
	s.fillerSearches++
	spec := &c.task.step.spec
	cores := float64(spec.Size.MilliCPU) / 1000
	workers := p.withLabel(spec.Label, &p.bySpare, minSpare(spec.Size.MilliCPU))
	var top topWorkers
	for _, w := range workers {
		rise := s.pressureOn(w, c.task.step.imageIndex) * cores
		top.add(w, fillerRating(float64(w.indexed.spare), rise, w))
	}
	top.considerAll(c)
	s.fillerSearch = fillerSearch{step: c.task.step, at: c.now, remaining: top.best(p.shared(), c.best.worker)}
	if c.best.worker == nil {
		s.searchFurther(c, workers)
	}
}

// shared returns the number of workers of one search that the fillers of a step may take.
func (p *poolIndex) shared() int { return max(len(p.bySpare.workers)/sharedPart, minShared) }

// fillerSearch holds the workers that remain of a search for the fillers of a step, the best first.
type fillerSearch struct {
	step      *step
	at        Time
	remaining []*worker
}

// matches reports whether the workers may be used for a search.
func (f *fillerSearch) matches(c *search) bool { return f.has(c.now, c.task.step) }

// has reports whether the workers may be used for the fillers of a step.
func (f *fillerSearch) has(now Time, st *step) bool { return f.step == st && f.at == now }

// takeNext checks the remaining workers until one fits, and reports whether one does.
func (f *fillerSearch) takeNext(c *search) bool {
	for len(f.remaining) > 0 && c.best.worker == nil {
		w := f.remaining[0]
		f.remaining = f.remaining[1:]
		c.consider(w)
	}
	return c.best.worker != nil
}

// searchFurther checks maxFillerChecks of the workers, from where the last search of the step ended, until one fits.
func (s *Scheduler) searchFurther(c *search, workers []*worker) {
	st := c.task.step
	if st.searchFrom >= len(workers) {
		st.searchFrom = 0
	}
	end := min(st.searchFrom+maxFillerChecks, len(workers))
	for _, w := range workers[st.searchFrom:end] {
		if c.consider(w); c.best.worker != nil {
			return
		}
	}
	st.searchFrom = end
}

// searchServices checks the workers with the highest ratings, the best first.
func (s *Scheduler) searchServices(c *search, p *poolIndex) {
	spec := &c.task.step.spec
	var top topWorkers
	for _, w := range p.withLabel(spec.Label, &p.byFree, spec.Size.MilliCPU) {
		top.add(w, serviceRating(c.now.Boot, w, c.task.step.imageIndex))
	}
	top.considerAll(c)
	if c.best.worker == nil { // for instance, each of them has as many tasks of the step as it may
		p.byFree.tightest(spec.Size.MilliCPU, c.consider)
	}
}

// topWorkers holds the workers with the highest ratings, the best first. Of equal ones the first added comes first.
type topWorkers struct {
	n       int
	workers [maxCandidates]candidate
}

func (t *topWorkers) add(w *worker, rating float64) {
	if t.n == maxCandidates && rating <= t.workers[t.n-1].rating {
		return
	}
	if t.n < maxCandidates {
		t.n++
	}
	i := t.n - 1
	for ; i > 0 && t.workers[i-1].rating < rating; i-- {
		t.workers[i] = t.workers[i-1]
	}
	t.workers[i] = candidate{worker: w, rating: rating}
}

// best returns the first n workers of the list, without the chosen one.
func (t *topWorkers) best(n int, chosen *worker) []*worker {
	workers := make([]*worker, 0, n)
	for _, w := range t.workers[:min(n, t.n)] {
		if w.worker != chosen {
			workers = append(workers, w.worker)
		}
	}
	return workers
}

// considerAll checks all workers of the list, the best first.
func (t *topWorkers) considerAll(c *search) {
	for _, w := range t.workers[:t.n] {
		c.consider(w.worker)
	}
}

// fillerRating rates a worker for a filler that gets spare thousandths of a core and raises the logarithm of a service's
// tail latency by rise.
func fillerRating(spare, rise float64, w *worker) float64 {
	return spare/float64(max(w.info.Capacity.MilliCPU, 1)) - pressurePenalty*rise
}

// pressureOn returns the largest pressure per core of fillers of an image on the services of a worker.
func (s *Scheduler) pressureOn(w *worker, image int) float64 {
	if w.pressuresAt != s.interference.refreshed || len(w.pressures) < len(s.interference.names) {
		w.pressuresAt = s.interference.refreshed
		w.pressures = slices.Repeat([]float64{unknownValue}, len(s.interference.names))
	}
	if w.pressures[image] == unknownValue {
		w.pressures[image] = s.highestPressure(w, image)
	}
	return w.pressures[image]
}

// unknownValue marks an entry of worker.pressures that has not been computed. Pressures are not negative.
const unknownValue = -1

// highestPressure computes pressureOn.
func (s *Scheduler) highestPressure(w *worker, image int) float64 {
	highest := 0.0
	for _, a := range w.attemptList {
		if spec := &a.task.step.spec; spec.Service && spec.TailTargetMs > 0 {
			highest = max(highest, s.interference.pressures[a.task.step.imageIndex][image])
		}
	}
	return highest
}

// maxCapacityAge is the age of the list of workers up to which tasks start on workers that do not guard their capacity: it
// may have shrunk since. The list is read again at least every 2.5 s while the store answers.
const maxCapacityAge = 3 * time.Second

// capacityOutdated reports whether the capacity of a worker may have shrunk unnoticed, and the pool of a task does not guard
// it. Workers that guard their capacity reject what exceeds it.
func (s *Scheduler) capacityOutdated(now time.Duration, t *task, w *worker) bool {
	if t.step.job.rec.Queue.CapacityGuarded {
		return false
	}
	return w.listedAt == 0 || now-w.listedAt > maxCapacityAge
}

// mayBeOverByFillers reports whether a service on the worker is over its target and fillers may be the cause.
func (w *worker) mayBeOverByFillers(now time.Duration) bool {
	return slices.ContainsFunc(w.attemptList, func(a *attempt) bool { return a.mayBeOverByFillers(now) })
}

// minFillerCPUShare is the share of its processor demand, in percent, that must be unused for a filler task to start.
// With less it would only take processor time from the fillers that already run.
const minFillerCPUShare = 60

// minSpare returns the thousandths of a core that must be unused for a filler of a size to start.
func minSpare(milliCPU int64) int64 { return milliCPU * minFillerCPUShare / 100 }

// serviceUse is the share of their reservation, in percent, that service tasks are assumed to use.
const serviceUse = 50

// spareFillerCPU returns the thousandths of a core that further filler tasks are expected to get. Fillers that are
// throttled leave the rest of their demand to others.
func (w *worker) spareFillerCPU() int64 {
	others := w.reserved.MilliCPU - w.serviceReserved.MilliCPU + w.serviceReserved.MilliCPU*serviceUse/100
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
	spec := &t.step.spec
	capacity := float64(max(w.info.Capacity.MilliCPU, 1))
	switch {
	case t.onProbation():
		// What a crash would take with it. While a worker's ends wait for the store, no poll is open that would show a crash at once.
		return -float64(len(w.attemptList)) - suspectPenalty*float64(w.suspectsBeside(t)) - endsPenalty*float64(min(len(w.listedEnds), 1))
	case spec.Filler:
		_, rise := s.predictTail(now, w, t)
		return fillerRating(float64(w.spareFillerCPU()), rise, w)
	case spec.Service:
		return serviceRating(now, w, t.step.imageIndex)
	case w.indexed.pool.scarce(spec.Size.MilliCPU):
		return -float64(w.free().MilliCPU) / capacity
	}
	return float64(w.free().MilliCPU) / capacity
}

const (
	// suspectPenalty is the weight of jobs on probation relative to the number of tasks on a worker: they share a worker only where
	// none is without them.
	suspectPenalty = 1000.0
	// endsPenalty is the weight of ends that a worker lists, relative to the number of tasks on a worker.
	endsPenalty = 100.0
	// pressurePenalty is the weight of the pressure on services relative to the unused share of the processor time.
	pressurePenalty = 3.0
	// mixedImagePenalty is the weight of services of other images relative to the share of the worker used by services. It
	// is below 1, so that a worker nearly full of other images is better than an empty one, which large tasks may need.
	mixedImagePenalty = 0.85
	// formerCallsPenalty is above the differences between all other ratings for services: those of a worker whose leases may last because of
	// calls to its former process wait for longer than the platform allows if the worker is lost.
	formerCallsPenalty = 10.0
)

// serviceRating rates a worker for a service task. Services are packed onto few workers, so that others keep capacity for
// large tasks and for fillers that interfere with no service. Services of the same image share workers, so that a filler
// that interferes with one image finds workers without it.
func serviceRating(now time.Duration, w *worker, image int) float64 {
	rating := float64(w.serviceReserved.MilliCPU) / float64(max(w.info.Capacity.MilliCPU, 1))
	if w.formerCalls.last(now) {
		rating -= formerCallsPenalty
	}
	if w.services == 0 {
		return rating
	}
	others := w.services - w.servicesByImage[image]
	return rating - mixedImagePenalty*float64(others)/float64(w.services)
}
