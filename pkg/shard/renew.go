package shard

import (
	"context"
	"time"

	"fulmarcourse.example/core/reconcile"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/worker"
)

// renewAll starts one renewal per listed worker. Called by the loop goroutine without mu.
func (l *Loop) renewAll(ctx context.Context) {
	l.mu.Lock()
	var entries []*workerEntry
	for _, w := range l.table.workers {
		if w.listed && !w.renewing {
			w.renewing = true
			entries = append(entries, w)
		}
	}
	l.mu.Unlock()
	for _, w := range entries {
		l.calls.Go(func() { l.renew(ctx, w) })
	}
}

// renewOne renews the leases of one worker at once, unless a renewal is in progress.
func (l *Loop) renewOne(ctx context.Context, w *workerEntry) {
	l.mu.Lock()
	busy := w.renewing
	w.renewing = true
	l.mu.Unlock()
	if !busy {
		l.renew(ctx, w)
	}
}

// renew renews the task leases of one worker and applies its inventory. At most one renewal per worker is in progress.
func (l *Loop) renew(ctx context.Context, w *workerEntry) {
	defer l.endRenewal(w)
	callCtx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	req, sentAt, ok := l.renewRequest(w)
	if !ok {
		return
	}
	inventory, err := l.cfg.Workers.Renew(callCtx, w.host.Address, req)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		if w.unreachableSince.IsZero() {
			w.unreachableSince = sentAt
		}
		return
	}
	w.unreachableSince = time.Time{}
	w.inventoryAt = sentAt
	w.clock, w.clockAt = inventory.Clock, l.cfg.Clock()
	w.inventoryReceived = true
	l.applyInventory(w, inventory, sentAt)
}

func (l *Loop) endRenewal(w *workerEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.renewing = false
}

// renewRequest returns a renewal request and the time of sending, or false if this host does not own the shard. Leases
// are extended only while the worker answers and the task horizon has not passed. Otherwise the request only reads the
// inventory, so that the leases of an unreachable worker expire at a known time.
func (l *Loop) renewRequest(w *workerEntry) (worker.RenewRequest, time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, err := l.checkOwnership(); err != nil {
		return worker.RenewRequest{}, time.Time{}, false
	}
	now := l.cfg.Clock()
	req := worker.RenewRequest{Shard: l.shard, Epoch: l.epoch, Acknowledge: l.durableEnds(w)}
	if l.mayExtendLeases(w, now) {
		req.Lease, req.LeaseFrom = TaskLeaseTTL, w.clock
		w.latestLeaseStart = w.clockAt
	}
	return req, now, true
}

// mayExtendLeases reports whether a renewal may extend leases. Called with mu held.
func (l *Loop) mayExtendLeases(w *workerEntry, now time.Time) bool {
	if w.clock == 0 {
		return false
	}
	if !w.unreachableSince.IsZero() && now.Sub(w.unreachableSince) > unreachableAfter {
		return false
	}
	return l.beforeHorizon(now)
}

// beforeHorizon reports whether a lease granted now expires before other hosts may move the jobs of the shard.
func (l *Loop) beforeHorizon(now time.Time) bool {
	// Only this host's own contact with the store counts. Another host may move the jobs of a shard whose owner record
	// has been absent for TaskHorizon, and a relayed confirmation does not prove that the record exists.
	return now.Sub(l.cfg.Environment.LastStoreContact()) < l.cfg.TaskHorizon-TaskLeaseTTL
}

// durableEnds returns the ended attempts on the worker whose outcome is durable. Called with mu held.
func (l *Loop) durableEnds(w *workerEntry) []worker.AttemptRef {
	var refs []worker.AttemptRef
	for key := range w.ended {
		if j, rec := l.table.task(key.task); rec == nil || j.durable() {
			refs = append(refs, l.attemptRef(key.task, key.number))
		}
	}
	return refs
}

func (l *Loop) attemptRef(id structs.TaskID, attempt int) worker.AttemptRef {
	return worker.AttemptRef{Task: id, Attempt: attempt, Shard: l.shard, Epoch: l.epoch}
}

// applyInventory reconciles the table with a complete inventory that was requested at sentAt. Called with mu held.
func (l *Loop) applyInventory(w *workerEntry, inventory structs.Inventory, sentAt time.Time) {
	reported := make(map[attempt]bool, len(inventory.Tasks))
	clear(w.foreign)
	clear(w.ended)
	for _, wt := range inventory.Tasks {
		reported[attempt{wt.Task, wt.Attempt}] = true
		l.applyReport(w, wt, sentAt)
	}
	for id, c := range w.commitments {
		if !reported[attempt{id, c.attempt}] {
			l.applyAbsence(w, id, c, sentAt)
		}
	}
	l.planner.recordColocation(w, sentAt)
}

