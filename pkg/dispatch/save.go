package dispatch

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

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
	// saveDelay lets the ends of several tasks be stored with one call.
	saveDelay = 25 * time.Millisecond
	// saveTimeout bounds one write. A slow store answers within it.
	saveTimeout = 1500 * time.Millisecond
	// recordsPerTxn keeps a transaction within the store's limit: the condition on the term, and a condition and a
	// write for each record.
	recordsPerTxn = (kv.MaxTxnEntries - 1) / 2
	// collectEvery is the time between two searches for jobs whose state need not be kept any longer.
	collectEvery = 10 * time.Second
	// deletionsPerTxn keeps a deletion of up to three keys a job within the store's limit.
	deletionsPerTxn = (kv.MaxTxnEntries - 1) / 3
)

// batch is what is stored together.
type batch struct {
	records []schedule.Record
	roster  []schedule.WorkerInfo // nil when it has not changed
	ends    []relay.StoredEnd
}

func (b batch) empty() bool { return len(b.records) == 0 && b.roster == nil && len(b.ends) == 0 }

// saveLoop stores progress and then lets the workers forget the ends that it rests on.
func (o *Owner) saveLoop(ctx context.Context) {
	failing := false
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-o.saveWake:
		}
		pause.For(ctx, saveDelay)
		drain(o.saveWake)
		err := o.save(ctx)
		if err != nil && ctx.Err() == nil {
			if !failing {
				o.cfg.Log.Event(eventlog.ProgressNotStored).Err(err).Msg("")
			}
			failing = true
			pause.For(ctx, retryAfter)
			o.wake(o.saveWake)
			continue
		}
		if failing {
			o.cfg.Log.Event(eventlog.ProgressStored).Msg("")
		}
		failing = false
	}
}

func (o *Owner) takeBatch() batch {
	o.mu.Lock()
	defer o.mu.Unlock()
	b := batch{records: o.scheduler.Changed()}
	if infos, changed := o.scheduler.Roster(); changed {
		b.roster = infos
	}
	for id, ends := range o.ends {
		if ends.told < ends.seen {
			b.ends = append(b.ends, relay.StoredEnd{Worker: id, Incarnation: ends.incarnation, Number: ends.seen})
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
	if b.roster != nil {
		if err := o.saveRoster(ctx, b.roster); err != nil {
			o.mu.Lock()
			o.scheduler.RosterLost()
			o.mu.Unlock()
			return errors.Trace(err)
		}
	}
	for start := 0; start < len(b.records); start += recordsPerTxn {
		part := b.records[start:min(start+recordsPerTxn, len(b.records))]
		if err := o.saveRecords(ctx, part); err != nil {
			return errors.Trace(err)
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, stored := range b.ends {
		o.tellStored(stored)
	}
	return nil
}

// tellStored lets the relay of a worker acknowledge its ends. o.mu is held.
func (o *Owner) tellStored(stored relay.StoredEnd) {
	ends := o.ends[stored.Worker]
	l, assigned := o.linkOf[stored.Worker]
	if !assigned || ends.incarnation != stored.Incarnation {
		return
	}
	ends.told = stored.Number
	o.ends[stored.Worker] = ends
	l.stored[stored.Worker] = stored
	o.wake(l.wake)
}

func (o *Owner) saveRoster(ctx context.Context, infos []schedule.WorkerInfo) error {
	data, err := json.Marshal(infos)
	if err != nil {
		return errors.Trace(err)
	}
	key := statekeys.KnownWorkers(o.cfg.Partition)
	o.mu.Lock()
	revision := o.roster
	o.mu.Unlock()
	revision, err = o.commit(ctx, kv.Txn{
		If:  []kv.Condition{o.holding.Condition(), {Key: key, Revision: revision}},
		Put: []kv.Put{{Key: key, Value: data}},
	}, func(c *kv.Conflict) { o.roster = c.Revision(key) })
	if err != nil {
		return errors.Trace(err)
	}
	o.mu.Lock()
	o.roster = revision
	o.scheduler.RosterStored(infos)
	o.mu.Unlock()
	o.wake(o.planWake)
	return nil
}

// saveRecords stores progress in one transaction. Each record requires the revision that this owner knows, so that a
// write which the store carries out late cannot replace a newer one.
func (o *Owner) saveRecords(ctx context.Context, records []schedule.Record) error {
	txn := kv.Txn{If: []kv.Condition{o.holding.Condition()}}
	o.mu.Lock()
	for _, r := range records {
		data, err := json.Marshal(r.Progress)
		if err != nil {
			o.mu.Unlock()
			return errors.Trace(err)
		}
		key := statekeys.Progress(o.cfg.Partition, r.Job)
		txn.If = append(txn.If, kv.Condition{Key: key, Revision: o.revisions[r.Job]})
		txn.Put = append(txn.Put, kv.Put{Key: key, Value: data})
	}
	o.mu.Unlock()
	revision, err := o.commit(ctx, txn, func(c *kv.Conflict) {
		for _, r := range records {
			o.revisions[r.Job] = c.Revision(statekeys.Progress(o.cfg.Partition, r.Job))
		}
	})
	if err != nil {
		return errors.Trace(err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range records {
		o.revisions[r.Job] = revision
		o.scheduler.Stored(r)
	}
	o.queueOrders(bootclock.Now())
	return nil
}

// commit writes a transaction. On a conflict it gives the ownership up if the term has changed; otherwise an earlier
// write, whose answer was lost, has taken effect, and learn is called with o.mu held.
func (o *Owner) commit(ctx context.Context, txn kv.Txn, learn func(*kv.Conflict)) (int64, error) {
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
	condition := o.holding.Condition()
	if conflict.Revision(condition.Key) != condition.Revision {
		o.holding.MarkLost("the term in the store has changed")
		return 0, errors.Trace(err)
	}
	o.mu.Lock()
	learn(conflict)
	o.mu.Unlock()
	return 0, errors.Trace(err)
}

// collectEnded deletes the jobs whose state need not be kept any longer.
func (o *Owner) collectEnded(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, collectEvery)
		before := bootclock.Now().UnixMs - o.cfg.KeepEnded.Milliseconds()
		o.mu.Lock()
		ids := o.scheduler.EndedBefore(before)
		o.mu.Unlock()
		for start := 0; start < len(ids) && ctx.Err() == nil; start += deletionsPerTxn {
			if err := o.deleteJobs(ctx, ids[start:min(start+deletionsPerTxn, len(ids))]); err != nil {
				o.cfg.Log.Event(eventlog.ProgressNotStored).Err(err).Msg("")
				break
			}
		}
	}
}

func (o *Owner) deleteJobs(ctx context.Context, ids []workload.JobID) error {
	txn := kv.Txn{If: []kv.Condition{o.holding.Condition()}}
	for _, id := range ids {
		txn.Delete = append(txn.Delete, statekeys.Job(o.cfg.Partition, id), statekeys.Cancel(o.cfg.Partition, id),
			statekeys.Progress(o.cfg.Partition, id))
	}
	if _, err := o.commit(ctx, txn, func(*kv.Conflict) {}); err != nil {
		return errors.Trace(err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, id := range ids {
		o.scheduler.Remove(id)
		delete(o.revisions, id)
	}
	return nil
}
