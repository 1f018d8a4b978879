package schedule

import "fulmarcourse.example/core/workload"

// InheritWorkers adds the workers that a former owner may have used. Tasks of inherited jobs start only when each of
// these workers has listed all that runs and has ended there, or its task leases have certainly expired.
func (s *Scheduler) InheritWorkers(now Time, infos []WorkerInfo) {
	s.takeoverAt = now.Boot
	begunAt := s.cfg.begunAt(now.Boot)
	s.knownWorkersChanged = true
	for _, info := range infos {
		w, known := s.workers[info.ID]
		if !known {
			w = newWorker(info, s.index)
			w.unlistedAt = now.Boot
			s.addWorker(w)
		}
		w.stored = true
		w.withholdFrom = now.Boot + answerTime
		w.answeredAddress = info.Address
		w.incarnation = info.StartedMs
		s.inheritLeases(begunAt, w, info)
		s.awaitingReport[info.ID] = true
	}
}

// InheritUnknown records that a former owner may have used further workers, which are not known. Every worker that is listed
// before their task leases have certainly expired counts as one of them. What is not known may also be a later description of an
// inherited worker, without its remaining lease.
func (s *Scheduler) InheritUnknown(now Time) {
	s.takeoverAt = now.Boot
	s.unknownUntil = s.cfg.begunAt(now.Boot) + s.cfg.inheritedBound(0)
	s.unknownLeasesUntil = max(s.unknownLeasesUntil, s.unknownUntil)
	for id := range s.awaitingReport {
		w := s.workers[id]
		w.leaseEnd = max(w.leaseEnd, s.unknownUntil)
	}
}

// inheritListed makes a worker that is listed for the first time an inherited one while it may be one of those that are not known.
func (s *Scheduler) inheritListed(w *worker) {
	if s.unknownUntil > 0 {
		w.leaseEnd = s.unknownUntil
		s.awaitingReport[w.info.ID] = true
	}
}

// TakeoverComplete reports whether all attempts of former owners are known or have certainly expired.
func (s *Scheduler) TakeoverComplete() bool { return len(s.awaitingReport) == 0 && s.unknownUntil == 0 }

// mayRunOn reports whether a former owner may have started a task on a worker that has not reported, or not listed all ends yet.
func (s *Scheduler) mayRunOn(id WorkerID) bool {
	_, known := s.workers[id]
	return s.awaitingReport[id] || s.unknownUntil > 0 && id != "" && !known
}

// KnownWorkersChanged reports whether the set of known workers may have changed since it was last returned.
func (s *Scheduler) KnownWorkersChanged() bool { return s.knownWorkersChanged }

// KnownWorkers returns the workers from which a later owner needs a report if the set may have changed since the last call. The
// caller stores all sets in their order, or the latest.
func (s *Scheduler) KnownWorkers() (infos []WorkerInfo, changed bool) {
	changed = s.knownWorkersChanged
	s.knownWorkersChanged = false
	if !changed {
		return nil, false
	}
	infos = make([]WorkerInfo, 0, len(s.sortedWorkers))
	for _, w := range s.sortedWorkers {
		if !s.needsReport(w) {
			w.stored = false
			continue
		}
		infos = append(infos, s.infoWithLeases(max(s.calledAt, s.takeoverAt), w))
	}
	return s.addUnstoredCrashes(infos), changed
}

// needsReport reports whether a later owner needs a report of a worker: tasks run on it or may start on it. None has been started
// on a worker that has not answered since this owner knows it or since its leases have certainly expired, unless a former owner
// has. A worker that may have crashed stays known as well, so that its crash is noticed, and so does one whose token is to be raised.
func (s *Scheduler) needsReport(w *worker) bool {
	return (w.answers || w.fence.wanted > w.fence.offset || s.awaitingReport[w.info.ID] || len(s.silentOn[w.info.ID]) > 0) && !s.drained(w)
}

// drained reports whether a draining worker certainly runs nothing more. No task is started on it, and a later owner that
// waits for its report would be delayed until its leases expire.
func (s *Scheduler) drained(w *worker) bool {
	return w.info.Draining && len(w.attempts) == 0 && len(w.orphans) == 0 && !s.awaitingReport[w.info.ID]
}

// stopAwaiting records that all attempts of former owners on a worker are known or have certainly expired.
func (s *Scheduler) stopAwaiting(w *worker) {
	if s.awaitingReport[w.info.ID] {
		delete(s.awaitingReport, w.info.ID)
		w.endsAwaited = false
		s.index.markChanged(w)
		s.knownWorkersChanged = true
	}
}

// setAnswers records whether a worker answers.
func (s *Scheduler) setAnswers(w *worker, answers bool) {
	if w.answers != answers {
		w.answers = answers
		s.knownWorkersChanged = true
	}
}

// KnownWorkersStored records that the workers are stored for a later owner with the addresses at which they have answered, so that they
// may get tasks, that leases of those stored without a remaining lease may be extended again, that raised tokens may be used, and that calls to
// former processes are stored no more.
func (s *Scheduler) KnownWorkersStored(infos []WorkerInfo) {
	for _, info := range infos {
		w, known := s.workers[info.ID]
		if !known {
			continue
		}
		s.useFence(w, info.FenceOffset)
		w.formerCalls.settled = w.formerCalls.covered && info.FormerCalls == 0
		if info.LeaseRemaining == 0 && info.Address == w.address() && w.leasesStoredWith(info) &&
			(!w.stored || w.withheld.active) {
			s.recordStored(w)
			s.index.markChanged(w)
		}
	}
}

// Workers returns all workers that have to be polled.
func (s *Scheduler) Workers() []WorkerInfo {
	infos := make([]WorkerInfo, 0, len(s.sortedWorkers))
	for _, w := range s.sortedWorkers {
		infos = append(infos, w.info)
	}
	return infos
}

// AnsweredAddress returns where a worker has answered last, "" if that is not known.
func (s *Scheduler) AnsweredAddress(id WorkerID) string {
	if w, known := s.workers[id]; known {
		return w.answeredAddress
	}
	return ""
}

// Services returns the number of service tasks on a worker.
func (s *Scheduler) Services(id WorkerID) int {
	if w, known := s.workers[id]; known {
		return w.services
	}
	return 0
}

// RemoveJob removes a job that has ended.
func (s *Scheduler) RemoveJob(id workload.JobID) {
	s.releaseCrashed(s.jobs[id], workload.Progress{})
	delete(s.dirty, s.jobs[id])
	delete(s.jobs, id)
}

// Worker returns the description of a worker in the platform's list.
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
