package dispatch

import (
	"cmp"
	"slices"

	"fulmarcourse.example/core/schedule"
)

const (
	// maxUpdateBytes limits the orders in one update of a relay, in bytes. Over a link of 10 Mbit/s it takes a quarter of
	// relayTimeout; the orders of a call that takes longer have to be resolved with stops.
	maxUpdateBytes = 256 << 10
	// orderBytes is the size of an order without its input and checkpoint.
	orderBytes = 100
)

// takeOrders removes and returns the orders for the next update, starts last: a stop must not wait behind the starts of a
// burst. What exceeds maxUpdateBytes stays for the updates that follow. Starts that are no longer allowed are dropped: they may
// have waited for earlier updates, each of which a slow relay may delay up to its timeout. The orders are recorded as in
// flight. Owner.mu is held.
func (l *link) takeOrders(now schedule.Time) []schedule.Order {
	l.dropOldStarts(now)
	slices.SortStableFunc(l.orders, func(a, b schedule.Order) int { return cmp.Compare(sendRank(a), sendRank(b)) })
	var taken []schedule.Order
	size := 0
	for n, order := range l.orders {
		size += orderBytes + len(order.Input) + len(order.Checkpoint)
		if len(taken) > 0 && size > maxUpdateBytes {
			l.orders = slices.Clone(l.orders[n:])
			l.owner.wake(l.wake)
			return taken
		}
		if !l.owner.scheduler.MaySend(now, order) {
			l.owner.logOutcome(order, schedule.NotRun, "no longer allowed when it was to be sent")
			l.owner.wake(l.owner.planWake)
			continue
		}
		taken = append(taken, order)
		l.inFlight[keyOf(order)] = inFlight{order, now.Boot + orderLostAfter}
		l.owner.measures.orderQueue.Add(now.Boot - order.DecidedAt)
	}
	l.orders = nil
	return taken
}

// dropOldStarts drops the starts that have waited for too long: this process was paused meanwhile, and a relay would send them
// at once. The time that a decision takes does not count: an owner that decides slowly would start nothing. Owner.mu is held.
func (l *link) dropOldStarts(now schedule.Time) {
	kept := l.orders[:0]
	for _, order := range l.orders {
		if order.Kind != schedule.OrderStart || now.Boot-order.QueuedAt < maxStartWait {
			kept = append(kept, order)
			continue
		}
		l.owner.logOutcome(order, schedule.NotRun, "it has waited for too long")
		l.owner.scheduler.OrderAnswered(now, order, schedule.NotRun)
		l.owner.wake(l.owner.planWake)
	}
	l.orders = kept
}

// sendRank returns the rank in which an order is sent.
func sendRank(order schedule.Order) int {
	if order.Kind == schedule.OrderStart {
		return 1
	}
	return 0
}
