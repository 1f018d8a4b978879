package shard

import (
	"maps"
	"math/rand/v2"
	"time"

	"fulmarcourse.example/core/placement"
	"fulmarcourse.example/core/placement/learn"
	"fulmarcourse.example/core/structs"
)

// refusalBackOff is how long no tasks are placed on a worker after it refused a start.
const refusalBackOff = 5 * time.Second

// planner combines the placement planner of a shard with its learned models and the results of the last plan. Loop.mu
// guards it.
type planner struct {
	core         *placement.Planner
	model        *learn.Model
	rnd          *rand.Rand
	refusedAt    map[structs.HostID]time.Time      // when a worker last refused a start
	held         map[structs.TaskID]structs.HostID // workers that the last plan reserved for pending tasks
	unplacedJobs map[structs.JobID]bool            // jobs with tasks for which the last plan found no worker
}

// newPlanner returns a planner with empty models. It panics on an unknown policy name, since settings are validated
// before.
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
		core:      placement.NewPlanner(placement.Config{Policy: policy}),
		model:     model,
		rnd:       rand.New(rand.NewPCG(cfg.Seed, stream)),
		refusedAt: map[structs.HostID]time.Time{},
	}
}

// recordUnplaced records the jobs that wait for capacity, and the workers that the plan reserved for tasks that have
// waited long. unconsidered are the tasks beyond maxPlanned, which the plan did not consider.
func (p *planner) recordUnplaced(unplaced []placement.Unplaced, unconsidered []placement.Pending) {
	p.held = make(map[structs.TaskID]structs.HostID)
	p.unplacedJobs = make(map[structs.JobID]bool)
	for _, b := range unconsidered {
		p.unplacedJobs[b.Task.Job] = true
	}
	for _, u := range unplaced {
		p.unplacedJobs[u.Task.Job] = true
		if u.Held != "" {
			p.held[u.Task] = u.Held
		}
	}
}

// recordRefusal records when a worker refused a start. Refusals whose back-off has ended are dropped.
func (p *planner) recordRefusal(worker structs.HostID, now time.Time) {
	maps.DeleteFunc(p.refusedAt, func(_ structs.HostID, at time.Time) bool { return now.Sub(at) >= refusalBackOff })
	p.refusedAt[worker] = now
}

// inBackOff reports whether a worker refused a start less than refusalBackOff ago.
func (p *planner) inBackOff(worker structs.HostID, now time.Time) bool {
	at, ok := p.refusedAt[worker]
	return ok && now.Sub(at) < refusalBackOff
}

// recordColocation records which kinds run together on a worker from now on.
func (p *planner) recordColocation(w *workerEntry, now time.Time) {
	p.model.History.Record(w.host.ID, now, w.kinds())
}

// observe adds one report of a running attempt to the models. sentAt is when the report's inventory was requested.
func (p *planner) observe(host structs.HostID, wt structs.WorkerTask, sentAt time.Time) {
	p.model.Observe(learn.Sample{
		Task:     wt.Task,
		Attempt:  wt.Attempt,
		Kind:     wt.Kind,
		Host:     host,
		TakenAt:  sentAt.Add(-wt.UsageAge),
		Usage:    wt.Usage,
		Progress: wt.Progress,
		Throttle: wt.Throttle,
	}, sentAt)
}

// recordEnd adds the end of an attempt to the models.
func (p *planner) recordEnd(wt structs.WorkerTask, now time.Time) {
	p.model.RecordEnd(wt.Task, wt.Attempt, wt.Kind, wt.State == structs.WorkerTaskDone, wt.RanFor, now)
}
