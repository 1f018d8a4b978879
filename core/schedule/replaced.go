package schedule

import (
	"slices"
	"time"

	"fulmarcourse.example/core/workload"
)

// vanishedRetention is how long a worker that has vanished is remembered: its successor shows that it crashed.
const vanishedRetention = time.Minute

// vanishedWorker is a worker that was removed while it did not report.
type vanishedWorker struct {
	worker *worker
	at     time.Duration // when it was removed
}

// place is where the processes of one worker follow each other. An entry of another pool at the address says nothing about the
// worker: it may come from another writer.
type place struct {
	address string
	pool    workload.PoolName
}

func (info *WorkerInfo) place() place { return place{info.Address, info.Pool} }

// latestByPlace returns the listed worker of each place whose process started last. A process that has crashed comes back at
// its address under a new ID, and the platform lists both until the entry of the first one lapses.
func latestByPlace(infos []WorkerInfo) map[place]*WorkerInfo {
	latest := make(map[place]*WorkerInfo, len(infos))
	for i := range infos {
		info := &infos[i]
		if other := latest[info.place()]; other == nil || info.StartedMs > other.StartedMs {
			latest[info.place()] = info
		}
	}
	return latest
}

// supersedes reports whether a worker started later than another one at the same place, whose process has thus ended.
func (info *WorkerInfo) supersedes(other *WorkerInfo) bool {
	return info != nil && info.ID != other.ID && other.StartedMs > 0 && info.StartedMs > other.StartedMs
}

// removeSuperseded removes the workers whose process has ended because a later one has their place. What ran on them has
// ended as well, so its leases need not expire.
func (s *Scheduler) removeSuperseded(now Time, latest map[place]*WorkerInfo) {
	for _, w := range slices.Clone(s.sortedWorkers) {
		next := latest[w.info.place()]
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
		if next := latest[v.worker.info.place()]; next.supersedes(&v.worker.info) {
			s.workerCrashed(now, v.worker, next.StartedMs, noneSurvives)
			delete(s.vanished, id)
		} else if now.Boot-v.at > vanishedRetention {
			s.forgetSilent(v.worker)
			delete(s.vanished, id)
		}
	}
}

func noneSurvives(attemptKey) bool { return false }
