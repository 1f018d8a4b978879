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
// have waited for earlier updates, or while the process was paused. Owner.mu is held.
func (l *link) takeOrders(now schedule.Time) []schedule.Order {
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
			l.owner.wake(l.owner.planWake)
			continue
		}
		taken = append(taken, order)
	}
	l.orders = nil
	return taken
}

// sendRank returns the rank in which an order is sent.
func sendRank(order schedule.Order) int {
	if order.Kind == schedule.OrderStart {
		return 1
	}
	return 0
}
