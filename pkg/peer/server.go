// Package peer carries gRPC between entry hosts: one server per process and a bounded pool of client connections.
package peer

import (
	"context"
	"net"
	"time"

	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc/filters"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"fulmarcourse.example/fulmarcourse/api/peerpb"
)

// Keepalive settings. A peer that freezes for a few seconds keeps its connections and with them the requests in
// progress; heartbeats, not keepalive, tell within a second that it does not answer. A link that drops packets is
// given up after PingInterval and PingTimeout, so that a new connection is tried: TCP by itself would retransmit
// for minutes.
const (
	PingInterval = 10 * time.Second
	PingTimeout  = 10 * time.Second
	// minPingInterval is what the server tolerates; it must be less than PingInterval.
	minPingInterval = 5 * time.Second
)

// MaxMessageBytes is the largest message: control state is relayed in messages of several store values of 1 MB.
const MaxMessageBytes = 16 << 20

// Flow control windows, in bytes. A fixed size switches off the bandwidth estimate of grpc-go, which sends a ping and
// a window update for every message on a quiet connection. Both sizes are far above a heartbeat or a request; larger
// messages of control state wait for window updates.
const (
	streamWindow     = 1 << 20
	connectionWindow = 4 << 20
)

// ServerConfig configures a Server.
type ServerConfig struct {
	// Register adds the services, for example with peerpb.RegisterMembershipServer.
	Register func(grpc.ServiceRegistrar)
}

// Server is the gRPC server of a process.
type Server struct {
	grpc *grpc.Server
}

// NewServer returns a server that does not listen yet.
func NewServer(cfg ServerConfig) *Server {
	server := grpc.NewServer(
		grpc.StatsHandler(otelgrpc.NewServerHandler(otelgrpc.WithFilter(traced()))),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: PingInterval, Timeout: PingTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime: minPingInterval, PermitWithoutStream: true,
		}),
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.StaticStreamWindowSize(streamWindow),
		grpc.StaticConnWindowSize(connectionWindow),
	)
	if cfg.Register != nil {
		cfg.Register(server)
	}
	return &Server{grpc: server}
}

// traced leaves heartbeats out of the traces: they are the most frequent calls and belong to no request.
func traced() otelgrpc.Filter {
	return filters.Not(filters.FullMethodName(peerpb.Membership_Heartbeat_FullMethodName))
}

// Serve answers calls on listener until Stop. It returns nil after Stop.
func (s *Server) Serve(listener net.Listener) error { return s.grpc.Serve(listener) }

// Stop refuses new calls and waits for those in progress. When ctx ends first, it closes their connections and returns
// the error of ctx; their handlers may still run, since one that has sent a request to a runner ends with the runner's
// answer. GracefulStop waits for all handlers even after a Stop, so it is not waited for then.
func (s *Server) Stop(ctx context.Context) error {
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		s.grpc.GracefulStop()
	}()
	select {
	case <-stopped:
		return nil
	case <-ctx.Done():
		s.grpc.Stop()
		return ctx.Err()
	}
}
