package requests

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/api/peerpb"
)

// handler implements Dispatch with a function.
type handler struct {
	peerpb.UnimplementedShardsServer
	dispatch func(context.Context, *peerpb.DispatchRequest) (*peerpb.DispatchReply, error)
}

func (h handler) Dispatch(ctx context.Context, m *peerpb.DispatchRequest) (*peerpb.DispatchReply, error) {
	return h.dispatch(ctx, m)
}

// singlePool is a Pools with one shard.
type singlePool struct {
	shard structs.ShardID
	serve func(context.Context, string, structs.Request) structs.Reply
}

func (p singlePool) Pool(shard structs.ShardID) (LocalPool, bool) { return p, shard == p.shard }

func (p singlePool) Dispatch(ctx context.Context, id string, req structs.Request) structs.Reply {
	return p.serve(ctx, id, req)
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	want(t, err, nil, "listen")
	return listener
}

// serve starts a gRPC server on a loopback address and returns the address and the server.
func serve(t *testing.T, h handler) (string, *grpc.Server) {
	t.Helper()
	listener := listen(t)
	server := grpc.NewServer()
	peerpb.RegisterShardsServer(server, h)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Serve(listener) // ends with Stop
	}()
	t.Cleanup(func() {
		server.Stop()
		<-ended
	})
	return listener.Addr().String(), server
}

func newTestDispatcher(t *testing.T) *PeerDispatcher {
	d := NewPeerDispatcher(DispatcherConfig{})
	t.Cleanup(d.Close)
	return d
}

var (
	testShard   = structs.ShardID{Datacentre: "dc", Index: 1}
	testRequest = structs.Request{ID: "id", Service: "quotes", Kind: "quote", Remaining: time.Minute, Body: []byte("body")}
)

// dispatch sends one attempt to addr.
func dispatch(ctx context.Context, d *PeerDispatcher, addr string) (structs.Reply, error) {
	return d.Dispatch(ctx, Target{Shard: testShard, PeerAddr: addr}, "attempt", testRequest)
}

// Guards against fields that are lost between entry host and owner, against a deadline sent as wall-clock time, and
// against running an attempt that arrives twice.
func TestDispatchOverGRPC(t *testing.T) {
	var got structs.Request
	server := NewDispatchServer(ServerConfig{Pools: singlePool{testShard, func(_ context.Context, _ string, req structs.Request) structs.Reply {
		got = req
		return structs.Reply{Outcome: structs.Answered, Status: 201, Body: []byte("whole"), Runner: "r"}
	}}})
	addr, _ := serve(t, handler{dispatch: server.Dispatch})
	d := newTestDispatcher(t)
	reply, err := dispatch(t.Context(), d, addr)
	want(t, err, nil, "error")
	want(t, fmt.Sprint(reply), fmt.Sprint(structs.Reply{Outcome: structs.Answered, Status: 201, Body: []byte("whole"), Runner: "r"}), "reply")
	want(t, fmt.Sprint(got), fmt.Sprint(testRequest), "request at the owner")
	reply, err = dispatch(t.Context(), d, addr)
	want(t, err, nil, "error")
	want(t, reply.Outcome, structs.OutcomeUnknown, "outcome of the second arrival of an attempt")
	target := Target{Shard: structs.ShardID{Datacentre: "dc"}, PeerAddr: addr}
	reply, err = d.Dispatch(t.Context(), target, "other", structs.Request{Remaining: time.Minute})
	want(t, err, nil, "error")
	want(t, fmt.Sprint(reply), fmt.Sprint(notRunReply(structs.ReasonWrongOwner)), "reply for the shard of another owner")
	target.Shard = testShard
	reply, err = d.Dispatch(t.Context(), target, "late", structs.Request{Remaining: time.Microsecond})
	want(t, err, nil, "error")
	want(t, fmt.Sprint(reply), fmt.Sprint(notRunReply(structs.ReasonDeadline)), "reply with no time left at the owner")
}

// Guards against reporting not-run, for any gRPC status, after the owner may have read the request.
func TestErrorsAfterSendingAreNotNotRun(t *testing.T) {
	cases := map[string]func(ctx context.Context, stop func()) (*peerpb.DispatchReply, error){
		"owner stops": func(ctx context.Context, stop func()) (*peerpb.DispatchReply, error) {
			go stop()
			<-ctx.Done()
			return nil, ctx.Err()
		},
		"reply too late": func(ctx context.Context, _ func()) (*peerpb.DispatchReply, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		},
		"owner replies unavailable": func(context.Context, func()) (*peerpb.DispatchReply, error) {
			return nil, status.Error(codes.Unavailable, "connection refused")
		},
		"reply of another attempt": func(context.Context, func()) (*peerpb.DispatchReply, error) {
			return &peerpb.DispatchReply{AttemptId: "crossed", Outcome: peerpb.Outcome_OUTCOME_NOT_RUN}, nil
		},
	}
	for name, respond := range cases {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int32
			stop := make(chan func(), 1)
			addr, server := serve(t, handler{dispatch: func(ctx context.Context, _ *peerpb.DispatchRequest) (*peerpb.DispatchReply, error) {
				calls.Add(1)
				return respond(ctx, <-stop)
			}})
			stop <- server.Stop
			ctx := t.Context()
			if name == "reply too late" {
				expiring, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
				defer cancel()
				ctx = expiring
			}
			reply, err := dispatch(ctx, newTestDispatcher(t), addr)
			server.Stop()
			if err == nil || errors.Is(err, ErrNotSent) && calls.Load() > 0 {
				t.Fatalf("got %+v, %v", reply, err)
			}
			if n := calls.Load(); n > 1 || n == 0 && name != "reply too late" {
				t.Fatalf("the owner was called %d times", n)
			}
		})
	}
}

// Guards against reporting an unknown outcome when nothing was sent: it would end a non-idempotent request that can be
// sent again.
func TestNothingSentWithoutAConnection(t *testing.T) {
	closed, unresponsive := listen(t), listen(t) // unresponsive accepts connections and sends nothing
	closed.Close()
	defer unresponsive.Close()
	for _, addr := range []string{closed.Addr().String(), unresponsive.Addr().String()} {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		if reply, err := dispatch(ctx, newTestDispatcher(t), addr); !errors.Is(err, ErrNotSent) {
			t.Fatalf("got %+v, %v", reply, err)
		}
		cancel()
	}
}

// Guards against closing a connection that has a call in progress when its owner leaves the member list.
func TestRetainLetsCallsEnd(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	addr, _ := serve(t, handler{dispatch: func(_ context.Context, m *peerpb.DispatchRequest) (*peerpb.DispatchReply, error) {
		close(started)
		<-release
		return replyToWire(m.AttemptId, structs.Reply{Outcome: structs.Answered, Status: 200}), nil
	}})
	d := newTestDispatcher(t)
	done := make(chan error, 1)
	go func() {
		_, err := dispatch(context.Background(), d, addr)
		done <- err
	}()
	<-started
	d.Retain(nil)
	close(release)
	want(t, <-done, nil, "error of the call")
}
