package schedule

// recordCrash logs that the process of a worker has ended, with the attempts that ran on it.
func (s *Scheduler) recordCrash(now Time, w *worker) {
	for _, a := range w.attemptList {
		if a.phase == awaitingStore {
			continue
		}
		e := a.event(EventAttemptCrashed)
		e.Value = a.listedFor().Seconds()
		s.emit(e)
	}
}

// findReplaced finds the workers at whose address the platform lists a worker that started later: a process that has
// crashed comes back at its address under a new ID.
func (s *Scheduler) findReplaced(now Time, infos []WorkerInfo) {
	latest := make(map[string]*WorkerInfo, len(infos))
	for i := range infos {
		info := &infos[i]
		if other := latest[info.Address]; other == nil || info.StartedMs > other.StartedMs {
			latest[info.Address] = info
		}
	}
	for _, w := range s.sortedWorkers {
		next := latest[w.info.Address]
		if w.replaced || next == nil || next.ID == w.info.ID || w.info.StartedMs == 0 || next.StartedMs <= w.info.StartedMs {
			continue
		}
		w.replaced = true
		s.emit(Event{Kind: EventWorkerReplaced, Worker: w.info.ID, Reason: string(next.ID)})
		s.recordCrash(now, w)
	}
}
