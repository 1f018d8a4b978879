package storetest

import (
	"slices"

	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// BeforeWrite makes hook run once, before the next transaction that writes. hook may call the store.
func (s *Store) BeforeWrite(hook func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beforeWrite = hook
}

// AfterRange makes hook run once, after the next range read. hook may call the store.
func (s *Store) AfterRange(hook func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.afterRange = hook
}

// run removes and runs a hook. The caller does not hold mu.
func (s *Store) run(hook *func()) {
	s.mu.Lock()
	once := *hook
	*hook = nil
	s.mu.Unlock()
	if once != nil {
		once()
	}
}

// Calls returns the number of calls on this connection since the last ResetCalls, with those that failed.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Txns returns the transactions sent on this connection since the last ResetCalls, with those that failed.
func (s *Store) Txns() []store.Txn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.txns)
}

// ResetCalls starts a new count of calls and transactions.
func (s *Store) ResetCalls() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls, s.txns = 0, nil
}

// Put writes a key past all faults and conditions, as another process would, and returns the revision.
func (s *Store) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(store.Put{Key: key, Value: value})
	return s.revision
}

// Remove deletes a key past all faults, as another process would.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Entry reads a key past all faults. It does not look for expired leases, which the next call does.
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

// SetRevision moves the store to a revision, which may be an earlier one, as after a restore from a backup.
func (s *Store) SetRevision(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = revision
}
