package shard

import (
	"context"
	"slices"
	"time"

	"fulmarcourse.example/core/reconcile"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/jobs"
)

// startRefresh reads job records in the background unless a read is in progress, so that an unresponsive store does
// not delay renewals and starts. Called by the loop goroutine without mu.
func (l *Loop) startRefresh(ctx context.Context) {
	if !l.refreshing.CompareAndSwap(false, true) {
		return
	}
	l.calls.Go(func() {
		defer l.refreshing.Store(false)
		l.refresh(ctx)
	})
}

// refresh reads job records from the store: first all records homed here, afterwards the changed ones. While the store
// is unavailable, the loop continues with the records it has.
func (l *Loop) refresh(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if !l.isLoaded() {
		l.load(callCtx)
		return
	}
	l.mu.Lock()
	since := l.revision
	l.mu.Unlock()
	changes, err := l.cfg.Records.Changes(callCtx, since)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, stored := range changes.Jobs {
		// A record that appears after the load was created or moved here after this host acquired the shard.
		l.merge(stored, true)
	}
	l.revision = changes.Revision
}

func (l *Loop) load(ctx context.Context) {
	loaded, err := l.cfg.Records.LoadHome(ctx, l.shard)
	if err != nil {
		l.cfg.Log.Event(eventlog.JobsNotLoaded).Str("shard", l.shard.String()).Err(err).Msg("")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, stored := range loaded.Jobs {
		l.merge(stored, false)
	}
	l.revision = loaded.Revision
	l.loaded = true
	l.justLoaded.Store(true)
	// Inventories that arrived before the records were read have not been reconciled with them.
	for _, w := range l.table.workers {
		w.inventoryReceived = false
	}
	l.cfg.Log.Event(eventlog.JobsLoaded).Str("shard", l.shard.String()).Int("jobs", len(loaded.Jobs)).Msg("")
}

// merge applies a record read from the store to the table. Called with mu held.
func (l *Loop) merge(stored jobs.Stored, arrivedAfterAcquire bool) {
	id := stored.Record.ID
	switch l.batch.Observe(stored) {
	case jobs.ObservedNew:
		l.adopt(stored.Record, arrivedAfterAcquire)
	case jobs.ObservedCancelled:
		l.markCancelled(id)
	case jobs.ObservedMoved:
		delete(l.table.jobs, id)
	}
}

// markCancelled marks a job as cancelled after another host has stored the cancellation. Called with mu held.
func (l *Loop) markCancelled(id structs.JobID) {
	if j, ok := l.table.jobs[id]; ok {
		j.record.CancelRequested = true
	}
}

// onCancel applies a new cancellation that the batch found when writing. The batch calls it without locks.
func (l *Loop) onCancel(id structs.JobID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.markCancelled(id)
}

// adopt adds a job to the table and reserves capacity for its attempts that may be running. Called with mu held.
func (l *Loop) adopt(record structs.JobRecord, arrivedAfterAcquire bool) {
	j := &job{record: record, adoptedAt: l.cfg.Clock(), arrivedAfterAcquire: arrivedAfterAcquire}
	l.table.jobs[record.ID] = j
	for i := range j.record.Tasks {
		rec := &j.record.Tasks[i]
		if len(rec.FailedOn) > 0 && !rec.State.Final() {
			l.tracker.Restore(structs.TaskID{Job: record.ID, Index: i}, rec.FailedOn, j.adoptedAt)
		}
		if !rec.State.InProgress() {
			continue
		}
		w := l.table.worker(rec.Worker, l.acquiredAt)
		l.table.commit(w, structs.TaskID{Job: record.ID, Index: i}, commitment{
			attempt:  rec.Attempt,
			kind:     record.Spec.Kind,
			reserved: l.declared(j),
			since:    l.acquiredAt,
		})
	}
}

// declared returns the declared resources of each task of a job. Called with mu held.
func (l *Loop) declared(j *job) structs.Resources {
	if document, _, ok := l.cfg.Environment.Document(); ok {
		return jobs.DeclaredSize(document, j.record.Spec)
	}
	return j.record.Spec.Declared
}

// save queues the changed records for writing with low priority, so that they share transactions. Called by the loop
// goroutine.
func (l *Loop) save() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, j := range l.table.jobs {
		if j.writeFailed() {
			j.dirty = true
		}
		if j.record.Home != l.shard && !j.dirty && j.durable() {
			delete(l.table.jobs, id)
			continue
		}
		if j.dirty {
			if j.record.Final() {
				l.tracker.RemoveJob(id)
			}
			j.dirty = false
			j.ticket = l.batch.PutLazy(j.record)
		}
	}
}

// saveNow queues one record for prompt writing and returns its ticket. Called with mu held.
func (l *Loop) saveNow(j *job) *jobs.Ticket {
	j.dirty = false
	j.ticket = l.batch.Put(j.record)
	return j.ticket
}

// durable reports whether the store holds the current state of the record.
func (j *job) durable() bool {
	if j.dirty {
		return false
	}
	if j.ticket == nil {
		return true
	}
	select {
	case <-j.ticket.Done():
		return j.ticket.Err() == nil
	default:
		return false
	}
}

// writeFailed reports whether the latest write of the record ended with an error.
func (j *job) writeFailed() bool {
	if j.ticket == nil {
		return false
	}
	select {
	case <-j.ticket.Done():
		return j.ticket.Err() != nil
	default:
		return false
	}
}

// applyCancellations cancels the pending tasks and stops the running tasks of cancelled jobs.
func (l *Loop) applyCancellations() {
	now := l.cfg.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, j := range l.table.jobs {
		if !j.record.CancelRequested {
			continue
		}
		for i := range j.record.Tasks {
			rec := &j.record.Tasks[i]
			if reconcile.Cancel(rec) {
				j.dirty = true
				continue
			}
			l.stopTask(structs.TaskID{Job: j.record.ID, Index: i}, j, rec, now)
		}
	}
}

// stopTask schedules the stop of the running attempt of a task, if there is one, for the time due. Called with mu
// held.
func (l *Loop) stopTask(id structs.TaskID, j *job, rec *structs.TaskRecord, due time.Time) {
	if rec.State != structs.TaskRunning && rec.State != structs.TaskStopping {
		return
	}
	w, ok := l.table.workers[rec.Worker]
	if !ok {
		return
	}
	c := w.commitments[id]
	if c == nil || !c.stopAt.IsZero() {
		return
	}
	c.stopAt = due
	if rec.State != structs.TaskStopping {
		rec.State = structs.TaskStopping
		j.dirty = true
	}
}

// idle reports whether a job has pending tasks and none with an attempt in progress.
func idle(record *structs.JobRecord) bool {
	if slices.ContainsFunc(record.Tasks, func(t structs.TaskRecord) bool { return t.State.InProgress() }) {
		return false
	}
	return slices.ContainsFunc(record.Tasks, func(t structs.TaskRecord) bool { return t.State == structs.TaskPending })
}
