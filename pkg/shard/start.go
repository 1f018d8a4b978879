package shard

import (
	"cmp"
	"context"
	"slices"
	"time"

	"fulmarcourse.example/core/placement"
	"fulmarcourse.example/core/placement/learn"
	"fulmarcourse.example/core/reconcile"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/jobs"
)

// maxPlanned limits the pending tasks that one planning cycle considers.
const maxPlanned = 600

// start is a placement whose start command has to be sent.
type start struct {
	worker     *workerEntry
	task       structs.TaskID
	commitment *commitment
	intent     *jobs.Ticket // write of the start intent, which must be durable before sending; nil for idempotent kinds
}

// startPending plans pending tasks and sends the start commands. Called by the loop goroutine without mu.
func (l *Loop) startPending(ctx context.Context) {
	if l.checkStart() != nil {
		return
	}
	for _, s := range l.planStarts() {
		l.goCall(ctx, 2*commandTimeout, func(ctx context.Context) { l.sendStartWhenDurable(ctx, s) })
	}
}

// sendStartWhenDurable sends a start command. For kinds that are not idempotent it first waits until the start intent
// is durable.
func (l *Loop) sendStartWhenDurable(ctx context.Context, s start) {
	if s.intent != nil {
		if err := s.intent.Wait(ctx); err != nil {
			l.mu.Lock()
			defer l.mu.Unlock()
			s.commitment.sending = false
			l.applyStart(s.worker, s.task, s.commitment, notSentError{err})
			return
		}
	}
	l.sendStart(ctx, s.worker, s.task, s.commitment)
}

// planStarts plans pending tasks and reserves the capacity of each placement. Each reservation is checked against the
// worker's free capacity again, so that no plan can overcommit a worker.
func (l *Loop) planStarts() []start {
	now := l.cfg.Clock()
	l.mu.Lock()
	defer l.mu.Unlock()
	freeCalls := maxConcurrentCalls - len(l.callTokens)
	pending := l.pendingTasks(now)
	if freeCalls <= 0 {
		return nil
	}
	if len(pending) == 0 {
		l.planner.recordUnplaced(nil, nil)
		return nil
	}
	teams := l.teamState(now)
	pending = l.orderByTeam(teams, pending)
	considered := min(len(pending), maxPlanned)
	pending, unconsidered := pending[:considered], pending[considered:]
	l.assignProbes(pending, now)
	l.planner.model.Refresh(now)
	plan := l.planner.core.Plan(l.snapshot(now), pending, l.planner.rnd)
	l.planner.recordUnplaced(plan.Unplaced, unconsidered)
	l.preempt(teams, unplacedTasks(pending, plan.Unplaced), now)
	var starts []start
	for _, p := range plan.Placements {
		if !l.mayBegin(p) {
			continue
		}
		if len(starts) == freeCalls || !l.rampAllows(now) {
			break
		}
		starts = append(starts, l.beginStart(p, now))
	}
	return starts
}

// mayBegin reports whether a placement is still possible. Called with mu held.
func (l *Loop) mayBegin(p placement.Placement) bool {
	w := l.table.workers[p.Host]
	_, rec := l.table.task(p.Task)
	return w != nil && rec != nil && rec.State == structs.TaskPending && p.Reserved.Fits(w.free())
}

// rampAllows reports whether the ramp after the return of the data centre to service allows one more start, and counts
// that start. Called with mu held.
func (l *Loop) rampAllows(now time.Time) bool {
	return l.datacentreDrain.ramp == nil || l.datacentreDrain.ramp.MayStart(now)
}

// unplacedTasks returns the pending tasks that a plan did not place.
func unplacedTasks(pending []placement.Pending, unplaced []placement.Unplaced) []placement.Pending {
	unplacedIDs := make(map[structs.TaskID]bool, len(unplaced))
	for _, u := range unplaced {
		unplacedIDs[u.Task] = true
	}
	return slices.DeleteFunc(slices.Clone(pending), func(p placement.Pending) bool { return !unplacedIDs[p.Task] })
}

// pendingTasks lists the tasks that may start, in planning order. Called with mu held.
func (l *Loop) pendingTasks(now time.Time) []placement.Pending {
	var pending []placement.Pending
	for id, j := range l.table.jobs {
		if j.record.Home != l.shard || j.record.CancelRequested || !l.recovered(j) {
			continue
		}
		if _, ok := l.lookupKind(j.record.Spec.Kind); !ok {
			continue
		}
		for i := range j.record.Tasks {
			rec := &j.record.Tasks[i]
			if rec.State != structs.TaskPending {
				continue
			}
			task := structs.TaskID{Job: id, Index: i}
			if !l.tracker.MayStart(task, now) {
				continue
			}
			pending = append(pending, placement.Pending{
				Task:     task,
				Kind:     j.record.Spec.Kind,
				Declared: l.declared(j),
				Urgent:   j.record.Spec.Urgent,
				Since:    j.waitingSince(),
				Excluded: l.tracker.Excluded(task),
				Held:     l.planner.held[task],
			})
		}
	}
	slices.SortFunc(pending, comparePending)
	return pending
}

