package jobs

import (
	"context"
	"sync"
	"time"

	"fulmarcourse.example/core/structs"
)

// WaitInterval is the time between two reads of changes while callers wait for jobs.
const WaitInterval = time.Second

// Waiter lets many callers wait for jobs with one store read per WaitInterval for all of them. While nobody waits
// it reads nothing. Its methods may be called from many goroutines.
type Waiter struct {
	service *Service

	mu       sync.Mutex
	waiting  map[structs.JobID]map[chan structs.JobRecord]bool // each channel has capacity 1
	revision int64                                             // changes up to here have been delivered
	wake     chan struct{}                                     // capacity 1: a caller has begun to wait
}

// NewWaiter returns a Waiter that reads through service. Run delivers the changes.
func NewWaiter(service *Service) *Waiter {
	return &Waiter{service: service, waiting: map[structs.JobID]map[chan structs.JobRecord]bool{}, wake: make(chan struct{}, 1)}
}

// Wait returns the record of a job when all its tasks are final. When ctx ends first it returns the latest record
// known and the error of ctx. It fails with ErrNotFound or an error of the store if the first read fails.
func (w *Waiter) Wait(ctx context.Context, id structs.JobID) (structs.JobRecord, error) {
	changed := w.add(id)
	defer w.remove(id, changed)
	stored, err := w.service.Get(ctx, id) // after add, so that no change falls between the two
	if err != nil {
		return structs.JobRecord{}, err
	}
	record := stored.Record
	for !record.Final() {
		select {
		case record = <-changed:
		case <-ctx.Done():
			return record, ctx.Err()
		}
	}
	return record, nil
}

// Run reads changes for the waiting callers until ctx ends.
func (w *Waiter) Run(ctx context.Context) {
	ticker := time.NewTicker(WaitInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		}
		for w.active() && ctx.Err() == nil {
			w.Poll(ctx)
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}
}

// Poll reads the changes since the last call and hands them to the callers that wait for them. A failed read is
// made up for by the next one.
func (w *Waiter) Poll(ctx context.Context) {
	w.mu.Lock()
	since := w.revision
	w.mu.Unlock()
	loaded, err := w.service.Changes(ctx, since)
	if err != nil {
		w.service.cfg.Scope.Counter("wait_errors").Inc(1)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision = max(w.revision, loaded.Revision)
	for _, stored := range loaded.Jobs {
		for changed := range w.waiting[stored.Record.ID] {
			replace(changed, stored.Record)
		}
	}
}

// replace puts record into a channel of capacity 1 in place of an older one. Only Poll sends, under mu.
func replace(changed chan structs.JobRecord, record structs.JobRecord) {
	select {
	case <-changed:
	default:
	}
	changed <- record
}

func (w *Waiter) active() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.waiting) > 0
}

func (w *Waiter) add(id structs.JobID) chan structs.JobRecord {
	changed := make(chan structs.JobRecord, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting[id] == nil {
		w.waiting[id] = map[chan structs.JobRecord]bool{}
	}
	w.waiting[id][changed] = true
	signal(w.wake)
	return changed
}

func (w *Waiter) remove(id structs.JobID, changed chan structs.JobRecord) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if delete(w.waiting[id], changed); len(w.waiting[id]) == 0 {
		delete(w.waiting, id)
	}
}
