// Package dispatch runs the owner of a partition: it follows the jobs and workers, plans with core/schedule, sends the
// orders to the relays that look at the workers, and stores the progress of jobs.
//
// Concurrency: one goroutine plans, one stores, two serve each relay. All of them share the scheduler under Owner.mu,
// the only lock of the package. No call is made while it is held.
package dispatch

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
	"fulmarcourse.example/fulmarcourse/pkg/term"
)

// Directory follows the platform's list of workers.
type Directory interface {
	// Follow calls update with all workers, at first and after each change, until ctx ends.
	Follow(ctx context.Context, update func([]schedule.WorkerInfo))
}

const (
	// planDelay lets changes that come together be planned together.
	planDelay = 4 * time.Millisecond
	// tick is the longest time between two plans: leases expire and occurrences become due without any event.
	tick = 100 * time.Millisecond
	// retryAfter is the pause after a failed call of the store.
	retryAfter = 200 * time.Millisecond
)

// Config configures an Owner.
type Config struct {
	Partition statekeys.Partition
	Host      string // name of this entry host
	Store     kv.Store
	Relays    Relays
	Directory Directory
	TaskLease time.Duration // by which a look extends the task leases of a worker
	StopTime  time.Duration // in which a worker stops a task
	KeepEnded time.Duration // for which the state of an ended job can be asked for
	Log       *eventlog.Logger
	Scope     tally.Scope
}

// Owner is the owner of a partition during one term.
type Owner struct {
	cfg        Config
	holding    *term.Ownership
	planWake   chan struct{} // capacity 1
	saveWake   chan struct{} // capacity 1
	assignWake chan struct{} // capacity 1
	metrics    ownerMetrics

	mu          sync.Mutex // guards the fields below
	scheduler   *schedule.Scheduler
	links       map[string]*link // by host
	linkOf      map[schedule.WorkerID]*link
	avoid       map[string]time.Duration // lost relays, with the boot time from which on they are tried again
	ends        map[schedule.WorkerID]workerEnds
	unreachable map[schedule.WorkerID]bool
	revisions   map[workload.JobID]int64 // of the stored progress; no entry when there is none
	roster      int64                    // revision of the stored roster
	loaded      bool
	taken       bool // takeover is complete
	linkWG      sync.WaitGroup
}

// workerEnds tells how far the ends of a worker incarnation were taken in.
type workerEnds struct {
	incarnation int64
	seen        int64 // taken in by the scheduler
	told        int64 // stored, and the relay was told
}

type ownerMetrics struct {
	orders, ends, stores tally.Counter
	storeTime            tally.Histogram
}

// NewOwner returns the owner of a partition that was acquired.
func NewOwner(cfg Config, holding *term.Ownership) *Owner {
	return &Owner{
		cfg:        cfg,
		holding:    holding,
		planWake:   make(chan struct{}, 1),
		saveWake:   make(chan struct{}, 1),
		assignWake: make(chan struct{}, 1),
		metrics: ownerMetrics{
			orders:    cfg.Scope.Counter("orders_sent"),
			ends:      cfg.Scope.Counter("ends_taken"),
			stores:    cfg.Scope.Counter("progress_writes"),
			storeTime: cfg.Scope.Histogram("progress_write_seconds", storeBuckets),
		},
		scheduler: schedule.NewScheduler(schedule.Config{
			Term: holding.Term, TaskLease: cfg.TaskLease, StopTime: cfg.StopTime, HandoverSilence: term.TTL,
		}),
		links:       map[string]*link{},
		linkOf:      map[schedule.WorkerID]*link{},
		avoid:       map[string]time.Duration{},
		ends:        map[schedule.WorkerID]workerEnds{},
		unreachable: map[schedule.WorkerID]bool{},
		revisions:   map[workload.JobID]int64{},
	}
}

// storeBuckets cover the answer times of the store from 1 ms to about 2 s.
var storeBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 12)

// Run works until ctx ends or the ownership is lost.
func (o *Owner) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(ctx, func() { o.wake(o.planWake); o.wake(o.saveWake) })
	go func() {
		select {
		case <-o.holding.Lost():
			cancel()
		case <-ctx.Done():
		}
	}()
	var wg sync.WaitGroup
	wg.Go(func() { o.holding.Renew(ctx) })
	if o.load(ctx) {
		wg.Go(func() { o.cfg.Directory.Follow(ctx, o.setWorkers) })
		wg.Go(func() { o.assignLoop(ctx) })
		wg.Go(func() { o.followSubmissions(ctx) })
		wg.Go(func() { o.saveLoop(ctx) })
		wg.Go(func() { o.collectEnded(ctx) })
		wg.Go(func() { o.logStatus(ctx) })
		wg.Go(func() { o.saveInterference(ctx) })
		o.planLoop(ctx)
	}
	cancel()
	wg.Wait()
	o.linkWG.Wait()
	o.cfg.Log.Event(eventlog.OwnerStopped).Int("partition", int(o.cfg.Partition)).Int64("term", o.holding.Term).Msg("")
}

