package shard

import (
	"testing"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/jobs"
	"fulmarcourse.example/fulmarcourse/pkg/worker"
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

// startingTask is a task of which a former owner has stored the intent to start its first attempt on worker.
func startingTask(worker structs.HostID) structs.TaskRecord {
	return structs.TaskRecord{State: structs.TaskStarting, Attempt: 1, Worker: worker}
}

// Scenario: an owner is killed after the start intents of a job are durable and before it sends the start commands, for
// example because the response of the store was lost. Guards against a task that ends as unknown although no worker has
// run it, and against another attempt, since the former owner may have sent the first one.
func TestStoredIntentOfFormerOwnerIsStarted(t *testing.T) {
	f := newFakes()
	f.records = []jobs.Stored{storedJob("j", "template", startingTask("w1"), startingTask("w1"))}
	l := newTestLoop(t, f)
	for range 8 {
		step(t, l, f, time.Second)
	}
	if len(f.starts) != 2 {
		t.Fatalf("starts %+v, want one of each task", f.starts)
	}
	for _, cmd := range f.starts {
		_, rec := l.table.task(cmd.Task)
		if cmd.Attempt != 1 || rec.Worker != "w1" || rec.State != structs.TaskRunning {
			t.Errorf("start %+v, task %+v", cmd, rec)
		}
		if cmd.Kind != "template" || cmd.Epoch != testEpoch || cmd.Lease != TaskLeaseTTL || cmd.LeaseFrom == 0 || cmd.Reserved.MilliCPU != 1000 {
			t.Errorf("incomplete start %+v", cmd)
		}
	}
}

// Guards against a second run of a task whose start intent is stored: its attempt has run, a later attempt may run on a
// worker that has not sent an inventory, or the worker may have executed the command and refuses its repetition.
func TestStoredIntentIsStartedOnlyIfNothingHasRun(t *testing.T) {
	report := func(state structs.WorkerTaskState) structs.WorkerTask {
		return structs.WorkerTask{Task: structs.TaskID{Job: "j"}, Attempt: 1, Kind: "template", State: state}
	}
	for name, c := range map[string]struct {
		prepare func(f *fakes)
		starts  int
		want    structs.TaskState
	}{
		"running":             {func(f *fakes) { f.running["w1"][structs.TaskID{Job: "j"}] = report(structs.WorkerTaskRunning) }, 0, structs.TaskRunning},
		"done":                {func(f *fakes) { f.running["w1"][structs.TaskID{Job: "j"}] = report(structs.WorkerTaskDone) }, 0, structs.TaskDone},
		"other worker silent": {func(f *fakes) { f.unresponsive["w2"] = true }, 0, structs.TaskStarting},
		"refused":             {func(f *fakes) { f.startErr = errors.WithType(errors.New("refused"), worker.ErrRefused) }, 1, structs.TaskUnknown},
		"cancelled":           {func(f *fakes) { f.records[0].Record.CancelRequested = true }, 0, structs.TaskCancelled},
	} {
		f := newFakes()
		f.records = []jobs.Stored{storedJob("j", "template", startingTask("w1"))}
		c.prepare(f)
		l := newTestLoop(t, f)
		for range 12 {
			step(t, l, f, time.Second)
		}
		_, rec := l.table.task(structs.TaskID{Job: "j"})
		if len(f.starts) != c.starts || rec.State != c.want || rec.Attempt != 1 {
			t.Errorf("%s: starts %+v, task %+v, want %d starts and state %s", name, f.starts, rec, c.starts, c.want)
		}
	}
}
