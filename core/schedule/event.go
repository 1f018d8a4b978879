package schedule

import (
	"time"

	"fulmarcourse.example/core/workload"
)

// EventKind is the kind of a scheduling decision or state change.
type EventKind uint8

// Kinds of events.
const (
	EventTaskStarted EventKind = iota
	EventTaskEnded
	EventAttemptLost     // a report of the worker no longer lists the attempt
	EventAttemptExpired  // the task leases of its worker have certainly expired
	EventAttemptAdopted  // an attempt started by a former owner was taken over
	EventAttemptOrphaned // the worker runs an attempt that has to be stopped
	EventJobEnded
	EventJobPoolChanged // the job follows its queue to another pool, named in Reason
	EventWorkerDraining
	EventEndsAwaited      // a worker of a former owner has reported, but not listed all ends; Value is the number of those that it has listed
	EventWorkerRestarted  // everything that ran on the worker was lost
	EventFenceRaised      // calls to the worker have a higher fencing token from now on, which is Value
	EventWorkerReplaced   // another worker, named in Reason, has its address; everything that ran on it was lost
	EventAttemptCrashed   // the attempt ran on a worker whose process has ended; Value is for how long it was listed
	EventWorkerInBackOff  // the worker gets no tasks for some time because several jobs have failed on it
	EventFillersThrottled // the share of a filler was lowered because of a service
	EventTaskMoved        // an attempt is stopped so that its task runs elsewhere
	EventTaskPreempted    // an attempt is stopped for the displaced task For; Value is for how many seconds that one has waited
	EventTaskNominated    // the worker keeps its free capacity for a displaced task; Value is the expected wait in seconds
)

// Event is one decision or state change, for the log.
type Event struct {
	Kind    EventKind
	Worker  WorkerID
	Job     workload.JobID
	Task    workload.TaskID
	Attempt int64
	For     workload.TaskID // EventTaskPreempted only
	Reason  string          // how an attempt or job ended, or why an attempt was moved or throttled
	Value   float64         // quantity behind the decision; the unit depends on Kind: percent, seconds or a count
	Age     time.Duration   // EventTaskEnded: since the relay has received the report with the end
	Waited  time.Duration   // EventTaskStarted: for how long the task has waited, see Waiting; 0 if none has run and it is at most LongWait
	Stored  time.Duration   // EventTaskStarted: the part of the wait after the decision to start the task

	WaitReason WaitReason // EventTaskStarted after more than LongWait: the last known one, Suitable if none is known
}

// event returns an event about an attempt.
func (a *attempt) event(kind EventKind) Event {
	return Event{Kind: kind, Worker: a.worker.info.ID, Task: a.task.id(), Attempt: a.number}
}

func (s *Scheduler) emit(e Event) {
	if e.Job == "" {
		e.Job = e.Task.Job
	}
	s.events = append(s.events, e)
}

// TakeEvents returns the events since the last call and clears them.
func (s *Scheduler) TakeEvents() []Event {
	events := s.events
	s.events = nil
	return events
}
