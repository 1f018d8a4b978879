package quarantine

import "fulmarcourse.example/core/structs"

// Naive judges by counts alone: a worker is quarantined after WorkerFailedJobs failures in a row, a job parked
// after JobFailedWorkers failures, whoever is at fault. It is the baseline for Tracker.
type Naive struct {
	workers map[structs.HostID]int
	jobs    map[structs.JobID]int
}

// NewNaive returns the baseline.
func NewNaive() *Naive {
	return &Naive{workers: map[structs.HostID]int{}, jobs: map[structs.JobID]int{}}
}

// Record takes the end of an attempt and returns what follows from it.
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
