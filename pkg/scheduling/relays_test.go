package scheduling

import (
	"context"
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"fulmarcourse.example/fulmarcourse/pkg/dispatch"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
	"fulmarcourse.example/fulmarcourse/pkg/registry"
	"fulmarcourse.example/fulmarcourse/pkg/relay"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
	"fulmarcourse.example/fulmarcourse/pkg/term"
	"fulmarcourse.example/fulmarcourse/test/poll"
)

// Scenario: host b answers at an address with which host a is registered as well. Guards against hosts whose calls to relays do not name
// the registered host, or whose own name is not known to their server: both records would lead to the relay of b.
func TestRelayOfAnotherHostRefusesCalls(t *testing.T) {
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
	store := kvtest.NewStore()
	for _, host := range []string{"a", "b"} {
		record, err := json.Marshal(registry.Record{Host: host, Address: address})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := store.Commit(t.Context(), kv.Txn{Put: []kv.Put{{Key: statekeys.Host(host), Value: record}}}); err != nil {
			t.Fatal(err)
		}
	}
	n := NewNode(Config{Self: term.Record{Host: "owner"}, Partitions: 1, Store: store, Log: eventlog.Discard(), Scope: tally.NoopScope})
	defer n.pool.Close()
	poll.Background(t, n.registry.Follow)
	hosts := func() []dispatch.RelayHost { return (&relayHosts{n, 0}).RelayHosts() }
	poll.Until(t, "both hosts are listed", func() bool { return len(hosts()) == 3 })
	update := func(name string) error {
		listed := hosts()
		host := listed[slices.IndexFunc(listed, func(h dispatch.RelayHost) bool { return h.Name == name })]
		if host.Address != address {
			t.Errorf("host %s has the address %q, want %q", name, host.Address, address)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		return host.Client.Update(ctx, relay.Update{Term: 1})
	}
	poll.Until(t, "the relay of b takes updates", func() bool { return update("b") == nil })
	if err := update("a"); !errors.Is(err, relay.ErrOtherHost) {
		t.Errorf("an update for host a that host b receives returns %v", err)
	}
}
