package schedule

import (
	"time"

	"fulmarcourse.example/core/workload"
)

const (
	// quarantineJobs is the number of different jobs that must fail on a worker, without a success in between, before
	// it is quarantined. A single job may fail through its own fault.
	quarantineJobs = 2
	// firstQuarantine is long enough for a short fault to pass; each further quarantine is twice as long.
	firstQuarantine = 2 * time.Second
	// maxQuarantine bounds how long a worker that has recovered stays unused.
	maxQuarantine = 8 * time.Second
)

const (
	// firstProbation is how long a worker that was lost and has returned gets no tasks. It doubles with each further
	// loss, because some workers go down and up repeatedly.
	firstProbation = 700 * time.Millisecond
	maxProbation   = 6 * time.Second
	// stableAfter is the time without a loss after which earlier losses are ignored.
	stableAfter = 10 * time.Second
)

// stability tracks the recent losses of a worker.
type stability struct {
	length time.Duration // of the latest probation
	until  time.Duration
	lostAt time.Duration
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
	jobs   map[workload.JobID]struct{} // jobs that failed since the last success
	length time.Duration               // of the latest quarantine
	until  time.Duration
}

// recordSuccess resets the failure history after a task has succeeded.
func (h *health) recordSuccess() { *h = health{} }

// recordFailure records a failed task and reports whether it starts a quarantine of the worker.
func (h *health) recordFailure(now time.Duration, id workload.JobID) bool {
	if h.jobs == nil {
		h.jobs = map[workload.JobID]struct{}{}
	}
	h.jobs[id] = struct{}{}
	if len(h.jobs) < quarantineJobs || now < h.until {
		return false
	}
	h.length = min(max(2*h.length, firstQuarantine), maxQuarantine)
	h.until = now + h.length
	return true
}

// quarantined reports whether the worker gets no tasks.
func (h *health) quarantined(now time.Duration) bool { return now < h.until }
