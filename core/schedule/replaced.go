package schedule

import (
	"slices"
	"time"
)

// vanishedRetention is how long a worker that has vanished is remembered: its successor shows that it crashed.
const vanishedRetention = time.Minute

// vanishedWorker is a worker that was removed while it did not report.
type vanishedWorker struct {
	worker *worker
	at     time.Duration // when it was removed
}

// latestByAddress returns the listed worker of each address whose process started last. A process that has crashed comes
// back at its address under a new ID, and the platform lists both until the entry of the first one lapses.
func latestByAddress(infos []WorkerInfo) map[string]*WorkerInfo {
	latest := make(map[string]*WorkerInfo, len(infos))
	for i := range infos {
		info := &infos[i]
		if other := latest[info.Address]; other == nil || info.StartedMs > other.StartedMs {
			latest[info.Address] = info
		}
	}
	return latest
}

// supersedes reports whether a worker started later than another one at the same address, whose process has thus ended.
func (info *WorkerInfo) supersedes(other *WorkerInfo) bool {
	return info != nil && info.ID != other.ID && other.StartedMs > 0 && info.StartedMs > other.StartedMs
}

// removeSuperseded removes the workers whose process has ended because a later one has its address. What ran on them has
// ended as well, so its leases need not expire.
func (s *Scheduler) removeSuperseded(now Time, latest map[string]*WorkerInfo) {
	for _, w := range slices.Clone(s.sortedWorkers) {
		next := latest[w.info.Address]
		if !next.supersedes(&w.info) {
			continue
		}
		s.emit(Event{Kind: EventWorkerReplaced, Worker: w.info.ID, Reason: string(next.ID)})
		s.workerCrashed(now, w, next.StartedMs, noneSurvives)
		for _, a := range slices.Clone(w.attemptList) {
			s.drop(a)
		}
		s.removeWorker(w)
	}
	for id, v := range s.vanished {
		if next := latest[v.worker.info.Address]; next.supersedes(&v.worker.info) {
			s.workerCrashed(now, v.worker, next.StartedMs, noneSurvives)
			delete(s.vanished, id)
		} else if now.Boot-v.at > vanishedRetention {
			s.forgetSilent(v.worker)
			delete(s.vanished, id)
		}
	}
}

func noneSurvives(attemptKey) bool { return false }
