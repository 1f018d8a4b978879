package jobs

import (
	"slices"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
)

// Errors of transitions. The record is then unchanged.
const (
	// ErrFinal means that the task is in a final state.
	ErrFinal = errors.ConstError("task is final")
	// ErrStaleAttempt means that the event belongs to another attempt than the latest one.
	ErrStaleAttempt = errors.ConstError("event of another attempt")
	// ErrWrongState means that the event cannot follow the present state.
	ErrWrongState = errors.ConstError("event does not fit the state of the task")
)

// Transitions of the tasks of one job. The owner of the home shard applies them to its own copy of the record and
// gives the result to Batch. They keep these invariants: a final state never changes; the attempt number rises
// with every start; a task is started only from pending, and becomes pending again only when its latest attempt
// has certainly ended; so every checkpoint is resumed by exactly one attempt.
type Transitions struct {
	Record *structs.JobRecord
	Kind   structs.Kind
}

// task returns a task that is not final.
func (t Transitions) task(index int) (*structs.TaskRecord, error) {
	if index < 0 || index >= len(t.Record.Tasks) {
		return nil, errors.NotFoundf("task %d of job %s", index, t.Record.ID)
	}
	task := &t.Record.Tasks[index]
	if task.State.Final() {
		return nil, errors.Annotatef(ErrFinal, "task %d of job %s is %s", index, t.Record.ID, task.State)
	}
	return task, nil
}

// active returns a task whose latest attempt is number and has not ended.
func (t Transitions) active(index, number int) (*structs.TaskRecord, error) {
	task, err := t.task(index)
	if err != nil {
		return nil, err
	}
	if task.Attempt != number {
		return nil, errors.Annotatef(ErrStaleAttempt, "attempt %d of task %d, latest is %d", number, index, task.Attempt)
	}
	if task.State == structs.TaskPending {
		return nil, errors.Annotatef(ErrWrongState, "attempt %d of task %d has ended", number, index)
	}
	return task, nil
}

// Start begins the next attempt on worker and returns its number. For kinds that are not idempotent the record has
// to be durable before the start command is sent.
func (t Transitions) Start(index int, worker structs.HostID) (int, error) {
	task, err := t.task(index)
	if err != nil {
		return 0, err
	}
	if task.State != structs.TaskPending || t.Record.CancelRequested {
		return 0, errors.Annotatef(ErrWrongState, "start of task %d, which is %s, cancelled: %v", index, task.State, t.Record.CancelRequested)
	}
	task.State, task.Worker, task.Reason = structs.TaskStarting, worker, ""
	task.Attempt++
	return task.Attempt, nil
}

// Running notes that the worker runs the attempt.
func (t Transitions) Running(index, number int) error {
	task, err := t.active(index, number)
	if err != nil {
		return err
	}
	if task.State == structs.TaskStarting {
		task.State = structs.TaskRunning
	}
	return nil
}

// Stopping notes that a checkpoint or stop command is about to be sent.
func (t Transitions) Stopping(index, number int) error {
	task, err := t.active(index, number)
	if err == nil {
		task.State = structs.TaskStopping
	}
	return err
}

// Done notes that the attempt has completed the task.
func (t Transitions) Done(index, number int) error { return t.end(index, number, structs.TaskDone, "") }

// Rejected notes that the attempt certainly did not run: the start command was not sent or was refused.
func (t Transitions) Rejected(index, number int, reason string) error {
	task, err := t.active(index, number)
	if err != nil {
		return err
	}
	if task.State != structs.TaskStarting {
		return errors.Annotatef(ErrWrongState, "task %d is %s", index, task.State)
	}
	return t.end(index, number, structs.TaskPending, reason)
}

// Failed notes that the attempt has failed on its worker. An idempotent task becomes pending, any other is failed.
func (t Transitions) Failed(index, number int, reason string) error {
	task, err := t.active(index, number)
	if err != nil {
		return err
	}
	if !slices.Contains(task.FailedOn, task.Worker) {
		task.FailedOn = append(task.FailedOn, task.Worker)
	}
	if t.Kind.Idempotent {
		return t.end(index, number, structs.TaskPending, reason)
	}
	return t.end(index, number, structs.TaskFailed, reason)
}

// Stopped notes that the attempt was stopped on command after it took checkpoint, which may be empty. The worker
// has confirmed its end. With a checkpoint the task resumes, whatever its kind; without one it is Lost.
func (t Transitions) Stopped(index, number int, checkpoint string) error {
	task, err := t.active(index, number)
	if err != nil {
		return err
	}
	task.Evictions++
	if checkpoint == "" {
		return t.Lost(index, number, "stopped")
	}
	task.Checkpoint = checkpoint
	return t.end(index, number, structs.TaskPending, "stopped")
}

// Lost notes that the attempt has certainly ended without a result, for example since its lease has expired. An
// idempotent task becomes pending and resumes from its latest checkpoint. Any other becomes unknown: it may have
// done its work, or more than its latest checkpoint shows.
func (t Transitions) Lost(index, number int, reason string) error {
	if t.Kind.Idempotent {
		return t.end(index, number, structs.TaskPending, reason)
	}
	return t.end(index, number, structs.TaskUnknown, reason)
}

// end ends an attempt. A cancelled job starts no further ones.
func (t Transitions) end(index, number int, state structs.TaskState, reason string) error {
	task, err := t.active(index, number)
	if err != nil {
		return err
	}
	if state == structs.TaskPending && t.Record.CancelRequested {
		state = structs.TaskCancelled
	}
	task.State, task.Reason = state, trimText(reason, MaxReasonBytes)
	return nil
}

// Park ends a task that waits and is not tried again.
func (t Transitions) Park(index int, reason string) error {
	return t.giveUp(index, structs.TaskParked, reason)
}

// Cancel ends a task that waits. One with an attempt under way is stopped first.
func (t Transitions) Cancel(index int) error {
	return t.giveUp(index, structs.TaskCancelled, "cancelled")
}

func (t Transitions) giveUp(index int, state structs.TaskState, reason string) error {
	task, err := t.task(index)
	if err != nil {
		return err
	}
	if task.State != structs.TaskPending {
		return errors.Annotatef(ErrWrongState, "task %d is %s", index, task.State)
	}
	task.State, task.Reason = state, trimText(reason, MaxReasonBytes)
	return nil
}
