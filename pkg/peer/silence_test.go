package peer

import (
	"context"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"fulmarcourse.example/fulmarcourse/api/peerpb"
	"fulmarcourse.example/fulmarcourse/test/faultproxy"
)

// callTimeout is a usual timeout of a call between entry hosts.
const callTimeout = 900 * time.Millisecond

// heartbeat sends a heartbeat through pool and waits for its result.
func heartbeat(t *testing.T, pool *Pool, addr string, timeout time.Duration) error {
	t.Helper()
	conn, err := pool.Conn(addr)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	_, err = peerpb.NewMembershipClient(conn).Heartbeat(ctx, &peerpb.HeartbeatRequest{})
	return err
}

// discardStarts takes the starts of calls from a stub, so that it answers any number of them.
func discardStarts(t *testing.T, stub *membershipStub) {
	go func() {
		for {
			select {
			case <-stub.started:
			case <-t.Context().Done():
				return
			}
		}
	}()
}

// Scenario: the open connection to a peer loses all bytes for good, without a reset, while new ones work. Guards against calls that
// go on using it until the keep-alive or the kernel closes it 10 s later: leases that these calls renew lapse meanwhile.
func TestSilentConnectionIsReplaced(t *testing.T) {
	for name, timeout := range map[string]time.Duration{"usual timeout": callTimeout, "short timeout": 300 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, stub, addr := serve(t)
			close(stub.release)
			discardStarts(t, stub)
			proxy := faultproxy.Start(t, addr)
			pool := NewPool(PoolConfig{})
			defer pool.Close()
			if err := heartbeat(t, pool, proxy.Addr(), testTimeout); err != nil {
				t.Fatal(err)
			}
			proxy.SilenceConnections()
			silentAt := time.Now()
			for heartbeat(t, pool, proxy.Addr(), timeout) != nil {
				if time.Since(silentAt) > 2*callTimeout {
					t.Fatalf("no call was answered within %v", 2*callTimeout)
				}
			}
			if n := proxy.Accepted(); n != 2 {
				t.Errorf("%d connections were opened, want 2", n)
			}
			if n := len(pool.conns[proxy.Addr()].retired); n != 0 {
				t.Errorf("%d replaced connections without calls are open", n)
			}
		})
	}
}

// Scenario: a peer stands still for longer than calls to it wait, and one call waits for longer than that. Guards against a call in
// progress that is lost because others have timed out, and against a peer that is not used again afterwards.
func TestCallsInProgressOutlastAPauseOfThePeer(t *testing.T) {
	_, stub, addr := serve(t)
	proxy := faultproxy.Start(t, addr)
	pool := NewPool(PoolConfig{})
	defer pool.Close()
	result := sendHeartbeat(t, pool, proxy.Addr())
	<-stub.started
	discardStarts(t, stub)
	close(stub.release)
	proxy.Freeze(faultproxy.Both...)
	for range 3 {
		if err := heartbeat(t, pool, proxy.Addr(), callTimeout); status.Code(err) != codes.DeadlineExceeded {
			t.Fatalf("call to the frozen peer: %v", err)
		}
	}
	proxy.Thaw(faultproxy.Both...)
	if err := <-result; err != nil {
		t.Errorf("the call in progress failed: %v", err)
	}
	if err := heartbeat(t, pool, proxy.Addr(), callTimeout); err != nil {
		t.Errorf("call after the pause: %v", err)
	}
}

// Guards against connections that are opened for each call to a peer that is slow and does answer.
func TestSlowPeerKeepsItsConnection(t *testing.T) {
	_, stub, addr := serve(t)
	close(stub.release)
	discardStarts(t, stub)
	proxy := faultproxy.Start(t, addr)
	proxy.SetDelay(faultproxy.ToCaller, callTimeout/2, 0)
	pool := NewPool(PoolConfig{})
	defer pool.Close()
	for range 3 {
		_ = heartbeat(t, pool, proxy.Addr(), callTimeout/3) // times out
		if err := heartbeat(t, pool, proxy.Addr(), 2*callTimeout); err != nil {
			t.Fatal(err)
		}
	}
	if n := proxy.Accepted(); n != 1 {
		t.Errorf("%d connections were opened, want 1", n)
	}
}
