package requests

import (
	"context"
	"fulmarcourse.example/fulmarcourse/pkg/netdial"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/stats"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/api/peerpb"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
)

// Limits of connections between entry hosts.
const (
	// MaxMessageBytes bounds a gRPC message, in bytes. It is larger than any request or answer that is accepted.
	MaxMessageBytes = 32 << 20
	// reconnectBase and reconnectMax bound the wait between connection tries, so that a replaced owner is
	// reached within about a second.
	reconnectBase = 50 * time.Millisecond
	reconnectMax  = time.Second
	// connectTimeout bounds one connection try.
	connectTimeout = time.Second
	// pingInterval and pingTimeout end connections over a link that drops packets; TCP alone would retransmit for
	// minutes. A peer that is frozen for a few seconds keeps its connection and with it the requests in progress.
	pingInterval = 10 * time.Second
	pingTimeout  = 10 * time.Second
)

// errMismatched means that an owner answered another attempt.
const errMismatched = errors.ConstError("answer belongs to another attempt")

// PeerDispatcher sends attempts to the local pool or over gRPC to the owner of the shard.
type PeerDispatcher struct {
	pools  Pools
	source netip.Addr
	log    *eventlog.Logger

	mu    sync.Mutex
	conns map[string]*peerConn // by IP:port
}

// DispatcherConfig configures a PeerDispatcher.
type DispatcherConfig struct {
	Pools  Pools            // of this host
	Source netip.Addr       // local address of connections; the system chooses when zero
	Log    *eventlog.Logger // discards when nil
}

// NewPeerDispatcher returns a dispatcher without connections; they are made on first use.
func NewPeerDispatcher(cfg DispatcherConfig) *PeerDispatcher {
	if cfg.Log == nil {
		cfg.Log = eventlog.Discard()
	}
	return &PeerDispatcher{pools: cfg.Pools, source: cfg.Source, log: cfg.Log, conns: map[string]*peerConn{}}
}

// Dispatch implements Dispatcher.
func (d *PeerDispatcher) Dispatch(ctx context.Context, target Target, attemptID string, req structs.Request) (structs.Reply, error) {
	if target.Local {
		pool, owned := d.pools.Pool(target.Shard)
		if !owned {
			return notRun(structs.ReasonWrongOwner), nil
		}
		return pool.Dispatch(ctx, attemptID, req), nil
	}
	conn, err := d.acquire(target.PeerAddr)
	if err != nil {
		return structs.Reply{}, errors.Annotatef(ErrNotSent, "peer %s: %v", target.PeerAddr, err)
	}
	defer d.release(conn)
	mark := &sentMark{}
	answer, err := peerpb.NewShardsClient(conn).Dispatch(context.WithValue(ctx, sentMarkKey{}, mark), toWire(target, attemptID, req))
	switch {
	case err != nil && !mark.sent.Load():
		return structs.Reply{}, errors.Annotatef(ErrNotSent, "peer %s: %v", target.PeerAddr, err)
	case err != nil:
		return structs.Reply{}, errors.Annotatef(err, "peer %s", target.PeerAddr)
	case answer.AttemptId != attemptID:
		d.log.Event(eventlog.AnswerMismatched).Str("peer", target.PeerAddr).Str("request", req.ID).Msg("")
		return structs.Reply{}, errors.Annotatef(errMismatched, "peer %s", target.PeerAddr)
	}
	return fromWire(answer), nil
}

// Close closes all connections; calls in progress end first.
func (d *PeerDispatcher) Close() { d.Retain(nil) }

// Retain closes the connections to all other addresses. Calls in progress on them end first. The membership
// service calls it when members leave.
func (d *PeerDispatcher) Retain(addrs map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for addr, p := range d.conns {
		if !addrs[addr] {
			p.retired = true
			p.closeIfUnused()
			delete(d.conns, addr)
		}
	}
}

// peerConn is the connection to one owner. The dispatcher's lock guards it.
type peerConn struct {
	*grpc.ClientConn
	calls   int // in progress
	retired bool
}

func (p *peerConn) closeIfUnused() {
	if p.retired && p.calls == 0 {
		_ = p.ClientConn.Close() // only fails when already closed
	}
}

// acquire returns the connection to addr for one call. The caller calls release after it.
func (d *PeerDispatcher) acquire(addr string) (*peerConn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.conns[addr]
	if !ok {
		conn, err := grpc.NewClient("passthrough:///"+addr, dialOptions(d.source)...)
		if err != nil {
			return nil, err
		}
		p = &peerConn{ClientConn: conn}
		d.conns[addr] = p
	}
	p.calls++
	return p, nil
}

func (d *PeerDispatcher) release(p *peerConn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p.calls--
	p.closeIfUnused()
}

// dialOptions returns the options of connections that carry requests. Calls fail at once when there is no
// connection, and gRPC does not retry: whether a request is sent again is decided by the race alone. gRPC keeps
// one exception, a single repeat of a stream that the server has refused before any handler saw it; the server
// side also refuses attempt ids that it has seen.
func dialOptions(source netip.Addr) []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(netdial.ForGRPC(source)),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(
			grpc.WaitForReady(false),
			grpc.MaxCallRecvMsgSize(MaxMessageBytes),
			grpc.MaxCallSendMsgSize(MaxMessageBytes),
		),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: reconnectBase, Multiplier: 1.6, Jitter: 0.2, MaxDelay: reconnectMax},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.WithStatsHandler(sentHandler{}),
		grpc.WithStatsHandler(otelgrpc.NewClientHandler()),
	}
}

// sentMark tells whether a stream was opened for a call. Status codes do not tell this: Unavailable stands for a
// refused connection as well as for one that broke after sending, and DeadlineExceeded for both as well.
type sentMark struct{ sent atomic.Bool }

type sentMarkKey struct{}

// sentHandler sets the sentMark of a call when gRPC hands its headers to the connection, which is before the first
// byte is written.
type sentHandler struct{}

// TagRPC implements stats.Handler.
func (sentHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (sentHandler) HandleRPC(ctx context.Context, event stats.RPCStats) {
	if _, ok := event.(*stats.OutHeader); !ok {
		return
	}
	if mark, ok := ctx.Value(sentMarkKey{}).(*sentMark); ok {
		mark.sent.Store(true)
	}
}

// TagConn implements stats.Handler.
func (sentHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (sentHandler) HandleConn(context.Context, stats.ConnStats) {}
