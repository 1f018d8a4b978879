package relaygrpc

import (
	"context"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/relay"
	"fulmarcourse.example/fulmarcourse/test/poll"
)

// leaseRecorder answers polls and reports for each whether it extends leases.
type leaseRecorder chan bool

func (r leaseRecorder) Poll(_ context.Context, req relay.PollRequest) (relay.PollReply, error) {
	select {
	case r <- req.LeaseToMs > 0:
	default:
	}
	return relay.PollReply{ClockMs: 1000, Report: schedule.Report{Incarnation: 1}}, nil
}

func (leaseRecorder) Send(context.Context, relay.Command) (schedule.Outcome, error) {
	return schedule.Accepted, nil
}

// Guards against a withholding that is lost between owner and relay: the relay would extend leases which the owner takes for withheld;
// and against an owner that never learns that the relay observes it.
func TestWithholdingPassesBetweenOwnerAndRelay(t *testing.T) {
	extends := make(leaseRecorder, 1)
	r := relay.New(relay.Config{Workers: extends, TaskLease: 6 * time.Second, Scope: tally.NoopScope})
	defer r.Close()
	server := NewServer(func(int) *relay.Relay { return r })
	client := Client{Conn: func() (grpc.ClientConnInterface, error) { return directConn{server}, nil }}
	update := relay.Update{Term: 1, LeaseUntil: bootclock.Uptime() + time.Hour, Reset: true, Assign: []relay.Assignment{{
		Worker: schedule.WorkerInfo{ID: "w"}, WithholdLeases: true,
	}}}
	if err := client.Update(t.Context(), update); err != nil {
		t.Fatal(err)
	}
	for range 4 {
		if <-extends {
			t.Fatal("a poll extends withheld leases")
		}
	}
	if results, err := client.Collect(t.Context(), 0, 1, 0, time.Second); err != nil || !results.WithholdsLeases {
		t.Errorf("results %+v: %v", results, err)
	}
	update.Assign[0].WithholdLeases, update.Reset = false, false
	if err := client.Update(t.Context(), update); err != nil {
		t.Fatal(err)
	}
	poll.Until(t, "leases are extended again", func() bool { return <-extends })
}
