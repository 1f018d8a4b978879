// Package bucket is a token bucket whose time is an argument.
package bucket

import "time"

// Bucket fills with Rate tokens per second up to Burst. A take is allowed while the bucket is not empty and may
// leave it in debt, so that one item larger than Burst still passes, and what follows waits the longer.
// It is not safe for concurrent use.
type Bucket struct {
	rate, burst float64
	level       float64
	at          time.Time
}

// New returns a full bucket.
func New(rate, burst float64, now time.Time) *Bucket {
	return &Bucket{rate: rate, burst: burst, level: burst, at: now}
}

// SetRate changes the rate and the burst from now on.
func (b *Bucket) SetRate(rate, burst float64, now time.Time) {
	b.fill(now)
	b.rate, b.burst = rate, burst
}

// Take takes n tokens if the bucket holds any.
func (b *Bucket) Take(n float64, now time.Time) bool {
	b.fill(now)
	if b.level <= 0 {
		return false
	}
	b.level -= n
	return true
}

// Ready reports whether Take would succeed.
func (b *Bucket) Ready(now time.Time) bool {
	b.fill(now)
	return b.level > 0
}

// fill adds the tokens since the last call. A clock that steps back adds none.
func (b *Bucket) fill(now time.Time) {
	if age := now.Sub(b.at); age > 0 {
		b.level = min(b.burst, b.level+b.rate*age.Seconds())
		b.at = now
	}
}
