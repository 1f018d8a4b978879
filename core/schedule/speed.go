package schedule

import (
	"math"
	"slices"
	"time"
)

const (
	// speedHalfLife is the time in which a sign of slowness loses half of its weight. Slow spells last some seconds.
	speedHalfLife = 1500 * time.Millisecond
	// speedSpan is the least time over which the progress of a task is measured.
	speedSpan = 350 * time.Millisecond
	// slowFactor is how much slower than elsewhere tasks must run on a worker that counts as slow. Equal tasks of a step
	// differ by less.
	slowFactor = 2.2
	// slowWeight is the weight of signs from which on a worker counts as slow: two tasks, measured twice each.
	slowWeight = 2.5
	// maxSlowness bounds one sign, as the logarithm of a factor.
	maxSlowness = 3.0
	// estimateWeight is the weight of a comparison with the estimate of the caller, which is far off at times.
	estimateWeight = 0.15
	// standstillFactor is the multiple of the estimate after which a task without any progress stands still.
	standstillFactor = 1.0
	// standstillLeast is the least time after which a task without any progress stands still.
	standstillLeast = 1200 * time.Millisecond
	// restartGain is how much sooner a task must end elsewhere to be worth a restart from the beginning.
	restartGain = 1.6
	// restartTime is lost by a stop and a start elsewhere.
	restartTime = 500 * time.Millisecond
)

// slowness is what the tasks on a worker show of its speed.
type slowness struct {
	sum    float64 // of the logarithms of the factors, weighted
	weight float64
	at     time.Duration
}

// add takes in one sign: the logarithm of the factor by which a task runs slower than elsewhere.
func (s *slowness) add(now time.Duration, logFactor, weight float64) {
	s.decay(now)
	s.sum += weight * min(max(logFactor, -maxSlowness), maxSlowness)
	s.weight += weight
}

func (s *slowness) decay(now time.Duration) {
	factor := math.Exp2(-float64(now-s.at) / float64(speedHalfLife))
	s.sum *= factor
	s.weight *= factor
	s.at = now
}

// slow reports whether tasks on the worker run much slower than elsewhere.
func (s *slowness) slow(now time.Duration) bool {
	s.decay(now)
	return s.weight >= slowWeight && s.sum/s.weight >= math.Log(slowFactor)
}

// watchSpeed measures the progress of the tasks on a worker and compares it with that of equal tasks elsewhere.
func (s *Scheduler) watchSpeed(now time.Duration, w *worker) {
	for _, a := range w.list {
		if a.phase != running || a.task.step.spec.Service || a.confirmedAt == 0 {
			continue
		}
		if !a.measure(now) {
			continue
		}
		expected, weight := a.expectedRate()
		if expected > 0 {
			w.slowness.add(now, math.Log(expected/max(a.rate, expected/math.Exp(maxSlowness))), weight)
		}
	}
}

// measure updates the rate of an attempt, in percent of the task a second at full speed. It returns false until there
// is a new value.
func (a *attempt) measure(now time.Duration) bool {
	if a.measuredAt == 0 {
		a.measuredAt, a.measuredPercent = now, a.percent
		return false
	}
	span := now - a.measuredAt
	if span < speedSpan {
		return false
	}
	progress := a.percent - a.measuredPercent
	a.measuredAt, a.measuredPercent = now, a.percent
	share := a.speedShare()
	if share < minSpeedShare {
		return false
	}
	a.rate = progress / span.Seconds() / share
	a.rated = true
	return true
}

// rateTotal notes the rate of a task that is done, for the comparison with others of its step.
func (a *attempt) rateTotal(now time.Duration) {
	ran := (now - a.confirmedAt).Seconds()
	if a.confirmedAt > 0 && ran > 0 && !a.resumed && a.speedShare() == 1 {
		a.task.rate = fullShare / ran
	}
}

// minSpeedShare is the share of full speed below which the progress of a filler says nothing about its worker.
const minSpeedShare = 0.3

