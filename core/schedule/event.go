package schedule

import "fulmarcourse.example/core/workload"

// EventKind names a decision or a change of what the scheduler believes.
type EventKind uint8

// Kinds of events.
const (
	EventTaskStarted EventKind = iota
	EventTaskEnded
	EventAttemptLost     // the worker reported and no longer knows the attempt
	EventAttemptExpired  // its task lease has certainly expired
	EventAttemptAdopted  // a former owner started it
	EventAttemptOrphaned // runs although it should not; it is stopped
	EventJobEnded
	EventWorkerDraining
	EventWorkerRestarted
	EventWorkerQuarantined
	EventFillersPaced
	EventTaskMoved // an attempt is stopped to run elsewhere
)

// Event is one entry for the log.
type Event struct {
	Kind    EventKind
	Worker  WorkerID
	Job     workload.JobID
	Task    workload.TaskID
	Attempt int64
	Reason  string  // how an attempt or job ended, or why it was moved
	Value   float64 // the input that decided, by kind: percent, milliseconds or a count
}

// event returns an event about an attempt.
func (a *attempt) event(kind EventKind) Event {
	return Event{Kind: kind, Worker: a.worker.info.ID, Task: a.task.id(), Attempt: a.number}
}

func (s *Scheduler) note(e Event) {
	if e.Job == "" {
		e.Job = e.Task.Job
	}
	s.events = append(s.events, e)
}

// TakeEvents returns the events since the last call.
func (s *Scheduler) TakeEvents() []Event {
	events := s.events
	s.events = nil
	return events
}
