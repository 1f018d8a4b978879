package storetest

import (
	"slices"

	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// BeforeWrite sets a hook that runs once, before the next transaction that writes. The hook may call the store.
func (s *Store) BeforeWrite(hook func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beforeWrite = hook
}

// AfterRange sets a hook that runs once, after the next range read. The hook may call the store.
func (s *Store) AfterRange(hook func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.afterRange = hook
}

// runHook clears and runs a hook, if it is set. The caller must not hold mu.
func (s *Store) runHook(hook *func()) {
	s.mu.Lock()
	once := *hook
	*hook = nil
	s.mu.Unlock()
	if once != nil {
		once()
	}
}

// Calls returns the number of calls on this connection since the last ResetCalls, including failed ones.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Txns returns the transactions sent on this connection since the last ResetCalls, including failed ones.
func (s *Store) Txns() []store.Txn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.txns)
}

// ResetCalls clears the recorded calls and transactions.
func (s *Store) ResetCalls() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls, s.txns = 0, nil
}

// Put writes a key without faults or conditions, like a write of another process, and returns the revision.
func (s *Store) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(store.Put{Key: key, Value: value})
	return s.revision
}

// Remove deletes a key without faults, like a deletion by another process.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Entry reads a key without faults. It does not expire leases; the next call does.
func (s *Store) Entry(key string) (store.KeyValue, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kv, found := s.entries[key]
	return kv, found
}

// Len returns the number of keys in the store.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entries)
}

// Revision returns the revision of the last change.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// SetRevision sets the revision of the store. A lower revision simulates a restore from a backup.
func (s *Store) SetRevision(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = revision
}
