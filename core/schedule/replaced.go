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

// placeSettled is the time after a change of a worker's address in the list after which a report certainly comes from the new one.
// The address of a live worker does not change; another writer may change its entry until the worker writes it again.
const placeSettled = 2 * time.Second

// recordPlace records where the process that has just reported listens.
func (w *worker) recordPlace(sentAt time.Duration) {
	if w.placeChangedAt == 0 || sentAt >= w.placeChangedAt+placeSettled {
		w.reportedPlace = w.info.place()
	}
}

// place returns where the worker's process listens or has listened: as far as is known from its reports, else from the list.
func (w *worker) place() place {
	if w.reportedPlace != (place{}) {
		return w.reportedPlace
	}
	return w.info.place()
}

// latestByPlace returns the worker of each place whose process started last, among those that have reported. A process that has
// crashed comes back at its address under a new ID, and the platform lists both until the entry of the first one lapses. Only a
// report proves that: polls name the worker that they are meant for, and no other process answers them. An entry alone may come
// from another writer.
func (s *Scheduler) latestByPlace() map[place]*worker {
	latest := make(map[place]*worker, len(s.sortedWorkers))
	for _, w := range s.sortedWorkers {
		if w.reports == 0 || w.reportedPlace == (place{}) {
			continue
		}
		if other := latest[w.reportedPlace]; other == nil || w.incarnation > other.incarnation {
			latest[w.reportedPlace] = w
		}
	}
	return latest
}

// supersedes reports whether the process of a worker, which has reported, started later than that of another worker at the same
// place, which has thus ended.
func (w *worker) supersedes(id WorkerID, startedMs int64) bool {
	return w != nil && w.info.ID != id && startedMs > 0 && w.incarnation > startedMs
}

// recordContested records the places that more than one worker has or had.
func (s *Scheduler) recordContested() {
	clear(s.contested)
	seen := make(map[place]bool, len(s.sortedWorkers))
	add := func(p place) {
		if seen[p] {
			s.contested[p] = true
		}
		seen[p] = true
	}
	for _, w := range s.sortedWorkers {
		add(w.place())
	}
	for _, v := range s.vanished {
		add(v.worker.place())
	}
}

// removeSuperseded removes the workers whose process has ended because a later one has their place. What ran on them has
// ended as well, so its leases need not expire.
func (s *Scheduler) removeSuperseded(now Time, latest map[place]*worker) {
	for _, w := range slices.Clone(s.sortedWorkers) {
		next := latest[w.place()]
		if !next.supersedes(w.info.ID, w.process().StartedMs) {
			continue
		}
		s.emit(Event{Kind: EventWorkerReplaced, Worker: w.info.ID, Reason: string(next.info.ID)})
		s.workerCrashed(now, w, next.incarnation, 0, noneSurvives)
		for _, a := range slices.Clone(w.attemptList) {
			s.drop(a)
		}
		s.removeWorker(w)
	}
	for id, v := range s.vanished {
		if next := latest[v.worker.place()]; next.supersedes(id, v.worker.process().StartedMs) {
			s.workerCrashed(now, v.worker, next.incarnation, 0, noneSurvives)
			delete(s.vanished, id)
		} else if now.Boot-v.at > vanishedRetention {
			s.forgetSilent(v.worker)
			delete(s.vanished, id)
		}
	}
}

func noneSurvives(attemptKey) bool { return false }
