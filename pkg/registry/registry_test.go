package registry

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
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
