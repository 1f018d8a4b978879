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
	// stopped for it. Most tasks that borrow end by themselves in this time.
	ReclaimAfter = 5 * time.Minute
	// MaxPreemptions is the number of evictions after which a task is left alone.
	MaxPreemptions = 3
	// MaxVictims is the number of tasks that may be stopped for one other.
	MaxVictims = 8
	// RestartCost is what stopping and resuming a task costs besides the work it loses.
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
	LostWork       time.Duration // work that is lost when it is stopped now
	Preemptions    int
}

// Worker is a worker that passes all filters for the claim but that of resources.
type Worker struct {
	Host  structs.HostID
	Free  structs.Resources
	Tasks []RunningTask
}

// Preemption is the choice of a worker and of the tasks to stop there, the cheapest first.
type Preemption struct {
	Host    structs.HostID
	Victims []structs.TaskID
	Cost    time.Duration // work lost and restarts
}

// MayPreempt reports whether other tasks may be stopped for claim: it is urgent and within the urgent share of its
// team, or its team is within its guarantee and it has waited for ReclaimAfter.
func MayPreempt(state *State, claim Task) bool {
	if claim.Urgent && state.Shares[claim.Team].Urgent &&
		DominantShare(state, claim.Team, state.UrgentUsage[claim.Team].Add(claim.Size)) <= UrgentShare {
		return true
	}
	return state.Now.Sub(claim.Since) >= ReclaimAfter &&
		DominantShare(state, claim.Team, state.Usage[claim.Team].Add(claim.Size)) <= 1
}

// Preempt chooses the worker on which stopping tasks for claim costs least. Only tasks of teams that still borrow
// after the loss may be stopped, and for urgent claims those of the same team. Urgent tasks, and tasks that can be
// neither resumed nor repeated, are never stopped. It is false when no worker can be freed.
func Preempt(state State, claim Task, workers []Worker) (Preemption, bool) {
	if !MayPreempt(&state, claim) {
		return Preemption{}, false
	}
	var best Preemption
	found := false
	for i := range workers {
		p, ok := preemptOn(&state, claim, &workers[i])
		if ok && (!found || p.Cost < best.Cost || (p.Cost == best.Cost && len(p.Victims) < len(best.Victims))) {
			best, found = p, true
		}
	}
	return best, found
}

// preemptOn chooses victims on one worker: the cheapest ones until the claim fits, less those that turn out not to
// be needed.
func preemptOn(state *State, claim Task, worker *Worker) (Preemption, bool) {
	candidates := preemptible(claim, worker.Tasks)
	left := map[structs.TeamName]structs.Resources{}
	free := worker.Free
	var victims []*RunningTask
	for _, r := range candidates {
		if claim.Size.Fits(free) || len(victims) > 2*MaxVictims {
			break
		}
		usage, seen := left[r.Team]
		if !seen {
			usage = state.Usage[r.Team]
		}
		usage = usage.Sub(r.Size)
		if r.Team != claim.Team && DominantShare(state, r.Team, usage) < 1 {
			continue
		}
		left[r.Team] = usage
		free = free.Add(r.Size)
		victims = append(victims, r)
	}
	if !claim.Size.Fits(free) {
		return Preemption{}, false
	}
	victims = dropUnneeded(claim.Size, free, victims)
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

// preemptible returns the tasks that may be stopped for claim as far as they themselves are concerned, the
// cheapest first.
func preemptible(claim Task, tasks []RunningTask) []*RunningTask {
	var result []*RunningTask
	for i := range tasks {
		r := &tasks[i]
		if r.Urgent || (!r.Checkpointable && !r.Idempotent) || r.Preemptions >= MaxPreemptions {
			continue
		}
		if r.Team == claim.Team && !claim.Urgent {
			continue // stopping one task of a team for another gains nothing
		}
		result = append(result, r)
	}
	slices.SortFunc(result, func(a, b *RunningTask) int {
		return cmp.Or(cmp.Compare(a.LostWork, b.LostWork), cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Index, b.Task.Index))
	})
	return result
}

// dropUnneeded removes victims, the most expensive first, without which size still fits.
func dropUnneeded(size, free structs.Resources, victims []*RunningTask) []*RunningTask {
	for i := len(victims) - 1; i >= 0; i-- {
		if without := free.Sub(victims[i].Size); size.Fits(without) {
			free = without
			victims = slices.Delete(victims, i, i+1)
		}
	}
	return victims
}
