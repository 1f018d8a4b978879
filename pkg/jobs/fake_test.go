package jobs

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// fault is what happens to one store call.
type fault int

const (
	noFault     fault = iota
	unavailable       // certainly no effect
	lostRequest       // no effect, but the caller cannot tell
	lostAnswer        // took effect, but the caller cannot tell
	delayed           // takes effect at a later call, and the caller cannot tell
)

// fakeStore is an in-memory store with faults.
type fakeStore struct {
	mu      sync.Mutex
	rev     int64
	data    map[string]store.KeyValue
	pending []store.Txn // delayed writes
	next    func(write bool) fault
	calls   int
	between func() // called once, before the next write
}

func newFakeStore() *fakeStore {
	return &fakeStore{data: map[string]store.KeyValue{}, next: func(bool) fault { return noFault }}
}

// script makes the next writes suffer the given faults; later ones none.
func (f *fakeStore) script(faults ...fault) {
	f.next = func(write bool) fault {
		if !write || len(faults) == 0 {
			return noFault
		}
		first := faults[0]
		faults = faults[1:]
		return first
	}
}

// random makes each call suffer a fault with the given probability.
func (f *fakeStore) random(seed uint64, share float64) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	f.next = func(write bool) fault {
		switch {
		case rnd.Float64() >= share:
			return noFault
		case !write:
			return unavailable
		}
		return []fault{unavailable, lostRequest, lostAnswer, delayed}[rnd.IntN(4)]
	}
}

// heal ends all faults and applies what is still delayed.
func (f *fakeStore) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next = func(bool) fault { return noFault }
	f.land()
}

// land applies delayed writes. The caller holds mu.
func (f *fakeStore) land() {
	for _, txn := range f.pending {
		f.apply(txn)
	}
	f.pending = nil
}

func (f *fakeStore) Get(ctx context.Context, key string) (store.KeyValue, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.next(false) != noFault || ctx.Err() != nil {
		return store.KeyValue{}, false, store.ErrUnavailable
	}
	kv, found := f.data[key]
	return kv, found, nil
}

func (f *fakeStore) Range(_ context.Context, prefix string, minModRevision int64) (store.RangeResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if f.next(false) != noFault {
		return store.RangeResult{}, store.ErrUnavailable
	}
	result := store.RangeResult{Revision: f.rev}
	for key, kv := range f.data {
		if strings.HasPrefix(key, prefix) && kv.ModRevision >= minModRevision {
			result.Entries = append(result.Entries, kv)
		}
	}
	slices.SortFunc(result.Entries, func(a, b store.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return result, nil
}

func (f *fakeStore) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	if hook := f.between; hook != nil && len(txn.Puts) > 0 {
		f.between = nil
		hook()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
	if ctx.Err() != nil {
		return store.TxnResult{}, store.ErrUnavailable
	}
	what := f.next(len(txn.Puts)+len(txn.Deletes) > 0)
	if what == delayed {
		f.pending = append(f.pending, txn)
		return store.TxnResult{}, errors.Trace(store.ErrUncertain)
	}
	if what == unavailable || what == lostRequest {
		return store.TxnResult{}, map[fault]error{unavailable: store.ErrUnavailable, lostRequest: store.ErrUncertain}[what]
	}
	result := f.apply(txn)
	f.land()
	if what == lostAnswer {
		return store.TxnResult{}, store.ErrUncertain
	}
	return result, nil
}

// apply runs one transaction. The caller holds mu.
func (f *fakeStore) apply(txn store.Txn) store.TxnResult {
	for _, c := range txn.Compares {
		kv := f.data[c.Key]
		if (c.Target == store.CompareCreateRevision && kv.CreateRevision != c.Revision) ||
			(c.Target == store.CompareModRevision && kv.ModRevision != c.Revision) {
			result := store.TxnResult{Revision: f.rev}
			for _, key := range txn.ReadOnFail {
				if kv, found := f.data[key]; found {
					result.Read = append(result.Read, kv)
				}
			}
			return result
		}
	}
	f.rev++
	for _, p := range txn.Puts {
		created := f.rev
		if old, found := f.data[p.Key]; found {
			created = old.CreateRevision
		}
		f.data[p.Key] = store.KeyValue{Key: p.Key, Value: p.Value, CreateRevision: created, ModRevision: f.rev}
	}
	for _, key := range txn.Deletes {
		delete(f.data, key)
	}
	return store.TxnResult{Applied: true, Revision: f.rev}
}

// put writes a key without conditions.
func (f *fakeStore) put(key, value string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.apply(store.Txn{Puts: []store.Put{{Key: key, Value: []byte(value)}}}).Revision
}

func (f *fakeStore) remove(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.data, key)
}

// world is the surroundings of a Service in tests.
type world struct {
	store    *fakeStore
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
		store: newFakeStore(),
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
	epoch := w.store.put(newKeyspace("trial").owner(testShard), "owner")
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
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	kv, found := w.store.data[newKeyspace("trial").job(id)]
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
