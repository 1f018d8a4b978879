package dispatch

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/relay"
)

const (
	// collectWait is how long a relay may hold a Collect call open for results. Each response also serves as a liveness
	// check of the relay.
	collectWait = 250 * time.Millisecond
	// relayTimeout is the timeout of a call to a relay, in addition to the time that the relay may wait.
	relayTimeout = 900 * time.Millisecond
	// relayLostAfter is how long a relay may be unresponsive before its workers are assigned to other relays. A
	// configuration with many routes fills the link of a small host for more than a second.
	relayLostAfter = 1800 * time.Millisecond
	// relayRetryDelay is the pause after a failed call to a relay.
	relayRetryDelay = 100 * time.Millisecond
	// orderLostAfter is the time after which an order without an outcome is recorded as unanswered. An order takes up
	// to half a second, and its outcome is returned with the next results.
	orderLostAfter = 2500 * time.Millisecond
	// maxStartWait is how long a start may wait in its link. It is longer than a call to the relay that fails, and exceeded when
	// this process is paused.
	maxStartWait = 1500 * time.Millisecond
	// pollWait is how long a worker may hold a poll open until a task ends. Each poll also extends the worker's task
	// leases.
	pollWait = time.Second
	// servicePollWait replaces pollWait on workers that run services: their tail latency has to be monitored more often, and a next owner
	// has to know soon that such a worker is silent. So have workers that run a task which may crash them: it is below
	// schedule.MaxUnobserved, so that their crash is noticed in time.
	servicePollWait = 400 * time.Millisecond
)

// RelayClient calls a relay in this process or on another entry host.
type RelayClient interface {
	Update(ctx context.Context, u relay.Update) error
	Collect(ctx context.Context, partition int, term int64, leaseUntil, wait time.Duration) (relay.Results, error)
}

// assignWorkers assigns every worker to a link and removes workers that no longer exist. o.mu is held.
func (o *Owner) assignWorkers(ctx context.Context) {
	if !o.loaded || ctx.Err() != nil {
		return
	}
	infos := o.scheduler.Workers()
	o.openLinks(ctx, len(infos))
	if o.localSubstitutes && o.links[o.cfg.Host] != nil { // services first, since not all workers may be polled
		slices.SortStableFunc(infos, func(a, b schedule.WorkerInfo) int {
			return cmp.Compare(o.scheduler.Services(b.ID), o.scheduler.Services(a.ID))
		})
	}
	known := make(map[schedule.WorkerID]bool, len(infos))
	for _, info := range infos {
		known[info.ID] = true
		o.assignWorker(info)
	}
	for id, l := range o.linkOf {
		if !known[id] {
			l.remove(id)
			delete(o.linkOf, id)
		}
	}
	maps.DeleteFunc(o.ends, func(id schedule.WorkerID, _ endNumbers) bool { return !known[id] })
	maps.DeleteFunc(o.unreachable, func(id schedule.WorkerID, _ bool) bool { return !known[id] })
}

// releaseRelay moves the workers of a working relay to other relays and instructs it to stop polling them. Until it
// stops, a worker may be polled by both relays. A relay that cannot be reached stops after its owner timeout. o.mu is
// held.
func (o *Owner) releaseRelay(ctx context.Context, l *link, reason string) {
	o.unlink(bootclock.Now(), l)
	update := relay.Update{Partition: int(o.cfg.Partition), Term: o.ownership.Term, Sequence: o.nextSequence(), Reset: true}
	o.linkWG.Go(func() {
		call, cancel := context.WithTimeout(ctx, relayTimeout)
		defer cancel()
		err := l.host.Client.Update(call, update)
		o.cfg.Log.Event(eventlog.RelayReplaced).Str("relay", l.host.Name).Str("reason", reason).Err(err).Msg("")
	})
}

// nextSequence returns the number of the next update of this owner. o.mu is held.
func (o *Owner) nextSequence() int64 {
	o.sequence++
	return o.sequence
}

// openLink opens a link to the relay on a host and starts its loops. o.mu is held.
func (o *Owner) openLink(ctx context.Context, host RelayHost) {
	linkCtx, stop := context.WithCancel(ctx)
	l := &link{
		owner: o, host: host, stop: stop, wake: make(chan struct{}, 1), reset: true,
		workers: map[schedule.WorkerID]assignment{}, assign: map[schedule.WorkerID]bool{},
		release: map[schedule.WorkerID]bool{}, leaving: map[schedule.WorkerID]bool{}, stored: map[schedule.WorkerID]relay.StoredEnd{},
		inFlight: map[orderKey]inFlight{}, withheld: newWithheldLeases(), openedAt: bootclock.Uptime(), lastResponseAt: bootclock.Uptime(),
	}
	o.links[host.Name] = l
	o.cfg.Log.Event(eventlog.RelayOpened).Str("relay", host.Name).Int64("term", o.ownership.Term).Msg("")
	o.linkWG.Go(func() { l.sendLoop(linkCtx) })
	o.linkWG.Go(func() { l.collectLoop(linkCtx) })
}

