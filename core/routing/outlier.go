package routing

import "time"

// Thresholds of outlier ejection.
const (
	// FailuresToEject is the number of consecutive lost attempts after which an owner is left out. One may be due
	// to the request itself.
	FailuresToEject = 2
	// MinEjection and MaxEjection bound how long an owner is left out; the time doubles with every further failure.
	// Heartbeats find a dead owner within a few seconds, so longer ejections would gain nothing.
	MinEjection = 250 * time.Millisecond
	MaxEjection = 2 * time.Second
)

// OutlierState is what this host has seen of one shard owner, beside digests. Digests tell late that an owner died, that
// the link to it is cut, or that its queue has filled up; attempts tell at once. (Envoy's outlier detection.) The
// zero value is an owner without failures.
type OutlierState struct {
	failures int
	ejected  time.Time // left out until then
	full     time.Time // when a request was last rejected for lack of slots
}

// RecordLost records an attempt without a usable reply.
func (o *OutlierState) RecordLost(now time.Time) {
	if o.failures++; o.failures >= FailuresToEject {
		o.eject(now, o.failures-FailuresToEject)
	}
}

// RecordUnavailable records that the owner could not be connected or does not own the shard. It needs no second opinion.
func (o *OutlierState) RecordUnavailable(now time.Time) {
	o.failures++
	o.eject(now, o.failures-1)
}

// RecordFull records a rejection for lack of slots.
func (o *OutlierState) RecordFull(now time.Time) {
	o.RecordReply()
	o.full = now
}

// RecordReply records any other reply.
func (o *OutlierState) RecordReply() {
	o.failures = 0
	o.ejected = time.Time{}
}

// Ejected reports whether other owners are preferred for now.
func (o *OutlierState) Ejected(now time.Time) bool { return now.Before(o.ejected) }

// CorrectSlots returns the digest's slots with what is known better: a shard that has rejected a request since the
// digest was taken has no free slots and a queue.
func (o *OutlierState) CorrectSlots(now time.Time, s Slots) Slots {
	if s.Known && now.Add(-s.Age).Before(o.full) {
		s.Free, s.Queued = 0, max(s.Queued, s.Total)
	}
	return s
}

func (o *OutlierState) eject(now time.Time, doublings int) {
	o.ejected = now.Add(min(MinEjection<<min(doublings, 10), MaxEjection))
}
