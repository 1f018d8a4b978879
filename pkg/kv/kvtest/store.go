// Package kvtest provides an in-memory store with fault injection for tests of packages that use pkg/kv.
package kvtest

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/fulmarcourse/pkg/kv"
)

// pageSize is small so that tests read several pages.
const pageSize = 3

// Fault is a failure injected into a call.
type Fault int

// Faults of calls.
const (
	None         Fault = iota
	Refuse             // the call has no effect and fails with kv.ErrNotDone
	LoseRequest        // the call has no effect and fails with kv.ErrUncertain
	LoseResponse       // the call fails with kv.ErrUncertain; only Commit and Revoke take effect
)

// Store is an in-memory store that implements kv.Store. Leases end by EndLease or Revoke, not by time. It is safe for
// concurrent use.
type Store struct {
	mu        sync.Mutex // guards the fields below
	fault     func(call string) Fault
	items     map[string]kv.Item
	history   []kv.Change
	compacted int64 // revision of the last compaction; watches after a lower revision fail with kv.ErrCompacted
	revision  int64
	leases    map[kv.LeaseID]bool
	lastLease kv.LeaseID
	changed   chan struct{} // closed and replaced at every change
	maxValue  int           // largest value in bytes; 0 for no limit
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		items: map[string]kv.Item{}, leases: map[kv.LeaseID]bool{}, revision: 1, changed: make(chan struct{}),
		fault: func(string) Fault { return None },
	}
}

// SetFault sets the function that returns the fault of each later call, given the name of the method. The function is
// called with the store locked.
func (s *Store) SetFault(fault func(call string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// SetMaxValueBytes sets the size above which a value is refused for good; 0 means that there is no limit.
func (s *Store) SetMaxValueBytes(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxValue = n
}

// EndLease ends a lease as if it had expired.
func (s *Store) EndLease(id kv.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
}

// Compact discards the history of changes.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
	s.signal()
}

// begin locks the store for a call and returns the effect of its fault: execute reports whether the call takes effect,
// and err is the error to return instead of its result.
func (s *Store) begin(call string) (execute bool, err error) {
	s.mu.Lock()
	switch s.fault(call) {
	case Refuse:
		return false, kv.ErrNotDone
	case LoseRequest:
		return false, kv.ErrUncertain
	case LoseResponse:
		return true, kv.ErrUncertain
	}
	return true, nil
}

// Get implements kv.Store.
func (s *Store) Get(_ context.Context, key string) (kv.Item, bool, error) {
	_, err := s.begin("Get")
	defer s.mu.Unlock()
	item, found := s.items[key]
	return item, found && err == nil, err
}

// Range implements kv.Store.
func (s *Store) Range(_ context.Context, prefix, after string) (kv.Page, error) {
	_, err := s.begin("Range")
	defer s.mu.Unlock()
	if err != nil {
		return kv.Page{}, err
	}
	page := kv.Page{AsOf: s.revision}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			page.Items = append(page.Items, item)
		}
	}
	slices.SortFunc(page.Items, func(a, b kv.Item) int { return strings.Compare(a.Key, b.Key) })
	if len(page.Items) > pageSize {
		page.Items, page.More = page.Items[:pageSize], true
	}
	return page, nil
}

// Watch implements kv.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (kv.Changes, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for last := false; ; {
		_, err := s.begin("Watch")
		changes, compacted, changed := s.since(prefix, after), after < s.compacted, s.changed
		s.mu.Unlock()
		switch {
		case err != nil:
			return kv.Changes{}, err
		case compacted:
			return kv.Changes{}, kv.ErrCompacted
		case last || len(changes.Changes) > 0:
			return changes, nil
		}
		select {
		case <-ctx.Done():
			return kv.Changes{}, ctx.Err()
		case <-timer.C:
			last = true
		case <-changed:
		}
	}
}

// since returns the changes under a prefix after a revision. s.mu is held.
func (s *Store) since(prefix string, after int64) kv.Changes {
	changes := kv.Changes{AsOf: s.revision}
	for _, change := range s.history {
		if change.Item.Revision > after && strings.HasPrefix(change.Item.Key, prefix) {
			changes.Changes = append(changes.Changes, change)
		}
	}
	return changes
}

// Commit implements kv.Store.
func (s *Store) Commit(_ context.Context, txn kv.Txn) (int64, error) {
	execute, err := s.begin("Commit")
	defer s.mu.Unlock()
	if !execute {
		return 0, err
	}
	for _, put := range txn.Put {
		if s.maxValue > 0 && len(put.Value) > s.maxValue {
			return 0, kv.Refused(errors.Errorf("%s: a value of %d bytes", put.Key, len(put.Value)))
		}
	}
	if conflict := s.conflict(txn.If); conflict != nil {
		return 0, conflict
	}
	for _, put := range txn.Put {
		if put.Lease != 0 && !s.leases[put.Lease] {
			return 0, kv.ErrLeaseEnded
		}
	}
	s.revision++
	for _, put := range txn.Put {
		s.put(put)
	}
	for _, key := range txn.Delete {
		s.remove(key)
	}
	s.signal()
	return s.revision, err
}

// conflict returns nil if all conditions hold, else a *kv.Conflict. s.mu is held.
func (s *Store) conflict(conditions []kv.Condition) error {
	conflict := &kv.Conflict{}
	holds := true
	for _, condition := range conditions {
		item, exists := s.items[condition.Key]
		if exists {
			conflict.Items = append(conflict.Items, item)
		}
		holds = holds && item.Revision == condition.Revision
	}
	if holds {
		return nil
	}
	return conflict
}

// put writes a key at the current revision. s.mu is held.
func (s *Store) put(put kv.Put) {
	item := kv.Item{Key: put.Key, Value: put.Value, Revision: s.revision, Created: s.revision, Lease: put.Lease}
	if before, exists := s.items[put.Key]; exists {
		item.Created = before.Created
	}
	s.items[put.Key] = item
	s.history = append(s.history, kv.Change{Item: item})
}

// remove deletes a key at the current revision. s.mu is held.
func (s *Store) remove(key string) {
	if _, exists := s.items[key]; !exists {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, kv.Change{Item: kv.Item{Key: key, Revision: s.revision}, Deleted: true})
}

// Grant implements kv.Store.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (kv.LeaseID, time.Duration, error) {
	_, err := s.begin("Grant")
	defer s.mu.Unlock()
	if err != nil {
		return 0, 0, err
	}
	s.lastLease++
	s.leases[s.lastLease] = true
	return s.lastLease, ttl, nil
}

// KeepAlive implements kv.Store.
func (s *Store) KeepAlive(_ context.Context, id kv.LeaseID) (time.Duration, error) {
	_, err := s.begin("KeepAlive")
	defer s.mu.Unlock()
	if err == nil && !s.leases[id] {
		err = kv.ErrLeaseEnded
	}
	return 0, err
}

// Revoke implements kv.Store.
func (s *Store) Revoke(_ context.Context, id kv.LeaseID) error {
	execute, err := s.begin("Revoke")
	defer s.mu.Unlock()
	if execute {
		s.endLease(id)
	}
	return err
}

// endLease ends a lease and deletes its keys. s.mu is held.
func (s *Store) endLease(id kv.LeaseID) {
	if !s.leases[id] {
		return
	}
	delete(s.leases, id)
	s.revision++
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
	s.signal()
}

// signal wakes all watches. s.mu is held.
func (s *Store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}