// speedShare returns the share of full speed at which an attempt is expected to run: fillers get only the processor
// time that others leave.
func (a *attempt) speedShare() float64 {
	if !a.filler() {
		return 1
	}
	share := float64(min(a.share, a.pacedTo)) / fullShare
	if demand := float64(a.task.step.spec.Size.MilliCPU); demand > 0 && a.figure > 0 {
		share = min(share, a.figure/demand)
	}
	return share
}

// expectedRate returns the median rate of the other tasks of the step on other workers, or else the rate that follows
// from the estimate, and how much that says.
func (a *attempt) expectedRate() (rate, weight float64) {
	var rates []float64
	for _, t := range a.task.step.tasks {
		for _, other := range t.attempts {
			if other.worker != a.worker && other.rated {
				rates = append(rates, other.rate)
			}
		}
		if t.done && t.rate > 0 {
			rates = append(rates, t.rate)
		}
	}
	if len(rates) >= 2 {
		slices.Sort(rates)
		return rates[len(rates)/2], 1
	}
	if a.task.step.spec.EstimateMs > 0 {
		return fullShare * 1000 / float64(a.task.step.spec.EstimateMs), estimateWeight
	}
	return 0, 0
}

// standsStill reports whether an attempt has made no progress at all for much longer than its task should take.
func (a *attempt) standsStill(now time.Duration) bool {
	if a.phase != running || a.confirmedAt == 0 || a.task.step.spec.Service || a.speedShare() < minSpeedShare {
		return false
	}
	estimate := time.Duration(a.task.step.spec.EstimateMs) * time.Millisecond
	limit := max(time.Duration(float64(estimate)*standstillFactor), standstillLeast)
	return now-max(a.percentAt, a.confirmedAt) > limit
}

// leaveSlow stops tasks on slow workers and tasks that stand still, when they are expected to end sooner elsewhere.
func (s *Scheduler) leaveSlow(now Time) {
	moves := 0
	for _, w := range s.order {
		slow := w.slowness.slow(now.Boot)
		for _, a := range w.list {
			if moves >= movesPerPlan {
				return
			}
			if slow && a.task.step.spec.Service {
				if s.moveService(now, a) {
					moves++
				}
				continue
			}
			still := a.standsStill(now.Boot)
			if still {
				w.slowness.add(now.Boot, maxSlowness, 1)
			}
			if !(slow && a.endsSoonerElsewhere(now.Boot)) && !still {
				continue
			}
			if s.choose(now, a.task) == nil {
				continue
			}
			how := "slow worker"
			if still {
				how = "no progress"
			}
			s.move(now, a, how, a.percent)
			moves++
		}
	}
}

// moveService stops a service task on a slow worker, if its step can do without it for the moment.
func (s *Scheduler) moveService(now Time, a *attempt) bool {
	if a.phase != running || a.confirmedAt == 0 || !a.task.step.mayStop(a) || now.Boot-a.startedAt < settledFor {
		return false
	}
	if s.choose(now, a.task) == nil {
		return false
	}
	s.move(now, a, "service on slow worker", 0)
	return true
}

// mayStop reports whether a service task may be stopped: every other task of its step must be at work, and the step
// must tolerate one that is not.
func (st *step) mayStop(a *attempt) bool {
	if st.spec.MaxUnavailable == 0 {
		return false
	}
	for _, t := range st.tasks {
		if t != a.task && !t.atWork() {
			return false
		}
	}
	return true
}

// atWork reports whether an attempt of a service task works at full speed.
func (t *task) atWork() bool {
	for _, a := range t.attempts {
		if a.phase == running && a.percent >= fullShare {
			return true
		}
	}
	return false
}

// endsSoonerElsewhere compares the time that is left here with a restart elsewhere, from the newest checkpoint if the
// task saves any.
func (a *attempt) endsSoonerElsewhere(now time.Duration) bool {
	if a.phase != running || a.task.step.spec.Service || !a.rated {
		return false
	}
	expected, _ := a.expectedRate()
	if expected <= 0 {
		return false
	}
	left := fullShare - a.percent
	redo := left
	if !a.task.step.spec.Checkpoints {
		redo = fullShare
	}
	here := left / max(a.rate, 1e-3)
	elsewhere := redo/expected + restartTime.Seconds()
	return here > restartGain*elsewhere
}
