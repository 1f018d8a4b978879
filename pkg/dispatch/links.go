package dispatch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/relay"
)

const (
	// workersPerRelay is the number of workers that one entry host looks at: with frequent ends of tasks they take
	// about a tenth of a core.
	workersPerRelay = 75
	// collectWait is how long a relay may wait for results. Each answer is also the sign that the relay lives.
	collectWait = 250 * time.Millisecond
	// relayTimeout is added to the wait of a call of a relay.
	relayTimeout = 600 * time.Millisecond
	// relayLostAfter is how long a relay may leave calls unanswered before its workers move to others.
	relayLostAfter = 1200 * time.Millisecond
	// relayRetry is the pause after a failed call of a relay.
	relayRetry = 100 * time.Millisecond
	// permission is how long a relay may go on extending task leases without a further call.
	permission = 1500 * time.Millisecond
	// orderLostAfter is when an order without an outcome counts as unanswered: an order itself takes up to
	// half a second, and its outcome is told with the next results.
	orderLostAfter = 2500 * time.Millisecond
	// lookWait is how long a worker may wait for an end. Its report is also the renewal of its task leases.
	lookWait = time.Second
	// serviceLookWait is used where filler tasks run beside service tasks, whose tail latency has to be watched.
	serviceLookWait = 400 * time.Millisecond
)

// RelayClient calls a relay in this process or on another entry host.
type RelayClient interface {
	Update(ctx context.Context, u relay.Update) error
	Collect(ctx context.Context, partition int, term int64, leaseUntil, wait time.Duration) (relay.Results, error)
}

// RelayHost is an entry host that can look at workers.
type RelayHost struct {
	Name       string
	Datacentre structs.DatacentreID
	Cores      float64
	Local      bool // this process
	Client     RelayClient
}

// Relays knows the entry hosts.
type Relays interface {
	// RelayHosts returns the live entry hosts, this one included.
	RelayHosts() []RelayHost
}

// assignWorkers gives every worker a link. o.mu is held.
func (o *Owner) assignWorkers(ctx context.Context) {
	if !o.loaded || ctx.Err() != nil {
		return
	}
	infos := o.scheduler.Workers()
	o.openLinks(ctx, len(infos))
	known := make(map[schedule.WorkerID]bool, len(infos))
	for _, info := range infos {
		known[info.ID] = true
		o.assignWorker(info)
	}
	for id, l := range o.linkOf {
		if !known[id] {
			l.remove(id)
			delete(o.linkOf, id)
			delete(o.ends, id)
		}
	}
}

// openLinks opens as many links as the number of workers needs, to the strongest hosts.
func (o *Owner) openLinks(ctx context.Context, workers int) {
	want := max((workers+workersPerRelay-1)/workersPerRelay, 1)
	if len(o.links) > want {
		o.leaveLocal(ctx)
	}
	hosts := o.cfg.Relays.RelayHosts()
	leaving := o.leavingLinks(hosts)
	want += len(leaving)
	if len(o.links) >= want {
		o.closeLeaving(ctx, leaving, len(hosts))
		return
	}
	slices.SortFunc(hosts, func(a, b RelayHost) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.Name, b.Name))
	})
	if want == 1 || len(hosts) == 1 {
		hosts = slices.DeleteFunc(hosts, func(h RelayHost) bool { return !h.Local })
	} else {
		// Deciding takes the time of the owner's own host.
		hosts = slices.DeleteFunc(hosts, func(h RelayHost) bool { return h.Local })
	}
	if _, local := o.links[o.cfg.Host]; local && want > 1 {
		want++ // its workers move when there are enough others
	}
	for _, host := range hosts {
		if len(o.links) >= want {
			return
		}
		if _, open := o.links[host.Name]; !open && bootclock.Uptime() >= o.avoid[host.Name] {
			o.openLink(ctx, host)
		}
	}
}

// leavingLinks returns the links to hosts that are no longer registered: they stop soon. o.mu is held.
func (o *Owner) leavingLinks(hosts []RelayHost) []*link {
	registered := make(map[string]bool, len(hosts))
	for _, host := range hosts {
		registered[host.Name] = true
	}
	var leaving []*link
	for name, l := range o.links {
		if !registered[name] {
			leaving = append(leaving, l)
		}
	}
	return leaving
}

// closeLeaving gives the workers of leaving hosts to the links that were opened in their place. Without any registered
// host besides this one, the register is not to be trusted. o.mu is held.
func (o *Owner) closeLeaving(ctx context.Context, leaving []*link, registered int) {
	if registered < 2 {
		return
	}
	for _, l := range leaving {
		o.leave(ctx, l, "no longer registered")
	}
}

