package jobs

import (
	"context"
	"flag"
	"sync"
	"testing"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/store/storetest"
)

// Property tests draw the same cases on every run.
func init() { _ = flag.Set("rapid.seed", "1") }

type fault = storetest.Fault

const (
	noFault     = storetest.NoFault
	unavailable = storetest.Unavailable
	lostRequest = storetest.LostRequest
	lostAnswer  = storetest.LostResponse
	delayed     = storetest.Delayed
)

// world is the surroundings of a Service in tests.
type world struct {
	store    *storetest.Store
	doc      structs.Document
	noDoc    bool
	largest  map[structs.DatacentreID]structs.Resources
	shards   []HomeCandidate
	now      time.Time
	mu       sync.Mutex
	notified map[structs.ShardID][]structs.JobID
}

var testShard = structs.ShardID{Datacentre: "a", Index: 0}

func newWorld() *world {
	host := structs.Resources{MilliCPU: 16_000, MemoryBytes: 60e9, Accelerators: 2}
	return &world{
		store: storetest.NewStore(storetest.Config{}),
		doc: structs.Document{
			Kinds: map[structs.KindName]structs.Kind{
				"render": {Name: "render", Class: structs.Batch, Idempotent: true, Declared: structs.Resources{MilliCPU: 2000, MemoryBytes: 4e9}},
				"quote":  {Name: "quote", Class: structs.LatencyCritical},
			},
			Teams:   map[structs.TeamName]structs.Team{"gilders": {Name: "gilders"}, "desk": {Name: "desk", Urgent: true}},
			BatchIn: map[structs.DatacentreID]bool{"a": true},
		},
		largest: map[structs.DatacentreID]structs.Resources{"a": host},
		shards: []HomeCandidate{{
			Digest: structs.ShardDigest{Shard: testShard, Free: host, Largest: host}, State: structs.DatacentreIn, BatchAllowed: true,
		}},
		now:      time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC),
		notified: map[structs.ShardID][]structs.JobID{},
	}
}

func (w *world) Document() (structs.Document, structs.DocumentRecord, bool) {
	return w.doc, structs.DocumentRecord{Version: 1}, !w.noDoc
}
func (w *world) Largest() map[structs.DatacentreID]structs.Resources { return w.largest }
func (w *world) Candidates() []HomeCandidate                         { return w.shards }
func (w *world) NotifyJobs(_ context.Context, shard structs.ShardID, ids []structs.JobID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notified[shard] = append(w.notified[shard], ids...)
}

func (w *world) service() *Service {
	return NewService(Config{
		Store: w.store, Documents: w, Capacity: w, Shards: w, Notifier: w,
		Environment: "trial", Datacentre: "a", Clock: func() time.Time { return w.now }, Seed: 1,
	})
}

// own creates the owner record of testShard and returns a batch of its owner.
func (w *world) own(onCancel func(structs.JobID)) *Batch {
	epoch := w.store.Put(newKeyspace("trial").owner(testShard), []byte("owner"))
	return NewBatch(BatchConfig{
		Store: w.store, Notifier: w, Environment: "trial", Shard: testShard, Epoch: structs.Epoch(epoch),
		OnCancel: onCancel, Clock: func() time.Time { return w.now },
	})
}

// submit accepts a job without faults and lets batch observe it.
func (w *world) submit(t testing.TB, batch *Batch, key string, tasks int) structs.JobRecord {
	t.Helper()
	record, err := w.service().Submit(context.Background(), structs.JobSpec{Team: "gilders", Kind: "render", Tasks: tasks, Key: key})
	if err != nil {
		t.Fatal(err)
	}
	if batch != nil {
		stored, err := w.service().Get(context.Background(), record.ID)
		if err != nil || batch.Observe(stored) != ObservedNew {
			t.Fatalf("new job not observed: %v", err)
		}
	}
	return record
}

// stored reads a record past all faults.
func (w *world) stored(id structs.JobID) (Stored, bool) {
	kv, found := w.store.Entry(newKeyspace("trial").job(id))
	if !found {
		return Stored{}, false
	}
	s, err := decode(kv)
	return s, err == nil
}

// outcome returns the result of a change that was written, or an error if it has none after a generous time.
func outcome(ticket *Ticket) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return ticket.Wait(ctx)
}
