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

// Guards against tasks that run, or start, in a data centre whose jobs other hosts may have moved, because its owner
// was cut off from the store for longer than the horizon while peers still relayed control state to it.
func TestNothingRunsBeyondTheHorizon(t *testing.T) {
	w := newWorld()
	w.records = []jobs.Stored{storedJob("j", "trace", pendingTask())}
	l := newTestLoop(t, w)
	w.unconfirmed = TaskHorizon - TaskLeaseTTL
	for range 5 {
		step(t, l, w, time.Second)
	}
	if len(w.starts) > 0 || w.extensions > 0 {
		t.Errorf("%d starts and %d extended leases beyond the horizon", len(w.starts), w.extensions)
	}
	w.unconfirmed = TaskHorizon - TaskLeaseTTL - time.Minute
	for range 5 {
		step(t, l, w, time.Second)
	}
	if len(w.starts) != 1 || w.extensions == 0 {
		t.Errorf("%d starts and %d extended leases before the horizon", len(w.starts), w.extensions)
	}
	if got := w.starts[0].JobTask; got != w.starts[0].Task {
		t.Errorf("task of an undivided job is numbered %v, want %v", got, w.starts[0].Task)
	}
}
