package relaygrpc

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/relay"
)

// Guards against a task lease that is lost between relay and owner, which then waits as for a relay of a former version, and against one
// that is read from a header without a valid lease.
func TestTaskLeasePassesBetweenRelayAndOwner(t *testing.T) {
	r := relay.New(relay.Config{Workers: workerAt("a"), TaskLease: 6 * time.Second, Scope: tally.NoopScope})
	defer r.Close()
	server := NewServer(func(int) *relay.Relay { return r })
	client := Client{Conn: func() (grpc.ClientConnInterface, error) { return directConn{server}, nil }}
	update := relay.Update{Term: 1, LeaseUntil: bootclock.Uptime(), Reset: true,
		Assign: []relay.Assignment{{Worker: schedule.WorkerInfo{ID: "w", Address: "a"}}}}
	if err := client.Update(t.Context(), update); err != nil {
		t.Fatal(err)
	}
	if results, err := client.Collect(t.Context(), 0, 1, 0, time.Second); err != nil || results.TaskLease != 6*time.Second {
		t.Errorf("task lease %v, want 6 s: %v", results.TaskLease, err)
	}
	for _, header := range []metadata.MD{nil, metadata.Pairs(taskLeaseHeader, "six"), metadata.Pairs(taskLeaseHeader, "-1")} {
		if lease := taskLease(header); lease != 0 {
			t.Errorf("task lease %v from the header %v, want none", lease, header)
		}
	}
}
