package schedule

import "time"

// Time is one reading of the clocks of the owner.
type Time struct {
	Boot   time.Duration // since an arbitrary start; includes the time for which the host was suspended
	UnixMs int64         // time of day, in milliseconds
}

// Config holds the limits that the platform states.
type Config struct {
	Term          int64         // fences the owner's orders; rises with every change of owner
	TaskLease     time.Duration // for which every report or start extends the task leases of a worker
	StopTime      time.Duration // a worker needs at most so long to stop a task
	HandoverGrace time.Duration // for which a former owner may go on after it has lost its ownership
}

// Limits of orders and reports.
const (
	// clockSlack covers worker clocks that are 2 % slow, with a margin of 1 %.
	clockSlack = 1.03
	// leaseMargin covers the time that a worker takes to notice an expired lease.
	leaseMargin = 500 * time.Millisecond
	// silentAfter is the age of the last report after which a worker gets no new tasks. Workers report at least once a
	// second.
	silentAfter = 2500 * time.Millisecond
	// repeatAfter is the pause before an unanswered order is repeated.
	repeatAfter = 300 * time.Millisecond
	// listingGrace is how long a worker that is missing in the list but reports still counts as listed. The platform
	// restores the entries of live workers within 2 s after an outage of its store.
	listingGrace = 2 * time.Second
	// fullAgain is the pause after a worker has rejected a task for want of room.
	fullAgain = 500 * time.Millisecond
	// attemptsPerTerm separates the attempt numbers of two owners: a new owner cannot know the numbers of attempts on
	// workers that it does not reach.
	attemptsPerTerm = 1000
	// staleAttemptSkip is added to a task's attempt number when a worker has seen a higher one.
	staleAttemptSkip = 16
	// maxEndedPerReport is the number of ends after which a worker continues in its next report.
	maxEndedPerReport = 500
)

// leaseBound returns the time after which a task lease that was granted now has certainly expired.
func (c Config) leaseBound() time.Duration {
	return time.Duration(float64(c.TaskLease)*clockSlack) + leaseMargin
}