// leaveLocal moves the workers of this host's own relay to the others. o.mu is held.
func (o *Owner) leaveLocal(ctx context.Context) {
	l, local := o.links[o.cfg.Host]
	if !local || len(o.links) < 2 {
		return
	}
	o.leave(ctx, l, "there are enough others")
}

// leave gives the workers of a working relay to others and tells the relay to stop looking at them: until then both
// would call them. A relay that is not reached stops by itself. o.mu is held.
func (o *Owner) leave(ctx context.Context, l *link, reason string) {
	o.unlink(bootclock.Now(), l)
	update := relay.Update{Partition: int(o.cfg.Partition), Term: o.holding.Term, Reset: true}
	o.linkWG.Go(func() {
		call, cancel := context.WithTimeout(ctx, relayTimeout)
		defer cancel()
		err := l.host.Client.Update(call, update)
		o.cfg.Log.Event(eventlog.RelayReplaced).Str("relay", l.host.Name).Str("reason", reason).Err(err).Msg("")
	})
}

func (o *Owner) openLink(ctx context.Context, host RelayHost) {
	linkCtx, stop := context.WithCancel(ctx)
	l := &link{
		owner: o, host: host, stop: stop, wake: make(chan struct{}, 1), reset: true,
		workers: map[schedule.WorkerID]time.Duration{}, assign: map[schedule.WorkerID]bool{},
		release: map[schedule.WorkerID]bool{}, stored: map[schedule.WorkerID]relay.StoredEnd{},
		inFlight: map[orderKey]inFlight{}, answeredAt: bootclock.Uptime(),
	}
	o.links[host.Name] = l
	o.cfg.Log.Event(eventlog.RelayOpened).Str("relay", host.Name).Int64("term", o.holding.Term).Msg("")
	o.linkWG.Go(func() { l.sendLoop(linkCtx) })
	o.linkWG.Go(func() { l.collectLoop(linkCtx) })
}

// assignWorker gives a worker to the link with the fewest workers, in its own data centre if there is one.
func (o *Owner) assignWorker(info schedule.WorkerInfo) {
	wait := lookWait
	if o.scheduler.HasServicesAndFillers(info.ID) {
		wait = serviceLookWait
	}
	l, assigned := o.linkOf[info.ID]
	if !assigned {
		l = o.leastLoaded(info.Datacentre)
		if l == nil {
			return
		}
		o.linkOf[info.ID] = l
	}
	if before, known := l.workers[info.ID]; known && before == wait {
		return
	}
	l.workers[info.ID] = wait
	l.assign[info.ID] = true
	delete(l.release, info.ID)
	o.wake(l.wake)
}

func (o *Owner) leastLoaded(dc structs.DatacentreID) *link {
	var best *link
	bestLoad := 0
	for _, l := range o.links {
		load := len(l.workers)
		if l.host.Datacentre != dc {
			load += workersPerRelay // only when those in the data centre have more than their share
		}
		if best == nil || load < bestLoad || (load == bestLoad && l.host.Name < best.host.Name) {
			best, bestLoad = l, load
		}
	}
	return best
}

// queueOrders hands the decided orders to the relays of their workers. o.mu is held.
func (o *Owner) queueOrders(now schedule.Time) {
	for _, order := range o.scheduler.TakeOrders() {
		if l, assigned := o.linkOf[order.Worker]; assigned {
			l.orders = append(l.orders, order)
			o.wake(l.wake)
			continue
		}
		// Nobody looks at the worker now; nothing was sent.
		o.scheduler.OrderAnswered(now, order, schedule.NotRun)
	}
}

// closeLink gives the workers of a lost relay to others.
func (o *Owner) closeLink(l *link, reason string) {
	l.stop()
	o.cfg.Log.Event(eventlog.RelayLost).Str("relay", l.host.Name).Int64("term", o.holding.Term).Str("reason", reason).Msg("")
	o.changed(func(_ *schedule.Scheduler, now schedule.Time) {
		o.unlink(now, l)
		o.avoid[l.host.Name] = now.Boot + avoidRelay
	})
}

// unlink ends a link and leaves its workers without one. o.mu is held.
func (o *Owner) unlink(now schedule.Time, l *link) {
	l.stop()
	delete(o.links, l.host.Name)
	for id := range l.workers {
		delete(o.linkOf, id)
		o.scheduler.PollerLost(id, l.permitted)
	}
	for _, waiting := range l.inFlight {
		o.scheduler.OrderAnswered(now, waiting.order, schedule.Unanswered)
	}
	for _, order := range l.orders {
		o.scheduler.OrderAnswered(now, order, schedule.Unanswered)
	}
	o.wake(o.assignWake)
}

// avoidRelay is how long a lost relay is not used again.
const avoidRelay = 5 * time.Second
