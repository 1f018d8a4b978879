package dispatch

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/core/workload"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/pause"
	"fulmarcourse.example/fulmarcourse/pkg/relay"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
)

const (
	// saveBatchDelay batches the ends of several tasks into one write.
	saveBatchDelay = 25 * time.Millisecond
	// saveTimeout bounds one write, and the read that confirms the term. It is long enough for a slow store.
	saveTimeout = 1500 * time.Millisecond
	// concurrentTxns is the maximum number of transactions of a batch that are in progress at once. Ends are acknowledged and
	// services started when all are done, so their number must not multiply the response time of the store.
	concurrentTxns = 4
	// deleteInterval is the time between two deletions of ended jobs and early cancellations whose retention has expired.
	deleteInterval = 10 * time.Second
	// deletionsPerTxn keeps a transaction with up to three conditions and deletions per job within the store's entry limit.
	deletionsPerTxn = (kv.MaxTxnEntries - 1) / 3
)

// batch is a snapshot of the state that has to be stored.
type batch struct {
	records    []schedule.Record
	knownParts []int                       // numbers of the parts of the known workers to be stored
	ends       []relay.StoredEnd           // task ends to acknowledge once the rest of the batch is stored
	sessions   map[schedule.WorkerID]int64 // in which they were listed, see endNumbers
}

func (b batch) empty() bool { return len(b.records) == 0 && len(b.knownParts) == 0 && len(b.ends) == 0 }

// saveLoop stores progress and acknowledges task ends to the workers once the progress that includes them is stored.
func (o *Owner) saveLoop(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-o.saveWake:
		}
		pause.For(ctx, saveBatchDelay)
		drain(o.saveWake)
		err := o.save(ctx)
		if err != nil && ctx.Err() == nil {
			if !failing {
				o.cfg.Log.Event(eventlog.ProgressNotStored).Err(err).Msg("")
			}
			failing = true
			pause.For(ctx, storeRetryDelay)
			o.wake(o.saveWake)
			continue
		}
		if failing {
			o.cfg.Log.Event(eventlog.ProgressStored).Msg("")
		}
		failing = false
	}
}

// takeBatch returns the state that has changed since it was last stored.
func (o *Owner) takeBatch() batch {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := batch{records: o.scheduler.Changed(), sessions: map[schedule.WorkerID]int64{}}
	if infos, changed := o.scheduler.KnownWorkers(); changed {
		o.scheduler.KnownWorkersStored(o.known.replace(infos))
	}
	b.knownParts = o.known.due(bootclock.Uptime())
	for id, ends := range o.ends {
		if ends.acknowledged < ends.applied {
			b.ends = append(b.ends, relay.StoredEnd{Worker: id, Incarnation: ends.incarnation, Number: ends.applied})
			b.sessions[id] = ends.session
		}
	}
	return b
}

// save stores everything that has changed.
func (o *Owner) save(ctx context.Context) error {
	b := o.takeBatch()
	if b.empty() {
		return nil
	}
	return errors.Trace(o.saveBatch(ctx, b))
}

// saveBatch stores the progress and acknowledges the ends that it includes, and then stores the known workers: a worker is dropped
// from them when its last task has ended, and a later owner must know of that end or wait for the worker's report.
func (o *Owner) saveBatch(ctx context.Context, b batch) error {
	if err := o.saveAllRecords(ctx, b.records); err != nil {
		return errors.Trace(err)
	}
	o.acknowledgeBatch(b)
	return errors.Trace(o.saveKnownWorkers(ctx, b.knownParts))
}

// acknowledgeBatch queues the acknowledgements of the ends of a batch whose records are stored.
func (o *Owner) acknowledgeBatch(b batch) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, stored := range b.ends {
		o.acknowledgeEnds(stored, b.sessions[stored.Worker])
	}
}

