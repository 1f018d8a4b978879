// Package dispatch runs the owner of a partition: it tracks jobs and workers, plans with core/schedule, sends orders to
// the relays that poll the workers, and stores the progress of jobs.
//
// Concurrency: one goroutine plans, one stores progress, and two serve each relay. They share the scheduler under
// Owner.mu, the only lock of the package. No remote call is made while it is held.
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

// Directory provides the platform's list of workers.
type Directory interface {
	// Follow calls update with the full list of workers, initially, after each change and each time that it is found to
	// be current, until ctx ends.
	Follow(ctx context.Context, update func([]schedule.WorkerInfo))
}

const (
	// storeRetryDelay is the pause after a failed call to the store.
	storeRetryDelay = 200 * time.Millisecond
)

// Config configures an Owner.
type Config struct {
	Partition         statekeys.Partition
	Host              string // name of this entry host
	Store             kv.Store
	Relays            Relays
	Directory         Directory
	TaskLease         time.Duration // duration by which a poll extends the task leases of a worker
	MaxTaskLease      time.Duration // longest task lease that a worker grants
	StopTime          time.Duration // maximum time that a worker takes to stop a task
	EndsPerReport     int           // see schedule.Config
	EndedJobRetention time.Duration // how long the state of an ended job can be queried
	Log               *eventlog.Logger
	Scope             tally.Scope
}

// Owner is the owner of a partition during one term.
type Owner struct {
	cfg        Config
	ownership  *term.Ownership
	startedAt  time.Duration // boot time of the creation of this owner
	planWake   chan struct{} // capacity 1
	saveWake   chan struct{} // capacity 1
	assignWake chan struct{} // capacity 1
	metrics    ownerMetrics

	statusClock statusClock // used by logStatus only

	mu                sync.Mutex // guards the fields below
	scheduler         *schedule.Scheduler
	links             map[string]*link // by host name
	linkOf            map[schedule.WorkerID]*link
	sequence          int64                        // of the latest update of a relay
	relayBackOffUntil map[relayPlace]time.Duration // boot time until which a lost relay is not used
	localSubstitutes  bool                         // the relay of this host is used only while no other one can be
	ends              map[schedule.WorkerID]endNumbers
	endSessions       int64 // number of sessions of endNumbers so far
	unreachable       map[schedule.WorkerID]bool
	polls             pollRecords
	unusedLog         unusedLog
	revisions         map[workload.JobID]int64 // of the stored progress records; no entry without a record
	undecodable       map[workload.JobID]bool  // jobs whose progress record cannot be decoded
	deletions         map[workload.JobID]int64 // see deletion.go
	earlyCancels      map[workload.JobID]earlyCancel
	refusedRecords    map[workload.JobID]refusedRecord // records that the store has refused for good, see refused.go
	known             knownWorkers
	loaded            bool
	takenOver         bool // the completed takeover has been logged
	resumption        resumption
	measures          measures
	linkWG            sync.WaitGroup
}

// endNumbers records how far the numbered task ends of a worker incarnation have been processed since a relay has begun to poll it.
type endNumbers struct {
	incarnation  int64
	session      int64    // differs for each relay that polls the worker and, as far as is known, for each process that numbers ends anew
	applied      int64    // newest end applied by the scheduler
	acknowledged int64    // newest end that is stored and queued for acknowledgement by the relay
	unstored     []jobEnd // ends that were applied and have not been acknowledged, by number
	leavesOut    bool     // the latest report leaves out ends
}

type ownerMetrics struct {
	orders, ends, stores tally.Counter
	crashes, crashedRuns tally.Counter // processes of workers that have ended, and the attempts that they ran
	preemptions          tally.Counter // attempts that were stopped for displaced tasks
	storeTime            tally.Histogram
	status               statusMetrics
}

