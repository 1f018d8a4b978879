package keys

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// fault is what happens to one transaction.
type fault int

const (
	noFault fault = iota
	refused       // no effect, and the caller knows
	lost          // takes effect, but the answer is lost
	late          // the answer is lost, and it takes effect when the test calls applyLate
)

// fakeStore is a store in memory with faults.
type fakeStore struct {
	mu       sync.Mutex
	revision int64
	entries  map[string]store.KeyValue
	leases   store.LeaseID
	gone     store.LeaseID // lease that the store does not know any more
	txns     []store.Txn
	pending  []store.Txn
	getFails bool
	hang     chan struct{}         // transactions wait for it when it is set before the first one
	fault    func(store.Txn) fault // called with mu held; nil is no fault
}

func newFakeStore() *fakeStore { return &fakeStore{entries: map[string]store.KeyValue{}} }

// set sets what happens to transactions, and whether reads fail.
func (s *fakeStore) set(f func(store.Txn) fault, getsFail bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.getFails = f, getsFail
}

func always(f fault) func(store.Txn) fault { return func(store.Txn) fault { return f } }

func (s *fakeStore) Get(_ context.Context, key string) (store.KeyValue, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.getFails {
		return store.KeyValue{}, false, errors.Trace(store.ErrUnavailable)
	}
	kv, ok := s.entries[key]
	return kv, ok, nil
}

func (s *fakeStore) GrantLease(_ context.Context, ttl time.Duration) (store.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ttl < KeepFor {
		return 0, errors.NotValidf("time to live %v", ttl)
	}
	s.leases++
	return s.leases, nil
}

func (s *fakeStore) Txn(_ context.Context, txn store.Txn) (store.TxnResult, error) {
	if s.hang != nil {
		<-s.hang
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.txns = append(s.txns, txn)
	if len(txn.Puts) > 0 && s.gone != 0 && txn.Puts[0].Lease == s.gone {
		return store.TxnResult{}, errors.Trace(store.ErrLeaseNotFound)
	}
	f := noFault
	if s.fault != nil {
		f = s.fault(txn)
	}
	switch f {
	case refused:
		return store.TxnResult{}, errors.Trace(store.ErrUnavailable)
	case late:
		s.pending = append(s.pending, txn)
		return store.TxnResult{}, errors.Trace(store.ErrUncertain)
	case lost:
		s.applyLocked(txn)
		return store.TxnResult{}, errors.Trace(store.ErrUncertain)
	}
	return s.applyLocked(txn), nil
}

// applyLate lets the delayed transactions take effect.
func (s *fakeStore) applyLate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, txn := range s.pending {
		s.applyLocked(txn)
	}
	s.pending = nil
}

func (s *fakeStore) applyLocked(txn store.Txn) store.TxnResult {
	for _, c := range txn.Compares {
		kv := s.entries[c.Key]
		revision := kv.CreateRevision
		if c.Target == store.CompareModRevision {
			revision = kv.ModRevision
		}
		if revision != c.Revision {
			result := store.TxnResult{Revision: s.revision}
			for _, key := range txn.ReadOnFail {
				if kv, ok := s.entries[key]; ok {
					result.Read = append(result.Read, kv)
				}
			}
			return result
		}
	}
	s.revision++
	for _, put := range txn.Puts {
		kv, ok := s.entries[put.Key]
		if !ok {
			kv = store.KeyValue{Key: put.Key, CreateRevision: s.revision}
		}
		kv.Value, kv.ModRevision, kv.Lease = put.Value, s.revision, put.Lease
		s.entries[put.Key] = kv
	}
	return store.TxnResult{Applied: true, Revision: s.revision}
}
