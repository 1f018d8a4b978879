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
)

// repeatCommands sends the stop commands that are due and repeats start commands whose result is not certain.
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

// repeatCommand sends the command of one attempt if it is due. Called with mu held; the call runs in the pool.
func (l *Loop) repeatCommand(ctx context.Context, w *workerEntry, id structs.TaskID, c *commitment, now time.Time) {
	if c.sending {
		return
	}
	stopDue := !c.stopAt.IsZero() && !now.Before(c.stopAt)
	startDue := c.settling && c.stopAt.IsZero() && now.Sub(c.since) > commandRepeat
	switch {
	case startDue:
		c.sending = l.goCall(ctx, commandTimeout, func(ctx context.Context) { l.sendStart(ctx, w, id, c) })
	case stopDue:
		c.stopAt = now.Add(commandRepeat)
		c.sending = l.goCall(ctx, 2*commandTimeout, func(ctx context.Context) { l.sendStop(ctx, w, id, c) })
	}
}

// sendStop checkpoints an attempt if its kind allows it, then stops it. The result arrives with the next inventory,
// so an error needs no handling here: the command is repeated until the worker reports the end.
func (l *Loop) sendStop(ctx context.Context, w *workerEntry, id structs.TaskID, c *commitment) {
	defer l.clearSending(c)
	if _, err := l.valid(); err != nil {
		return
	}
	ref := l.ref(id, c.attempt)
	kind, _ := l.kind(c.kind)
	if kind.Checkpointable {
		if _, err := l.cfg.Workers.Checkpoint(ctx, w.host.Address, ref); err != nil {
			l.cfg.Log.Event(eventlog.CheckpointFailed).Str("task", id.String()).Str("worker", string(w.host.ID)).Err(err).Msg("")
			if !l.stopWithoutCheckpoint(id, c) {
				return
			}
		}
	}
	if _, err := l.valid(); err != nil {
		return
	}
	if err := l.cfg.Workers.Stop(ctx, w.host.Address, ref); err != nil {
		l.cfg.Log.Event(eventlog.StopFailed).Str("task", id.String()).Str("worker", string(w.host.ID)).Err(err).Msg("")
		return
	}
	l.stopConfirmed(c)
	// The inventory shows the end of the attempt; the capacity may be wanted at once.
	l.renewOne(ctx, w)
}

// stopConfirmed notes that the worker will not execute a start command of the attempt any more, so that an inventory
// without the attempt settles it.
func (l *Loop) stopConfirmed(c *commitment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.settling = false
	c.since = l.cfg.Clock()
}

// stopWithoutCheckpoint reports whether an attempt may be stopped although it took no checkpoint: its job was cancelled,
// or its start was never confirmed, so that there may be nothing to save.
func (l *Loop) stopWithoutCheckpoint(id structs.TaskID, c *commitment) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	j, _ := l.table.task(id)
	return j == nil || j.record.CancelRequested || c.settling
}

func (l *Loop) clearSending(c *commitment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.sending = false
}

// sendStart sends a start command and applies its result. The permit, the ownership and the worker's state are checked
// immediately before sending, so that neither a removed data centre nor a lost shard nor a leaving worker gets a start
// after a pause of this process.
func (l *Loop) sendStart(ctx context.Context, w *workerEntry, id structs.TaskID, c *commitment) {
	address, command, err := l.prepareStart(w, c)
	if err == nil {
		// The command may wait for a connection, and this process may be paused meanwhile.
		err = l.cfg.Workers.Start(worker.BeforeSend(ctx, l.checkStart), address, command)
	} else {
		err = notSent{err}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.sending = false
	l.applyStart(w, id, c, err)
}

// prepareStart returns the address of the worker and the start command with a lease from the latest reading of the
// worker's clock, or the reason why nothing may be sent.
func (l *Loop) prepareStart(w *workerEntry, c *commitment) (string, structs.StartCommand, error) {
	if err := l.checkStart(); err != nil {
		return "", structs.StartCommand{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.host.State == structs.HostLeaving {
		return "", structs.StartCommand{}, errWorkerLeaving
	}
	w.leasedFrom = w.clockAt
	command := c.command
	command.LeaseFrom = w.clock
	return w.host.Address, command, nil
}

// notSent wraps the reason why a command was not sent.
type notSent struct{ error }

// checkStart returns nil if a task may start in the shard now.
func (l *Loop) checkStart() error {
	if err := l.cfg.Permits.MayStart(); err != nil {
		return errors.Annotate(err, "no permit")
	}
	if !l.beforeHorizon(l.cfg.Clock()) {
		return errBeyondHorizon
	}
	_, err := l.valid()
	return err
}

// errBeyondHorizon means that the jobs of the shard may have moved while the store did not confirm the ownership.
const errBeyondHorizon = errors.ConstError("the store has not confirmed the ownership for too long")

// certainlyNotRun reports whether a start command that ended with err was certainly not executed. It says nothing about
// earlier sendings of the same command.
func certainlyNotRun(err error) bool {
	var unsent notSent
	return errors.As(err, &unsent) || errors.Is(err, worker.ErrRefused) || errors.Is(err, worker.ErrStaleEpoch)
}

// applyStart takes over the result of a start command. Called with mu held.
func (l *Loop) applyStart(w *workerEntry, id structs.TaskID, c *commitment, err error) {
	j, rec := l.table.task(id)
	if rec == nil || w.commitments[id] != c || rec.State != structs.TaskStarting {
		return // an inventory or a lease expiry settled the attempt meanwhile
	}
	switch {
	case err == nil:
		c.settling = false
		// An inventory requested before the answer may have been taken before the command arrived.
		c.since = l.cfg.Clock()
		rec.State = structs.TaskRunning
	case certainlyNotRun(err) && c.sentOnce:
		// An earlier sending of the same command may have arrived or may still arrive. A confirmed stop settles it.
		if c.stopAt.IsZero() {
			c.stopAt = l.cfg.Clock()
		}
		return
	case certainlyNotRun(err):
		delete(w.commitments, id)
		reconcile.UndoStart(rec, err.Error())
		l.planner.noteRefusal(w.host.ID, l.cfg.Clock())
	default:
		c.sentOnce = true
		c.settling = true
		c.since = l.cfg.Clock()
		return
	}
	j.dirty = true
}
