package quota

import (
	"cmp"
	"slices"
	"time"

	"fulmarcourse.example/core/structs"
)

// Thresholds of preemption.
const (
	// ReclaimAfter is how long a task of a team within its guarantee waits before tasks of borrowing teams may be
	// stopped for it. Most tasks on borrowed capacity end by themselves in this time.
	ReclaimAfter = 5 * time.Minute
	// MaxEvictions is the number of evictions after which a task is not preempted again.
	MaxEvictions = 3
	// MaxVictims is the maximum number of tasks that are stopped for one task.
	MaxVictims = 8
	// RestartCost is the cost of stopping and resuming a task in addition to the lost work.
	RestartCost = 20 * time.Second
)

// RunningTask is a task that holds capacity on a worker.
type RunningTask struct {
	Task           structs.TaskID
	Team           structs.TeamName
	Size           structs.Resources // reservation
	Urgent         bool
	Checkpointable bool
	Idempotent     bool
	LostWork       time.Duration // work lost if it is stopped now
	Evictions      int           // attempts that were stopped so far, by preemption or otherwise
}

// Worker is a worker that passes all filters except the resource filter for the preemptor.
type Worker struct {
	Host  structs.HostID
	Free  structs.Resources
	Tasks []RunningTask
}

// Preemption is the choice of a worker and of the tasks to stop there, the cheapest first.
type Preemption struct {
	Host    structs.HostID
	Victims []structs.TaskID
	Cost    time.Duration // lost work and restart costs
}

// MayPreempt reports whether tasks may be stopped for preemptor: it is urgent and within the urgent share of its team,
// or its team is within its guarantee and it has waited for ReclaimAfter.
func MayPreempt(state *State, preemptor Task) bool {
	if preemptor.Urgent && state.Shares[preemptor.Team].Urgent &&
		DominantShare(state, preemptor.Team, state.UrgentUsage[preemptor.Team].Add(preemptor.Size)) <= UrgentShare {
		return true
	}
	return state.Now.Sub(preemptor.Since) >= ReclaimAfter &&
		DominantShare(state, preemptor.Team, state.Usage[preemptor.Team].Add(preemptor.Size)) <= 1
}

// Preempt selects the worker on which stopping tasks for preemptor costs the least. Only tasks of teams that still use
// at least their guarantee without them may be stopped, and for an urgent preemptor also tasks of its own team. Urgent
// tasks, and tasks that can be neither resumed nor repeated, are never stopped. The result is false if no worker can
// free enough capacity.
func Preempt(state State, preemptor Task, workers []Worker) (Preemption, bool) {
	if !MayPreempt(&state, preemptor) {
		return Preemption{}, false
	}
	var best Preemption
	found := false
	for i := range workers {
		p, ok := preemptOn(&state, preemptor, &workers[i])
		if ok && (!found || p.Cost < best.Cost || (p.Cost == best.Cost && len(p.Victims) < len(best.Victims))) {
			best, found = p, true
		}
	}
	return best, found
}

// preemptOn selects victims on one worker: the cheapest ones until the preemptor fits, without those that are not
// needed in the end.
func preemptOn(state *State, preemptor Task, worker *Worker) (Preemption, bool) {
	candidates := preemptible(preemptor, worker.Tasks)
	usageAfter := map[structs.TeamName]structs.Resources{}
	free := worker.Free
	var victims []*RunningTask
	for _, r := range candidates {
		if preemptor.Size.Fits(free) || len(victims) > 2*MaxVictims {
			break
		}
		usage, seen := usageAfter[r.Team]
		if !seen {
			usage = state.Usage[r.Team]
		}
		usage = usage.Sub(r.Size)
		if r.Team != preemptor.Team && DominantShare(state, r.Team, usage) < 1 {
			continue
		}
		usageAfter[r.Team] = usage
		free = free.Add(r.Size)
		victims = append(victims, r)
	}
	if !preemptor.Size.Fits(free) {
		return Preemption{}, false
	}
	victims = dropUnneeded(preemptor.Size, free, victims)
	if len(victims) > MaxVictims {
		return Preemption{}, false
	}
	p := Preemption{Host: worker.Host}
	for _, r := range victims {
		p.Victims = append(p.Victims, r.Task)
		p.Cost += r.LostWork + RestartCost
	}
	return p, true
}

// preemptible returns the tasks that may be stopped for preemptor, apart from the limits on the usage of their teams,
// the cheapest first.
func preemptible(preemptor Task, tasks []RunningTask) []*RunningTask {
	var result []*RunningTask
	for i := range tasks {
		r := &tasks[i]
		if r.Urgent || (!r.Checkpointable && !r.Idempotent) || r.Evictions >= MaxEvictions {
			continue
		}
		if r.Team == preemptor.Team && !preemptor.Urgent {
			continue // stopping one task of a team for another gains nothing
		}
		result = append(result, r)
	}
	slices.SortFunc(result, func(a, b *RunningTask) int {
		return cmp.Or(cmp.Compare(a.LostWork, b.LostWork), cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index))
	})
	return result
}

// dropUnneeded removes victims, the most expensive first, as long as size still fits without them.
func dropUnneeded(size, free structs.Resources, victims []*RunningTask) []*RunningTask {
	for i := len(victims) - 1; i >= 0; i-- {
		if without := free.Sub(victims[i].Size); size.Fits(without) {
			free = without
			victims = slices.Delete(victims, i, i+1)
		}
	}
	return victims
}
