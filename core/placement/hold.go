package placement

import (
	"math"
	"slices"
	"time"

	"fulmarcourse.example/core/structs"
)

// Thresholds of workers that are held for a task. Without them small tasks could fill every gap for ever and a
// large one would never start. Keeping one place and filling it meanwhile with tasks that end early enough is
// backfilling: Lifka, "The ANL/IBM SP scheduling system" (EASY, 1995).
const (
	// HoldAfter is how long a task waits before a worker is held for it.
	HoldAfter = 2 * time.Minute
	// HeldShare is the greatest share of the workers that is held at once; at least one may be.
	HeldShare = 0.05
	// BackfillQuantile of the run time of a kind has to pass before the expected start of the waiting task.
	BackfillQuantile = 0.95
	// BackfillLimit is how long a task waits until its worker is no longer backfilled. Estimates may be wrong, and
	// tasks that run longer than expected must not put it off for ever.
	BackfillLimit = 10 * time.Minute
)

// resumeHolds places the tasks whose held worker has room now, and keeps the other held workers free. The tasks
// come before all others: what is held for them must not go to tasks that are earlier in the order.
func (p *Planner) resumeHolds(plan *Plan, pending []Pending) {
	p.placed = slices.Grow(p.placed[:0], len(pending))[:len(pending)]
	clear(p.placed)
	for i := range pending {
		task := &pending[i]
		v := p.find(task.Held)
		if v < 0 || p.held >= p.holdLimit() {
			continue
		}
		c := p.classOf(task)
		if !math.IsInf(p.score(&c.task, &p.views[v]), -1) {
			p.place(plan, task, c, v, false)
			p.placed[i] = true
			continue
		}
		p.hold(v, task, c)
	}
}

// find returns the index of a worker, or -1.
func (p *Planner) find(host structs.HostID) int {
	if host == "" {
		return -1
	}
	return slices.IndexFunc(p.views, func(v View) bool { return v.Host == host })
}

func (p *Planner) holdLimit() int { return max(1, int(float64(len(p.views))*HeldShare)) }

// hold keeps a worker free for a task until the end of the cycle.
func (p *Planner) hold(i int, task *Pending, c *class) {
	view := &p.views[i]
	view.Held = true
	if p.now.Sub(task.Since) < BackfillLimit {
		view.HeldUntil, _ = p.roomAt(view, c.task.Size)
	}
	p.versions[i]++
	p.held++
}

// leave reports a task that found no worker, and holds one for it if it has waited for long.
func (p *Planner) leave(task *Pending, c *class) Unplaced {
	if c.rejections == nil {
		c.rejections = p.reject(&c.task)
	}
	result := Unplaced{Task: task.Task, Rejections: c.rejections}
	if i := p.find(task.Held); i >= 0 && p.views[i].Held {
		result.Held = task.Held
		return result
	}
	if p.now.Sub(task.Since) < HoldAfter || p.held >= p.holdLimit() || task.Probe != "" {
		return result
	}
	if i := p.bestToHold(&c.task); i >= 0 {
		p.hold(i, task, c)
		result.Held = p.views[i].Host
	}
	return result
}

// bestToHold returns the worker that is expected to have room first, of those that could hold the task when empty.
// Among those for which that is not known it takes the one with the most processors left.
func (p *Planner) bestToHold(task *Task) int {
	best := -1
	var bestAt time.Time
	for i := range p.views {
		empty := p.views[i]
		empty.Available = empty.Capacity
		if math.IsInf(p.score(task, &empty), -1) {
			continue
		}
		at, known := p.roomAt(&p.views[i], task.Size)
		sooner := known && (bestAt.IsZero() || at.Before(bestAt))
		emptier := !known && bestAt.IsZero() && (best < 0 || p.views[i].Available.MilliCPU > p.views[best].Available.MilliCPU)
		if sooner || emptier {
			best, bestAt = i, at
		}
	}
	return best
}

// roomAt returns when a worker is expected to have room for size, by the run times of the tasks on it. It is false
// when that is not known.
func (p *Planner) roomAt(view *View, size structs.Resources) (time.Time, bool) {
	times := p.policy.RunTimes()
	if times == nil {
		return time.Time{}, false
	}
	type release struct {
		at   time.Time
		size structs.Resources
	}
	var releases []release
	for _, t := range view.Tasks {
		if left, known := times.Remaining(t.Kind, p.now.Sub(t.Since)); known {
			releases = append(releases, release{p.now.Add(left), t.Reserved})
		}
	}
	slices.SortFunc(releases, func(a, b release) int { return a.at.Compare(b.at) })
	free, at := view.Available, p.now
	for _, r := range releases {
		if size.Fits(free) {
			break
		}
		free, at = free.Add(r.size), r.at
	}
	if !size.Fits(free) {
		return time.Time{}, false
	}
	return at, true
}

// endsBy returns when a task of kind that starts now will be done with a probability of BackfillQuantile; zero if
// that is not known.
func (p *Planner) endsBy(kind structs.KindName) time.Time {
	times := p.policy.RunTimes()
	if times == nil {
		return time.Time{}
	}
	run, known := times.RunTime(kind, BackfillQuantile)
	if !known {
		return time.Time{}
	}
	return p.now.Add(run)
}
