package jobs

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/store/storetest"
)

// Guards against lost or repeated changes of an owner under store faults, against lost cancellations, and against
// tickets that report a result that is not stored.
func TestBatchKeepsEveryChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx, w := context.Background(), newWorld()
		batch := w.own(nil)
		current, cancelled, latest := map[structs.JobID]structs.JobRecord{}, map[structs.JobID]bool{}, map[structs.JobID]*Ticket{}
		var ids []structs.JobID
		for i := range 4 {
			record, err := w.service().Submit(ctx, structs.JobSpec{Team: "gilders", Kind: "render", Tasks: 2, Key: fmt.Sprint(i)})
			if err != nil {
				t.Fatal(err)
			}
			stored, _ := w.stored(record.ID)
			batch.Observe(stored)
			current[record.ID], ids = record, append(ids, record.ID)
		}
		w.store.RandomFaults(rapid.Uint64().Draw(t, "seed"), rapid.Float64Range(0, 0.7).Draw(t, "faults"))
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := rapid.SampledFrom(ids).Draw(t, "job")
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				record := current[id].Clone()
				record.Tasks[0].Attempt++
				current[id] = record
				latest[id] = batch.Put(record)
			case 1:
				if _, err := w.service().Cancel(ctx, id); err == nil {
					cancelled[id] = true
				}
			case 2:
				_ = batch.Flush(ctx) // the error of a faulty store; the change is kept
			case 3:
				if loaded, err := w.service().Changes(ctx, 0); err == nil {
					for _, stored := range loaded.Jobs {
						batch.Observe(stored)
					}
				}
			}
		}
		w.store.Heal()
		for batch.unwritten() {
			if err := batch.Flush(ctx); err != nil && !errors.Is(err, ErrContended) {
				t.Fatal(err)
			}
		}
		for _, id := range ids {
			stored, _ := w.stored(id)
			if latest[id] != nil && outcome(latest[id]) != nil {
				t.Fatalf("change of %s: %v", id, outcome(latest[id]))
			}
			if stored.Record.Tasks[0].Attempt != current[id].Tasks[0].Attempt || (cancelled[id] && !stored.Record.CancelRequested) {
				t.Fatalf("stored %+v, want %+v, cancelled %v", stored.Record, current[id], cancelled[id])
			}
		}
	})
}

// Guards against a former owner that still changes records, also through a write that lands after the takeover.
func TestBatchStopsWithoutOwnership(t *testing.T) {
	for _, first := range []fault{noFault, delayed} {
		w := newWorld()
		batch := w.own(nil)
		record := w.submit(t, batch, "k", 1)
		record.Tasks[0].State = structs.TaskRunning
		ticket := batch.Put(record)
		if first == delayed {
			w.store.SetFaults(func(storetest.Call) fault { return delayed })
			if err := batch.Flush(context.Background()); err == nil {
				t.Fatal("flush succeeded without an answer")
			}
		}
		w.store.Remove(newKeyspace("trial").owner(testShard))
		w.own(nil) // the next owner
		w.store.Heal()
		if err := batch.Flush(context.Background()); !errors.Is(err, ErrNotOwner) || !errors.Is(outcome(ticket), ErrNotOwner) {
			t.Errorf("flush %v, ticket %v", err, outcome(ticket))
		}
		if stored, _ := w.stored(record.ID); stored.Record.Tasks[0].State != structs.TaskPending {
			t.Error("former owner changed a record")
		}
		if err := outcome(batch.Put(record)); !errors.Is(err, ErrNotOwner) {
			t.Errorf("later change: %v", err)
		}
	}
}

// Guards against a job that returns to its former home by a read that was sent before it moved. It would then run
// in two places.
func TestBatchIgnoresReadsFromBeforeAMove(t *testing.T) {
	w := newWorld()
	batch := w.own(nil)
	record := w.submit(t, batch, "k", 1)
	before, _ := w.stored(record.ID)
	other := structs.ShardID{Datacentre: "b", Index: 1}
	record.Home = other
	ticket := batch.Put(record)
	w.store.ScriptFaults(lostAnswer)
	if err := batch.Flush(context.Background()); err != nil || outcome(ticket) != nil {
		t.Fatal(err, outcome(ticket))
	}
	if got := batch.Observe(before); got != ObservedOld {
		t.Errorf("read from before the move: observation %d", got)
	}
	if err := outcome(batch.Put(record)); !errors.Is(err, ErrNotTracked) {
		t.Errorf("change of a job that has moved: %v", err)
	}
	if len(w.notified[other]) != 1 {
		t.Error("new home was not notified")
	}
	moved, _ := w.stored(record.ID)
	moved.Record.Home, moved.ModRevision = testShard, moved.ModRevision+1
	if got := batch.Observe(moved); got != ObservedNew {
		t.Errorf("job that has come back: observation %d", got)
	}
}

