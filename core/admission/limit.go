package admission

import "math"

// Thresholds of the adaptive concurrency limit.
const (
	// LimitTolerance is the slowdown, relative to the typical service time, up to which the limit is not lowered.
	LimitTolerance = 1.5
	// LimitSmoothing is the weight of one new estimate of the limit.
	LimitSmoothing = 0.2
	// LimitAllowance is added to each estimate of the limit, in slots. It raises the limit of a runner that is not
	// slowed down.
	LimitAllowance = 1
	// MinLimit is the least limit, in slots. It keeps enough requests on a slow runner to detect its recovery.
	MinLimit = 2
	// MinGradient is the least gradient; it bounds how much one estimate lowers the limit.
	MinGradient = 0.5
)

// Limit is the adaptive concurrency limit of one runner. It follows the gradient algorithm of Netflix's
// concurrency-limits library ("Gradient2"): limit = limit * gradient + allowance, smoothed, where the gradient is the
// tolerated over the observed slowdown. The slowdown is relative to the typical service time of the kind on all runners
// of the shard, so that a mix of kinds is not mistaken for a slow runner. The zero value is unlimited until the first
// estimate.
type Limit struct {
	value float64 // slots; 0 before the first estimate
}

// Update adjusts the limit after one answer. slowdown is the smoothed service time relative to the typical one, taken
// the number of requests that were on the runner, and slots its slot count.
func (l *Limit) Update(slowdown float64, taken, slots int) {
	if slots <= 0 {
		return
	}
	if l.value == 0 {
		l.value = float64(slots)
	}
	// Answers of a runner that is far below its limit carry no information about the limit.
	if float64(taken) < l.value/2 {
		return
	}
	gradient := math.Max(MinGradient, math.Min(1, LimitTolerance/math.Max(slowdown, 1)))
	estimate := l.value*gradient + LimitAllowance
	l.value = (1-LimitSmoothing)*l.value + LimitSmoothing*estimate
	l.value = math.Max(math.Min(MinLimit, float64(slots)), math.Min(l.value, float64(slots)))
}

// Value returns the limit in whole slots, at most slots.
func (l *Limit) Value(slots int) int {
	if l.value == 0 {
		return slots
	}
	return min(slots, int(math.Round(l.value)))
}
