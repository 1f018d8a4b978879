package dispatch

import (
	"time"

	"fulmarcourse.example/core/schedule"
)

// lateCallDelay is above the seconds after which, as the platform states, a call without an answer may still be carried out, and the second for
// which a start may wait in a relay.
const lateCallDelay = 15 * time.Second

// lastGrant returns the latest task lease that the relay may grant with the permissions so far.
func (l *link) lastGrant() schedule.Grant {
	return schedule.Grant{At: l.permittedUntil, Lease: l.taskLease}
}
