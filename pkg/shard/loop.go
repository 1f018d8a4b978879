package shard

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"fulmarcourse.example/core/drain"
	"fulmarcourse.example/core/guard"
	"fulmarcourse.example/core/quarantine"
	"fulmarcourse.example/core/reconcile"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/jobs"
)

// Loop runs one owned shard for as long as its ownership lasts.
type Loop struct {
	cfg        Config
	shard      structs.ShardID
	epoch      structs.Epoch
	acquiredAt time.Time
	wake       chan struct{} // a job changed; buffered, one pending wake-up is enough
	pool       chan struct{} // one token per worker call in progress
	calls      sync.WaitGroup
	batch      *jobs.Batch

	refreshing atomic.Bool // a read of job records is in progress
	justLoaded atomic.Bool // the records were read for the first time; inventories are needed at once

	mu        sync.Mutex
	planner   *planner
	tracker   *quarantine.Tracker
	guard     guard.Policy
	draining  drainState
	leaving   map[structs.HostID]*drain.Drainer // per leaving worker
	preempted map[structs.TaskID]time.Time      // when tasks were last stopped for a pending one
	table     *table
	loaded    bool  // job records were read under this epoch
	revision  int64 // store revision up to which job records are known
}

// newLoop returns the loop of a shard acquired with epoch. Run starts it.
func newLoop(cfg Config, id structs.ShardID, epoch structs.Epoch) *Loop {
	if cfg.TaskHorizon == 0 {
		cfg.TaskHorizon = TaskHorizon
	}
	l := &Loop{
		cfg:        cfg,
		shard:      id,
		epoch:      epoch,
		acquiredAt: cfg.Clock(),
		wake:       make(chan struct{}, 1),
		pool:       make(chan struct{}, poolSize),
		planner:    newPlanner(cfg, uint64(epoch)),
		tracker:    quarantine.NewTracker(0),
		guard:      guard.NewHysteresis(),
		leaving:    map[structs.HostID]*drain.Drainer{},
		preempted:  map[structs.TaskID]time.Time{},
		table:      newTable(),
	}
	l.batch = cfg.NewBatch(id, epoch, l.onCancel)
	return l
}

// Notify makes the loop read changed job records soon.
func (l *Loop) Notify() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run works until ctx ends, then waits for the calls in progress and writes the last changes.
func (l *Loop) Run(ctx context.Context) {
	ticker := time.NewTicker(cycleInterval)
	defer ticker.Stop()
	batchCtx, stopBatch := context.WithCancel(context.WithoutCancel(ctx))
	batchDone := make(chan struct{})
	go func() {
		defer close(batchDone)
		_ = l.batch.Run(batchCtx) // the tickets carry the errors
	}()
	var due schedule
	for {
		l.cycle(ctx, &due)
		select {
		case <-ctx.Done():
			l.calls.Wait()
			l.save()
			stopBatch()
			<-batchDone
			l.closeBatch()
			return
		case <-l.wake:
			due.refresh, due.plan = time.Time{}, time.Time{}
		case <-ticker.C:
		}
	}
}

// closeBatch writes the last changes while this host still owns the shard.
func (l *Loop) closeBatch() {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := l.batch.Close(ctx); err != nil {
		l.cfg.Log.Event(eventlog.RecordsNotWritten).Str("shard", l.shard.String()).Err(err).Msg("")
	}
}

// schedule holds when each periodic step is next due.
type schedule struct {
	refresh time.Time
	renew   time.Time
	plan    time.Time
	guard   time.Time
}

