package admission

import (
	"math"
	"time"
)

// Thresholds of slow-runner avoidance.
const (
	// SlowdownWeight is the weight of one sample in the smoothed slowdown. Service times have a long tail, so a
	// single slow answer must not condemn a runner.
	SlowdownWeight = 0.2
	// SlowdownDecay is the time constant with which an idle runner is forgiven, so that it is tried again.
	SlowdownDecay = 5 * time.Second
	// FailurePenalty is the slowdown that a failed attempt counts as. Without it, a runner that fails fast would
	// look fast and attract all requests.
	FailurePenalty = 5.0
	// FailuresToBackOff is the number of consecutive failures after which a runner is avoided for a while.
	FailuresToBackOff = 3
	// MinBackOff and MaxBackOff bound that while; it doubles with every further failure.
	MinBackOff = 200 * time.Millisecond
	MaxBackOff = 5 * time.Second
	// BusyBackOff is how long a runner is avoided after it refused a request as busy: somebody else, such as the
	// former owner of the shard, still has requests on it.
	BusyBackOff = 50 * time.Millisecond
	// LoadWeight is how much a fully loaded runner is preferred less than an idle one of the same speed.
	LoadWeight = 1.0
)

// Health is what is known about the speed and failures of one runner. The smoothed slowdown with decay over time
// is the idea of the EWMA balancers in Twitter's Finagle; it is not peak-sensitive because service times have a
// long tail. The zero value is a healthy runner.
type Health struct {
	slowdown float64 // smoothed service time relative to the usual one; 0 before the first sample
	sampled  time.Time
	failures int
	avoid    time.Time
}

// Slowdown returns the smoothed slowdown; 1 is the usual speed. Without samples it drifts back to 1.
func (h *Health) Slowdown(now time.Time) float64 {
	if h.slowdown == 0 {
		return 1
	}
	kept := math.Exp(-float64(now.Sub(h.sampled)) / float64(SlowdownDecay))
	return 1 + (h.slowdown-1)*math.Min(1, kept)
}

// Answered records an answer whose service time was ratio times the usual one.
func (h *Health) Answered(now time.Time, ratio float64) {
	h.failures = 0
	h.avoid = time.Time{}
	h.add(now, ratio)
}

// Failed records an attempt without a usable answer, or with a server error.
func (h *Health) Failed(now time.Time) {
	h.add(now, FailurePenalty)
	if h.failures++; h.failures < FailuresToBackOff {
		return
	}
	backOff := MinBackOff << min(h.failures-FailuresToBackOff, 10)
	h.avoid = now.Add(min(backOff, MaxBackOff))
}

// Busy records that the runner refused a request because it had no free slot.
func (h *Health) Busy(now time.Time) {
	if until := now.Add(BusyBackOff); until.After(h.avoid) {
		h.avoid = until
	}
}

// InBackOff reports whether other runners are preferred for now.
func (h *Health) InBackOff(now time.Time) bool { return now.Before(h.avoid) }

func (h *Health) add(now time.Time, ratio float64) {
	h.slowdown = (1-SlowdownWeight)*h.Slowdown(now) + SlowdownWeight*ratio
	h.sampled = now
}

// cost ranks runners; lower is better. usual is the usual service time of the kind, 0 if unknown.
func (r *runner) cost(now time.Time, usual time.Duration) float64 {
	slowdown := r.health.Slowdown(now)
	if usual > 0 {
		// A hung runner yields no samples; the age of what it holds stands in for them.
		for _, slot := range r.taken {
			slowdown = math.Max(slowdown, float64(now.Sub(slot.Since))/float64(OverdueFactor*usual))
		}
	}
	return slowdown * (1 + LoadWeight*float64(len(r.taken))/float64(max(1, r.slots)))
}

// OverdueFactor is how many usual service times a request may take before its runner counts as slow.
const OverdueFactor = 4
