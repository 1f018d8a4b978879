// Package quarantine tells a worker that fails everything from a job that fails everywhere.
//
// A worker on which several different jobs have failed without any success in between is quarantined: it gets
// probe tasks only, and is released after successful probes. A job that has failed on several healthy workers
// without any success is parked. Failures on a worker that is quarantined later do not count against the job, so a
// job is parked only after the workers concerned have been watched for some time.
//
// A worker goes from healthy to quarantined when the failures since its latest success point to it, and back when
// ProbeSuccesses probes in a row succeed. The failure of a job points to the worker unless the job fails on several
// other workers too. A job goes from running to parked when JobFailedWorkers workers, none of which is in doubt,
// have failed it; until that is decided, MayStart keeps it from being tried on more workers.
//
// The package is pure: results and the time are arguments, and the shard owner calls it under its own lock.
// Excluding machines by the failures of different jobs is known from Apache Hadoop and Spark (node exclusion).
package quarantine

import (
	"slices"
	"time"

	"fulmarcourse.example/core/structs"
)

// Thresholds.
const (
	// WorkerFailedJobs is the number of different jobs whose failure without a success quarantines a worker.
	WorkerFailedJobs = 3
	// WorkerFailedTasks is the number of failed tasks that quarantines a worker as well, counting only jobs that
	// have succeeded on other workers. It covers the time when a single large job runs.
	WorkerFailedTasks = 10
	// JobFailedWorkers is the number of healthy workers on which a job or task fails before it is parked.
	JobFailedWorkers = 3
	// MaxQuarantinedShare is the greatest share of the workers that may be quarantined; at least one may be.
	MaxQuarantinedShare = 0.2
	// ObservationPeriod is how long a worker is watched before a failure there counts against a job. It gives time to
	// find out that other jobs fail there, or everywhere, as well.
	ObservationPeriod = 30 * time.Second
	// SuspectLimit is how long a worker with a few failing jobs stays in doubt. After it the failures count.
	SuspectLimit = 10 * time.Minute
	// FailureRetention is how long the failure of a job speaks against a worker.
	FailureRetention = time.Hour
)

// Thresholds of a storm: failures whose cause is likely shared by all, for example an input that cannot be read.
// Neither workers nor jobs are judged during a storm; failed tasks are retried after pauses.
const (
	// StormWindow is the time over which results are counted.
	StormWindow = time.Minute
	// StormJobs is the number of different jobs that fail in a storm.
	StormJobs = 6
	// StormSuccesses is the share of successes among the results up to which there is a storm.
	StormSuccesses = 0.1
	// StormLimit is how long a storm may last. After it jobs are judged again, so that many jobs that can never
	// run are not tried for ever.
	StormLimit = 2 * time.Hour
)

// Probing.
const (
	// InitialProbeDelay is the time from the quarantine to the first probe. It doubles with every probe that fails.
	InitialProbeDelay = time.Minute
	// MaxProbeDelay bounds the time between two probes.
	MaxProbeDelay = 30 * time.Minute
	// ProbeTimeout is the time after which a probe without a result is repeated.
	ProbeTimeout = 15 * time.Minute
	// ProbeSuccesses is the number of successes in a row that release a worker.
	ProbeSuccesses = 2
)

// Retries of failed tasks.
const (
	InitialRetryDelay = 5 * time.Second // pause after the first failure of a task; it doubles with each further one
	MaxRetryDelay     = 5 * time.Minute // longest pause
	// MaxExcluded is the number of workers on which a task is not tried again.
	MaxExcluded = 5
)

// Result is the end of one attempt.
type Result struct {
	Worker structs.HostID
	Task   structs.TaskID
	OK     bool
	At     time.Time
}

// DecisionKind is what the tracker has decided.
type DecisionKind string

// Kinds of decisions.
const (
	QuarantineWorker DecisionKind = "quarantine"
	ReleaseWorker    DecisionKind = "release"
	ParkJob          DecisionKind = "park-job"  // every task of the job that is not final
	ParkTask         DecisionKind = "park-task" // this task only; other tasks of the job have succeeded
)