// cycle runs the steps that are due. Called by the loop goroutine, no lock held.
func (l *Loop) cycle(ctx context.Context, due *schedule) {
	if _, err := l.valid(); err != nil {
		return
	}
	now := l.cfg.Clock()
	if !now.Before(due.refresh) {
		due.refresh = now.Add(refreshInterval)
		l.startRefresh(ctx)
	}
	l.updateWorkers()
	if l.justLoaded.Swap(false) || !now.Before(due.renew) {
		due.renew = now.Add(renewInterval)
		l.renewAll(ctx)
	}
	if !l.isLoaded() {
		return
	}
	l.applyCancellations()
	l.expireWorkers()
	l.drain()
	if !now.Before(due.guard) {
		due.guard = now.Add(guardInterval)
		l.judgeFailures()
		l.protect(ctx)
	}
	l.repeatCommands(ctx)
	if !now.Before(due.plan) {
		due.plan = now.Add(planInterval)
		l.startPending(ctx)
	}
	l.save()
}

// valid returns the epoch if this host owns the shard now under the epoch of the loop.
func (l *Loop) valid() (structs.Epoch, error) {
	epoch, err := l.cfg.Ownership.Valid(l.shard)
	if err != nil {
		return 0, err
	}
	if epoch != l.epoch {
		return 0, errEpochChanged
	}
	return epoch, nil
}

func (l *Loop) isLoaded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loaded
}

// updateWorkers takes over the host list.
func (l *Loop) updateWorkers() {
	hosts := l.cfg.Environment.Workers(l.shard)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.table.workers {
		w.listed = false
	}
	for _, host := range hosts {
		// A former owner may have renewed leases until this host acquired the shard.
		entry := l.table.worker(host.ID, l.acquiredAt)
		entry.host = host
		entry.listed = true
	}
	for id, w := range l.table.workers {
		if !w.listed && len(w.commitments) == 0 && len(w.foreign) == 0 && l.leaseExpired(w) {
			delete(l.table.workers, id)
			l.tracker.RemoveWorker(id)
			l.planner.model.History.Forget(id)
		}
	}
}

// leaseExpired reports whether every task lease that the worker may hold has certainly expired. Called with mu held.
func (l *Loop) leaseExpired(w *workerEntry) bool {
	return l.cfg.Clock().Sub(w.leasedFrom) > TaskLeaseTTL+leaseDrift
}

// expireWorkers settles the tasks of workers whose leases have certainly expired.
func (l *Loop) expireWorkers() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.table.workers {
		if !l.leaseExpired(w) {
			continue
		}
		clear(w.foreign)
		for id := range w.commitments {
			l.gone(id, w, reconcile.ReasonLeaseExpired)
		}
	}
}

// gone settles a task whose latest attempt certainly runs nowhere. Called with mu held.
func (l *Loop) gone(id structs.TaskID, w *workerEntry, reason string) {
	delete(w.commitments, id)
	j, rec := l.table.task(id)
	if rec == nil || rec.Worker != w.host.ID {
		return
	}
	if reconcile.ApplyAttemptLost(rec, l.traits(j), true, reason) {
		j.dirty = true
		l.cfg.Log.Event(eventlog.TaskLost).Str("task", id.String()).Str("worker", string(w.host.ID)).
			Str("state", string(rec.State)).Msg(reason)
	}
}

// traits returns the properties of a job's kind that reconciliation needs. A kind that the document no longer defines
// is handled as not idempotent, the safe side. Called with mu held.
func (l *Loop) traits(j *job) reconcile.Traits {
	kind, _ := l.kind(j.record.Spec.Kind)
	return reconcile.Traits{Idempotent: kind.Idempotent, Cancelled: j.record.CancelRequested}
}

func (l *Loop) kind(name structs.KindName) (structs.Kind, bool) {
	document, _, ok := l.cfg.Environment.Document()
	if !ok {
		return structs.Kind{}, false
	}
	kind, ok := document.Kinds[name]
	return kind, ok
}

// goCall runs a worker call in the pool. It returns false when the pool is full.
func (l *Loop) goCall(ctx context.Context, timeout time.Duration, call func(context.Context)) bool {
	select {
	case l.pool <- struct{}{}:
	default:
		return false
	}
	l.calls.Add(1)
	go func() {
		defer func() { <-l.pool; l.calls.Done() }()
		// The call keeps its own limit when the loop ends, so that a command in progress is answered.
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
		defer cancel()
		call(callCtx)
	}()
	return true
}
