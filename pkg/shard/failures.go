package shard

import (
	"time"

	"fulmarcourse.example/core/placement"
	"fulmarcourse.example/core/quarantine"
	"fulmarcourse.example/core/reconcile"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
)

// recordResult tells the tracker of failures how an attempt ended. Called with mu held.
func (l *Loop) recordResult(w *workerEntry, wt structs.WorkerTask, now time.Time) {
	switch wt.State {
	case structs.OnWorkerDone, structs.OnWorkerFailed:
		l.applyDecisions(l.tracker.Record(quarantine.Result{
			Worker: w.host.ID, Task: wt.Task, OK: wt.State == structs.OnWorkerDone, At: now,
		}))
	}
}

// judgeFailures lets the tracker decide what was in doubt. Called by the loop goroutine, no lock held.
func (l *Loop) judgeFailures() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tracker.SetSize(len(l.table.workers))
	l.applyDecisions(l.tracker.Tick(l.cfg.Clock()))
}

// applyDecisions is called with mu held.
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

func (l *Loop) park(j *job, rec *structs.TaskRecord, d quarantine.Decision) {
	if reconcile.Park(rec, d.Reason) {
		j.dirty = true
		l.cfg.Log.Event(eventlog.TaskParked).Str("job", string(j.record.ID)).Msg(d.Reason)
	}
}

// assignProbes marks pending tasks of idempotent kinds as probes of quarantined workers that are due for one.
// Called with mu held.
func (l *Loop) assignProbes(pending []placement.Pending, now time.Time) {
	due := l.tracker.Probes(now)
	for i := range pending {
		if len(due) == 0 {
			return
		}
		if kind, ok := l.kind(pending[i].Kind); ok && kind.Idempotent && !pending[i].Urgent {
			pending[i].Probe = due[0]
			due = due[1:]
		}
	}
}
