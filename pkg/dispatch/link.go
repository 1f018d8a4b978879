package dispatch

import (
	"context"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/core/workload"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/pause"
	"fulmarcourse.example/fulmarcourse/pkg/relay"
)

type orderKey struct {
	kind    schedule.OrderKind
	task    workload.TaskID
	attempt int64
	worker  schedule.WorkerID
}

// link is the owner's side of one relay. Its fields are guarded by Owner.mu.
type link struct {
	owner *Owner
	host  RelayHost
	stop  context.CancelFunc
	wake  chan struct{} // capacity 1

	workers  map[schedule.WorkerID]time.Duration // with the wait of their looks
	reset    bool                                // the next update lists all workers
	assign   map[schedule.WorkerID]bool
	release  map[schedule.WorkerID]bool
	stored   map[schedule.WorkerID]relay.StoredEnd
	orders   []schedule.Order
	inFlight map[orderKey]inFlight

	relayNow   time.Duration // last reading of the relay's boot clock
	readAt     time.Duration // boot time by which it had been taken; 0 before the first and after a failed call
	permitted  time.Duration // boot time up to which the relay may extend leases
	answeredAt time.Duration // boot time of the last answer, or of the start
}

type inFlight struct {
	order schedule.Order
	until time.Duration
}

func keyOf(o schedule.Order) orderKey { return orderKey{o.Kind, o.Task, o.Attempt, o.Worker} }

func (l *link) remove(id schedule.WorkerID) {
	delete(l.workers, id)
	delete(l.assign, id)
	delete(l.stored, id)
	l.release[id] = true
	l.owner.wake(l.wake)
}

// sendLoop sends updates as soon as there is something to tell.
func (l *link) sendLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
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
		}
	}
}

// takeUpdate returns what the relay has to be told; ok is false when there is nothing.
func (l *link) takeUpdate() (u relay.Update, ok bool) {
	o := l.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	u = relay.Update{
		Partition: int(o.cfg.Partition), Term: o.holding.Term, LeaseUntil: l.permit(), Reset: l.reset, Orders: l.orders,
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
			u.Assign = append(u.Assign, relay.Assignment{Worker: info, Wait: l.workers[id]})
		}
	}
	for id := range l.release {
		u.Release = append(u.Release, id)
	}
	for _, stored := range l.stored {
		u.Stored = append(u.Stored, stored)
	}
	now := bootclock.Uptime()
	for _, order := range l.orders {
		l.inFlight[keyOf(order)] = inFlight{order, now + orderLostAfter}
	}
	ok = l.reset || len(u.Assign) > 0 || len(u.Release) > 0 || len(u.Stored) > 0 || len(u.Orders) > 0
	l.reset, l.orders = false, nil
	clear(l.assign)
	clear(l.release)
	clear(l.stored)
	return u, ok
}

// permit returns the time on the relay's clock up to which it may extend task leases, and notes the same moment on this
// host's clock. A call that is delayed permits nothing longer, since the time is a reading of the relay's own clock.
// After a failed call it permits nothing before the next reading: the relay's host may have been started anew, and its
// boot clock with it.
func (l *link) permit() time.Duration {
	if l.readAt == 0 {
		return 0
	}
	until := min(bootclock.Uptime()+permission, l.owner.holding.ValidUntil())
	l.permitted = max(l.permitted, until)
	return l.relayNow + (until - l.readAt)
}

func (l *link) updateFailed(ctx context.Context, u relay.Update, err error) {
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, relay.ErrStaleTerm) {
		l.owner.holding.Lose("a relay works for a later owner")
		return
	}
	l.owner.mu.Lock()
	l.reset = true // the update may or may not have been taken in
	l.readAt = 0
	l.owner.mu.Unlock()
	for _, order := range u.Orders {
		l.owner.answered(order, schedule.Unanswered, err.Error())
	}
	pause.For(ctx, relayRetry)
	l.owner.wake(l.wake)
}

// collectLoop takes in what the relay has to tell until the relay is lost.
func (l *link) collectLoop(ctx context.Context) {
	for ctx.Err() == nil {
		l.owner.mu.Lock()
		leaseUntil := l.permit()
		l.owner.mu.Unlock()
		sent := bootclock.Uptime()
		call, cancel := context.WithTimeout(ctx, collectWait+relayTimeout)
		results, err := l.host.Client.Collect(call, int(l.owner.cfg.Partition), l.owner.holding.Term, leaseUntil, collectWait)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if l.failed(err) {
				return
			}
			pause.For(ctx, relayRetry)
			continue
		}
		l.take(sent, results)
	}
}

