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
	OnCancel    func(id structs.JobID) // called by Flush without mu; must not call Flush or Close; may be nil
	Clock       func() time.Time       // time.Now when nil
	Scope       tally.Scope            // tally.NoopScope when nil
	Log         *eventlog.Logger       // discarded when nil
}

// Batch writes the job records of one shard for its owner. It collects changed records and writes them in one
// transaction (group commit: DeWitt et al., "Implementation techniques for main memory database systems", 1984),
// which compares the create revision of the shard's owner record and the revision of each record. A Batch is used
// for one period of ownership.
//
// Lock order: flushing, then mu. mu is never held during a store call.
type Batch struct {
	cfg    BatchConfig
	keys   keyspace
	tracer trace.Tracer
	wake   chan struct{} // capacity 1; signals that a change was queued
	full   chan struct{} // capacity 1; signals that MaxBatchRecords changes are queued

	flushing sync.Mutex   // held during Flush; guards group
	group    *commitGroup // the transaction in progress; nil when its outcome is known

	mu         sync.Mutex
	tracked    map[structs.JobID]*trackedRecord
	tombstones map[structs.JobID]tombstone
	queue      map[structs.JobID]*queuedChange
	order      []structs.JobID // keys of queue, oldest first
	flushBy    time.Time       // when the queue has to be written; zero when it is empty
	err        error           // why the batch has ended; nil before
}

// trackedRecord is the latest known state of a stored record.
type trackedRecord struct {
	modRevision int64
	nonce       string    // of the latest write by an owner
	cancelled   bool      // CancelRequested is stored
	finished    time.Time // zero while the record has open tasks
	part        structs.JobPart
}

// tombstone marks a record that was deleted or moved to another shard. A read that was sent before must not make the
// batch track the record again, since the job may already run in another shard.
type tombstone struct {
	modRevision int64     // last revision at which the record was homed in this shard
	createdAt   time.Time // when the record was deleted or moved
}

// queuedChange is a change that waits to be written.
type queuedChange struct {
	record structs.JobRecord // only the ID is set for a deletion
	remove bool
	ticket *Ticket
}

// NewBatch returns a Batch that tracks no records. The owner passes the records of LoadHome to Observe before it
// changes them.
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
		tracked: map[structs.JobID]*trackedRecord{}, tombstones: map[structs.JobID]tombstone{}, queue: map[structs.JobID]*queuedChange{},
	}
}

// Observation classifies a record read from the store by what the owner has to do.
type Observation int

// Observations. The owner's own copy of a job stays valid except after ObservedNew.
const (
	ObservedUnchanged Observation = iota // no change for the owner: observed before or written by this batch
	ObservedNew                          // not tracked before: the owner has to add the job
	ObservedCancelled                    // a cancellation was requested
	ObservedMoved                        // the job has another home and is no longer tracked
)

