package schedule

import (
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
)

const (
	// simMaxUnused is how long a sound worker may be unused after the faults, whatever runs there: unreachable for 5 s after a crash,
	// then in probation for at most maxProbation.
	simMaxUnused = 5*time.Second + maxProbation
	// simMaxAvoided is how long it may be avoided because tasks that run there are slow or fail, and until the last back-off ends.
	simMaxAvoided = simLongTask + maxFailureBackOff
	// spreadingJob is a job of more tasks than the workers may run at a time, so that work waits for each worker.
	spreadingJob      = workload.JobID("spreading")
	simSpreadingTasks = 20 * simWorkerCount
	// simMaxSpreading is the time within which a task has to start on each worker.
	simMaxSpreading = simMaxUnused + simMaxAvoided
)

// soundWorkers returns the workers that should get tasks once the faults and their effects are over.
func (f *faultSim) soundWorkers() []*faultSimWorker {
	var sound []*faultSimWorker
	for _, worker := range f.workers {
		if !worker.info.Draining && !f.unreachable(worker) {
			sound = append(sound, worker)
		}
	}
	return sound
}

// unusedSince is since when a worker of the simulation is not used, for reasons of one kind.
type unusedSince struct {
	at      time.Duration
	byTasks bool // because of the tasks that run there
}

// checkUse fails the test if a listed sound worker has not been used for too long although the faults are over. It is called with
// each step.
func (f *faultSim) checkUse() {
	if f.now < time.Hour+simFaultsEnd+simFaultsEbb {
		return
	}
	for _, worker := range f.workers {
		reason := f.unusedReason(worker)
		byTasks := reason == WaitSlow || reason == WaitFaulty
		since, unused := f.unused[worker]
		switch {
		case reason == Suitable:
			delete(f.unused, worker)
			continue
		case !unused || since.byTasks != byTasks:
			since = unusedSince{f.now, byTasks}
			f.unused[worker] = since
		}
		limit := simMaxUnused
		if byTasks {
			limit = simMaxAvoided
		}
		if f.now-since.at > limit {
			f.fatalf("%s has not been used for %v: %v; process %d is there, unreachable until %.1f", worker.info.ID, f.now-since.at, reason,
				worker.incarnation, (worker.unreachableUntil - time.Hour).Seconds())
		}
	}
}

// unusedReason returns why the owner does not use a sound worker.
func (f *faultSim) unusedReason(worker *faultSimWorker) WaitReason {
	if worker.info.Draining {
		return Suitable
	}
	w := f.s.workers[worker.info.ID]
	if w == nil {
		return WaitNoWorker
	}
	if !w.listed {
		return WaitUnlisted
	}
	return f.s.unusedReason(f.now, w)
}

// running returns the worker of each attempt that runs.
func (f *faultSim) running() map[attemptKey]WorkerID {
	running := map[attemptKey]WorkerID{}
	for _, worker := range f.workers {
		for key := range worker.running {
			running[key] = worker.info.ID
		}
	}
	return running
}

// checkWorkSpreads submits spreadingJob after the faults and fails the test if no task of any job starts on a sound worker then,
// whatever happened before.
func (f *faultSim) checkWorkSpreads() {
	step := testStep(simSpreadingTasks)
	step.MaxPerWorker, step.Size = 1, structs.Resources{MilliCPU: 1, MemoryBytes: 1 << 20}
	job := testJob(spreadingJob, step)
	job.Queue.MaxFailures = 0 // tasks fail at random
	f.jobs = append(f.jobs, job)
	f.s.AddJob(job, nil, false)
	before, used := f.running(), map[WorkerID]bool{}
	for end := f.now + simMaxSpreading; f.now < end && len(used) < len(f.workers); {
		f.step()
		for key, id := range f.running() {
			if before[key] != id {
				used[id] = true
			}
		}
	}
	for _, worker := range f.soundWorkers() {
		if !used[worker.info.ID] {
			f.fatalf("%s gets no task while %v waits: %v", worker.info.ID, spreadingJob, f.unusedReason(worker))
		}
	}
}
