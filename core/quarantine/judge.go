package quarantine

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"fulmarcourse.example/core/structs"
)

// Record records the end of an attempt and returns the resulting decisions.
func (t *Tracker) Record(r Result) []Decision {
	t.recent = append(t.recent, r)
	defer t.updateStorm(r.At)
	if r.OK {
		return t.recordSuccess(r)
	}
	t.recordFailure(r.Task, r.Worker, r.At)
	w := t.worker(r.Worker)
	if w.quarantined {
		w.probesOK = 0
		w.probeDelay = min(2*w.probeDelay, MaxProbeDelay)
		w.probeAt = r.At.Add(w.probeDelay)
		return nil
	}
	s := w.failed[r.Task.Job]
	if s == nil {
		s = &streak{}
		w.failed[r.Task.Job] = s
	}
	s.tasks++
	s.latest = r.At
	t.updateStorm(r.At)
	var decisions []Decision
	if t.appearsFaulty(r.Worker, w, r.At) && !t.storm {
		decisions = append(decisions, t.quarantine(r.Worker, w, r.At))
	}
	return append(decisions, t.evaluateJob(r.Task.Job, r.At)...)
}

// recordSuccess records a successful attempt, which counts in favour of the worker and of the job.
func (t *Tracker) recordSuccess(r Result) []Decision {
	j := t.job(r.Task.Job)
	j.succeeded = true
	delete(j.tasks, r.Task.Index)
	w := t.worker(r.Worker)
	w.succeeded = r.At
	clear(w.failed)
	if !w.quarantined {
		return nil
	}
	w.probesOK++
	if w.probesOK < ProbeSuccesses {
		w.probeAt = r.At
		return nil
	}
	w.faultyTo = r.At
	return []Decision{t.release(r.Worker, w, "probes succeeded")}
}

// appearsFaulty reports whether the failures on a worker are attributed to the worker: several different jobs failed
// there, or many tasks of jobs that succeed elsewhere. Jobs that fail on several other workers as well do not count.
func (t *Tracker) appearsFaulty(host structs.HostID, w *worker, now time.Time) bool {
	jobs, tasks := 0, 0
	for id, s := range w.failed {
		j := t.jobs[id]
		if now.Sub(s.latest) > FailureRetention || j == nil {
			delete(w.failed, id)
			continue
		}
		if j.succeeded {
			tasks += s.tasks
		}
		if t.implicates(host, j) {
			jobs++
		}
	}
	return jobs >= WorkerFailedJobs || tasks >= WorkerFailedTasks
}

// implicates reports whether the failure of a job on a worker counts against the worker: the job succeeds elsewhere, or
// does not fail on several other workers as well.
func (t *Tracker) implicates(host structs.HostID, j *job) bool {
	return j.succeeded || t.countFailuresElsewhere(j, host) < JobFailedWorkers-1
}

// countFailuresElsewhere returns the number of other workers whose failures count against the job.
func (t *Tracker) countFailuresElsewhere(j *job, host structs.HostID) int {
	n := 0
	for _, f := range j.failures {
		if f.worker != host && !t.workerAtFault(f) {
			n++
		}
	}
	return n
}

// quarantine starts the quarantine of a worker. The failures since its latest success are attributed to the worker.
func (t *Tracker) quarantine(host structs.HostID, w *worker, now time.Time) Decision {
	w.quarantined, w.probesOK, w.probeDelay, w.probeAt = true, 0, InitialProbeDelay, now.Add(InitialProbeDelay)
	w.faultyFrom = w.succeeded
	reason := fmt.Sprintf("%d different jobs failed without a success", len(w.failed))
	return Decision{Kind: QuarantineWorker, Worker: host, Reason: reason}
}

// release ends the quarantine of a worker.
func (t *Tracker) release(host structs.HostID, w *worker, reason string) Decision {
	w.quarantined, w.probesOK = false, 0
	clear(w.failed)
	return Decision{Kind: ReleaseWorker, Worker: host, Reason: reason}
}

// limit returns the number of workers that may be quarantined at the same time.
func (t *Tracker) limit() int { return max(1, int(MaxQuarantinedShare*float64(t.workerCount))) }

// updateStorm updates whether there is a failure storm: more workers appear faulty than may be quarantined, or many
// jobs fail and few tasks succeed. After StormLimit the storm counts as ended.
func (t *Tracker) updateStorm(now time.Time) {
	failing := 0
	for host, w := range t.workers {
		if w.quarantined || t.appearsFaulty(host, w, now) {
			failing++
		}
	}
	detected := failing > t.limit() || t.massFailure(now)
	switch {
	case !detected:
		t.stormSince = time.Time{}
	case t.stormSince.IsZero():
		t.stormSince = now
	}
	t.storm = detected && now.Sub(t.stormSince) <= StormLimit
}

// massFailure reports whether many different jobs have failed within StormWindow while few tasks succeeded.
func (t *Tracker) massFailure(now time.Time) bool {
	t.recent = slices.DeleteFunc(t.recent, func(r Result) bool { return now.Sub(r.At) > StormWindow })
	successes := 0
	failed := map[structs.JobID]bool{}
	for _, r := range t.recent {
		if r.OK {
			successes++
		} else {
			failed[r.Task.Job] = true
		}
	}
	return len(failed) >= StormJobs && float64(successes) <= StormSuccesses*float64(len(t.recent))
}

// Tick decides on jobs whose failures could not be attributed earlier. The owner calls it about once a second.
func (t *Tracker) Tick(now time.Time) []Decision {
	t.updateStorm(now)
	var decisions []Decision
	for _, id := range slices.Sorted(maps.Keys(t.jobs)) {
		decisions = append(decisions, t.evaluateJob(id, now)...)
	}
	return decisions
}

