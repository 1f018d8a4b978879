package jobs

import (
	"context"
	"slices"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// CancelResult is the result of CancelMany for one job. Record is set if Err is nil.
type CancelResult struct {
	ID     structs.JobID
	Record structs.JobRecord
	Err    error
}

// Cancel stores the request to cancel a job; the owner of its home shard then stops the tasks. Cancelling a cancelled
// or finished job has no effect. Errors: ErrNotFound, ErrContended, ErrNotAccepted (nothing written),
// ErrOutcomeUnknown.
func (s *Service) Cancel(ctx context.Context, id structs.JobID) (structs.JobRecord, error) {
	result := s.CancelMany(ctx, []structs.JobID{id})[0]
	return result.Record, result.Err
}

// CancelMany cancels jobs in chunks of MaxBatchRecords. Each chunk takes one read and one write if no other writer
// changes its records meanwhile. The results are in the order of ids.
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
	for chunk := range slices.Chunk(unique, MaxBatchRecords) {
		c := newCancellation(s, chunk)
		c.run(ctx)
		s.notifyCancelled(ctx, c.results)
		for _, id := range chunk {
			byID[id] = c.combine(id)
		}
	}
	results := make([]CancelResult, len(ids))
	for i, id := range ids {
		results[i] = byID[id.WithoutPart()]
	}
	return results
}

// notifyCancelled notifies the owners of their jobs that have to be stopped. Jobs that were already cancelled are
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

// cancellation is the compare-and-swap loop over the records of one chunk.
type cancellation struct {
	service   *Service
	results   map[structs.JobID]*CancelResult // by record id; first parts only until expand adds the others
	parts     map[structs.JobID]int           // number of parts of each job whose parts were added
	open      map[string]*CancelResult        // results that are not set yet, by store key
	uncertain map[string]bool                 // keys of records in writes whose response was lost
	lastErr   error                           // latest error of the store
}

func newCancellation(s *Service, chunk []structs.JobID) *cancellation {
	c := &cancellation{
		service: s, results: map[structs.JobID]*CancelResult{}, parts: map[structs.JobID]int{},
		open: map[string]*CancelResult{}, uncertain: map[string]bool{},
	}
	for _, id := range chunk {
		c.add(id)
	}
	return c
}

func (c *cancellation) add(id structs.JobID) {
	result := &CancelResult{ID: id}
	c.results[id], c.open[c.service.keys.job(id)] = result, result
}

// expand adds the other parts of a job to the chunk when its first record is read, and reports whether it did. All
// parts are then cancelled in one transaction, unless owners change records so often that the transactions are
// reduced.
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

// combine returns the result of a job from those of its parts. If only some parts are cancelled the outcome is unknown,
// so that the caller repeats the call.
func (c *cancellation) combine(id structs.JobID) CancelResult {
	if c.parts[id] == 0 {
		return *c.results[id]
	}
	var records []structs.JobRecord
	var firstErr error
	anyCancelled := false
	for n := range c.parts[id] {
		result := c.results[partID(id, n)]
		records = append(records, result.Record)
		anyCancelled = anyCancelled || (result.Err == nil && result.Record.CancelRequested) || errors.Is(result.Err, ErrOutcomeUnknown)
		firstErr = firstError(firstErr, result.Err)
	}
	if firstErr != nil && anyCancelled {
		return CancelResult{ID: id, Err: &OutcomeUnknownError{ID: id, Cause: firstErr}}
	}
	if firstErr != nil {
		return CancelResult{ID: id, Err: firstErr}
	}
	return CancelResult{ID: id, Record: assemble(records)}
}

// run reads the open records and sets CancelRequested until no record is left. A write covers at most limit records.
// The limit is halved on each conflict, so that one frequently changed record does not block the whole chunk.
func (c *cancellation) run(ctx context.Context) {
	limit := MaxBatchRecords
	for attempt := 0; attempt < MaxCancelAttempts && len(c.open) > 0 && ctx.Err() == nil; attempt++ {
		keys := sortedKeys(c.open)
		keys = keys[:min(len(keys), MaxBatchRecords)]
		reads, err := readAll(ctx, c.service.cfg.Store, keys)
		if err != nil {
			c.lastErr = err
			if len(c.uncertain) == 0 {
				break
			}
			continue
		}
		txn, written := c.prepare(keys, reads, limit)
		if len(written) == 0 {
			attempt-- // not counted: all records read have their result, or parts were added
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
		c.lastErr = err
		if !errors.Is(err, store.ErrUnavailable) {
			for key := range written {
				c.uncertain[key] = true
			}
		} else if len(c.uncertain) == 0 {
			break
		}
	}
	if c.lastErr == nil {
		c.lastErr = ctx.Err()
	}
	c.fail()
}

// prepare sets the results of records that need no write and returns the transaction for up to limit others. reads has
// the records that exist among keys. The nonce of the owner is kept, because Batch recognises its own writes by it.
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
			continue // in the next iteration, with the other parts
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
			continue // in the next iteration
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

// finish sets the results of the records that were written.
func (c *cancellation) finish(written map[string]structs.JobRecord) {
	for key, record := range written {
		c.close(key, record, nil)
	}
}

// fail sets the errors of the records that are still open.
func (c *cancellation) fail() {
	for key, result := range c.open {
		switch {
		case c.uncertain[key]:
			c.close(key, structs.JobRecord{}, &OutcomeUnknownError{ID: result.ID, Cause: c.lastErr})
		case c.lastErr != nil:
			c.close(key, structs.JobRecord{}, errors.Annotatef(ErrNotAccepted, "cancelling job %s: %v", result.ID, c.lastErr))
		default:
			c.close(key, structs.JobRecord{}, errors.Annotatef(ErrContended, "cancelling job %s", result.ID))
		}
	}
}

// readAll reads several keys in one call, by a transaction whose condition never holds.
func readAll(ctx context.Context, s Store, keys []string) ([]store.KeyValue, error) {
	result, err := readAt(ctx, s, keys)
	return result.Read, err
}

// readAt is like readAll and also returns the revision of the store at the time of the read.
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
