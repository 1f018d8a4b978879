package schedule

import (
	"time"

	"fulmarcourse.example/core/workload"
)

const (
	// backOffJobs is the number of different jobs that must fail on a worker, without a success in between, before
	// it gets no tasks for some time. A single job may fail through its own fault.
	backOffJobs = 2
	// firstFailureBackOff is the duration of the first back-off of a worker. It is long enough for a short fault to
	// pass; each further back-off is twice as long.
	firstFailureBackOff = 2 * time.Second
	// maxFailureBackOff is the maximum duration of a back-off. It bounds how long a worker that has recovered stays
	// unused.
	maxFailureBackOff = 8 * time.Second
)

const (
	// firstProbation is how long a worker that was lost and has returned gets no tasks. It doubles with each further
	// loss, because some workers go down and up repeatedly.
	firstProbation = 700 * time.Millisecond
	// maxProbation is the maximum duration of a probation.
	maxProbation = 6 * time.Second
	// stableAfter is the time without a loss after which earlier losses are ignored.
	stableAfter = 10 * time.Second
)

// stability tracks the recent losses of a worker.
type stability struct {
	length time.Duration // of the latest probation
	until  time.Duration // end of the latest probation
	lostAt time.Duration // time of the latest loss
}

// recordLoss records that everything that ran on the worker was lost.
func (s *stability) recordLoss(now time.Duration) {
	if now-s.lostAt > stableAfter {
		s.length = 0
	}
	s.length = min(max(2*s.length, firstProbation), maxProbation)
	s.until = now + s.length
	s.lostAt = now
}

// health distinguishes workers on which every job fails from jobs that fail on every worker.
type health struct {
	jobs        map[workload.JobID]struct{} // jobs that failed since the last success
	length      time.Duration               // of the latest back-off
	until       time.Duration               // end of the latest back-off
	tasksFailed bool                        // tasks that end are among those that failed since the last success
}

// recordSuccess resets the failure history after a task has succeeded.
func (h *health) recordSuccess() { *h = health{} }

// recordFailure records a failed task and reports whether it starts a back-off of the worker.
func (h *health) recordFailure(now time.Duration, id workload.JobID) bool {
	if h.jobs == nil {
		h.jobs = map[workload.JobID]struct{}{}
	}
	h.jobs[id] = struct{}{}
	if len(h.jobs) < backOffJobs || now < h.until {
		return false
	}
	h.length = min(max(2*h.length, firstFailureBackOff), maxFailureBackOff)
	h.until = now + h.length
	return true
}

// inBackOff reports whether the worker gets no tasks because several jobs have failed on it.
func (h *health) inBackOff(now time.Duration) bool { return now < h.until }

// tasksFailedWithin reports whether the worker was put into back-off within a time that has just passed, and not for failures of
// services alone. Services fail at any time, also on sound workers.
func (h *health) tasksFailedWithin(now, d time.Duration) bool {
	return h.tasksFailed && h.inBackOff(now) && now-(h.until-h.length) < d
}
