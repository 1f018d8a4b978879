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

// recordAddress records where the process that has just reported listens. Nothing starts there before the address is stored: a later
// owner that knows the former one only would take the process for ended once another worker answers at that address.
func (s *Scheduler) recordAddress(w *worker, address string) {
	if address == "" || address == w.answeredAddress {
		return
	}
	w.stored = w.stored && address == w.address()
	w.answeredAddress = address
	s.knownWorkersChanged = true
}

// address returns where the worker's process listens or has listened: where it has answered, else what the list says. The list may
// name another address before the worker answers there, and another writer may change the entry of a live worker.
func (w *worker) address() string {
	if w.answeredAddress != "" {
		return w.answeredAddress
	}
	return w.info.Address
}

// place returns where the worker's process listens or has listened.
func (w *worker) place() place { return place{w.address(), w.info.Pool} }

// listedElsewhere reports whether the list names another address than the one at which the worker has answered.
func (w *worker) listedElsewhere() bool { return w.listed && w.info.Address != w.address() }

// latestByPlace returns the worker of each place that has answered there last, among those that have reported. A process that has
// crashed comes back at its address under a new ID, and the platform lists both until the entry of the first one lapses. Only a
// report proves that: polls name the worker that they are meant for, and no other process answers them. An entry alone may come
// from another writer. The latest process is the one whose answered poll was sent last, not the one with the latest start: the clock of the
// machine may have been set back.
func (s *Scheduler) latestByPlace() map[place]*worker {
	latest := make(map[place]*worker, len(s.sortedWorkers))
	for _, w := range s.sortedWorkers {
		if w.reports == 0 || w.answeredAddress == "" {
			continue
		}
		if other := latest[w.place()]; other == nil || w.polledAt > other.polledAt || (w.polledAt == other.polledAt && w.incarnation > other.incarnation) {
			latest[w.place()] = w
		}
	}
	return latest
}

// successor returns the worker whose process has replaced that of an entry of the list, given the latest worker of each place; nil if
// none has, or if that worker no longer answers. In the latter case the entry may be of the next process at the address: its start is
// lower if the clock of the machine was set back. Polling it shows that, since no other process answers.
func (s *Scheduler) successor(now time.Duration, info WorkerInfo, latest map[place]*worker) *worker {
	if w, known := s.workers[info.ID]; known && w.answeredAddress != "" {
		return nil // removeSuperseded removes it if its process has ended
	}
	if next := latest[info.place()]; next.supersedes(info.ID, info.StartedMs) && next.reachable(now) {
		return next
	}
	return nil
}

// supersedes reports whether the process of a worker, which has reported, started later than that of another worker at the same
// place, which has thus ended.
func (w *worker) supersedes(id WorkerID, startedMs int64) bool {
	return w != nil && w.info.ID != id && startedMs > 0 && startOf(w.incarnation) > startedMs
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
// ended as well, so its leases need not expire. A worker that the list shows elsewhere may have started again there and run tasks
// of a former owner, so it stays until it answers or its leases expire.
func (s *Scheduler) removeSuperseded(now Time, latest map[place]*worker) {
	for _, w := range slices.Clone(s.sortedWorkers) {
		next := latest[w.place()]
		if w.listedElsewhere() || !next.supersedes(w.info.ID, w.process().StartedMs) {
			continue
		}
		if w.answeredAddress == "" && !next.reachable(now.Boot) {
			continue // see successor
		}
		s.emit(Event{Kind: EventWorkerReplaced, Worker: w.info.ID, Reason: string(next.info.ID)})
		s.workerCrashed(now, w, startOf(next.incarnation), 0, noneSurvives)
		for _, a := range slices.Clone(w.attemptList) {
			s.drop(a)
		}
		s.removeWorker(w)
	}
	for id, v := range s.vanished {
		if next := latest[v.worker.place()]; next.supersedes(id, v.worker.process().StartedMs) {
			s.workerCrashed(now, v.worker, startOf(next.incarnation), 0, noneSurvives)
			delete(s.vanished, id)
		} else if now.Boot-v.at > vanishedRetention {
			s.forgetSilent(v.worker)
			delete(s.vanished, id)
		}
	}
}

func noneSurvives(attemptKey) bool { return false }
