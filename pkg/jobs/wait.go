package jobs

import (
	"context"
	"sync"
	"time"

	"fulmarcourse.example/core/structs"
)

// WaitInterval is the time between two reads of changes while callers wait for jobs.
const WaitInterval = time.Second

// Waiter lets many callers wait for jobs with one store read per WaitInterval for all of them. It does not read the
// store while no caller waits. Its methods are safe for concurrent use.
type Waiter struct {
	service *Service

	mu       sync.Mutex
	waiting  map[structs.JobID]map[*waitCall]bool // by id of the whole job
	revision int64                                // changes up to it were delivered; 0 while no caller waits
	wake     chan struct{}                        // capacity 1; signals that a caller has begun to wait
}

// waitCall is one call of Wait.
type waitCall struct {
	changed chan struct{}            // capacity 1; signals that updates is not empty
	updates map[structs.JobID]Stored // records that changed since the latest applyUpdates; guarded by Waiter.mu
}

// NewWaiter returns a Waiter that reads through service. Run delivers the changes.
func NewWaiter(service *Service) *Waiter {
	return &Waiter{service: service, waiting: map[structs.JobID]map[*waitCall]bool{}, wake: make(chan struct{}, 1)}
}

// Wait returns the job when all its tasks are final, or its latest known state if until is closed first; until may be
// nil. It fails with ErrNotFound or an error of the store if the first read fails, and with the error of ctx if ctx
// ends.
func (w *Waiter) Wait(ctx context.Context, id structs.JobID, until <-chan struct{}) (structs.JobRecord, error) {
	call := w.register(id.WithoutPart())
	defer w.unregister(id.WithoutPart(), call)
	parts, revision, err := w.service.readParts(ctx, id) // after register, so that no change is missed
	if err != nil {
		return structs.JobRecord{}, err
	}
	w.startFrom(revision)
	for {
		record := assemble(recordsOf(parts))
		if record.Final() {
			return record, nil
		}
		select {
		case <-call.changed:
			w.applyUpdates(call, parts)
		case <-until:
			return record, nil
		case <-ctx.Done():
			return record, ctx.Err()
		}
	}
}

// startFrom makes Poll read the changes after the revision of a caller's first read. The caller is registered before
// that read, so it gets all of them. If another caller has read at an earlier revision, that one is kept.
func (w *Waiter) startFrom(revision int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.revision == 0 || revision < w.revision {
		w.revision = revision
	}
	signal(w.wake)
}

// applyUpdates replaces the parts for which the call has a newer record, and clears the updates of the call.
func (w *Waiter) applyUpdates(call *waitCall, parts []Stored) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range parts {
		if update, ok := call.updates[parts[i].Record.ID]; ok && update.ModRevision > parts[i].ModRevision {
			parts[i] = update
		}
	}
	clear(call.updates)
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
		for w.hasWaiters() && ctx.Err() == nil {
			w.Poll(ctx)
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}
}

// Poll reads the changes since the last successful call and delivers them to the callers that wait for them.
func (w *Waiter) Poll(ctx context.Context) {
	w.mu.Lock()
	since := w.revision
	w.mu.Unlock()
	if since == 0 {
		return // no caller has completed its first read
	}
	loaded, err := w.service.Changes(ctx, since)
	if err != nil {
		w.service.cfg.Scope.Counter("wait_errors").Inc(1)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.revision == since {
		w.revision = max(since, loaded.Revision) // else startFrom or unregister has changed it meanwhile
	}
	for _, stored := range loaded.Jobs {
		for call := range w.waiting[stored.Record.ID.WithoutPart()] {
			call.updates[stored.Record.ID] = stored
			signal(call.changed)
		}
	}
}

func (w *Waiter) hasWaiters() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.waiting) > 0
}

func (w *Waiter) register(id structs.JobID) *waitCall {
	call := &waitCall{changed: make(chan struct{}, 1), updates: map[structs.JobID]Stored{}}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting[id] == nil {
		w.waiting[id] = map[*waitCall]bool{}
	}
	w.waiting[id][call] = true
	return call
}

func (w *Waiter) unregister(id structs.JobID, call *waitCall) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if delete(w.waiting[id], call); len(w.waiting[id]) == 0 {
		delete(w.waiting, id)
	}
	if len(w.waiting) == 0 {
		w.revision = 0
	}
}
