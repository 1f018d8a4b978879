package schedule

import (
	"slices"
	"time"
)

// Polls extend the task leases of a worker. The scheduler records until when they may last, and treats what runs on a worker that does
// not answer as running until then.

// PollFailed records that a worker did not answer a poll, and the latest lease that its relay has granted. Until its next report its task
// leases are no longer extended. If the relay does not tell when the lease begins, it counts from now, as the longest one.
func (s *Scheduler) PollFailed(now Time, id WorkerID, granted Grant) {
	if granted.At == 0 || granted.At > now.Boot {
		granted = Grant{At: now.Boot}
	}
	if w, known := s.workers[id]; known {
		w.becomeUnclear()
		s.recordGap(now.Boot, w)
		w.stopExtending(s.cfg, granted)
		s.recordSilence(now, w)
	}
}

// PollerLost records that the connection to the process that polls a worker is lost. That process may still grant leases of the worker,
// up to the given one, even if no report has arrived over that connection: it may have been lost. Those of a worker whose remaining lease
// is to be stored are not extended by that process either.
func (s *Scheduler) PollerLost(id WorkerID, last Grant) {
	w, known := s.workers[id]
	if !known {
		return
	}
	w.suspect = true
	w.becomeUnclear()
	s.recordGap(s.calledAt, w)
	w.renumberEnds()
	if !w.withheld.marked {
		w.leasesExtended = true
		w.stopExtending(s.cfg, last)
	}
}

// LeasesPermitted records that task leases of a worker may be granted, up to the given one, by a process that polls it no longer for
// this owner, or has not stopped yet.
func (s *Scheduler) LeasesPermitted(id WorkerID, last Grant) {
	if w, known := s.workers[id]; known {
		w.leaseEnd = max(w.leaseEnd, last.end(s.cfg))
	}
}

// ReportsLost records that reports of a worker may be lost, and with them the evidence that its leases were extended, unless they are
// certainly withheld.
func (s *Scheduler) ReportsLost(id WorkerID) {
	w, known := s.workers[id]
	if !known {
		return
	}
	w.becomeUnclear()
	s.recordGap(s.calledAt, w)
	if !w.withheld.marked {
		s.recordExtended(w)
	}
}

// LeasesEnd returns the boot time from which all task leases of a worker have certainly expired; bounded is false while they are
// extended.
func (s *Scheduler) LeasesEnd(id WorkerID) (end time.Duration, bounded bool) {
	w, known := s.workers[id]
	if !known || w.leasesExtended {
		return 0, false
	}
	return w.leaseEnd, true
}

// stopExtending records that no lease on the worker follows the given one, unless the worker reports again.
func (w *worker) stopExtending(cfg Config, last Grant) {
	if w.leasesExtended {
		w.grantedAt = max(w.grantedAt, last.At)
		w.leaseEnd = max(w.leaseEnd, last.end(cfg))
	}
	w.leasesExtended = false
	w.suspect = true
}

// Expire ends the attempts on unreachable workers whose task leases have certainly expired, and removes workers that
// have left. confirmed states that the store has confirmed the ownership up to now. Without it nothing expires: a later
// owner may have extended the leases of workers that this one does not reach. collectedUpTo returns the boot time up to which
// the results of all polls of a worker have been applied. A worker may have answered after that, and its leases may have been
// extended, even if they would have expired by now.
func (s *Scheduler) Expire(now Time, confirmed bool, collectedUpTo func(WorkerID) time.Duration) {
	s.calledAt = now.Boot
	s.expireFormerLeases(now.Boot)
	if !confirmed {
		return
	}
	if now.Boot >= s.unknownUntil {
		s.unknownUntil = 0
	}
	var expired []*worker
	for _, w := range s.sortedWorkers {
		if !w.leasesExtended && !w.reachable(now.Boot) && now.Boot >= w.leaseEnd && collectedUpTo(w.info.ID) >= w.leaseEnd {
			expired = append(expired, w)
		}
	}
	for _, w := range expired {
		s.stopAwaiting(w)
		s.setAnswers(w, false)
		for _, a := range slices.Clone(w.attemptList) {
			s.emit(a.event(EventAttemptExpired))
			if a.certainlyRan() {
				w.expired = append(w.expired, expiredAttempt{a.task, a.listedFor(), a.mayHaveStopped(), a.mayEndUnobserved()})
			}
			s.drop(a)
		}
		for key := range w.orphans {
			w.removeOrphan(key)
		}
		if !w.listed && now.Boot-w.unlistedAt > listingGrace {
			s.vanished[w.info.ID] = vanishedWorker{w, now.Boot}
			s.removeWorker(w)
		}
	}
}
