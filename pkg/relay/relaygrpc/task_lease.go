package relaygrpc

import (
	"context"
	"strconv"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
)

// taskLeaseHeader is the header of a response in which a relay states the longest task lease that it grants, in milliseconds. Relays of
// former versions send none.
const taskLeaseHeader = "fulmarcourse-task-lease-ms"

// sendTaskLease states a task lease in the header of the response.
func sendTaskLease(ctx context.Context, lease time.Duration) error {
	header := metadata.Pairs(taskLeaseHeader, strconv.FormatInt(lease.Milliseconds(), 10))
	return errors.Annotate(grpc.SetHeader(ctx, header), "state task lease")
}

// taskLease returns the task lease that the header of a response states; 0 if there is none.
func taskLease(header metadata.MD) time.Duration {
	values := header.Get(taskLeaseHeader)
	if len(values) == 0 {
		return 0
	}
	milliseconds, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil || milliseconds < 0 {
		return 0 // as if the relay stated none: its leases count as the longest ones
	}
	return time.Duration(milliseconds) * time.Millisecond
}
