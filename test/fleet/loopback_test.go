package fleet

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"

	"fulmarcourse.example/fulmarcourse/pkg/standin/fleet"
)

// Second octets of the loopback addresses of entry hosts.
const (
	firstOctet = 10
	octets     = 200
)

// network is a range of loopback addresses that one test process uses.
type network struct {
	octet int          // second one of its addresses
	claim net.Listener // at the highest address, while the network is in use
}

// claimNetwork claims a network that no other test process has claimed.
func claimNetwork() (network, error) {
	var err error
	for n := range octets {
		octet := firstOctet + (os.Getpid()+n)%octets
		var claim net.Listener
		if claim, err = net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", octet, fleet.PeerPort)); err == nil {
			return network{octet, claim}, nil
		}
	}
	return network{}, fmt.Errorf("no network is free: %w", err)
}

// processNetwork returns the network of this test process, which is claimed until the process ends.
var processNetwork = sync.OnceValues(claimNetwork)

// nextAddress counts the loopback addresses in use. Each entry host has its own, because all of them use the same
// ports.
var nextAddress atomic.Uint32

// loopback returns a new loopback address, which no other test process uses.
func loopback(t testing.TB) string {
	t.Helper()
	network, err := processNetwork()
	if err != nil {
		t.Fatal(err)
	}
	n := nextAddress.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", network.octet, 1+n/200, 1+n%200)
}

// Guards against test processes that use the same addresses at the same time: hosts of one fail to start, and those of the other get
// its jobs.
func TestNetworkIsClaimedOnce(t *testing.T) {
	own, err := processNetwork()
	if err != nil {
		t.Fatal(err)
	}
	other, err := claimNetwork()
	if err != nil {
		t.Fatal(err)
	}
	if other.octet == own.octet {
		t.Errorf("two claims of network 127.%d.0.0/16", own.octet)
	}
	if err := other.claim.Close(); err != nil {
		t.Error(err)
	}
}
