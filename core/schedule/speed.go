package schedule

import (
	"math"
	"time"
)

const (
	// speedHalfLife is the time in which a sample of slowness loses half of its weight. Slow periods last some seconds.
	speedHalfLife = 1500 * time.Millisecond
	// minRateSpan is the minimum time over which the rate of a task is measured.
	minRateSpan = 350 * time.Millisecond
	// slowFactor is the factor by which tasks must run slower on a worker than elsewhere for the worker to count as
	// slow. Equal tasks of a step differ by less.
	slowFactor = 2.2
	// minSlowWeight is the weight of samples from which a worker can count as slow: two tasks, measured twice each.
	minSlowWeight = 2.5
	// maxSlowness bounds one sample, as the logarithm of a factor.
	maxSlowness = 3.0
	// estimateWeight is the weight of a comparison with the caller's estimate, which is sometimes far off.
	estimateWeight = 0.15
	// stalledFactor is the multiple of the estimated duration after which a task without any progress counts as
	// stalled.
	stalledFactor = 1.0
	// minStalledTime is the minimum time after which a task without any progress counts as stalled.
	minStalledTime = 1200 * time.Millisecond
	// restartGain is the factor by which a task must be expected to end sooner elsewhere to be worth a restart.
	restartGain = 1.6
	// restartTime is the time lost by a stop and a start elsewhere.
	restartTime = 500 * time.Millisecond
)

// slowness estimates from the tasks on a worker how much slower than elsewhere they run there.
type slowness struct {
	sum    float64 // weighted sum of the logarithms of the factors
	weight float64
	at     time.Duration // of the latest sample, when sum and weight were last decayed
	since  time.Duration // the sample since which the worker counts as slow; only while it does
}

// add records one sample: the logarithm of the factor by which a task runs slower than elsewhere.
func (s *slowness) add(now time.Duration, logFactor, weight float64) {
	wasSlow := s.slow(now)
	s.decay(now)
	s.sum += weight * min(max(logFactor, -maxSlowness), maxSlowness)
	s.weight += weight
	if !wasSlow {
		s.since = now
	}
}

func (s *slowness) decay(now time.Duration) {
	factor := s.decayFactor(now)
	s.sum *= factor
	s.weight *= factor
	s.at = now
}

// decayFactor returns the share of their weight that the samples have kept since they were last decayed.
func (s *slowness) decayFactor(now time.Duration) float64 {
	return math.Exp2(-float64(now-s.at) / float64(speedHalfLife))
}

// slowWithin reports whether the worker is slow and has become so within a time that has just passed. The time of the latest sample
// does not count: with estimates that are too low each report shows a sound worker as slow, for as long as the tasks there run.
func (s *slowness) slowWithin(now, d time.Duration) bool { return now-s.since < d && s.slow(now) }

// slow reports whether tasks on the worker run much slower than elsewhere.
func (s *slowness) slow(now time.Duration) bool {
	if s.weight < minSlowWeight { // it only decays until the next sample
		return false
	}
	return s.weight*s.decayFactor(now) >= minSlowWeight && s.sum/s.weight >= math.Log(slowFactor)
}

// updateSlowness measures the progress of the tasks on a worker and compares it with that of equal tasks elsewhere.
func (s *Scheduler) updateSlowness(now time.Duration, w *worker) {
	rates := expectedRates{worker: w}
	for _, a := range w.attemptList {
		if a.phase != running || a.task.step.spec.Service || a.confirmedAt == 0 {
			continue
		}
		if !a.updateRate(now) {
			continue
		}
		expected, weight := rates.of(a.task.step)
		if expected > 0 {
			w.slowness.add(now, math.Log(expected/max(a.rate, expected/math.Exp(maxSlowness))), weight)
		}
	}
}

// updateRate updates the rate of an attempt, in percent of the task per second at full speed. It returns false if there
// is no new value yet.
func (a *attempt) updateRate(now time.Duration) bool {
	if a.measuredAt == 0 {
		a.measuredAt, a.measuredPercent = now, a.percent
		return false
	}
	span := now - a.measuredAt
	if span < minRateSpan {
		return false
	}
	progress := a.percent - a.measuredPercent
	a.measuredAt, a.measuredPercent = now, a.percent
	share := a.speedShare()
	if share < minSpeedShare {
		return false
	}
	a.rate = progress / span.Seconds() / share
	a.rateKnown = true
	return true
}

// recordFinalRate records the rate of a task that is done, for comparison with other tasks of its step.
func (a *attempt) recordFinalRate(now time.Duration) {
	ran := (now - a.confirmedAt).Seconds()
	if a.confirmedAt > 0 && ran > 0 && !a.resumed && a.speedShare() == 1 {
		a.task.rate = fullShare / ran
		a.task.step.fastest = max(a.task.step.fastest, a.task.rate)
	}
}

