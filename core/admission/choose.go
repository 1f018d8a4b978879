package admission

import (
	"slices"
	"time"
)

// choose returns the runner for item, or nil if item has to wait. Runners within their adaptive limit come first. Slots
// beyond the limit are open to items with short deadlines and to items that have waited for a typical service time, so
// that a limit that is too low causes a bounded delay and no rejections. Runners in back-off come last.
func (c *Controller) choose(now time.Time, item *Item) *runner {
	short := c.short(now, item)
	if !short && c.ledger.Totals().Free <= c.reserved(now) {
		return nil
	}
	beyondLimit := short || now.Sub(item.Arrived) >= c.times.typical(now, item.Kind)
	if best := c.cheapest(now, item, func(r *runner) bool {
		return r.withinLimit() && !r.health.InBackOff(now)
	}); best != nil {
		return best
	}
	if !beyondLimit {
		return nil
	}
	if best := c.cheapest(now, item, func(r *runner) bool { return !r.health.InBackOff(now) }); best != nil {
		return best
	}
	return c.cheapest(now, item, func(*runner) bool { return true })
}

// reserved returns the number of slots that are reserved for requests with short deadlines.
func (c *Controller) reserved(now time.Time) int {
	if c.shortSeen.IsZero() || now.Sub(c.shortSeen) > ReserveRetention {
		return 0
	}
	return int(float64(c.ledger.Totals().Slots) * ReserveShare)
}

// cheapest returns the runner of lowest cost among those that have a free slot and for which allowed returns true.
// Runners in item.Avoid are used only when there is no other. The start of the iteration rotates, so that runners of
// equal cost get equal shares.
func (c *Controller) cheapest(now time.Time, item *Item, allowed func(*runner) bool) *runner {
	runners := c.ledger.runners
	typical := c.times.typical(now, item.Kind)
	var best, avoided *runner
	var bestCost, avoidedCost float64
	c.cursor++
	for i := range runners {
		r := runners[(c.cursor+i)%len(runners)]
		if r.free() == 0 || !allowed(r) {
			continue
		}
		cost := r.cost(now, typical)
		if slices.Contains(item.Avoid, r.id) {
			if avoided == nil || cost < avoidedCost {
				avoided, avoidedCost = r, cost
			}
			continue
		}
		if best == nil || cost < bestCost {
			best, bestCost = r, cost
		}
	}
	if best == nil {
		return avoided
	}
	return best
}
