package retry

import (
	"time"

	"fulmarcourse.example/core/latency"
)

// Thresholds of hedging.
const (
	// HedgeQuantile is the quantile of the latency after which a second attempt is sent. At 0.95, hedges add at most
	// about 5% of requests, which leaves half of the budget for retries.
	HedgeQuantile = 0.95
	// HedgeSamples is the least number of samples for which the quantile is used.
	HedgeSamples = 40
	// MinHedgeDelay is the least delay of a hedge. It prevents hedges for services that are faster than the jitter of
	// the links.
	MinHedgeDelay = 2 * time.Millisecond
)

// HedgeDelay returns how long to wait for the first attempt before a second one is sent. It returns false if no second
// attempt should be sent: the kind is not idempotent, there are too few samples, or a second attempt could not finish
// in the remaining time. (Dean and Barroso, "The tail at scale", 2013.)
func HedgeDelay(now time.Time, window *latency.Window, idempotent bool, remaining time.Duration) (time.Duration, bool) {
	if !idempotent || window.Count(now) < HedgeSamples {
		return 0, false
	}
	delay, known := window.Quantile(now, HedgeQuantile)
	typical, _ := window.Quantile(now, 0.5)
	if !known {
		return 0, false
	}
	delay = max(delay, MinHedgeDelay)
	return delay, delay+typical < remaining
}
