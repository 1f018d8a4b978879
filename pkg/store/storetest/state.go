package storetest

import (
	"sync"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// state is the data shared by all connections to one store. The caller of any method holds mu.
type state struct {
	mu       sync.Mutex
	clock    func() time.Time // nil if leases never expire
	revision int64
	entries  map[string]store.KeyValue
	leases   map[store.LeaseID]lease
	granted  store.LeaseID // the lease granted last
	delayed  []store.Txn   // take effect after the next transaction that takes effect
	held     []store.Txn   // take effect when Deliver is called
}

// lease is the state of a granted lease.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

func (s *state) now() time.Time {
	if s.clock == nil {
		return time.Time{}
	}
	return s.clock()
}

// expire revokes the leases that have expired.
func (s *state) expire() {
	if s.clock == nil {
		return
	}
	for id, lease := range s.leases {
		if !s.clock().Before(lease.expires) {
			s.revoke(id)
		}
	}
}

// revoke ends a lease and deletes its keys.
func (s *state) revoke(id store.LeaseID) {
	delete(s.leases, id)
	for key, kv := range s.entries {
		if kv.Lease == id {
			s.remove(key)
		}
	}
}

func (s *state) remove(key string) {
	s.revision++
	delete(s.entries, key)
}

// holds reports whether the condition c is met.
func (s *state) holds(c store.Compare) bool {
	kv := s.entries[c.Key]
	if c.Target == store.CompareModRevision {
		return kv.ModRevision == c.Revision
	}
	return kv.CreateRevision == c.Revision
}

// apply runs one transaction with the semantics of the store. The error matches store.ErrLeaseNotFound.
func (s *state) apply(txn store.Txn) (store.TxnResult, error) {
	s.expire()
	for _, c := range txn.Compares {
		if !s.holds(c) {
			return store.TxnResult{Revision: s.revision, Read: s.read(txn.ReadOnFail)}, nil
		}
	}
	for _, put := range txn.Puts {
		if _, known := s.leases[put.Lease]; put.Lease != 0 && !known {
			return store.TxnResult{}, store.ErrLeaseNotFound
		}
	}
	if isWrite(txn) {
		s.revision++
	}
	for _, put := range txn.Puts {
		s.put(put)
	}
	for _, key := range txn.Deletes {
		delete(s.entries, key)
	}
	return store.TxnResult{Applied: true, Revision: s.revision}, nil
}

// read returns the entries of the keys that exist.
func (s *state) read(keys []string) []store.KeyValue {
	var found []store.KeyValue
	for _, key := range keys {
		if kv, exists := s.entries[key]; exists {
			found = append(found, kv)
		}
	}
	return found
}

// put writes one key at the current revision.
func (s *state) put(put store.Put) {
	created := s.revision
	if former, exists := s.entries[put.Key]; exists {
		created = former.CreateRevision
	}
	s.entries[put.Key] = store.KeyValue{
		Key: put.Key, Value: put.Value, CreateRevision: created, ModRevision: s.revision, Lease: put.Lease,
	}
}

// applyAll runs delayed or held transactions, whose callers no longer wait, and returns how many were applied.
func (s *state) applyAll(txns []store.Txn) (applied int) {
	for _, txn := range txns {
		if result, err := s.apply(txn); err == nil && result.Applied {
			applied++
		}
	}
	return applied
}

// isWrite reports whether a transaction changes the store when its conditions hold.
func isWrite(txn store.Txn) bool { return len(txn.Puts)+len(txn.Deletes) > 0 }
