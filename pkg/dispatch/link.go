package dispatch

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/pause"
	"fulmarcourse.example/fulmarcourse/pkg/relay"
)

// orderKey identifies an order.
type orderKey struct {
	kind    schedule.OrderKind
	task    workload.TaskID
	attempt int64
	worker  schedule.WorkerID
}

// link is the owner's connection to one relay. Its mutable fields are guarded by Owner.mu.
type link struct {
	owner *Owner
	host  RelayHost
	stop  context.CancelFunc
	wake  chan struct{} // capacity 1

	closed   bool // nothing is sent to the relay any more
	workers  map[schedule.WorkerID]assignment
	reset    bool // the next update replaces the relay's list of workers
	assign   map[schedule.WorkerID]bool
	release  map[schedule.WorkerID]bool
	leaving  map[schedule.WorkerID]bool // no longer assigned; the relay may not have applied the release yet
	stored   map[schedule.WorkerID]relay.StoredEnd
	orders   []schedule.Order
	inFlight map[orderKey]inFlight
	polls    pollOrder

	relayClock       time.Duration // last reading of the relay's boot clock
	relayClockReadAt time.Duration // boot time of its receipt; 0 before the first and after a failed call
	permittedUntil   time.Duration // boot time up to which the relay may extend leases
	taskLease        time.Duration // the longest lease that the relay grants; 0 if it has not told
	openedAt         time.Duration // boot time of the creation of the link
	lastResponseAt   time.Duration // boot time of the last successful call, or of the creation of the link
	collectedUpTo    time.Duration // boot time up to which all results of the relay have been applied; 0 before the first
	withheld         withheldLeases
}

// assignment is what the relay is told of a worker.
type assignment struct {
	address     string               // as the platform lists it
	datacentre  structs.DatacentreID // for which the relay was chosen
	wait        time.Duration        // how long a poll of the worker may wait
	withhold    bool                 // the relay extends no lease of it
	fenceOffset int64                // added to the term for the fencing token of calls to it
}

// inFlight is an order that was sent to the relay and has no outcome yet.
type inFlight struct {
	order    schedule.Order
	deadline time.Duration // boot time after which the order is recorded as unanswered
}

func keyOf(o schedule.Order) orderKey { return orderKey{o.Kind, o.Task, o.Attempt, o.Worker} }

// remove unassigns a worker from the relay. Owner.mu is held.
func (l *link) remove(id schedule.WorkerID) {
	delete(l.workers, id)
	delete(l.assign, id)
	delete(l.stored, id)
	delete(l.withheld.since, id)
	l.polls.forget(id)
	l.release[id], l.leaving[id] = true, true
	l.owner.wake(l.wake)
}

// sendLoop sends an update whenever there are pending changes, until ctx ends.
func (l *link) sendLoop(ctx context.Context) {
	pacer := callPacer{owner: l.owner}
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		}
		if !pacer.wait(ctx) {
			return
		}
		update, ok := l.takeUpdate()
		if !ok {
			continue
		}
		call, cancel := context.WithTimeout(ctx, relayTimeout)
		err := l.host.Client.Update(call, update)
		cancel()
		if err != nil {
			l.updateFailed(ctx, update, err)
			continue
		}
		l.updateApplied(update)
	}
}

// updateApplied records what the relay has done once it has answered an update.
func (l *link) updateApplied(u relay.Update) {
	l.owner.mu.Lock()
	defer l.owner.mu.Unlock()
	l.recordReleased(u)
	l.recordWithheld(u)
}

// recordReleased records which workers the relay has stopped polling. Owner.mu is held.
func (l *link) recordReleased(u relay.Update) {
	listed := make(map[schedule.WorkerID]bool, len(u.Assign))
	for _, a := range u.Assign {
		listed[a.Worker.ID] = true
	}
	maps.DeleteFunc(l.leaving, func(id schedule.WorkerID, _ bool) bool {
		// A release that is pending came after this update, in which the worker may be assigned.
		return !l.release[id] && (u.Reset && !listed[id] || slices.Contains(u.Release, id))
	})
}

// takeUpdate returns the pending changes for the relay and clears them, except for orders beyond the size of an update; ok is
// false when there are none or the link is closed.
func (l *link) takeUpdate() (u relay.Update, ok bool) {
	o := l.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	if l.closed {
		return u, false
	}
	u = relay.Update{
		Partition: int(o.cfg.Partition), Term: o.ownership.Term, LeaseUntil: l.permitLeases(),
		Sequence: o.nextSequence(), Reset: l.reset, Orders: l.takeOrders(bootclock.Now()),
	}
	assign := l.assign
	if l.reset {
		assign = make(map[schedule.WorkerID]bool, len(l.workers))
		for id := range l.workers {
			assign[id] = true
		}
	}
	for id := range assign {
		if info, known := o.scheduler.Worker(id); known {
			u.Assign = append(u.Assign, relay.Assignment{
				Worker: info, AnsweredAddress: o.scheduler.AnsweredAddress(id), Wait: l.workers[id].wait,
				WithholdLeases: l.workers[id].withhold, FenceOffset: l.workers[id].fenceOffset,
			})
		}
	}
	for id := range l.release {
		u.Release = append(u.Release, id)
	}
	for _, stored := range l.stored {
		u.Stored = append(u.Stored, stored)
	}
	o.polls.assigned(u.Assign)
	l.withheld.taken = l.withheld.resets
	ok = l.reset || len(u.Assign) > 0 || len(u.Release) > 0 || len(u.Stored) > 0 || len(u.Orders) > 0
	l.reset = false
	clear(l.assign)
	clear(l.release)
	clear(l.stored)
	return u, ok
}

