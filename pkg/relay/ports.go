// Package relay polls workers on behalf of the owner of a partition and forwards its orders to them. An owner
// distributes its workers over relays on several entry hosts, because polling takes far more processor time than
// planning.
//
// A relay makes no scheduling decisions. It extends task leases only as long as the owner permits, reports the outcome
// of every order it accepted, and stops serving an owner when a later one appears.
//
// Locks: Relay.mu guards the sessions and the results. No remote call is made while it is held.
package relay

import (
	"context"
	"strings"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
)

// Errors of workers and relays, to be tested with errors.Is.
const (
	// ErrFenced means that the worker rejected the call because it has accepted a higher fencing token from a later
	// owner.
	ErrFenced = errors.ConstError("worker has accepted a later owner")
	// ErrStaleTerm means that the relay serves a later owner.
	ErrStaleTerm = errors.ConstError("relay works for a later owner")
	// ErrNoAssignment means that the relay has no workers assigned by the owner: it has just started, the owner has
	// released it, or it dropped its assignments because the owner had not called for too long. The owner has to send
	// an update with Reset.
	ErrNoAssignment = errors.ConstError("relay has not been told its workers")
	// ErrOutdated means that the relay has applied a later update of the owner. Nothing of the update was applied.
	ErrOutdated = errors.ConstError("relay has applied a later update")
	// ErrOtherHost means that the process at the address of the relay belongs to another host. Nothing of the call was applied.
	ErrOtherHost = errors.ConstError("another host answers at the address of the relay")
	// ErrExpired means that a command was not sent in time, for instance because the process was paused.
	ErrExpired = errors.ConstError("command has waited for too long")
)

// PollRequest is a request that reads the running and ended tasks of a worker, extends its task leases and acknowledges
// task ends.
type PollRequest struct {
	Worker    schedule.WorkerInfo // its Address is where the worker is polled
	Fence     int64               // fencing token: term of the owner, and the offset of the worker
	LeaseToMs int64               // time on the worker's clock up to which task leases are extended; 0 leaves them unchanged
	AckedEnd  int64               // number of the newest task end that is stored; the worker may drop ends up to it
	Wait      time.Duration       // how long the worker may hold the poll open until a task ends
}

// PollReply is the response of a worker to a poll.
type PollReply struct {
	ClockMs int64 // reading of the worker's clock in milliseconds, when it answered
	Report  schedule.Report
}

// Command is an order with the fencing token and the lease that the relay adds.
type Command struct {
	Order     schedule.Order // its Address is where the command is sent
	Fence     int64          // fencing token: term of the owner, and the offset of the worker
	LeaseToMs int64          // end of the task lease on the worker's clock; OrderStart only

	// SendBefore is the boot time from which on nothing of the command may be sent; 0 means no limit. A timeout does not
	// replace it: it does not count the time for which the machine was suspended.
	SendBefore time.Duration
}

// CheckExpired returns ErrExpired if the command may not be sent any more.
func (c Command) CheckExpired() error {
	if c.SendBefore > 0 && bootclock.Uptime() >= c.SendBefore {
		return ErrExpired
	}
	return nil
}

// Workers is the client for calls to workers.
type Workers interface {
	// Poll sends a poll. It returns an error if the worker did not answer, or ErrFenced.
	Poll(ctx context.Context, req PollRequest) (PollReply, error)
	// Send sends a command unless it has expired, and returns its outcome. err is the reason if it was not accepted.
	Send(ctx context.Context, command Command) (outcome schedule.Outcome, err error)
}

// Update is a message from an owner to a relay. Times are on the relay's boot clock.
type Update struct {
	Partition  int
	Term       int64
	Sequence   int64         // rises with each update of an owner in a term; 0 if the owner does not number them
	LeaseUntil time.Duration // time up to which the relay may extend task leases
	Reset      bool          // Assign lists all workers of the relay; others are released
	Assign     []Assignment
	Release    []schedule.WorkerID
	Stored     []StoredEnd
	Orders     []schedule.Order
}

// Assignment is a worker that the relay polls.
type Assignment struct {
	Worker          schedule.WorkerInfo // as the platform lists it
	AnsweredAddress string              // where it has answered last; empty if the owner does not know
	Wait            time.Duration       // how long the worker may hold a poll open until a task ends

	// WithholdLeases makes the relay extend no lease of the worker and send it no starts.
	WithholdLeases bool

	// FenceOffset is added to the term for the fencing token of calls to the worker.
	FenceOffset int64
}

// StoredEnd states that the task ends of a worker incarnation up to and including Number are stored.
type StoredEnd struct {
	Worker      schedule.WorkerID
	Incarnation int64
	Number      int64
}

// Results are the reports and outcomes that a relay has collected for an owner since the last call. Times are on the
// relay's boot clock.
type Results struct {
	Now      time.Duration // time at which the results were returned
	Reports  []WorkerReport
	Outcomes []OrderOutcome
	Fenced   bool // a worker has rejected a poll because of its fencing token

	Uncollected int // number of workers whose reports did not fit into these results

	TaskLease time.Duration // the longest task lease that the relay grants; 0 from relays of former versions

	WithholdsLeases bool // the relay observes Assignment.WithholdLeases; those of former versions do not
}

// WorkerReport is the result of one poll.
type WorkerReport struct {
	Worker schedule.WorkerID
	Failed string          // reason why the poll failed, see ConnectionBroken and PollFenced; empty if it succeeded
	Report schedule.Report // SentAt and ReceivedAt are on the relay's boot clock; ReceivedAt is also set if the poll failed
}

// GrantedAt returns when the latest lease begins that the relay has granted to a worker whose poll has failed, on the relay's boot
// clock; 0 if it has granted none, or is of a former version, which does not tell. It travels in a field that a failed poll leaves unused.
func (w WorkerReport) GrantedAt() time.Duration { return w.Report.SentAt }

// connectionBroken begins Failed if the connection to the worker broke soon after an answer. It is a part of the text, so that relays and
// owners of versions without it understand each other.
const connectionBroken = "connection broken soon after an answer: "

// ConnectionBroken reports whether the connection to the worker broke within schedule.MaxUnobserved after its last answer.
func (w WorkerReport) ConnectionBroken() bool { return strings.HasPrefix(w.Failed, connectionBroken) }

// pollRejected begins Failed if the worker has rejected the poll because of its fencing token.
const pollRejected = "fenced: "

// PollFenced reports whether the worker has rejected the poll because of its fencing token.
func (w WorkerReport) PollFenced() bool { return strings.HasPrefix(w.Failed, pollRejected) }

// OrderOutcome is the outcome of one order as far as it is known.
type OrderOutcome struct {
	Order   schedule.Order // Kind, Worker, Task, Attempt and Percent only
	Outcome schedule.Outcome
	Reason  string        // empty if the order was accepted
	Took    time.Duration // from the arrival of the order at the relay to its outcome
}
