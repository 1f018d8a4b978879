package jobs

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
)

// Guards against many cancellations that load the store with a call per job, or that miss jobs.
func TestCancelManyInChunks(t *testing.T) {
	f := newFakes()
	var ids []structs.JobID
	for i := range 250 {
		ids = append(ids, f.submit(t, nil, fmt.Sprint("k", i), 1).ID)
	}
	ids = append(ids, "missing", ids[0])
	f.store.ResetCalls()
	results := f.service().CancelMany(context.Background(), ids)
	for i, r := range results {
		stored, _ := f.storedRecord(r.ID)
		switch {
		case r.ID != ids[i]:
			t.Fatalf("result %d is for job %s, want %s", i, r.ID, ids[i])
		case r.ID == "missing" && !errors.Is(r.Err, ErrNotFound):
			t.Errorf("missing job: %v", r.Err)
		case r.ID != "missing" && (r.Err != nil || !stored.Record.CancelRequested):
			t.Errorf("job %d not cancelled: %v", i, r.Err)
		}
	}
	if limit := 3 * 3; f.store.Calls() > limit { // per chunk at most a read, a write, and a read of remaining records
		t.Errorf("%d store calls for 3 chunks, limit %d", f.store.Calls(), limit)
	}
	if len(f.notified[testShard]) < 250 {
		t.Errorf("owner notified of %d jobs", len(f.notified[testShard]))
	}
}

// Guards against cancellations with a wrong reported result after lost responses.
func TestCancelLostResponses(t *testing.T) {
	cases := []struct {
		name   string
		faults []fault
		want   error
	}{
		{"response lost", []fault{lostResponse}, nil},
		{"request lost", []fault{lostRequest}, nil},
		{"write delayed", []fault{delayed}, nil},
		{"unreachable", []fault{unavailable}, ErrNotAccepted},
	}
	for _, c := range cases {
		f := newFakes()
		id := f.submit(t, nil, "k", 1).ID
		f.store.ScriptFaults(c.faults...)
		record, err := f.service().Cancel(context.Background(), id)
		stored, _ := f.storedRecord(id)
		if !errors.Is(err, c.want) || stored.Record.CancelRequested != (c.want == nil) || record.CancelRequested != (c.want == nil) {
			t.Errorf("%s: %v, stored flag %v", c.name, err, stored.Record.CancelRequested)
		}
	}
	f := newFakes()
	id := f.submit(t, nil, "k", 1).ID
	f.store.ScriptFaults(slices.Repeat([]fault{lostRequest}, MaxCancelAttempts)...)
	if _, err := f.service().Cancel(context.Background(), id); !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("unresponsive store: %v", err)
	}
}

// Guards against a cancellation that never succeeds, or overwrites the owner's changes, while the owner keeps writing.
func TestCancelAgainstBusyOwner(t *testing.T) {
	f := newFakes()
	var cancelled []structs.JobID
	batch := f.newOwnerBatch(func(id structs.JobID) { cancelled = append(cancelled, id) })
	record := f.submit(t, batch, "k", 2)
	var ticket *Ticket
	for attempt := 1; attempt <= 5; attempt++ {
		record.Tasks[0].Attempt = attempt
		ticket = batch.Put(record)
		if attempt == 3 { // the owner writes between the read and the write of the cancellation
			f.store.BeforeWrite(func() { _ = batch.Flush(context.Background()) })
			if _, err := f.service().Cancel(context.Background(), record.ID); err != nil {
				t.Fatal(err)
			}
		}
		if err := batch.Flush(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	stored, _ := f.storedRecord(record.ID)
	if ticketOutcome(ticket) != nil || !stored.Record.CancelRequested || stored.Record.Tasks[0].Attempt != 5 {
		t.Errorf("ticket %v, stored %+v", ticketOutcome(ticket), stored.Record)
	}
	if len(cancelled) != 1 {
		t.Errorf("owner was notified of the cancellation %d times, want once", len(cancelled))
	}
}