// Observe updates the tracked state from a record returned by LoadHome or Changes.
func (b *Batch) Observe(stored Stored) Observation {
	b.mu.Lock()
	defer b.mu.Unlock()
	id := stored.Record.ID
	k := b.tracked[id]
	if stored.Record.Home != b.cfg.Shard {
		if k == nil || stored.ModRevision <= k.modRevision {
			return ObservedUnchanged
		}
		b.untrack(id)
		return ObservedMoved
	}
	if k == nil && stored.ModRevision <= b.tombstones[id].modRevision {
		return ObservedUnchanged
	}
	if k == nil {
		delete(b.tombstones, id)
		b.tracked[id] = &trackedRecord{stored.ModRevision, stored.Record.Nonce, stored.Record.CancelRequested, stored.Record.Finished, stored.Record.Part}
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

// Put queues a changed record, which is written within about FlushInterval. A later change of the same record replaces
// a change that is still queued, and both get the outcome of the write.
func (b *Batch) Put(record structs.JobRecord) *Ticket { return b.put(record, FlushInterval) }

// PutLazy queues a changed record whose outcome no caller waits for. It is written within about LazyFlushInterval.
func (b *Batch) PutLazy(record structs.JobRecord) *Ticket { return b.put(record, LazyFlushInterval) }

func (b *Batch) put(record structs.JobRecord, within time.Duration) *Ticket {
	record = record.Clone()
	trimRecord(&record)
	if record.Final() && record.Finished.IsZero() {
		record.Finished = b.cfg.Clock().UTC()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.enqueue(queuedChange{record: record}, within)
}

// enqueue adds a change to the queue. The caller holds mu.
func (b *Batch) enqueue(e queuedChange, within time.Duration) *Ticket {
	id := e.record.ID
	if b.err != nil || b.tracked[id] == nil {
		e.ticket = newTicket()
		e.ticket.resolve(errors.Annotatef(firstError(b.err, ErrNotTracked), "job %s", id))
		return e.ticket
	}
	if queued := b.queue[id]; queued != nil {
		queued.record, queued.remove = e.record, e.remove
		e.ticket = queued.ticket
	} else {
		e.ticket = newTicket()
		b.queue[id] = &e
		b.order = append(b.order, id)
	}
	if by := b.cfg.Clock().Add(within); b.flushBy.IsZero() || by.Before(b.flushBy) {
		b.flushBy = by
	}
	signal(b.wake)
	if len(b.order) >= MaxBatchRecords {
		signal(b.full)
	}
	return e.ticket
}

// untrack stops tracking a record and adds a tombstone for it. The caller holds mu.
func (b *Batch) untrack(id structs.JobID) {
	if k := b.tracked[id]; k != nil {
		b.tombstones[id] = tombstone{modRevision: k.modRevision, createdAt: b.cfg.Clock()}
		delete(b.tracked, id)
	}
}

// Sweep queues the deletion of jobs that are stored in one record and finished more than Retention ago, and returns
// their number. It also removes tombstones older than TombstoneRetention.
func (b *Batch) Sweep() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Clock()
	for id, t := range b.tombstones {
		if now.Sub(t.createdAt) > TombstoneRetention {
			delete(b.tombstones, id)
		}
	}
	count := 0
	for id, k := range b.tracked {
		if k.part.Count <= 1 && b.deletable(id, k, now) {
			b.enqueue(queuedChange{record: structs.JobRecord{ID: id}, remove: true}, LazyFlushInterval)
			count++
		}
	}
	return count
}

// deletable reports whether a record finished more than Retention ago and has no queued change. The caller holds mu.
func (b *Batch) deletable(id structs.JobID, k *trackedRecord, now time.Time) bool {
	return expired(k.finished, now) && b.queue[id] == nil && b.err == nil
}

func expired(finished, now time.Time) bool {
	return !finished.IsZero() && !finished.After(now.Add(-Retention))
}

// QueuedChanges returns the number of queued changes.
func (b *Batch) QueuedChanges() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.order)
}

// end resolves every queued change with err and makes later changes fail.
func (b *Batch) end(err error) {
	b.mu.Lock()
	queued := b.queue
	b.queue, b.order, b.flushBy = map[structs.JobID]*queuedChange{}, nil, time.Time{}
	b.err = firstError(b.err, err)
	b.mu.Unlock()
	for _, e := range queued {
		e.ticket.resolve(err)
	}
}

// signal sends to a channel of capacity 1 unless the channel is full.
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

// Run writes queued changes until ctx ends or this host no longer owns the shard. It returns ErrNotOwner or the error
// of ctx. Call Close afterwards to write the remaining changes.
func (b *Batch) Run(ctx context.Context) error {
	sweep := time.NewTicker(SweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-sweep.C:
			b.Sweep()
			_ = b.SweepParts(ctx) // on an error of the store the next sweep tries again
		case <-b.wake:
			if err := b.flushQueue(ctx); err != nil {
				return err
			}
		}
	}
}

// flushQueue writes transactions, each when its changes are due, until nothing is left to write.
func (b *Batch) flushQueue(ctx context.Context) error {
	for b.hasUnwritten() {
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

// awaitDue waits until a queued change has to be written, or until MaxBatchRecords changes are queued.
func (b *Batch) awaitDue(ctx context.Context) {
	for {
		b.mu.Lock()
		wait := b.flushBy.Sub(b.cfg.Clock())
		due := b.flushBy.IsZero() || wait <= 0 || len(b.order) >= MaxBatchRecords
		b.mu.Unlock()
		if due || ctx.Err() != nil {
			return
		}
		// A prompt change may be queued while lazy ones wait, so flushBy is read again every FlushInterval.
		pause(ctx, min(wait, FlushInterval), b.full)
	}
}

// pause waits for d, the end of ctx, or a value from interrupt, whichever comes first.
func pause(ctx context.Context, d time.Duration, interrupt <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-interrupt:
	}
}

// hasUnwritten reports whether a change is queued or belongs to a transaction whose outcome is unknown.
func (b *Batch) hasUnwritten() bool {
	b.flushing.Lock()
	inProgress := b.group != nil
	b.flushing.Unlock()
	return inProgress || b.QueuedChanges() > 0
}

// Close writes the queued changes and ends the batch. Changes that could not be written before ctx ends get ErrClosed.
// Their outcome is unknown if the store did not answer.
func (b *Batch) Close(ctx context.Context) error {
	var err error
	for b.hasUnwritten() && ctx.Err() == nil {
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
