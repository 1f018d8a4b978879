package standin

import (
	"sync"
	"time"
)

// ManualClock is a clock that moves only when Advance is called. It is safe for concurrent use.
type ManualClock struct {
	mu  sync.Mutex
	now time.Time
}

// NewManualClock returns a clock that is set to a fixed time.
func NewManualClock() *ManualClock { return NewManualClockAt(time.Unix(1_000_000_000, 0)) }

// NewManualClockAt returns a clock that is set to now.
func NewManualClockAt(now time.Time) *ManualClock { return &ManualClock{now: now} }

// Now returns the current time of the clock.
func (c *ManualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Advance moves the clock forward by d.
func (c *ManualClock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}