// permitLeases returns the time on the relay's boot clock up to which the relay may extend task leases, and records the
// same instant on this host's clock in permittedUntil. A delayed call does not extend the permission, because the
// limit is a reading of the relay's own clock. After a failed call no permission is given until the relay's clock has
// been read again: the relay's host may have rebooted, which resets its boot clock. A closed link permits nothing, since
// the owner has recorded permittedUntil for its workers. The permission holds for workers as well that the relay has not released yet. A relay
// that may extend leases for which a later owner would not wait gets none.
// Owner.mu is held.
func (l *link) permitLeases() time.Duration {
	if l.closed || l.relayClockReadAt == 0 || l.mayExtendUnstored() {
		return 0
	}
	until := l.owner.ownership.ConfirmedAt() + schedule.LeaseGrantWindow
	l.permittedUntil = max(l.permittedUntil, until)
	for id := range l.leaving {
		l.owner.scheduler.LeasesPermitted(id, l.lastGrant())
	}
	return l.relayClock + (until - l.relayClockReadAt)
}

// updateFailed handles a failed update: its orders are recorded as unanswered, and the next update resets the relay.
func (l *link) updateFailed(ctx context.Context, u relay.Update, err error) {
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, relay.ErrStaleTerm) {
		l.owner.ownership.MarkLost("a relay serves a later owner")
		return
	}
	if errors.Is(err, relay.ErrOtherHost) {
		l.updateRefused(u, err)
		return
	}
	l.owner.mu.Lock()
	l.reset = true // the relay may or may not have applied the update
	l.withheld.reset()
	l.relayClockReadAt = 0
	l.owner.mu.Unlock()
	for _, order := range u.Orders {
		l.owner.recordOutcome(order, schedule.Unanswered, err.Error())
	}
	pause.For(ctx, relayRetryDelay)
	l.owner.wake(l.wake)
}

// updateRefused handles an update that another host has refused at the address of the relay.
func (l *link) updateRefused(u relay.Update, err error) {
	for _, order := range u.Orders {
		l.owner.recordOutcome(order, unsentOutcome(order), err.Error())
	}
	l.owner.closeLink(l, err)
}

// collectLoop fetches results from the relay and applies them until ctx ends or the relay is lost.
func (l *link) collectLoop(ctx context.Context) {
	pacer := callPacer{owner: l.owner}
	for pacer.wait(ctx) {
		l.owner.mu.Lock()
		leaseUntil := l.permitLeases()
		l.owner.mu.Unlock()
		sent := bootclock.Uptime()
		call, cancel := l.collectContext(ctx)
		results, err := l.host.Client.Collect(call, int(l.owner.cfg.Partition), l.owner.ownership.Term, leaseUntil, collectWait)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if l.collectFailed(err) {
				return
			}
			pause.For(ctx, relayRetryDelay)
			continue
		}
		l.applyResults(sent, bootclock.Uptime(), results)
	}
}

// collectContext returns the context of a Collect call. A relay in this process responds in time whenever it can run; if it
// cannot, neither can the owner, and a deadline would only discard the results.
func (l *link) collectContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if l.host.Local {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, collectWait+relayTimeout)
}

// collectFailed handles a failed Collect call and reports whether the loop must end.
func (l *link) collectFailed(err error) bool {
	o := l.owner
	if errors.Is(err, relay.ErrStaleTerm) {
		o.ownership.MarkLost("a relay serves a later owner")
		return true
	}
	if errors.Is(err, relay.ErrNoAssignment) {
		l.reassignAll()
		return false
	}
	if errors.Is(err, relay.ErrOtherHost) {
		o.closeLink(l, err)
		return true
	}
	o.mu.Lock()
	l.relayClockReadAt = 0
	l.polls.reset()
	for id := range l.workers {
		o.scheduler.ReportsLost(id) // the relay drops results once it has sent them, even if the response is lost
	}
	lost := bootclock.Uptime()-l.lastResponseAt > relayLostAfter
	o.mu.Unlock()
	if lost {
		o.closeLink(l, err)
	}
	return lost
}

