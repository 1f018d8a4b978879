package dispatch

import (
	"context"
	"time"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/pause"
)

const (
	// planDelay batches changes that arrive close together into one planning run.
	planDelay = 4 * time.Millisecond
	// planPauseFactor is the minimum pause after a planning run as a multiple of its duration. Reports and outcomes wait while
	// the owner plans, and a run grows with the number of waiting tasks.
	planPauseFactor = 3
	// planInterval is the maximum time between two planning runs: leases expire and job occurrences become due without
	// an event that triggers planning.
	planInterval = 100 * time.Millisecond
)

// planLoop plans when it is triggered, and at least once per planInterval, until ctx ends.
func (o *Owner) planLoop(ctx context.Context) { repeatPlan(ctx, o.planWake, o.plan) }

// repeatPlan calls plan, which returns how long it took, after each signal of wake, and planInterval after its last call
// otherwise, until ctx ends.
func repeatPlan(ctx context.Context, wake chan struct{}, plan func() time.Duration) {
	timer := time.NewTimer(planInterval)
	defer timer.Stop()
	delay, ended := planDelay, time.Time{}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-wake:
			pause.For(ctx, max(delay-time.Since(ended), planDelay))
			drain(wake)
		}
		delay, ended = delayAfterPlan(plan()), time.Now()
		timer.Reset(planInterval) // also drops a tick of the meantime, which would start the next run without a pause
	}
}

// delayAfterPlan returns how long changes are batched after a planning run that took the given time.
func delayAfterPlan(took time.Duration) time.Duration {
	return min(max(planPauseFactor*took, planDelay), planInterval)
}

// plan runs the planner and returns how long it took; 0 if it was not run.
func (o *Owner) plan() (took time.Duration) {
	o.update(func(s *schedule.Scheduler, now schedule.Time) {
		if !o.loaded {
			return
		}
		validUntil := o.ownership.ValidUntil()
		collectedUpTo := func(id schedule.WorkerID) time.Duration { return o.collectedUpTo(now, id) }
		s.Expire(now, now.Boot < validUntil, collectedUpTo)
		s.RaiseRejected(o.ownership.ConfirmedAt())
		s.WithholdLeases(now, now.Boot < validUntil, o.withheldSince, collectedUpTo)
		if s.TakeAssignmentsChanged() {
			o.wake(o.assignWake)
		}
		if s.KnownWorkersChanged() {
			o.wake(o.saveWake)
		}
		held, pausedFor := o.resumption.holds(now.Boot, validUntil)
		if pausedFor > 0 {
			o.cfg.Log.Event(eventlog.OwnerResumed).Int64("term", o.ownership.Term).Int64("paused_for", ms(pausedFor)).Msg("")
		}
		if held {
			return
		}
		started := time.Now()
		s.Plan(now)
		took = time.Since(started)
		o.measures.plan.Add(took)
		if s.Incomplete() {
			o.wake(o.planWake)
		}
		if !o.takenOver && s.TakeoverComplete() {
			o.takenOver = true
			o.known.releaseUnreadable()
			o.wake(o.saveWake)
			o.cfg.Log.Event(eventlog.TakeoverComplete).Int64("term", o.ownership.Term).Msg("")
		}
	})
	return took
}
