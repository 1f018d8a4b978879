package schedule

import (
	"slices"
	"time"
)

const (
	// slowShare is the share of full speed, in percent, at which a filler is worth moving.
	slowShare = 50
	// slowFor is how long a filler must have been slow before it is moved: shorter swings of load pass by themselves.
	slowFor = 1200 * time.Millisecond
	// settledFor is the least time that an attempt runs before it is moved again.
	settledFor = 3 * time.Second
	// almostDone is the progress, in percent, above which a move costs more than it brings.
	almostDone = 80
	// movesPerPlan bounds the tasks that are moved at once, as each takes room elsewhere.
	movesPerPlan = 4
)

// leaveMargin is added to the time that a stop needs before a draining worker may leave: one report and one order.
const leaveMargin = time.Second

// repeatStops sends the stops again that were not answered.
func (s *Scheduler) repeatStops(now Time) {
	for a := range s.stopping {
		s.stop(now.Boot, a)
	}
}

// move stops an attempt so that its task starts elsewhere. value is the input that decided.
func (s *Scheduler) move(now Time, a *attempt, how string, value float64) {
	event := a.event(EventTaskMoved)
	event.Reason, event.Value = how, value
	s.note(event)
	s.stop(now.Boot, a)
}

// leaveDraining stops what would end with a worker that leaves: service tasks at once, so that they move while the
// worker still answers, other tasks when they have had all the time that the worker gives.
func (s *Scheduler) leaveDraining(now Time) {
	for _, w := range s.order {
		if !w.info.Draining || len(w.attempts) == 0 {
			continue
		}
		leaving := now.Boot+s.cfg.StopTime+leaveMargin >= w.leavesAt
		for _, a := range slices.Clone(w.list) {
			if a.phase != running || !(leaving || a.task.step.spec.Service) {
				continue
			}
			s.move(now, a, "worker drains", 0)
		}
	}
}

// moveSlowed stops fillers that are slowed down beside a service, when another worker has room for them and no service
// that they disturb. They resume there from the checkpoint of their stop.
func (s *Scheduler) moveSlowed(now Time) {
	moves := 0
	for _, w := range s.order {
		if !w.paced || moves >= movesPerPlan {
			continue
		}
		for _, a := range w.list {
			if !a.worthMoving(now.Boot) || s.chooseHarmless(now, a) == nil {
				continue
			}
			s.move(now, a, "slowed beside a service", float64(a.share))
			moves++
			break
		}
	}
}

// worthMoving reports whether a filler has been slow for some time and loses little by a stop.
func (a *attempt) worthMoving(now time.Duration) bool {
	if a.phase != running || !a.filler() || !a.task.step.spec.Checkpoints || a.percent >= almostDone {
		return false
	}
	if a.share > slowShare || a.slowSince == 0 {
		return false
	}
	return now-a.slowSince >= slowFor && now-a.startedAt >= settledFor
}

// chooseHarmless returns a worker on which a filler disturbs no service, or nil.
func (s *Scheduler) chooseHarmless(now Time, a *attempt) *worker {
	for _, w := range s.order {
		if w == a.worker || !s.fits(now, a.task, w) {
			continue
		}
		if _, pressure := s.harm(now.Boot, w, a.task); pressure == 0 {
			return w
		}
	}
	return nil
}
