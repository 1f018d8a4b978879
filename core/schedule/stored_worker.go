package schedule

import "fulmarcourse.example/core/workload"

// A service is started on a worker only once the stored record of its task names the worker, so that a later owner waits for a report of
// it. The record of a nominee that is expected to fit soon names its worker while tasks there still use the capacity, so that its start is
// ordered as soon as they have left. A later owner learns from the worker that it does not run the task, and restarts it. If the worker is
// silent by then, the task waits until the leases there have expired, which is why no other nominee is recorded.

// workerToStore returns the worker that the record of a task has to name: the one that runs it, or may start it soon.
func (t *task) workerToStore() WorkerID {
	if n := t.nomination; n.soon && t.pending() {
		return n.worker.info.ID
	}
	return t.storedWorker
}

// recordHandedOut records that a progress record of a job will be written. Until that is known to be stored, the store may name the former
// worker of a task or the new one.
func (j *job) recordHandedOut(p workload.Progress) {
	for _, sp := range p.Steps {
		st := j.step(sp.Occurrence, sp.Step)
		if st == nil || !st.spec.Service {
			continue
		}
		for _, tp := range sp.Tasks {
			if t := st.tasks[tp.Index]; string(t.recordedWorker) != tp.Worker {
				t.recordedWorker = ""
			}
		}
	}
}

// recordIntended has the record of a task written if it names another worker than it has to.
func (s *Scheduler) recordIntended(t *task) {
	if t.workerToStore() != t.recordedWorker {
		s.markRecordDirty(t)
	}
}
