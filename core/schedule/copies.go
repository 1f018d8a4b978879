package schedule

import "time"

const (
	// silentAfter is the age of a worker's last report after which it counts as silent, so that its tasks that allow
	// copies get a second attempt. A silent worker may still get new tasks until its last report is older than
	// unreachableAfter, which is longer.
	silentAfter = 1300 * time.Millisecond
	// maxCopies bounds the concurrent attempts of one task.
	maxCopies = 2
	// takeoverCopyDelay is how long after a takeover tasks that allow copies wait for workers that have not reported.
	takeoverCopyDelay = 1300 * time.Millisecond
)

// startCopies starts second attempts of tasks whose workers are silent (see silentAfter), in steps that allow copies:
// waiting for the leases of the worker to expire takes longer than the task.
func (s *Scheduler) startCopies(now Time) {
	for st := range s.openSteps {
		if !st.spec.Copies || !s.startable(now, st) {
			continue
		}
		for _, t := range st.tasks {
			if t.done || !t.mayBeCopied() || len(t.attempts) == 0 || len(t.attempts) >= maxCopies || !t.allWorkersSilent(now.Boot) {
				continue
			}
			if w := s.choose(now, t); w != nil {
				s.start(now.Boot, t, w)
			}
		}
	}
}

// allWorkersSilent reports whether every worker that runs an attempt of the task is silent.
func (t *task) allWorkersSilent(now time.Duration) bool {
	for _, a := range t.attempts {
		if now-a.worker.reportedAt < silentAfter {
			return false
		}
	}
	return true
}
