package shard

import (
	"context"
	"time"

	"fulmarcourse.example/core/reconcile"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/worker"
	"github.com/juju/errors"
)

const (
	errEpochChanged  = errors.ConstError("shard is owned under another epoch")
	errWorkerLeaving = errors.ConstError("the worker is leaving")
	errJobCancelled  = errors.ConstError("the job was cancelled")
)

// repeatCommands sends the stop commands that are due and repeats start commands whose outcome is unknown.
func (l *Loop) repeatCommands(ctx context.Context) {
	now := l.cfg.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.table.workers {
		if !w.listed {
			continue
		}
		for id, c := range w.commitments {
			l.repeatCommand(ctx, w, id, c, now)
		}
		for key, c := range w.foreign {
			l.repeatCommand(ctx, w, key.task, c, now)
		}
	}
}

// repeatCommand sends the command of one attempt if it is due. Called with mu held; the call itself runs without it.
func (l *Loop) repeatCommand(ctx context.Context, w *workerEntry, id structs.TaskID, c *commitment, now time.Time) {
	if c.sending {
		return
	}
	stopDue := !c.stopAt.IsZero() && !now.Before(c.stopAt)
	startDue := c.unconfirmed && c.stopAt.IsZero() && now.Sub(c.since) > commandRepeatInterval
	switch {
	case startDue:
		c.sending = l.goCall(ctx, commandTimeout, func(ctx context.Context) { l.sendStart(ctx, w, id, c) })
	case stopDue:
		c.sending = l.goCall(ctx, 2*commandTimeout, func(ctx context.Context) { l.sendStop(ctx, w, id, c) })
		if c.sending {
			c.stopAt = now.Add(commandRepeatInterval)
		}
	}
}

// sendStop takes a checkpoint of an attempt if its kind is checkpointable, then stops the attempt. Errors are only
// logged: the command is repeated until an inventory of the worker shows the end of the attempt.
func (l *Loop) sendStop(ctx context.Context, w *workerEntry, id structs.TaskID, c *commitment) {
	defer l.clearSending(c)
	if _, err := l.checkOwnership(); err != nil {
		return
	}
	ref := l.attemptRef(id, c.attempt)
	kind, _ := l.lookupKind(c.kind)
	if kind.Checkpointable {
		if _, err := l.cfg.Workers.Checkpoint(ctx, w.host.Address, ref); err != nil {
			l.cfg.Log.Event(eventlog.CheckpointFailed).Str("task", id.String()).Str("worker", string(w.host.ID)).Err(err).Msg("")
			if !l.stopWithoutCheckpoint(id, c) {
				return
			}
		}
	}
	if _, err := l.checkOwnership(); err != nil {
		return
	}
	if err := l.cfg.Workers.Stop(ctx, w.host.Address, ref); err != nil {
		l.cfg.Log.Event(eventlog.StopFailed).Str("task", id.String()).Str("worker", string(w.host.ID)).Err(err).Msg("")
		return
	}
	l.recordStopConfirmed(c)
	// Read the inventory now, so that the capacity of the ended attempt is free without waiting for the next renewal.
	l.renewOne(ctx, w)
}

// recordStopConfirmed records that the worker will no longer execute a start command of the attempt, so that an
// inventory without the attempt proves that it does not run.
func (l *Loop) recordStopConfirmed(c *commitment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.unconfirmed = false
	c.since = l.cfg.Clock()
}

// stopWithoutCheckpoint reports whether an attempt may be stopped although its checkpoint failed: its job was
// cancelled or is no longer homed here, or its start was never confirmed, so that there may be no progress to save.
func (l *Loop) stopWithoutCheckpoint(id structs.TaskID, c *commitment) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	j, _ := l.table.task(id)
	return j == nil || j.record.CancelRequested || c.unconfirmed
}

func (l *Loop) clearSending(c *commitment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.sending = false
}

// sendStart sends a start command and applies its result. The permit, the ownership and the worker's state are checked
// immediately before sending, so that after a pause of this process no task starts in a data centre out of service, in
// a shard that this host has lost, or on a leaving worker. No task of a cancelled job is started either.
func (l *Loop) sendStart(ctx context.Context, w *workerEntry, id structs.TaskID, c *commitment) {
	address, command, err := l.prepareStart(w, id, c)
	if err == nil {
		// checkStart runs again when the command is sent, because the command may have waited for a connection, or
		// this process may have been paused.
		err = l.cfg.Workers.Start(worker.BeforeSend(ctx, l.checkStart), address, command)
	} else {
		err = notSentError{err}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.sending = false
	l.applyStart(w, id, c, err)
}

// prepareStart returns the address of the worker and the start command, whose lease starts at the latest reading of
// the worker's clock. It returns an error if the command must not be sent.
func (l *Loop) prepareStart(w *workerEntry, id structs.TaskID, c *commitment) (string, structs.StartCommand, error) {
	if err := l.checkStart(); err != nil {
		return "", structs.StartCommand{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.host.State == structs.HostLeaving {
		return "", structs.StartCommand{}, errWorkerLeaving
	}
	if j, _ := l.table.task(id); j != nil && j.record.CancelRequested {
		return "", structs.StartCommand{}, errJobCancelled
	}
	w.latestLeaseStart = w.clockAt
	command := c.command
	command.LeaseFrom = w.clock
	return w.host.Address, command, nil
}

// notSentError wraps the reason why a command was not sent.
type notSentError struct{ error }

// checkStart returns nil if a task may start in the shard now, and the reason otherwise.
func (l *Loop) checkStart() error {
	if err := l.cfg.Permits.MayStart(); err != nil {
		return errors.Annotate(err, "no permit")
	}
	if !l.beforeHorizon(l.cfg.Clock()) {
		return errBeyondHorizon
	}
	_, err := l.checkOwnership()
	return err
}

// errBeyondHorizon means that the store has not confirmed the ownership for so long that another host may have moved
// the jobs of the shard.
const errBeyondHorizon = errors.ConstError("the store has not confirmed the ownership for too long")

// certainlyNotRun reports whether err proves that this sending of a start command was not executed. An earlier sending
// of the same command may still have been.
func certainlyNotRun(err error) bool {
	var unsent notSentError
	return errors.As(err, &unsent) || errors.Is(err, worker.ErrRefused) || errors.Is(err, worker.ErrStaleEpoch)
}

// applyStart applies the result of a start command to the task. Called with mu held.
func (l *Loop) applyStart(w *workerEntry, id structs.TaskID, c *commitment, err error) {
	j, rec := l.table.task(id)
	if rec == nil || w.commitments[id] != c || rec.State != structs.TaskStarting {
		return // an inventory or a lease expiry has determined the attempt's state meanwhile
	}
	switch {
	case err == nil:
		c.unconfirmed = false
		// An inventory that was requested before the response may have been taken before the command arrived.
		c.since = l.cfg.Clock()
		rec.State = structs.TaskRunning
	case certainlyNotRun(err) && c.sentBefore:
		// An earlier sending of the command may have arrived or may still arrive. Only a confirmed stop rules it out.
		if c.stopAt.IsZero() {
			c.stopAt = l.cfg.Clock()
		}
		return
	case certainlyNotRun(err):
		delete(w.commitments, id)
		reconcile.UndoStart(rec, err.Error())
		if !j.record.CancelRequested { // otherwise the start says nothing about the worker
			l.planner.recordRefusal(w.host.ID, l.cfg.Clock())
		}
	default:
		c.sentBefore = true
		c.unconfirmed = true
		c.since = l.cfg.Clock()
		return
	}
	j.dirty = true
}
