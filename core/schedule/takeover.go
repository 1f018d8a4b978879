package schedule

import "fulmarcourse.example/core/workload"

// InheritWorkers names the workers that a former owner may have used. Tasks of inherited jobs start only when each of
// them has reported or its task leases have certainly expired: the former owner extends leases for at most
// Config.HandoverSilence after it has lost its ownership.
func (s *Scheduler) InheritWorkers(now Time, infos []WorkerInfo) {
	s.inheritedAt = now.Boot
	for _, info := range infos {
		w, known := s.workers[info.ID]
		if !known {
			w = newWorker(info)
			w.unlistedAt = now.Boot
			s.addWorker(w)
		}
		w.recorded = true
		w.leaseEnd = max(w.leaseEnd, now.Boot+s.cfg.HandoverGrace+s.cfg.leaseBound())
		s.askFirst[info.ID] = true
	}
}

// TakeoverComplete reports whether it is known where all attempts of former owners are.
func (s *Scheduler) TakeoverComplete() bool { return len(s.askFirst) == 0 }

// KnownWorkers returns the workers that a later owner has to ask, and whether the set has changed since the last call.
func (s *Scheduler) KnownWorkers() (infos []WorkerInfo, changed bool) {
	changed = s.roster
	s.roster = false
	infos = make([]WorkerInfo, 0, len(s.order))
	for _, w := range s.order {
		if w.retired() {
			w.recorded = false
			continue
		}
		infos = append(infos, w.info)
	}
	return infos, changed
}

// retired reports whether nothing runs on a worker that will leave, and nothing more will be started there. A later
// owner would wait in vain for its report.
func (w *worker) retired() bool {
	return w.info.Draining && len(w.attempts) == 0 && len(w.strays) == 0
}

// KnownWorkersStored notes that a later owner will find these workers, so that they may get tasks.
func (s *Scheduler) KnownWorkersStored(infos []WorkerInfo) {
	for _, info := range infos {
		if w, known := s.workers[info.ID]; known {
			w.recorded = true
		}
	}
}

// KnownWorkersNotStored notes that the roster was not stored.
func (s *Scheduler) KnownWorkersNotStored() { s.roster = true }

// Workers returns all workers that have to be looked at.
func (s *Scheduler) Workers() []WorkerInfo {
	infos := make([]WorkerInfo, 0, len(s.order))
	for _, w := range s.order {
		infos = append(infos, w.info)
	}
	return infos
}

// HasServicesAndFillers reports whether service tasks and filler tasks share a worker, which is then looked at more often.
func (s *Scheduler) HasServicesAndFillers(id WorkerID) bool {
	w, known := s.workers[id]
	return known && w.services > 0 && w.fillerCPU > 0
}

// RemoveJob forgets a job that has ended.
func (s *Scheduler) RemoveJob(id workload.JobID) {
	delete(s.dirty, s.jobs[id])
	delete(s.jobs, id)
}

// JobsEndedBefore returns the jobs that reached a stored final state before a Unix millisecond and have no attempts left.
func (s *Scheduler) JobsEndedBefore(unixMs int64) []workload.JobID {
	var ids []workload.JobID
	for id, j := range s.jobs {
		if _, dirty := s.dirty[j]; j.state.Final() && !dirty && j.attempts == 0 && j.endedMs < unixMs {
			ids = append(ids, id)
		}
	}
	return ids
}

// Worker returns what a worker says of itself.
func (s *Scheduler) Worker(id WorkerID) (WorkerInfo, bool) {
	w, known := s.workers[id]
	if !known {
		return WorkerInfo{}, false
	}
	return w.info, true
}

// HasJob reports whether a job was added.
func (s *Scheduler) HasJob(id workload.JobID) bool {
	_, known := s.jobs[id]
	return known
}
