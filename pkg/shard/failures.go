package shard

import (
	"time"

	"fulmarcourse.example/core/placement"
	"fulmarcourse.example/core/quarantine"
	"fulmarcourse.example/core/reconcile"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
)

// recordResult records the success or failure of an ended attempt in the quarantine tracker. Called with mu held.
func (l *Loop) recordResult(w *workerEntry, wt structs.WorkerTask, now time.Time) {
	switch wt.State {
	case structs.WorkerTaskDone, structs.WorkerTaskFailed:
		l.applyDecisions(l.tracker.Record(quarantine.Result{
			Worker: w.host.ID, Task: wt.Task, OK: wt.State == structs.WorkerTaskDone, At: now,
		}))
	}
}

// evaluateFailures applies the decisions of the quarantine tracker that are due. Called by the loop goroutine without
// mu.
func (l *Loop) evaluateFailures() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tracker.SetWorkerCount(len(l.table.workers))
	l.applyDecisions(l.tracker.Tick(l.cfg.Clock()))
}

// applyDecisions logs workers that enter or leave quarantine, and parks jobs and tasks. Called with mu held.
func (l *Loop) applyDecisions(decisions []quarantine.Decision) {
	for _, d := range decisions {
		switch d.Kind {
		case quarantine.QuarantineWorker:
			l.cfg.Log.Event(eventlog.WorkerQuarantined).Str("worker", string(d.Worker)).Msg(d.Reason)
		case quarantine.ReleaseWorker:
			l.cfg.Log.Event(eventlog.WorkerReleased).Str("worker", string(d.Worker)).Msg(d.Reason)
		case quarantine.ParkJob:
			l.parkJob(d)
		case quarantine.ParkTask:
			if j, rec := l.table.task(d.Task); rec != nil {
				l.park(j, rec, d)
			}
		}
	}
}

// parkJob parks every pending task of a job. Called with mu held.
func (l *Loop) parkJob(d quarantine.Decision) {
	j, ok := l.table.jobs[d.Task.Job]
	if !ok {
		return
	}
	for i := range j.record.Tasks {
		l.park(j, &j.record.Tasks[i], d)
	}
}

// park ends a task that has failed on several workers, if it is pending, so that it is not tried again. Called with mu
// held.
func (l *Loop) park(j *job, rec *structs.TaskRecord, d quarantine.Decision) {
	if reconcile.Park(rec, d.Reason) {
		j.dirty = true
		l.cfg.Log.Event(eventlog.TaskParked).Str("job", string(j.record.ID)).Msg(d.Reason)
	}
}

// assignProbes selects a pending task as probe for each quarantined worker that is due for one. The result of a probe
// shows whether the worker can run tasks again. Called with mu held.
func (l *Loop) assignProbes(pending []placement.Pending, now time.Time) {
	for _, host := range l.tracker.DueProbes(now) {
		task, ok := l.tracker.PickProbe(host, l.probeCandidates(pending))
		if !ok {
			continue // the candidates depend on the worker
		}
		for i := range pending {
			if pending[i].Task == task {
				pending[i].Probe = host
			}
		}
	}
}

// probeCandidates returns the pending tasks that are not assigned as probes yet. Called with mu held.
func (l *Loop) probeCandidates(pending []placement.Pending) []quarantine.ProbeCandidate {
	var candidates []quarantine.ProbeCandidate
	for _, p := range pending {
		kind, ok := l.lookupKind(p.Kind)
		if !ok || p.Probe != "" {
			continue
		}
		candidates = append(candidates, quarantine.ProbeCandidate{
			Task: p.Task, Idempotent: kind.Idempotent, Urgent: p.Urgent, RunTime: kind.RunTime,
		})
	}
	return candidates
}
