package registry

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
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
