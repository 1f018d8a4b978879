package schedule

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Parameters of an owner past its processor limit and of a slow store.
const (
	// simMaxLateness is the longest time after its receipt by the relay at which a report is applied, and simMaxSkew the
	// longest by which a poll counts as sent too early, because the call that returned its report took long.
	simMaxLateness = 8 * time.Second
	simMaxSkew     = 800 * time.Millisecond
	simMaxStoring  = 3 * time.Second // longest duration of a write to a slow store
	simMaxOutage   = 8 * time.Second // longest time for which the store is down
	simConfirmed   = 1200 * time.Millisecond
)

// lateFaults are the faults of an owner that is past its processor limit and of a store that is slow or down. They use a source of
// random numbers of their own, so that the simulation without them does not depend on them.
type lateFaults struct {
	rnd         *rand.Rand
	behindUntil time.Duration // until when reports are applied late
	results     []lateResult  // in the order in which they are applied
	writing     *lateWrite    // nil unless a write is in progress
	outageUntil time.Duration
	validUntil  time.Duration // until when the store has confirmed the owner
}

// lateResult is a result of a poll that the relay holds for the owner.
type lateResult struct {
	worker   WorkerID      // empty once a later one supersedes it
	received time.Duration // when the relay received it, or the first of those that it supersedes
	at       time.Duration // when it is applied
	failed   bool
	fenced   bool          // the worker has rejected the poll; only with failed
	broken   bool          // the connection broke soon after an answer; only with failed
	granted  time.Duration // when the latest lease begins that the relay has granted, 0 if it has granted none; only with failed
	report   Report
}

// lateWrite is a write of progress in progress.
type lateWrite struct {
	term       int64
	records    []Record
	ends       map[WorkerID]lateEnd // to be acknowledged afterwards
	appliedAt  time.Duration        // when it takes effect, unless another owner has taken over
	doneAt     time.Duration        // when the owner gets the response
	lost       bool                 // the response is lost
	known      []WorkerInfo         // to be stored afterwards; only if knownDirty
	knownDirty bool
	applied    bool
}

// lateEnd is the newest end of a worker process that the owner had applied when a write began.
type lateEnd struct{ incarnation, number int64 }

// newLateFaultSim returns a simulation with lateFaults.
func newLateFaultSim(f *faultSim) *faultSim {
	f.late = &lateFaults{rnd: rand.New(rand.NewPCG(f.seed, 2)), validUntil: f.now + simConfirmed}
	return f
}

// advanceLate injects the faults of a step and applies the results and writes that are due.
func (f *faultSim) advanceLate() {
	l := f.late
	if l == nil {
		return
	}
	if f.injects() {
		if l.rnd.IntN(60) == 0 {
			l.behindUntil = f.now + time.Duration(l.rnd.Int64N(int64(10*time.Second)))
			f.logf("the owner is behind until %.1f", (l.behindUntil - time.Hour).Seconds())
		}
		if l.rnd.IntN(250) == 0 {
			l.outageUntil = f.now + time.Duration(l.rnd.Int64N(int64(simMaxOutage)))
			f.logf("the store is down until %.1f", (l.outageUntil - time.Hour).Seconds())
		}
	}
	if f.now >= l.outageUntil {
		l.validUntil = f.now + simConfirmed
	}
	f.applyLateResults()
	f.advanceWrite()
}

// confirmed reports whether the store has confirmed the owner.
func (f *faultSim) confirmed() bool { return f.late == nil || f.now < f.late.validUntil }

// permittedFor returns the time d from now, or LeaseGrantWindow after the store has confirmed the owner if that is earlier: leases are
// extended from no later time.
func (f *faultSim) permittedFor(d time.Duration) time.Duration {
	return min(f.now+d, f.confirmedAt()+LeaseGrantWindow)
}

// confirmedAt returns when the store has confirmed the owner last.
func (f *faultSim) confirmedAt() time.Duration {
	if f.late == nil {
		return f.now
	}
	return f.late.validUntil - simConfirmed
}

// storeDown reports whether the store cannot be reached.
func (f *faultSim) storeDown() bool { return f.late != nil && f.now < f.late.outageUntil }

