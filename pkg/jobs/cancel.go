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
	byID := make(map[structs.JobID]CancelResult, len(ids))
	var unique []structs.JobID
	for _, id := range ids {
		if _, seen := byID[id.WithoutPart()]; !seen {
			byID[id.WithoutPart()] = CancelResult{}
			unique = append(unique, id.WithoutPart())
		}
	}
	for wave := range slices.Chunk(unique, MaxBatchRecords) {
		c := newCancellation(s, wave)
		c.run(ctx)
		s.notifyCancelled(ctx, c.results)
		for _, id := range wave {
			byID[id] = c.combine(id)
		}
	}
	results := make([]CancelResult, len(ids))
	for i, id := range ids {
		results[i] = byID[id.WithoutPart()]
	}
	return results
}

// notifyCancelled tells the owners which of their jobs have to be stopped. Jobs that were already marked are
// included, since an earlier notification may have been lost.
func (s *Service) notifyCancelled(ctx context.Context, results map[structs.JobID]*CancelResult) {
	byHome := map[structs.ShardID][]structs.JobID{}
	for id, result := range results {
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
	results map[structs.JobID]*CancelResult // by id of the record; the parts of a job are added once its first is read
	parts   map[structs.JobID]int           // number of records of each job whose parts were added
	open    map[string]*CancelResult        // by store key; entries leave when their result is set
	tried   map[string]bool                 // keys of writes whose answer was lost
	cause   error                           // latest error of the store
}

func newCancellation(s *Service, wave []structs.JobID) *cancellation {
	c := &cancellation{
		service: s, results: map[structs.JobID]*CancelResult{}, parts: map[structs.JobID]int{},
		open: map[string]*CancelResult{}, tried: map[string]bool{},
	}
	for _, id := range wave {
		c.add(id)
	}
	return c
}

func (c *cancellation) add(id structs.JobID) {
	result := &CancelResult{ID: id}
	c.results[id], c.open[c.service.keys.job(id)] = result, result
}

// expand adds the other parts of a job to the wave when its first record is read, and reports whether it did. All
// parts are then marked in one transaction, unless a busy owner keeps interfering.
func (c *cancellation) expand(record *structs.JobRecord) bool {
	if record.Part.Count <= 1 || c.parts[record.ID.WithoutPart()] > 0 {
		return false
	}
	c.parts[record.ID.WithoutPart()] = record.Part.Count
	for n := 1; n < record.Part.Count; n++ {
		c.add(partID(record.ID, n))
	}
	return true
}

// combine returns the result of a job from those of its parts. When some parts are marked and others are not, the
// result is unknown, so that the caller repeats the call.
func (c *cancellation) combine(id structs.JobID) CancelResult {
	if c.parts[id] == 0 {
		return *c.results[id]
	}
	var records []structs.JobRecord
	var failed error
	marked := false
	for n := range c.parts[id] {
		result := c.results[partID(id, n)]
		records = append(records, result.Record)
		marked = marked || (result.Err == nil && result.Record.CancelRequested) || errors.Is(result.Err, ErrUnknown)
		failed = firstError(failed, result.Err)
	}
	if failed != nil && marked {
		return CancelResult{ID: id, Err: &UnknownError{ID: id, Cause: failed}}
	}
	if failed != nil {
		return CancelResult{ID: id, Err: failed}
	}
	return CancelResult{ID: id, Record: assemble(records)}
}

// run reads the open records and writes those that need the mark until none is left. A write touches only the
// first limit records; the limit is halved on each lost race, so that a busy owner cannot hold back a whole wave.
func (c *cancellation) run(ctx context.Context) {
	limit := MaxBatchRecords
	for attempt := 0; attempt < MaxCancelAttempts && len(c.open) > 0 && ctx.Err() == nil; attempt++ {
		keys := sortedKeys(c.open)
		keys = keys[:min(len(keys), MaxBatchRecords)]
		reads, err := readAll(ctx, c.service.cfg.Store, keys)
		if err != nil {
			c.cause = err
			if len(c.tried) == 0 {
				break
			}
			continue
		}
		txn, written := c.prepare(keys, reads, limit)
		if len(written) == 0 {
			attempt-- // every record read was closed, or parts were added
			continue
		}
		result, err := c.service.cfg.Store.Txn(ctx, txn)
		if err == nil && result.Applied {
			c.finish(written)
			limit, attempt = min(2*limit, MaxBatchRecords), -1
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

// prepare sets the results of records that need no write and returns the transaction for up to limit others. Reads
// are the present ones among keys. The nonce stays that of the owner: Batch recognises its own writes by it.
func (c *cancellation) prepare(keys []string, reads []store.KeyValue, limit int) (store.Txn, map[string]structs.JobRecord) {
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
		if c.expand(&stored.Record) {
			continue // next round, with the other parts
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
	for _, key := range keys {
		if result := c.open[key]; result != nil && !present[key] {
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
	result, err := readAt(ctx, s, keys)
	return result.Read, err
}

// readAt is readAll with the revision of the store at the time of the read.
func readAt(ctx context.Context, s Store, keys []string) (store.TxnResult, error) {
	never := store.Compare{Key: keys[0], Target: store.CompareModRevision, Revision: -1}
	result, err := s.Txn(ctx, store.Txn{Compares: []store.Compare{never}, ReadOnFail: keys})
	if err != nil {
		return store.TxnResult{}, errors.Annotatef(err, "reading %d records", len(keys))
	}
	return result, nil
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
