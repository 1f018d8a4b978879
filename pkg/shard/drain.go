package shard

import (
	"maps"
	"time"

	"fulmarcourse.example/core/drain"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
)

// rehomeAfter is how long a job may wait without a running task before it may move to another shard.
const rehomeAfter = 5 * time.Second

// maxRehomesPerCycle limits the jobs waiting for capacity that move to another shard per cycle.
const maxRehomesPerCycle = 16

// drainState is the state of a drain of the data centre, and of the ramp that limits starts after the data centre
// returns to service. Loop.mu guards it.
type drainState struct {
	drainer  *drain.Drainer // non-nil while the data centre is out of service
	ramp     *drain.Ramp    // nil when starts are not limited
	nextStep time.Time      // when the drainer takes its next step
}

// drainInterval is the time between two steps of a data centre drain.
const drainInterval = time.Second

// drain stops tasks that have to leave their workers and moves jobs without attempts in progress to other shards.
// Called by the loop goroutine without mu.
func (l *Loop) drain() {
	outOfService := l.cfg.Environment.Datacentre(l.shard.Datacentre) == structs.DatacentreOut
	now := l.cfg.Clock()
	l.stopDrainedTasks(outOfService, now)
	records := l.jobsWaitingForCapacity(now)
	if outOfService {
		records = l.jobsLeavingDatacentre(now)
	}
	for _, record := range records {
		// ChooseHome reads the digests of all shards, including this one, so mu must not be held.
		if home, ok := l.cfg.Homes.ChooseHome(record, l.shard); ok {
			l.rehome(record.ID, home, now)
		}
	}
}

// stopDrainedTasks stops tasks that have to leave their workers, because the data centre is out of service or the
// worker is leaving. Called without mu.
func (l *Loop) stopDrainedTasks(outOfService bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateDatacentreDrain(outOfService, now)
	l.drainLeavingWorkers(now)
}

// updateDatacentreDrain begins or ends the drain when the data centre is taken out of service or returns to it, and
// takes the steps of the drain that are due. Called with mu held.
func (l *Loop) updateDatacentreDrain(outOfService bool, now time.Time) {
	d := &l.datacentreDrain
	switch {
	case outOfService && d.drainer == nil:
		d.drainer, d.ramp, d.nextStep = drain.NewDrainer(drain.DefaultLimits(), now), nil, now
		l.cfg.Log.Event(eventlog.DrainBegun).Str("shard", l.shard.String()).Msg("")
	case !outOfService && d.drainer != nil:
		d.drainer, d.ramp = nil, drain.NewRamp(now)
		l.cfg.Log.Event(eventlog.DrainEnded).Str("shard", l.shard.String()).Msg("")
	case d.ramp != nil && d.ramp.Done(now):
		d.ramp = nil
	}
	if d.drainer == nil || now.Before(d.nextStep) {
		return
	}
	d.nextStep = now.Add(drainInterval)
	for _, id := range d.drainer.Step(now, l.drainTasks(nil)).Stop {
		l.stopByID(id, now)
	}
}

// drainLeavingWorkers stops the tasks on workers that the host list shows as leaving, those with the least work to
// lose first. Called with mu held.
func (l *Loop) drainLeavingWorkers(now time.Time) {
	maps.DeleteFunc(l.workerDrainers, func(id structs.HostID, _ *drain.Drainer) bool { return l.table.workers[id] == nil })
	for id, w := range l.table.workers {
		if w.host.State != structs.HostLeaving {
			delete(l.workerDrainers, id)
			continue
		}
		drainer, ok := l.workerDrainers[id]
		if !ok {
			drainer = drain.NewDrainer(drain.DefaultLimits(), now)
			l.workerDrainers[id] = drainer
		}
		for _, task := range drainer.Step(now, l.drainTasks(w)).Stop {
			l.stopByID(task, now)
		}
	}
}

// drainTasks returns the attempts in progress on a worker, or on all workers if worker is nil. Called with mu held.
func (l *Loop) drainTasks(worker *workerEntry) []drain.Task {
	var tasks []drain.Task
	for _, w := range l.table.workers {
		if worker != nil && w != worker {
			continue
		}
		for id, c := range w.commitments {
			j, rec := l.table.task(id)
			if rec == nil || rec.State == structs.TaskStarting {
				continue
			}
			kind, known := l.lookupKind(j.record.Spec.Kind)
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

// lostWork returns the run time of an attempt that is lost if it is stopped now.
func lostWork(kind structs.Kind, c *commitment) time.Duration {
	if kind.Checkpointable {
		return min(drain.CheckpointLoss, c.report.RanFor)
	}
	return c.report.RanFor
}

// stopByID calls stopTask for the task with the given id, if it is homed here. Called with mu held.
func (l *Loop) stopByID(id structs.TaskID, due time.Time) {
	if j, rec := l.table.task(id); rec != nil {
		l.stopTask(id, j, rec, due)
	}
}

// jobsWaitingForCapacity returns copies of the records of jobs that have waited for capacity longer than rehomeAfter.
// Called without mu.
func (l *Loop) jobsWaitingForCapacity(now time.Time) []structs.JobRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	var records []structs.JobRecord
	for _, j := range l.table.jobs {
		if !idle(&j.record) || !l.recovered(j) || !l.planner.unplacedJobs[j.record.ID] {
			// Tasks in a pause after a failure do not wait for capacity; their jobs would only move back and forth.
			j.idleSince = now
			continue
		}
		if len(records) < maxRehomesPerCycle && now.Sub(j.waitingSince()) > rehomeAfter && l.movable(j) {
			records = append(records, j.record.Clone())
		}
	}
	return records
}

// jobsLeavingDatacentre returns copies of the records of jobs to move out of a data centre that is out of service, as
// many as the rate limit of the drain allows. Called without mu.
func (l *Loop) jobsLeavingDatacentre(now time.Time) []structs.JobRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.datacentreDrain.drainer == nil {
		return nil
	}
	var candidates []drain.Job
	for id, j := range l.table.jobs {
		if l.movable(j) {
			candidates = append(candidates, drain.Job{ID: id, Urgent: j.record.Spec.Urgent, Pending: j.record.Pending()})
		}
	}
	var records []structs.JobRecord
	for _, id := range l.datacentreDrain.drainer.JobsToMove(now, candidates) {
		records = append(records, l.table.jobs[id].record.Clone())
	}
	return records
}

// movable reports whether a job has no attempt on any worker and may move to another shard. Called with mu held.
func (l *Loop) movable(j *job) bool {
	return j.record.Home == l.shard && !j.record.CancelRequested && idle(&j.record) && j.durable() && l.recovered(j)
}

// rehome changes the home of a job. The new owner sees the change only when it is durable. Called without mu.
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

// waitingSince returns since when the job has waited for capacity in this shard.
func (j *job) waitingSince() time.Time {
	if j.adoptedAt.Before(j.idleSince) {
		return j.idleSince
	}
	return j.adoptedAt
}