// minSpeedShare is the share of full speed below which the progress of a filler does not indicate the speed of its
// worker.
const minSpeedShare = 0.3

// speedShare returns the share of full speed at which an attempt is expected to run: fillers get only the processor
// time that other tasks leave idle.
func (a *attempt) speedShare() float64 {
	if !a.filler() {
		return 1
	}
	share := float64(min(a.share, a.confirmedShare)) / fullShare
	if demand := float64(a.task.step.spec.Size.MilliCPU); demand > 0 && a.metric > 0 {
		share = min(share, a.metric/demand)
	}
	return share
}

// stalled reports whether an attempt has made no progress at all for longer than its whole task is estimated to take. The time
// counts up to the latest report: a worker that is silent shows nothing about the speed of its tasks.
func (a *attempt) stalled() bool {
	if a.phase != running || a.confirmedAt == 0 || a.task.step.spec.Service || a.speedShare() < minSpeedShare {
		return false
	}
	estimate := time.Duration(a.task.step.spec.EstimateMs) * time.Millisecond
	limit := max(time.Duration(float64(estimate)*stalledFactor), minStalledTime)
	return a.worker.reportedAt-max(a.percentChangedAt, a.confirmedAt) > limit
}

// moveFromSlow stops stalled tasks, tasks on slow workers that are expected to end sooner elsewhere, and service tasks
// on slow workers, if another worker has capacity for them.
func (s *Scheduler) moveFromSlow(now Time) {
	moves, unavailable := 0, unavailableTasks{}
	for _, w := range s.sortedWorkers {
		slow := w.slowness.slow(now.Boot)
		rates := expectedRates{worker: w}
		for _, a := range w.attemptList {
			if moves >= movesPerScan {
				return
			}
			if slow && a.task.step.spec.Service {
				if s.moveService(now, a, unavailable) {
					moves++
				}
				continue
			}
			stalled := a.stalled()
			if stalled {
				w.slowness.add(now.Boot, maxSlowness, 1)
			}
			if !(slow && a.endsSoonerElsewhere(&rates)) && !stalled {
				continue
			}
			if s.choose(now, a.task) == nil {
				continue
			}
			reason := "slow worker"
			if stalled {
				reason = "no progress"
			}
			s.move(now, a, reason, a.percent)
			moves++
		}
	}
}

// moveService stops a service task on a slow worker, if its step tolerates one unavailable task at the moment.
func (s *Scheduler) moveService(now Time, a *attempt, unavailable unavailableTasks) bool {
	if a.phase != running || a.confirmedAt == 0 || now.Boot-a.startedAt < minRunTime || !unavailable.tolerateStop(a) {
		return false
	}
	if s.choose(now, a.task) == nil {
		return false
	}
	s.move(now, a, "service on slow worker", 0)
	delete(unavailable, a.task.step)
	return true
}

// unavailableTasks holds how many service tasks of a step do not run at full speed, by step, until one of its attempts changes. Counting them
// anew for each attempt of a wide step would take longer than a planning run may.
type unavailableTasks map[*step]int

// tolerateStop reports whether the service task of an attempt may be stopped: together with the other tasks of its step that do not run
// at full speed, at most MaxUnavailable tasks are unavailable then.
func (u unavailableTasks) tolerateStop(a *attempt) bool {
	st := a.task.step
	n, counted := u[st]
	if !counted {
		for _, t := range st.tasks {
			if !t.atFullSpeed() {
				n++
			}
		}
		u[st] = n
	}
	if a.task.atFullSpeed() {
		n++
	}
	return n <= st.spec.MaxUnavailable
}

// atFullSpeed reports whether any attempt of a service task runs at full speed.
func (t *task) atFullSpeed() bool {
	for _, a := range t.attempts {
		if a.phase == running && a.percent >= fullShare {
			return true
		}
	}
	return false
}

// endsSoonerElsewhere reports whether an attempt is expected to take at least restartGain times as long on its current
// worker as after a restart elsewhere, from the latest checkpoint if the task saves any.
func (a *attempt) endsSoonerElsewhere(rates *expectedRates) bool {
	if a.phase != running || a.task.step.spec.Service || !a.rateKnown {
		return false
	}
	expected, _ := rates.of(a.task.step)
	if expected <= 0 {
		return false
	}
	remaining := fullShare - a.percent
	repeated := remaining
	if !a.task.step.spec.Checkpoints {
		repeated = fullShare
	}
	here := remaining / max(a.rate, 1e-3)
	elsewhere := repeated/expected + restartTime.Seconds()
	return here > restartGain*elsewhere
}
