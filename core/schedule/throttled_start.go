package schedule

import (
	"slices"
	"time"
)

// A filler starts at full speed where the services are expected to stay well within their targets. There may be no such worker for as long as
// the services run, if the filler interferes strongly with them. While the pool is in use, it waits. In a pool that is little used, a job of which
// nothing runs starts one filler at the share of full speed that the services of a worker bear, and the guard changes that as they allow.

const (
	// maxThrottledChecks is the number of workers that a planning run checks for throttled fillers, after which it begins with no further step.
	maxThrottledChecks = 4000
	// taskPenalty is the weight of one task on a worker relative to the share of full speed that a throttled filler gets there, so that those
	// with a share of 0 are spread.
	taskPenalty = 0.001
)

// startThrottledFillers starts fillers of jobs of which nothing runs, among the steps that the planning run has tried.
func (s *Scheduler) startThrottledFillers(now Time, steps []*step) {
	checks := 0
	for _, st := range steps {
		t := s.stalledFiller(now, st)
		if t == nil {
			continue
		}
		if checks >= maxThrottledChecks {
			return
		}
		w, share, checked := s.chooseThrottled(now, t)
		checks += checked
		if w == nil {
			st.throttledRetryAt = now.Boot + fillerRetryDelay
			continue
		}
		s.start(now.Boot, t, w)
		t.attempts[0].share = share
	}
}

// stalledFiller returns a filler of a step that has found no worker for lastResortAfter although its pool is little used, if nothing of its
// occurrence runs; nil if there is none.
func (s *Scheduler) stalledFiller(now Time, st *step) *task {
	if !st.spec.Filler || st.unplacedAt != now.Boot || now.Boot < st.throttledRetryAt || !s.roomForFillers(now.Boot, st) || st.occurrenceRuns() {
		return nil
	}
	waits := func(t *task) bool {
		return t.pending() && !s.mayRunElsewhere(t) && !s.heldBack(now.Boot, t) && now.Boot-s.waitsSince(t) >= lastResortAfter
	}
	if n := slices.IndexFunc(st.tasks, waits); n >= 0 {
		return st.tasks[n]
	}
	return nil
}

// roomForFillers reports whether the pool of a step is little used, also by the memory of fillers.
func (s *Scheduler) roomForFillers(now time.Duration, st *step) bool {
	pool := st.job.rec.Queue.Pool
	p := s.index.pools[pool]
	return p != nil && s.littleUsed(now, pool, p) && p.use.littleMemory
}

// occurrenceRuns reports whether a task of the step's occurrence has an attempt.
func (st *step) occurrenceRuns() bool {
	if st.job.attempts == 0 {
		return false
	}
	return slices.ContainsFunc(st.job.occurrenceSteps(st.occurrence), func(other *step) bool {
		return slices.ContainsFunc(other.tasks, func(t *task) bool { return len(t.attempts) > 0 })
	})
}

// chooseThrottled returns a worker for a filler, the share of full speed, in percent, at which it starts there without harm to the services,
// and how many workers were checked. The first worker that bears more than slowShare is taken, else the one on which the filler is expected
// to run fastest; nil if no worker has the capacity. The next search begins behind the workers of this one.
func (s *Scheduler) chooseThrottled(now Time, t *task) (chosen *worker, share, checked int) {
	var best candidate
	from := s.throttledFrom
	for n := range s.sortedWorkers {
		s.throttledFrom = (from + n + 1) % len(s.sortedWorkers)
		w := s.sortedWorkers[(from+n)%len(s.sortedWorkers)]
		checked++
		if !s.bearsThrottled(now, t, w) {
			continue
		}
		bearable := s.bearableShare(now.Boot, w, t)
		spare := float64(max(w.spareFillerCPU(), 0)) / float64(max(t.step.spec.Size.MilliCPU, 1))
		speed := min(float64(bearable)/fullShare, spare)
		next := candidate{w, w.hasLabel(t.step.spec.DataRack), speed - taskPenalty*float64(len(w.attemptList))}
		if next.better(best) {
			best, share = next, bearable
		}
		if next.hasData && speed > float64(slowShare)/fullShare {
			break
		}
	}
	return best.worker, share, checked
}

// bearsThrottled reports whether a worker has the capacity and the properties that a throttled filler needs, and was not at fault a short time
// ago if it is avoided.
func (s *Scheduler) bearsThrottled(now Time, t *task, w *worker) bool {
	if !s.mayStartOn(now.Boot, w) || slices.Contains(t.failedOn, w.info.ID) || w.avoided(now.Boot) != Suitable && w.faultyRecently(now.Boot) {
		return false
	}
	return s.lacksRoom(now.Boot, t, w) == Suitable && w.lacks(t) == Suitable && w.limits(now.Boot, t) == Suitable
}

// bearableShare returns the share of full speed, in percent, up to which a further filler on a worker is expected to keep the tail latencies of
// the services below tailStart; 0 if one is over its target and fillers may be the cause.
func (s *Scheduler) bearableShare(now time.Duration, w *worker, filler *task) int {
	if w.mayBeOverByFillers(now) {
		return 0
	}
	share := 1.0
	s.eachAffected(now, w, filler, func(service *attempt, rise, recent float64) {
		share = min(share, max(service.headroom(tailStart)-recent, 0)/rise)
	})
	return int(share * fullShare)
}
