// Package relay looks at workers for the owner of a partition and carries out its orders. An owner spreads its workers
// over several entry hosts, because looking at them costs far more processor time than deciding.
//
// A relay decides nothing. It extends task leases only as long as the owner has allowed, forgets nothing that it was
// asked to do without telling the outcome, and ends when a later owner appears.
//
// Locks: Relay.mu guards the sessions and the results. No call is made while it is held.
package relay

import (
	"context"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/schedule"
)

// Errors of workers and relays. Callers test them with errors.Is.
const (
	// ErrFenced means that a worker has seen a later owner.
	ErrFenced = errors.ConstError("worker has seen a later owner")
	// ErrStaleTerm means that the relay works for a later owner.
	ErrStaleTerm = errors.ConstError("relay works for a later owner")
	// ErrNoAssignment means that the relay does not know the workers of the owner: it has just started, or it had ended
	// the work for an owner that did not call. The owner has to send an update with Reset.
	ErrNoAssignment = errors.ConstError("relay has not been told its workers")
)

// PollRequest asks a worker what it runs, extends its task leases and acknowledges ends.
type PollRequest struct {
	Worker    schedule.WorkerInfo
	Fence     int64         // term of the owner
	LeaseToMs int64         // time on the worker's clock up to which task leases are extended; 0 to leave them
	AckedEnd  int64         // number of the newest end that is stored
	Wait      time.Duration // the worker may wait so long for an end
}

// PollReply is the answer of a worker.
type PollReply struct {
	ClockMs int64 // reading of the worker's clock
	Report  schedule.Report
}

// Command is an order with what the relay adds to it.
type Command struct {
	Order     schedule.Order
	Fence     int64
	LeaseToMs int64 // OrderStart only
}

// Workers calls workers.
type Workers interface {
	// Poll returns an error when the worker did not answer. Errors: ErrFenced.
	Poll(ctx context.Context, look PollRequest) (PollReply, error)
	// Send carries out a command and tells what is known of it. err has the reason unless it was accepted.
	Send(ctx context.Context, command Command) (outcome schedule.Outcome, err error)
}

// Update is what an owner tells a relay. Times are on the relay's boot clock.
type Update struct {
	Partition  int
	Term       int64
	LeaseUntil time.Duration // up to when the relay may extend task leases
	Reset      bool          // Assign lists all workers of the relay
	Assign     []Assignment
	Release    []schedule.WorkerID
	Stored     []StoredEnd
	Orders     []schedule.Order
}

// Assignment is a worker that the relay looks at.
type Assignment struct {
	Worker schedule.WorkerInfo
	Wait   time.Duration // a look may wait so long for an end
}

// StoredEnd tells that the ends of a worker incarnation up to a number are stored.
type StoredEnd struct {
	Worker      schedule.WorkerID
	Incarnation int64
	Number      int64
}

// Results are what a relay has to tell an owner since the last call. Times are on the relay's boot clock.
type Results struct {
	Now      time.Duration // when the results were taken
	Reports  []WorkerReport
	Outcomes []OrderOutcome
	Fenced   bool // a worker has seen a later owner
}

// WorkerReport is the outcome of one look.
type WorkerReport struct {
	Worker schedule.WorkerID
	Failed string          // why the worker did not answer; empty when it did
	Report schedule.Report // SentAt is on the relay's boot clock
}

// OrderOutcome is what is known of one order.
type OrderOutcome struct {
	Order   schedule.Order // Kind, Worker, Task, Attempt and Percent only
	Outcome schedule.Outcome
	Reason  string // empty when it was accepted
}
