package relaygrpc

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/proto"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/fulmarcourse/api/ownerpb"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/relay"
	"fulmarcourse.example/fulmarcourse/test/poll"
)

// directConn passes calls to a server without a network. It implements grpc.ClientConnInterface.
type directConn struct{ server *Server }

func (c directConn) Invoke(ctx context.Context, _ string, args, reply any, opts ...grpc.CallOption) error {
	var out proto.Message
	var err error
	switch req := args.(type) {
	case *ownerpb.UpdateRequest:
		out, err = c.server.Update(ctx, req)
	case *ownerpb.CollectRequest:
		var stream headerStream
		out, err = c.server.Collect(grpc.NewContextWithServerTransportStream(ctx, &stream), req)
		stream.passTo(opts)
	}
	if err == nil {
		proto.Merge(reply.(proto.Message), out)
	}
	return err
}

// headerStream records the header of a response.
type headerStream struct {
	grpc.ServerTransportStream
	header metadata.MD
}

func (s *headerStream) SetHeader(header metadata.MD) error {
	s.header = metadata.Join(s.header, header)
	return nil
}

// passTo passes the header to the caller.
func (s *headerStream) passTo(opts []grpc.CallOption) {
	for _, opt := range opts {
		if header, asked := opt.(grpc.HeaderCallOption); asked {
			*header.HeaderAddr = s.header
		}
	}
}

func (directConn) NewStream(context.Context, *grpc.StreamDesc, string, ...grpc.CallOption) (grpc.ClientStream, error) {
	return nil, errors.NotSupportedf("streams")
}

// workerAt answers polls at one address.
type workerAt string

func (w workerAt) Poll(_ context.Context, req relay.PollRequest) (relay.PollReply, error) {
	if req.Worker.Address != string(w) {
		return relay.PollReply{}, errors.New("no answer")
	}
	return relay.PollReply{ClockMs: 1, Report: schedule.Report{Incarnation: 1}}, nil
}

func (workerAt) Send(context.Context, relay.Command) (schedule.Outcome, error) {
	return schedule.Accepted, nil
}

// Guards against addresses that are lost between owner and relay: a relay that is not told where a worker has answered, or an owner
// that does not learn where it answers, follows a changed entry instead. The same for the numbers of updates: a late one would be applied.
func TestAddressesAndSequencePassBetweenOwnerAndRelay(t *testing.T) {
	const listed, answered = "10.0.0.1:80", "10.0.0.2:80"
	r := relay.New(relay.Config{Workers: workerAt(answered), TaskLease: 6 * time.Second, Scope: tally.NoopScope})
	defer r.Close()
	server := NewServer(func(int) *relay.Relay { return r })
	client := Client{Conn: func() (grpc.ClientConnInterface, error) { return directConn{server}, nil }}
	update := relay.Update{Term: 1, LeaseUntil: bootclock.Uptime() + time.Hour, Reset: true, Assign: []relay.Assignment{{
		Worker: schedule.WorkerInfo{ID: "w", Address: listed}, AnsweredAddress: answered, Wait: time.Second,
	}}}
	if err := client.Update(t.Context(), update); err != nil {
		t.Fatal(err)
	}
	if err := client.Update(t.Context(), relay.Update{Term: 1, Sequence: 2}); err != nil {
		t.Fatal(err)
	}
	if err := client.Update(t.Context(), relay.Update{Term: 1, Sequence: 1}); !errors.Is(err, relay.ErrOutdated) {
		t.Errorf("an update that arrives after a later one returns %v", err)
	}
	poll.Until(t, "a report names the address of the answer", func() bool {
		results, err := client.Collect(t.Context(), 0, 1, bootclock.Uptime()+time.Hour, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		return len(results.Reports) > 0 && results.Reports[0].Report.Address == answered
	})
}
