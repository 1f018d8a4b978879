package schedule

import "time"

// Delay is the sum and the maximum of the durations of one kind.
type Delay struct {
	Count int
	Total time.Duration
	Max   time.Duration
}

// Add adds a duration. Negative ones count as 0: readings of different clocks may be compared.
func (d *Delay) Add(duration time.Duration) {
	duration = max(duration, 0)
	d.Count++
	d.Total += duration
	d.Max = max(d.Max, duration)
}

// Mean returns the mean, 0 without durations.
func (d *Delay) Mean() time.Duration {
	if d.Count == 0 {
		return 0
	}
	return d.Total / time.Duration(d.Count)
}

// Restarts holds how long service tasks took to run again since the last call of TakeRestarts, by what they waited for.
type Restarts struct {
	Decision     Delay // from the end of the former attempt, as known here, to the decision to start the task
	Store        Delay // from the decision to the order: the worker of the task is stored first
	Confirmation Delay // from the order to its answer, or to a report that lists the attempt
}

// TakeRestarts returns the restarts since the last call.
func (s *Scheduler) TakeRestarts() Restarts {
	r := s.restarts
	s.restarts = Restarts{}
	return r
}

// recordEnd records when a task has lost its last attempt. An attempt that never ran leaves the time unchanged.
func (s *Scheduler) recordEnd(a *attempt) {
	if a.confirmedAt > 0 && len(a.task.attempts) == 0 {
		a.task.endedAt, a.task.ranFor = s.calledAt, s.calledAt-a.confirmedAt
	}
}

// recordConfirmation records the delays of a start that was confirmed at a time.
func (s *Scheduler) recordConfirmation(now time.Duration, a *attempt) {
	if t := a.task; t.step.spec.Service && t.endedAt > 0 && a.orderedAt > 0 {
		s.restarts.Decision.Add(a.startedAt - t.endedAt)
		s.restarts.Store.Add(a.orderedAt - a.startedAt)
		s.restarts.Confirmation.Add(now - a.orderedAt)
	}
	a.task.endedAt = 0
}

// longestServiceWait returns for how long the longest waiting of the service tasks has been pending that ran before.
func (s *Scheduler) longestServiceWait(now time.Duration) time.Duration {
	longest := time.Duration(0)
	for st := range s.openSteps {
		if !st.spec.Service || st.pending == 0 {
			continue
		}
		for _, t := range st.tasks {
			if t.pending() && t.endedAt > 0 {
				longest = max(longest, now-t.endedAt)
			}
		}
	}
	return longest
}