// acknowledgeEnds queues the acknowledgement of stored ends for the worker's relay, unless that lists the ends of another session by now.
// Ends of jobs that are set aside are acknowledged only if the worker's report leaves out others, which it would never list: a later owner
// may start the tasks of these jobs again, but nobody would learn of the ends that are left out. o.mu is held.
func (o *Owner) acknowledgeEnds(stored relay.StoredEnd, session int64) {
	ends := o.ends[stored.Worker]
	l, assigned := o.linkOf[stored.Worker]
	if !assigned || ends.session != session {
		return
	}
	if !ends.leavesOut {
		stored.Number = o.lastStoredEnd(ends.unstored, stored.Number)
	}
	if stored.Number <= ends.acknowledged {
		return
	}
	ends.acknowledged = stored.Number
	ends.unstored = endsAfter(ends.unstored, stored.Number)
	o.ends[stored.Worker] = ends
	l.stored[stored.Worker] = stored
	o.wake(l.wake)
}

// recordsOfTxn returns how many of the records fit into one transaction, which also has a condition on the term.
func recordsOfTxn(records []schedule.Record) int {
	entries := 1
	for n, r := range records {
		entries += 2 // a condition and a write
		if excludesCancellation(r) {
			entries++
		}
		if entries > kv.MaxTxnEntries {
			return n
		}
	}
	return len(records)
}

// excludesCancellation reports whether a record may be written only if the job's cancellation is not stored. A stored
// cancellation without a stored final state is shown to callers as cancelled, so no other final state may follow it.
func excludesCancellation(r schedule.Record) bool {
	return r.Progress.State.Final() && r.Progress.State != workload.StateCancelled
}

// saveAllRecords stores progress records in as many transactions as they need, and returns the first error. Once one has failed no
// further ones begin, unless it was in conflict, which concerns its own records only. A record that the store refuses for good is
// no error: it is set aside.
func (o *Owner) saveAllRecords(ctx context.Context, records []schedule.Record) error {
	records = o.withoutSetAside(bootclock.Uptime(), records)
	var group errgroup.Group
	group.SetLimit(concurrentTxns)
	var failed atomic.Bool
	alone := o.refusedBefore(records)
	for len(records) > 0 && !failed.Load() {
		n := recordsOfTxn(records)
		if alone > 0 {
			n, alone = 1, alone-1
		}
		part := records[:n]
		records = records[n:]
		group.Go(func() error {
			err := o.saveUnrefused(ctx, part)
			var conflict *kv.Conflict
			if err != nil && !errors.As(err, &conflict) {
				failed.Store(true)
			}
			return err
		})
	}
	return group.Wait()
}

