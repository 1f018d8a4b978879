// Package admission assigns runner slots to requests and rejects requests that cannot meet their deadlines. For one
// service in one shard it keeps the exact slot counts of each runner, a queue ordered by deadline and estimates of the
// service times. The package starts no goroutines and reads no clock: the caller passes the time and serialises calls.
package admission

import (
	"time"

	"fulmarcourse.example/core/structs"
)

// Thresholds of admission.
const (
	// QueuePerSlot bounds the queue, in entries per slot. Waiting for four turnovers of all slots takes longer than the
	// deadlines of latency-critical requests usually allow.
	QueuePerSlot = 4
	// MinQueue is the least bound of the queue, in entries; it applies to small shards.
	MinQueue = 16
	// ShortDeadlineFactor defines a short deadline: the remaining time is at most this many typical service times.
	ShortDeadlineFactor = 4
	// ReserveShare is the share of slots that is reserved for requests with short deadlines.
	ReserveShare = 1.0 / 16
	// ReserveRetention is how long slots stay reserved after the latest request with a short deadline arrived. Without
	// such requests nothing is reserved.
	ReserveRetention = 10 * time.Second
)

// Verdict is the result of Controller.Arrive.
type Verdict string

// Verdicts. All but Queued are rejections.
const (
	Queued           Verdict = "queued"
	RejectedFull     Verdict = structs.ReasonQueueFull
	RejectedDeadline Verdict = structs.ReasonDeadline
	RejectedNoRunner Verdict = structs.ReasonNoRunner
)

// Grant assigns a slot to an item.
type Grant struct {
	Item *Item
	Slot *Slot
}

// Controller makes the admission decisions for one service in one shard.
type Controller struct {
	ledger    *Ledger
	queue     Queue
	times     *serviceTimes
	holds     []hold
	shortSeen time.Time // arrival of the latest request with a short deadline
	cursor    int       // start of the iteration over runners; rotates so that ties are spread evenly
}

// NewController returns a controller without runners.
func NewController() *Controller {
	return &Controller{ledger: NewLedger(), times: newServiceTimes()}
}

// SetRunners replaces the list of runners of the service in the shard.
func (c *Controller) SetRunners(hosts []structs.Host) { c.ledger.SetRunners(hosts) }

// Totals returns the slot counts.
func (c *Controller) Totals() Totals { return c.ledger.Totals() }

// Slowdowns returns, per runner, its smoothed service time relative to the typical one; 1 is the typical speed.
func (c *Controller) Slowdowns(now time.Time) map[structs.HostID]float64 {
	slowdowns := make(map[structs.HostID]float64, len(c.ledger.runners))
	for _, r := range c.ledger.runners {
		slowdowns[r.id] = r.health.Slowdown(now)
	}
	return slowdowns
}

// Queued returns the number of queued requests.
func (c *Controller) Queued() int { return c.queue.Len() }

// Arrive queues item, or rejects it when its deadline cannot be met or the queue is full.
func (c *Controller) Arrive(now time.Time, item *Item) Verdict {
	item.index = notQueued
	totals := c.ledger.Totals()
	if totals.Slots == 0 {
		return RejectedNoRunner
	}
	if c.short(now, item) {
		c.shortSeen = now
	}
	if c.queue.Len() >= max(MinQueue, QueuePerSlot*totals.Slots) {
		return RejectedFull
	}
	remaining := item.Deadline.Sub(now)
	wait := c.estimateWait(now, item, totals)
	if remaining <= 0 || wait >= remaining {
		return RejectedDeadline
	}
	item.waited = wait > 0
	if wait+c.needed(now, item) > remaining {
		if item.probe = c.times.probe(now, item.Kind); !item.probe {
			return RejectedDeadline
		}
	}
	c.queue.Push(item)
	return Queued
}

// estimateWait returns how long item is expected to wait for a slot. Items that leave the queue before it and exceed
// the free slots each wait for one of the slots to turn over.
func (c *Controller) estimateWait(now time.Time, item *Item, totals Totals) time.Duration {
	excess := c.queue.Ahead(item.Deadline) + 1 - totals.Free
	if excess <= 0 {
		return 0
	}
	return time.Duration(float64(c.times.turnover(now, item.Kind)) * float64(excess) / float64(totals.Slots))
}

// Withdraw removes item from the queue and reports whether it was queued.
func (c *Controller) Withdraw(item *Item) bool { return c.queue.Remove(item) }

// NextInfeasible removes and returns one queued item that can no longer meet its deadline.
func (c *Controller) NextInfeasible(now time.Time) (*Item, bool) {
	head := c.queue.Head()
	if head == nil {
		return nil, false
	}
	remaining := head.Deadline.Sub(now)
	if remaining > 0 && (head.probe || c.needed(now, head) <= remaining) {
		return nil, false
	}
	c.queue.Remove(head)
	return head, true
}

// NextGrant takes a slot for the item at the head of the queue, if that item may use a slot now.
func (c *Controller) NextGrant(now time.Time) (Grant, bool) {
	item := c.queue.Head()
	if item == nil {
		return Grant{}, false
	}
	best := c.choose(now, item)
	if best == nil {
		return Grant{}, false
	}
	slot, err := c.ledger.Take(now, best.id)
	if err != nil {
		return Grant{}, false
	}
	c.queue.Remove(item)
	return Grant{item, slot}, true
}

// NextWakeup returns the earliest time at which a queued item expires, an item may use slots that are not open to it
// now, or a held slot is released. At that time the caller calls Sweep, NextInfeasible and NextGrant.
func (c *Controller) NextWakeup(now time.Time) (time.Time, bool) {
	var next time.Time
	consider := func(t time.Time) {
		if t.After(now) && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	for _, h := range c.holds {
		consider(h.until)
	}
	if head := c.queue.Head(); head != nil {
		typical := c.times.typical(now, head.Kind)
		consider(head.Deadline)
		consider(head.Deadline.Add(-c.needed(now, head)))
		consider(head.Deadline.Add(-ShortDeadlineFactor * typical))
		consider(head.Arrived.Add(typical))
	}
	return next, !next.IsZero()
}

// needed returns the service time that must fit into the remaining time of item.
func (c *Controller) needed(now time.Time, item *Item) time.Duration {
	return c.times.needed(now, item.Kind, item.waited)
}

// short reports whether item has a short deadline.
func (c *Controller) short(now time.Time, item *Item) bool {
	return item.Deadline.Sub(now) <= ShortDeadlineFactor*c.times.typical(now, item.Kind)
}