// applyReport applies one task of an inventory. Called with mu held.
func (l *Loop) applyReport(w *workerEntry, wt structs.WorkerTask, sentAt time.Time) {
	running := wt.State == structs.WorkerTaskRunning
	j, rec := l.table.task(wt.Task)
	if rec == nil {
		l.applyForeign(w, wt)
		return
	}
	changed, command := reconcile.ApplyReport(rec, w.host.ID, wt, l.traits(j))
	if changed {
		j.dirty = true
	}
	if !running {
		l.applyEnd(w, wt)
		if changed {
			l.planner.recordEnd(wt, sentAt)
			l.recordResult(w, wt, sentAt)
		}
		return
	}
	l.planner.observe(w.host.ID, wt, sentAt)
	if rec.State.Final() || rec.Worker != w.host.ID || rec.Attempt != wt.Attempt {
		l.addForeign(w, wt).stopAt = sentAt // an orphaned attempt: the task has another attempt or is final
		return
	}
	c := w.commitments[wt.Task]
	if c == nil || c.attempt != wt.Attempt {
		c = l.table.commit(w, wt.Task, commitment{attempt: wt.Attempt, kind: wt.Kind, reserved: wt.Reserved, since: sentAt})
	}
	c.report = wt
	c.unconfirmed = false
	if command == reconcile.CommandStop && c.stopAt.IsZero() {
		c.stopAt = sentAt
	}
}

// applyEnd frees the capacity of an ended attempt and records that it has to be acknowledged. Called with mu held.
func (l *Loop) applyEnd(w *workerEntry, wt structs.WorkerTask) {
	w.ended[attempt{wt.Task, wt.Attempt}] = struct{}{}
	if c := w.commitments[wt.Task]; c != nil && c.attempt == wt.Attempt {
		delete(w.commitments, wt.Task)
	}
}

// applyForeign applies a report of a task that is not homed in the shard. Called with mu held.
func (l *Loop) applyForeign(w *workerEntry, wt structs.WorkerTask) {
	if wt.State == structs.WorkerTaskRunning {
		l.addForeign(w, wt)
	} else if l.loaded {
		l.applyEnd(w, wt)
	}
}

func (l *Loop) addForeign(w *workerEntry, wt structs.WorkerTask) *commitment {
	c := &commitment{attempt: wt.Attempt, kind: wt.Kind, reserved: wt.Reserved, report: wt}
	w.foreign[attempt{wt.Task, wt.Attempt}] = c
	return c
}

// applyAbsence applies the absence of a committed attempt from a complete inventory. Called with mu held.
func (l *Loop) applyAbsence(w *workerEntry, id structs.TaskID, c *commitment, sentAt time.Time) {
	// A start command that is not confirmed may still take effect. An inventory that was requested before the start was
	// confirmed may not contain the attempt although it runs.
	if c.unconfirmed || !c.since.Before(sentAt) {
		return
	}
	if l.adoptIntent(w, id, c) {
		return
	}
	l.applyAttemptLost(id, w, reconcile.ReasonAttemptMissing)
}

// adoptIntent makes the loop repeat the start of an attempt whose intent a former owner stored, if the attempt is absent
// from the worker's inventory. It reports whether the start is repeated now or once the job is recovered. The former
// owner may have ended before it sent the command; otherwise the worker would run or report the attempt, and it rejects
// the former epoch from now on. The attempt keeps its number, of which a worker runs at most one. Tasks of idempotent
// kinds begin another attempt instead: their intents are not durable, so that a later attempt may run elsewhere. Called
// with mu held.
func (l *Loop) adoptIntent(w *workerEntry, id structs.TaskID, c *commitment) bool {
	j, rec := l.table.task(id)
	if rec == nil || rec.State != structs.TaskStarting || rec.Worker != w.host.ID || c.commanded() {
		return false
	}
	if kind, known := l.lookupKind(j.record.Spec.Kind); !known || kind.Idempotent || j.record.CancelRequested {
		return false
	}
	if l.recovered(j) {
		c.command = l.startCommand(j, id, c)
		// The former owner may have sent the command as well, so a refusal proves nothing about the attempt.
		c.unconfirmed, c.sentBefore = true, true
		l.cfg.Log.Event(eventlog.IntentAdopted).Str("task", id.String()).Str("worker", string(w.host.ID)).Int("attempt", c.attempt).Msg("")
	}
	return true
}
