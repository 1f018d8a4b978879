package quarantine

import "fulmarcourse.example/core/structs"

// Naive decides by failure counts alone: a worker is quarantined after WorkerFailedJobs consecutive failures and a job
// is parked after JobFailedWorkers failures, whether the worker or the job is the cause. It is the baseline against
// which Tracker is compared.
type Naive struct {
	workers map[structs.HostID]int
	jobs    map[structs.JobID]int
}

// NewNaive returns a Naive without results.
func NewNaive() *Naive {
	return &Naive{workers: map[structs.HostID]int{}, jobs: map[structs.JobID]int{}}
}

// Record records the end of an attempt and returns the resulting decisions.
func (n *Naive) Record(r Result) []Decision {
	if r.OK {
		n.workers[r.Worker] = 0
		return nil
	}
	n.workers[r.Worker]++
	n.jobs[r.Task.Job]++
	var decisions []Decision
	if n.workers[r.Worker] == WorkerFailedJobs {
		decisions = append(decisions, Decision{Kind: QuarantineWorker, Worker: r.Worker, Reason: "failures in a row"})
	}
	if n.jobs[r.Task.Job] == JobFailedWorkers {
		decisions = append(decisions, Decision{Kind: ParkJob, Task: structs.TaskID{Job: r.Task.Job}, Reason: "failures"})
	}
	return decisions
}
