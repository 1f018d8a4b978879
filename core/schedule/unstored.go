package schedule

import (
	"maps"
	"slices"

	"fulmarcourse.example/core/workload"
)

// unstoredCrash is the crash of a worker's process that is on record for tasks, but not in the store yet. The store names
// the worker as silent for them. The process stays in the set of known workers until then: only with it can a later owner
// find the crash if this one is lost.
type unstoredCrash struct {
	info WorkerInfo
	jobs map[*job]struct{} // whose stored records name the worker as silent
}

// retainCrashed keeps the process of a worker that has crashed among the known workers until the crash is stored.
func (s *Scheduler) retainCrashed(w *worker) {
	id := w.info.ID
	if _, known := s.unstoredCrashes[id]; known {
		return
	}
	u := unstoredCrash{info: w.knownInfo(), jobs: map[*job]struct{}{}}
	for _, t := range s.silentOn[id] {
		u.jobs[t.step.job] = struct{}{}
	}
	if len(u.jobs) > 0 {
		s.unstoredCrashes[id] = u
		s.knownWorkersChanged = true
	}
}

// releaseCrashed drops the processes whose crash is stored with the progress of a job.
func (s *Scheduler) releaseCrashed(j *job, p workload.Progress) {
	for id, u := range s.unstoredCrashes {
		if namesSilent(p, id) {
			continue
		}
		delete(u.jobs, j)
		if len(u.jobs) == 0 {
			delete(s.unstoredCrashes, id)
			s.knownWorkersChanged = true
		}
	}
}

// namesSilent reports whether the progress of a job names a worker as silent.
func namesSilent(p workload.Progress, id WorkerID) bool {
	return slices.ContainsFunc(p.Steps, func(sp workload.StepProgress) bool {
		return slices.ContainsFunc(sp.Tasks, func(tp workload.TaskProgress) bool {
			return slices.ContainsFunc(tp.SilentOn, isWorker(id))
		})
	})
}

// addUnstoredCrashes adds the processes that have crashed to a list of known workers. If the next process has the same ID, one
// entry describes both: the crashed process by its start, everything else as it is now.
func (s *Scheduler) addUnstoredCrashes(infos []WorkerInfo) []WorkerInfo {
	for _, id := range slices.Sorted(maps.Keys(s.unstoredCrashes)) {
		info := s.unstoredCrashes[id].info
		if n := slices.IndexFunc(infos, func(other WorkerInfo) bool { return other.ID == id }); n >= 0 {
			infos[n].StartedMs = info.StartedMs
			continue
		}
		if w, known := s.workers[id]; known {
			started := info.StartedMs
			info = w.knownInfo()
			info.StartedMs = started
		}
		infos = append(infos, info)
	}
	return infos
}

// knownInfo returns the description of a worker that is stored for later owners. It names the process that has reported last:
// the list may show the next one first, and a crash in between would not be noticed. It says nothing about leases.
func (w *worker) knownInfo() WorkerInfo {
	info := w.info
	info.Address = w.address()
	info.LeaseRemaining, info.GrantedLease, info.FormerCalls = 0, 0, 0
	info.StartedMs = w.process().StartedMs
	return info
}
