package jobs

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
)

// Guards against callers that wait indefinitely although their job is done, return before it is done, or stay
// registered.
func TestWaitersShareReads(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	f := newFakes()
	batch := f.newOwnerBatch(nil)
	record := f.submit(t, batch, "k", 1)
	waiter := NewWaiter(f.service())
	results := make(chan error, 20)
	for range cap(results) {
		go func() {
			got, err := waiter.Wait(ctx, record.ID, nil)
			if err == nil && got.Tasks[0].State != structs.TaskDone {
				err = errors.New("job returned before its end")
			}
			results <- err
		}()
	}
	record.Tasks[0].State = structs.TaskDone
	ticket := batch.Put(record)
	if err := batch.Flush(ctx); err != nil || ticketOutcome(ticket) != nil {
		t.Fatal(err)
	}
	for n := 0; n < cap(results); {
		waiter.Poll(ctx)
		select {
		case err := <-results:
			n++
			if err != nil {
				t.Fatal(err)
			}
		default:
		}
	}
	if waiter.hasWaiters() {
		t.Error("a caller that has returned is still registered")
	}
	if _, err := waiter.Wait(ctx, "missing", nil); !errors.Is(err, ErrNotFound) {
		t.Errorf("missing job: %v", err)
	}
}

// Guards against a wait that continues after until is closed, and against reading all records of the environment for
// the first caller.
func TestWaitEndsAndReadsOnlyChanges(t *testing.T) {
	f := newFakes()
	record := f.submit(t, nil, "k", 1)
	waiter := NewWaiter(f.service())
	until, result := make(chan struct{}), make(chan error, 1)
	go func() {
		got, err := waiter.Wait(context.Background(), record.ID, until)
		if err == nil && got.ID != record.ID {
			err = errors.New("the latest state is missing")
		}
		result <- err
	}()
	for started := false; !started; {
		waiter.mu.Lock()
		started = waiter.revision > 0
		waiter.mu.Unlock()
	}
	stored, _ := f.storedRecord(record.ID)
	waiter.mu.Lock()
	if waiter.revision < stored.ModRevision {
		t.Errorf("reads start at revision %d, the job was stored at %d", waiter.revision, stored.ModRevision)
	}
	waiter.mu.Unlock()
	close(until)
	if err := <-result; err != nil {
		t.Error(err)
	}
	if waiter.revision != 0 {
		t.Error("the next caller starts at an old revision")
	}
}
