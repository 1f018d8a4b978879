package requests

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"fulmarcourse.example/core/retry"
	"fulmarcourse.example/core/structs"
)

const (
	// MaxAttempts bounds the attempts of one request, counting those of which nothing reached a runner.
	MaxAttempts = 4
	// ReplyGrace is how long after the deadline a reply of a shard owner is still taken. The owner decides at the
	// deadline, and its answer is worth more than an unknown outcome.
	ReplyGrace = 25 * time.Millisecond
)

// race runs the attempts of one request. A non-idempotent request has at most one attempt at a time, and none
// after one whose outcome is unknown.
type race struct {
	service  *Service
	req      structs.Request
	deadline time.Time
	ctx      context.Context // ends when the race is over, which withdraws attempts that still queue
	results  chan attemptEnd
	tried    triedTargets
	launched int
	pending  int
	unknown  *structs.Reply // first attempt that ended with an unknown outcome
	last     structs.Reply  // latest attempt that was not run
}

// attemptEnd is the end of one attempt.
type attemptEnd struct {
	target Target
	reply  structs.Reply
}

// run serves a request that may be run, and returns its outcome.
func (s *Service) run(ctx context.Context, req structs.Request, deadline time.Time) structs.Reply {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &race{
		service: s, req: req, deadline: deadline, ctx: ctx,
		results: make(chan attemptEnd, MaxAttempts),
		tried:   triedTargets{},
	}
	if reason := r.launch(); reason != "" {
		return notRun(reason)
	}
	return r.wait()
}

// wait returns the reply of the first answered attempt, or what is certain when none can be answered any more.
func (r *race) wait() structs.Reply {
	remaining := r.remaining()
	expired := time.NewTimer(remaining + ReplyGrace)
	defer expired.Stop()
	var hedge <-chan time.Time
	if delay, ok := r.service.hedgeDelay(r.req, remaining); ok {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		hedge = timer.C
	}
	for {
		select {
		case end := <-r.results:
			r.pending--
			if end.reply.Outcome == structs.Answered {
				return end.reply
			}
			r.note(end)
			if r.again(end.reply); r.pending == 0 {
				return r.verdict()
			}
		case <-hedge:
			hedge = nil
			if r.launched < MaxAttempts && r.service.spend() && r.launch() == "" {
				r.service.scope.Counter("hedges").Inc(1)
			}
		case <-expired.C:
			return r.interrupted(structs.ReasonDeadline)
		case <-r.ctx.Done():
			return r.interrupted(structs.ReasonCancelled)
		}
	}
}

// note keeps what an attempt says about the request as a whole.
func (r *race) note(end attemptEnd) {
	if end.reply.Outcome == structs.OutcomeUnknown {
		if r.unknown == nil {
			r.unknown = &end.reply
		}
		return
	}
	r.last = end.reply
	r.tried.refused(end.target, end.reply.Reason)
}

// again starts another attempt if the reply and the budget allow it.
func (r *race) again(reply structs.Reply) {
	if r.launched >= MaxAttempts || r.remaining() <= 0 {
		return
	}
	// A non-idempotent request is only sent again when it is certain that no attempt was run.
	if !r.req.Idempotent && (r.unknown != nil || r.pending > 0) {
		return
	}
	switch retry.Decide(reply, r.req.Idempotent) {
	case retry.Stop:
		return
	case retry.RetryOtherShard:
		if rejectedForLoad(reply) && !r.service.mayDetour() {
			r.service.scope.Counter("detours_exhausted").Inc(1)
			return
		}
	case retry.RetryBudgeted:
		if !r.service.spend() {
			r.service.scope.Counter("budget_exhausted").Inc(1)
			return
		}
	}
	if r.launch() == "" {
		r.service.scope.Counter("retries").Inc(1)
	}
}

// rejectedForLoad reports whether a shard had no room for the request.
func rejectedForLoad(reply structs.Reply) bool {
	return reply.Reason == structs.ReasonQueueFull || reply.Reason == structs.ReasonDeadline
}

// verdict combines the ends of all attempts: not run only if none of them may have run.
func (r *race) verdict() structs.Reply {
	if r.unknown != nil {
		return *r.unknown
	}
	return r.last
}

// interrupted returns what is certain while attempts are still in progress.
func (r *race) interrupted(reason string) structs.Reply {
	if r.pending > 0 {
		return unknown(reason)
	}
	return r.verdict()
}

func (r *race) remaining() time.Duration { return r.deadline.Sub(r.service.cfg.Now()) }

// launch starts one attempt. It returns a reason if there is no place for it.
func (r *race) launch() string {
	remaining := r.remaining()
	if remaining <= 0 {
		return structs.ReasonDeadline
	}
	target, reason := r.service.router.choose(r.req, remaining, r.service.expectedService(r.req), r.tried)
	if reason != "" {
		return reason
	}
	r.tried.used(target)
	r.launched++
	r.pending++
	r.service.beginAttempt()
	go r.attempt(target, remaining)
	return ""
}

// attempt runs in its own goroutine and ends also when the race is over, so that its latency is learned.
func (r *race) attempt(target Target, remaining time.Duration) {
	s := r.service
	defer s.end()
	ctx, span := s.tracer.Start(r.ctx, "requests.attempt", trace.WithAttributes(
		attribute.String("shard", target.Shard.String()), attribute.String("owner", string(target.Owner))))
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, remaining+ReplyGrace)
	defer cancel()
	req := r.req
	req.Remaining = remaining - 2*target.LinkDelay // at the owner, leaving time for the reply to come back
	start := s.cfg.Now()
	reply, err := s.cfg.Dispatcher.Dispatch(ctx, target, uuid.NewString(), req)
	reply = checked(reply, err)
	if err != nil && r.ctx.Err() != nil && s.cfg.Now().Before(r.deadline) {
		reply = unknown(structs.ReasonCancelled) // by this host, which says nothing about the owner
	}
	s.router.ended(target, reply)
	span.SetAttributes(attribute.String("outcome", string(reply.Outcome)))
	if reply.Outcome == structs.Answered {
		s.observe(req, s.cfg.Now().Sub(start))
	}
	r.results <- attemptEnd{target, reply}
}

// checked turns errors and malformed replies into what is certain.
func checked(reply structs.Reply, err error) structs.Reply {
	switch {
	case errors.Is(err, ErrNotSent):
		return notRun(structs.ReasonOwnerUnreachable)
	case err != nil:
		return unknown(structs.ReasonOwnerLost)
	case reply.Outcome == structs.Answered && reply.Status == 0:
		return unknown(structs.ReasonOwnerLost)
	case reply.Outcome == structs.Answered, reply.Outcome == structs.NotRun, reply.Outcome == structs.OutcomeUnknown:
		return reply
	}
	return unknown(structs.ReasonOwnerLost)
}