// NewOwner returns the owner of an acquired partition. Run starts it.
func NewOwner(cfg Config, ownership *term.Ownership) *Owner {
	return &Owner{
		cfg:        cfg,
		ownership:  ownership,
		startedAt:  bootclock.Uptime(),
		planWake:   make(chan struct{}, 1),
		saveWake:   make(chan struct{}, 1),
		assignWake: make(chan struct{}, 1),
		metrics: ownerMetrics{
			orders:      cfg.Scope.Counter("orders_sent"),
			ends:        cfg.Scope.Counter("ends_taken"),
			stores:      cfg.Scope.Counter("progress_writes"),
			crashes:     cfg.Scope.Counter("worker_crashes"),
			crashedRuns: cfg.Scope.Counter("attempts_crashed"),
			preemptions: cfg.Scope.Counter("attempts_preempted"),
			storeTime:   cfg.Scope.Histogram("progress_write_seconds", storeBuckets),
			status:      newStatusMetrics(cfg.Scope),
		},
		scheduler: schedule.NewScheduler(schedule.Config{
			Term: ownership.Term, TaskLease: cfg.TaskLease, MaxTaskLease: cfg.MaxTaskLease, StopTime: cfg.StopTime,
			HandoverGrace: schedule.LeaseGrantWindow, UnknownGrace: term.TTL, CallDelay: lateCallDelay, AcquiredAt: ownership.AcquiredAt,
			EndsPerReport: cfg.EndsPerReport,
		}),
		links:             map[string]*link{},
		linkOf:            map[schedule.WorkerID]*link{},
		relayBackOffUntil: map[relayPlace]time.Duration{},
		ends:              map[schedule.WorkerID]endNumbers{},
		unreachable:       map[schedule.WorkerID]bool{},
		polls:             pollRecords{},
		revisions:         map[workload.JobID]int64{},
		undecodable:       map[workload.JobID]bool{},
		refusedRecords:    map[workload.JobID]refusedRecord{},
		deletions:         map[workload.JobID]int64{},
		earlyCancels:      map[workload.JobID]earlyCancel{},
		known:             knownWorkers{partOf: map[schedule.WorkerID]int{}},
	}
}

// storeBuckets are the histogram buckets for the latency of the store, from 1 ms to about 2 s.
var storeBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 12)

// Run loads the partition and schedules its jobs until ctx ends or the ownership is lost.
func (o *Owner) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	context.AfterFunc(ctx, func() { o.wake(o.planWake); o.wake(o.saveWake) })
	go func() {
		select {
		case <-o.ownership.Lost():
			cancel()
		case <-ctx.Done():
		}
	}()
	var wg sync.WaitGroup
	wg.Go(func() { o.ownership.Renew(ctx) })
	if o.load(ctx) {
		wg.Go(func() { o.cfg.Directory.Follow(ctx, o.setWorkers) })
		wg.Go(func() { o.assignLoop(ctx) })
		wg.Go(func() { o.watchSubmissions(ctx) })
		wg.Go(func() { o.saveLoop(ctx) })
		wg.Go(func() { o.deleteLoop(ctx) })
		wg.Go(func() { o.logStatus(ctx) })
		wg.Go(func() { o.saveInterference(ctx) })
		o.planLoop(ctx)
	}
	cancel()
	wg.Wait()
	o.linkWG.Wait()
	o.cfg.Log.Event(eventlog.OwnerStopped).Int("partition", int(o.cfg.Partition)).Int64("term", o.ownership.Term).Msg("")
}

// wake signals a channel of capacity 1. It does nothing if a signal is already pending.
func (o *Owner) wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// drain removes a pending signal from a channel.
func drain(c chan struct{}) {
	select {
	case <-c:
	default:
	}
}

// update runs f on the scheduler, queues the resulting orders for the relays and logs the resulting events.
func (o *Owner) update(f func(s *schedule.Scheduler, now schedule.Time)) {
	for _, event := range o.apply(f) {
		o.logEvent(event)
	}
}

// apply runs f on the scheduler, queues the resulting orders and returns the resulting events.
func (o *Owner) apply(f func(s *schedule.Scheduler, now schedule.Time)) []schedule.Event {
	called := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	locked := time.Now()
	o.measures.lockWait.Add(locked.Sub(called))
	now := bootclock.Now()
	f(o.scheduler, now)
	o.queueOrders(now)
	events := o.scheduler.TakeEvents()
	o.measures.lockHeld.Add(time.Since(locked))
	return events
}

// updateAndPlan runs f on the scheduler and then triggers planning and saving.
func (o *Owner) updateAndPlan(f func(s *schedule.Scheduler, now schedule.Time)) {
	o.update(f)
	o.wake(o.planWake)
	o.wake(o.saveWake)
}

