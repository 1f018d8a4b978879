package relay

import (
	"context"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
)

const (
	// orderTimeout bounds the call that sends an order. It is far above the response time of a healthy worker. The
	// outcome of an order that takes longer is determined by a poll.
	orderTimeout = 400 * time.Millisecond
	// startExpiry is the time from the arrival of a start order after which it is not sent any more. It allows for many orders
	// that arrive together, and is below the time after which the owner counts the order as unanswered.
	startExpiry = time.Second
)

// send sends an order, which arrived at a boot time, to its worker and records the outcome.
func (r *Relay) send(term int64, order schedule.Order, arrived time.Duration) {
	command := Command{Order: order, Fence: term}
	if order.Kind == schedule.OrderStart {
		command.SendBefore = arrived + startExpiry
	}
	outcome, err := schedule.NotRun, r.prepareCommand(term, &command)
	sent := bootclock.Uptime()
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		outcome, err = r.cfg.Workers.Send(ctx, command)
		cancel()
	}
	result := OrderOutcome{Order: order, Outcome: outcome, Took: bootclock.Uptime() - arrived}
	result.Order.Input, result.Order.Checkpoint, result.Order.Address = "", "", ""
	if err != nil {
		result.Reason = err.Error()
	}
	if outcome == schedule.Accepted {
		r.recordAccepted(term, order.Worker, sent)
	}
	r.addOutcome(term, result)
	unanswered := order.Kind == schedule.OrderStart && outcome == schedule.Unanswered
	stopped := order.Kind == schedule.OrderStop && outcome == schedule.Accepted
	if unanswered || stopped {
		r.pollNow(term, order.Worker)
	}
}

// recordAccepted records that a worker has accepted an order, which was sent at a boot time.
func (r *Relay) recordAccepted(term int64, id schedule.WorkerID, sent time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, known := r.sessions[id]; known && term == r.term {
		s.recordAccepted(sent)
	}
}

func (r *Relay) addOutcome(term int64, result OrderOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if term == r.term {
		r.results.Outcomes = append(r.results.Outcomes, result)
		r.signal()
	}
}

// pollNow polls a worker without a wait, concurrently with the session's poll, which may be held open until a task
// ends. The owner needs the result at once, to determine whether an attempt is running.
func (r *Relay) pollNow(term int64, id schedule.WorkerID) {
	r.mu.Lock()
	s, known := r.sessions[id]
	if !known || term != r.term {
		r.mu.Unlock()
		return
	}
	req := PollRequest{Worker: s.workerAt(s.orderAddress()), Fence: s.fence(), AckedEnd: s.acknowledged()}
	ctx := r.sessionCtx
	r.mu.Unlock()
	s.poll(ctx, req)
}

// Reasons for which a command is not sent.
const (
	errReplaced = errors.ConstError("the relay serves another owner")
	errNoLease  = errors.ConstError("no task lease can be granted")
)

// prepareCommand sets the address of a command and the task lease of a start order. Without a session the address stays that of the
// owner. Errors, which mean that the command must not be sent: errReplaced, errNoLease, ErrExpired.
func (r *Relay) prepareCommand(term int64, command *Command) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if term != r.term {
		return errReplaced
	}
	s, known := r.sessions[command.Order.Worker]
	if known {
		command.Order.Address, command.Fence = s.orderAddress(), s.fence()
	}
	if command.Order.Kind != schedule.OrderStart {
		return nil
	}
	if !known {
		return errNoLease
	}
	leaseTo, granted := s.grant()
	if !granted {
		return errNoLease
	}
	command.LeaseToMs = leaseTo
	return command.CheckExpired()
}