func (o *Owner) wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// update runs f on the scheduler and then sends the orders and writes the log entries that it decided.
func (o *Owner) update(f func(s *schedule.Scheduler, now schedule.Time)) {
	o.mu.Lock()
	now := bootclock.Now()
	f(o.scheduler, now)
	o.queueOrders(now)
	events := o.scheduler.TakeEvents()
	o.mu.Unlock()
	for _, event := range events {
		o.logEvent(event)
	}
}

// changed runs f on the scheduler and plans afterwards.
func (o *Owner) changed(f func(s *schedule.Scheduler, now schedule.Time)) {
	o.update(f)
	o.wake(o.planWake)
	o.wake(o.saveWake)
}

func (o *Owner) planLoop(ctx context.Context) {
	timer := time.NewTicker(tick)
	defer timer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-o.planWake:
			time.Sleep(planDelay)
			drain(o.planWake)
		}
		o.plan()
	}
}

func drain(c chan struct{}) {
	select {
	case <-c:
	default:
	}
}

func (o *Owner) plan() {
	o.update(func(s *schedule.Scheduler, now schedule.Time) {
		if !o.loaded {
			return
		}
		s.Expire(now, now.Boot < o.holding.ValidUntil())
		s.Plan(now)
		if !o.taken && s.TakenOver() {
			o.taken = true
			o.cfg.Log.Event(eventlog.TakeoverComplete).Int64("term", o.holding.Term).Msg("")
		}
	})
}

// assignLoop gives new workers to relays, and those of lost relays to others.
func (o *Owner) assignLoop(ctx context.Context) {
	for ctx.Err() == nil {
		o.mu.Lock()
		o.assignWorkers(ctx)
		o.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-o.assignWake:
		case <-time.After(tick):
		}
	}
}

// setWorkers takes in the platform's list of workers.
func (o *Owner) setWorkers(infos []schedule.WorkerInfo) {
	o.changed(func(s *schedule.Scheduler, now schedule.Time) { s.SetWorkers(now, infos) })
	o.wake(o.assignWake)
}

// SetEvacuated takes in the data centres in which no task may start.
func (o *Owner) SetEvacuated(datacentres []structs.DatacentreID) {
	o.changed(func(s *schedule.Scheduler, _ schedule.Time) { s.SetEvacuated(datacentres) })
}

// Term returns the term of the owner.
func (o *Owner) Term() int64 { return o.holding.Term }

// Announce takes in a job that was accepted under the owner's term.
func (o *Owner) Announce(job workload.Job) {
	o.changed(func(s *schedule.Scheduler, _ schedule.Time) { s.AddJob(job, nil, false) })
}

// Cancel takes in a stored cancellation. An unknown job is found in the store together with it.
func (o *Owner) Cancel(id workload.JobID) {
	o.changed(func(s *schedule.Scheduler, now schedule.Time) { s.Cancel(now, id) })
}

// JobState returns the state of a job; known is false before the partition is loaded.
func (o *Owner) JobState(id workload.JobID) (state workload.State, known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.scheduler.JobState(id)
}

// QueueLength returns how many jobs of a queue have not started; known is false before the partition is loaded.
func (o *Owner) QueueLength(queue workload.QueueName) (jobs int, known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.scheduler.Waiting(queue), o.loaded
}

// answered takes in the outcome of an order that a relay has not reported.
func (o *Owner) answered(order schedule.Order, outcome schedule.Outcome, reason string) {
	o.logOutcome(order, outcome, reason)
	o.changed(func(s *schedule.Scheduler, now schedule.Time) {
		if l, assigned := o.linkOf[order.Worker]; assigned {
			delete(l.inFlight, keyOf(order))
		}
		s.Answered(now, order, outcome)
	})
}

func (o *Owner) logOutcome(order schedule.Order, outcome schedule.Outcome, reason string) {
	o.metrics.orders.Inc(1)
	if outcome == schedule.Accepted {
		return
	}
	o.cfg.Log.Event(eventlog.OrderFailed).Str("worker", string(order.Worker)).Str("job", string(order.Task.Job)).
		Int("step", order.Task.Step).Int("task", order.Task.Index).Int64("attempt", order.Attempt).
		Str("kind", order.Kind.String()).Str("outcome", outcome.String()).Str("reason", reason).Msg("")
}

func decodeJob(item kv.Item) (workload.Job, error) {
	var job workload.Job
	err := json.Unmarshal(item.Value, &job)
	return job, errors.Annotatef(err, "job record %s", item.Key)
}
