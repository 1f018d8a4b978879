package schedule

import (
	"strconv"
	"time"

	"fulmarcourse.example/core/workload"
)

// OrderKind is the kind of a command to a worker.
type OrderKind uint8

// Kinds of orders.
const (
	OrderStart OrderKind = iota
	OrderStop
	OrderPace // set the share of full speed of an attempt
)

// String returns the name of the kind for logs.
func (k OrderKind) String() string { return nameOf(k, "start", "stop", "pace") }

// nameOf returns the name of a value, or its number if it has none: values arrive from other hosts.
func nameOf[T ~uint8](value T, names ...string) string {
	if int(value) < len(names) {
		return names[value]
	}
	return strconv.Itoa(int(value))
}

// Order is one command to a worker. The caller sends it and reports the outcome with OrderAnswered.
type Order struct {
	Kind       OrderKind
	Worker     WorkerID
	Address    string // where the worker has answered last, as far as the owner knows; its relay may know better
	Task       workload.TaskID
	Attempt    int64
	Input      string // OrderStart only
	Checkpoint string // OrderStart only; empty to start from the beginning
	Percent    int    // OrderPace only, 0 to 100

	// These are set by the caller, on the boot clock of the owner, and not sent.
	DecidedAt time.Duration // start of the decision; for measurements only
	QueuedAt  time.Duration // when it was queued to be sent
}

// order returns an order about an attempt.
func (a *attempt) order(kind OrderKind) Order {
	return Order{
		Kind: kind, Worker: a.worker.info.ID, Address: a.worker.address(), Task: a.task.id(), Attempt: a.number,
	}
}

// Outcome is what is known about an order after it was sent.
type Outcome uint8

// Outcomes of orders.
const (
	Accepted             Outcome = iota
	Unanswered                   // it may have been executed, or may still be
	NotRun                       // it was certainly not executed and will not be
	RejectedNoCapacity           // the worker lacks capacity
	RejectedStaleAttempt         // the worker has seen a higher attempt of the task
	RejectedUnhealthy            // the worker is unhealthy
	RejectedFenced               // the worker has seen a later owner
)

// String returns the name of the outcome for logs.
func (o Outcome) String() string {
	return nameOf(o, "accepted", "unanswered", "not_run", "no_room", "old_attempt", "unhealthy", "fenced")
}

// OrderAnswered records the outcome of an order. It returns false when the worker has certainly seen a later owner.
func (s *Scheduler) OrderAnswered(now Time, o Order, outcome Outcome) bool {
	s.calledAt = now.Boot
	w, known := s.workers[o.Worker]
	if !known {
		return outcome != RejectedFenced || s.RaisesFences()
	}
	if outcome == RejectedFenced {
		if !s.RaisesFences() {
			return false
		}
		outcome = NotRun
	}
	a := w.attempts[attemptKey{o.Task, o.Attempt}]
	switch {
	case a == nil:
		s.orphanStopAnswered(w, o, outcome)
	case o.Kind == OrderStart:
		s.startAnswered(now, a, outcome)
	case o.Kind == OrderStop:
		s.stopAnswered(now, a, outcome)
	case o.Kind == OrderPace:
		s.paceAnswered(a, o, outcome)
	}
	return true
}

// MaySend checks an order again right before it is sent for the first time. A start that is no longer allowed, because its
// worker drains or its task was cancelled while the order was queued, must not be sent, and its attempt is dropped.
func (s *Scheduler) MaySend(now Time, o Order) bool {
	if o.Kind != OrderStart {
		return true
	}
	s.calledAt = now.Boot
	w, known := s.workers[o.Worker]
	if !known {
		return false
	}
	a := w.attempts[attemptKey{o.Task, o.Attempt}]
	if a == nil {
		return false
	}
	if a.phase == starting && s.startAllowed(now.Boot, a) {
		return true
	}
	s.drop(a)
	return false
}

// startAllowed checks an attempt that has capacity reserved but whose start was not sent.
func (s *Scheduler) startAllowed(now time.Duration, a *attempt) bool {
	return s.mayStartOn(now, a.worker) && !a.worker.overCommitted() && !s.capacityOutdated(now, a.task, a.worker)
}

func (s *Scheduler) startAnswered(now Time, a *attempt, outcome Outcome) {
	w := a.worker
	switch outcome {
	case Accepted:
		if a.phase == starting {
			a.phase = running
		}
		w.full = fullBackOff{}
		s.confirm(now.Boot, a)
		if a.filler() {
			s.pace(now.Boot, a, a.share)
		}
	case Unanswered:
		w.suspect = true
		a.task.ran = true // it may run there, as one that a former owner has started
		if a.phase == starting {
			a.phase = unanswered
		}
	case NotRun:
		w.suspect = true
		s.drop(a)
	case RejectedNoCapacity:
		s.drop(a)
		if a.task.step.spec.Reserved().Fits(w.free()) { // the list does not show the lack of capacity yet
			w.full.extend(now.Boot)
		}
	case RejectedStaleAttempt:
		a.task.lastAttempt += staleAttemptSkip
		s.drop(a)
	case RejectedUnhealthy:
		w.unhealthyUntil = now.Boot + unhealthyBackOff
		s.drop(a)
	}
}

// unhealthyBackOff is how long a worker that has reported itself unhealthy gets no tasks.
const unhealthyBackOff = time.Second

func (s *Scheduler) stopAnswered(now Time, a *attempt, outcome Outcome) {
	if outcome == Accepted && a.stopConfirmedAt == 0 {
		a.stopConfirmedAt = now.Boot
	}
}

func (s *Scheduler) paceAnswered(a *attempt, o Order, outcome Outcome) {
	a.paceSentAt = 0
	if outcome == Accepted {
		a.confirmedShare = o.Percent
	}
}

func (s *Scheduler) orphanStopAnswered(w *worker, o Order, outcome Outcome) {
	if orphaned, known := w.orphans[attemptKey{o.Task, o.Attempt}]; known && outcome == Unanswered {
		orphaned.stopSentAt = 0
	}
}

// confirm records that the worker runs the attempt.
func (s *Scheduler) confirm(now time.Duration, a *attempt) {
	if a.confirmedAt == 0 {
		a.confirmedAt = now
		a.percentChangedAt = now
		s.recordConfirmation(now, a)
		a.task.ran, a.task.displacement = true, displacement{}
	}
	j := a.task.step.job
	if j.state == workload.StatePending {
		j.state = workload.StateRunning
	}
}

// drop removes an attempt that has ended or never ran. Its task becomes pending unless it is done or has another
// attempt.
func (s *Scheduler) drop(a *attempt) {
	a.worker.remove(a)
	s.recordVacated(a)
	s.knownWorkersChanged = s.knownWorkersChanged || s.drained(a.worker)
	delete(s.stopping, a)
	s.interference.removeAttempt(a)
	t := a.task
	for i, other := range t.attempts {
		if other != a {
			continue
		}
		t.attempts = append(t.attempts[:i], t.attempts[i+1:]...)
		t.step.job.attempts--
		s.recordEnd(a)
		if t.pending() {
			t.step.pending++
			s.pendingSteps[t.step] = struct{}{}
		}
		break
	}
}
