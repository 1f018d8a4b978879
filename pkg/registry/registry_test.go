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

// downStore refuses every lease. Other calls than Grant and Revoke are not expected.
type downStore struct {
	kv.Store
	grants, revoked atomic.Int64
}

func (s *downStore) Grant(context.Context, time.Duration) (kv.LeaseID, time.Duration, error) {
	s.grants.Add(1)
	return 0, 0, kv.ErrNotDone
}

func (s *downStore) Revoke(context.Context, kv.LeaseID) error {
	s.revoked.Add(1)
	return nil
}

// Guards against a host that stops without a lease and asks the store to end lease 0, the mark of keys without one.
func TestNoLeaseIsEndedThatWasNotGranted(t *testing.T) {
	store := &downStore{}
	r := New(Config{Store: store, Self: Record{Host: "a"}, Log: eventlog.Discard()})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		r.Run(ctx)
		close(done)
	}()
	poll.Until(t, "a lease was asked for", func() bool { return store.grants.Load() > 0 })
	cancel()
	<-done
	if n := store.revoked.Load(); n != 0 {
		t.Errorf("%d leases ended", n)
	}
}
