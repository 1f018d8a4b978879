package jobs

import (
	"context"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// settle decides from the values of a failed or unanswered write what has happened. It returns true when the
// group's result is known, false when the group has to be sent again with the revisions that were read.
//
// Sending again is safe while an earlier attempt may still be on its way: both carry the same nonce and compare
// the revisions of the same records, so only the first to arrive takes effect.
func (b *Batch) settle(ctx context.Context, g *group, reads []store.KeyValue) (bool, error) {
	found := make(map[string]store.KeyValue, len(reads))
	for _, kv := range reads {
		found[kv.Key] = kv
	}
	if b.writtenBefore(g, found) {
		b.confirm(ctx, g, found)
		return true, nil
	}
	if found[b.keys.owner(b.cfg.Shard)].CreateRevision != int64(b.cfg.Epoch) {
		return false, errors.Annotatef(ErrNotOwner, "shard %s, epoch %d", b.cfg.Shard, b.cfg.Epoch)
	}
	for key, e := range g.entries {
		if err := b.refresh(e, found[key]); err != nil {
			e.ticket.resolve(err)
			delete(g.entries, key)
		}
	}
	return len(g.entries) == 0, nil
}

// writtenBefore reports whether an earlier attempt of the group took effect: a record carries its nonce, or one
// that it deletes is gone. Only the owner deletes records, and a transaction applies as a whole.
func (b *Batch) writtenBefore(g *group, found map[string]store.KeyValue) bool {
	if !g.sent {
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

// confirm resolves a group that an earlier attempt wrote. Cancellations that came after it are taken over.
func (b *Batch) confirm(ctx context.Context, g *group, found map[string]store.KeyValue) {
	for key, e := range g.entries {
		revision := int64(0)
		stored, err := decode(found[key])
		if err == nil && stored.Record.Nonce == g.nonce {
			revision = stored.ModRevision
			b.cancelledBy(e.record.ID, stored)
		}
		b.stored(ctx, e, revision)
		e.ticket.resolve(nil)
	}
}

// refresh takes over the current revision of a record whose write did not apply. Only a cancellation may have
// changed it, which leaves the nonce as it was.
func (b *Batch) refresh(e *groupEntry, kv store.KeyValue) error {
	id := e.record.ID
	b.mu.Lock()
	var before known
	if k := b.known[id]; k != nil {
		before = *k
	}
	b.mu.Unlock()
	if before.modRevision == kv.ModRevision || before.modRevision == 0 {
		return nil // unchanged, or unknown and dropped by transaction
	}
	stored, err := decode(kv)
	if err == nil && stored.Record.Nonce == before.nonce {
		b.cancelledBy(id, stored)
		return nil
	}
	b.mu.Lock()
	b.forget(id)
	b.mu.Unlock()
	if kv.CreateRevision == 0 {
		return errors.Annotatef(ErrNotFound, "job %s", id)
	}
	b.cfg.Log.Event(eventlog.JobBatchConflict).Str("job", string(id)).Msg("")
	return errors.Annotatef(ErrConflict, "job %s", id)
}

// cancelledBy takes over a newer revision of a record in which at most CancelRequested differs.
func (b *Batch) cancelledBy(id structs.JobID, stored Stored) {
	b.mu.Lock()
	k := b.known[id]
	news := false
	if k != nil && stored.ModRevision >= k.modRevision {
		news = stored.Record.CancelRequested && !k.cancelled
		k.modRevision, k.nonce, k.cancelled = stored.ModRevision, stored.Record.Nonce, stored.Record.CancelRequested
	}
	b.mu.Unlock()
	if news && b.cfg.OnCancel != nil {
		b.cfg.OnCancel(id)
	}
}
