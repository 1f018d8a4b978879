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
	// MaxMessageBytes is the maximum size of a gRPC message. It is larger than any accepted request or response.
	MaxMessageBytes = 32 << 20
	// reconnectBase and reconnectMax bound the back-off between connection attempts, so that a replaced owner is
	// reached within about a second.
	reconnectBase = 50 * time.Millisecond
	reconnectMax  = time.Second
	// connectTimeout bounds one connection attempt.
	connectTimeout = time.Second
	// pingInterval and pingTimeout close connections over a link that drops packets; TCP alone would retransmit for
	// minutes. A peer that is frozen for a few seconds keeps its connection and its requests in progress.
	pingInterval = 10 * time.Second
	pingTimeout  = 10 * time.Second
)

// errAttemptMismatch means that the reply of an owner carries the id of another attempt.
const errAttemptMismatch = errors.ConstError("reply belongs to another attempt")

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
	Source netip.Addr       // local address of connections; chosen by the system when zero
	Log    *eventlog.Logger // discards when nil
}

// NewPeerDispatcher returns a dispatcher without connections; each is opened on first use.
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
			return notRunReply(structs.ReasonWrongOwner), nil
		}
		return pool.Dispatch(ctx, attemptID, req), nil
	}
	conn, err := d.acquire(target.PeerAddr)
	if err != nil {
		return structs.Reply{}, errors.Annotatef(ErrNotSent, "peer %s: %v", target.PeerAddr, err)
	}
	defer d.release(conn)
	flag := &sentFlag{}
	reply, err := peerpb.NewShardsClient(conn).Dispatch(context.WithValue(ctx, sentFlagKey{}, flag), requestToWire(target, attemptID, req))
	switch {
	case err != nil && !flag.sent.Load():
		return structs.Reply{}, errors.Annotatef(ErrNotSent, "peer %s: %v", target.PeerAddr, err)
	case err != nil:
		return structs.Reply{}, errors.Annotatef(err, "peer %s", target.PeerAddr)
	case reply.AttemptId != attemptID:
		d.log.Event(eventlog.AnswerMismatched).Str("peer", target.PeerAddr).Str("request", req.ID).Msg("")
		return structs.Reply{}, errors.Annotatef(errAttemptMismatch, "peer %s", target.PeerAddr)
	}
	return replyFromWire(reply), nil
}

// Close closes each connection as soon as its calls in progress have ended.
func (d *PeerDispatcher) Close() { d.Retain(nil) }

// Retain closes the connections to all addresses that are not in addrs, each as soon as its calls in progress have
// ended. The membership service calls it when members leave.
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

// acquire returns the connection to addr for one call. The caller must call release after the call.
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
// connection, and gRPC does not retry: only requestRun decides whether a request is sent again. The one exception is
// gRPC's transparent retry, a single repeat of a stream that the server refused before any handler received it. The
// server also rejects attempt ids that it has already received.
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

// sentFlag records whether a stream was opened for a call. Status codes do not show this: both Unavailable and
// DeadlineExceeded are returned for a connection that was refused and for one that broke after sending.
type sentFlag struct{ sent atomic.Bool }

type sentFlagKey struct{}

// sentHandler sets the sentFlag of a call when gRPC passes its headers to the connection, which is before the
// first byte is written.
type sentHandler struct{}

// TagRPC implements stats.Handler.
func (sentHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (sentHandler) HandleRPC(ctx context.Context, event stats.RPCStats) {
	if _, ok := event.(*stats.OutHeader); !ok {
		return
	}
	if flag, ok := ctx.Value(sentFlagKey{}).(*sentFlag); ok {
		flag.sent.Store(true)
	}
}

// TagConn implements stats.Handler.
func (sentHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (sentHandler) HandleConn(context.Context, stats.ConnStats) {}
