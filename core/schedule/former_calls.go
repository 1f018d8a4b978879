package schedule

import "time"

// A poll or a start names the end of a lease on the clock of the process that it is meant for. The next process of the worker has the same
// ID, but another clock: it shortens the lease only to the longest one that it grants, and it may carry out such a call long after it was
// sent. So the leases of a process that has taken the place of another one may last longer than those of any other.

// formerCallsStep is the accuracy of the stored time, so that it is not written again with each change of the known workers.
const formerCallsStep = time.Second

// formerCalls says how long leases of a worker may last because of calls to its former processes.
type formerCalls struct {
	leasesEnd time.Duration // when these leases have certainly expired; 0 if there are none
	handedOut bool          // a set of known workers with them was handed out to be stored
}

// recordFormerCalls records how long the leases of a process that now reports for the first time to this owner, from an address, may last
// because of calls to the former one. One that listens elsewhere does not get them.
func (s *Scheduler) recordFormerCalls(now time.Duration, w *worker, address string) {
	if address != "" && w.answeredAddress != "" && address != w.answeredAddress {
		return
	}
	end := s.formerCallsEnd(now, w) + s.cfg.longestLeaseBound()
	w.leaseEnd = max(w.leaseEnd, end)
	if end <= now+s.cfg.leaseBound() {
		return // a later owner waits for as long in any case
	}
	w.formerCalls = formerCalls{leasesEnd: max(w.formerCalls.leasesEnd, end)}
	w.stored = false // until a later owner knows of it
	s.knownWorkersChanged = true
	s.index.markChanged(w)
}

// formerCallsEnd returns until when timed calls to the former process of a worker may be carried out. Those of former owners have no effect
// once the present process has answered a poll of this one.
func (s *Scheduler) formerCallsEnd(now time.Duration, w *worker) time.Duration {
	_, vanished := s.vanished[w.info.ID]
	switch {
	case vanished, w.leasesExtended:
		return now + s.cfg.CallDelay // relays of this owner may have sent some until now
	case w.reportedAt == 0:
		return now
	}
	return min(w.grantedAt, now) + s.cfg.CallDelay
}

// mayReplaceFormer reports whether a process that reports for the first time to this owner may be the next one of a process to which
// timed calls were sent, although the worker is new to it.
func (s *Scheduler) mayReplaceFormer(now time.Duration, w *worker, incarnation int64) bool {
	if w.incarnation != 0 {
		return false
	}
	if v, vanished := s.vanished[w.info.ID]; vanished {
		return v.worker.incarnation != incarnation
	}
	return s.cfg.Term > 1 && now-s.takeoverAt < s.cfg.CallDelay
}

// last reports whether leases that calls to former processes have extended may last.
func (c formerCalls) last(now time.Duration) bool { return now < c.leasesEnd }

// remaining returns for how long such leases may last, rounded up; 0 if there are none.
func (c formerCalls) remaining(now time.Duration) time.Duration {
	if !c.last(now) {
		return 0
	}
	return (c.leasesEnd - now + formerCallsStep - 1).Truncate(formerCallsStep)
}

// storedWith reports whether the stored description of a worker tells a later owner of such leases.
func (c formerCalls) storedWith(info WorkerInfo) bool {
	return c.leasesEnd == 0 || c.handedOut && info.FormerCalls > 0
}
