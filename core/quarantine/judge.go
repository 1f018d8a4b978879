package quarantine

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"fulmarcourse.example/core/structs"
)

// Record takes the end of an attempt and returns what follows from it.
func (t *Tracker) Record(r Result) []Decision {
	t.recent = append(t.recent, r)
	defer t.updateStorm(r.At)
	if r.OK {
		return t.succeed(r)
	}
	t.fail(r.Task, r.Worker, r.At)
	w := t.worker(r.Worker)
	if w.quarantined {
		w.probesOK = 0
		w.probePause = min(2*w.probePause, MaxProbeDelay)
		w.probeAt = r.At.Add(w.probePause)
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
	if t.failsEverything(r.Worker, w, r.At) && !t.storm {
		decisions = append(decisions, t.quarantine(r.Worker, w, r.At))
	}
	return append(decisions, t.judge(r.Task.Job, r.At)...)
}

// succeed notes a success, which speaks for the worker and for the job.
func (t *Tracker) succeed(r Result) []Decision {
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
	w.badTo = r.At
	return []Decision{t.release(r.Worker, w, "probes succeeded")}
}

// failsEverything reports whether the failures on a worker point to the worker: several different jobs, or many
// tasks of jobs that succeed elsewhere. Jobs that fail on several other workers as well do not count.
func (t *Tracker) failsEverything(host structs.HostID, w *worker, now time.Time) bool {
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
		if t.pointsTo(host, j) {
			jobs++
		}
	}
	return jobs >= WorkerFailedJobs || tasks >= WorkerFailedTasks
}

// pointsTo reports whether the failure of a job on a worker speaks against the worker: the job succeeds elsewhere,
// or does not fail on several other workers as well.
func (t *Tracker) pointsTo(host structs.HostID, j *job) bool {
	return j.succeeded || t.failingElsewhere(j, host) < JobFailedWorkers-1
}

// failingElsewhere returns the number of other workers whose failures count against the job.
func (t *Tracker) failingElsewhere(j *job, host structs.HostID) int {
	n := 0
	for _, f := range j.failures {
		if f.worker != host && !t.void(f) {
			n++
		}
	}
	return n
}

// quarantine begins a quarantine. The failures since the worker's latest success are its own fault.
func (t *Tracker) quarantine(host structs.HostID, w *worker, now time.Time) Decision {
	w.quarantined, w.probesOK, w.probePause, w.probeAt = true, 0, InitialProbeDelay, now.Add(InitialProbeDelay)
	w.badFrom = w.succeeded
	reason := fmt.Sprintf("%d different jobs failed without a success", len(w.failed))
	return Decision{Kind: QuarantineWorker, Worker: host, Reason: reason}
}

// release ends a quarantine.
func (t *Tracker) release(host structs.HostID, w *worker, reason string) Decision {
	w.quarantined, w.probesOK = false, 0
	clear(w.failed)
	return Decision{Kind: ReleaseWorker, Worker: host, Reason: reason}
}

// limit returns the number of workers that may be quarantined.
func (t *Tracker) limit() int { return max(1, int(MaxQuarantinedShare*float64(t.size))) }

// updateStorm decides whether there is a storm: more workers seem to fail everything than may be quarantined, or
// many jobs fail and hardly any task succeeds.
func (t *Tracker) updateStorm(now time.Time) {
	failing := 0
	for host, w := range t.workers {
		if w.quarantined || t.failsEverything(host, w, now) {
			failing++
		}
	}
	stormy := failing > t.limit() || t.hardlyAnySuccess(now)
	switch {
	case !stormy:
		t.since = time.Time{}
	case t.since.IsZero():
		t.since = now
	}
	t.storm = stormy && now.Sub(t.since) <= StormLimit
}

