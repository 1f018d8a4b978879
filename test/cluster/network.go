// Package cluster runs entry hosts as real processes on loopback addresses, with fakes of the platform in the test
// process and a fault-injecting proxy on every link. Each entry host connects from its own loopback address, so that
// a proxy can distinguish the links.
package cluster

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/test/faultproxy"
)

// Location is the location of an address: a data centre, or Platform for the store and the host list.
type Location string

// Platform is the location of the store and the host list.
const Platform Location = "platform"

// Link identifies the connections from one entry host to one serving process.
type Link struct {
	From structs.HostID // connecting entry host
	To   string         // host id of the serving side; "store" or "hostlist"
}

// network creates an acceptor for each serving address and a proxy for each link.
type network struct {
	mu        sync.Mutex
	sources   map[netip.Addr]structs.HostID
	locations map[string]Location // of host ids, "store" and "hostlist"
	acceptors map[string]*acceptor
	proxies   map[Link]*faultproxy.Proxy
	traffic   map[Link]*counters
	cut       func(from, to string) bool
	delay     func(from, to Location) time.Duration
}

func newNetwork(delay func(from, to Location) time.Duration) *network {
	return &network{
		sources:   map[netip.Addr]structs.HostID{},
		locations: map[string]Location{},
		acceptors: map[string]*acceptor{},
		proxies:   map[Link]*faultproxy.Proxy{},
		traffic:   map[Link]*counters{},
		cut:       func(string, string) bool { return false },
		delay:     delay,
	}
}

// acceptor accepts connections for one serving address and forwards each through the proxy of its link.
type acceptor struct {
	net      *network
	name     string
	target   string
	address  string
	mu       sync.Mutex
	listener net.Listener
}

// expose returns an address at which entry hosts reach target through the proxies.
func (n *network) expose(name string, location Location, target string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	a := &acceptor{net: n, name: name, target: target, address: listener.Addr().String(), listener: listener}
	n.mu.Lock()
	n.locations[name] = location
	n.acceptors[name] = a
	n.mu.Unlock()
	go a.accept(listener)
	return a.address, nil
}

// refuseConnections makes connections to name fail with a refusal, as on a host that is up but does not run the
// process.
func (n *network) refuseConnections(name string) {
	n.mu.Lock()
	a := n.acceptors[name]
	n.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	_ = a.listener.Close()
}

// acceptConnections reverts refuseConnections.
func (n *network) acceptConnections(name string) error {
	n.mu.Lock()
	a := n.acceptors[name]
	n.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	listener, err := net.Listen("tcp", a.address)
	if err != nil {
		return err
	}
	a.listener = listener
	go a.accept(listener)
	return nil
}

func (a *acceptor) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go a.forward(conn.(*net.TCPConn))
	}
}

// forward copies both directions of an accepted connection through the proxy of its link.
func (a *acceptor) forward(caller *net.TCPConn) {
	defer caller.Close()
	source := caller.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	proxy, traffic, err := a.net.proxy(source, a)
	if err != nil {
		return
	}
	conn, err := net.Dial("tcp", proxy.Addr())
	if err != nil {
		return
	}
	target := conn.(*net.TCPConn)
	defer target.Close()
	done := make(chan struct{}, 2)
	go copyStream(target, caller, &traffic.toTarget, done)
	go copyStream(caller, target, &traffic.toCaller, done)
	<-done
	<-done
}

// copyStream copies one direction, counts its bytes and propagates its end or abort.
func copyStream(to, from *net.TCPConn, bytes *atomic.Int64, done chan<- struct{}) {
	if _, err := io.Copy(countingWriter{to, bytes}, from); err != nil {
		_ = to.SetLinger(0)
		_ = to.Close()
		_ = from.Close()
	} else {
		_ = to.CloseWrite()
	}
	done <- struct{}{}
}

// proxy returns the proxy and the counters of the link from source to a and creates them on first use.
func (n *network) proxy(source netip.Addr, a *acceptor) (*faultproxy.Proxy, *counters, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	link := Link{From: n.sources[source], To: a.name}
	if p, ok := n.proxies[link]; ok {
		return p, n.traffic[link], nil
	}
	p, err := faultproxy.Listen(a.target)
	if err != nil {
		return nil, nil, err
	}
	n.proxies[link], n.traffic[link] = p, &counters{}
	n.apply(link, p)
	return p, n.traffic[link], nil
}

// apply sets the delay and the cut state of a link. Called with mu held.
func (n *network) apply(link Link, p *faultproxy.Proxy) {
	from, to := n.locations[string(link.From)], n.locations[link.To]
	d := n.delay(from, to)
	p.SetDelay(faultproxy.ToTarget, d, d/4)
	p.SetDelay(faultproxy.ToCaller, d, d/4)
	if n.cut(string(link.From), link.To) {
		p.Cut(faultproxy.ToTarget, faultproxy.ToCaller)
	} else {
		p.Heal(faultproxy.ToTarget, faultproxy.ToCaller)
	}
}

// setCut replaces the function that selects the links to cut. Names are host ids, "store" and "hostlist".
func (n *network) setCut(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
	for link, p := range n.proxies {
		n.apply(link, p)
	}
}

func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range n.acceptors {
		a.mu.Lock()
		_ = a.listener.Close()
		a.mu.Unlock()
	}
	for _, p := range n.proxies {
		p.Close()
	}
}
