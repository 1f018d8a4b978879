// Package quarantine distinguishes workers on which every job fails from jobs that fail on every worker.
//
// A worker on which several different jobs have failed without any success in between is quarantined: it gets probe
// tasks only, and is released after successful probes. A job that has failed on several healthy workers without any
// success is parked. Failures on a worker that is quarantined later do not count against the job, so a job is parked
// only after an observation period of the workers concerned.
//
// A worker changes from healthy to quarantined when the failures since its latest success implicate it, and back when
// ProbeSuccesses consecutive probes succeed. The failure of a job implicates the worker unless the job fails on several
// other workers too. A job changes from running to parked when it has failed on JobFailedWorkers workers, none of which
// is suspect; until that is decided, MayStart prevents its start on more workers.
//
// The package reads no clock and does no I/O: results and the time are arguments, and the shard owner calls it under
// its own lock. Excluding machines by the failures of different jobs is known from Apache Hadoop and Spark (node
// exclusion).
package quarantine

import (
	"slices"
	"time"

	"fulmarcourse.example/core/structs"
)

// Thresholds of quarantining and parking.
const (
	// WorkerFailedJobs is the number of different jobs whose failure without a success quarantines a worker.
	WorkerFailedJobs = 3
	// WorkerFailedTasks is the number of failed tasks that quarantines a worker as well, counting only jobs that have
	// succeeded on other workers. It covers the case in which only a single large job runs.
	WorkerFailedTasks = 10
	// JobFailedWorkers is the number of healthy workers on which a job or task must have failed before it is parked.
	JobFailedWorkers = 3
	// MaxQuarantinedShare is the largest share of the workers that may be quarantined; at least one may be.
	MaxQuarantinedShare = 0.2
	// ObservationPeriod is the time from a failure until it counts against its job. During this time other jobs that
	// fail on the worker, or on every worker, show whether the job is the cause.
	ObservationPeriod = 30 * time.Second
	// SuspectLimit is how long a worker with a few failing jobs stays suspect. After it the failures count against the
	// jobs.
	SuspectLimit = 10 * time.Minute
	// FailureRetention is how long the failure of a job counts against a worker.
	FailureRetention = time.Hour
)

// Thresholds of a failure storm: failures that likely have a common cause, for example an input that cannot be read.
// During a storm no worker is quarantined and no job is parked; failed tasks are retried after delays.
const (
	// StormWindow is the period over which results are counted.
	StormWindow = time.Minute
	// StormJobs is the least number of different failing jobs that makes a storm.
	StormJobs = 6
	// StormSuccesses is the largest share of successes among the results at which there is a storm.
	StormSuccesses = 0.1
	// StormLimit is the longest duration of a storm. After it jobs are parked again, so that many jobs that can never
	// run are not retried indefinitely.
	StormLimit = 2 * time.Hour
)

// Parameters of probing.
const (
	// InitialProbeDelay is the time from the start of a quarantine to the first probe. It doubles with every probe that
	// fails.
	InitialProbeDelay = time.Minute
	// MaxProbeDelay bounds the time between two probes.
	MaxProbeDelay = 30 * time.Minute
	// ProbeTimeout is the time after which a probe without a result is repeated.
	ProbeTimeout = 15 * time.Minute
	// ProbeSuccesses is the number of consecutive successful probes that release a worker.
	ProbeSuccesses = 2
)

// Parameters of retries of failed tasks.
const (
	InitialRetryDelay = 5 * time.Second // delay after the first failure of a task; it doubles with each further one
	MaxRetryDelay     = 5 * time.Minute // longest delay
	// MaxExcluded is the largest number of workers that are excluded for a task after it has failed on them.
	MaxExcluded = 5
)

// Result is the end of one attempt.
type Result struct {
	Worker structs.HostID
	Task   structs.TaskID
	OK     bool
	At     time.Time
}

// DecisionKind is the kind of a Decision.
type DecisionKind string

// Kinds of decisions.
const (
	QuarantineWorker DecisionKind = "quarantine"
	ReleaseWorker    DecisionKind = "release"
	ParkJob          DecisionKind = "park-job"  // every task of the job that is not final
	ParkTask         DecisionKind = "park-task" // this task only; other tasks of the job have succeeded
)

// Decision is one decision of a Tracker, with a reason for the task record or the log.
type Decision struct {
	Kind   DecisionKind
	Worker structs.HostID // QuarantineWorker and ReleaseWorker
	Task   structs.TaskID // ParkJob: the job only; ParkTask
	Reason string
}

