package shard

import (
	"time"

	"fulmarcourse.example/core/placement"
	"fulmarcourse.example/core/quota"
	"fulmarcourse.example/core/structs"
)

// preemptPause is the time in which a task for which others were stopped waits before more are stopped for it.
const preemptPause = 3 * time.Second

// teamState describes the shard's capacity and its use by teams. A team's quota is spread over the shards of the
// environment by their capacity. Called with mu held.
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

// addUsage adds the reservation of one attempt to its team. Called with mu held.
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

// orderByTeam puts pending tasks into the order of their teams' claims. Called with mu held.
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

// quotaTask is called with mu held.
func (l *Loop) quotaTask(p placement.Pending) quota.Task {
	return quota.Task{
		Team:   l.table.jobs[p.Task.Job].record.Spec.Team,
		Size:   p.Declared,
		Urgent: p.Urgent,
		Since:  p.Since,
	}
}

// preempt stops tasks for pending ones that no worker can take but that have a better claim. Called with mu held.
func (l *Loop) preempt(state quota.State, unplaced []placement.Pending, now time.Time) {
	for _, p := range unplaced {
		if at, ok := l.preempted[p.Task]; ok && now.Sub(at) < preemptPause {
			continue
		}
		claim := l.quotaTask(p)
		if !quota.MayPreempt(&state, claim) {
			continue
		}
		choice, ok := quota.Preempt(state, claim, l.quotaWorkers(p, now))
		if !ok {
			continue
		}
		l.preempted[p.Task] = now
		for _, victim := range choice.Victims {
			l.stopByID(victim, now)
		}
		// The stopped tasks count until their workers confirm, so each cycle acts for one task only.
		return
	}
	for id, at := range l.preempted {
		if now.Sub(at) >= preemptPause {
			delete(l.preempted, id)
		}
	}
}

// quotaWorkers describes the workers that may take p once tasks are stopped. Called with mu held.
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

// quotaRunning is called with mu held.
func (l *Loop) quotaRunning(id structs.TaskID, c *commitment) (quota.RunningTask, bool) {
	j, rec := l.table.task(id)
	if rec == nil || rec.State != structs.TaskRunning {
		return quota.RunningTask{}, false
	}
	kind, known := l.kind(j.record.Spec.Kind)
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
		Preemptions:    rec.Evictions,
	}, true
}
