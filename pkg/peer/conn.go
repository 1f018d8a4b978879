package peer

import (
	"context"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/status"
)

// silenceTimeout is the time without any reply to the calls on a connection after which a call that ends without a reply has the
// connection replaced. It is shorter than the timeout of a usual call, so that the next call has a working connection.
const silenceTimeout = 800 * time.Millisecond

// replacementWait is how long a call waits for a connection that is being replaced. A new connection takes two round trips.
const replacementWait = 200 * time.Millisecond

// Conn is the connection of a Pool to one peer. It implements grpc.ClientConnInterface.
//
// An open connection may lose all bytes for good, without a reset, while new ones work. Keep-alive and kernel notice it after about
// 10 s. A connection on which calls get no reply for silenceTimeout is therefore replaced, but only once another one to the same
// peer is ready: a peer that is paused or overloaded keeps the connection, and calls in progress keep theirs in any case.
type Conn struct {
	pool *Pool
	addr string

	// The fields below are guarded by pool.mu.
	transport *transport    // used by new calls
	retired   []*transport  // replaced ones with calls in progress
	replacing chan struct{} // closed once the attempt to replace the transport has ended; nil unless there is one
	closed    bool
	calls     int // calls in progress
	lastUsed  time.Time
}

// transport is one gRPC connection to a peer. Its mutable fields are guarded by Pool.mu.
type transport struct {
	client *grpc.ClientConn
	calls  int // calls in progress
	// unansweredSince is when the oldest call was sent of those since the latest reply; with calls in progress it is not before that
	// reply. It is zero if there is none.
	unansweredSince time.Time
}

// Invoke performs one unary call.
func (c *Conn) Invoke(ctx context.Context, method string, args, reply any, opts ...grpc.CallOption) error {
	c.awaitReplacement(ctx)
	t := c.begin()
	err := t.client.Invoke(ctx, method, args, reply, opts...)
	if c.end(t, replied(err)) {
		go c.replace(t)
	}
	return err
}

// NewStream is not supported: the peer protocol has unary calls only, and a stream would not be counted in calls.
func (c *Conn) NewStream(context.Context, *grpc.StreamDesc, string, ...grpc.CallOption) (grpc.ClientStream, error) {
	return nil, errors.NotSupportedf("streams between entry hosts")
}

// replied reports whether a call that ended with err had a reply from the peer. A peer that fails a call by a deadline of its own does
// so at about the time at which the caller's passes.
func replied(err error) bool {
	switch status.Code(err) {
	case codes.DeadlineExceeded, codes.Canceled, codes.Unavailable:
		return false
	}
	return true
}

// awaitReplacement waits until an attempt to replace the transport has ended, for replacementWait at most.
func (c *Conn) awaitReplacement(ctx context.Context) {
	c.pool.mu.Lock()
	replacing := c.replacing
	c.pool.mu.Unlock()
	if replacing == nil {
		return
	}
	timer := time.NewTimer(replacementWait)
	defer timer.Stop()
	select {
	case <-replacing:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// begin records the start of a call and returns the transport for it.
func (c *Conn) begin() *transport {
	now := c.pool.cfg.Clock()
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	t := c.transport
	c.calls++
	t.calls++
	if t.unansweredSince.IsZero() {
		t.unansweredSince = now
	}
	return t
}

// end records the end of a call. It returns true if the transport is to be replaced.
func (c *Conn) end(t *transport, replied bool) bool {
	now := c.pool.cfg.Clock()
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.lastUsed = now
	c.calls--
	t.calls--
	switch {
	case replied && t.calls == 0:
		t.unansweredSince = time.Time{}
	case replied:
		t.unansweredSince = now
	}
	if t != c.transport {
		c.closeUnused()
		return false
	}
	if replied || c.replacing != nil || c.closed || !t.silent(now) {
		return false
	}
	c.replacing = make(chan struct{})
	return true
}

// silent reports whether calls have had no reply for silenceTimeout on an established connection. gRPC itself connects again to a peer
// to which there is none.
func (t *transport) silent(now time.Time) bool {
	return !t.unansweredSince.IsZero() && now.Sub(t.unansweredSince) >= silenceTimeout &&
		t.client.GetState() == connectivity.Ready
}

// replace connects to the peer anew and then uses that connection, unless the silent one has worked again by then.
func (c *Conn) replace(silent *transport) {
	fresh, ready := c.pool.connect(c.addr)
	if !c.finishReplacement(fresh, ready, silent) {
		closeTransport(fresh)
		return
	}
	c.pool.cfg.Metrics.Counter("peer_connections_replaced").Inc(1)
	if c.pool.cfg.OnReplaced != nil {
		c.pool.cfg.OnReplaced(c.addr)
	}
}

// finishReplacement ends the attempt to replace a silent transport and reports whether a fresh one is used from now on.
func (c *Conn) finishReplacement(fresh *transport, ready bool, silent *transport) bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	close(c.replacing)
	c.replacing = nil
	if !ready || c.closed || !silent.silent(c.pool.cfg.Clock()) {
		return false
	}
	c.transport = fresh
	c.retired = append(c.retired, silent)
	c.closeUnused()
	return true
}

// closeUnused closes the replaced transports without calls in progress. pool.mu is held.
func (c *Conn) closeUnused() {
	var used []*transport
	for _, t := range c.retired {
		if t.calls == 0 {
			closeTransport(t)
		} else {
			used = append(used, t)
		}
	}
	c.retired = used
}

// close closes the connection. Calls in progress fail. pool.mu is held.
func (c *Conn) close() {
	c.closed = true
	closeTransport(c.transport)
	for _, t := range c.retired {
		closeTransport(t)
	}
	c.retired = nil
}

func closeTransport(t *transport) {
	if t != nil {
		// Close fails only when the connection is already closed.
		_ = t.client.Close()
	}
}

// connect opens a transport to the peer at addr and reports whether it is ready within connectTimeout. The transport may be nil if it
// is not.
func (p *Pool) connect(addr string) (t *transport, ready bool) {
	client, err := dial(addr, p.cfg.Source)
	if err != nil {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(p.ctx, connectTimeout)
	defer cancel()
	client.Connect()
	for state := client.GetState(); state != connectivity.Ready; state = client.GetState() {
		if !client.WaitForStateChange(ctx, state) {
			return &transport{client: client}, false
		}
	}
	return &transport{client: client}, true
}
