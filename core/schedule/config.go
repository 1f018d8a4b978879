package schedule

import "time"

// Time is a reading of the owner's clocks.
type Time struct {
	Boot   time.Duration // since an arbitrary start, including time for which the host was suspended
	UnixMs int64         // wall-clock time, Unix milliseconds
}

// unixMsAt converts a boot time in the past to wall-clock time.
func (t Time) unixMsAt(boot time.Duration) int64 { return t.UnixMs - (t.Boot - boot).Milliseconds() }

// bootAt converts wall-clock time, Unix milliseconds, to boot time. A time beyond the range of durations is limited to it.
func (t Time) bootAt(unixMs int64) time.Duration {
	const limit = int64(1 << 40) // milliseconds, 35 years
	return t.Boot + time.Duration(min(max(unixMs-t.UnixMs, -limit), limit))*time.Millisecond
}

// Config holds the owner's term and the time limits that the platform sets.
type Config struct {
	Term          int64         // fencing token of the owner's orders; increases with every change of owner
	TaskLease     time.Duration // how long each report or start extends the task leases of a worker
	MaxTaskLease  time.Duration // longest task lease that a worker grants
	StopTime      time.Duration // maximum time that a worker takes to stop a task
	HandoverGrace time.Duration // how long leases may still be granted for a former owner after the store has confirmed it last
	UnknownGrace  time.Duration // HandoverGrace of former versions
	CallDelay     time.Duration // how long after its sending a call may be carried out by the next process of its worker
	AcquiredAt    time.Duration // boot time by which the term had begun; 0 if it begins with the call of InheritWorkers
	EndsPerReport int           // maximum number of ends in a report, the lowest numbers first; 0 if there is none
}

// begunAt returns a boot time by which the term had begun. What former owners have granted and stored counts from it, since they were
// confirmed and have written before.
func (c Config) begunAt(now time.Duration) time.Duration {
	if c.AcquiredAt > 0 {
		return min(c.AcquiredAt, now)
	}
	return now
}

// Limits of orders and reports.
const (
	// unreachableAfter is the age of a worker's last report after which it counts as unreachable and gets no new tasks.
	// Workers report at least once a second. Copies of a worker's tasks start earlier, after silentAfter.
	unreachableAfter = 2500 * time.Millisecond
	// resendAfter is the delay before an unanswered order is sent again for the first time. It doubles with each repeat of
	// a stop up to maxResendAfter, so that repeats do not fill a link on which orders are already late.
	resendAfter    = 300 * time.Millisecond
	maxResendAfter = 2400 * time.Millisecond
	// listingGrace is how long a worker that is missing from the platform's list but still reports counts as listed.
	// The platform restores the entries of live workers within 2 s after an outage of its store.
	listingGrace = 2 * time.Second
	// noCapacityBackOff is how long a worker gets no tasks after it has rejected one for lack of capacity. It doubles up to
	// maxNoCapacityBackOff while the worker rejects more and the list does not show why, as while the store is away.
	noCapacityBackOff    = 500 * time.Millisecond
	maxNoCapacityBackOff = 2 * time.Second
	// attemptsPerTerm is the distance between the first attempt numbers of consecutive terms. A new owner cannot know
	// the numbers of attempts on workers that it does not reach, so the numbers of two owners must not collide. A task
	// cannot be started that often within a term, even if each attempt ends at once.
	attemptsPerTerm = 1 << 16
	// staleAttemptSkip is added to a task's attempt number when a worker has seen a higher one.
	staleAttemptSkip = 16
)
