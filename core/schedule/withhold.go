package schedule

import "time"

// A later owner need not wait anew for a worker that stays silent if nothing can have extended its leases since the wait was stored.
// So the relays are told to withhold the leases of a silent worker, its remaining wait is stored with the known workers, and leases are
// extended again only once the worker is stored without it.

const (
	// answerTime is the time after a takeover, or after the loss of a relay, in which workers that can be reached have answered. The
	// leases of others are withheld then; of a worker whose poll has failed, at once.
	answerTime = 500 * time.Millisecond
	// repeatTime is the time after a failed poll in which a worker that is slow for a moment answers the next poll. Its remaining lease is
	// stored afterwards, so that it needs no write before its leases are extended again.
	repeatTime = 300 * time.Millisecond
	// remainingStep is by how much the remaining lease has to be shorter than the stored one to be stored again. A later owner waits too
	// long by as much.
	remainingStep = 500 * time.Millisecond
	// minLeaseRemaining is stored for leases that have expired: 0 stands for a worker whose leases may be extended.
	minLeaseRemaining = time.Millisecond
)

// withholding is how far the withholding of a worker's leases has got.
type withholding struct {
	active   bool          // relays are told to extend no lease of the worker; they start nothing on it then
	marked   bool          // the remaining lease is to be stored; no relay has extended a lease since leaseEnd was set
	mayStore bool          // a set of known workers with the remaining lease was handed out and may be in the store
	last     time.Duration // remaining lease of the latest set; only if mayStore
}

// WithholdsLeases reports whether relays must extend no lease of a worker.
func (s *Scheduler) WithholdsLeases(id WorkerID) bool {
	w, known := s.workers[id]
	return known && (w.withheld.active || w.longerLeases.unstored())
}

// WithholdLeases decides for which workers the leases are withheld, and for which the remaining lease is stored. confirmed and
// collectedUpTo are as in Expire. withheldSince returns a boot time since which the present relay of a worker has certainly withheld its
// leases; 0 if there is none. A lease that was extended before was granted after an answer, which is among the results collected
// after that time.
func (s *Scheduler) WithholdLeases(now Time, confirmed bool, withheldSince, collectedUpTo func(WorkerID) time.Duration) {
	if !confirmed {
		return // the end of the withholding has to be stored, so none begins while the store may be away
	}
	for _, w := range s.sortedWorkers {
		if w.leasesExtended || now.Boot < w.withholdFrom {
			continue
		}
		if !w.withheld.active && w.stored && s.needsReport(w) {
			w.withheld.active = true
			s.assignmentsChanged = true
		}
		since := withheldSince(w.info.ID)
		if w.withheld.active && since > 0 && collectedUpTo(w.info.ID) > since && now.Boot-w.withholdFrom >= repeatTime {
			w.withheld.marked = true
		}
		if w.withheld.marked && s.needsReport(w) && w.remainingOutdated(now.Boot) {
			s.knownWorkersChanged = true
		}
	}
}

// TakeAssignmentsChanged reports whether relays have to be told anew since the last call: the leases of other workers are withheld, or a fencing
// token was raised.
func (s *Scheduler) TakeAssignmentsChanged() (changed bool) {
	changed = s.assignmentsChanged
	s.assignmentsChanged = false
	return changed
}

// withholdAt sets when the leases of a worker are withheld unless it answers, if they are not withheld by then. A poll that has failed
// before shows more than a later loss of the relay.
func (w *worker) withholdAt(at time.Duration) {
	if w.leasesExtended || w.withholdFrom == 0 || at < w.withholdFrom {
		w.withholdFrom = at
	}
}

// remainingLease returns how long task leases on a worker may last from a boot time on.
func (w *worker) remainingLease(now time.Duration) time.Duration {
	return max(w.leaseEnd-now, minLeaseRemaining)
}

// remainingOutdated reports whether the remaining lease has to be stored, or stored again.
func (w *worker) remainingOutdated(now time.Duration) bool {
	if !w.withheld.mayStore {
		return true
	}
	left := w.remainingLease(now)
	return w.withheld.last-left >= remainingStep || left == minLeaseRemaining && w.withheld.last > left
}

// recordExtended records that leases on a worker may be extended from now on, or were. Until the worker is stored without its
// remaining lease, they stay withheld.
func (s *Scheduler) recordExtended(w *worker) {
	w.leasesExtended, w.granted = true, true
	w.withheld.marked = false
	if !w.withheld.mayStore {
		s.assignmentsChanged = s.assignmentsChanged || w.withheld.active
		w.withheld.active = false
		return
	}
	if w.stored {
		w.stored = false
		s.index.markChanged(w)
	}
	s.knownWorkersChanged = true
}

// recordStored records that a worker is stored without a remaining lease: later owners wait for it as long as a lease may last.
func (s *Scheduler) recordStored(w *worker) {
	w.stored = true
	if w.longerLeases.unstored() {
		w.longerLeases.stored = true
		s.assignmentsChanged = true
	}
	if w.withheld.mayStore && !w.withheld.marked {
		w.withheld = withholding{}
		s.assignmentsChanged = true
	}
}

// inheritRemaining takes over the remaining lease that a former owner has stored for a worker, and the withholding with it. The value was
// right before begunAt, when that owner could still write.
func (w *worker) inheritRemaining(begunAt, remaining time.Duration) {
	w.leaseEnd = max(w.leaseEnd, begunAt+remaining)
	w.withheld = withholding{active: true, marked: true, mayStore: true, last: remaining}
}
