package admission

import (
	"math"
	"time"
)

// Thresholds of slow-runner avoidance.
const (
	// SlowdownWeight is the weight of one sample in the smoothed slowdown. It is low because service times have a long
	// tail: a single slow answer must not cause a runner to be avoided.
	SlowdownWeight = 0.2
	// SlowdownDecay is the time constant with which the slowdown of an idle runner decays towards 1, so that the runner
	// is tried again.
	SlowdownDecay = 5 * time.Second
	// FailurePenalty is the slowdown recorded for a failed attempt. Without it, a runner that fails fast would have a
	// low slowdown and attract all requests.
	FailurePenalty = 5.0
	// FailuresToBackOff is the number of consecutive failures after which a runner is put into back-off.
	FailuresToBackOff = 3
	// MinBackOff and MaxBackOff bound the back-off; it doubles with every further failure.
	MinBackOff = 200 * time.Millisecond
	MaxBackOff = 5 * time.Second
	// BusyBackOff is the back-off after a runner refused a request as busy: another sender, such as the former owner of
	// the shard, still has requests on it.
	BusyBackOff = 50 * time.Millisecond
	// LoadWeight is the relative cost that a full load adds: at 1, a fully loaded runner costs twice as much as an idle
	// one of the same speed.
	LoadWeight = 1.0
)

// Health tracks the speed and the failures of one runner. The slowdown is an exponentially weighted moving average that
// decays over time, as in the EWMA balancers of Twitter's Finagle. It is not peak-sensitive because service times have
// a long tail. The zero value is a healthy runner.
type Health struct {
	slowdown float64   // smoothed service time relative to the typical one; 0 before the first sample
	sampled  time.Time // time of the latest sample
	failures int       // consecutive failures
	backOff  time.Time // end of the back-off
}

// Slowdown returns the smoothed slowdown; 1 is the typical speed. Without samples it decays to 1.
func (h *Health) Slowdown(now time.Time) float64 {
	if h.slowdown == 0 {
		return 1
	}
	decay := math.Exp(-float64(now.Sub(h.sampled)) / float64(SlowdownDecay))
	return 1 + (h.slowdown-1)*math.Min(1, decay)
}

// Answered records an answer whose service time was ratio times the typical one.
func (h *Health) Answered(now time.Time, ratio float64) {
	h.failures = 0
	h.backOff = time.Time{}
	h.addSample(now, ratio)
}

// Failed records an attempt that got no usable answer or a server error.
func (h *Health) Failed(now time.Time) {
	h.addSample(now, FailurePenalty)
	if h.failures++; h.failures < FailuresToBackOff {
		return
	}
	delay := MinBackOff << min(h.failures-FailuresToBackOff, 10)
	h.backOff = now.Add(min(delay, MaxBackOff))
}

// Busy records that the runner refused a request because it had no free slot.
func (h *Health) Busy(now time.Time) {
	if until := now.Add(BusyBackOff); until.After(h.backOff) {
		h.backOff = until
	}
}

// InBackOff reports whether the runner is in back-off, so that other runners are preferred.
func (h *Health) InBackOff(now time.Time) bool { return now.Before(h.backOff) }

func (h *Health) addSample(now time.Time, ratio float64) {
	h.slowdown = (1-SlowdownWeight)*h.Slowdown(now) + SlowdownWeight*ratio
	h.sampled = now
}

// cost returns the cost of sending a request to r; lower is better. typical is the typical service time of the kind, 0
// if unknown.
func (r *runner) cost(now time.Time, typical time.Duration) float64 {
	slowdown := r.health.Slowdown(now)
	if typical > 0 {
		// A hung runner yields no samples; the age of its requests is used instead.
		for _, slot := range r.taken {
			slowdown = math.Max(slowdown, float64(now.Sub(slot.Since))/float64(OverdueFactor*typical))
		}
	}
	return slowdown * (1 + LoadWeight*float64(len(r.taken))/float64(max(1, r.slots)))
}

// OverdueFactor is the number of typical service times after which a request in progress counts as a slowdown of its
// runner.
const OverdueFactor = 4