// worker holds the results of one worker.
type worker struct {
	failed      map[structs.JobID]*streak // jobs that failed since the latest success
	succeeded   time.Time                 // latest success
	quarantined bool
	// Failures after faultyFrom and up to faultyTo, or any later ones while quarantined, do not count against jobs.
	faultyFrom time.Time
	faultyTo   time.Time
	probeAt    time.Time     // time of the next probe
	probeDelay time.Duration // until the next probe; doubles after a failed one
	probesOK   int           // consecutive successful probes
}

// streak counts the failures of one job on a worker since the latest success there.
type streak struct {
	tasks  int       // failed attempts
	latest time.Time // latest failure
}

// failure is the latest failure on one worker.
type failure struct {
	worker structs.HostID
	at     time.Time
}

// job holds the results of one job.
type job struct {
	succeeded bool          // a task of the job has succeeded
	failures  []failure     // of all tasks, one per worker
	tasks     map[int]*task // tasks that have failed, by index
}

// task holds the results of one task that has failed.
type task struct {
	failures []failure // one per worker
	count    int       // failures so far
	retryAt  time.Time // earliest time of the next attempt
}

// Tracker attributes failures to workers and jobs. It is not safe for concurrent use.
type Tracker struct {
	workers     map[structs.HostID]*worker
	jobs        map[structs.JobID]*job
	workerCount int
	recent      []Result // within StormWindow
	storm       bool
	stormSince  time.Time // start of the storm; zero when there is none
}

// NewTracker returns a Tracker for a shard with workerCount workers.
func NewTracker(workerCount int) *Tracker {
	return &Tracker{workers: map[structs.HostID]*worker{}, jobs: map[structs.JobID]*job{}, workerCount: workerCount}
}

// SetWorkerCount sets the number of workers of the shard.
func (t *Tracker) SetWorkerCount(count int) { t.workerCount = count }

// RemoveWorker removes a worker that has left.
func (t *Tracker) RemoveWorker(host structs.HostID) { delete(t.workers, host) }

// RemoveJob removes a job whose tasks are all final.
func (t *Tracker) RemoveJob(id structs.JobID) { delete(t.jobs, id) }

// Restore restores the failures of a task from its record after a takeover. The former owner's results of the workers
// are lost, so one more failure is needed before the task can be parked.
func (t *Tracker) Restore(id structs.TaskID, failedOn []structs.HostID, now time.Time) {
	for _, host := range failedOn[max(0, len(failedOn)-JobFailedWorkers+1):] {
		t.recordFailure(id, host, now)
	}
}

// Quarantined reports whether a worker is quarantined and accepts probes only.
func (t *Tracker) Quarantined(host structs.HostID) bool {
	w := t.workers[host]
	return w != nil && w.quarantined
}

// Storm reports whether there is a failure storm, as of the latest call of Record or Tick.
func (t *Tracker) Storm() bool { return t.storm }

func (t *Tracker) worker(host structs.HostID) *worker {
	w := t.workers[host]
	if w == nil {
		w = &worker{failed: map[structs.JobID]*streak{}}
		t.workers[host] = w
	}
	return w
}

func (t *Tracker) job(id structs.JobID) *job {
	j := t.jobs[id]
	if j == nil {
		j = &job{tasks: map[int]*task{}}
		t.jobs[id] = j
	}
	return j
}

// recordFailure records a failure of a task.
func (t *Tracker) recordFailure(id structs.TaskID, host structs.HostID, at time.Time) {
	j := t.job(id.Job)
	j.failures = addFailure(j.failures, host, at)
	k := j.tasks[id.Index]
	if k == nil {
		k = &task{}
		j.tasks[id.Index] = k
	}
	k.failures = addFailure(k.failures, host, at)
	k.retryAt = at.Add(min(InitialRetryDelay<<min(k.count, 10), MaxRetryDelay))
	k.count++
}

// addFailure appends a failure and removes an earlier one of the same worker, so that the latest failure is last.
func addFailure(failures []failure, host structs.HostID, at time.Time) []failure {
	failures = slices.DeleteFunc(failures, func(f failure) bool { return f.worker == host })
	return append(failures, failure{host, at})
}

// workerAtFault reports whether a failure is attributed to its worker: it falls into a period in which the worker was
// faulty.
func (t *Tracker) workerAtFault(f failure) bool {
	w := t.workers[f.worker]
	return w != nil && f.at.After(w.faultyFrom) && (w.quarantined || !f.at.After(w.faultyTo))
}