// Guards against finished jobs that fill the store, and against the deletion of others.
func TestBatchDeletesFinishedJobs(t *testing.T) {
	w := newWorld()
	batch := w.own(nil)
	done, open := w.submit(t, batch, "done", 1), w.submit(t, batch, "open", 1)
	done.Tasks[0].State = structs.TaskDone
	ticket := batch.Put(done)
	if err := batch.Flush(context.Background()); err != nil || outcome(ticket) != nil {
		t.Fatal(err)
	}
	w.now = w.now.Add(Retention - time.Second)
	if batch.Sweep() != 0 {
		t.Error("job swept before the retention time")
	}
	w.now = w.now.Add(2 * time.Second)
	if batch.Sweep() != 1 {
		t.Error("job not swept after the retention time")
	}
	w.store.ScriptFaults(lostAnswer)
	if err := batch.Flush(context.Background()); err != nil {
		t.Fatal(err)
	}
	_, foundDone := w.stored(done.ID)
	_, foundOpen := w.stored(open.ID)
	if foundDone || !foundOpen {
		t.Errorf("done job stored: %v, open job stored: %v", foundDone, foundOpen)
	}
}

// Guards against a transaction beyond the store's limits, and against one record that keeps the others waiting.
func TestBatchLimitsTransactions(t *testing.T) {
	w := newWorld()
	batch := w.own(nil)
	var tickets []*Ticket
	for i := range MaxBatchRecords + 1 {
		tickets = append(tickets, batch.Put(w.submit(t, batch, fmt.Sprint("k", i), 1)))
	}
	large := w.submit(t, batch, "large", 1)
	large.Tasks[0].Checkpoint = strings.Repeat("c", MaxRecordBytes)
	oversized := batch.Put(large)
	w.store.ResetCalls()
	for batch.unwritten() {
		if err := batch.Flush(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	if w.store.Calls() != 2 {
		t.Errorf("%d transactions, want 2", w.store.Calls())
	}
	for i, ticket := range tickets {
		if outcome(ticket) != nil {
			t.Errorf("change %d: %v", i, outcome(ticket))
		}
	}
	if !errors.Is(outcome(oversized), ErrRecordTooLarge) {
		t.Errorf("record beyond the limit: %v", outcome(oversized))
	}
}

// Guards against a change that is dropped when a stranger wrote the record: the owner has to hear of it.
func TestBatchReportsForeignWrites(t *testing.T) {
	w := newWorld()
	batch := w.own(nil)
	record := w.submit(t, batch, "k", 1)
	foreign := record.Clone()
	foreign.Nonce = "foreign"
	value, err := encode(&foreign)
	if err != nil {
		t.Fatal(err)
	}
	w.store.Put(newKeyspace("trial").job(record.ID), value)
	ticket := batch.Put(record)
	if err := batch.Flush(context.Background()); err != nil || !errors.Is(outcome(ticket), ErrConflict) {
		t.Errorf("flush %v, ticket %v", err, outcome(ticket))
	}
	stored, _ := w.stored(record.ID)
	if batch.Observe(stored) != ObservedNew {
		t.Error("the record is not observed anew")
	}
}

// Guards against a write loop that leaves changes behind, and against a Close that leaves tickets open.
func TestBatchRunAndClose(t *testing.T) {
	w := newWorld()
	batch := w.own(nil)
	batch.cfg.Clock = time.Now
	record := w.submit(t, batch, "k", 1)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	runCtx, stop := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() { ended <- batch.Run(runCtx) }()
	w.store.ScriptFaults(unavailable, lostAnswer)
	if err := batch.Put(record).Wait(ctx); err != nil {
		t.Fatal(err)
	}
	if err := batch.PutLazy(record).Wait(ctx); err != nil {
		t.Fatal(err)
	}
	stop()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Errorf("Run ended with %v", err)
	}
	last := batch.PutLazy(record)
	if err := batch.Close(ctx); err != nil || outcome(last) != nil {
		t.Errorf("Close %v, last change %v", err, outcome(last))
	}
	if err := outcome(batch.Put(record)); !errors.Is(err, ErrClosed) {
		t.Errorf("change after Close: %v", err)
	}
}

// Guards against one unreadable record that keeps an owner from loading the others, and against an owner that does
// not learn of it, of jobs of its shard, or of changes since.
func TestLoadHomeAndChanges(t *testing.T) {
	ctx, w := context.Background(), newWorld()
	mine := w.submit(t, nil, "mine", 1)
	w.shards[0].Digest.Shard = structs.ShardID{Datacentre: "b"}
	other := w.submit(t, nil, "other", 1)
	w.store.Put(newKeyspace("trial").job("broken"), []byte("{"))
	loaded, err := w.service().LoadHome(ctx, testShard)
	if err != nil || len(loaded.Jobs) != 1 || loaded.Jobs[0].Record.ID != mine.ID || len(loaded.Broken) != 1 || loaded.Broken[0] != "broken" {
		t.Fatalf("loaded %+v %v", loaded, err)
	}
	if _, err := w.service().Cancel(ctx, other.ID); err != nil {
		t.Fatal(err)
	}
	changes, err := w.service().Changes(ctx, loaded.Revision)
	if err != nil || len(changes.Jobs) != 1 || !changes.Jobs[0].Record.CancelRequested {
		t.Fatalf("changes %+v %v", changes, err)
	}
	jobs, err := w.service().List(ctx, Filter{Team: "gilders", Open: true, Limit: 1})
	if err != nil || len(jobs) != 1 {
		t.Fatalf("list %v %v", jobs, err)
	}
	if _, err := w.service().Get(ctx, "missing"); !errors.Is(err, ErrNotFound) {
		t.Errorf("missing job: %v", err)
	}
}
