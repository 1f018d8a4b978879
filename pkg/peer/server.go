// Package peer provides gRPC between entry hosts: one server per process and a bounded pool of client connections.
package peer

import (
	"context"
	"net"
	"time"

	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc/filters"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"fulmarcourse.example/fulmarcourse/api/peerpb"
)

// Keepalive settings. A peer that freezes for a few seconds keeps its connections and its requests in progress;
// heartbeats, not keepalive, detect within a second that it does not answer. A connection over a link that drops
// packets is closed after PingInterval and PingTimeout, so that a new connection is opened: TCP alone would
// retransmit for minutes.
const (
	PingInterval = 10 * time.Second
	PingTimeout  = 10 * time.Second
	// minPingInterval is the shortest ping interval that the server accepts; it must be less than PingInterval.
	minPingInterval = 5 * time.Second
)

// MaxMessageBytes is the maximum size of a message. Control state is relayed in messages of several store values of up
// to 1 MB.
const MaxMessageBytes = 16 << 20

// Flow control windows, in bytes. A fixed size disables the bandwidth estimation of grpc-go, which sends a ping and a
// window update for every message on an otherwise idle connection. Both sizes are far larger than a heartbeat or a
// request; larger messages of control state wait for window updates.
const (
	streamWindow     = 1 << 20
	connectionWindow = 4 << 20
)

// ServerConfig configures a Server.
type ServerConfig struct {
	// Host is the name of this host. Calls that name another one are refused, see ForHost. If it is empty, all calls are accepted.
	Host string
	// Register adds the services, for example with peerpb.RegisterMembershipServer.
	Register func(grpc.ServiceRegistrar)
	// OnPanic is called when the handler of a method has panicked. The call fails with status Internal.
	OnPanic func(method string, cause any)
}

// Server is the gRPC server of a process.
type Server struct {
	grpc *grpc.Server
}

// NewServer returns a server that does not accept connections until Serve.
func NewServer(cfg ServerConfig) *Server {
	interceptors := []grpc.UnaryServerInterceptor{recoverPanics(cfg.OnPanic)}
	if cfg.Host != "" {
		interceptors = append(interceptors, refuseOtherHosts(cfg.Host))
	}
	server := grpc.NewServer(
		grpc.ChainUnaryInterceptor(interceptors...),
		grpc.StatsHandler(otelgrpc.NewServerHandler(otelgrpc.WithFilter(tracedCalls()))),
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

// recoverPanics returns an interceptor that fails the call whose handler panics, so that one malformed message does not
// end the process.
func recoverPanics(onPanic func(method string, cause any)) grpc.UnaryServerInterceptor {
	return func(ctx context.Context, req any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (reply any, err error) {
		defer func() {
			if cause := recover(); cause != nil {
				err = status.Error(codes.Internal, "the handler of the call failed")
				if onPanic != nil {
					onPanic(info.FullMethod, cause)
				}
			}
		}()
		return handler(ctx, req)
	}
}

// tracedCalls excludes heartbeats from traces: they are the most frequent calls and belong to no request.
func tracedCalls() otelgrpc.Filter {
	return filters.Not(filters.FullMethodName(peerpb.Membership_Heartbeat_FullMethodName))
}

// Serve accepts calls on listener until Stop is called, and then returns nil.
func (s *Server) Serve(listener net.Listener) error { return s.grpc.Serve(listener) }

// Stop rejects new calls and waits for those in progress. If ctx ends first, it closes their connections and returns
// the error of ctx. Their handlers may still be running, because a handler that has sent a request to a runner ends
// with the runner's answer. Stop then does not wait for GracefulStop, which waits for all handlers even after
// grpc.Server.Stop.
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
