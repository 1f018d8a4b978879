package requests

import (
	"context"
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

// handler serves Dispatch with a function.
type handler struct {
	peerpb.UnimplementedShardsServer
	dispatch func(context.Context, *peerpb.DispatchRequest) (*peerpb.DispatchReply, error)
}

func (h handler) Dispatch(ctx context.Context, m *peerpb.DispatchRequest) (*peerpb.DispatchReply, error) {
	return h.dispatch(ctx, m)
}

// onePool is a Pools with one shard.
type onePool struct {
	shard structs.ShardID
	serve func(context.Context, string, structs.Request) structs.Reply
}

func (p onePool) Pool(shard structs.ShardID) (LocalPool, bool) { return p, shard == p.shard }

func (p onePool) Dispatch(ctx context.Context, id string, req structs.Request) structs.Reply {
	return p.serve(ctx, id, req)
}

// serve starts a gRPC server on loopback and returns its address and the server.
func serve(t *testing.T, h handler) (string, *grpc.Server) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
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

var testShard = structs.ShardID{Datacentre: "dc", Index: 1}

// dispatch sends one attempt to addr.
func dispatch(ctx context.Context, d *PeerDispatcher, addr string) (structs.Reply, error) {
	req := structs.Request{ID: "id", Service: "quotes", Kind: "quote", Remaining: time.Minute, Body: []byte("body")}
	return d.Dispatch(ctx, Target{Shard: testShard, PeerAddr: addr}, "attempt", req)
}

// Guards against fields that are lost between entry host and owner, a wall-clock deadline, and running an attempt
// that arrives twice.
func TestDispatchOverGRPC(t *testing.T) {
	var got structs.Request
	server := NewDispatchServer(ServerConfig{Pools: onePool{testShard, func(_ context.Context, _ string, req structs.Request) structs.Reply {
		got = req
		return structs.Reply{Outcome: structs.Answered, Status: 201, Body: []byte("whole"), Runner: "r"}
	}}})
	addr, _ := serve(t, handler{dispatch: server.Dispatch})
	d := newTestDispatcher(t)
	reply, err := dispatch(t.Context(), d, addr)
	if err != nil || reply.Outcome != structs.Answered || reply.Status != 201 || string(reply.Body) != "whole" || reply.Runner != "r" {
		t.Fatalf("%+v, %v", reply, err)
	}
	if got.ID != "id" || got.Service != "quotes" || got.Kind != "quote" || got.Remaining != time.Minute || string(got.Body) != "body" {
		t.Fatalf("owner got %+v", got)
	}
	if reply, err = dispatch(t.Context(), d, addr); err != nil || reply.Outcome != structs.OutcomeUnknown {
		t.Fatalf("second arrival of an attempt: %+v, %v", reply, err)
	}
	other := Target{Shard: structs.ShardID{Datacentre: "dc"}, PeerAddr: addr}
	reply, err = d.Dispatch(t.Context(), other, "other", structs.Request{Remaining: time.Minute})
	if err != nil || reply.Outcome != structs.NotRun || reply.Reason != structs.ReasonWrongOwner {
		t.Fatalf("shard of another owner: %+v, %v", reply, err)
	}
	reply, err = d.Dispatch(t.Context(), Target{Shard: testShard, PeerAddr: addr}, "late", structs.Request{Remaining: time.Microsecond})
	if err != nil || reply.Outcome != structs.NotRun || reply.Reason != structs.ReasonDeadline {
		t.Fatalf("no time left at the owner: %+v, %v", reply, err)
	}
}

// Guards against reporting not-run after the owner may have read the request, whatever status gRPC makes of it.
func TestErrorsAfterSendingAreNotNotRun(t *testing.T) {
	cases := map[string]func(stop func(), ctx context.Context, m *peerpb.DispatchRequest) (*peerpb.DispatchReply, error){
		"owner dies": func(stop func(), ctx context.Context, _ *peerpb.DispatchRequest) (*peerpb.DispatchReply, error) {
			go stop()
			<-ctx.Done()
			return nil, ctx.Err()
		},
		"answer too late": func(_ func(), ctx context.Context, _ *peerpb.DispatchRequest) (*peerpb.DispatchReply, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		},
		"owner says unavailable": func(func(), context.Context, *peerpb.DispatchRequest) (*peerpb.DispatchReply, error) {
			return nil, status.Error(codes.Unavailable, "connection refused")
		},
		"answer of another attempt": func(_ func(), _ context.Context, m *peerpb.DispatchRequest) (*peerpb.DispatchReply, error) {
			return &peerpb.DispatchReply{AttemptId: "crossed", Outcome: peerpb.Outcome_OUTCOME_NOT_RUN}, nil
		},
	}
	for name, answer := range cases {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int32
			stop := make(chan func(), 1)
			addr, server := serve(t, handler{dispatch: func(ctx context.Context, m *peerpb.DispatchRequest) (*peerpb.DispatchReply, error) {
				calls.Add(1)
				return answer(<-stop, ctx, m)
			}})
			stop <- server.Stop
			ctx := t.Context()
			if name == "answer too late" {
				expiring, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
				defer cancel()
				ctx = expiring
			}
			reply, err := dispatch(ctx, newTestDispatcher(t), addr)
			server.Stop()
			if err == nil || errors.Is(err, ErrNotSent) && calls.Load() > 0 {
				t.Fatalf("got %+v, %v", reply, err)
			}
			if n := calls.Load(); n > 1 || n == 0 && name != "answer too late" {
				t.Fatalf("the owner was called %d times", n)
			}
		})
	}
}

// Guards against an unknown outcome, which ends a non-idempotent request, when certainly nothing was sent.
func TestNothingSentWithoutAConnection(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	silent, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and says nothing
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	for _, addr := range []string{closed.Addr().String(), silent.Addr().String()} {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		if reply, err := dispatch(ctx, newTestDispatcher(t), addr); !errors.Is(err, ErrNotSent) {
			t.Fatalf("got %+v, %v", reply, err)
		}
		cancel()
	}
}

// Guards against closing a connection under a call in progress when its owner leaves the member list.
func TestRetainLetsCallsEnd(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	addr, _ := serve(t, handler{dispatch: func(_ context.Context, m *peerpb.DispatchRequest) (*peerpb.DispatchReply, error) {
		close(started)
		<-release
		return toWireReply(m.AttemptId, structs.Reply{Outcome: structs.Answered, Status: 200}), nil
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
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}
