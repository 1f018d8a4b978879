package peer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"fulmarcourse.example/fulmarcourse/pkg/netdial"
)

// Defaults of PoolConfig.
const (
	// DefaultMaxConns is three times the number of entry hosts in the largest planned installation.
	DefaultMaxConns = 64
	// DefaultIdleTimeout is much longer than the heartbeat interval, so that only connections to unused peers close.
	DefaultIdleTimeout = 2 * time.Minute
)

// Limits of reconnection. A peer that recovers is reached within about a second.
const (
	connectTimeout = 1 * time.Second
	baseBackoff    = 100 * time.Millisecond
	maxBackoff     = 1 * time.Second
)

// Errors of Conn. Callers test them with errors.Is.
const (
	// ErrTooManyPeers means that all connections of the pool are in use.
	ErrTooManyPeers = errors.ConstError("too many peer connections")
	// ErrClosed means that the pool was closed.
	ErrClosed = errors.ConstError("peer connections are closed")
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	MaxConns    int               // 0 for DefaultMaxConns
	IdleTimeout time.Duration     // a connection that is unused for this long is closed; 0 for DefaultIdleTimeout
	Source      netip.Addr        // local address of connections; the system chooses when zero
	Clock       func() time.Time  // nil for time.Now
	Metrics     tally.Scope       // nil for none
	OnReplaced  func(addr string) // called when a silent connection was replaced; nil for none
}

// Pool holds one client connection per peer address. It is safe for concurrent use. Heartbeats need a separate pool, so
// that large messages do not delay them and Reset does not break requests. A connection that has gone silent is replaced, see
// Conn.
type Pool struct {
	cfg  PoolConfig
	ctx  context.Context // ends with Close
	stop context.CancelFunc

	mu     sync.Mutex // guards the fields below and the counters of the connections
	conns  map[string]*Conn
	closed bool
}

// NewPool returns an empty pool.
func NewPool(cfg PoolConfig) *Pool {
	if cfg.MaxConns == 0 {
		cfg.MaxConns = DefaultMaxConns
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = DefaultIdleTimeout
	}
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	ctx, stop := context.WithCancel(context.Background())
	return &Pool{cfg: cfg, ctx: ctx, stop: stop, conns: make(map[string]*Conn)}
}

// Conn returns the connection to the peer at addr (IP:port), which connects on first use. Callers must request it for
// each call and must not keep it. Errors: ErrTooManyPeers, ErrClosed.
func (p *Pool) Conn(addr string) (grpc.ClientConnInterface, error) {
	now := p.cfg.Clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	if conn, known := p.conns[addr]; known {
		conn.lastUsed = now
		return conn, nil
	}
	p.closeIdle(now)
	if len(p.conns) >= p.cfg.MaxConns && !p.evictLongestUnused() {
		return nil, errors.Annotatef(ErrTooManyPeers, "connection to %s", addr)
	}
	client, err := dial(addr, p.cfg.Source)
	if err != nil {
		return nil, errors.Annotatef(err, "connection to %s", addr)
	}
	conn := &Conn{pool: p, addr: addr, transport: &transport{client: client}, lastUsed: now}
	p.conns[addr] = conn
	p.cfg.Metrics.Gauge("peer_connections").Update(float64(len(p.conns)))
	return conn, nil
}

func dial(addr string, source netip.Addr) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(netdial.ForGRPC(source)),
		grpc.WithStatsHandler(otelgrpc.NewClientHandler(otelgrpc.WithFilter(tracedCalls()))),
		// The request path decides on retries. gRPC still repeats calls that the peer did not process (transparent
		// retry).
		grpc.WithDisableRetry(),
		grpc.WithStaticStreamWindowSize(streamWindow),
		grpc.WithStaticConnWindowSize(connectionWindow),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time: PingInterval, Timeout: PingTimeout, PermitWithoutStream: true,
		}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay: baseBackoff, Multiplier: 2, Jitter: 0.2, MaxDelay: maxBackoff,
			},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes)),
	)
}

// closeIdle closes connections that have been unused for IdleTimeout. p.mu is held.
func (p *Pool) closeIdle(now time.Time) {
	for addr, conn := range p.conns {
		if conn.calls == 0 && now.Sub(conn.lastUsed) >= p.cfg.IdleTimeout {
			p.closeConn(addr, conn)
		}
	}
}

// evictLongestUnused closes the connection without calls that has been unused the longest. p.mu is held.
func (p *Pool) evictLongestUnused() bool {
	oldest := ""
	for addr, conn := range p.conns {
		if conn.calls == 0 && (oldest == "" || conn.lastUsed.Before(p.conns[oldest].lastUsed)) {
			oldest = addr
		}
	}
	if oldest == "" {
		return false
	}
	p.closeConn(oldest, p.conns[oldest])
	return true
}

// closeConn removes and closes a connection. p.mu is held.
func (p *Pool) closeConn(addr string, conn *Conn) {
	delete(p.conns, addr)
	conn.close()
}

// CloseIdle closes connections that have been unused for IdleTimeout. The node calls it periodically; Conn does the
// same whenever it opens a connection.
func (p *Pool) CloseIdle() {
	now := p.cfg.Clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(now)
}

// Reset closes the connection to addr. Calls in progress on it fail; the next call opens a new connection.
func (p *Pool) Reset(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn, known := p.conns[addr]; known {
		p.closeConn(addr, conn)
	}
}

// Close closes all connections; later calls of Conn return ErrClosed.
func (p *Pool) Close() {
	p.stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for addr, conn := range p.conns {
		p.closeConn(addr, conn)
	}
}
