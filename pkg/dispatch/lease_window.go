package dispatch

import (
	"time"

	"fulmarcourse.example/core/schedule"
)

const (
	// leaseGrantWindow is how long relays may grant task leases after the owner has sent the latest renewal that the store has confirmed. A
	// later owner waits for it and the lease. Renewals come every 300 ms and relays are told every 250 ms, so that it lapses for a moment
	// at most while the store answers, and leases outlast an outage of the store of 6 s.
	leaseGrantWindow = 600 * time.Millisecond
	// lateCallDelay is above the seconds after which, as the platform states, a call without an answer may still be carried out, and the
	// second for which a start may wait in a relay.
	lateCallDelay = 15 * time.Second
)

// lastGrant returns the latest task lease that the relay may grant with the permissions so far.
func (l *link) lastGrant() schedule.Grant {
	return schedule.Grant{At: l.permittedUntil, Lease: l.taskLease}
}
