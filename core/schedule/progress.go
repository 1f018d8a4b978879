package schedule

import (
	"slices"

	"fulmarcourse.example/core/workload"
)

// Record is the progress of one job to store.
type Record struct {
	Job      workload.JobID
	Progress workload.Progress
}

// Changed returns the progress of the jobs that have changed since they were stored.
func (s *Scheduler) Changed() []Record {
	records := make([]Record, 0, len(s.dirty))
	for j := range s.dirty {
		records = append(records, Record{j.rec.ID, j.progress()})
	}
	return records
}

// MarkStored notes that a record was stored, unless the job has changed since.
func (s *Scheduler) MarkStored(r Record) {
	j, known := s.jobs[r.Job]
	if !known {
		return
	}
	if equalProgress(j.progress(), r.Progress) {
		delete(s.dirty, j)
	}
	for _, sp := range r.Progress.Steps {
		s.startRecorded(j, sp)
	}
}

// startRecorded orders the starts of service tasks whose worker is now stored.
func (s *Scheduler) startRecorded(j *job, sp workload.StepProgress) {
	st := j.step(sp.Occurrence, sp.Step)
	if st == nil || !st.spec.Service {
		return
	}
	for _, marks := range sp.Tasks {
		for _, a := range st.tasks[marks.Index].attempts {
			if a.phase == recording && a.number == marks.LastAttempt && string(a.worker.info.ID) == marks.Worker {
				a.phase = starting
				s.orderStart(a)
			}
		}
	}
}

// progress returns what has to be stored of a job.
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

// progress returns what has to be stored of a step, and whether there is anything.
func (st *step) progress() (workload.StepProgress, bool) {
	sp := workload.StepProgress{Occurrence: st.occurrence, Step: st.index}
	if st.left == 0 {
		sp.AllDone = true
		return sp, true
	}
	for _, t := range st.tasks {
		if t.done {
			sp.Done = append(sp.Done, t.index)
			continue
		}
		marks := workload.TaskProgress{
			Index: t.index, Failed: slices.Clone(t.failed), Checkpoint: t.checkpoint, Worker: string(t.recorded),
		}
		if marks.Worker != "" || len(marks.Failed) > 0 || marks.Checkpoint != "" {
			marks.LastAttempt = t.lastAttempt
			sp.Tasks = append(sp.Tasks, marks)
		}
	}
	return sp, len(sp.Done) > 0 || len(sp.Tasks) > 0
}

// restore applies stored progress to a new job.
func (j *job) restore(p workload.Progress) {
	j.state = p.State
	j.endedMs = p.EndedMs
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
		if st.left == 0 {
			j.openSteps--
			for _, next := range st.followers {
				next.waitsFor--
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
	for _, marks := range sp.Tasks {
		if marks.Index < 0 || marks.Index >= len(st.tasks) {
			continue
		}
		t := st.tasks[marks.Index]
		t.failed, t.recorded = marks.Failed, WorkerID(marks.Worker)
		t.lastAttempt, t.checkpoint = marks.LastAttempt, marks.Checkpoint
	}
	st.left, st.pending = 0, 0
	for _, t := range st.tasks {
		if !t.done {
			st.left++
			st.pending++
		}
	}
}

// equalProgress compares two records of one job.
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
			slices.Equal(a.Failed, b.Failed)
	})
}