// comparePending orders urgent tasks first, then by waiting time, then by id.
func comparePending(a, b placement.Pending) int {
	if a.Urgent != b.Urgent {
		if a.Urgent {
			return -1
		}
		return 1
	}
	return cmp.Or(a.Since.Compare(b.Since), cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index))
}

// recovered reports whether no attempt of a job's pending tasks can still run for a former owner of the shard: either
// the job was added to the shard under this epoch, or each worker has sent an inventory or has no unexpired leases.
// Called with mu held.
func (l *Loop) recovered(j *job) bool {
	if j.arrivedAfterAcquire {
		return true
	}
	for _, w := range l.table.workers {
		if !w.inventoryReceived && !l.leaseExpired(w) {
			return false
		}
	}
	return true
}

// snapshot returns the state of the usable workers for one planning cycle. Called with mu held.
func (l *Loop) snapshot(now time.Time) placement.Snapshot {
	snapshot := placement.Snapshot{Now: now}
	for id, w := range l.table.workers {
		if !w.usable(now) || l.planner.inBackOff(id, now) {
			continue
		}
		snapshot.Workers = append(snapshot.Workers, &placement.Worker{
			Host:        id,
			Rack:        w.host.Rack,
			Capacity:    w.host.Capacity,
			Reserved:    w.committed(),
			Quarantined: l.tracker.Quarantined(id),
			Kinds:       w.kinds(),
			Tasks:       w.placedTasks(),
		})
	}
	slices.SortFunc(snapshot.Workers, func(a, b *placement.Worker) int { return cmp.Compare(a.Host, b.Host) })
	return snapshot
}

// placedTasks returns the tasks committed to the worker, the earliest first.
func (w *workerEntry) placedTasks() []placement.PlacedTask {
	tasks := make([]placement.PlacedTask, 0, len(w.commitments))
	for _, c := range w.commitments {
		tasks = append(tasks, placement.PlacedTask{Kind: c.kind, Reserved: c.reserved, Since: c.since})
	}
	slices.SortFunc(tasks, func(a, b placement.PlacedTask) int { return a.Since.Compare(b.Since) })
	return tasks
}

// kinds returns the number of committed and foreign tasks per kind, sorted by kind.
func (w *workerEntry) kinds() []learn.KindCount {
	counts := map[structs.KindName]int{}
	for _, c := range w.commitments {
		counts[c.kind]++
	}
	for _, c := range w.foreign {
		counts[c.kind]++
	}
	kinds := make([]learn.KindCount, 0, len(counts))
	for kind, count := range counts {
		kinds = append(kinds, learn.KindCount{Kind: kind, Count: count})
	}
	slices.SortFunc(kinds, func(a, b learn.KindCount) int { return cmp.Compare(a.Kind, b.Kind) })
	return kinds
}

// beginStart reserves the capacity of a placement that mayBegin allows and records the new attempt. Called with mu held.
func (l *Loop) beginStart(p placement.Placement, now time.Time) start {
	w := l.table.workers[p.Host]
	j, rec := l.table.task(p.Task)
	reconcile.BeginStart(rec, p.Host)
	kind, _ := l.lookupKind(j.record.Spec.Kind)
	c := l.table.commit(w, p.Task, commitment{
		attempt:     rec.Attempt,
		kind:        p.Kind,
		reserved:    p.Reserved,
		since:       now,
		sending:     true,
		unconfirmed: true,
	})
	c.command = l.startCommand(j, p.Task, c)
	j.dirty = true
	l.planner.recordColocation(w, now)
	if l.tracker.Quarantined(p.Host) {
		l.tracker.ProbeStarted(p.Host, now)
	}
	s := start{worker: w, task: p.Task, commitment: c}
	if !kind.Idempotent {
		s.intent = l.saveNow(j)
	}
	return s
}

// startCommand returns the start command of the attempt that c reserves capacity for. Its lease begins when it is sent.
// Called with mu held.
func (l *Loop) startCommand(j *job, id structs.TaskID, c *commitment) structs.StartCommand {
	return structs.StartCommand{
		Task:       id,
		JobTask:    j.record.JobTask(id.Index),
		Attempt:    c.attempt,
		Kind:       c.kind,
		Shard:      l.shard,
		Epoch:      l.epoch,
		Reserved:   c.reserved,
		Lease:      TaskLeaseTTL,
		Checkpoint: j.record.Tasks[id.Index].Checkpoint,
		Input:      j.record.Spec.Input,
		RunSeconds: j.record.Spec.RunSeconds,
	}
}
