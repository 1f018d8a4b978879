package shard

import (
	"math/rand/v2"
	"time"

	"fulmarcourse.example/core/placement"
	"fulmarcourse.example/core/placement/learn"
	"fulmarcourse.example/core/structs"
)

// refusalPenalty is how long a worker that refused a start gets no further one.
const refusalPenalty = 5 * time.Second

// planner keeps the planning policy of a shard with its learned models. Loop.mu guards it.
type planner struct {
	core    *placement.Planner
	model   *learn.Model
	rnd     *rand.Rand
	refused map[structs.HostID]time.Time      // when a worker last refused a start
	held    map[structs.TaskID]structs.HostID // workers that the last plan kept free for waiting tasks
	waiting map[structs.JobID]bool            // jobs with tasks for which the last plan found no worker
}

// newPlanner returns a planner with empty models. An unknown policy name is a programming error, since settings are
// checked before.
func newPlanner(cfg Config, stream uint64) *planner {
	name := cfg.Policy
	if name == "" {
		name = placement.Learned
	}
	model := learn.NewModel()
	policy, err := placement.NewPolicy(name, placement.PolicyConfig{Sizes: model, Slowdowns: model, RunTimes: model})
	if err != nil {
		panic(err)
	}
	return &planner{
		core:    placement.NewPlanner(placement.Config{Policy: policy}),
		model:   model,
		rnd:     rand.New(rand.NewPCG(cfg.Seed, stream)),
		refused: map[structs.HostID]time.Time{},
	}
}

// noteUnplaced remembers the jobs that wait for capacity, and the workers that the plan keeps free for tasks that have
// waited for long. beyond are the tasks that the plan did not look at.
func (p *planner) noteUnplaced(unplaced []placement.Unplaced, beyond []placement.Pending) {
	p.held = make(map[structs.TaskID]structs.HostID)
	p.waiting = make(map[structs.JobID]bool)
	for _, b := range beyond {
		p.waiting[b.Task.Job] = true
	}
	for _, u := range unplaced {
		p.waiting[u.Task.Job] = true
		if u.Held != "" {
			p.held[u.Task] = u.Held
		}
	}
}

// noteRefusal remembers that a worker refused a start.
func (p *planner) noteRefusal(worker structs.HostID, now time.Time) {
	p.refused[worker] = now
}

// penalized reports whether a worker refused a start a short time ago.
func (p *planner) penalized(worker structs.HostID, now time.Time) bool {
	at, ok := p.refused[worker]
	return ok && now.Sub(at) < refusalPenalty
}

// colocated notes which kinds run together on a worker from now on.
func (p *planner) colocated(w *workerEntry, now time.Time) {
	p.model.History.Record(w.host.ID, now, w.kinds())
}

// observe feeds one report of a running attempt to the models. receivedAt is when the report's inventory was requested.
func (p *planner) observe(host structs.HostID, wt structs.WorkerTask, receivedAt time.Time) {
	p.model.Observe(learn.Sample{
		Task:     wt.Task,
		Attempt:  wt.Attempt,
		Kind:     wt.Kind,
		Host:     host,
		TakenAt:  receivedAt.Add(-wt.UsageAge),
		Usage:    wt.Usage,
		Progress: wt.Progress,
		Throttle: wt.Throttle,
	}, receivedAt)
}

// ended feeds the end of an attempt to the models.
func (p *planner) ended(wt structs.WorkerTask, now time.Time) {
	p.model.RecordEnd(wt.Task, wt.Attempt, wt.Kind, wt.State == structs.OnWorkerDone, wt.RanFor, now)
}