// addResult passes the result of a poll to the owner, now or late. As in package relay, a report supersedes the earlier
// results of the same process that have not been applied.
func (f *faultSim) addResult(r lateResult) {
	l := f.late
	if l == nil {
		f.applyResult(r)
		return
	}
	r.received, r.at = f.now, f.now
	if f.now < l.behindUntil {
		r.at += time.Duration(l.rnd.Int64N(int64(simMaxLateness)))
	}
	r.report.SentAt -= time.Duration(l.rnd.Int64N(int64(simMaxSkew)))
	for n, other := range l.results {
		if other.worker != r.worker {
			continue
		}
		r.received, r.at = min(r.received, other.received), min(r.at, other.at)
		if !r.failed && (other.failed && !other.broken || !other.failed && other.report.Incarnation == r.report.Incarnation) {
			l.results[n].worker = "" // superseded
		}
	}
	l.results = slices.DeleteFunc(l.results, func(other lateResult) bool { return other.worker == "" })
	for n, other := range l.results {
		if f.evidence != nil && other.worker == r.worker {
			l.results[n].at = r.at // the owner collects the results of a worker together, in their order
		}
	}
	l.results = append(l.results, r)
}

func (f *faultSim) applyLateResults() {
	due := slices.Clone(f.late.results)
	f.late.results = slices.DeleteFunc(f.late.results, func(r lateResult) bool { return f.now >= r.at })
	for _, r := range due {
		if f.now >= r.at {
			f.applyResult(r)
		}
	}
}

func (f *faultSim) applyResult(r lateResult) {
	if r.broken {
		f.s.ConnectionBroken(f.time(), r.worker)
	}
	if r.fenced {
		f.s.PollFenced(f.time(), r.worker)
	}
	if r.failed {
		f.s.PollFailed(f.time(), r.worker, Grant{At: r.granted, Lease: testLease})
		return
	}
	f.s.Report(f.time(), r.worker, r.report)
}

// collectedUpTo returns the time up to which the results of all polls of a worker have been applied.
func (f *faultSim) collectedUpTo(id WorkerID) time.Duration {
	if f.late == nil {
		return f.now
	}
	upTo := f.now
	for _, r := range f.late.results {
		if r.worker == id {
			upTo = min(upTo, r.received-1)
		}
	}
	return upTo
}

// dropResults drops the results of a worker that its relay still holds.
func (f *faultSim) dropResults(id WorkerID) {
	if f.late != nil {
		f.late.results = slices.DeleteFunc(f.late.results, func(r lateResult) bool { return r.worker == id })
	}
}

// beginWrite takes a batch as package dispatch does: the records that have changed, and the ends that they include.
func (f *faultSim) beginWrite() {
	l := f.late
	if l.writing != nil || f.storeDown() {
		return
	}
	w := &lateWrite{term: f.term, records: f.s.Changed(), ends: map[WorkerID]lateEnd{}}
	for _, worker := range f.s.sortedWorkers {
		w.ends[worker.info.ID] = lateEnd{worker.incarnation, worker.lastEnd}
	}
	if f.known != nil {
		w.known, w.knownDirty = f.takeKnown()
	}
	w.appliedAt = f.now
	if f.injects() {
		w.appliedAt += time.Duration(l.rnd.Int64N(int64(simMaxStoring)))
		w.lost = l.rnd.IntN(6) == 0
	}
	w.doneAt = w.appliedAt + simStep
	l.writing = w
}

// advanceWrite applies the write in progress and passes its response to the owner. The write of a former owner fails.
func (f *faultSim) advanceWrite() {
	w := f.late.writing
	if w == nil {
		return
	}
	if w.term != f.term {
		f.late.writing = nil
		return
	}
	if !w.applied && f.now >= w.appliedAt {
		w.applied = true
		for _, r := range w.records {
			f.stored[r.Job] = r.Progress
		}
	}
	if f.now < w.doneAt {
		return
	}
	f.late.writing = nil
	if w.lost {
		return
	}
	if w.knownDirty {
		f.writeKnown(w.known)
	}
	for _, r := range w.records {
		f.s.MarkStored(f.time(), r)
	}
	for _, worker := range f.workers {
		id := worker.info.ID
		if end := w.ends[id]; f.polled[id] && end.incarnation == f.identified[id].incarnation {
			f.acknowledge(worker, end.number)
		}
	}
}

// resetLate drops what a former owner and its relays held.
func (f *faultSim) resetLate() {
	if f.late != nil {
		f.late.results, f.late.writing = nil, nil
		f.late.validUntil = f.now + simConfirmed
	}
}
