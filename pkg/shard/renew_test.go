package shard

import (
	"testing"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/jobs"
)

// Guards against a second run of a task: an inventory that the worker took before a start command arrived lacks the
// attempt although it runs by the time the inventory is read.
func TestInventoryTakenBeforeTheStartArrived(t *testing.T) {
	w := newWorld()
	w.records = []jobs.Stored{storedJob("j", "trace", pendingTask())}
	w.startTime = 10 * time.Millisecond
	l := newTestLoop(t, w)
	for len(w.starts) == 0 {
		step(t, l, w, time.Second)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, rec := l.table.task(w.starts[0].Task)
	l.applyInventory(l.table.workers[rec.Worker], structs.Inventory{Worker: rec.Worker}, w.now.Add(-w.startTime/2))
	if rec.State != structs.TaskRunning {
		t.Fatalf("the task is %s (%s) while it runs", rec.State, rec.Reason)
	}
}

// Guards against tasks that run on in a data centre without the store after another host may have moved their jobs.
func TestLeasesEndWithoutStoreContact(t *testing.T) {
	w := newWorld()
	w.contact = w.now
	l := newTestLoop(t, w)
	step(t, l, w, 0)
	step(t, l, w, time.Minute)
	if w.lease != TaskLeaseTTL {
		t.Fatalf("lease of %v a minute after the last store contact", w.lease)
	}
	step(t, l, w, TaskHorizon-time.Minute-TaskLeaseTTL)
	if w.lease != 0 {
		t.Fatalf("lease of %v at the horizon", w.lease)
	}
}

// Guards against a task that starts in a data centre without the store after another host may have moved its job. Peers
// may still relay the permit to start.
func TestNothingStartsBeyondTheHorizon(t *testing.T) {
	w := newWorld()
	w.records = []jobs.Stored{storedJob("j", "trace", pendingTask())}
	w.contact = w.now.Add(TaskLeaseTTL - TaskHorizon)
	l := newTestLoop(t, w)
	for range 5 {
		step(t, l, w, time.Second)
	}
	if len(w.starts) > 0 {
		t.Errorf("%d starts beyond the horizon", len(w.starts))
	}
	w.contact = w.now
	for range 5 {
		step(t, l, w, time.Second)
	}
	if len(w.starts) != 1 {
		t.Fatalf("%d starts before the horizon, want 1", len(w.starts))
	}
	if got := w.starts[0].JobTask; got != w.starts[0].Task {
		t.Errorf("task of an undivided job is numbered %v, want %v", got, w.starts[0].Task)
	}
}

// Guards against renewals and starts that wait for a store which does not answer.
func TestSilentStoreHoldsUpNothing(t *testing.T) {
	w := newWorld()
	w.records = []jobs.Stored{storedJob("j", "trace", pendingTask())}
	l := newTestLoop(t, w)
	step(t, l, w, 0)
	step(t, l, w, time.Second)
	w.mu.Lock()
	w.storeAnswers = make(chan struct{})
	w.lease = 0
	w.mu.Unlock()
	w.advance(time.Second)
	var due schedule
	l.cycle(t.Context(), &due) // returns although the read of changes does not
	close(w.storeAnswers)
	l.calls.Wait()
	if w.lease != TaskLeaseTTL {
		t.Fatalf("lease of %v while the store was silent", w.lease)
	}
}

// Guards against submissions that are refused, and starts that wait for the next renewal, right after a shard was
// acquired: its workers are listed, and their inventories are wanted as soon as the records are read.
func TestAcquiredShardIsUsableAtOnce(t *testing.T) {
	w := newWorld()
	l := newTestLoop(t, w)
	step(t, l, w, 0)
	if got := l.Digest().Largest.MilliCPU; got != 4000 {
		t.Errorf("largest worker of %dm before any inventory was matched", got)
	}
	due := schedule{renew: w.clock().Add(time.Hour)}
	l.cycle(t.Context(), &due)
	l.calls.Wait()
	if free := l.Digest().Free.MilliCPU; free != 8000 {
		t.Errorf("%dm free after the records were read", free)
	}
}
