// Package faultproxy is a TCP proxy for tests that injects faults into the network between two processes.
// The faults can be changed at any time and also apply to open connections. The design, a programmable proxy
// in front of each dependency, follows Toxiproxy.
package faultproxy

import (
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
)

// Direction is one of the two directions through a proxy.
type Direction int

// Directions of a proxy.
const (
	ToTarget Direction = iota // from the connecting side to the target
	ToCaller                  // from the target to the connecting side
)

// Both lists the two directions.
var Both = []Direction{ToTarget, ToCaller}

// unlimited is a byte limit at which no connection is closed.
const unlimited = -1

// dialTimeout bounds the time to reach the target.
const dialTimeout = 5 * time.Second

// link is the state of one direction.
type link struct {
	delay      time.Duration
	jitter     time.Duration // largest additional delay
	cut        bool
	frozen     bool
	closeAfter int // bytes until a connection is closed; unlimited for no limit
}

// Proxy forwards TCP connections to a target. It is safe for concurrent use.
type Proxy struct {
	target string
	addr   string

	wg           sync.WaitGroup
	mu           sync.Mutex
	listener     net.Listener // nil while the proxy refuses connections
	links        [2]link
	changed      chan struct{} // closed and replaced when a link changes
	pairs        map[*pair]bool
	accepted     int
	random       *rand.Rand
	lossShare    float64 // share of new connections that are closed by SetLoss
	lossMaxBytes int     // most bytes that such a connection carries
}

// Listen starts a proxy without faults on 127.0.0.1 at a free port. The caller closes it.
func Listen(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Annotate(err, "listen")
	}
	p := &Proxy{
		target: target, addr: listener.Addr().String(),
		changed: make(chan struct{}), pairs: map[*pair]bool{}, random: rand.New(rand.NewPCG(0, 0)),
	}
	for i := range p.links {
		p.links[i].closeAfter = unlimited
	}
	p.listen(listener)
	return p, nil
}

// Start is Listen for tests: it ends the test on errors and closes the proxy when the test ends.
func Start(t testing.TB, target string) *Proxy {
	t.Helper()
	p, err := Listen(target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// Addr returns "127.0.0.1:port".
func (p *Proxy) Addr() string { return p.addr }

// Close closes the listener and all connections.
func (p *Proxy) Close() {
	p.RefuseConnections()
	p.wg.Wait()
}

// RefuseConnections closes all connections and the listener, so that new connections are refused until
// AcceptConnections.
func (p *Proxy) RefuseConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
	p.closePairs(func(*pair) bool { return true })
}

// AcceptConnections listens again at the same address after RefuseConnections. It fails when another process has taken
// the port.
func (p *Proxy) AcceptConnections() error {
	listener, err := net.Listen("tcp", p.addr)
	if err != nil {
		return errors.Annotate(err, "listen again")
	}
	p.listen(listener)
	return nil
}

// SetDelay delays all bytes of a direction by d and a random part of jitter, in their order.
func (p *Proxy) SetDelay(dir Direction, d, jitter time.Duration) {
	p.update(dir, func(l *link) { l.delay, l.jitter = d, jitter })
}

// Cut drops all bytes of the given directions, as a partition does. Connections stay open.
func (p *Proxy) Cut(dirs ...Direction) {
	for _, dir := range dirs {
		p.update(dir, func(l *link) { l.cut = true })
	}
}

// Heal ends Cut. Connections that have lost bytes are closed.
func (p *Proxy) Heal(dirs ...Direction) {
	for _, dir := range dirs {
		p.update(dir, func(l *link) { l.cut = false })
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closePairs(func(c *pair) bool { return c.lostBytes })
}

// SilenceConnections makes the open connections lose all bytes for good, without a reset, and returns their number. New connections
// work.
func (p *Proxy) SilenceConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		c.silent = true
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return len(p.pairs)
}

// Freeze holds back all bytes of the given directions until Thaw.
func (p *Proxy) Freeze(dirs ...Direction) {
	for _, dir := range dirs {
		p.update(dir, func(l *link) { l.frozen = true })
	}
}

// Thaw delivers the bytes that were held back and ends Freeze.
func (p *Proxy) Thaw(dirs ...Direction) {
	for _, dir := range dirs {
		p.update(dir, func(l *link) { l.frozen = false })
	}
}

// CloseAfter lets n more bytes pass in a direction, counted over all connections, and then closes the
// connection that carries the next byte. It acts once.
func (p *Proxy) CloseAfter(dir Direction, n int) {
	p.update(dir, func(l *link) { l.closeAfter = n })
}

// SetLoss closes a share of the connections that are accepted from now on, each after up to maxBytes bytes in both
// directions together. Both draws come from seed, in the order of acceptance.
func (p *Proxy) SetLoss(share float64, maxBytes int, seed uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lossShare, p.lossMaxBytes, p.random = share, maxBytes, rand.New(rand.NewPCG(seed, 0))
}

// CloseConnections closes all open connections once.
func (p *Proxy) CloseConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closePairs(func(*pair) bool { return true })
}

// Accepted returns the number of connections accepted so far.
func (p *Proxy) Accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

func (p *Proxy) update(dir Direction, change func(*link)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.links[dir])
	close(p.changed)
	p.changed = make(chan struct{})
}

// closePairs is called with p.mu held.
func (p *Proxy) closePairs(selected func(*pair) bool) {
	for c := range p.pairs {
		if selected(c) {
			c.close()
		}
	}
}

func (p *Proxy) listen(listener net.Listener) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener = listener
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		p.acceptFrom(listener)
	}()
}

// acceptFrom accepts connections until the listener is closed.
func (p *Proxy) acceptFrom(listener net.Listener) {
	for {
		caller, err := listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		c := newPair(p, caller.(*net.TCPConn), p.drawBudget())
		p.accepted++
		p.pairs[c] = true
		if p.listener != listener { // RefuseConnections was called meanwhile
			c.close()
		}
		p.wg.Add(1)
		p.mu.Unlock()
		go func() {
			defer p.wg.Done()
			c.run()
		}()
	}
}

// drawBudget returns how many bytes a new connection carries before it is closed. p.mu is held.
func (p *Proxy) drawBudget() int {
	if p.lossShare == 0 || p.random.Float64() >= p.lossShare {
		return unlimited
	}
	return p.random.IntN(p.lossMaxBytes + 1)
}

func (p *Proxy) remove(c *pair) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pairs, c)
}
