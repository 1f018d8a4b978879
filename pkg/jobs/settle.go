package jobs

import (
	"context"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// resolve determines the outcome of a write that did not apply or got no response, from the records read afterwards. It
// returns true if the group's outcome is known, and false if the group has to be sent again with the revisions read.
//
// Sending again is safe while an earlier attempt may still be in transit: both have the same nonce and compare the
// revisions of the same records, so only the first to arrive takes effect.
func (b *Batch) resolve(ctx context.Context, g *commitGroup, reads []store.KeyValue) (bool, error) {
	found := make(map[string]store.KeyValue, len(reads))
	for _, kv := range reads {
		found[kv.Key] = kv
	}
	if b.alreadyWritten(g, found) {
		b.confirm(ctx, g, found)
		return true, nil
	}
	if found[b.keys.owner(b.cfg.Shard)].CreateRevision != int64(b.cfg.Epoch) {
		return false, errors.Annotatef(ErrNotOwner, "shard %s, epoch %d", b.cfg.Shard, b.cfg.Epoch)
	}
	for key, e := range g.entries {
		if err := b.refreshRevision(e, found[key]); err != nil {
			e.ticket.resolve(err)
			delete(g.entries, key)
		}
	}
	return len(g.entries) == 0, nil
}

// alreadyWritten reports whether an earlier attempt of the group took effect: a record has its nonce, or a record that
// it deletes is absent. That suffices because only the owner deletes records, and a transaction applies as a whole.
func (b *Batch) alreadyWritten(g *commitGroup, found map[string]store.KeyValue) bool {
	if !g.uncertain {
		return false
	}
	for key, e := range g.entries {
		kv, present := found[key]
		if e.remove && !present {
			return true
		}
		if stored, err := decode(kv); err == nil && stored.Record.Nonce == g.nonce {
			return true
		}
	}
	return false
}

// confirm resolves a group that an earlier attempt wrote, and applies cancellations stored after it.
func (b *Batch) confirm(ctx context.Context, g *commitGroup, found map[string]store.KeyValue) {
	for key, e := range g.entries {
		revision := int64(0)
		stored, err := decode(found[key])
		if err == nil && stored.Record.Nonce == g.nonce {
			revision = stored.ModRevision
			b.observeCancellation(e.record.ID, stored)
		}
		b.updateTracked(ctx, e, revision)
		e.ticket.resolve(nil)
	}
}

// refreshRevision updates the tracked revision of a record whose write did not apply. Only a cancellation, which keeps
// the nonce, may have changed the record. Any other change fails with ErrConflict, a missing record with ErrNotFound.
func (b *Batch) refreshRevision(e *groupEntry, kv store.KeyValue) error {
	id := e.record.ID
	b.mu.Lock()
	var before trackedRecord
	if k := b.tracked[id]; k != nil {
		before = *k
	}
	b.mu.Unlock()
	if before.modRevision == kv.ModRevision || before.modRevision == 0 {
		return nil // unchanged, or no longer tracked, in which case transaction drops it
	}
	stored, err := decode(kv)
	if err == nil && stored.Record.Nonce == before.nonce {
		b.observeCancellation(id, stored)
		return nil
	}
	b.mu.Lock()
	b.untrack(id)
	b.mu.Unlock()
	if kv.CreateRevision == 0 {
		return errors.Annotatef(ErrNotFound, "job %s", id)
	}
	b.cfg.Log.Event(eventlog.JobBatchConflict).Str("job", string(id)).Msg("")
	return errors.Annotatef(ErrConflict, "job %s", id)
}

// observeCancellation applies a newer revision of a record in which at most CancelRequested differs, and calls
// OnCancel for a new cancellation.
func (b *Batch) observeCancellation(id structs.JobID, stored Stored) {
	b.mu.Lock()
	k := b.tracked[id]
	newlyCancelled := false
	if k != nil && stored.ModRevision >= k.modRevision {
		newlyCancelled = stored.Record.CancelRequested && !k.cancelled
		k.modRevision, k.nonce, k.cancelled = stored.ModRevision, stored.Record.Nonce, stored.Record.CancelRequested
	}
	b.mu.Unlock()
	if newlyCancelled && b.cfg.OnCancel != nil {
		b.cfg.OnCancel(id)
	}
}
