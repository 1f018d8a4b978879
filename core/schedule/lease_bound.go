package schedule

import "time"

// TaskLease is the longest time for which a report or a start extends the task leases of a worker, also if workers grant more. The platform
// lets a service be away for 9 s after its last run, or for 7 s after the last disturbance. That is 1.03 times the lease and 0.5 s until it has
// certainly expired (6.68 s), and LeaseGrantWindow for which a former owner may go on; 0.1 s is left for the start. What a next owner does not
// know is a loss in the 2 s before its takeover at most, see withhold.go.
const TaskLease = 6 * time.Second

// LeaseGrantWindow is how long relays may grant task leases after the owner has sent the latest renewal that the store has confirmed. A
// later owner waits for it and the lease. A renewal is older at times, as they come every 300 ms and relays are told every 250 ms; the leases
// are shorter by that. They usually outlast an outage of the store of 5 s.
const LeaseGrantWindow = 200 * time.Millisecond

const (
	// clockSlack allows for worker clocks that run 2 % slow, with a margin of 1 %.
	clockSlack = 1.03
	// leaseMargin allows for the time that a worker takes to notice an expired lease.
	leaseMargin = 500 * time.Millisecond
)

// Grant is the latest task lease that a relay has granted to a worker, or may have.
type Grant struct {
	At    time.Duration // boot time at which the lease begins; 0 if that is not known
	Lease time.Duration // the longest lease that the relay grants; 0 if that is not known, as for relays of former versions
}

// end returns the time at which the lease has certainly expired on the process that it was granted to. The lease is a time on the clock
// of that process, so a call that is carried out late extends it no further.
func (g Grant) end(cfg Config) time.Duration {
	if g.Lease == 0 {
		return g.At + cfg.longestLeaseBound()
	}
	return g.At + expiry(g.Lease)
}

// expiry returns the time after which a lease of some length has certainly expired.
func expiry(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*clockSlack) + leaseMargin
}

// leaseBound returns the time after which a task lease granted now has certainly expired.
func (c Config) leaseBound() time.Duration { return expiry(c.TaskLease) }

// longestLeaseBound returns the time after which the longest lease that a worker grants has certainly expired.
func (c Config) longestLeaseBound() time.Duration { return expiry(max(c.TaskLease, c.MaxTaskLease)) }

// inheritedBound returns the time after a takeover at which every lease that former owners have granted to a process has certainly expired.
// lease is the longest one that they grant; 0 if that is not known, as for owners of former versions.
func (c Config) inheritedBound(lease time.Duration) time.Duration {
	if lease == 0 {
		return max(c.HandoverGrace, c.UnknownGrace) + c.longestLeaseBound()
	}
	return c.HandoverGrace + expiry(lease)
}
