package placement

import (
	"math"
	"slices"
	"time"

	"fulmarcourse.example/core/structs"
)

// Thresholds for holding a worker for a pending task. Without holds, small tasks could fill every gap indefinitely and
// a large task would never start. Holding one worker and running tasks on it that end early enough is backfilling
// (Lifka, "The ANL/IBM SP scheduling system", EASY, 1995).
const (
	// HoldAfter is how long a task waits before a worker is held for it.
	HoldAfter = 2 * time.Minute
	// HeldShare is the maximum share of the workers that are held at once; at least one may always be held.
	HeldShare = 0.05
	// BackfillQuantile is the quantile of the run time of a kind that has to end before the expected start of the
	// pending task for a task of that kind to be backfilled.
	BackfillQuantile = 0.95
	// BackfillLimit is the waiting time of a task after which its held worker is no longer backfilled. Estimates may be
	// wrong, and tasks that run longer than expected must not delay it indefinitely.
	BackfillLimit = 10 * time.Minute
)

// resumeHolds places the tasks that now fit on the worker held for them, and renews the holds of the others. It runs
// before all other placements, because capacity held for a task must not go to tasks that are earlier in the order.
func (p *Planner) resumeHolds(plan *Plan, pending []Pending) {
	p.placed = slices.Grow(p.placed[:0], len(pending))[:len(pending)]
	clear(p.placed)
	for i := range pending {
		task := &pending[i]
		v := p.viewIndex(task.Held)
		if v < 0 || p.heldCount >= p.holdLimit() {
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

// viewIndex returns the index of the view of host, or -1 if there is none.
func (p *Planner) viewIndex(host structs.HostID) int {
	if host == "" {
		return -1
	}
	return slices.IndexFunc(p.views, func(v View) bool { return v.Host == host })
}

func (p *Planner) holdLimit() int { return max(1, int(float64(len(p.views))*HeldShare)) }

// hold holds worker i for a task until the end of the cycle.
func (p *Planner) hold(i int, task *Pending, c *class) {
	view := &p.views[i]
	view.Held = true
	if p.now.Sub(task.Since) < BackfillLimit {
		view.HeldUntil, _ = p.earliestFit(view, c.task.Size)
	}
	p.versions[i]++
	p.heldCount++
}

// handleUnplaced returns the result for a task that no worker accepts, and holds a worker for the task once it has
// waited for HoldAfter.
func (p *Planner) handleUnplaced(task *Pending, c *class) Unplaced {
	if c.rejections == nil {
		c.rejections = p.countRejections(&c.task)
	}
	result := Unplaced{Task: task.Task, Rejections: c.rejections}
	if i := p.viewIndex(task.Held); i >= 0 && p.views[i].Held {
		result.Held = task.Held
		return result
	}
	if p.now.Sub(task.Since) < HoldAfter || p.heldCount >= p.holdLimit() || task.Probe != "" {
		return result
	}
	if i := p.selectWorkerToHold(&c.task); i >= 0 {
		p.hold(i, task, c)
		result.Held = p.views[i].Host
	}
	return result
}

// selectWorkerToHold returns the index of the worker that is expected to have enough capacity first, among those that
// could run the task when empty, or -1 if there is none. If the time is unknown for all of them, it returns the one
// with the most available CPU.
func (p *Planner) selectWorkerToHold(task *Task) int {
	best := -1
	var bestAt time.Time
	for i := range p.views {
		empty := p.views[i]
		empty.Available = empty.Capacity
		if math.IsInf(p.score(task, &empty), -1) {
			continue
		}
		at, known := p.earliestFit(&p.views[i], task.Size)
		sooner := known && (bestAt.IsZero() || at.Before(bestAt))
		emptier := !known && bestAt.IsZero() && (best < 0 || p.views[i].Available.MilliCPU > p.views[best].Available.MilliCPU)
		if sooner || emptier {
			best, bestAt = i, at
		}
	}
	return best
}

// earliestFit returns the time at which a worker is expected to have enough capacity for size, estimated from the run
// times of its tasks, and false if that is unknown.
func (p *Planner) earliestFit(view *View, size structs.Resources) (time.Time, bool) {
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

// endsBy returns the time by which a task of kind that starts now ends with a probability of BackfillQuantile; zero if
// that is unknown.
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
