package schedule

import (
	"slices"
	"time"

	"fulmarcourse.example/core/workload"
)

// Record is the progress of one job, to be stored.
type Record struct {
	Job      workload.JobID
	Progress workload.Progress
}

// Changed returns the progress of the jobs that have changed since it was last stored. Jobs with tasks that start only once they
// are stored come first: a batch of many records takes many transactions.
func (s *Scheduler) Changed() []Record {
	records := make([]Record, 0, len(s.dirty))
	waiting := 0
	for j := range s.dirty {
		record := Record{j.rec.ID, j.progress()}
		j.recordHandedOut(record.Progress)
		records = append(records, record)
		if j.awaitsStore() {
			last := len(records) - 1
			records[waiting], records[last] = records[last], records[waiting]
			waiting++
		}
	}
	return records
}

// awaitsStore reports whether a start of a service task waits until its worker is stored.
func (j *job) awaitsStore() bool {
	if j.attempts == 0 {
		return false
	}
	return slices.ContainsFunc(j.steps, func(st *step) bool {
		return st.spec.Service && slices.ContainsFunc(st.tasks, func(t *task) bool {
			return slices.ContainsFunc(t.attempts, func(a *attempt) bool { return a.phase == awaitingStore })
		})
	})
}

// MarkStored records that r was stored, and orders the starts of service tasks that waited for this. The job stays
// marked as changed if its progress has changed since r was made.
func (s *Scheduler) MarkStored(now Time, r Record) {
	s.calledAt = now.Boot
	j, known := s.jobs[r.Job]
	if !known {
		return
	}
	if equalProgress(j.progress(), r.Progress) {
		delete(s.dirty, j)
	}
	s.releaseCrashed(j, r.Progress)
	for _, sp := range r.Progress.Steps {
		j.markRecordsStored(sp)
		s.orderStoredStarts(now.Boot, j, sp)
	}
}

// markRecordsStored records which crashes and silent workers of a step's tasks are stored.
func (j *job) markRecordsStored(sp workload.StepProgress) {
	st := j.step(sp.Occurrence, sp.Step)
	if st == nil {
		return
	}
	for _, tp := range sp.Tasks {
		t := st.tasks[tp.Index]
		t.markRecordStored(tp)
		t.recordedWorker = WorkerID(tp.Worker)
	}
}

// orderStoredStarts orders the starts of service tasks whose worker is now stored. A start that is no longer allowed, or for
// which the worker no longer has the capacity or does not answer, is dropped: the store may have taken seconds.
func (s *Scheduler) orderStoredStarts(now time.Duration, j *job, sp workload.StepProgress) {
	st := j.step(sp.Occurrence, sp.Step)
	if st == nil || !st.spec.Service {
		return
	}
	for _, tp := range sp.Tasks {
		for _, a := range slices.Clone(st.tasks[tp.Index].attempts) {
			if a.phase != awaitingStore || a.number != tp.LastAttempt || string(a.worker.info.ID) != tp.Worker {
				continue
			}
			if !s.startAllowed(now, a) {
				s.drop(a)
				continue
			}
			a.phase = starting
			s.orderStart(now, a)
		}
	}
}

// progress returns the progress of a job that has to be stored.
func (j *job) progress() workload.Progress {
	p := workload.Progress{State: j.state, EndedMs: j.endedMs}
	if j.state.Final() {
		return p
	}
	for _, st := range j.steps {
		if sp, any := st.progress(); any {
			p.Steps = append(p.Steps, sp)
		}
	}
	return p
}

// progress returns the progress of a step that has to be stored, and whether there is any.
func (st *step) progress() (workload.StepProgress, bool) {
	sp := workload.StepProgress{Occurrence: st.occurrence, Step: st.index}
	if st.unfinished == 0 {
		sp.AllDone = true
		return sp, true
	}
	for _, t := range st.tasks {
		if t.done {
			sp.Done = append(sp.Done, t.index)
			continue
		}
		tp := workload.TaskProgress{
			Index: t.index, Failed: slices.Clone(t.failed), Checkpoint: t.checkpoint, Worker: string(t.workerToStore()),
			Crashes: slices.Clone(t.crashes), SilentOn: slices.Clone(t.silentOn), UncertainCrashes: t.uncertainCrashes,
		}
		if tp.Worker != "" || len(tp.Failed) > 0 || tp.Checkpoint != "" ||
			len(tp.Crashes) > 0 || len(tp.SilentOn) > 0 || tp.UncertainCrashes > 0 {
			tp.LastAttempt = t.lastAttempt
			sp.Tasks = append(sp.Tasks, tp)
		}
	}
	return sp, len(sp.Done) > 0 || len(sp.Tasks) > 0
}

// restore applies stored progress to a new job.
func (j *job) restore(p workload.Progress) {
	j.state = p.State
	if j.state == "" {
		j.state = workload.StatePending
	}
	if j.state.Final() {
		return
	}
	for _, sp := range p.Steps {
		st := j.step(sp.Occurrence, sp.Step)
		if st == nil {
			continue
		}
		st.restore(sp)
	}
	for _, st := range j.steps {
		if st.unfinished == 0 {
			j.unfinishedSteps--
			for _, next := range st.dependents {
				next.unmetDeps--
			}
		}
	}
}

func (st *step) restore(sp workload.StepProgress) {
	st.job.state = workload.StateRunning
	for _, t := range st.tasks {
		if sp.AllDone {
			t.done = true
		}
	}
	for _, index := range sp.Done {
		if index >= 0 && index < len(st.tasks) {
			st.tasks[index].done = true
		}
	}
	for _, tp := range sp.Tasks {
		if tp.Index < 0 || tp.Index >= len(st.tasks) {
			continue
		}
		t := st.tasks[tp.Index]
		t.failed, t.storedWorker, t.crashes = tp.Failed, WorkerID(tp.Worker), slices.Clone(tp.Crashes)
		t.recordedWorker = t.storedWorker
		t.ran = tp.Worker != ""
		t.markRecordStored(tp)
		t.uncertainCrashes = tp.UncertainCrashes
		t.silentOn = slices.Clone(tp.SilentOn)
		t.lastAttempt, t.checkpoint = tp.LastAttempt, tp.Checkpoint
	}
	st.unfinished, st.pending = 0, 0
	for _, t := range st.tasks {
		if !t.done {
			st.unfinished++
			st.pending++
		}
	}
}

// equalProgress reports whether two progress records of one job are equal.
func equalProgress(a, b workload.Progress) bool {
	if a.State != b.State || a.EndedMs != b.EndedMs || len(a.Steps) != len(b.Steps) {
		return false
	}
	for i := range a.Steps {
		if !equalStep(a.Steps[i], b.Steps[i]) {
			return false
		}
	}
	return true
}

func equalStep(a, b workload.StepProgress) bool {
	if a.Occurrence != b.Occurrence || a.Step != b.Step || a.AllDone != b.AllDone ||
		len(a.Done) != len(b.Done) || len(a.Tasks) != len(b.Tasks) {
		return false
	}
	return slices.EqualFunc(a.Tasks, b.Tasks, func(a, b workload.TaskProgress) bool {
		return a.Index == b.Index && a.LastAttempt == b.LastAttempt && a.Worker == b.Worker && a.Checkpoint == b.Checkpoint &&
			a.UncertainCrashes == b.UncertainCrashes && slices.Equal(a.Failed, b.Failed) &&
			slices.Equal(a.Crashes, b.Crashes) && slices.Equal(a.SilentOn, b.SilentOn)
	})
}