// assignLoop assigns new workers, and workers of lost relays, to relays until ctx ends.
func (o *Owner) assignLoop(ctx context.Context) {
	for ctx.Err() == nil {
		o.mu.Lock()
		o.assignWorkers(ctx)
		o.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-o.assignWake:
		case <-time.After(planInterval):
		}
	}
}

// setWorkers replaces the list of workers.
func (o *Owner) setWorkers(infos []schedule.WorkerInfo) {
	o.updateAndPlan(func(s *schedule.Scheduler, now schedule.Time) {
		s.SetWorkers(now, infos)
		o.resumption.listedAt = now.Boot
	})
	o.wake(o.assignWake)
}

// SetEvacuated sets the data centres in which no task may be started.
func (o *Owner) SetEvacuated(datacentres []structs.DatacentreID) {
	o.updateAndPlan(func(s *schedule.Scheduler, _ schedule.Time) { s.SetEvacuated(datacentres) })
}

// SetQueuePools sets the pools to which the operator's configuration sends the tasks of all queues.
func (o *Owner) SetQueuePools(pools map[workload.QueueName]schedule.QueuePool) {
	o.updateAndPlan(func(s *schedule.Scheduler, _ schedule.Time) { s.SetQueuePools(pools) })
}

// Term returns the term of the owner.
func (o *Owner) Term() int64 { return o.ownership.Term }

// Announce adds a job that was accepted under the owner's term.
func (o *Owner) Announce(job workload.Job) {
	o.updateAndPlan(func(s *schedule.Scheduler, _ schedule.Time) { s.AddJob(job, nil, false) })
}

// Cancel applies a stored cancellation. If the job is not loaded yet, job and cancellation are both read from the store
// later.
func (o *Owner) Cancel(id workload.JobID) {
	o.updateAndPlan(func(s *schedule.Scheduler, now schedule.Time) { s.Cancel(now, id) })
}

// Confirmed reports whether the store has confirmed the ownership up to now: no other host has acquired the partition.
func (o *Owner) Confirmed() bool { return bootclock.Uptime() < o.ownership.ValidUntil() }

// JobState returns the state of a job; known is false if the job is unknown or the partition is not loaded yet.
func (o *Owner) JobState(id workload.JobID) (state workload.State, known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.scheduler.JobState(id)
}

// QueueLength returns the number of jobs of a queue that have not started; known is false until the partition is
// loaded.
func (o *Owner) QueueLength(queue workload.QueueName) (jobs int, known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.scheduler.PendingJobs(queue), o.loaded
}

// recordOutcome passes the outcome of an order to the scheduler when the call to its relay has failed.
func (o *Owner) recordOutcome(order schedule.Order, outcome schedule.Outcome, reason string) {
	o.logOutcome(order, outcome, reason)
	o.updateAndPlan(func(s *schedule.Scheduler, now schedule.Time) {
		if l, assigned := o.linkOf[order.Worker]; assigned {
			delete(l.inFlight, keyOf(order))
		}
		s.OrderAnswered(now, order, outcome)
	})
}

// logOutcome counts an order and logs it unless it was accepted.
func (o *Owner) logOutcome(order schedule.Order, outcome schedule.Outcome, reason string) {
	o.metrics.orders.Inc(1)
	if outcome == schedule.Accepted {
		return
	}
	o.cfg.Log.Event(eventlog.OrderFailed).Str("worker", string(order.Worker)).Str("job", string(order.Task.Job)).
		Int("step", order.Task.Step).Int("task", order.Task.Index).Int64("attempt", order.Attempt).
		Str("kind", order.Kind.String()).Str("outcome", outcome.String()).Str("reason", reason).Msg("")
}

// decodeJob decodes the record of a job, whose ID is that of its key: under another one, its progress would not be found.
func decodeJob(id workload.JobID, item kv.Item) (workload.Job, error) {
	var job workload.Job
	if err := json.Unmarshal(item.Value, &job); err != nil {
		return job, errors.Annotatef(err, "decode job record %s", item.Key)
	}
	if job.ID != id {
		return job, errors.NotValidf("job record %s: id %.40q", item.Key, string(job.ID))
	}
	if findings := workload.Validate(job); len(findings) > 0 {
		return job, errors.Errorf("job record %s: %v", item.Key, findings[0])
	}
	return job, nil
}
