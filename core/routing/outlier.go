package routing

import "time"

// Thresholds of outlier ejection.
const (
	// FailuresToEject is the number of consecutive lost attempts after which an owner is ejected. A single one may be
	// due to the request itself.
	FailuresToEject = 2
	// MinEjection and MaxEjection bound how long an owner is ejected; the time doubles with every further failure.
	// Heartbeats detect a dead owner within a few seconds, so longer ejections would have no use.
	MinEjection = 250 * time.Millisecond
	MaxEjection = 2 * time.Second
)

// OutlierState holds the results of this host's own attempts at one shard owner, as in Envoy's outlier detection. They
// show a dead owner, a cut link or a full queue at once, while digests show them late. The zero value is an owner
// without failures.
type OutlierState struct {
	failures int
	ejected  time.Time // end of the ejection
	full     time.Time // when a request was last rejected for lack of slots
}

// RecordLost records an attempt without a usable reply.
func (o *OutlierState) RecordLost(now time.Time) {
	if o.failures++; o.failures >= FailuresToEject {
		o.eject(now, o.failures-FailuresToEject)
	}
}

// RecordUnavailable records that the owner could not be connected or does not own the shard. It ejects the owner at the
// first occurrence.
func (o *OutlierState) RecordUnavailable(now time.Time) {
	o.failures++
	o.eject(now, o.failures-1)
}

// RecordFull records a rejection for lack of slots.
func (o *OutlierState) RecordFull(now time.Time) {
	o.RecordReply()
	o.full = now
}

// RecordReply records any other reply. It ends an ejection.
func (o *OutlierState) RecordReply() {
	o.failures = 0
	o.ejected = time.Time{}
}

// Ejected reports whether the owner is ejected, so that other owners are preferred.
func (o *OutlierState) Ejected(now time.Time) bool { return now.Before(o.ejected) }

// CorrectSlots returns s, corrected if the shard has rejected a request since the digest was taken: such a shard has no
// free slots and a queue.
func (o *OutlierState) CorrectSlots(now time.Time, s Slots) Slots {
	if s.Known && now.Add(-s.Age).Before(o.full) {
		s.Free, s.Queued = 0, max(s.Queued, s.Total)
	}
	return s
}

func (o *OutlierState) eject(now time.Time, doublings int) {
	o.ejected = now.Add(min(MinEjection<<min(doublings, 10), MaxEjection))
}