// evaluateJob decides whether a job, or single tasks of it, are parked because they fail on every worker.
func (t *Tracker) evaluateJob(id structs.JobID, now time.Time) []Decision {
	j := t.jobs[id]
	if j == nil || len(j.failures) < JobFailedWorkers || t.storm {
		return nil
	}
	if j.succeeded {
		return t.evaluateTasks(id, j, now)
	}
	hosts := t.healthyWorkers(id, j.failures, now)
	if len(hosts) < JobFailedWorkers {
		return nil
	}
	delete(t.jobs, id)
	t.discardFailures(id, now)
	return []Decision{{Kind: ParkJob, Task: structs.TaskID{Job: id}, Reason: parkReason(hosts)}}
}

// evaluateTasks parks single tasks of a job of which other tasks succeed.
func (t *Tracker) evaluateTasks(id structs.JobID, j *job, now time.Time) []Decision {
	var decisions []Decision
	for _, index := range slices.Sorted(maps.Keys(j.tasks)) {
		hosts := t.healthyWorkers(id, j.tasks[index].failures, now)
		if len(hosts) < JobFailedWorkers {
			continue
		}
		delete(j.tasks, index)
		decisions = append(decisions, Decision{Kind: ParkTask, Task: structs.TaskID{Job: id, Index: index}, Reason: parkReason(hosts)})
	}
	return decisions
}

func parkReason(hosts []structs.HostID) string {
	return fmt.Sprintf("failed on %d healthy workers: %v", len(hosts), hosts)
}

// discardFailures removes the failures of a parked job from all workers. A worker that would not have been quarantined
// without them is probed at once.
func (t *Tracker) discardFailures(id structs.JobID, now time.Time) {
	for _, w := range t.workers {
		if w.failed[id] == nil {
			continue
		}
		delete(w.failed, id)
		if w.quarantined && len(w.failed) < WorkerFailedJobs {
			w.probeAt, w.probeDelay = now, InitialProbeDelay
		}
	}
}

// healthyWorkers returns the workers whose failures count against the job.
func (t *Tracker) healthyWorkers(id structs.JobID, failures []failure, now time.Time) []structs.HostID {
	var hosts []structs.HostID
	for _, f := range failures {
		if !t.workerAtFault(f) && t.countsAgainstJob(id, f, now) {
			hosts = append(hosts, f.worker)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// countsAgainstJob reports whether a failure counts against the job. It does when its worker is not quarantined and
// ObservationPeriod has passed without a failure of another job that implicates the worker. A worker that is implicated
// stays suspect for at most SuspectLimit; then the failure counts as well.
func (t *Tracker) countsAgainstJob(id structs.JobID, f failure, now time.Time) bool {
	elapsed := now.Sub(f.at)
	w := t.workers[f.worker]
	if w == nil {
		return elapsed >= ObservationPeriod
	}
	if w.quarantined {
		return false
	}
	for other := range w.failed {
		if j := t.jobs[other]; other != id && j != nil && t.implicates(f.worker, j) {
			return elapsed >= SuspectLimit
		}
	}
	return elapsed >= ObservationPeriod
}

// countingFailures returns the failures that may count against a task: its own, and those of the whole job as long as
// no task of the job has succeeded.
func (t *Tracker) countingFailures(id structs.TaskID) []failure {
	j := t.jobs[id.Job]
	if j == nil {
		return nil
	}
	if !j.succeeded {
		return j.failures
	}
	if k := j.tasks[id.Index]; k != nil {
		return k.failures
	}
	return nil
}

// MayStart reports whether a task may be started now: its retry delay has passed, and no decision on it is pending.
// After failures on JobFailedWorkers workers a task is not started on further ones until the failures have been
// attributed.
func (t *Tracker) MayStart(id structs.TaskID, now time.Time) bool {
	if j := t.jobs[id.Job]; j != nil && j.tasks[id.Index] != nil && now.Before(j.tasks[id.Index].retryAt) {
		return false
	}
	n := 0
	for _, f := range t.countingFailures(id) {
		if !t.workerAtFault(f) {
			n++
		}
	}
	return n < JobFailedWorkers || t.storm
}

// Excluded returns the workers on which a task is not tried again: the latest MaxExcluded workers on which it has
// failed.
func (t *Tracker) Excluded(id structs.TaskID) []structs.HostID {
	failures := t.countingFailures(id)
	var hosts []structs.HostID
	for i := len(failures) - 1; i >= 0 && len(hosts) < MaxExcluded; i-- {
		if !t.workerAtFault(failures[i]) {
			hosts = append(hosts, failures[i].worker)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// DueProbes returns the quarantined workers that are due for a probe, the longest overdue first.
func (t *Tracker) DueProbes(now time.Time) []structs.HostID {
	var due []structs.HostID
	for host, w := range t.workers {
		if w.quarantined && !now.Before(w.probeAt) {
			due = append(due, host)
		}
	}
	slices.SortFunc(due, func(a, b structs.HostID) int {
		return cmp.Or(t.workers[a].probeAt.Compare(t.workers[b].probeAt), cmp.Compare(a, b))
	})
	return due
}

// ProbeStarted records that a probe was sent to a worker. The next probe follows its result, or ProbeTimeout.
func (t *Tracker) ProbeStarted(host structs.HostID, now time.Time) {
	if w := t.workers[host]; w != nil && w.quarantined {
		w.probeAt = now.Add(ProbeTimeout)
	}
}
