package shard

import (
	"testing"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/jobs"
)

// Guards against a second run of a task: an inventory that the worker took before a start command arrived does not
// contain the attempt, although the attempt runs by the time the inventory is applied.
func TestInventoryTakenBeforeTheStartArrived(t *testing.T) {
	f := newFakes()
	f.records = []jobs.Stored{storedJob("j", "trace", pendingTask())}
	f.startLatency = 10 * time.Millisecond
	l := newTestLoop(t, f)
	for len(f.starts) == 0 {
		step(t, l, f, time.Second)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, rec := l.table.task(f.starts[0].Task)
	l.applyInventory(l.table.workers[rec.Worker], structs.Inventory{Worker: rec.Worker}, f.now.Add(-f.startLatency/2))
	if rec.State != structs.TaskRunning {
		t.Fatalf("task is %s (%s) while its attempt is running", rec.State, rec.Reason)
	}
}

// Guards against tasks that keep running in a data centre without contact to the store after another host may have
// moved their jobs.
func TestLeasesEndWithoutStoreContact(t *testing.T) {
	f := newFakes()
	f.storeContact = f.now
	l := newTestLoop(t, f)
	step(t, l, f, 0)
	step(t, l, f, time.Minute)
	if f.lastLease != TaskLeaseTTL {
		t.Fatalf("lease of %v a minute after the last store contact", f.lastLease)
	}
	step(t, l, f, TaskHorizon-time.Minute-TaskLeaseTTL)
	if f.lastLease != 0 {
		t.Fatalf("lease of %v at the horizon", f.lastLease)
	}
}

// Guards against a task that starts in a data centre without contact to the store after another host may have moved
// its job. The permit to start may still be valid, since peers can relay it.
func TestNothingStartsBeyondTheHorizon(t *testing.T) {
	f := newFakes()
	f.records = []jobs.Stored{storedJob("j", "trace", pendingTask())}
	f.storeContact = f.now.Add(TaskLeaseTTL - TaskHorizon)
	l := newTestLoop(t, f)
	for range 5 {
		step(t, l, f, time.Second)
	}
	if len(f.starts) > 0 {
		t.Errorf("%d starts beyond the horizon", len(f.starts))
	}
	f.storeContact = f.now
	for range 5 {
		step(t, l, f, time.Second)
	}
	if len(f.starts) != 1 {
		t.Fatalf("%d starts before the horizon, want 1", len(f.starts))
	}
	if got := f.starts[0].JobTask; got != f.starts[0].Task {
		t.Errorf("task of an undivided job is numbered %v, want %v", got, f.starts[0].Task)
	}
}

// Guards against renewals and starts that are delayed by a store that does not answer.
func TestUnresponsiveStoreDoesNotBlockLoop(t *testing.T) {
	f := newFakes()
	f.records = []jobs.Stored{storedJob("j", "trace", pendingTask())}
	l := newTestLoop(t, f)
	step(t, l, f, 0)
	step(t, l, f, time.Second)
	f.mu.Lock()
	f.storeResponds = make(chan struct{})
	f.lastLease = 0
	f.mu.Unlock()
	f.advance(time.Second)
	var due schedule
	l.cycle(t.Context(), &due) // returns although the read of changes is blocked
	close(f.storeResponds)
	l.calls.Wait()
	if f.lastLease != TaskLeaseTTL {
		t.Fatalf("lease of %v while the store was unresponsive", f.lastLease)
	}
}

// Guards against submissions that are rejected, and starts that wait for the next renewal interval, right after a
// shard was acquired: listed workers count as capacity, and inventories are requested as soon as the records are read.
func TestAcquiredShardIsUsableAtOnce(t *testing.T) {
	f := newFakes()
	l := newTestLoop(t, f)
	step(t, l, f, 0)
	if got := l.Digest().Largest.MilliCPU; got != 4000 {
		t.Errorf("largest worker of %dm before any inventory was received", got)
	}
	due := schedule{renew: f.clock().Add(time.Hour)}
	l.cycle(t.Context(), &due)
	l.calls.Wait()
	if free := l.Digest().Free.MilliCPU; free != 8000 {
		t.Errorf("%dm free after the records were read", free)
	}
}
