// Package storetest provides an in-memory store with fault injection for tests of packages that use pkg/store. It uses
// the types and errors of pkg/store. Production code must not import it.
package storetest

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// Config configures a Store.
type Config struct {
	// Clock is used for the expiry of leases and the time of range reads. Leases never expire if it is nil.
	Clock func() time.Time
	// Revision is the initial revision of the store.
	Revision int64
}

// Store is one connection to an in-memory store. It is safe for concurrent use.
type Store struct {
	*state
	choose      func(Call) Fault // chooses the fault of each call; never nil
	down        bool
	calls       int
	txns        []store.Txn
	beforeWrite func()        // nil if none
	afterRange  func()        // nil if none
	gate        chan struct{} // transactions wait until it is closed; nil if none
}

// NewStore returns an empty store without faults.
func NewStore(cfg Config) *Store {
	return &Store{choose: none, state: &state{
		clock: cfg.Clock, revision: cfg.Revision, entries: map[string]store.KeyValue{}, leases: map[store.LeaseID]lease{},
	}}
}

// Connect returns a further connection to the same data, with its own faults, hooks and counts.
func (s *Store) Connect() *Store { return &Store{choose: none, state: s.state} }

// begin counts a call and returns its fault. An error means that the call must not take effect now. The caller holds
// mu.
func (s *Store) begin(ctx context.Context, call Call) (Fault, error) {
	s.calls++
	if s.down || ctx.Err() != nil {
		return Unavailable, errors.Trace(store.ErrUnavailable)
	}
	fault := s.choose(call)
	s.expire()
	switch {
	case fault == NoFault:
		return NoFault, nil
	case fault == Unavailable || !call.Write:
		return fault, errors.Trace(store.ErrUnavailable)
	case fault == LostRequest:
		return fault, errors.Trace(store.ErrUncertain)
	case fault == Delayed:
		if call.Op == OpTxn {
			s.delayed = append(s.delayed, call.Txn)
		}
		return fault, errors.Trace(store.ErrUncertain)
	case fault == Held:
		if call.Op == OpTxn {
			s.held = append(s.held, call.Txn)
		}
		return fault, errors.Trace(store.ErrUncertain)
	}
	return fault, nil
}

// end returns the error that the caller of a call with the given fault and result err receives. The caller holds mu.
func (s *Store) end(fault Fault, err error) error {
	s.down = s.down || fault == Cut
	if fault != NoFault {
		err = store.ErrUncertain
	}
	return errors.Trace(err)
}

// Get reads one key, like Get of store.Client.
func (s *Store) Get(ctx context.Context, key string) (store.KeyValue, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.begin(ctx, Call{Op: OpGet}); err != nil {
		return store.KeyValue{}, false, err
	}
	kv, found := s.entries[key]
	return kv, found, nil
}

// Range reads the keys that start with prefix and whose last change was at minModRevision or later, in key order.
func (s *Store) Range(ctx context.Context, prefix string, minModRevision int64) (store.RangeResult, error) {
	defer s.runHook(&s.afterRange)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.begin(ctx, Call{Op: OpRange}); err != nil {
		return store.RangeResult{}, err
	}
	result := store.RangeResult{Revision: s.revision, SentAt: s.now()}
	for key, kv := range s.entries {
		if strings.HasPrefix(key, prefix) && kv.ModRevision >= minModRevision {
			result.Entries = append(result.Entries, kv)
		}
	}
	slices.SortFunc(result.Entries, func(a, b store.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return result, nil
}

// Txn runs one transaction. Errors match store.ErrUnavailable, store.ErrUncertain or store.ErrLeaseNotFound.
func (s *Store) Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error) {
	if isWrite(txn) {
		s.runHook(&s.beforeWrite)
	}
	s.wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.txns = append(s.txns, txn)
	fault, err := s.begin(ctx, Call{Op: OpTxn, Write: isWrite(txn), Txn: txn})
	if err != nil {
		return store.TxnResult{}, err
	}
	result, err := s.apply(txn)
	s.applyDelayed()
	if err = s.end(fault, err); err != nil {
		return store.TxnResult{}, err
	}
	return result, nil
}

// wait returns when transactions are not blocked by Block.
func (s *Store) wait() {
	s.mu.Lock()
	gate := s.gate
	s.mu.Unlock()
	if gate != nil {
		<-gate
	}
}

// GrantLease creates a lease that expires after ttl. Lease ids are assigned sequentially from 1.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault, err := s.begin(ctx, Call{Op: OpGrantLease, Write: true})
	if err != nil {
		return 0, err
	}
	s.granted++
	s.leases[s.granted] = lease{ttl: ttl, expires: s.now().Add(ttl)}
	if err := s.end(fault, nil); err != nil {
		return 0, err
	}
	return s.granted, nil
}

// KeepAlive renews a lease and returns its time to live.
func (s *Store) KeepAlive(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault, err := s.begin(ctx, Call{Op: OpKeepAlive, Write: true})
	if err != nil {
		return 0, err
	}
	renewed, known := s.leases[id]
	if !known {
		return 0, s.end(fault, store.ErrLeaseNotFound)
	}
	renewed.expires = s.now().Add(renewed.ttl)
	s.leases[id] = renewed
	if err := s.end(fault, nil); err != nil {
		return 0, err
	}
	return renewed.ttl, nil
}

// RevokeLease ends a lease and deletes its keys.
func (s *Store) RevokeLease(ctx context.Context, id store.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault, err := s.begin(ctx, Call{Op: OpRevokeLease, Write: true})
	if err != nil {
		return err
	}
	if _, known := s.leases[id]; !known {
		return s.end(fault, store.ErrLeaseNotFound)
	}
	s.revoke(id)
	return s.end(fault, nil)
}
