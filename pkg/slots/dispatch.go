package slots

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"fulmarcourse.example/core/admission"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
)

// MaxUnreachableRunners is the number of runners that one dispatch tries to connect before it fails. Nothing is sent on
// a failed connection, so these tries are outside the retry budget.
const MaxUnreachableRunners = 3

// Dispatch queues the request, sends it to a runner and returns the reply. Cancelling ctx withdraws a request that is
// still queued; for one that was sent, Dispatch waits until the reply or the deadline.
func (p *Pool) Dispatch(ctx context.Context, attemptID string, req structs.Request) structs.Reply {
	ctx, span := p.tracer.Start(ctx, "slots.dispatch", trace.WithAttributes(
		attribute.String("request", req.ID), attribute.String("shard", p.cfg.Shard.String())))
	defer span.End()
	reply := p.dispatch(ctx, attemptID, req)
	span.SetAttributes(attribute.String("outcome", string(reply.Outcome)), attribute.String("reason", reply.Reason))
	p.metrics.countDispatch(reply)
	return reply
}

func (p *Pool) dispatch(ctx context.Context, attemptID string, req structs.Request) structs.Reply {
	if !p.beginDispatch() {
		return notRun(structs.ReasonDraining)
	}
	defer p.endDispatch()
	deadline := p.cfg.Now().Add(req.Remaining)
	var unreachable []structs.HostID
	for attempt := 1; ; attempt++ {
		grant, rejected := p.awaitGrant(ctx, req, deadline, unreachable)
		if rejected != "" {
			if len(unreachable) > 0 {
				rejected = structs.ReasonRunnerUnreachable
			}
			return notRun(rejected)
		}
		reply, retry := p.send(ctx, fmt.Sprintf("%s.%d", attemptID, attempt), req, grant, deadline)
		if !retry || attempt == MaxUnreachableRunners {
			return reply
		}
		unreachable = append(unreachable, grant.Slot.Runner)
	}
}

func (p *Pool) beginDispatch() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.active++
	return true
}

func (p *Pool) endDispatch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active--
	p.signalEndLocked()
}

// awaitGrant queues the request until it gets a slot. It returns a reason if the request is rejected.
func (p *Pool) awaitGrant(ctx context.Context, req structs.Request, deadline time.Time, unreachable []structs.HostID) (admission.Grant, string) {
	item, granted, rejected := p.enqueue(req, deadline, unreachable)
	if rejected != "" {
		return admission.Grant{}, rejected
	}
	select {
	case result := <-granted:
		return result.grant, result.rejected
	case <-ctx.Done():
	}
	p.mu.Lock()
	s := p.services[req.Service]
	if s.admission.Withdraw(item) {
		delete(s.queued, item)
		p.mu.Unlock()
		return admission.Grant{}, structs.ReasonCancelled
	}
	p.mu.Unlock()
	// The wait ended at the same time as ctx.
	result := <-granted
	if result.rejected == "" {
		p.releaseUnused(req, result.grant)
		result.rejected = structs.ReasonCancelled
	}
	return admission.Grant{}, result.rejected
}

func (p *Pool) enqueue(req structs.Request, deadline time.Time, unreachable []structs.HostID) (*admission.Item, chan grantResult, string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, known := p.services[req.Service]
	if !known {
		return nil, nil, structs.ReasonNoRunner
	}
	now := p.cfg.Now()
	item := &admission.Item{Kind: req.Kind, Arrived: now, Deadline: deadline}
	item.Avoid = append(append(item.Avoid, unreachable...), p.runnersByRequest[req.ID]...)
	if verdict := s.admission.Arrive(now, item); verdict != admission.Queued {
		return nil, nil, string(verdict)
	}
	granted := make(chan grantResult, 1)
	s.queued[item] = granted
	p.advanceLocked()
	return item, granted, ""
}

// send sends one attempt on the granted slot. retry means that nothing was sent and another runner may be tried.
func (p *Pool) send(ctx context.Context, id string, req structs.Request, grant admission.Grant, deadline time.Time) (reply structs.Reply, retry bool) {
	now := p.cfg.Now()
	p.metrics.recordWait(now.Sub(grant.Item.Arrived))
	results := make(chan result, 1)
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deadline.Sub(now)+p.cfg.UncertainHold)
	p.attemptStarted(req, grant)
	go func() {
		defer cancel()
		results <- p.callRunner(callCtx, id, req, grant, deadline)
	}()
	expired := time.NewTimer(deadline.Sub(now))
	defer expired.Stop()
	select {
	case r := <-results:
		return r.reply, r.retry
	case <-expired.C:
	}
	select {
	case r := <-results: // both were ready
		return r.reply, r.retry
	default:
		return unknown(structs.ReasonDeadline, grant.Slot.Runner), false
	}
}

