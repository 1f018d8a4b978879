package scheduling

import (
	"context"
	"net"
	"testing"

	"github.com/uber-go/tally/v4"

	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
	"fulmarcourse.example/fulmarcourse/pkg/term"
	"fulmarcourse.example/fulmarcourse/test/poll"
)

// unusedAddress returns an address of this machine at which nothing listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = listener.Close()
	return listener.Addr().String()
}

// Scenario: the process of an owner has ended, and another host has taken over its address before the owner's record has. Guards against
// taking the answers of the other host for those of the owner: the partition has no owner until the lease of the record has expired,
// which takes as long as the shortest lease of the store. An owner that answers at its address keeps its lease.
func TestLeaseOfAnOwnerWhoseAddressIsTakenIsRevoked(t *testing.T) {
	address := unusedAddress(t)
	answering := NewNode(Config{
		Self: term.Record{Host: "b", Incarnation: "b1", Address: address}, Listen: address, Partitions: 1, Store: kvtest.NewStore(),
		Configured: func() bool { return false }, Log: eventlog.Discard(), Scope: tally.NoopScope,
	})
	poll.Background(t, func(ctx context.Context) {
		if err := answering.Run(ctx, ctx); err != nil {
			t.Error(err)
		}
	})
	for host, taken := range map[string]bool{"a": true, "b": false} {
		store := kvtest.NewStore()
		lease, _, err := store.Grant(t.Context(), term.TTL)
		if err != nil {
			t.Fatal(err)
		}
		n := NewNode(Config{Partitions: 1, Store: store, Log: eventlog.Discard(), Scope: tally.NoopScope})
		defer n.pool.Close()
		poll.Until(t, "host b answers", func() bool {
			conn, err := net.Dial("tcp", address)
			if err == nil {
				_ = conn.Close()
			}
			return err == nil
		})
		n.view.Reset([]kv.Item{{Key: statekeys.Owner(0), Revision: 3, Lease: lease,
			Value: []byte(`{"host":"` + host + `","incarnation":"a0","address":"` + address + `","term":1}`)}})
		ctx, cancel := context.WithTimeout(t.Context(), 4*pingInterval)
		n.watchOwner(ctx, 0)
		cancel()
		if _, err := store.KeepAlive(t.Context(), lease); (err != nil) != taken {
			t.Errorf("owner on host %s, host b at its address: after %v the lease has the error %v", host, 4*pingInterval, err)
		}
	}
}