// assignWorker assigns a worker to the link with the most room, preferring links in the worker's data centre, and
// sends the assignment again if anything in it has changed. o.mu is held.
func (o *Owner) assignWorker(info schedule.WorkerInfo) {
	wait := pollWait
	if o.scheduler.Services(info.ID) > 0 || o.scheduler.OnProbation(info.ID) {
		wait = servicePollWait
	}
	l, assigned := o.linkOf[info.ID]
	if assigned && o.hasNearerRelay(l, info) {
		o.unassign(info.ID, l)
		assigned = false
	}
	if !assigned {
		l = o.leastLoaded(info.Datacentre)
		if l == nil {
			return
		}
		o.linkOf[info.ID] = l
		if l.relayClockReadAt > 0 {
			o.scheduler.RecordTaskLease(info.ID, l.taskLease)
		}
	}
	next := assignment{address: info.Address, datacentre: info.Datacentre, wait: wait,
		withhold: o.scheduler.WithholdsLeases(info.ID), fenceOffset: o.scheduler.FenceOffset(info.ID)}
	if before, known := l.workers[info.ID]; known {
		next.datacentre = before.datacentre
		if before == next {
			return
		}
	}
	delete(l.withheld.since, info.ID)
	l.workers[info.ID] = next
	l.assign[info.ID] = true
	delete(l.release, info.ID)
	delete(l.leaving, info.ID)
	o.wake(l.wake)
}

// hasNearerRelay reports whether a worker has started again in another data centre, in which there is a relay for it. o.mu is held.
func (o *Owner) hasNearerRelay(l *link, info schedule.WorkerInfo) bool {
	before, known := l.workers[info.ID]
	if !known || before.datacentre == info.Datacentre || l.host.Datacentre == info.Datacentre {
		return false
	}
	for _, other := range o.links {
		if other.host.Datacentre == info.Datacentre && !o.full(other) {
			return true
		}
	}
	return false
}

// unassign takes a worker from a working relay. Until the relay has applied the release, the worker may be polled by the next one as
// well, and its leases are extended as long as the relay is permitted. o.mu is held.
func (o *Owner) unassign(id schedule.WorkerID, l *link) {
	l.remove(id)
	delete(o.linkOf, id)
	o.pollerLost(id, l)
}

// pollerLost records that a relay polls a worker no longer, or begins anew. The next one takes a process with the start of the former one
// for that, so what was stored of the former one's ends acknowledges none of those that the next relay lists. o.mu is held.
func (o *Owner) pollerLost(id schedule.WorkerID, l *link) {
	delete(l.stored, id)
	delete(o.ends, id)
	o.scheduler.PollerLost(id, l.lastGrant())
}

// leastLoaded returns the link to which the next worker in a data centre is assigned, or nil if there is none.
// o.mu is held.
func (o *Owner) leastLoaded(dc structs.DatacentreID) *link {
	var best *link
	bestLoad := 0.0
	for _, l := range o.links {
		if o.full(l) {
			continue
		}
		load := float64(len(l.workers)) / float64(l.host.capacity())
		if l.host.Datacentre != dc {
			load++ // used only if the relays in the worker's data centre have reached their capacity
		}
		if best == nil || load < bestLoad || (load == bestLoad && l.host.Name < best.host.Name) {
			best, bestLoad = l, load
		}
	}
	return best
}

// queueOrders queues the scheduler's orders on the links of their workers. o.mu is held.
func (o *Owner) queueOrders(now schedule.Time) {
	queuedAt := bootclock.Uptime()
	for _, order := range o.scheduler.TakeOrders() {
		if l, assigned := o.linkOf[order.Worker]; assigned {
			order.DecidedAt, order.QueuedAt = now.Boot, queuedAt
			l.orders = append(l.orders, order)
			o.wake(l.wake)
			continue
		}
		// No relay is assigned to the worker, so the order was not sent.
		o.scheduler.OrderAnswered(now, order, schedule.NotRun)
	}
}

// closeLink closes the link to a lost relay, unless it is closed already. Its workers are assigned to other relays. The relay is
// used again after relayBackOff, or as soon as its host is registered with another address.
func (o *Owner) closeLink(l *link, reason error) {
	l.stop()
	o.updateAndPlan(func(_ *schedule.Scheduler, now schedule.Time) {
		if l.closed {
			return
		}
		o.logLost(l, reason)
		o.unlink(now, l)
		maps.DeleteFunc(o.relayBackOffUntil, func(_ relayPlace, until time.Duration) bool { return until <= now.Boot })
		o.relayBackOffUntil[l.host.place()] = now.Boot + relayBackOff
	})
}

// logLost logs why a link is closed.
func (o *Owner) logLost(l *link, reason error) {
	event := eventlog.RelayLost
	if errors.Is(reason, relay.ErrOtherHost) {
		event = eventlog.RelayAddressTaken
	}
	o.cfg.Log.Event(event).Str("relay", l.host.Name).Str("address", l.host.Address).Int64("term", o.ownership.Term).
		Str("reason", reason.Error()).Msg("")
}

// unlink removes a link and leaves its workers unassigned until the next assignment. Its orders without an outcome are
// recorded as unanswered, and starts that were not sent as not run. o.mu is held.
func (o *Owner) unlink(now schedule.Time, l *link) {
	l.stop()
	l.closed = true
	delete(o.links, l.host.Name)
	for id := range l.workers {
		delete(o.linkOf, id)
		o.pollerLost(id, l)
	}
	for _, entry := range l.inFlight {
		o.scheduler.OrderAnswered(now, entry.order, schedule.Unanswered)
	}
	for _, order := range l.orders {
		o.scheduler.OrderAnswered(now, order, unsentOutcome(order))
	}
	l.orders = nil // the loop of the link may take one more update
	o.wake(o.assignWake)
}

// unsentOutcome returns the outcome of an order that no relay has received: a start has not run, and others may be sent again.
func unsentOutcome(order schedule.Order) schedule.Outcome {
	if order.Kind == schedule.OrderStart {
		return schedule.NotRun
	}
	return schedule.Unanswered
}

// relayBackOff is how long a relay is not used after it was lost.
const relayBackOff = 5 * time.Second
