package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
)

// BatchConfig configures a Batch.
type BatchConfig struct {
	Store       Store
	Notifier    Notifier
	Environment string
	Shard       structs.ShardID
	Epoch       structs.Epoch          // create revision of the owner record under which this host owns the shard
	OnCancel    func(id structs.JobID) // called by Flush without mu when it finds a new cancellation; must not call Flush or Close; may be nil
	Clock       func() time.Time       // time.Now when nil
	Scope       tally.Scope            // tally.NoopScope when nil
	Log         *eventlog.Logger       // discarded when nil
}

// Batch writes the job records of one shard for its owner. It collects changed records and writes them in one
// transaction (group commit: DeWitt et al., "Implementation techniques for main memory database systems", 1984),
// guarded by the create revision of the shard's owner record and the revision of each record. One Batch lives as
// long as one ownership.
//
// Lock order: flushing, then mu. mu is never held during a store call.
type Batch struct {
	cfg    BatchConfig
	keys   keyspace
	tracer trace.Tracer
	wake   chan struct{} // capacity 1: a change was queued
	full   chan struct{} // capacity 1: a whole transaction is queued

	flushing sync.Mutex // held during Flush; guards group
	group    *group     // written but not settled yet

	mu       sync.Mutex
	known    map[structs.JobID]*known
	gone     map[structs.JobID]tombstone
	queue    map[structs.JobID]*entry
	order    []structs.JobID // of queue, oldest first
	promptBy time.Time       // when the queue has to be written; zero when it is empty
	err      error           // why the batch has ended
}

// known is what the batch knows about a stored record.
type known struct {
	modRevision int64
	nonce       string    // of the latest write of an owner
	cancelled   bool      // CancelRequested is stored
	finished    time.Time // zero while the record has open tasks
	part        structs.JobPart
}

// tombstone is left by a record that was deleted or has moved. A read that was sent before must not bring the
// record back, since the job may already run elsewhere.
type tombstone struct {
	modRevision int64     // the last revision at which the record belonged to this batch
	at          time.Time // when it was left
}

// entry is one change waiting to be written.
type entry struct {
	record structs.JobRecord // only the ID is set for a deletion
	remove bool
	ticket *Ticket
}

// NewBatch returns a Batch. Its owner calls Observe with the records of LoadHome before it changes them.
func NewBatch(cfg BatchConfig) *Batch {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	if cfg.Log == nil {
		cfg.Log = eventlog.Discard()
	}
	return &Batch{
		cfg: cfg, keys: newKeyspace(cfg.Environment), tracer: otel.Tracer(tracerName),
		wake: make(chan struct{}, 1), full: make(chan struct{}, 1),
		known: map[structs.JobID]*known{}, gone: map[structs.JobID]tombstone{}, queue: map[structs.JobID]*entry{},
	}
}

// Observation tells the owner what a record read from the store means to it.
type Observation int

// Observations. The owner's own copy of a job stays valid except after ObservedNew.
const (
	ObservedUnchanged Observation = iota // nothing new: already known, or written by this batch
	ObservedNew                          // first seen: the owner takes over the record
	ObservedCancelled                    // a cancellation was requested
	ObservedMoved                        // the job has another home and is forgotten
)

// Observe takes a record from LoadHome or Changes.
func (b *Batch) Observe(stored Stored) Observation {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := stored.Record.ID
	k := b.known[id]
	if stored.Record.Home != b.cfg.Shard {
		if k == nil || stored.ModRevision <= k.modRevision {
			return ObservedUnchanged
		}
		b.forget(id)
		return ObservedMoved
	}
	if k == nil && stored.ModRevision <= b.gone[id].modRevision {
		return ObservedUnchanged
	}
	if k == nil {
		delete(b.gone, id)
		b.known[id] = &known{stored.ModRevision, stored.Record.Nonce, stored.Record.CancelRequested, stored.Record.Finished, stored.Record.Part}
		return ObservedNew
	}
	if stored.ModRevision <= k.modRevision {
		return ObservedUnchanged
	}
	cancelled := stored.Record.CancelRequested && !k.cancelled
	k.modRevision, k.nonce, k.cancelled = stored.ModRevision, stored.Record.Nonce, stored.Record.CancelRequested
	if cancelled {
		return ObservedCancelled
	}
	return ObservedUnchanged
}

// Put queues a changed record that is written within about FlushInterval. A later change of the same record
// replaces one that still waits, and both get the result of the write.
func (b *Batch) Put(record structs.JobRecord) *Ticket { return b.put(record, FlushInterval) }

// PutLazy queues a changed record that nobody waits for; it is written within about LazyFlushInterval.
func (b *Batch) PutLazy(record structs.JobRecord) *Ticket { return b.put(record, LazyFlushInterval) }

