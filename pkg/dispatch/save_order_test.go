package dispatch

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
	"fulmarcourse.example/fulmarcourse/pkg/relay"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
	"fulmarcourse.example/fulmarcourse/pkg/term"
)

// progressOutage is a store that refuses to write progress while it is down.
type progressOutage struct {
	kv.Store
	down bool
}

func (s *progressOutage) Commit(ctx context.Context, txn kv.Txn) (int64, error) {
	for _, put := range txn.Put {
		if s.down && strings.HasPrefix(put.Key, statekeys.ProgressPrefix(0)) {
			return 0, kv.ErrNotDone
		}
	}
	return s.Store.Commit(ctx, txn)
}

// storedWorkers returns the IDs of the known workers in the store.
func storedWorkers(t *testing.T, store kv.Store) []schedule.WorkerID {
	t.Helper()
	o := &Owner{cfg: Config{Store: store, Log: eventlog.Discard()}}
	known, err := o.readKnownWorkers(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	infos, complete := known.infos()
	if !complete {
		t.Error("a part of the known workers cannot be read")
	}
	var ids []schedule.WorkerID
	for _, info := range infos {
		ids = append(ids, info.ID)
	}
	return ids
}

// Scenario: the last task on a worker that leaves is done, and the owner is lost before that is stored. Guards against a later
// owner that neither knows that the task is done nor waits for the report of its worker: the task would run again.
func TestWorkerIsKnownUntilItsLastEndIsStored(t *testing.T) {
	store := &progressOutage{Store: kvtest.NewStore()}
	log := eventlog.Discard()
	view := term.NewView(log)
	view.Reset(nil)
	ownership, err := term.NewCandidate(term.Config{
		Store: store, Self: term.Record{Host: "host", Incarnation: "1", Address: "host:1"}, Cores: 1, Log: log,
	}, view).Acquire(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	o := NewOwner(Config{Host: "host", Store: store, Relays: listedHosts{}, Log: log, Scope: tally.NoopScope}, ownership)
	o.loaded = true
	info := schedule.WorkerInfo{ID: testWorker, Address: "w", Datacentre: "dc", Pool: "pool",
		Capacity: structs.Resources{MilliCPU: 16000, MemoryBytes: 64 << 30}}
	report := func(ended ...schedule.Ended) {
		o.update(func(s *schedule.Scheduler, now schedule.Time) {
			s.Report(now, testWorker, schedule.Report{Incarnation: 1, SentAt: now.Boot, Ended: ended})
		})
	}
	save := func() error { return o.save(t.Context()) }
	o.setWorkers([]schedule.WorkerInfo{info})
	report()
	if err := save(); err != nil {
		t.Fatal(err)
	}
	o.Announce(workload.Job{ID: "job", Queue: workload.Queue{Name: "queue", Pool: "pool", MaxFailures: 3},
		Steps: []workload.Step{{Tasks: 1, Size: structs.Resources{MilliCPU: 1000}, EstimateMs: 100}}})
	var orders []schedule.Order
	o.mu.Lock()
	o.linkOf[testWorker] = &link{owner: o, wake: make(chan struct{}, 1), stored: map[schedule.WorkerID]relay.StoredEnd{}}
	o.mu.Unlock()
	o.plan()
	orders = o.linkOf[testWorker].orders
	if len(orders) != 1 {
		t.Fatalf("%d orders, want the start of the task", len(orders))
	}
	info.Draining = true
	o.setWorkers([]schedule.WorkerInfo{info})
	report(schedule.Ended{Number: 1, Task: orders[0].Task, Attempt: orders[0].Attempt, Kind: schedule.EndDone})
	store.down = true
	if err := save(); err == nil {
		t.Fatal("progress was stored during the outage")
	}
	if ids := storedWorkers(t, store); len(ids) != 1 {
		t.Errorf("known workers %v while the end on the worker is not stored, want it among them", ids)
	}
	store.down = false
	if err := save(); err != nil {
		t.Fatal(err)
	}
	if ids := storedWorkers(t, store); len(ids) != 0 {
		t.Errorf("known workers %v once the end is stored, want none", ids)
	}
}

// Scenario: the response of the store to an earlier write was lost, so that one of many records has another revision than the
// owner knows. Guards against a conflict that holds up the records of all other jobs: completions and starts of services would
// wait for the next batch, which may have a conflict as well.
func TestConflictOfOneRecordDoesNotHoldUpOthers(t *testing.T) {
	const jobID = workload.JobID("job")
	o, _ := ownerOfEndedJob(t, jobID)
	const jobs = 20 * kv.MaxTxnEntries
	records := []schedule.Record{{Job: jobID, Progress: workload.Progress{State: workload.StateRunning}}}
	for n := range jobs {
		records = append(records, schedule.Record{
			Job: workload.JobID(fmt.Sprint("other", n)), Progress: workload.Progress{State: workload.StateRunning},
		})
	}
	delete(o.revisions, jobID)
	var conflict *kv.Conflict
	if err := o.saveAllRecords(t.Context(), records); !errors.As(err, &conflict) {
		t.Fatalf("error %v, want a conflict", err)
	}
	items, _, err := kv.List(t.Context(), o.cfg.Store, statekeys.ProgressPrefix(0))
	if err != nil {
		t.Fatal(err)
	}
	if stored := len(items); stored < jobs+1-kv.MaxTxnEntries {
		t.Errorf("%d of %d records are stored", stored, jobs+1)
	}
	if o.revisions[jobID] == 0 {
		t.Error("the revision of the conflicting record is still unknown")
	}
}
