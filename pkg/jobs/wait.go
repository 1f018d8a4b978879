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
	waiting  map[structs.JobID]map[*waitCall]bool // by id of the whole job
	revision int64                                // changes up to here have been delivered; 0 while nobody waits
	wake     chan struct{}                        // capacity 1: a caller has begun to wait
}

// waitCall is one call of Wait.
type waitCall struct {
	changed chan struct{}            // capacity 1: news is not empty
	news    map[structs.JobID]Stored // changed records since the caller last looked; guarded by Waiter.mu
}

// NewWaiter returns a Waiter that reads through service. Run delivers the changes.
func NewWaiter(service *Service) *Waiter {
	return &Waiter{service: service, waiting: map[structs.JobID]map[*waitCall]bool{}, wake: make(chan struct{}, 1)}
}

// Wait returns the job when all its tasks are final, or its latest known state when until is closed first; a nil until
// never is. It fails with ErrNotFound or an error of the store if the first read fails, and with the error of ctx.
func (w *Waiter) Wait(ctx context.Context, id structs.JobID, until <-chan struct{}) (structs.JobRecord, error) {
	call := w.add(id.WithoutPart())
	defer w.remove(id.WithoutPart(), call)
	parts, revision, err := w.service.readParts(ctx, id) // after add, so that no change falls between the two
	if err != nil {
		return structs.JobRecord{}, err
	}
	w.start(revision)
	for {
		record := assemble(recordsOf(parts))
		if record.Final() {
			return record, nil
		}
		select {
		case <-call.changed:
			w.update(call, parts)
		case <-until:
			return record, nil
		case <-ctx.Done():
			return record, ctx.Err()
		}
	}
}

// start lets Poll begin at the revision of a caller's first read. All changes after it are delivered to the caller,
// who was registered before. A read by another caller may have been earlier.
func (w *Waiter) start(revision int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.revision == 0 || revision < w.revision {
		w.revision = revision
	}
	signal(w.wake)
}

// update takes the news of a call over into parts.
func (w *Waiter) update(call *waitCall, parts []Stored) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range parts {
		if news, ok := call.news[parts[i].Record.ID]; ok && news.ModRevision > parts[i].ModRevision {
			parts[i] = news
		}
	}
	clear(call.news)
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
	if since == 0 {
		return // no caller has read its job yet
	}
	loaded, err := w.service.Changes(ctx, since)
	if err != nil {
		w.service.cfg.Scope.Counter("wait_errors").Inc(1)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.revision == since {
		w.revision = max(since, loaded.Revision) // else a caller has begun with an earlier read
	}
	for _, stored := range loaded.Jobs {
		for call := range w.waiting[stored.Record.ID.WithoutPart()] {
			call.news[stored.Record.ID] = stored
			signal(call.changed)
		}
	}
}

func (w *Waiter) active() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.waiting) > 0
}

func (w *Waiter) add(id structs.JobID) *waitCall {
	call := &waitCall{changed: make(chan struct{}, 1), news: map[structs.JobID]Stored{}}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting[id] == nil {
		w.waiting[id] = map[*waitCall]bool{}
	}
	w.waiting[id][call] = true
	return call
}

func (w *Waiter) remove(id structs.JobID, call *waitCall) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if delete(w.waiting[id], call); len(w.waiting[id]) == 0 {
		delete(w.waiting, id)
	}
	if len(w.waiting) == 0 {
		w.revision = 0
	}
}
