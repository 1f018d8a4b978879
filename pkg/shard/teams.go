package shard

import (
	"time"

	"fulmarcourse.example/core/placement"
	"fulmarcourse.example/core/quota"
	"fulmarcourse.example/core/structs"
)

// preemptInterval is the minimum time between two preemptions in favour of the same task.
const preemptInterval = 3 * time.Second

// teamState returns the capacity of the shard, and the usage and quota share of each team. A team's quota is divided
// among the shards of the environment in proportion to their capacity. Called with mu held.
func (l *Loop) teamState(now time.Time) quota.State {
	state := quota.State{
		Usage:       map[structs.TeamName]structs.Resources{},
		UrgentUsage: map[structs.TeamName]structs.Resources{},
		Now:         now,
	}
	for _, w := range l.table.workers {
		if !w.listed {
			continue
		}
		state.Capacity = state.Capacity.Add(w.host.Capacity)
		for id, c := range w.commitments {
			l.addUsage(&state, id, c)
		}
	}
	document, _, ok := l.cfg.Environment.Document()
	if !ok {
		return state
	}
	state.Shares = quota.TeamShares(document, state.Capacity, l.cfg.Environment.TotalCapacity())
	return state
}

// addUsage adds the reservation of one attempt to the usage of its team. Called with mu held.
func (l *Loop) addUsage(state *quota.State, id structs.TaskID, c *commitment) {
	j, ok := l.table.jobs[id.Job]
	if !ok {
		return
	}
	team := j.record.Spec.Team
	state.Usage[team] = state.Usage[team].Add(c.reserved)
	if j.record.Spec.Urgent {
		state.UrgentUsage[team] = state.UrgentUsage[team].Add(c.reserved)
	}
}

// orderByTeam puts pending tasks into the order in which the quotas of their teams let them start. Called with mu
// held.
func (l *Loop) orderByTeam(state quota.State, pending []placement.Pending) []placement.Pending {
	order := quota.Order(state, l.quotaTasks(pending))
	ordered := make([]placement.Pending, len(order))
	for i, index := range order {
		ordered[i] = pending[index]
	}
	return ordered
}

func (l *Loop) quotaTasks(pending []placement.Pending) []quota.Task {
	tasks := make([]quota.Task, len(pending))
	for i, p := range pending {
		tasks[i] = l.quotaTask(p)
	}
	return tasks
}

// quotaTask returns a pending task as the quota package represents it. Called with mu held.
func (l *Loop) quotaTask(p placement.Pending) quota.Task {
	return quota.Task{
		Team:   l.table.jobs[p.Task.Job].record.Spec.Team,
		Size:   p.Declared,
		Urgent: p.Urgent,
		Since:  p.Since,
	}
}

// preempt stops running tasks in favour of an unplaced task where quotas allow it. Called with mu held.
func (l *Loop) preempt(state quota.State, unplaced []placement.Pending, now time.Time) {
	for _, p := range unplaced {
		if at, ok := l.preemptedAt[p.Task]; ok && now.Sub(at) < preemptInterval {
			continue
		}
		preemptor := l.quotaTask(p)
		if !quota.MayPreempt(&state, preemptor) {
			continue
		}
		preemption, ok := quota.Preempt(state, preemptor, l.quotaWorkers(p, now))
		if !ok {
			continue
		}
		l.preemptedAt[p.Task] = now
		for _, victim := range preemption.Victims {
			l.stopByID(victim, now)
		}
		// Stopped tasks count as running until their workers confirm the stop, so each cycle preempts for one task
		// only.
		return
	}
	for id, at := range l.preemptedAt {
		if now.Sub(at) >= preemptInterval {
			delete(l.preemptedAt, id)
		}
	}
}

// quotaWorkers returns the workers that could run p after tasks on them are stopped. Called with mu held.
func (l *Loop) quotaWorkers(p placement.Pending, now time.Time) []quota.Worker {
	var workers []quota.Worker
	for id, w := range l.table.workers {
		if !w.usable(now) || l.tracker.Quarantined(id) || !p.Declared.Fits(w.host.Capacity) {
			continue
		}
		worker := quota.Worker{Host: id, Free: w.free()}
		for task, c := range w.commitments {
			if running, ok := l.quotaRunning(task, c); ok {
				worker.Tasks = append(worker.Tasks, running)
			}
		}
		workers = append(workers, worker)
	}
	return workers
}

// quotaRunning returns an attempt as a candidate for preemption, or false if it is not running. Called with mu held.
func (l *Loop) quotaRunning(id structs.TaskID, c *commitment) (quota.RunningTask, bool) {
	j, rec := l.table.task(id)
	if rec == nil || rec.State != structs.TaskRunning {
		return quota.RunningTask{}, false
	}
	kind, known := l.lookupKind(j.record.Spec.Kind)
	if !known {
		return quota.RunningTask{}, false
	}
	return quota.RunningTask{
		Task:           id,
		Team:           j.record.Spec.Team,
		Size:           c.reserved,
		Urgent:         j.record.Spec.Urgent,
		Checkpointable: kind.Checkpointable,
		Idempotent:     kind.Idempotent,
		LostWork:       lostWork(kind, c),
		Evictions:      rec.Evictions,
	}, true
}
