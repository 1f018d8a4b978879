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
	// MaxAttempts bounds the attempts of one request, including those that did not reach a runner.
	MaxAttempts = 4
	// ReplyGrace is how long after the deadline a reply of a shard owner is still accepted. The owner decides the
	// outcome at the deadline, so its reply arrives shortly after and avoids an unknown outcome.
	ReplyGrace = 25 * time.Millisecond
)

// requestRun runs the attempts of one request. A non-idempotent request has at most one attempt at a time, and no
// further attempt after one whose outcome is unknown.
type requestRun struct {
	service  *Service
	req      structs.Request
	deadline time.Time
	ctx      context.Context // cancelled when the request has ended, which withdraws attempts that are still queued
	results  chan attemptEnd
	tried    triedTargets
	started  int            // attempts started so far
	pending  int            // attempts in progress
	unknown  *structs.Reply // reply of the first attempt that ended with an unknown outcome
	last     structs.Reply  // reply of the latest attempt that was not run
}

// attemptEnd is the reply of one attempt with its target.
type attemptEnd struct {
	target Target
	reply  structs.Reply
}

// run sends the attempts of a request that needs no claim or holds one, and returns the outcome of the request.
func (s *Service) run(ctx context.Context, req structs.Request, deadline time.Time) structs.Reply {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &requestRun{
		service: s, req: req, deadline: deadline, ctx: ctx,
		results: make(chan attemptEnd, MaxAttempts),
		tried:   triedTargets{},
	}
	if reason := r.startAttempt(); reason != "" {
		return notRunReply(reason)
	}
	return r.wait()
}

// wait returns the reply of the first answered attempt, or the combined outcome of all attempts when none of them was
// answered.
func (r *requestRun) wait() structs.Reply {
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
			r.recordEnd(end)
			if r.retryIfAllowed(end.reply); r.pending == 0 {
				return r.result()
			}
		case <-hedge:
			hedge = nil
			if r.started < MaxAttempts && r.service.spendRetryToken() && r.startAttempt() == "" {
				r.service.scope.Counter("hedges").Inc(1)
			}
		case <-expired.C:
			return r.interruptedReply(structs.ReasonDeadline)
		case <-r.ctx.Done():
			return r.interruptedReply(structs.ReasonCancelled)
		}
	}
}

// recordEnd records the reply of an attempt that was not answered.
func (r *requestRun) recordEnd(end attemptEnd) {
	if end.reply.Outcome == structs.OutcomeUnknown {
		if r.unknown == nil {
			r.unknown = &end.reply
		}
		return
	}
	r.last = end.reply
	r.tried.markRejected(end.target, end.reply.Reason)
}

// retryIfAllowed starts another attempt if the reply and the retry budgets allow it.
func (r *requestRun) retryIfAllowed(reply structs.Reply) {
	if r.started >= MaxAttempts || r.remaining() <= 0 {
		return
	}
	// A non-idempotent request is sent again only when no attempt has run or may still run.
	if !r.req.Idempotent && (r.unknown != nil || r.pending > 0) {
		return
	}
	switch retry.Decide(reply, r.req.Idempotent) {
	case retry.Stop:
		return
	case retry.RetryOtherShard:
		if rejectedForLoad(reply) && !r.service.spendReroute() {
			r.service.scope.Counter("detours_exhausted").Inc(1)
			return
		}
	case retry.RetryBudgeted:
		if !r.service.spendRetryToken() {
			r.service.scope.Counter("budget_exhausted").Inc(1)
			return
		}
	}
	if r.startAttempt() == "" {
		r.service.scope.Counter("retries").Inc(1)
	}
}

// rejectedForLoad reports whether a shard rejected the request for lack of capacity.
func rejectedForLoad(reply structs.Reply) bool {
	return reply.Reason == structs.ReasonQueueFull || reply.Reason == structs.ReasonDeadline
}

// result combines the outcomes of all attempts. It is not-run only if none of them may have run.
func (r *requestRun) result() structs.Reply {
	if r.unknown != nil {
		return *r.unknown
	}
	return r.last
}

// interruptedReply returns the outcome at the deadline or cancellation. It is unknown while attempts are in progress.
func (r *requestRun) interruptedReply(reason string) structs.Reply {
	if r.pending > 0 {
		return unknownReply(reason)
	}
	return r.result()
}

func (r *requestRun) remaining() time.Duration { return r.deadline.Sub(r.service.cfg.Now()) }

// startAttempt starts one attempt. If none can be started, it returns the reason.
func (r *requestRun) startAttempt() string {
	remaining := r.remaining()
	if remaining <= 0 {
		return structs.ReasonDeadline
	}
	target, reason := r.service.router.choose(r.req, remaining, r.service.expectedServiceTime(r.req), r.tried)
	if reason != "" {
		return reason
	}
	r.tried.markTried(target)
	r.started++
	r.pending++
	r.service.beginAttempt()
	go r.runAttempt(target, remaining)
	return ""
}

// runAttempt sends one attempt and delivers its reply to results. It runs in its own goroutine and also completes after
// the request has ended, so that its latency is recorded.
func (r *requestRun) runAttempt(target Target, remaining time.Duration) {
	s := r.service
	defer s.done()
	ctx, span := s.tracer.Start(r.ctx, "requests.attempt", trace.WithAttributes(
		attribute.String("shard", target.Shard.String()), attribute.String("owner", string(target.Owner))))
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, remaining+ReplyGrace)
	defer cancel()
	req := r.req
	req.Remaining = remaining - 2*target.LinkDelay // at the owner, leaving time for the reply to come back
	start := s.cfg.Now()
	reply, err := s.cfg.Dispatcher.Dispatch(ctx, target, uuid.NewString(), req)
	reply = checkedReply(reply, err)
	if err != nil && r.ctx.Err() != nil && s.cfg.Now().Before(r.deadline) {
		reply = unknownReply(structs.ReasonCancelled) // cancelled by this host, which is no failure of the owner
	}
	s.router.attemptEnded(target, reply)
	span.SetAttributes(attribute.String("outcome", string(reply.Outcome)))
	if reply.Outcome == structs.Answered {
		s.observe(req, s.cfg.Now().Sub(start))
	}
	r.results <- attemptEnd{target, reply}
}

// checkedReply maps errors and malformed replies to the outcome that they prove.
func checkedReply(reply structs.Reply, err error) structs.Reply {
	switch {
	case errors.Is(err, ErrNotSent):
		return notRunReply(structs.ReasonOwnerUnreachable)
	case err != nil:
		return unknownReply(structs.ReasonOwnerLost)
	case reply.Outcome == structs.Answered && reply.Status == 0:
		return unknownReply(structs.ReasonOwnerLost)
	case reply.Outcome == structs.Answered, reply.Outcome == structs.NotRun, reply.Outcome == structs.OutcomeUnknown:
		return reply
	}
	return unknownReply(structs.ReasonOwnerLost)
}