// saveRecords stores progress records in one transaction, with the value that encode returns for each. Each write is conditional
// on the record's last known revision, so that a write which the store applies late cannot overwrite a newer one.
func (o *Owner) saveRecords(ctx context.Context, records []schedule.Record, encode func(workload.Progress) ([]byte, error)) error {
	txn := kv.Txn{If: []kv.Condition{o.ownership.Condition()}}
	for _, r := range records {
		data, err := encode(r.Progress)
		if err != nil {
			return errors.Trace(err)
		}
		txn.Put = append(txn.Put, kv.Put{Key: statekeys.Progress(o.cfg.Partition, r.Job), Value: data})
	}
	o.mu.Lock()
	for n, r := range records {
		txn.If = append(txn.If, kv.Condition{Key: txn.Put[n].Key, Revision: o.revisions[r.Job]})
		if excludesCancellation(r) {
			txn.If = append(txn.If, kv.Condition{Key: statekeys.Cancel(o.cfg.Partition, r.Job)})
		}
	}
	o.mu.Unlock()
	revision, err := o.commit(ctx, txn, func(c *kv.Conflict) {
		for _, r := range records {
			o.resolveRecord(r, c)
		}
	})
	if err != nil {
		return errors.Trace(err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range records {
		o.revisions[r.Job] = revision
		delete(o.refusedRecords, r.Job) // saveReduced adds it again
		o.scheduler.MarkStored(bootclock.Now(), r)
	}
	o.queueOrders(bootclock.Now())
	return nil
}

// resolveRecord brings the owner up to date after a conflict. Either an earlier write of this owner whose response was
// lost has taken effect, or the job's cancellation was stored before its final state. o.mu is held.
func (o *Owner) resolveRecord(r schedule.Record, c *kv.Conflict) {
	key := statekeys.Progress(o.cfg.Partition, r.Job)
	stored, found := c.Item(key)
	o.revisions[r.Job] = stored.Revision
	if found && o.storedAsFinal(stored) {
		o.scheduler.MarkStored(bootclock.Now(), r)
		return
	}
	if c.Revision(statekeys.Cancel(o.cfg.Partition, r.Job)) != 0 {
		o.scheduler.CancelUnstored(bootclock.Now(), r.Job)
	}
}

// storedAsFinal reports whether a progress record in the store has a final state.
func (o *Owner) storedAsFinal(item kv.Item) bool {
	progress, err := workload.DecodeProgress(item.Value)
	if err != nil {
		o.logUnreadable(item.Key, err)
		return false
	}
	return progress.State.Final()
}

// commit writes a transaction. On a conflict it marks the ownership as lost if the term has changed. Otherwise an
// earlier write whose response was lost has taken effect, and onConflict is called with o.mu held to update the known
// revisions.
func (o *Owner) commit(ctx context.Context, txn kv.Txn, onConflict func(*kv.Conflict)) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	started := time.Now()
	revision, err := o.cfg.Store.Commit(ctx, txn)
	o.metrics.stores.Inc(1)
	o.metrics.storeTime.RecordDuration(time.Since(started))
	var conflict *kv.Conflict
	if !errors.As(err, &conflict) {
		return revision, errors.Trace(err)
	}
	condition := o.ownership.Condition()
	if conflict.Revision(condition.Key) != condition.Revision {
		o.ownership.MarkLost("the term in the store has changed")
		return 0, errors.Trace(err)
	}
	o.mu.Lock()
	onConflict(conflict)
	o.mu.Unlock()
	return 0, errors.Trace(err)
}

// deleteLoop periodically stores the clock with which the retention is measured and deletes ended jobs and early cancellations whose
// retention has expired, until ctx ends.
func (o *Owner) deleteLoop(ctx context.Context) {
	for ctx.Err() == nil {
		o.storeRetentionClock(ctx)
		pause.For(ctx, deleteInterval)
		o.deleteInParts(ctx, o.endedJobs(), o.deleteJobs)
		o.deleteInParts(ctx, o.expiredEarlyCancels(bootclock.Uptime()), o.deleteEarlyCancels)
	}
}

// endedJobs returns the ended jobs whose retention has expired.
func (o *Owner) endedJobs() []workload.JobID {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.scheduler.JobsEndedFor(bootclock.Uptime(), o.cfg.EndedJobRetention)
}

// deleteInParts calls deletePart with as many jobs at a time as a transaction may hold. It stops at the first failure; the rest is
// deleted next time.
func (o *Owner) deleteInParts(ctx context.Context, ids []workload.JobID, deletePart func(context.Context, []workload.JobID) error) {
	for part := range slices.Chunk(ids, deletionsPerTxn) {
		if ctx.Err() != nil {
			return
		}
		if err := deletePart(ctx, part); err != nil {
			o.cfg.Log.Event(eventlog.ProgressNotStored).Err(err).Msg("")
			return
		}
	}
}

// deleteJobs deletes ended jobs from the store. They are forgotten once the watch of the submissions shows it.
func (o *Owner) deleteJobs(ctx context.Context, ids []workload.JobID) error {
	txn := kv.Txn{If: []kv.Condition{o.ownership.Condition()}}
	for _, id := range ids {
		txn.Delete = append(txn.Delete, statekeys.Job(o.cfg.Partition, id), statekeys.Cancel(o.cfg.Partition, id),
			statekeys.Progress(o.cfg.Partition, id))
	}
	o.recordDeletions(ids, 0)
	revision, err := o.commit(ctx, txn, func(*kv.Conflict) {})
	if err != nil {
		return errors.Trace(err)
	}
	o.recordDeletions(ids, revision)
	o.mu.Lock()
	clock := o.scheduler.RetentionClock(bootclock.Uptime())
	o.mu.Unlock()
	o.cfg.Log.Event(eventlog.EndedJobsDeleted).Int64("term", o.ownership.Term).Int("count", len(ids)).Int64("clock", clock).Msg("")
	return nil
}
