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
// tickets that report a change as durable that is not stored.
func TestBatchKeepsEveryChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx, f := context.Background(), newFakes()
		batch := f.newOwnerBatch(nil)
		current, cancelled, latest := map[structs.JobID]structs.JobRecord{}, map[structs.JobID]bool{}, map[structs.JobID]*Ticket{}
		var ids []structs.JobID
		for i := range 4 {
			record, err := f.service().Submit(ctx, structs.JobSpec{Team: "gilders", Kind: "render", Tasks: 2, Key: fmt.Sprint(i)})
			if err != nil {
				t.Fatal(err)
			}
			stored, _ := f.storedRecord(record.ID)
			batch.Observe(stored)
			current[record.ID], ids = record, append(ids, record.ID)
		}
		f.store.RandomFaults(rapid.Uint64().Draw(t, "seed"), rapid.Float64Range(0, 0.7).Draw(t, "faults"))
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := rapid.SampledFrom(ids).Draw(t, "job")
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				record := current[id].Clone()
				record.Tasks[0].Attempt++
				current[id] = record
				latest[id] = batch.Put(record)
			case 1:
				if _, err := f.service().Cancel(ctx, id); err == nil {
					cancelled[id] = true
				}
			case 2:
				_ = batch.Flush(ctx) // injected store errors are expected; the changes are kept
			case 3:
				if loaded, err := f.service().Changes(ctx, 0); err == nil {
					for _, stored := range loaded.Jobs {
						batch.Observe(stored)
					}
				}
			}
		}
		f.store.Heal()
		for batch.hasUnwritten() {
			if err := batch.Flush(ctx); err != nil && !errors.Is(err, ErrContended) {
				t.Fatal(err)
			}
		}
		for _, id := range ids {
			stored, _ := f.storedRecord(id)
			if latest[id] != nil && ticketOutcome(latest[id]) != nil {
				t.Fatalf("change of %s: %v", id, ticketOutcome(latest[id]))
			}
			if stored.Record.Tasks[0].Attempt != current[id].Tasks[0].Attempt || (cancelled[id] && !stored.Record.CancelRequested) {
				t.Fatalf("stored %+v, want %+v, cancelled %v", stored.Record, current[id], cancelled[id])
			}
		}
	})
}

// Guards against a former owner that still changes records, also by a write that arrives after the takeover.
func TestBatchStopsWithoutOwnership(t *testing.T) {
	for _, first := range []fault{noFault, delayed} {
		f := newFakes()
		batch := f.newOwnerBatch(nil)
		record := f.submit(t, batch, "k", 1)
		record.Tasks[0].State = structs.TaskRunning
		ticket := batch.Put(record)
		if first == delayed {
			f.store.SetFaults(func(storetest.Call) fault { return delayed })
			if err := batch.Flush(context.Background()); err == nil {
				t.Fatal("flush succeeded without an answer")
			}
		}
		f.store.Remove(newKeyspace("trial").owner(testShard))
		f.newOwnerBatch(nil) // the next owner
		f.store.Heal()
		if err := batch.Flush(context.Background()); !errors.Is(err, ErrNotOwner) || !errors.Is(ticketOutcome(ticket), ErrNotOwner) {
			t.Errorf("flush %v, ticket %v", err, ticketOutcome(ticket))
		}
		if stored, _ := f.storedRecord(record.ID); stored.Record.Tasks[0].State != structs.TaskPending {
			t.Error("former owner changed a record")
		}
		if err := ticketOutcome(batch.Put(record)); !errors.Is(err, ErrNotOwner) {
			t.Errorf("later change: %v", err)
		}
	}
}

// Guards against a former owner that tracks a moved job again because of a read that was sent before the move. The job
// would then run in two shards.
func TestBatchIgnoresReadsFromBeforeAMove(t *testing.T) {
	f := newFakes()
	batch := f.newOwnerBatch(nil)
	record := f.submit(t, batch, "k", 1)
	before, _ := f.storedRecord(record.ID)
	other := structs.ShardID{Datacentre: "b", Index: 1}
	record.Home = other
	ticket := batch.Put(record)
	f.store.ScriptFaults(lostResponse)
	if err := batch.Flush(context.Background()); err != nil || ticketOutcome(ticket) != nil {
		t.Fatal(err, ticketOutcome(ticket))
	}
	if got := batch.Observe(before); got != ObservedUnchanged {
		t.Errorf("read from before the move: observation %d", got)
	}
	if err := ticketOutcome(batch.Put(record)); !errors.Is(err, ErrNotTracked) {
		t.Errorf("change of a job that has moved: %v", err)
	}
	if len(f.notified[other]) != 1 {
		t.Error("new home was not notified")
	}
	moved, _ := f.storedRecord(record.ID)
	moved.Record.Home, moved.ModRevision = testShard, moved.ModRevision+1
	if got := batch.Observe(moved); got != ObservedNew {
		t.Errorf("job that has moved back: observation %d", got)
	}
}

