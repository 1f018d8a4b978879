// Package reconcile decides how the record of a task changes when evidence about its attempts arrives: a worker's
// report, a worker's complete inventory that lacks the task, or the certain expiry of the task's lease.
//
// Invariants kept by every function:
//   - Attempt never decreases, and a task becomes pending only when its latest attempt certainly no longer runs.
//   - A task of a kind that is not idempotent never becomes pending again after an attempt that may have begun.
//   - A final record never changes.
package reconcile

import (
	"slices"

	"fulmarcourse.example/core/structs"
)

// Reasons written into task records.
const (
	ReasonCancelled      = "cancelled by request"
	ReasonLeaseExpired   = "the worker's task lease expired"
	ReasonAttemptMissing = "the worker no longer knows the attempt"
	ReasonMayHaveRun     = "kind is not idempotent and the attempt may have run"
)

// Traits are the properties of a task on which the decisions depend.
type Traits struct {
	Idempotent bool
	Cancelled  bool // the job's cancellation was requested
}

// Command is the command that the shard owner must send to the worker after evidence was applied.
type Command int

// Commands that follow evidence.
const (
	CommandNone        Command = iota
	CommandStop                // stop the reported attempt
	CommandAcknowledge         // acknowledge the final report once the record is durable
)

// ApplyReport applies one task of a worker's inventory to rec. It returns whether rec changed and the command to send.
func ApplyReport(rec *structs.TaskRecord, worker structs.HostID, wt structs.WorkerTask, traits Traits) (bool, Command) {
	running := wt.State == structs.WorkerTaskRunning
	if wt.Attempt < rec.Attempt || rec.State.Final() || onOtherWorker(rec, worker, wt) {
		if running {
			return false, CommandStop
		}
		return false, CommandAcknowledge
	}
	if !running && rec.State == structs.TaskPending && wt.Attempt == rec.Attempt {
		// The end of this attempt is already recorded; only the acknowledgement was lost.
		return false, CommandAcknowledge
	}
	before := *rec
	rec.Attempt = wt.Attempt
	rec.Worker = worker
	if running {
		return applyRunning(rec, before, traits)
	}
	applyEnd(rec, worker, wt, traits)
	return true, CommandAcknowledge
}

// onOtherWorker reports whether rec assigns the same attempt to another worker.
func onOtherWorker(rec *structs.TaskRecord, worker structs.HostID, wt structs.WorkerTask) bool {
	return wt.Attempt == rec.Attempt && rec.Worker != "" && rec.Worker != worker
}

func applyRunning(rec *structs.TaskRecord, before structs.TaskRecord, traits Traits) (bool, Command) {
	if traits.Cancelled {
		rec.State = structs.TaskStopping
		return changed(before, *rec), CommandStop
	}
	if before.State == structs.TaskStopping {
		rec.State = structs.TaskStopping
		return changed(before, *rec), CommandNone
	}
	rec.State = structs.TaskRunning
	return changed(before, *rec), CommandNone
}

func changed(a, b structs.TaskRecord) bool {
	return a.State != b.State || a.Attempt != b.Attempt || a.Worker != b.Worker
}

// applyEnd records the end of the latest attempt as its worker reported it.
func applyEnd(rec *structs.TaskRecord, worker structs.HostID, wt structs.WorkerTask, traits Traits) {
	if wt.Checkpoint != "" {
		rec.Checkpoint = wt.Checkpoint
	}
	switch wt.State {
	case structs.WorkerTaskDone:
		setState(rec, structs.TaskDone, "")
	case structs.WorkerTaskFailed:
		applyFailure(rec, worker, wt.Reason, traits)
	case structs.WorkerTaskStopped:
		rec.Evictions++
		restart(rec, traits, ReasonAttemptMissing)
	case structs.WorkerTaskExpired:
		restart(rec, traits, ReasonLeaseExpired)
	}
}

func applyFailure(rec *structs.TaskRecord, worker structs.HostID, reason string, traits Traits) {
	if !slices.Contains(rec.FailedOn, worker) {
		rec.FailedOn = append(rec.FailedOn, worker)
	}
	switch {
	case traits.Cancelled:
		setState(rec, structs.TaskCancelled, ReasonCancelled)
	case !traits.Idempotent:
		setState(rec, structs.TaskFailed, reason)
	default:
		setState(rec, structs.TaskPending, reason)
	}
}

// restart makes the task pending after an attempt that certainly no longer runs and did not finish. If the task was
// cancelled or its kind is not idempotent, it is ended instead.
func restart(rec *structs.TaskRecord, traits Traits, reason string) {
	switch {
	case traits.Cancelled:
		setState(rec, structs.TaskCancelled, ReasonCancelled)
	case !traits.Idempotent:
		setState(rec, structs.TaskUnknown, ReasonMayHaveRun+"; "+reason)
	default:
		setState(rec, structs.TaskPending, reason)
	}
}

func setState(rec *structs.TaskRecord, state structs.TaskState, reason string) {
	rec.State = state
	rec.Reason = reason
}

// ApplyAttemptLost records that the latest attempt of rec certainly runs on no worker and that no end was reported: its
// worker's inventory lacks it after a confirmed stop, or its lease has certainly expired. begun is false when the
// attempt certainly never began, so that a task of a kind that is not idempotent may start again. It returns whether
// rec changed.
func ApplyAttemptLost(rec *structs.TaskRecord, traits Traits, begun bool, reason string) bool {
	switch rec.State {
	case structs.TaskStarting, structs.TaskRunning, structs.TaskStopping:
	default:
		return false
	}
	if !begun {
		traits.Idempotent = true
	}
	restart(rec, traits, reason)
	return true
}

// Cancel applies a cancellation request to a pending task and returns whether rec changed. A task with an attempt in
// progress is not changed; its attempt must be stopped first.
func Cancel(rec *structs.TaskRecord) bool {
	if rec.State != structs.TaskPending {
		return false
	}
	setState(rec, structs.TaskCancelled, ReasonCancelled)
	return true
}

// Park ends a pending task that is not to be tried again. It returns whether rec changed.
func Park(rec *structs.TaskRecord, reason string) bool {
	if rec.State != structs.TaskPending {
		return false
	}
	setState(rec, structs.TaskParked, reason)
	return true
}

// BeginStart records the intent to start the next attempt of a pending task on worker. It returns false if the task is
// not pending.
func BeginStart(rec *structs.TaskRecord, worker structs.HostID) bool {
	if rec.State != structs.TaskPending {
		return false
	}
	rec.State = structs.TaskStarting
	rec.Attempt++
	rec.Worker = worker
	rec.Reason = ""
	return true
}

// UndoStart makes the task pending again when the start command was certainly not executed. It returns whether rec
// changed.
func UndoStart(rec *structs.TaskRecord, reason string) bool {
	if rec.State != structs.TaskStarting {
		return false
	}
	setState(rec, structs.TaskPending, reason)
	return true
}
