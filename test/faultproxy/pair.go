package faultproxy

import (
	"net"
	"sync"
	"time"
)

const (
	chunkBytes = 16 << 10
	// queueChunks bounds the chunks in flight in one direction of a connection. A full queue stops reading, as a
	// full TCP window does.
	queueChunks = 256
)

// pair is one proxied connection: the connection of the caller and the one to the target.
type pair struct {
	proxy  *Proxy
	caller *net.TCPConn
	done   chan struct{}
	once   sync.Once

	// These fields are guarded by proxy.mu.
	target    *net.TCPConn
	budget    int  // bytes that may still pass before the connection is closed; unlimited for no limit
	lostBytes bool // bytes were lost, so the stream cannot continue after a partition
	silent    bool // all bytes are lost from now on, and the connection stays open
}

func newPair(p *Proxy, caller *net.TCPConn, budget int) *pair {
	return &pair{proxy: p, caller: caller, done: make(chan struct{}), budget: budget}
}

// chunk is a part of the stream in flight. Empty data stands for the end of the stream.
type chunk struct {
	data []byte
	due  time.Time
}

// close ends both connections. The caller holds proxy.mu.
func (c *pair) close() {
	c.once.Do(func() {
		close(c.done)
		_ = c.caller.Close()
		if c.target != nil {
			_ = c.target.Close()
		}
	})
}

func (c *pair) lockAndClose() {
	c.proxy.mu.Lock()
	defer c.proxy.mu.Unlock()
	c.close()
}

// run forwards both directions until both have ended or the pair is closed.
func (c *pair) run() {
	defer c.proxy.remove(c)
	defer c.lockAndClose()
	if !c.connect() {
		return
	}
	var streams sync.WaitGroup
	streams.Go(func() { c.forwardStream(ToTarget, c.caller, c.target) })
	streams.Go(func() { c.forwardStream(ToCaller, c.target, c.caller) })
	streams.Wait()
}

// connect dials the target as soon as bytes can pass in its direction. While that is cut, the caller waits.
func (c *pair) connect() bool {
	due := c.proxy.dueTime(ToTarget)
	for {
		switch c.awaitDelivery(ToTarget, due) {
		case abort:
			return false
		case drop:
			select {
			case <-c.proxy.linkChanged():
			case <-c.done:
				return false
			}
			continue
		}
		break
	}
	conn, err := net.DialTimeout("tcp", c.proxy.target, dialTimeout)
	if err != nil {
		return false
	}
	return c.setTarget(conn.(*net.TCPConn))
}

// setTarget stores the connection to the target and reports whether the pair is still open.
func (c *pair) setTarget(target *net.TCPConn) bool {
	c.proxy.mu.Lock()
	defer c.proxy.mu.Unlock()
	c.target = target
	select {
	case <-c.done:
		_ = target.Close()
		return false
	default:
		return true
	}
}

// forwardStream forwards one direction until the stream ends or the pair is closed.
func (c *pair) forwardStream(dir Direction, from, to *net.TCPConn) {
	queue := make(chan chunk, queueChunks)
	var reader sync.WaitGroup
	reader.Go(func() { c.read(dir, from, queue) })
	defer reader.Wait()
	for next := range queue {
		if !c.forward(dir, to, next) {
			c.lockAndClose()
			return
		}
	}
}

// read queues received bytes until the stream ends.
func (c *pair) read(dir Direction, from *net.TCPConn, queue chan<- chunk) {
	defer close(queue)
	for {
		buffer := make([]byte, chunkBytes)
		n, err := from.Read(buffer)
		due := c.proxy.dueTime(dir)
		if n > 0 && !c.enqueue(queue, chunk{buffer[:n], due}) {
			return
		}
		if err != nil {
			c.enqueue(queue, chunk{nil, due})
			return
		}
	}
}

func (c *pair) enqueue(queue chan<- chunk, next chunk) bool {
	select {
	case queue <- next:
		return true
	case <-c.done:
		return false
	}
}

// forward delivers or drops one chunk. It returns false when the connection is to be closed.
func (c *pair) forward(dir Direction, to *net.TCPConn, next chunk) bool {
	switch c.awaitDelivery(dir, next.due) {
	case abort:
		return false
	case drop:
		return true
	}
	if len(next.data) == 0 {
		return to.CloseWrite() == nil
	}
	passed, closes := c.applyLimits(dir, len(next.data))
	if _, err := to.Write(next.data[:passed]); err != nil {
		return false
	}
	return !closes
}

// applyLimits counts n bytes against closeAfter and the budget. It returns how many bytes pass and whether the
// connection is then closed.
func (c *pair) applyLimits(dir Direction, n int) (passed int, closes bool) {
	c.proxy.mu.Lock()
	defer c.proxy.mu.Unlock()
	passed = n
	l := &c.proxy.links[dir]
	if l.closeAfter != unlimited {
		if passed > l.closeAfter {
			passed, closes = l.closeAfter, true
			l.closeAfter = unlimited
		} else {
			l.closeAfter -= passed
		}
	}
	if c.budget != unlimited {
		if passed > c.budget {
			passed, closes = c.budget, true
		}
		c.budget -= passed
	}
	return passed, closes
}

// action is what to do with a chunk.
type action int

const (
	deliver action = iota
	drop
	abort // the connection is closed
)

// awaitDelivery waits until a chunk is due and its direction is not frozen. It returns early when the direction is
// cut or the pair is closed.
func (c *pair) awaitDelivery(dir Direction, due time.Time) action {
	for {
		state, changed := c.proxy.linkState(c, dir)
		wait := time.Until(due)
		switch {
		case state.cut:
			return drop
		case !state.frozen && wait <= 0:
			return deliver
		}
		var ready <-chan time.Time
		if !state.frozen {
			timer := time.NewTimer(wait)
			defer timer.Stop()
			ready = timer.C
		}
		select {
		case <-ready:
		case <-changed:
		case <-c.done:
			return abort
		}
	}
}

// linkState returns the state of a direction and a channel that is closed when it changes. It sets
// lostBytes of the pair when the direction is cut.
func (p *Proxy) linkState(c *pair, dir Direction) (link, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.links[dir]
	state.cut = state.cut || c.silent
	if state.cut {
		c.lostBytes = true
	}
	return state, p.changed
}

// linkChanged returns a channel that is closed when a link changes.
func (p *Proxy) linkChanged() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// dueTime returns the time at which bytes that arrive now are to be delivered.
func (p *Proxy) dueTime(dir Direction) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[dir]
	d := l.delay
	if l.jitter > 0 {
		d += time.Duration(p.random.Int64N(int64(l.jitter)))
	}
	return time.Now().Add(d)
}
