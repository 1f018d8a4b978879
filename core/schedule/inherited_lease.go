package schedule

import "time"

// What is stored with a known worker tells a later owner for how long its task leases may last: as long as the longest lease that an owner
// may have granted, what calls to its former processes may have added, or what remains of leases that are withheld.

// inheritedLease is the longest lease that former owners may have granted on a worker.
type inheritedLease struct {
	lease time.Duration // 0 if that is not known
	until time.Duration // boot time at which all such leases have certainly expired; 0 for a worker that was not inherited
}

// longerLeases says whether leases of a worker may be longer than Config.TaskLease.
type longerLeases struct {
	recorded bool // the relay of the worker grants such leases, or one of this owner did
	stored   bool // the stored description of the worker leaves open how long its leases are, so that later owners wait for the longest
}

// unstored reports whether a later owner would not wait for as long as the leases may last.
func (l longerLeases) unstored() bool { return l.recorded && !l.stored }

// inheritLeases takes over what a former owner has stored about the leases of a worker, before the term has begun.
func (s *Scheduler) inheritLeases(begunAt time.Duration, w *worker, info WorkerInfo) {
	w.inherited = inheritedLease{info.GrantedLease, begunAt + s.cfg.inheritedBound(info.GrantedLease)}
	w.longerLeases.stored = info.GrantedLease == 0
	if info.GrantedLease == 0 || info.GrantedLease > s.cfg.TaskLease {
		s.unknownLeasesUntil = max(s.unknownLeasesUntil, w.inherited.until)
	}
	s.inheritFence(w, info)
	if info.FormerCalls > 0 {
		w.formerCalls = formerCalls{leasesEnd: begunAt + info.FormerCalls, handedOut: true, longer: s.RaisesFences()}
	}
	if info.LeaseRemaining > 0 {
		w.inheritRemaining(begunAt, info.LeaseRemaining)
		return
	}
	w.leaseEnd = max(w.leaseEnd, w.inherited.until, w.formerCalls.leaseEnd(s.cfg, begunAt+s.cfg.HandoverGrace))
}

// RecordTaskLease records the longest lease that the relay of a worker grants; 0 if it does not tell, as relays of former versions. It is
// called before the relay is permitted to extend leases of the worker. Longer leases than Config.TaskLease are withheld, and nothing starts on
// the worker, until a later owner knows of them.
func (s *Scheduler) RecordTaskLease(id WorkerID, lease time.Duration) {
	w, known := s.workers[id]
	if !known || w.longerLeases.recorded || lease > 0 && lease <= s.cfg.TaskLease {
		return
	}
	w.longerLeases.recorded = true
	if w.longerLeases.stored {
		return
	}
	w.stored = false
	s.assignmentsChanged = true
	s.knownWorkersChanged = true
	s.index.markChanged(w)
}

// LongerLeasesUnstored reports whether the relay of a worker grants leases for which a later owner would not wait.
func (s *Scheduler) LongerLeasesUnstored(id WorkerID) bool {
	w, known := s.workers[id]
	return known && w.longerLeases.unstored()
}

// grantedLease returns the longest lease that an owner may have granted on a worker; 0 if that is not known.
func (s *Scheduler) grantedLease(now time.Duration, w *worker) time.Duration {
	switch {
	case w.longerLeases.recorded:
		return 0
	case now >= s.unknownLeasesUntil, w.inherited.lease > 0 && w.inherited.lease <= s.cfg.TaskLease:
		return s.cfg.TaskLease
	case now < w.inherited.until:
		return w.inherited.lease
	}
	return 0
}

// infoWithLeases returns the description of a known worker that is handed out to be stored.
func (s *Scheduler) infoWithLeases(now time.Duration, w *worker) WorkerInfo {
	info := w.knownInfo()
	info.GrantedLease = s.grantedLease(now, w)
	if info.GrantedLease > 0 {
		w.longerLeases.stored = false
	}
	info.FormerCalls = w.formerCalls.remaining(now)
	info.FenceOffset = w.fence.wanted
	w.formerCalls.handedOut = true
	if w.withheld.marked {
		info.LeaseRemaining = w.remainingLease(now)
		w.withheld.mayStore, w.withheld.last = true, info.LeaseRemaining
	}
	return info
}

// leasesStoredWith reports whether the stored description of a worker tells a later owner of all leases that may last longer than
// Config.TaskLease, and of the fencing token.
func (w *worker) leasesStoredWith(info WorkerInfo) bool {
	return w.formerCalls.storedWith(info) && info.FenceOffset >= w.fence.wanted && (!w.longerLeases.recorded || info.GrantedLease == 0)
}

// expireFormerLeases has the known workers stored again once leases of former owners, or those that calls to former processes have
// extended, have certainly expired.
func (s *Scheduler) expireFormerLeases(now time.Duration) {
	if s.unknownLeasesUntil > 0 && now >= s.unknownLeasesUntil {
		s.unknownLeasesUntil = 0
		s.knownWorkersChanged = true
	}
	for _, w := range s.sortedWorkers {
		if c := &w.formerCalls; c.leasesEnd > 0 && !c.covered && c.leasesEnd <= now+s.cfg.leaseBound() {
			c.covered = true
			s.knownWorkersChanged = true
		}
		if w.formerCalls.leasesEnd > 0 && !w.formerCalls.last(now) {
			w.formerCalls = formerCalls{}
			s.knownWorkersChanged = true
		}
	}
}
