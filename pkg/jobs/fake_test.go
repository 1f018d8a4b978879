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

// Property tests use a fixed seed, so that every run checks the same cases.
func init() { _ = flag.Set("rapid.seed", "1") }

type fault = storetest.Fault

const (
	noFault      = storetest.NoFault
	unavailable  = storetest.Unavailable
	lostRequest  = storetest.LostRequest
	lostResponse = storetest.LostResponse
	delayed      = storetest.Delayed
)

// fakes implements the dependencies of a Service.
type fakes struct {
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

func newFakes() *fakes {
	host := structs.Resources{MilliCPU: 16_000, MemoryBytes: 60e9, Accelerators: 2}
	return &fakes{
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

func (f *fakes) Document() (structs.Document, structs.DocumentRecord, bool) {
	return f.doc, structs.DocumentRecord{Version: 1}, !f.noDoc
}
func (f *fakes) Largest() map[structs.DatacentreID]structs.Resources { return f.largest }
func (f *fakes) Candidates() []HomeCandidate                         { return f.shards }
func (f *fakes) NotifyJobs(_ context.Context, shard structs.ShardID, ids []structs.JobID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notified[shard] = append(f.notified[shard], ids...)
}

func (f *fakes) service() *Service {
	return NewService(Config{
		Store: f.store, Documents: f, Capacity: f, Shards: f, Notifier: f,
		Environment: "trial", Datacentre: "a", Clock: func() time.Time { return f.now }, Seed: 1,
	})
}

// newOwnerBatch writes the owner record of testShard and returns the batch of that owner.
func (f *fakes) newOwnerBatch(onCancel func(structs.JobID)) *Batch {
	epoch := f.store.Put(newKeyspace("trial").owner(testShard), []byte("owner"))
	return NewBatch(BatchConfig{
		Store: f.store, Notifier: f, Environment: "trial", Shard: testShard, Epoch: structs.Epoch(epoch),
		OnCancel: onCancel, Clock: func() time.Time { return f.now },
	})
}

// submit submits a job, which must succeed, and passes its record to batch unless batch is nil.
func (f *fakes) submit(t testing.TB, batch *Batch, key string, tasks int) structs.JobRecord {
	t.Helper()
	record, err := f.service().Submit(context.Background(), structs.JobSpec{Team: "gilders", Kind: "render", Tasks: tasks, Key: key})
	if err != nil {
		t.Fatal(err)
	}
	if batch != nil {
		stored, err := f.service().Get(context.Background(), record.ID)
		if err != nil || batch.Observe(stored) != ObservedNew {
			t.Fatalf("new job not observed: %v", err)
		}
	}
	return record
}

// storedRecord reads a record without injected faults.
func (f *fakes) storedRecord(id structs.JobID) (Stored, bool) {
	kv, found := f.store.Entry(newKeyspace("trial").job(id))
	if !found {
		return Stored{}, false
	}
	s, err := decode(kv)
	return s, err == nil
}

// ticketOutcome returns the outcome of a change, or an error if it is not known within 10 s.
func ticketOutcome(ticket *Ticket) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return ticket.Wait(ctx)
}
