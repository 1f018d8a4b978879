package jobs

import (
	"context"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// commitGroup is the set of changes of one transaction. It is kept until its outcome is known. Batch.flushing guards
// it.
type commitGroup struct {
	entries   map[string]*groupEntry // by store key
	nonce     string
	uncertain bool // the response to an earlier write of the group was lost
}

type groupEntry struct {
	queuedChange
	value []byte // the record as last sent; nil for a deletion
}

// fail resolves every change of the group with err.
func (g *commitGroup) fail(err error) {
	for _, e := range g.entries {
		e.ticket.resolve(err)
	}
}

// Flush writes up to MaxBatchRecords queued changes in one transaction and returns when their outcome is known. After
// an error of the store the next Flush continues with the same changes. ErrNotOwner ends the batch.
func (b *Batch) Flush(ctx context.Context) error {
	b.flushing.Lock()
	defer b.flushing.Unlock()
	if b.group == nil {
		b.group = b.takeGroup()
	}
	if b.group == nil {
		return nil
	}
	ctx, span := b.tracer.Start(ctx, "jobs.Flush")
	defer span.End()
	start := b.cfg.Clock()
	size := len(b.group.entries)
	err := b.commit(ctx, b.group)
	if errors.Is(err, ErrNotOwner) {
		b.cfg.Log.Event(eventlog.JobBatchNotOwner).Str("shard", b.cfg.Shard.String()).Int64("epoch", int64(b.cfg.Epoch)).Msg("")
		b.group.fail(err)
		b.group = nil
		b.end(err)
		return err
	}
	if err != nil {
		b.cfg.Scope.Counter("flush_errors").Inc(1)
		return err
	}
	b.group = nil
	b.cfg.Scope.Counter("flushed_records").Inc(int64(size))
	b.cfg.Scope.Timer("flush").Record(b.cfg.Clock().Sub(start))
	return nil
}

// takeGroup moves the oldest queued changes into a group. Changes that cannot be encoded are resolved with an error.
func (b *Batch) takeGroup() *commitGroup {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := &commitGroup{entries: map[string]*groupEntry{}, nonce: newNonce()}
	size, taken := 0, 0
	for _, id := range b.order {
		e := b.queue[id]
		value, err := b.encodeChange(e, g.nonce)
		if err == nil && len(g.entries) > 0 && (len(g.entries) >= MaxBatchRecords || size+len(value) > MaxTxnBytes) {
			break
		}
		taken++
		delete(b.queue, id)
		if err != nil {
			e.ticket.resolve(err)
			continue
		}
		size += len(value)
		g.entries[b.keys.job(id)] = &groupEntry{queuedChange: *e}
	}
	b.order = b.order[taken:]
	if len(b.order) == 0 {
		b.order, b.flushBy = nil, time.Time{}
	}
	if len(g.entries) == 0 {
		return nil
	}
	return g
}

// encodeChange sets the nonce and a stored cancellation in a record and encodes it. It returns nil for a deletion. The
// caller holds mu.
func (b *Batch) encodeChange(e *queuedChange, nonce string) ([]byte, error) {
	k := b.tracked[e.record.ID]
	if k == nil {
		return nil, errors.Annotatef(ErrNotTracked, "job %s", e.record.ID)
	}
	if e.remove {
		return nil, nil
	}
	e.record.Nonce = nonce
	e.record.CancelRequested = e.record.CancelRequested || k.cancelled
	return encode(&e.record)
}

// commit sends the transaction of the group until its outcome is known, at most MaxWriteAttempts times.
func (b *Batch) commit(ctx context.Context, g *commitGroup) error {
	var lastErr error
	for attempt := 0; attempt < MaxWriteAttempts; attempt++ {
		txn, keys := b.transaction(g)
		if len(keys) == 0 {
			return nil
		}
		result, err := b.cfg.Store.Txn(ctx, txn)
		if err == nil && result.Applied {
			b.completeGroup(ctx, g, result.Revision)
			return nil
		}
		read := result.Read
		if err != nil {
			if !errors.Is(err, store.ErrUnavailable) {
				g.uncertain = true
			}
			lastErr = errors.Annotate(err, "writing job records")
			if !g.uncertain {
				return lastErr
			}
			b.cfg.Log.Event(eventlog.JobBatchUnresolved).Str("shard", b.cfg.Shard.String()).Int("records", len(keys)).Msg("")
			if read, err = readAll(ctx, b.cfg.Store, txn.ReadOnFail); err != nil {
				return errors.Annotate(err, "reading job records after a lost response")
			}
		}
		if done, err := b.resolve(ctx, g, read); done || err != nil {
			return err
		}
	}
	return firstError(lastErr, errors.Annotate(ErrContended, "writing job records"))
}

// transaction returns the write of the group with the latest known revisions, and the keys of the group. Changes of
// records that are no longer tracked or cannot be encoded are removed from the group and resolved with an error.
func (b *Batch) transaction(g *commitGroup) (store.Txn, []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	owner := b.keys.owner(b.cfg.Shard)
	txn := store.Txn{
		Compares:   []store.Compare{{Key: owner, Target: store.CompareCreateRevision, Revision: int64(b.cfg.Epoch)}},
		ReadOnFail: []string{owner},
	}
	keys := sortedKeys(g.entries)
	for _, key := range keys {
		e := g.entries[key]
		value, err := b.encodeChange(&e.queuedChange, g.nonce)
		if err != nil {
			e.ticket.resolve(err)
			delete(g.entries, key)
			continue
		}
		e.value = value
		revision := b.tracked[e.record.ID].modRevision
		txn.Compares = append(txn.Compares, store.Compare{Key: key, Target: store.CompareModRevision, Revision: revision})
		txn.ReadOnFail = append(txn.ReadOnFail, key)
		if e.remove {
			txn.Deletes = append(txn.Deletes, key)
		} else {
			txn.Puts = append(txn.Puts, store.Put{Key: key, Value: value})
		}
	}
	return txn, sortedKeys(g.entries)
}

// completeGroup resolves a group that was written at revision.
func (b *Batch) completeGroup(ctx context.Context, g *commitGroup, revision int64) {
	for _, e := range g.entries {
		b.updateTracked(ctx, e, revision)
		e.ticket.resolve(nil)
	}
}

// updateTracked updates the tracked state of one record after it was written at revision.
func (b *Batch) updateTracked(ctx context.Context, e *groupEntry, revision int64) {
	id := e.record.ID
	b.mu.Lock()
	k := b.tracked[id]
	moved := !e.remove && e.record.Home != b.cfg.Shard
	if e.remove || moved {
		b.untrack(id)
	} else if k != nil && revision > k.modRevision {
		k.modRevision, k.nonce, k.finished = revision, e.record.Nonce, e.record.Finished
	} else if k != nil {
		k.finished = e.record.Finished // Observe has already processed this write or a later cancellation
	}
	b.mu.Unlock()
	switch {
	case moved:
		b.cfg.Log.Event(eventlog.JobHomeMoved).Str("job", string(id)).Str("home", e.record.Home.String()).Msg("")
		b.cfg.Notifier.NotifyJobs(ctx, e.record.Home, []structs.JobID{id})
	case e.remove:
		b.cfg.Log.Event(eventlog.JobDeleted).Str("job", string(id)).Msg("")
	}
}