// Guards against finished jobs that stay in the store indefinitely, and against the deletion of open jobs.
func TestBatchDeletesFinishedJobs(t *testing.T) {
	f := newFakes()
	batch := f.newOwnerBatch(nil)
	done, open := f.submit(t, batch, "done", 1), f.submit(t, batch, "open", 1)
	done.Tasks[0].State = structs.TaskDone
	ticket := batch.Put(done)
	if err := batch.Flush(context.Background()); err != nil || ticketOutcome(ticket) != nil {
		t.Fatal(err)
	}
	f.now = f.now.Add(Retention - time.Second)
	if batch.Sweep() != 0 {
		t.Error("job swept before the retention time")
	}
	f.now = f.now.Add(2 * time.Second)
	if batch.Sweep() != 1 {
		t.Error("job not swept after the retention time")
	}
	f.store.ScriptFaults(lostResponse)
	if err := batch.Flush(context.Background()); err != nil {
		t.Fatal(err)
	}
	_, foundDone := f.storedRecord(done.ID)
	_, foundOpen := f.storedRecord(open.ID)
	if foundDone || !foundOpen {
		t.Errorf("done job stored: %v, open job stored: %v", foundDone, foundOpen)
	}
}

// Guards against a transaction that exceeds the store's limits, and against one oversized record that blocks the
// others.
func TestBatchLimitsTransactions(t *testing.T) {
	f := newFakes()
	batch := f.newOwnerBatch(nil)
	var tickets []*Ticket
	for i := range MaxBatchRecords + 1 {
		tickets = append(tickets, batch.Put(f.submit(t, batch, fmt.Sprint("k", i), 1)))
	}
	large := f.submit(t, batch, "large", 1)
	large.Tasks[0].Checkpoint = strings.Repeat("c", MaxRecordBytes)
	oversized := batch.Put(large)
	f.store.ResetCalls()
	for batch.hasUnwritten() {
		if err := batch.Flush(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
	if f.store.Calls() != 2 {
		t.Errorf("%d transactions, want 2", f.store.Calls())
	}
	for i, ticket := range tickets {
		if ticketOutcome(ticket) != nil {
			t.Errorf("change %d: %v", i, ticketOutcome(ticket))
		}
	}
	if !errors.Is(ticketOutcome(oversized), ErrRecordTooLarge) {
		t.Errorf("record beyond the limit: %v", ticketOutcome(oversized))
	}
}

// Guards against a change that is dropped without an error when a writer other than the owner changed the record.
func TestBatchReportsForeignWrites(t *testing.T) {
	f := newFakes()
	batch := f.newOwnerBatch(nil)
	record := f.submit(t, batch, "k", 1)
	foreign := record.Clone()
	foreign.Nonce = "foreign"
	value, err := encode(&foreign)
	if err != nil {
		t.Fatal(err)
	}
	f.store.Put(newKeyspace("trial").job(record.ID), value)
	ticket := batch.Put(record)
	if err := batch.Flush(context.Background()); err != nil || !errors.Is(ticketOutcome(ticket), ErrConflict) {
		t.Errorf("flush %v, ticket %v", err, ticketOutcome(ticket))
	}
	stored, _ := f.storedRecord(record.ID)
	if batch.Observe(stored) != ObservedNew {
		t.Error("the record is not observed as new")
	}
}

// Guards against a write loop that leaves changes unwritten, and against a Close that leaves tickets unresolved.
func TestBatchRunAndClose(t *testing.T) {
	f := newFakes()
	batch := f.newOwnerBatch(nil)
	batch.cfg.Clock = time.Now
	record := f.submit(t, batch, "k", 1)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	runCtx, stop := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() { ended <- batch.Run(runCtx) }()
	f.store.ScriptFaults(unavailable, lostResponse)
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
	if err := batch.Close(ctx); err != nil || ticketOutcome(last) != nil {
		t.Errorf("Close %v, last change %v", err, ticketOutcome(last))
	}
	if err := ticketOutcome(batch.Put(record)); !errors.Is(err, ErrClosed) {
		t.Errorf("change after Close: %v", err)
	}
}

// Guards against one undecodable record that prevents an owner from loading the others, and against loads that leave
// out the undecodable record, jobs of the shard, or later changes.
func TestLoadHomeAndChanges(t *testing.T) {
	ctx, f := context.Background(), newFakes()
	mine := f.submit(t, nil, "mine", 1)
	f.shards[0].Digest.Shard = structs.ShardID{Datacentre: "b"}
	other := f.submit(t, nil, "other", 1)
	f.store.Put(newKeyspace("trial").job("broken"), []byte("{"))
	loaded, err := f.service().LoadHome(ctx, testShard)
	if err != nil || len(loaded.Jobs) != 1 || loaded.Jobs[0].Record.ID != mine.ID || len(loaded.Undecodable) != 1 || loaded.Undecodable[0] != "broken" {
		t.Fatalf("loaded %+v %v", loaded, err)
	}
	if _, err := f.service().Cancel(ctx, other.ID); err != nil {
		t.Fatal(err)
	}
	changes, err := f.service().Changes(ctx, loaded.Revision)
	if err != nil || len(changes.Jobs) != 1 || !changes.Jobs[0].Record.CancelRequested {
		t.Fatalf("changes %+v %v", changes, err)
	}
	jobs, err := f.service().List(ctx, Filter{Team: "gilders", Open: true, Limit: 1})
	if err != nil || len(jobs) != 1 {
		t.Fatalf("list %v %v", jobs, err)
	}
	if _, err := f.service().Get(ctx, "missing"); !errors.Is(err, ErrNotFound) {
		t.Errorf("missing job: %v", err)
	}
}
