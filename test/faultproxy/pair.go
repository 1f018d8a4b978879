package faultproxy

import (
	"net"
	"sync"
	"time"
)

const (
	chunkBytes = 16 << 10
	// queueChunks bounds the chunks that are under way in one direction of a connection. A full queue stops
	// reading, as a full TCP window does.
	queueChunks = 256
)

// pair is one proxied connection.
type pair struct {
	proxy  *Proxy
	caller *net.TCPConn
	done   chan struct{}
	once   sync.Once

	// These fields are guarded by proxy.mu.
	target *net.TCPConn
	budget int  // bytes left before the connection is lost; unlimited for no limit
	lossy  bool // bytes were lost, so the stream can not go on after a partition
}

func newPair(p *Proxy, caller *net.TCPConn, budget int) *pair {
	return &pair{proxy: p, caller: caller, done: make(chan struct{}), budget: budget}
}

// chunk is a piece of the stream under way. Empty data is the end of the stream.
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

func (c *pair) closeNow() {
	c.proxy.mu.Lock()
	defer c.proxy.mu.Unlock()
	c.close()
}

// run forwards both directions until both have ended or the pair is closed.
func (c *pair) run() {
	defer c.proxy.remove(c)
	defer c.closeNow()
	if !c.connect() {
		return
	}
	var pumps sync.WaitGroup
	pumps.Go(func() { c.pump(ToTarget, c.caller, c.target) })
	pumps.Go(func() { c.pump(ToCaller, c.target, c.caller) })
	pumps.Wait()
}

// connect dials the target once the direction to it delivers. While it is cut, the caller waits.
func (c *pair) connect() bool {
	due := c.proxy.due(ToTarget)
	for {
		switch c.await(ToTarget, due) {
		case stop:
			return false
		case lose:
			select {
			case <-c.proxy.change():
			case <-c.done:
			}
			continue
		}
		break
	}
	conn, err := net.DialTimeout("tcp", c.proxy.target, dialTimeout)
	if err != nil {
		return false
	}
	return c.attach(conn.(*net.TCPConn))
}

// attach reports whether the pair is still open.
func (c *pair) attach(target *net.TCPConn) bool {
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

// pump forwards one direction.
func (c *pair) pump(dir Direction, from, to *net.TCPConn) {
	queue := make(chan chunk, queueChunks)
	var reader sync.WaitGroup
	reader.Go(func() { c.read(dir, from, queue) })
	defer reader.Wait()
	for next := range queue {
		if !c.forward(dir, to, next) {
			c.closeNow()
			return
		}
	}
}

// read queues what arrives until the stream ends.
func (c *pair) read(dir Direction, from *net.TCPConn, queue chan<- chunk) {
	defer close(queue)
	for {
		buffer := make([]byte, chunkBytes)
		n, err := from.Read(buffer)
		due := c.proxy.due(dir)
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

// forward delivers or loses one chunk. It returns false when the connection is to be closed.
func (c *pair) forward(dir Direction, to *net.TCPConn, next chunk) bool {
	switch c.await(dir, next.due) {
	case stop:
		return false
	case lose:
		return true
	}
	if len(next.data) == 0 {
		return to.CloseWrite() == nil
	}
	passed, ends := c.take(dir, len(next.data))
	if _, err := to.Write(next.data[:passed]); err != nil {
		return false
	}
	return !ends
}

// take counts n bytes against the limits. It returns how many pass and whether the connection then ends.
func (c *pair) take(dir Direction, n int) (passed int, ends bool) {
	c.proxy.mu.Lock()
	defer c.proxy.mu.Unlock()
	passed = n
	l := &c.proxy.links[dir]
	if l.closeAfter != unlimited {
		if passed > l.closeAfter {
			passed, ends = l.closeAfter, true
			l.closeAfter = unlimited
		} else {
			l.closeAfter -= passed
		}
	}
	if c.budget != unlimited {
		if passed > c.budget {
			passed, ends = c.budget, true
		}
		c.budget -= passed
	}
	return passed, ends
}

// verdict is what happens to a chunk.
type verdict int

const (
	deliver verdict = iota
	lose
	stop // the connection is closed
)

// await waits until a chunk is due and its direction is not frozen.
func (c *pair) await(dir Direction, due time.Time) verdict {
	for {
		state, changed := c.proxy.look(c, dir)
		wait := time.Until(due)
		switch {
		case state.cut:
			return lose
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
			return stop
		}
	}
}

// look returns the state of a direction and a channel that is closed when it changes. It marks the pair as
// lossy when the direction is cut.
func (p *Proxy) look(c *pair, dir Direction) (link, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[dir].cut {
		c.lossy = true
	}
	return p.links[dir], p.changed
}

// change returns a channel that is closed when a link changes.
func (p *Proxy) change() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

// due returns when bytes that arrive now are to be delivered.
func (p *Proxy) due(dir Direction) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[dir]
	d := l.delay
	if l.jitter > 0 {
		d += time.Duration(p.random.Int64N(int64(l.jitter)))
	}
	return time.Now().Add(d)
}
