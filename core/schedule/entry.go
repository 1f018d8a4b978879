package schedule

import (
	"slices"
	"time"

	"fulmarcourse.example/core/structs"
)

// Answers of a worker say nothing about its kind, size, pool and data centre; its entry in the platform's list does. An entry names the
// start of the process that it describes. One that names another start than the process which answers is that of the next process,
// that of a former one, or comes from another writer. A poll that the process answers although it was sent after the entry was read
// excludes the first case, since a worker starts again under its ID only once its process has ended. The latest entry of the
// process itself then holds: its kind, pool and data centre do not change while it runs. What may change meanwhile is taken from both
// entries, whichever allows less. A process whose own entry has never been read gets no task.

// entries are the entries of a worker in the platform's list.
type entries struct {
	latest     WorkerInfo
	own        WorkerInfo    // the latest one of the process that has answered last; only if its start is that of the process
	otherSince time.Duration // since when the list has named latest.StartedMs, which is not the start of that process
}

// recordEntry records the latest entry of a worker.
func (w *worker) recordEntry(now time.Duration, info WorkerInfo) {
	if info.StartedMs != w.entries.latest.StartedMs {
		w.entries.otherSince = now
	}
	w.entries.latest = info
	w.recordOwnEntry()
}

// recordOwnEntry keeps the latest entry if it is that of the process that has answered last.
func (w *worker) recordOwnEntry() {
	if w.incarnation > 0 && w.entries.latest.StartedMs == startOf(w.incarnation) {
		w.entries.own = w.entries.latest
	}
}

// describesOther reports whether an entry describes another process of the worker than the one that has answered last. The two may be
// of different kind, size, pool or data centre.
func (w *worker) describesOther(info *WorkerInfo) bool {
	return info.StartedMs > 0 && w.incarnation > 0 && info.StartedMs != startOf(w.incarnation)
}

// validEntry returns the entry that decides what may start on the worker. It is not that of the process that answers if none is known to
// be.
func (w *worker) validEntry() WorkerInfo {
	e := &w.entries
	if !w.describesOther(&e.latest) || w.describesOther(&e.own) || e.own.StartedMs == 0 || w.polledAt <= e.otherSince {
		return e.latest
	}
	info := e.own
	info.Address = e.latest.Address // polled once the worker does not answer where it has answered last
	info.Capacity = smaller(e.own.Capacity, e.latest.Capacity)
	if e.latest.Draining {
		info.Draining, info.Remaining = true, e.latest.Remaining
	}
	return info
}

// smaller returns the smaller amount of each resource.
func smaller(a, b structs.Resources) structs.Resources {
	return structs.Resources{
		MilliCPU: min(a.MilliCPU, b.MilliCPU), MemoryBytes: min(a.MemoryBytes, b.MemoryBytes), Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// reviewEntry applies the valid entry of a worker that has reported.
func (s *Scheduler) reviewEntry(now time.Duration, w *worker) {
	w.recordOwnEntry()
	if w.listed && (w.describesOther(&w.entries.latest) || w.describesOther(&w.info)) {
		s.applyEntry(now, w)
	}
}

// applyEntry applies the valid entry of a listed worker.
func (s *Scheduler) applyEntry(now time.Duration, w *worker) {
	info := w.validEntry()
	if info.Draining && (!w.info.Draining || w.listedAt == 0) {
		w.leavesAt = now + info.Remaining
		s.emit(Event{Kind: EventWorkerDraining, Worker: info.ID})
	}
	if info.Draining != w.info.Draining || info.StartedMs != w.info.StartedMs {
		s.knownWorkersChanged = true
	}
	if !slices.Equal(w.info.Labels, info.Labels) {
		s.index.remove(w)
	}
	if w.answeredAddress == "" && info.Address != w.info.Address {
		w.stored = false // it may be stored with the former address
		s.knownWorkersChanged = true
	}
	if info.Capacity != w.info.Capacity {
		w.full = fullBackOff{}
	}
	w.info = info
	s.index.markChanged(w)
}
