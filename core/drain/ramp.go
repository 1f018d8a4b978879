package drain

import (
	"math"
	"time"

	"fulmarcourse.example/core/internal/bucket"
)

// Thresholds of a return.
const (
	// RampInitialShare is the share of the full rate of task starts at the moment a data centre returns.
	RampInitialShare = 0.1
	// RampDoublingTime is the time in which the share doubles; the full rate is reached after 50 s.
	RampDoublingTime = 15 * time.Second
	// RampFailureShare is the share of failed starts at which the ramp steps back to half.
	RampFailureShare = 0.2
	// RampSampleSize is the number of starts over which failures are counted.
	RampSampleSize = 20
	// FullStartsPerSecond is the rate of task starts of one shard outside a ramp. The design calls for 550 task
	// starts/s over 16 shards, that is 35 per shard.
	FullStartsPerSecond = 70.0
	// RampBurst is the time for which unused starts are saved, longer than a planning cycle.
	RampBurst = 500 * time.Millisecond
)

// Ramp limits task starts after a data centre has returned, and the free capacity that its shards advertise, so
// that not all waiting work rushes there at once (slow start: Jacobson, "Congestion avoidance and control", 1988).
// It is not safe for concurrent use.
type Ramp struct {
	from            time.Time // when the share was start
	start           float64
	starts          *bucket.Bucket
	results, failed int
}

// NewRamp returns a Ramp for a data centre that returned at now.
func NewRamp(now time.Time) *Ramp {
	return &Ramp{from: now, start: RampInitialShare, starts: bucket.New(RampInitialShare*FullStartsPerSecond, 1, now)}
}

// Share returns the share of the full rate, from RampStart to 1. A shard multiplies the free capacity in its digest
// by it.
func (r *Ramp) Share(now time.Time) float64 {
	doublings := max(0, now.Sub(r.from).Seconds()/RampDoublingTime.Seconds())
	return min(1, r.start*math.Exp2(doublings))
}

// Done reports whether the full rate is reached, so that the ramp can be dropped.
func (r *Ramp) Done(now time.Time) bool { return r.Share(now) >= 1 }

// MayStart takes the budget for one task start.
func (r *Ramp) MayStart(now time.Time) bool {
	rate := r.Share(now) * FullStartsPerSecond
	r.starts.SetRate(rate, max(1, rate*RampBurst.Seconds()), now)
	return r.starts.Take(1, now)
}

// RecordStart notes whether a start was successful. Too many failures halve the share.
func (r *Ramp) RecordStart(ok bool, now time.Time) {
	r.results++
	if !ok {
		r.failed++
	}
	if r.results < RampSampleSize {
		return
	}
	if float64(r.failed) >= RampFailureShare*float64(r.results) {
		r.start, r.from = max(RampInitialShare, r.Share(now)/2), now
	}
	r.results, r.failed = 0, 0
}