// hardlyAnySuccess reports whether many different jobs have failed within StormWindow and few tasks succeeded.
func (t *Tracker) hardlyAnySuccess(now time.Time) bool {
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

// Tick judges the jobs whose failures were in doubt. The owner calls it about once a second.
func (t *Tracker) Tick(now time.Time) []Decision {
	t.updateStorm(now)
	var decisions []Decision
	for _, id := range slices.Sorted(maps.Keys(t.jobs)) {
		decisions = append(decisions, t.judge(id, now)...)
	}
	return decisions
}

// judge decides whether a job or its tasks fail everywhere.
func (t *Tracker) judge(id structs.JobID, now time.Time) []Decision {
	j := t.jobs[id]
	if j == nil || len(j.failures) < JobFailedWorkers || t.storm {
		return nil
	}
	if j.succeeded {
		return t.judgeTasks(id, j, now)
	}
	hosts := t.healthy(id, j.failures, now)
	if len(hosts) < JobFailedWorkers {
		return nil
	}
	delete(t.jobs, id)
	t.acquit(id, now)
	return []Decision{{Kind: ParkJob, Task: structs.TaskID{Job: id}, Reason: parkReason(hosts)}}
}

// judgeTasks parks single tasks of a job of which others succeed.
func (t *Tracker) judgeTasks(id structs.JobID, j *job, now time.Time) []Decision {
	var decisions []Decision
	for _, index := range slices.Sorted(maps.Keys(j.tasks)) {
		hosts := t.healthy(id, j.tasks[index].failures, now)
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

// acquit removes the failures of a parked job from all workers. A worker that would not have been quarantined
// without them is probed at once.
func (t *Tracker) acquit(id structs.JobID, now time.Time) {
	for _, w := range t.workers {
		if w.failed[id] == nil {
			continue
		}
		delete(w.failed, id)
		if w.quarantined && len(w.failed) < WorkerFailedJobs {
			w.probeAt, w.probePause = now, InitialProbeDelay
		}
	}
}

// healthy returns the workers whose failures count against the job.
func (t *Tracker) healthy(id structs.JobID, failures []failure, now time.Time) []structs.HostID {
	var hosts []structs.HostID
	for _, f := range failures {
		if !t.void(f) && t.vouched(id, f, now) {
			hosts = append(hosts, f.worker)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// vouched reports whether the worker of a failure counts as healthy: it has been watched for ConfirmAfter and no
// other job's failure points to it, or the doubt has lasted for DoubtLimit.
func (t *Tracker) vouched(id structs.JobID, f failure, now time.Time) bool {
	watched := now.Sub(f.at)
	w := t.workers[f.worker]
	if w == nil {
		return watched >= ObservationPeriod
	}
	if w.quarantined {
		return false
	}
	for other := range w.failed {
		if j := t.jobs[other]; other != id && j != nil && t.pointsTo(f.worker, j) {
			return watched >= SuspectLimit
		}
	}
	return watched >= ObservationPeriod
}

// counting returns the failures that may still count against a task: its own, and those of the whole job as long
// as no task of it has succeeded.
func (t *Tracker) counting(id structs.TaskID) []failure {
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

// MayStart reports whether a task may be tried now: its pause is over, and it does not wait for a judgement. After
// failures on JobFailedWorkers workers it is not tried on further ones until it is known who is at fault.
func (t *Tracker) MayStart(id structs.TaskID, now time.Time) bool {
	if j := t.jobs[id.Job]; j != nil && j.tasks[id.Index] != nil && now.Before(j.tasks[id.Index].after) {
		return false
	}
	n := 0
	for _, f := range t.counting(id) {
		if !t.void(f) {
			n++
		}
	}
	return n < JobFailedWorkers || t.storm
}

// Excluded returns the workers on which a task is not tried again, the latest MaxExcluded on which it has failed.
func (t *Tracker) Excluded(id structs.TaskID) []structs.HostID {
	failures := t.counting(id)
	var hosts []structs.HostID
	for i := len(failures) - 1; i >= 0 && len(hosts) < MaxExcluded; i-- {
		if !t.void(failures[i]) {
			hosts = append(hosts, failures[i].worker)
		}
	}
	slices.Sort(hosts)
	return hosts
}

// DueProbes returns the quarantined workers that are due for a probe, the one that waits longest first.
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

// ProbeStarted notes that a probe was sent to a worker. The next one follows its result, or ProbeTimeout.
func (t *Tracker) ProbeStarted(host structs.HostID, now time.Time) {
	if w := t.workers[host]; w != nil && w.quarantined {
		w.probeAt = now.Add(ProbeTimeout)
	}
}
