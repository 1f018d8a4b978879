package scheduling

import (
	"fmt"
	"testing"

	"github.com/uber-go/tally/v4"

	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
)

// Scenario: a deployment of 600 entry hosts, of which each polls a few workers. Guards against an owner that cannot keep a
// connection to each of its relays: it would close those between two calls, or count relays as lost that it cannot call, and
// their workers would not be polled.
func TestOwnerKeepsConnectionsToAllRelays(t *testing.T) {
	const hosts = 600
	scope := tally.NewTestScope("", nil)
	n := NewNode(Config{Partitions: 1, Store: kvtest.NewStore(), Log: eventlog.Discard(), Scope: scope})
	defer n.pool.Close()
	for host := range hosts {
		if _, err := n.pool.Conn(fmt.Sprintf("127.0.%d.%d:1", host/256, host%256)); err != nil {
			t.Fatal(err)
		}
	}
	if open := scope.Snapshot().Gauges()["peer_connections+"].Value(); open != hosts {
		t.Errorf("%v connections, want %d", open, hosts)
	}
}