// result is the result of one runner call.
type result struct {
	reply structs.Reply
	retry bool
}

// callRunner checks the ownership, calls the runner and releases or holds the slot. It is not interrupted when the
// request passes its deadline, because only the end of the call shows that the runner has finished.
func (p *Pool) callRunner(ctx context.Context, id string, req structs.Request, grant admission.Grant, deadline time.Time) result {
	defer p.attemptEnded(req, grant)
	if err := p.cfg.CheckOwnership(); err != nil {
		p.recordEnd(req, func(c *admission.Controller, _ time.Time) { c.Unused(grant) })
		return result{reply: notRun(structs.ReasonWrongOwner)}
	}
	remaining := deadline.Sub(p.cfg.Now())
	if remaining <= 0 {
		p.recordEnd(req, func(c *admission.Controller, _ time.Time) { c.Unused(grant) })
		return result{reply: notRun(structs.ReasonDeadline)}
	}
	answer, err := p.cfg.Client.Do(ctx, grant.Slot.Address, Attempt{
		ID: id, Service: req.Service, Kind: req.Kind, Body: req.Body, Remaining: remaining,
	})
	return p.handleResult(req, grant, deadline, answer, err)
}

// HTTP status codes that an answer may carry.
const (
	minStatus   = 200
	maxStatus   = 599
	serverError = 500
)

// handleResult converts the result of a runner call to a reply and releases or holds the slot.
func (p *Pool) handleResult(req structs.Request, grant admission.Grant, deadline time.Time, answer Answer, err error) result {
	runner := grant.Slot.Runner
	switch {
	case err == nil && answer.Status >= minStatus && answer.Status <= maxStatus:
		now := p.recordEnd(req, func(c *admission.Controller, now time.Time) {
			c.Answered(now, grant, answer.Status >= serverError)
		})
		p.metrics.recordServe(now.Sub(grant.Slot.Since))
		if now.After(deadline) {
			p.metrics.late.Inc(1)
		}
		return result{reply: structs.Reply{Outcome: structs.Answered, Status: answer.Status, Body: answer.Body, Runner: runner}}
	case errors.Is(err, ErrNotSent):
		p.recordEnd(req, func(c *admission.Controller, now time.Time) { c.NotSent(now, grant) })
		return result{reply: notRun(structs.ReasonRunnerUnreachable), retry: true}
	case errors.Is(err, ErrBusy):
		p.recordEnd(req, func(c *admission.Controller, now time.Time) { c.Refused(now, grant) })
		return result{reply: notRun(structs.ReasonRunnerRefused)}
	}
	if err == nil {
		p.cfg.Log.Event(eventlog.RunnerAnswerInvalid).Str("runner", string(runner)).Int("status", answer.Status).Msg("")
	} else {
		p.cfg.Log.Event(eventlog.SlotUncertain).Str("runner", string(runner)).Str("request", req.ID).Err(err).Msg("")
	}
	p.recordEnd(req, func(c *admission.Controller, now time.Time) {
		c.Uncertain(now, grant, deadline.Add(p.cfg.UncertainHold))
	})
	return result{reply: unknown(structs.ReasonRunnerLost, runner)}
}

// recordEnd applies the end of an attempt to the slot counts and returns the time at which it was applied.
func (p *Pool) recordEnd(req structs.Request, apply func(*admission.Controller, time.Time)) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Now()
	apply(p.services[req.Service].admission, now)
	p.advanceLocked()
	return now
}

func (p *Pool) releaseUnused(req structs.Request, grant admission.Grant) {
	p.recordEnd(req, func(c *admission.Controller, _ time.Time) { c.Unused(grant) })
}

// attemptStarted records that a runner holds an attempt of the request, so that a hedge goes to another runner.
func (p *Pool) attemptStarted(req structs.Request, grant admission.Grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active++
	p.runnersByRequest[req.ID] = append(p.runnersByRequest[req.ID], grant.Slot.Runner)
}

func (p *Pool) attemptEnded(req structs.Request, grant admission.Grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active--
	p.signalEndLocked()
	held := p.runnersByRequest[req.ID]
	for i, id := range held {
		if id == grant.Slot.Runner {
			held = append(held[:i], held[i+1:]...)
			break
		}
	}
	if len(held) == 0 {
		delete(p.runnersByRequest, req.ID)
		return
	}
	p.runnersByRequest[req.ID] = held
}

func notRun(reason string) structs.Reply {
	return structs.Reply{Outcome: structs.NotRun, Reason: reason}
}

func unknown(reason string, runner structs.HostID) structs.Reply {
	return structs.Reply{Outcome: structs.OutcomeUnknown, Reason: reason, Runner: runner}
}
