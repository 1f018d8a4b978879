package registry

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
	"fulmarcourse.example/fulmarcourse/test/poll"
)

// refusingStore is a store that refuses to grant leases. Only Grant and Revoke may be called.
type refusingStore struct {
	kv.Store
	grants, revoked atomic.Int64
}

func (s *refusingStore) Grant(context.Context, time.Duration) (kv.LeaseID, time.Duration, error) {
	s.grants.Add(1)
	return 0, 0, kv.ErrNotDone
}

func (s *refusingStore) Revoke(context.Context, kv.LeaseID) error {
	s.revoked.Add(1)
	return nil
}

// Guards against a host that stops without having been granted a lease and revokes lease 0, which denotes keys without
// a lease.
func TestNoLeaseIsEndedThatWasNotGranted(t *testing.T) {
	store := &refusingStore{}
	r := New(Config{Store: store, Self: Record{Host: "a"}, Log: eventlog.Discard()})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		r.Run(ctx)
		close(done)
	}()
	poll.Until(t, "a lease was requested", func() bool { return store.grants.Load() > 0 })
	cancel()
	<-done
	if n := store.revoked.Load(); n != 0 {
		t.Errorf("%d leases were revoked, want 0", n)
	}
}

// Guards against leases that nobody renews or revokes: each was granted for a record that was not written.
func TestLeaseOfAFailedWriteIsRevoked(t *testing.T) {
	store := kvtest.NewStore()
	granted, revoked := 0, 0
	store.SetFault(func(call string) kvtest.Fault {
		switch call {
		case "Commit":
			return kvtest.LoseRequest
		case "Grant":
			granted++
		case "Revoke":
			revoked++
		}
		return kvtest.None
	})
	r := New(Config{Store: store, Self: Record{Host: "a"}, Log: eventlog.Discard()})
	if lease := r.refresh(t.Context(), 0); lease != 0 {
		t.Errorf("registered under lease %d although the record was not written", lease)
	}
	if granted != 1 || revoked != 1 {
		t.Errorf("%d leases granted and %d revoked, want 1 of each", granted, revoked)
	}
}

// heldStore is a store that keeps the first commit back and answers it as uncertain. carryOut executes it.
type heldStore struct {
	*kvtest.Store
	held *kv.Txn
}

func (s *heldStore) Commit(ctx context.Context, txn kv.Txn) (int64, error) {
	if s.held == nil {
		s.held = &txn
		return 0, kv.ErrUncertain
	}
	return s.Store.Commit(ctx, txn)
}

func (s *heldStore) carryOut(t *testing.T) {
	_, err := s.Store.Commit(t.Context(), *s.held)
	t.Logf("the late write returns %v", err)
}

// Guards against a host that is missing from the list for good: the store carries out a registration seconds late, after a
// later one, and the record ends with the lease of the earlier one while the host renews the later one. The earlier write may
// be one of this process or of the previous process of the host.
func TestLateRegistrationDoesNotReplaceALaterOne(t *testing.T) {
	store := &heldStore{Store: kvtest.NewStore()}
	self := Record{Host: "a", Incarnation: "former"}
	late := New(Config{Store: store, Self: self, Log: eventlog.Discard()})
	store.SetFault(func(call string) kvtest.Fault {
		if call == "Revoke" {
			return kvtest.LoseRequest
		}
		return kvtest.None
	})
	if lease := late.refresh(t.Context(), 0); lease != 0 {
		t.Fatalf("registered under lease %d although the write is uncertain", lease)
	}
	self.Incarnation = "current"
	r := New(Config{Store: store, Self: self, Log: eventlog.Discard()})
	lease := r.refresh(t.Context(), 0)
	if lease == 0 {
		t.Fatal("not registered")
	}
	store.carryOut(t)
	store.EndLease(1) // of the earlier registration, which nobody renews
	if r.refresh(t.Context(), lease) != lease {
		t.Error("the lease of the registration has ended")
	}
	item, found, err := store.Get(t.Context(), statekeys.Host("a"))
	if err != nil || !found || item.Lease != lease {
		t.Errorf("record found: %t, lease %d, error %v; want it under lease %d", found, item.Lease, err, lease)
	}
}

// Guards against a process that does not register while the record of the previous process of its host exists, or after a
// write of its own of which it does not know.
func TestRegistrationReplacesAnEarlierRecord(t *testing.T) {
	store := kvtest.NewStore()
	former := New(Config{Store: store, Self: Record{Host: "a", Incarnation: "former"}, Log: eventlog.Discard()})
	if former.refresh(t.Context(), 0) == 0 {
		t.Fatal("not registered")
	}
	lost := true
	store.SetFault(func(call string) kvtest.Fault {
		if lost && (call == "Commit" || call == "Revoke") {
			return kvtest.LoseResponse
		}
		return kvtest.None
	})
	r := New(Config{Store: store, Self: Record{Host: "a", Incarnation: "current"}, Log: eventlog.Discard()})
	r.refresh(t.Context(), 0)
	lost = false
	if lease := r.refresh(t.Context(), 0); lease == 0 {
		t.Error("not registered after a write without an answer")
	}
	item, _, err := store.Get(t.Context(), statekeys.Host("a"))
	if err != nil || !strings.Contains(string(item.Value), "current") {
		t.Errorf("record %s, error %v; want that of the current process", item.Value, err)
	}
}