func (b *Batch) put(record structs.JobRecord, within time.Duration) *Ticket {
	record = record.Clone()
	trimRecord(&record)
	if record.Final() && record.Finished.IsZero() {
		record.Finished = b.cfg.Clock().UTC()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.enqueue(entry{record: record}, within)
}

// enqueue adds a change to the queue. The caller holds mu.
func (b *Batch) enqueue(e entry, within time.Duration) *Ticket {
	id := e.record.ID
	if b.err != nil || b.known[id] == nil {
		e.ticket = newTicket()
		e.ticket.resolve(errors.Annotatef(firstError(b.err, ErrNotTracked), "job %s", id))
		return e.ticket
	}
	if waiting := b.queue[id]; waiting != nil {
		waiting.record, waiting.remove = e.record, e.remove
		e.ticket = waiting.ticket
	} else {
		e.ticket = newTicket()
		b.queue[id] = &e
		b.order = append(b.order, id)
	}
	if by := b.cfg.Clock().Add(within); b.promptBy.IsZero() || by.Before(b.promptBy) {
		b.promptBy = by
	}
	signal(b.wake)
	if len(b.order) >= MaxBatchRecords {
		signal(b.full)
	}
	return e.ticket
}

// forget drops what is known about a record and leaves a tombstone. The caller holds mu.
func (b *Batch) forget(id structs.JobID) {
	if k := b.known[id]; k != nil {
		b.gone[id] = tombstone{modRevision: k.modRevision, at: b.cfg.Clock()}
		delete(b.known, id)
	}
}

// Sweep queues the deletion of jobs in one record that finished more than Retention ago and returns their number.
func (b *Batch) Sweep() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Clock()
	for id, t := range b.gone {
		if now.Sub(t.at) > TombstoneRetention {
			delete(b.gone, id)
		}
	}
	count := 0
	for id, k := range b.known {
		if k.part.Count <= 1 && b.due(id, k, now) {
			b.enqueue(entry{record: structs.JobRecord{ID: id}, remove: true}, LazyFlushInterval)
			count++
		}
	}
	return count
}

// due reports whether a record finished more than Retention ago and is not about to be written. The caller holds mu.
func (b *Batch) due(id structs.JobID, k *known, now time.Time) bool {
	return expired(k.finished, now) && b.queue[id] == nil && b.err == nil
}

func expired(finished, now time.Time) bool {
	return !finished.IsZero() && !finished.After(now.Add(-Retention))
}

// Pending returns the number of changes that wait in the queue.
func (b *Batch) Pending() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.order)
}

// end resolves every waiting change with err and refuses later ones.
func (b *Batch) end(err error) {
	b.mu.Lock()
	waiting := b.queue
	b.queue, b.order, b.promptBy = map[structs.JobID]*entry{}, nil, time.Time{}
	b.err = firstError(b.err, err)
	b.mu.Unlock()
	for _, e := range waiting {
		e.ticket.resolve(err)
	}
}

// signal puts a token into a channel of capacity 1 unless one is there.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// Run writes queued changes until ctx ends or the shard has another owner. It returns ErrNotOwner or the error of
// ctx. Call Close afterwards to write what is left.
func (b *Batch) Run(ctx context.Context) error {
	sweep := time.NewTicker(SweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-sweep.C:
			b.Sweep()
			_ = b.SweepParts(ctx) // the error of the store; the next sweep tries again
		case <-b.wake:
			if err := b.flushQueue(ctx); err != nil {
				return err
			}
		}
	}
}

// flushQueue writes the queue, each transaction when its changes are due.
func (b *Batch) flushQueue(ctx context.Context) error {
	for b.unwritten() {
		b.awaitDue(ctx)
		err := b.Flush(ctx)
		if errors.Is(err, ErrNotOwner) || ctx.Err() != nil {
			return firstError(err, ctx.Err())
		}
		if err != nil {
			pause(ctx, RetryInterval, nil)
		}
	}
	return nil
}

// awaitDue waits until the earliest time at which a queued change has to be written, or a whole transaction is queued.
func (b *Batch) awaitDue(ctx context.Context) {
	for {
		b.mu.Lock()
		wait := b.promptBy.Sub(b.cfg.Clock())
		due := b.promptBy.IsZero() || wait <= 0 || len(b.order) >= MaxBatchRecords
		b.mu.Unlock()
		if due || ctx.Err() != nil {
			return
		}
		// A prompt change may arrive while lazy ones wait, so the wait is cut into FlushInterval.
		pause(ctx, min(wait, FlushInterval), b.full)
	}
}

// pause waits for d, the end of ctx, or a token in early.
func pause(ctx context.Context, d time.Duration, early <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-early:
	}
}

// unwritten reports whether a change waits in the queue or in an unsettled group.
func (b *Batch) unwritten() bool {
	b.flushing.Lock()
	open := b.group != nil
	b.flushing.Unlock()
	return open || b.Pending() > 0
}

// Close writes what is queued and ends the batch. Changes that could not be written get ErrClosed, and their
// result is not known if the store did not answer.
func (b *Batch) Close(ctx context.Context) error {
	var err error
	for b.unwritten() && ctx.Err() == nil {
		if err = b.Flush(ctx); errors.Is(err, ErrNotOwner) {
			return err
		}
		if err != nil {
			pause(ctx, RetryInterval, nil)
		}
	}
	b.flushing.Lock()
	defer b.flushing.Unlock()
	b.end(ErrClosed)
	if b.group != nil {
		b.group.fail(ErrClosed)
		b.group = nil
	}
	return firstError(ctx.Err(), err)
}
