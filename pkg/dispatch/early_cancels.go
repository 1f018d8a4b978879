package dispatch

import (
	"context"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/workload"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
)

// earlyCancel is a stored cancellation of a job that is not stored. It keeps submissions that are still under way from being stored;
// see package intake. The owner deletes it when none can be left.
type earlyCancel struct {
	revision int64
	seenAt   time.Duration // boot time at which this revision was first seen
}

// recordEarlyCancel records an early cancellation. One that is stored anew is kept for longer. o.mu is held.
func (o *Owner) recordEarlyCancel(now time.Duration, id workload.JobID, revision int64) {
	if o.earlyCancels[id].revision < revision {
		o.earlyCancels[id] = earlyCancel{revision: revision, seenAt: now}
	}
}

// expiredEarlyCancels returns the jobs of the early cancellations whose retention has expired.
func (o *Owner) expiredEarlyCancels(now time.Duration) []workload.JobID {
	o.mu.Lock()
	defer o.mu.Unlock()
	var ids []workload.JobID
	for id, c := range o.earlyCancels {
		if now-c.seenAt >= workload.EarlyCancelRetention {
			ids = append(ids, id)
		}
	}
	return ids
}

// deleteEarlyCancels deletes early cancellations from the store, unless one of them has changed.
func (o *Owner) deleteEarlyCancels(ctx context.Context, ids []workload.JobID) error {
	txn := kv.Txn{If: []kv.Condition{o.ownership.Condition()}}
	revisions := make(map[workload.JobID]int64, len(ids))
	o.mu.Lock()
	for _, id := range ids {
		revisions[id] = o.earlyCancels[id].revision
	}
	o.mu.Unlock()
	for id, revision := range revisions {
		key := statekeys.EarlyCancel(o.cfg.Partition, id)
		txn.If = append(txn.If, kv.Condition{Key: key, Revision: revision})
		txn.Delete = append(txn.Delete, key)
	}
	_, err := o.commit(ctx, txn, func(c *kv.Conflict) {
		for id, revision := range revisions {
			if c.Revision(statekeys.EarlyCancel(o.cfg.Partition, id)) != revision {
				o.forgetEarlyCancel(id, revision)
			}
		}
	})
	if err != nil {
		return errors.Trace(err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, revision := range revisions {
		o.forgetEarlyCancel(id, revision)
	}
	return nil
}

// forgetEarlyCancel forgets an early cancellation unless the watch of the submissions has shown a later one. o.mu is held.
func (o *Owner) forgetEarlyCancel(id workload.JobID, revision int64) {
	if o.earlyCancels[id].revision == revision {
		delete(o.earlyCancels, id)
	}
}
