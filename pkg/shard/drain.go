package shard

import (
	"time"

	"fulmarcourse.example/core/drain"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
)

// rehomeAfter is how long a job may wait without a running task before another shard is considered.
const rehomeAfter = 5 * time.Second

// rehomeBatch bounds the jobs that leave the shard per cycle.
const rehomeBatch = 16

// drainState follows the data centre out of service and back. Loop.mu guards it.
type drainState struct {
	drainer *drain.Drainer // while the data centre is out of service
	ramp    *drain.Ramp    // for a time after it has returned
	stepAt  time.Time      // next step of the drainer
}

// drainStep is the time between two steps of a drain.
const drainStep = time.Second

// drain stops tasks that have to leave their workers and gives jobs without attempts in progress a new home.
// Called by the loop goroutine, no lock held.
func (l *Loop) drain() {
	out := l.cfg.Environment.Datacentre(l.shard.Datacentre) == structs.DatacentreOut
	now := l.cfg.Clock()
	l.stopLeaving(out, now)
	records := l.waitingJobs(now)
	if out {
		records = l.leavingJobs(now)
	}
	for _, record := range records {
		// The choice reads the digests of all shards, including this one, so no lock may be held.
		if home, ok := l.cfg.Homes.ChooseHome(record, l.shard); ok {
			l.rehome(record.ID, home, now)
		}
	}
}

// stopLeaving stops tasks that have to leave their workers. No lock held.
func (l *Loop) stopLeaving(out bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.followDatacentre(out, now)
	l.leaveWorkers(now)
}

// followDatacentre drains the shard while its data centre is out of service and limits starts after its return.
// Called with mu held.
func (l *Loop) followDatacentre(out bool, now time.Time) {
	d := &l.draining
	switch {
	case out && d.drainer == nil:
		d.drainer, d.ramp, d.stepAt = drain.NewDrainer(drain.DefaultLimits(), now), nil, now
		l.cfg.Log.Event(eventlog.DrainBegun).Str("shard", l.shard.String()).Msg("")
	case !out && d.drainer != nil:
		d.drainer, d.ramp = nil, drain.NewRamp(now)
		l.cfg.Log.Event(eventlog.DrainEnded).Str("shard", l.shard.String()).Msg("")
	case d.ramp != nil && d.ramp.Done(now):
		d.ramp = nil
	}
	if d.drainer == nil || now.Before(d.stepAt) {
		return
	}
	d.stepAt = now.Add(drainStep)
	for _, id := range d.drainer.Step(now, l.drainTasks(nil)).Stop {
		l.stopByID(id, now)
	}
}

// leaveWorkers stops the tasks on workers that the host list shows as leaving, the least lost work first.
// Called with mu held.
func (l *Loop) leaveWorkers(now time.Time) {
	for id, w := range l.table.workers {
		if w.host.State != structs.HostLeaving {
			delete(l.leaving, id)
			continue
		}
		drainer, ok := l.leaving[id]
		if !ok {
			drainer = drain.NewDrainer(drain.DefaultLimits(), now)
			l.leaving[id] = drainer
		}
		for _, task := range drainer.Step(now, l.drainTasks(w)).Stop {
			l.stopByID(task, now)
		}
	}
}

// drainTasks describes the attempts in progress on one worker, or on all if w is nil. Called with mu held.
func (l *Loop) drainTasks(only *workerEntry) []drain.Task {
	var tasks []drain.Task
	for _, w := range l.table.workers {
		if only != nil && w != only {
			continue
		}
		for id, c := range w.commitments {
			j, rec := l.table.task(id)
			if rec == nil || rec.State == structs.TaskStarting {
				continue
			}
			kind, known := l.kind(j.record.Spec.Kind)
			if !known {
				continue
			}
			tasks = append(tasks, drain.Task{
				ID:             id,
				Checkpointable: kind.Checkpointable,
				Idempotent:     kind.Idempotent,
				LostWork:       lostWork(kind, c),
				Remaining:      l.planner.model.RemainingWithProgress(c.kind, c.report.Progress, c.report.RanFor),
				Stopping:       rec.State == structs.TaskStopping,
			})
		}
	}
	return tasks
}

// lostWork returns the work that a stop of an attempt loses.
func lostWork(kind structs.Kind, c *commitment) time.Duration {
	if kind.Checkpointable {
		return min(drain.CheckpointLoss, c.report.RanFor)
	}
	return c.report.RanFor
}

// stopByID begins to stop the running attempt of a task. Called with mu held.
func (l *Loop) stopByID(id structs.TaskID, due time.Time) {
	if j, rec := l.table.task(id); rec != nil {
		l.stopTask(id, j, rec, due)
	}
}

// waitingJobs returns copies of jobs that have waited for capacity for rehomeAfter. No lock held.
func (l *Loop) waitingJobs(now time.Time) []structs.JobRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	var records []structs.JobRecord
	for _, j := range l.table.jobs {
		if !idle(&j.record) || !l.recovered(j) || !l.planner.waiting[j.record.ID] {
			// Tasks that pause after a failure do not wait for capacity, and would only move back and forth.
			j.idleSince = now
			continue
		}
		if len(records) < rehomeBatch && now.Sub(j.waitingSince()) > rehomeAfter && l.movable(j) {
			records = append(records, j.record.Clone())
		}
	}
	return records
}

// leavingJobs returns copies of jobs to move out of a data centre that was taken out of service, at the rate of the
// drain. No lock held.
func (l *Loop) leavingJobs(now time.Time) []structs.JobRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining.drainer == nil {
		return nil
	}
	var candidates []drain.Job
	for id, j := range l.table.jobs {
		if l.movable(j) {
			candidates = append(candidates, drain.Job{ID: id, Urgent: j.record.Spec.Urgent, Pending: j.record.Pending()})
		}
	}
	var records []structs.JobRecord
	for _, id := range l.draining.drainer.JobsToMove(now, candidates) {
		records = append(records, l.table.jobs[id].record.Clone())
	}
	return records
}

// movable reports whether a job certainly runs nowhere and may get another home. Called with mu held.
func (l *Loop) movable(j *job) bool {
	return j.record.Home == l.shard && !j.record.CancelRequested && idle(&j.record) && j.durable() && l.recovered(j)
}

// rehome gives a job another home. The change is durable before the new owner can see it. No lock held.
func (l *Loop) rehome(id structs.JobID, home structs.ShardID, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j, ok := l.table.jobs[id]
	if !ok || !l.movable(j) {
		return
	}
	j.record.Home = home
	j.record.HomeSince = now
	j.dirty = true
	l.cfg.Log.Event(eventlog.JobRehomed).Str("job", string(id)).Str("home", home.String()).Msg("")
}

// waitingSince returns when the job began to wait in this shard without an attempt in progress.
func (j *job) waitingSince() time.Time {
	if j.adoptedAt.Before(j.idleSince) {
		return j.idleSince
	}
	return j.adoptedAt
}
