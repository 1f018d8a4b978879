package jobs

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
)

// Guards against a wave of cancellations that loads the store with a call per job, or loses jobs of the wave.
func TestCancelManyInWaves(t *testing.T) {
	w := newWorld()
	var ids []structs.JobID
	for i := range 250 {
		ids = append(ids, w.submit(t, nil, fmt.Sprint("k", i), 1).ID)
	}
	ids = append(ids, "missing", ids[0])
	w.store.ResetCalls()
	results := w.service().CancelMany(context.Background(), ids)
	for i, r := range results {
		stored, _ := w.stored(r.ID)
		switch {
		case r.ID != ids[i]:
			t.Fatalf("result %d is for job %s, want %s", i, r.ID, ids[i])
		case r.ID == "missing" && !errors.Is(r.Err, ErrNotFound):
			t.Errorf("missing job: %v", r.Err)
		case r.ID != "missing" && (r.Err != nil || !stored.Record.CancelRequested):
			t.Errorf("job %d not cancelled: %v", i, r.Err)
		}
	}
	if limit := 3 * 3; w.store.Calls() > limit { // per wave: read, write, and a read that finds nothing left at most
		t.Errorf("%d store calls for 3 waves, limit %d", w.store.Calls(), limit)
	}
	if len(w.notified[testShard]) < 250 {
		t.Errorf("owner notified of %d jobs", len(w.notified[testShard]))
	}
}

// Guards against cancellations reported as failed, or as done when they are not, after lost answers.
func TestCancelLostAnswers(t *testing.T) {
	cases := []struct {
		name   string
		faults []fault
		want   error
	}{
		{"answer lost", []fault{lostAnswer}, nil},
		{"request lost", []fault{lostRequest}, nil},
		{"lands late", []fault{delayed}, nil},
		{"unreachable", []fault{unavailable}, ErrNotAccepted},
	}
	for _, c := range cases {
		w := newWorld()
		id := w.submit(t, nil, "k", 1).ID
		w.store.ScriptFaults(c.faults...)
		record, err := w.service().Cancel(context.Background(), id)
		stored, _ := w.stored(id)
		if !errors.Is(err, c.want) || stored.Record.CancelRequested != (c.want == nil) || record.CancelRequested != (c.want == nil) {
			t.Errorf("%s: %v, stored flag %v", c.name, err, stored.Record.CancelRequested)
		}
	}
	w := newWorld()
	id := w.submit(t, nil, "k", 1).ID
	w.store.ScriptFaults(slices.Repeat([]fault{lostRequest}, MaxCancelAttempts)...)
	if _, err := w.service().Cancel(context.Background(), id); !errors.Is(err, ErrUnknown) {
		t.Errorf("silent store: %v", err)
	}
}

// Guards against a cancellation that never succeeds, or loses the owner's changes, while the owner keeps writing.
func TestCancelAgainstBusyOwner(t *testing.T) {
	w := newWorld()
	var cancelled []structs.JobID
	batch := w.own(func(id structs.JobID) { cancelled = append(cancelled, id) })
	record := w.submit(t, batch, "k", 2)
	var ticket *Ticket
	for attempt := 1; attempt <= 5; attempt++ {
		record.Tasks[0].Attempt = attempt
		ticket = batch.Put(record)
		if attempt == 3 { // the owner writes between the read and the write of the cancellation
			w.store.BeforeWrite(func() { _ = batch.Flush(context.Background()) })
			if _, err := w.service().Cancel(context.Background(), record.ID); err != nil {
				t.Fatal(err)
			}
		}
		if err := batch.Flush(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	stored, _ := w.stored(record.ID)
	if outcome(ticket) != nil || !stored.Record.CancelRequested || stored.Record.Tasks[0].Attempt != 5 {
		t.Errorf("ticket %v, stored %+v", outcome(ticket), stored.Record)
	}
	if len(cancelled) != 1 {
		t.Errorf("owner was told of the cancellation %d times, want once", len(cancelled))
	}
}
