package jobs

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
)

// Guards against callers that wait for ever although their job is done, return before that, or stay registered.
func TestWaitersShareReads(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	w := newWorld()
	batch := w.own(nil)
	record := w.submit(t, batch, "k", 1)
	waiter := NewWaiter(w.service())
	results := make(chan error, 20)
	for range cap(results) {
		go func() {
			got, err := waiter.Wait(ctx, record.ID)
			if err == nil && got.Tasks[0].State != structs.TaskDone {
				err = errors.New("job returned before its end")
			}
			results <- err
		}()
	}
	record.Tasks[0].State = structs.TaskDone
	ticket := batch.Put(record)
	if err := batch.Flush(ctx); err != nil || outcome(ticket) != nil {
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
	if waiter.active() {
		t.Error("a caller that has returned is still registered")
	}
	if _, err := waiter.Wait(ctx, "missing"); !errors.Is(err, ErrNotFound) {
		t.Errorf("missing job: %v", err)
	}
}
