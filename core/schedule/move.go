package schedule

import (
	"slices"
	"time"
)

const (
	// slowShare is the share of full speed, in percent, up to which a filler is worth moving.
	slowShare = 50
	// slowFor is how long the share of a filler must have been at most slowShare before it is moved; shorter load
	// changes pass without a move.
	slowFor = 1200 * time.Millisecond
	// minRunTime is the minimum time that an attempt runs before it is moved.
	minRunTime = 3 * time.Second
	// almostDone is the progress, in percent, from which a move costs more than it gains.
	almostDone = 80
	// movesPerScan bounds the tasks that one kind of move stops per scan, because each needs capacity elsewhere.
	movesPerScan = 40
)

// drainMargin is added to the time that a stop takes when checking whether a draining worker is about to leave. It
// covers one report and one order.
const drainMargin = time.Second

// repeatStops sends unconfirmed stop orders again.
func (s *Scheduler) repeatStops(now Time) {
	for a := range s.stopping {
		s.stop(now.Boot, a)
	}
}

// move stops an attempt so that its task starts elsewhere. value is the quantity behind the decision, for the log.
func (s *Scheduler) move(now Time, a *attempt, reason string, value float64) {
	event := a.event(EventTaskMoved)
	event.Reason, event.Value = reason, value
	s.emit(event)
	s.stop(now.Boot, a)
}

// moveFromDraining stops attempts on draining workers: service tasks at once, so that they move while the worker still
// responds, other tasks only when the remaining time is just long enough to stop them.
func (s *Scheduler) moveFromDraining(now Time) {
	for _, w := range s.sortedWorkers {
		if !w.info.Draining || len(w.attempts) == 0 {
			continue
		}
		leaving := w.listedAt > 0 && now.Boot+s.cfg.StopTime+drainMargin >= w.leavesAt
		for _, a := range slices.Clone(w.attemptList) {
			if a.phase != running || !(leaving || a.task.step.spec.Service) {
				continue
			}
			s.move(now, a, "worker drains", 0)
		}
	}
}

// moveThrottledFillers stops fillers that are throttled because of a colocated service, if another worker has capacity
// for them and no service that they interfere with. They resume there from the checkpoint that is saved when they stop.
func (s *Scheduler) moveThrottledFillers(now Time) {
	moves := 0
	for _, w := range s.sortedWorkers {
		if !w.fillersThrottled || moves >= movesPerScan {
			continue
		}
		for _, a := range w.attemptList {
			if !a.worthMoving(now.Boot) || s.chooseWithoutPressure(now, a) == nil {
				continue
			}
			s.move(now, a, "slowed beside a service", float64(a.share))
			moves++
			break
		}
	}
}

// worthMoving reports whether a filler has been throttled to slowShare for some time and loses little by being stopped.
func (a *attempt) worthMoving(now time.Duration) bool {
	if a.phase != running || !a.filler() || !a.task.step.spec.Checkpoints || a.percent >= almostDone {
		return false
	}
	if a.share > slowShare || a.slowSince == 0 {
		return false
	}
	return now-a.slowSince >= slowFor && now-a.startedAt >= minRunTime
}

// chooseWithoutPressure returns a worker that fits a filler and on which it interferes with no service, or nil.
func (s *Scheduler) chooseWithoutPressure(now Time, a *attempt) *worker {
	for _, w := range s.sortedWorkers {
		if w != a.worker && s.pressureOn(w, a.task.step.imageIndex) == 0 && s.fits(now, a.task, w) {
			return w
		}
	}
	return nil
}
