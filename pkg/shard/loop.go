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

// Loop schedules the tasks of one shard while this host owns the shard.
type Loop struct {
	cfg        Config
	shard      structs.ShardID
	epoch      structs.Epoch
	acquiredAt time.Time
	wake       chan struct{} // signals a changed job; capacity 1
	callTokens chan struct{} // one token per worker call in progress
	calls      sync.WaitGroup
	batch      *jobs.Batch

	refreshing atomic.Bool // a read of job records is in progress
	justLoaded atomic.Bool // the first read of records has completed; inventories have to be requested at once

	mu              sync.Mutex
	planner         *planner
	tracker         *quarantine.Tracker
	guard           guard.Policy
	datacentreDrain drainState
	workerDrainers  map[structs.HostID]*drain.Drainer // by worker that the host list shows as leaving
	preemptedAt     map[structs.TaskID]time.Time      // by pending task: when other tasks were last stopped for it
	table           *table
	loaded          bool  // job records were read under this epoch
	revision        int64 // store revision up to which job records are known
}

// newLoop returns the loop of a shard that this host acquired under epoch. Run starts it.
func newLoop(cfg Config, id structs.ShardID, epoch structs.Epoch) *Loop {
	if cfg.TaskHorizon == 0 {
		cfg.TaskHorizon = TaskHorizon
	}
	l := &Loop{
		cfg:            cfg,
		shard:          id,
		epoch:          epoch,
		acquiredAt:     cfg.Clock(),
		wake:           make(chan struct{}, 1),
		callTokens:     make(chan struct{}, maxConcurrentCalls),
		planner:        newPlanner(cfg, uint64(epoch)),
		tracker:        quarantine.NewTracker(0),
		guard:          guard.NewHysteresis(),
		workerDrainers: map[structs.HostID]*drain.Drainer{},
		preemptedAt:    map[structs.TaskID]time.Time{},
		table:          newTable(),
	}
	l.batch = cfg.NewBatch(id, epoch, l.onCancel)
	return l
}

// Notify makes the loop read changed job records without waiting for the next interval.
func (l *Loop) Notify() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run runs the loop until ctx ends, then waits for the calls in progress and writes the last changes.
func (l *Loop) Run(ctx context.Context) {
	ticker := time.NewTicker(cycleInterval)
	defer ticker.Stop()
	batchCtx, stopBatch := context.WithCancel(context.WithoutCancel(ctx))
	batchDone := make(chan struct{})
	go func() {
		defer close(batchDone)
		_ = l.batch.Run(batchCtx) // errors are reported through the tickets
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

// closeBatch writes the last changes. It runs while this host still owns the shard.
func (l *Loop) closeBatch() {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := l.batch.Close(ctx); err != nil {
		l.cfg.Log.Event(eventlog.RecordsNotWritten).Str("shard", l.shard.String()).Err(err).Msg("")
	}
}

// schedule holds the time at which each periodic step is next due.
type schedule struct {
	refresh time.Time
	renew   time.Time
	plan    time.Time
	guard   time.Time
}

// cycle runs the steps that are due. Called by the loop goroutine without mu.
func (l *Loop) cycle(ctx context.Context, due *schedule) {
	if _, err := l.checkOwnership(); err != nil {
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
	l.expireLeases()
	l.drain()
	if !now.Before(due.guard) {
		due.guard = now.Add(guardInterval)
		l.evaluateFailures()
		l.stepGuard(ctx)
	}
	l.repeatCommands(ctx)
	if !now.Before(due.plan) {
		due.plan = now.Add(planInterval)
		l.startPending(ctx)
	}
	l.save()
}

// checkOwnership returns the epoch of the loop if this host still owns the shard under it, and an error otherwise.
func (l *Loop) checkOwnership() (structs.Epoch, error) {
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

// updateWorkers updates the worker entries from the host list and removes those that are no longer needed.
func (l *Loop) updateWorkers() {
	hosts := l.cfg.Environment.Workers(l.shard)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.table.workers {
		w.listed = false
	}
	for _, host := range hosts {
		// The former owner may have renewed leases until this host acquired the shard.
		entry := l.table.worker(host.ID, l.acquiredAt)
		entry.host = host
		entry.listed = true
	}
	for id, w := range l.table.workers {
		if !w.listed && len(w.commitments) == 0 && len(w.foreign) == 0 && l.leaseExpired(w) {
			delete(l.table.workers, id)
			l.tracker.RemoveWorker(id)
			l.planner.model.History.RemoveWorker(id)
		}
	}
}

// leaseExpired reports whether every task lease that the worker may hold has expired. Called with mu held.
func (l *Loop) leaseExpired(w *workerEntry) bool {
	return l.cfg.Clock().Sub(w.latestLeaseStart) > TaskLeaseTTL+leaseExpiryMargin
}

// expireLeases records the attempts on workers whose leases have expired as lost.
func (l *Loop) expireLeases() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.table.workers {
		if !l.leaseExpired(w) {
			continue
		}
		clear(w.foreign)
		for id := range w.commitments {
			l.applyAttemptLost(id, w, reconcile.ReasonLeaseExpired)
		}
	}
}

// applyAttemptLost applies the loss of the latest attempt of a task, which is known not to run on any worker. Called
// with mu held.
func (l *Loop) applyAttemptLost(id structs.TaskID, w *workerEntry, reason string) {
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

// traits returns the properties of a job that reconciliation needs. A kind that the document no longer defines is
// treated as not idempotent, so that its tasks are not run twice. Called with mu held.
func (l *Loop) traits(j *job) reconcile.Traits {
	kind, _ := l.lookupKind(j.record.Spec.Kind)
	return reconcile.Traits{Idempotent: kind.Idempotent, Cancelled: j.record.CancelRequested}
}

func (l *Loop) lookupKind(name structs.KindName) (structs.Kind, bool) {
	document, _, ok := l.cfg.Environment.Document()
	if !ok {
		return structs.Kind{}, false
	}
	kind, ok := document.Kinds[name]
	return kind, ok
}

// goCall runs a worker call in a goroutine. It returns false when maxConcurrentCalls calls are in progress.
func (l *Loop) goCall(ctx context.Context, timeout time.Duration, call func(context.Context)) bool {
	select {
	case l.callTokens <- struct{}{}:
	default:
		return false
	}
	l.calls.Add(1)
	go func() {
		defer func() { <-l.callTokens; l.calls.Done() }()
		// The call is not cancelled when the loop ends, so that the result of a command in progress is received.
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
		defer cancel()
		call(callCtx)
	}()
	return true
}