// failed notes a failed call and reports whether the relay is lost.
func (l *link) failed(err error) bool {
	o := l.owner
	if errors.Is(err, relay.ErrStaleTerm) {
		o.holding.Lose("a relay works for a later owner")
		return true
	}
	if errors.Is(err, relay.ErrNoAssignment) {
		l.assignAnew()
		return false
	}
	o.mu.Lock()
	l.readAt = 0
	for id := range l.workers {
		o.scheduler.ReportsLost(id) // the relay forgets what it has told, whether the answer arrives or not
	}
	lost := bootclock.Uptime()-l.answeredAt > relayLostAfter
	o.mu.Unlock()
	if lost {
		o.closeLink(l, err.Error())
	}
	return lost
}

// assignAnew tells a relay all its workers again. It forgets them when this process or its own was frozen.
func (l *link) assignAnew() {
	o := l.owner
	o.mu.Lock()
	defer o.mu.Unlock()
	for id := range l.workers {
		o.scheduler.PollerLost(id, l.permitted)
	}
	l.reset, l.answeredAt, l.readAt = true, bootclock.Uptime(), 0
	o.wake(l.wake)
}

// take passes results to the scheduler. sent is when they were asked for.
func (l *link) take(sent time.Duration, results relay.Results) {
	o := l.owner
	if results.Fenced {
		o.holding.Lose("a worker has seen a later owner")
		return
	}
	o.changed(func(s *schedule.Scheduler, now schedule.Time) {
		l.relayNow, l.readAt, l.answeredAt = results.Now, now.Boot, now.Boot
		for _, outcome := range results.Outcomes {
			l.takeOutcome(s, now, outcome)
		}
		for _, report := range results.Reports {
			// The relay read its clock after the request was sent: seen from here, the look is at least so old.
			report.Report.SentAt = sent - (results.Now - report.Report.SentAt)
			l.takeReport(s, now, report)
		}
		l.expireOrders(s, now)
	})
}

func (l *link) takeOutcome(s *schedule.Scheduler, now schedule.Time, outcome relay.OrderOutcome) {
	key := keyOf(outcome.Order)
	if _, waiting := l.inFlight[key]; !waiting {
		return // it already counts as unanswered
	}
	delete(l.inFlight, key)
	l.owner.logOutcome(outcome.Order, outcome.Outcome, outcome.Reason)
	if !s.OrderAnswered(now, outcome.Order, outcome.Outcome) {
		l.owner.holding.Lose("a worker has seen a later owner")
	}
}

func (l *link) takeReport(s *schedule.Scheduler, now schedule.Time, report relay.WorkerReport) {
	o := l.owner
	id := report.Worker
	if o.linkOf[id] != l {
		return // it was given to another relay since
	}
	if report.Failed != "" {
		s.PollFailed(now, id)
		if !o.unreachable[id] {
			o.unreachable[id] = true
			o.cfg.Log.Event(eventlog.WorkerUnreachable).Str("worker", string(id)).Str("reason", report.Failed).Msg("")
		}
		return
	}
	if o.unreachable[id] {
		delete(o.unreachable, id)
		o.cfg.Log.Event(eventlog.WorkerReachable).Str("worker", string(id)).Msg("")
	}
	seen := s.Report(now, id, report.Report)
	ends := o.ends[id]
	if ends.incarnation != report.Report.Incarnation {
		ends = workerEnds{incarnation: report.Report.Incarnation}
	}
	o.metrics.ends.Inc(max(seen-ends.seen, 0))
	ends.seen = seen
	if len(report.Report.Ended) > 0 {
		ends.told = 0 // the worker has not heard that they are stored
	}
	o.ends[id] = ends
}

// expireOrders counts orders as unanswered whose outcome has not come.
func (l *link) expireOrders(s *schedule.Scheduler, now schedule.Time) {
	for key, waiting := range l.inFlight {
		if now.Boot >= waiting.until {
			delete(l.inFlight, key)
			s.OrderAnswered(now, waiting.order, schedule.Unanswered)
		}
	}
}
