package jobs

import (
	"context"
	"slices"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// CancelResult is the result for one job of CancelMany. Record is set when Err is nil.
type CancelResult struct {
	ID     structs.JobID
	Record structs.JobRecord
	Err    error
}

// Cancel marks a job as cancelled; the owner of its home shard then stops the tasks. Cancelling a cancelled or
// finished job changes nothing. Errors: ErrNotFound, ErrContended, ErrNotAccepted (nothing written), ErrUnknown.
func (s *Service) Cancel(ctx context.Context, id structs.JobID) (structs.JobRecord, error) {
	result := s.CancelMany(ctx, []structs.JobID{id})[0]
	return result.Record, result.Err
}

// CancelMany cancels jobs in waves of MaxBatchRecords, one read and one guarded write per wave when nobody else
// changes the records meanwhile. The results are in the order of ids.
func (s *Service) CancelMany(ctx context.Context, ids []structs.JobID) []CancelResult {
	ctx, span := s.tracer.Start(ctx, "jobs.Cancel")
	defer span.End()
	byID := make(map[structs.JobID]*CancelResult, len(ids))
	var unique []structs.JobID
	for _, id := range ids {
		if byID[id] == nil {
			byID[id] = &CancelResult{ID: id}
			unique = append(unique, id)
		}
	}
	for wave := range slices.Chunk(unique, MaxBatchRecords) {
		open := make(map[string]*CancelResult, len(wave))
		for _, id := range wave {
			open[s.keys.job(id)] = byID[id]
		}
		c := cancellation{service: s, open: open, tried: map[string]bool{}}
		c.run(ctx)
		s.notifyCancelled(ctx, wave, byID)
	}
	results := make([]CancelResult, len(ids))
	for i, id := range ids {
		results[i] = *byID[id]
	}
	return results
}

// notifyCancelled tells the owners which of their jobs have to be stopped. Jobs that were already marked are
// included, since an earlier notification may have been lost.
func (s *Service) notifyCancelled(ctx context.Context, wave []structs.JobID, results map[structs.JobID]*CancelResult) {
	byHome := map[structs.ShardID][]structs.JobID{}
	for _, id := range wave {
		result := results[id]
		if result.Err != nil || !result.Record.CancelRequested || result.Record.Final() {
			continue
		}
		home := result.Record.Home
		byHome[home] = append(byHome[home], id)
		s.cfg.Log.Event(eventlog.JobCancelRequested).Str("job", string(id)).Str("home", home.String()).Msg("")
	}
	for home, jobs := range byHome {
		s.cfg.Scope.Counter("cancelled").Inc(int64(len(jobs)))
		s.cfg.Notifier.NotifyJobs(ctx, home, jobs)
	}
}

// cancellation is the compare-and-swap loop over the records of one wave.
type cancellation struct {
	service *Service
	open    map[string]*CancelResult // by store key; entries leave when their result is set
	tried   map[string]bool          // keys of writes whose answer was lost
	cause   error                    // latest error of the store
}

// run reads the open records and writes those that need the mark until none is left. A write touches only the
// first limit records; the limit is halved on each lost race, so that a busy owner cannot hold back a whole wave.
func (c *cancellation) run(ctx context.Context) {
	limit := MaxBatchRecords
	for attempt := 0; attempt < MaxCancelAttempts && len(c.open) > 0 && ctx.Err() == nil; attempt++ {
		reads, err := readAll(ctx, c.service.cfg.Store, sortedKeys(c.open))
		if err != nil {
			c.cause = err
			if len(c.tried) == 0 {
				break
			}
			continue
		}
		txn, written := c.prepare(reads, limit)
		if len(written) == 0 {
			return
		}
		result, err := c.service.cfg.Store.Txn(ctx, txn)
		if err == nil && result.Applied {
			c.finish(written)
			limit = min(2*limit, MaxBatchRecords)
			continue
		}
		if err == nil {
			limit = max(limit/2, 1)
			c.service.cfg.Scope.Counter("cancel_conflicts").Inc(1)
			continue
		}
		c.cause = err
		if !errors.Is(err, store.ErrUnavailable) {
			for key := range written {
				c.tried[key] = true
			}
		} else if len(c.tried) == 0 {
			break
		}
	}
	if c.cause == nil {
		c.cause = ctx.Err()
	}
	c.fail()
}

// prepare sets the results of records that need no write and returns the transaction for up to limit others.
// The nonce stays that of the owner: Batch recognises its own writes by it.
func (c *cancellation) prepare(reads []store.KeyValue, limit int) (store.Txn, map[string]structs.JobRecord) {
	var txn store.Txn
	written := map[string]structs.JobRecord{}
	present := map[string]bool{}
	size := 0
	for _, kv := range reads {
		present[kv.Key] = true
		stored, err := decode(kv)
		if err != nil {
			c.close(kv.Key, structs.JobRecord{}, err)
			continue
		}
		if stored.Record.CancelRequested || stored.Record.Final() {
			c.close(kv.Key, stored.Record, nil)
			continue
		}
		stored.Record.CancelRequested = true
		value, err := encode(&stored.Record)
		if err != nil {
			c.close(kv.Key, structs.JobRecord{}, err)
			continue
		}
		if len(written) >= limit || (size > 0 && size+len(value) > MaxTxnBytes) {
			continue // next round
		}
		size += len(value)
		written[kv.Key] = stored.Record
		txn.Compares = append(txn.Compares, store.Compare{Key: kv.Key, Target: store.CompareModRevision, Revision: kv.ModRevision})
		txn.Puts = append(txn.Puts, store.Put{Key: kv.Key, Value: value})
	}
	for key, result := range c.open {
		if !present[key] {
			c.close(key, structs.JobRecord{}, errors.Annotatef(ErrNotFound, "job %s", result.ID))
		}
	}
	return txn, written
}

// close sets the result of one record.
func (c *cancellation) close(key string, record structs.JobRecord, err error) {
	result := c.open[key]
	result.Record, result.Err = record, err
	delete(c.open, key)
}

// finish sets the results of records that were written.
func (c *cancellation) finish(written map[string]structs.JobRecord) {
	for key, record := range written {
		c.close(key, record, nil)
	}
}

// fail sets the error of the records that are still open.
func (c *cancellation) fail() {
	for key, result := range c.open {
		switch {
		case c.tried[key]:
			c.close(key, structs.JobRecord{}, &UnknownError{ID: result.ID, Cause: c.cause})
		case c.cause != nil:
			c.close(key, structs.JobRecord{}, errors.Annotatef(ErrNotAccepted, "cancelling job %s: %v", result.ID, c.cause))
		default:
			c.close(key, structs.JobRecord{}, errors.Annotatef(ErrContended, "cancelling job %s", result.ID))
		}
	}
}

// readAll reads several keys in one call: a transaction whose condition never holds returns them.
func readAll(ctx context.Context, s Store, keys []string) ([]store.KeyValue, error) {
	never := store.Compare{Key: keys[0], Target: store.CompareModRevision, Revision: -1}
	result, err := s.Txn(ctx, store.Txn{Compares: []store.Compare{never}, ReadOnFail: keys})
	if err != nil {
		return nil, errors.Annotatef(err, "reading %d records", len(keys))
	}
	return result.Read, nil
}

// sortedKeys returns the keys of m in a fixed order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