// reassignAll schedules an update that lists all workers of the relay again. A relay drops its workers when its owner
// has not called for some time, for example because this process or the relay's process was paused.
func (l *link) reassignAll() {
	o := l.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	for id := range l.workers {
		o.pollerLost(id, l)
	}
	l.reset, l.lastResponseAt, l.relayClockReadAt = true, bootclock.Uptime(), 0
	l.withheld.reset()
	l.polls.reset()
	o.wake(l.wake)
}

// applyResults passes results to the scheduler. sent is the boot time at which they were requested, arrived that of their
// arrival.
func (l *link) applyResults(sent, arrived time.Duration, results relay.Results) {
	o := l.owner
	if results.Fenced && !o.raisesFences() {
		o.ownership.MarkLost("a worker has accepted a later owner")
		return
	}
	o.updateAndPlan(func(s *schedule.Scheduler, now schedule.Time) {
		l.relayClock, l.relayClockReadAt, l.lastResponseAt = results.Now, now.Boot, now.Boot
		l.withheld.observed = results.WithholdsLeases
		l.recordTaskLease(s, results.TaskLease)
		o.measures.recordResults(now.Boot, arrived, results)
		for _, outcome := range results.Outcomes {
			l.applyOutcome(s, now, outcome)
		}
		for _, report := range results.Reports {
			report.Report.ReceivedAt = sent - relayWait(results, report.Report)
			// The relay read its clock after this request was sent, so a time converted like this is not later than the
			// actual time.
			l.applyReport(s, now, report, relayClockOffset{earliest: sent - results.Now, latest: arrived - results.Now})
		}
		if results.Uncollected == 0 {
			l.collectedUpTo = sent // the relay took its results after the request was sent
		}
		l.expireOrders(s, now)
	})
}

// raisesFences reports whether a worker may reject calls although there is no later owner.
func (o *Owner) raisesFences() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.scheduler.RaisesFences()
}

// collectedUpTo returns the boot time up to which the results of all polls of a worker have been applied. A worker without a
// relay is not polled. o.mu is held.
func (o *Owner) collectedUpTo(now schedule.Time, id schedule.WorkerID) time.Duration {
	if l, assigned := o.linkOf[id]; assigned {
		return l.collectedUpTo
	}
	return now.Boot
}

func (l *link) applyOutcome(s *schedule.Scheduler, now schedule.Time, outcome relay.OrderOutcome) {
	key := keyOf(outcome.Order)
	entry, found := l.inFlight[key]
	if !found {
		return // already recorded as unanswered
	}
	l.owner.measures.recordOutcome(now.Boot, entry, outcome)
	delete(l.inFlight, key)
	l.owner.logOutcome(outcome.Order, outcome.Outcome, outcome.Reason)
	if !s.OrderAnswered(now, outcome.Order, outcome.Outcome) {
		l.owner.ownership.MarkLost("a worker has accepted a later owner")
	}
}

// applyReport applies the result of a poll. Its times are on the relay's clock.
func (l *link) applyReport(s *schedule.Scheduler, now schedule.Time, report relay.WorkerReport, offset relayClockOffset) {
	o := l.owner
	id := report.Worker
	if o.linkOf[id] != l {
		return // the worker has since been assigned to another relay
	}
	if report.Failed != "" {
		l.applyFailedPoll(s, now, report, offset)
		return
	}
	sentAt, ok := l.polls.convert(id, report.Report.SentAt, report.Report.SentAt+offset.earliest)
	if !ok {
		s.ReportsLost(id) // the newer report lists everything that this one does, but the next poll may have extended leases
		return
	}
	report.Report.SentAt = sentAt
	if o.unreachable[id] {
		delete(o.unreachable, id)
		o.cfg.Log.Event(eventlog.WorkerReachable).Str("worker", string(id)).Msg("")
	}
	o.measures.recordReport(now.Boot, report.Report)
	applied := s.Report(now, id, report.Report)
	ends := o.ends[id]
	if ends.session == 0 || ends.incarnation != report.Report.Incarnation || applied < ends.applied {
		o.endSessions++
		ends = endNumbers{incarnation: report.Report.Incarnation, session: o.endSessions}
	}
	before := len(ends.unstored)
	ends.unstored = appendEnds(ends.unstored, report.Report.Ended, ends.applied, applied)
	o.metrics.ends.Inc(int64(len(ends.unstored) - before))
	ends.applied = applied
	ends.leavesOut = !s.ListsAllEnds(report.Report)
	if len(report.Report.Ended) > 0 {
		ends.acknowledged = 0 // the worker still lists ends, so it has not received the acknowledgement
	}
	o.ends[id] = ends
}

// expireOrders records orders as unanswered whose outcome has not arrived by their deadline.
func (l *link) expireOrders(s *schedule.Scheduler, now schedule.Time) {
	for key, entry := range l.inFlight {
		if now.Boot >= entry.deadline {
			delete(l.inFlight, key)
			l.owner.measures.orderAge.Add(clampAge(now.Boot - entry.order.DecidedAt))
			s.OrderAnswered(now, entry.order, schedule.Unanswered)
		}
	}
}
