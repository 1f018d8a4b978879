package peer

import (
	"context"
	"net"
	"testing"

	"google.golang.org/grpc"

	"fulmarcourse.example/fulmarcourse/api/peerpb"
)

// Guards against a host that carries out calls which are meant for the one that had its address before, and against refusing calls of
// former versions, which name no host, or calls that name this host with characters beyond ASCII.
func TestCallsForAnotherHostAreRefused(t *testing.T) {
	const self = "väst-1"
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	stub := &membershipStub{started: make(chan struct{}, 10), release: make(chan struct{})}
	close(stub.release)
	server := NewServer(ServerConfig{Host: self, Register: func(r grpc.ServiceRegistrar) { peerpb.RegisterMembershipServer(r, stub) }})
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Stop(t.Context()) }()
	pool := NewPool(PoolConfig{})
	defer pool.Close()
	conn, err := pool.Conn(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	for host, refused := range map[string]bool{"": false, self: false, "väst-2": true, "v": true} {
		ctx, cancel := context.WithTimeout(ForHost(t.Context(), host), testTimeout)
		_, err := peerpb.NewMembershipClient(conn).Heartbeat(ctx, &peerpb.HeartbeatRequest{})
		cancel()
		if IsOtherHost(err) != refused || (err != nil) != refused {
			t.Errorf("a call for host %q returns %v", host, err)
		}
		if carriedOut := len(stub.started) == 1; carriedOut == refused {
			t.Errorf("a call for host %q is carried out: %t", host, carriedOut)
		}
		for len(stub.started) > 0 {
			<-stub.started
		}
	}
}
