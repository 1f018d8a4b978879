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

// recordTaskLease records the longest lease that the relay grants, for all of its workers: the next call may permit it to extend theirs.
func (l *link) recordTaskLease(s *schedule.Scheduler, lease time.Duration) {
	l.taskLease = lease
	for id := range l.workers {
		s.RecordTaskLease(id, lease)
	}
}

// mayExtendUnstored reports whether a permission would let the relay extend leases of a worker for which a later owner would not wait, since
// it does not withhold them yet. Owner.mu is held.
func (l *link) mayExtendUnstored() bool {
	if l.taskLease > 0 && l.taskLease <= l.owner.cfg.TaskLease {
		return false
	}
	for id := range l.workers {
		if l.owner.scheduler.LongerLeasesUnstored(id) && (!l.withheld.observed || l.withheld.since[id] == 0) {
			return true
		}
	}
	return false
}