// Decision is one decision with its reason for the task record or the log.
type Decision struct {
	Kind   DecisionKind
	Worker structs.HostID // QuarantineWorker and ReleaseWorker
	Task   structs.TaskID // ParkJob: the job only; ParkTask
	Reason string
}

// worker is what is known about one worker.
type worker struct {
	failed      map[structs.JobID]*streak // jobs that failed since the latest success
	succeeded   time.Time                 // latest success
	quarantined bool
	badFrom     time.Time // failures after this moment ...
	badTo       time.Time // ... and up to this one, or any if quarantined, do not count against jobs
	probeAt     time.Time // next probe
	probePause  time.Duration
	probesOK    int
}

// streak is the failures of one job on a worker since the latest success there.
type streak struct {
	tasks  int
	latest time.Time
}

// failure is the latest failure on one worker.
type failure struct {
	worker structs.HostID
	at     time.Time
}

// job is what is known about one job.
type job struct {
	succeeded bool
	failures  []failure     // of all tasks, one per worker
	tasks     map[int]*task // with failures, by index
}

// task is what is known about one task that has failed.
type task struct {
	failures []failure // one per worker
	count    int
	after    time.Time // not to be tried again before
}

// Tracker holds what is known about workers and jobs. It is not safe for concurrent use.
type Tracker struct {
	workers map[structs.HostID]*worker
	jobs    map[structs.JobID]*job
	size    int
	recent  []Result // within StormWindow
	storm   bool
	since   time.Time // when the storm began; zero when there is none
}

// NewTracker returns a tracker for a shard of size workers.
func NewTracker(size int) *Tracker {
	return &Tracker{workers: map[structs.HostID]*worker{}, jobs: map[structs.JobID]*job{}, size: size}
}

// SetWorkerCount changes the number of workers of the shard.
func (t *Tracker) SetWorkerCount(size int) { t.size = size }

// RemoveWorker drops a worker that has left.
func (t *Tracker) RemoveWorker(host structs.HostID) { delete(t.workers, host) }

// RemoveJob drops a job whose tasks are all final.
func (t *Tracker) RemoveJob(id structs.JobID) { delete(t.jobs, id) }

// Restore takes the failures of a task from its record after a takeover. What the former owner knew about the
// workers is lost, so one more failure is needed before the task can be parked.
func (t *Tracker) Restore(id structs.TaskID, failedOn []structs.HostID, now time.Time) {
	for _, host := range failedOn[max(0, len(failedOn)-JobFailedWorkers+1):] {
		t.fail(id, host, now)
	}
}

// Quarantined reports whether a worker takes probes only.
func (t *Tracker) Quarantined(host structs.HostID) bool {
	w := t.workers[host]
	return w != nil && w.quarantined
}

// Storm reports whether a cause that is shared by all seems to make tasks fail. It is as of the latest Record or Tick.
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

// fail notes a failure of a task.
func (t *Tracker) fail(id structs.TaskID, host structs.HostID, at time.Time) {
	j := t.job(id.Job)
	j.failures = noteFailure(j.failures, host, at)
	k := j.tasks[id.Index]
	if k == nil {
		k = &task{}
		j.tasks[id.Index] = k
	}
	k.failures = noteFailure(k.failures, host, at)
	k.after = at.Add(min(InitialRetryDelay<<min(k.count, 10), MaxRetryDelay))
	k.count++
}

// noteFailure adds a failure, the latest at the end, and keeps one per worker.
func noteFailure(failures []failure, host structs.HostID, at time.Time) []failure {
	failures = slices.DeleteFunc(failures, func(f failure) bool { return f.worker == host })
	return append(failures, failure{host, at})
}

// void reports whether the worker was at fault for a failure.
func (t *Tracker) void(f failure) bool {
	w := t.workers[f.worker]
	return w != nil && f.at.After(w.badFrom) && (w.quarantined || !f.at.After(w.badTo))
}
