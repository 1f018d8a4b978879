package schedule

import (
	"slices"
	"time"
)

// A poll or a start names the end of a lease on the clock of the process that it is meant for. The next process of the worker has the same
// ID, but another clock: it shortens the lease only to the longest one that it grants, and such a call may reach it long after it was
// sent, as long as anything reaches it. So the leases of a process that has taken the place of another one may last longer than others.

// formerCallsStep is the accuracy of the stored time, so that it is not written again with each change of the known workers.
const formerCallsStep = time.Second

// formerCalls says how long leases of a worker may last because of calls to its former processes.
type formerCalls struct {
	leasesEnd time.Duration // when these leases have certainly expired; 0 if there are none
	handedOut bool          // a set of known workers with them was handed out to be stored
	foundAt   time.Duration // when the process that gets these calls was found, or has answered this owner first
	longer    bool          // they may last longer than leases that owners grant
	covered   bool          // a later owner waits for as long in any case, so that they need not be stored
	settled   bool          // they are not stored any more
}

// calledAddress is an address to which timed calls for a former process of a worker were sent.
type calledAddress struct {
	address string
	until   time.Duration // boot time up to which such a call may be carried out
}

// recordFormerCalls records how long the leases of a process that now reports for the first time to this owner may last because of calls to
// former ones. A process gets only those that were sent to its address. Without a fencing token in the report its relay is of a former version,
// which cannot raise it.
func (s *Scheduler) recordFormerCalls(now time.Duration, w *worker, report Report) {
	address := report.Address
	callsEnd := s.formerCallsEnd(now, w)
	if address != "" && w.answeredAddress != "" && address != w.answeredAddress {
		callsEnd = w.leaveAddress(now, callsEnd, address)
		if callsEnd == 0 {
			return
		}
	}
	w.leaseEnd = max(w.leaseEnd, now+s.cfg.longestLeaseBound())
	end := callsEnd + s.cfg.longestLeaseBound()
	if end <= now+s.cfg.leaseBound() {
		return // a later owner waits for as long in any case
	}
	w.formerCalls = formerCalls{leasesEnd: max(w.formerCalls.leasesEnd, end), foundAt: now, longer: s.RaisesFences()}
	if callsEnd > now && report.Fence > 0 {
		s.raiseFence(w)
	}
	w.stored = false // until a later owner knows of it
	s.knownWorkersChanged = true
	s.index.markChanged(w)
}

// leaveAddress records until when calls to the address at which the worker has answered may be carried out, and returns until when those to
// its next address may, which were sent to an earlier process there; 0 if there are none.
func (w *worker) leaveAddress(now, until time.Duration, next string) (nextUntil time.Duration) {
	w.calledAddresses = slices.DeleteFunc(w.calledAddresses, func(c calledAddress) bool { return c.until <= now })
	for _, c := range w.calledAddresses {
		if c.address == next {
			nextUntil = max(nextUntil, c.until)
		}
	}
	w.calledAddresses = append(w.calledAddresses, calledAddress{w.answeredAddress, until})
	return nextUntil
}

// formerCallsEnd returns until when timed calls to the former process of a worker may be carried out. Those of former owners have no effect
// once the present process has answered a poll of this one.
func (s *Scheduler) formerCallsEnd(now time.Duration, w *worker) time.Duration {
	if _, vanished := s.vanished[w.info.ID]; !w.granted && !vanished {
		return now
	}
	return now + s.cfg.CallDelay // relays of this owner may have sent some until now
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

// leaseEnd returns when the leases that calls to former processes have extended have certainly expired, if none has reached the worker since
// a boot time.
func (c formerCalls) leaseEnd(cfg Config, reachedUntil time.Duration) time.Duration {
	return min(reachedUntil+cfg.longestLeaseBound(), c.leasesEnd)
}

// last reports whether leases that calls to former processes have extended may last.
func (c formerCalls) last(now time.Duration) bool { return now < c.leasesEnd }

// remaining returns for how long such leases may last, rounded up; 0 if there are none for which a later owner would not wait in any case.
func (c formerCalls) remaining(now time.Duration) time.Duration {
	if c.covered || !c.last(now) {
		return 0
	}
	return (c.leasesEnd - now + formerCallsStep - 1).Truncate(formerCallsStep)
}

// storedWith reports whether the stored description of a worker tells a later owner of such leases.
func (c formerCalls) storedWith(info WorkerInfo) bool {
	return c.leasesEnd == 0 || c.handedOut && (c.covered || info.FormerCalls > 0)
}
