package ownership

import (
	"context"
	"strings"
	"sync"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// fault is what the fake store does with a call.
type fault int

const (
	none        fault = iota
	unavailable       // the call has no effect
	lostAnswer        // the call takes effect and its answer is lost
	lostRequest       // the call has no effect and the caller does not know
)

// fakeStore is an in-memory store with leases that expire by a test clock.
type fakeStore struct {
	clock func() time.Time

	mu       sync.Mutex
	revision int64
	entries  map[string]store.KeyValue
	leases   map[store.LeaseID]fakeLease
	nextID   store.LeaseID
}

type fakeLease struct {
	ttl   time.Duration
	until time.Time
}

func newFakeStore(clock func() time.Time) *fakeStore {
	return &fakeStore{
		clock: clock, entries: make(map[string]store.KeyValue), leases: make(map[store.LeaseID]fakeLease), nextID: 100,
	}
}

// expire deletes the entries of expired leases. f.mu is held.
func (f *fakeStore) expire() {
	for id, lease := range f.leases {
		if !f.clock().Before(lease.until) {
			f.revoke(id)
		}
	}
}

func (f *fakeStore) revoke(id store.LeaseID) {
	delete(f.leases, id)
	for key, kv := range f.entries {
		if kv.Lease == id {
			f.revision++
			delete(f.entries, key)
		}
	}
}

// txn applies t as the store does.
func (f *fakeStore) txn(t store.Txn) (store.TxnResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expire()
	for _, c := range t.Compares {
		revision := f.entries[c.Key].CreateRevision
		if c.Target == store.CompareModRevision {
			revision = f.entries[c.Key].ModRevision
		}
		if revision != c.Revision {
			result := store.TxnResult{Revision: f.revision}
			for _, key := range t.ReadOnFail {
				if kv, found := f.entries[key]; found {
					result.Read = append(result.Read, kv)
				}
			}
			return result, nil
		}
	}
	for _, put := range t.Puts {
		if _, known := f.leases[put.Lease]; put.Lease != 0 && !known {
			return store.TxnResult{}, store.ErrLeaseNotFound
		}
	}
	f.revision++
	for _, put := range t.Puts {
		kv := store.KeyValue{
			Key: put.Key, Value: put.Value, CreateRevision: f.revision, ModRevision: f.revision, Lease: put.Lease,
		}
		if former, found := f.entries[put.Key]; found {
			kv.CreateRevision = former.CreateRevision
		}
		f.entries[put.Key] = kv
	}
	for _, key := range t.Deletes {
		delete(f.entries, key)
	}
	return store.TxnResult{Applied: true, Revision: f.revision}, nil
}

// link is one host's connection to the fake store.
type link struct {
	store *fakeStore
	mu    sync.Mutex
	down  bool
	txns  []fault // faults of the next transactions
}

func (l *link) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// enter locks the store for a call, or fails.
func (l *link) enter() (func(), error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, store.ErrUnavailable
	}
	l.store.mu.Lock()
	l.store.expire()
	return l.store.mu.Unlock, nil
}

func (l *link) Get(_ context.Context, key string) (store.KeyValue, bool, error) {
	leave, err := l.enter()
	if err != nil {
		return store.KeyValue{}, false, err
	}
	defer leave()
	kv, found := l.store.entries[key]
	return kv, found, nil
}

func (l *link) Range(_ context.Context, prefix string, minModRevision int64) (store.RangeResult, error) {
	leave, err := l.enter()
	if err != nil {
		return store.RangeResult{}, err
	}
	defer leave()
	result := store.RangeResult{Revision: l.store.revision, SentAt: l.store.clock()}
	for key, kv := range l.store.entries {
		if strings.HasPrefix(key, prefix) && kv.ModRevision >= minModRevision {
			result.Entries = append(result.Entries, kv)
		}
	}
	return result, nil
}

func (l *link) Txn(_ context.Context, t store.Txn) (store.TxnResult, error) {
	l.mu.Lock()
	next, down := none, l.down
	if len(l.txns) > 0 {
		next, l.txns = l.txns[0], l.txns[1:]
	}
	l.mu.Unlock()
	switch {
	case down || next == unavailable:
		return store.TxnResult{}, store.ErrUnavailable
	case next == lostRequest:
		return store.TxnResult{}, store.ErrUncertain
	case next == lostAnswer:
		_, _ = l.store.txn(t)
		return store.TxnResult{}, store.ErrUncertain
	}
	return l.store.txn(t)
}

func (l *link) GrantLease(_ context.Context, ttl time.Duration) (store.LeaseID, error) {
	leave, err := l.enter()
	if err != nil {
		return 0, err
	}
	defer leave()
	l.store.nextID++
	l.store.leases[l.store.nextID] = fakeLease{ttl: ttl, until: l.store.clock().Add(ttl)}
	return l.store.nextID, nil
}

func (l *link) KeepAlive(_ context.Context, id store.LeaseID) (time.Duration, error) {
	leave, err := l.enter()
	if err != nil {
		return 0, err
	}
	defer leave()
	lease, known := l.store.leases[id]
	if !known {
		return 0, store.ErrLeaseNotFound
	}
	lease.until = l.store.clock().Add(lease.ttl)
	l.store.leases[id] = lease
	return lease.ttl, nil
}

func (l *link) RevokeLease(_ context.Context, id store.LeaseID) error {
	leave, err := l.enter()
	if err != nil {
		return err
	}
	defer leave()
	l.store.revoke(id)
	return nil
}
