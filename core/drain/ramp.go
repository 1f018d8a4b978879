package drain

import (
	"math"
	"time"

	"fulmarcourse.example/core/internal/bucket"
)

// Parameters of the ramp after a data centre has returned to service.
const (
	// RampInitialShare is the share of the full rate of task starts at the moment a data centre returns.
	RampInitialShare = 0.1
	// RampDoublingTime is the time in which the share doubles; the full rate is reached after 50 s.
	RampDoublingTime = 15 * time.Second
	// RampFailureShare is the share of failed starts at which the ramp halves its share.
	RampFailureShare = 0.2
	// RampSampleSize is the number of starts over which failures are counted.
	RampSampleSize = 20
	// FullStartsPerSecond is the rate of task starts of one shard outside a ramp. It is twice the required rate, which
	// is 550 task starts/s over 16 shards, or 35 per shard.
	FullStartsPerSecond = 70.0
	// RampBurst is the maximum time over which unused starts accumulate. It is longer than a planning cycle.
	RampBurst = 500 * time.Millisecond
)

// Ramp limits the task starts in a data centre that has returned to service, and the free capacity that its shards
// advertise, so that not all pending tasks start there at once (slow start: Jacobson, "Congestion avoidance and
// control", 1988). It is not safe for concurrent use.
type Ramp struct {
	baseTime         time.Time // time at which the share was baseShare
	baseShare        float64
	starts           *bucket.Bucket
	attempts, failed int // starts since the latest evaluation of failures, and the failed ones among them
}

// NewRamp returns a Ramp for a data centre that returned at now.
func NewRamp(now time.Time) *Ramp {
	return &Ramp{baseTime: now, baseShare: RampInitialShare, starts: bucket.New(RampInitialShare*FullStartsPerSecond, 1, now)}
}

// Share returns the current share of the full rate, from RampInitialShare to 1. A shard multiplies the free capacity in
// its digest by it.
func (r *Ramp) Share(now time.Time) float64 {
	doublings := max(0, now.Sub(r.baseTime).Seconds()/RampDoublingTime.Seconds())
	return min(1, r.baseShare*math.Exp2(doublings))
}

// Done reports whether the full rate has been reached, so that the ramp is no longer needed.
func (r *Ramp) Done(now time.Time) bool { return r.Share(now) >= 1 }

// MayStart reports whether a task may start now and, if so, takes it from the budget.
func (r *Ramp) MayStart(now time.Time) bool {
	rate := r.Share(now) * FullStartsPerSecond
	r.starts.SetRate(rate, max(1, rate*RampBurst.Seconds()), now)
	return r.starts.Take(1, now)
}

// RecordStart records whether a start succeeded. The share is halved if at least RampFailureShare of RampSampleSize
// starts have failed.
func (r *Ramp) RecordStart(ok bool, now time.Time) {
	r.attempts++
	if !ok {
		r.failed++
	}
	if r.attempts < RampSampleSize {
		return
	}
	if float64(r.failed) >= RampFailureShare*float64(r.attempts) {
		r.baseShare, r.baseTime = max(RampInitialShare, r.Share(now)/2), now
	}
	r.attempts, r.failed = 0, 0
}
