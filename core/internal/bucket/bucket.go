// Package bucket implements a token bucket. Callers pass the current time to every method.
package bucket

import "time"

// Bucket is a token bucket that gains rate tokens per second, up to burst. Take succeeds while the number of tokens is
// positive and may make it negative, so that an item larger than burst passes and later items wait until the debt is
// repaid. It is not safe for concurrent use.
type Bucket struct {
	rate, burst float64
	tokens      float64   // negative while in debt
	updated     time.Time // time up to which tokens have been added
}

// New returns a full bucket.
func New(rate, burst float64, now time.Time) *Bucket {
	return &Bucket{rate: rate, burst: burst, tokens: burst, updated: now}
}

// SetRate sets the rate and the burst that apply from now on. Tokens up to now are added at the former rate.
func (b *Bucket) SetRate(rate, burst float64, now time.Time) {
	b.refill(now)
	b.rate, b.burst = rate, burst
}

// Take removes n tokens and returns true if the number of tokens is positive; otherwise it removes none.
func (b *Bucket) Take(n float64, now time.Time) bool {
	b.refill(now)
	if b.tokens <= 0 {
		return false
	}
	b.tokens -= n
	return true
}

// Ready reports whether Take would succeed.
func (b *Bucket) Ready(now time.Time) bool {
	b.refill(now)
	return b.tokens > 0
}

// refill adds the tokens for the time since the last call. It adds none if the clock has stepped back.
func (b *Bucket) refill(now time.Time) {
	if age := now.Sub(b.updated); age > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*age.Seconds())
		b.updated = now
	}
}
