package admission

import "time"

// hold keeps a slot taken after an attempt whose outcome is unknown.
type hold struct {
	slot  *Slot
	until time.Time
}

// Answered releases the slot of an answered attempt and records its service time. failed marks an answer with a server
// error, whose service time is not representative and is not recorded.
func (c *Controller) Answered(now time.Time, grant Grant, failed bool) {
	r := c.ledger.byID[grant.Slot.Runner]
	if !c.ledger.Release(grant.Slot) {
		return
	}
	taken := len(r.taken) + 1 // including the released one
	if failed {
		r.health.Failed(now)
		return
	}
	served := now.Sub(grant.Slot.Since)
	ratio := 1.0
	if typical := c.times.typical(now, grant.Item.Kind); typical > 0 {
		ratio = float64(served) / float64(typical)
	}
	c.times.observe(now, grant.Item.Kind, served)
	r.health.Answered(now, ratio)
	r.limit.Update(r.health.Slowdown(now), taken, r.slots)
}

// NotSent releases the slot of an attempt of which no byte was sent.
func (c *Controller) NotSent(now time.Time, grant Grant) {
	r := c.ledger.byID[grant.Slot.Runner]
	if c.ledger.Release(grant.Slot) {
		r.health.Failed(now)
	}
}

// Refused releases the slot of an attempt that the runner refused as busy.
func (c *Controller) Refused(now time.Time, grant Grant) {
	r := c.ledger.byID[grant.Slot.Runner]
	if c.ledger.Release(grant.Slot) {
		r.health.Busy(now)
	}
}

// Unused releases the slot of an attempt that was not made. It does not affect the health of the runner.
func (c *Controller) Unused(grant Grant) { c.ledger.Release(grant.Slot) }

// Uncertain records an attempt whose outcome is unknown. Its slot stays taken until the given time, because the runner
// may still be processing the request.
func (c *Controller) Uncertain(now time.Time, grant Grant, until time.Time) {
	if grant.Slot.released {
		return
	}
	c.ledger.byID[grant.Slot.Runner].health.Failed(now)
	// A connection that broke early carries no information about service times. A missing answer after more than the
	// typical time does.
	if elapsed := now.Sub(grant.Slot.Since); elapsed > c.times.typical(now, grant.Item.Kind) {
		c.times.observe(now, grant.Item.Kind, elapsed)
	}
	c.holds = append(c.holds, hold{grant.Slot, until})
	c.Sweep(now)
}

// Sweep releases the held slots whose hold has ended and returns their number.
func (c *Controller) Sweep(now time.Time) int {
	kept, released := c.holds[:0], 0
	for _, h := range c.holds {
		if now.Before(h.until) {
			kept = append(kept, h)
			continue
		}
		c.ledger.Release(h.slot)
		released++
	}
	c.holds = kept
	return released
}
