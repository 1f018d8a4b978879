package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"fulmarcourse.example/fulmarcourse/api/peerpb"
)

const testTimeout = 30 * time.Second // limit for events that normally arrive within milliseconds

// membershipStub answers heartbeats after release is closed.
type membershipStub struct {
	peerpb.UnimplementedMembershipServer
	started chan struct{}
	release chan struct{}
}

func (m *membershipStub) Heartbeat(ctx context.Context, r *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
	m.started <- struct{}{}
	select {
	case <-m.release:
		return &peerpb.HeartbeatReply{EchoedSequence: r.GetSender().GetSequence()}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// serve starts a server on a loopback address.
func serve(t *testing.T) (*Server, *membershipStub, string) {
	t.Helper()
	stub := &membershipStub{started: make(chan struct{}, 10), release: make(chan struct{})}
	server := NewServer(ServerConfig{Register: func(r grpc.ServiceRegistrar) { peerpb.RegisterMembershipServer(r, stub) }})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Stop(ctx) // ends calls that the test left open
		if err := <-done; err != nil {
			t.Errorf("Serve: %v", err)
		}
	})
	return server, stub, listener.Addr().String()
}

// sendHeartbeat sends a heartbeat through pool and returns the channel of its result.
func sendHeartbeat(t *testing.T, pool *Pool, addr string) chan error {
	t.Helper()
	conn, err := pool.Conn(addr)
	if err != nil {
		t.Fatal(err)
	}
	result := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		_, err := peerpb.NewMembershipClient(conn).Heartbeat(ctx, &peerpb.HeartbeatRequest{})
		result <- err
	}()
	return result
}

// Guards against a graceful stop that aborts a call in progress.
func TestStopWaitsForCalls(t *testing.T) {
	server, stub, addr := serve(t)
	pool := NewPool(PoolConfig{})
	defer pool.Close()
	result := sendHeartbeat(t, pool, addr)
	<-stub.started
	stopped := make(chan error, 1)
	go func() { stopped <- server.Stop(context.Background()) }()
	close(stub.release)
	if err := <-result; err != nil {
		t.Fatalf("call during the graceful stop: %v", err)
	}
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
}

// Guards against a stop that waits forever for a call that does not end.
func TestStopIsBounded(t *testing.T) {
	server, stub, addr := serve(t)
	pool := NewPool(PoolConfig{})
	defer pool.Close()
	result := sendHeartbeat(t, pool, addr)
	<-stub.started
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := server.Stop(ctx); !errors.Is(err, context.Canceled) {
		t.Fatalf("Stop: %v", err)
	}
	if err := <-result; status.Code(err) != codes.Unavailable {
		t.Fatalf("call after the stop: %v", err)
	}
}

// Guards against a pool that grows without bound or closes connections in use.
func TestPoolIsBounded(t *testing.T) {
	_, stub, addr := serve(t)
	now := time.Date(2024, 1, 1, 0, 0, 0, 0, time.UTC)
	pool := NewPool(PoolConfig{MaxConns: 1, Clock: func() time.Time { return now }})
	defer pool.Close()
	result := sendHeartbeat(t, pool, addr)
	<-stub.started
	now = now.Add(2 * DefaultIdleTimeout)
	if _, err := pool.Conn("127.0.0.1:1"); !errors.Is(err, ErrTooManyPeers) {
		t.Fatalf("second connection beside one in use: %v", err)
	}
	close(stub.release)
	if err := <-result; err != nil {
		t.Fatal(err)
	}
	if _, err := pool.Conn("127.0.0.1:1"); err != nil {
		t.Fatalf("the unused connection was not replaced: %v", err)
	}
	now = now.Add(DefaultIdleTimeout)
	pool.CloseIdle()
	if len(pool.conns) != 0 {
		t.Fatal("an idle connection stays open")
	}
	pool.Close()
	if _, err := pool.Conn(addr); !errors.Is(err, ErrClosed) {
		t.Fatalf("after Close: %v", err)
	}
}

// Guards against reporting an address that accepts or does not answer as refusing, and the reverse.
func TestRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	pool := NewPool(PoolConfig{})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if pool.Refused(ctx, addr) {
		t.Fatal("a listening address refuses")
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	if !pool.Refused(ctx, addr) {
		t.Fatal("a closed port does not refuse")
	}
	cancel()
	if pool.Refused(ctx, addr) {
		t.Fatal("a cancelled connection attempt counts as refused")
	}
}

// panickingStub panics in each call.
type panickingStub struct {
	peerpb.UnimplementedMembershipServer
}

func (panickingStub) Heartbeat(context.Context, *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
	panic("malformed message")
}

// Guards against one call that ends the process: a handler that panics must fail its own call only.
func TestPanicFailsOnlyItsCall(t *testing.T) {
	var logged any
	server := NewServer(ServerConfig{
		Register: func(r grpc.ServiceRegistrar) { peerpb.RegisterMembershipServer(r, panickingStub{}) },
		OnPanic:  func(method string, cause any) { logged = cause },
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }() // returns nil after Stop
	defer func() { _ = server.Stop(t.Context()) }()
	pool := NewPool(PoolConfig{Metrics: tally.NoopScope})
	defer pool.Close()
	conn, err := pool.Conn(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		_, err = peerpb.NewMembershipClient(conn).Heartbeat(t.Context(), &peerpb.HeartbeatRequest{})
		if status.Code(err) != codes.Internal {
			t.Errorf("the call ended with %v", err)
		}
	}
	if logged == nil {
		t.Error("the panic was not reported")
	}
}
