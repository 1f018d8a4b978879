// Package cluster runs entry hosts as real processes on loopback addresses, with fakes of the platform in the test
// process and a fault-injecting proxy on every link. Each entry host connects from its own loopback address, so that
// a proxy can tell the links apart.
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

// Location is where an address lies: a data centre, or Platform for the store and the host list.
type Location string

// Platform is the place of the store and the host list.
const Platform Location = "platform"

// Link is a connection direction between two places or hosts: from the connecting side to the serving side.
type Link struct {
	From structs.HostID // connecting entry host
	To   string         // host id of the serving side; "store" or "hostlist"
}

// network creates a front for each serving address and a proxy for each link.
type network struct {
	mu      sync.Mutex
	sources map[netip.Addr]structs.HostID
	places  map[string]Location // of host ids, "store" and "hostlist"
	fronts  map[string]*front
	proxies map[Link]*faultproxy.Proxy
	traffic map[Link]*counters
	cut     func(from, to string) bool
	delay   func(from, to Location) time.Duration
}

func newNetwork(delay func(from, to Location) time.Duration) *network {
	return &network{
		sources: map[netip.Addr]structs.HostID{},
		places:  map[string]Location{},
		fronts:  map[string]*front{},
		proxies: map[Link]*faultproxy.Proxy{},
		traffic: map[Link]*counters{},
		cut:     func(string, string) bool { return false },
		delay:   delay,
	}
}

// front accepts connections for one serving address and hands each to the proxy of its link.
type front struct {
	net      *network
	name     string
	target   string
	address  string
	mu       sync.Mutex
	listener net.Listener
}

// expose returns an address at which entry hosts reach target through the proxies.
func (n *network) expose(name string, place Location, target string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	f := &front{net: n, name: name, target: target, address: listener.Addr().String(), listener: listener}
	n.mu.Lock()
	n.places[name] = place
	n.fronts[name] = f
	n.mu.Unlock()
	go f.accept(listener)
	return f.address, nil
}

// refuse makes connections to name fail with a refusal, as when its process is dead and its machine is up.
func (n *network) refuse(name string) {
	n.mu.Lock()
	f := n.fronts[name]
	n.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.listener.Close()
}

// restore ends refuse.
func (n *network) restore(name string) error {
	n.mu.Lock()
	f := n.fronts[name]
	n.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	listener, err := net.Listen("tcp", f.address)
	if err != nil {
		return err
	}
	f.listener = listener
	go f.accept(listener)
	return nil
}

func (f *front) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go f.splice(conn.(*net.TCPConn))
	}
}

// splice connects one accepted connection with the proxy of its link.
func (f *front) splice(caller *net.TCPConn) {
	defer caller.Close()
	source := caller.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
	proxy, traffic, err := f.net.proxy(source, f)
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
	go pipe(target, caller, &traffic.toTarget, done)
	go pipe(caller, target, &traffic.toCaller, done)
	<-done
	<-done
}

// pipe copies one direction, counts its bytes and passes on its end, including an abort.
func pipe(to, from *net.TCPConn, bytes *atomic.Int64, done chan<- struct{}) {
	if _, err := io.Copy(countingWriter{to, bytes}, from); err != nil {
		_ = to.SetLinger(0)
		_ = to.Close()
		_ = from.Close()
	} else {
		_ = to.CloseWrite()
	}
	done <- struct{}{}
}

// proxy returns the proxy and the counters of the link from source to f and creates them on first use.
func (n *network) proxy(source netip.Addr, f *front) (*faultproxy.Proxy, *counters, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	link := Link{From: n.sources[source], To: f.name}
	if p, ok := n.proxies[link]; ok {
		return p, n.traffic[link], nil
	}
	p, err := faultproxy.Listen(f.target)
	if err != nil {
		return nil, nil, err
	}
	n.proxies[link], n.traffic[link] = p, &counters{}
	n.apply(link, p)
	return p, n.traffic[link], nil
}

// apply sets the delay and the cut state of a link. Called with mu held.
func (n *network) apply(link Link, p *faultproxy.Proxy) {
	from, to := n.places[string(link.From)], n.places[link.To]
	d := n.delay(from, to)
	p.SetDelay(faultproxy.ToTarget, d, d/4)
	p.SetDelay(faultproxy.ToCaller, d, d/4)
	if n.cut(string(link.From), link.To) {
		p.Cut(faultproxy.ToTarget, faultproxy.ToCaller)
	} else {
		p.Heal(faultproxy.ToTarget, faultproxy.ToCaller)
	}
}

// setCut replaces the rule that tells which links are cut. Names are host ids, "store" and "hostlist".
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
	for _, f := range n.fronts {
		f.mu.Lock()
		_ = f.listener.Close()
		f.mu.Unlock()
	}
	for _, p := range n.proxies {
		p.Close()
	}
}
