package schedule

import (
	"slices"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
)

// WorkerID identifies a worker. A worker that crashed may return under the same ID.
type WorkerID string

// WorkerInfo describes a worker as the platform lists it. It is stored as JSON without tags, so the names of its fields
// are part of the stored format.
type WorkerInfo struct {
	ID         WorkerID
	Address    string // IP:port
	Datacentre structs.DatacentreID
	Pool       workload.PoolName
	Labels     []string // kind and rack of the worker
	Capacity   structs.Resources
	StartedMs  int64         // start of the worker process, Unix milliseconds; 0 if unknown
	Draining   bool          // it will leave and gets no new tasks
	Remaining  time.Duration // minimum time until it leaves; only with Draining

	// LeaseRemaining is how long its task leases may still last, while no relay extends them. Only of known workers; 0 if they may be
	// extended. It is right for the time at which the set of known workers was made, and too long afterwards.
	LeaseRemaining time.Duration

	// GrantedLease is the longest task lease that an owner may have granted. Only of known workers; 0 if that is not known, as from owners
	// of former versions.
	GrantedLease time.Duration

	// FormerCalls is how long its task leases may last at least, since calls to its former processes may have extended them. Only of known
	// workers; 0 if they have not. It is right for the same time as LeaseRemaining, and too long afterwards.
	FormerCalls time.Duration

	// FenceOffset is what owners add to their term for the fencing token of calls to the worker, see fence.go. Only of known workers.
	FenceOffset int64
}

// worker is the scheduler's view of one worker.
type worker struct {
	info             WorkerInfo    // the valid one of its entries
	entries          entries       // only if it has been listed
	listed           bool          // it is in the platform's list
	listedAt         time.Duration // when an entry was last read that describes no other process, see entries; 0 if none has been
	unlistedAt       time.Duration // when it was first missing from the platform's list; only if not listed
	leavesAt         time.Duration // earliest time at which it leaves; only with info.Draining
	stored           bool          // it is in the stored set of known workers, so that a later owner waits for its report
	answeredAddress  string        // where it has answered last, to this owner or a former one; empty if it has not
	incarnation      int64         // of the process that has reported last, see Report; 0 before the first report
	polledAt         time.Duration // when the poll was sent whose report was applied last
	reportedAt       time.Duration // when the last report was received; 0 before the first
	reports          int64         // number of reports that were applied
	answers          bool          // it has reported, and its leases have not certainly expired since
	leasesExtended   bool          // its task leases are being extended
	leaseEnd         time.Duration // unless leasesExtended: when every task lease on the worker has certainly expired
	granted          bool          // relays of this owner may have granted leases on it
	withheld         withholding
	withholdFrom     time.Duration // unless leasesExtended: when its leases are withheld if it has not answered by then
	formerCalls      formerCalls
	fence            fence
	calledAddresses  []calledAddress // of former processes that listened elsewhere
	inherited        inheritedLease
	longerLeases     longerLeases
	lastEnd          int64              // number of the latest end that was applied
	listedEnds       map[listedEnd]bool // in the last report
	listedAllEnds    bool               // the last report listed every end that was not acknowledged
	endsAwaited      bool               // it has reported, but not yet listed all ends of attempts of former owners
	appliedEnds      map[listedEnd]bool // ends of the process that were applied before their numbers counted anew, see renumberEnds
	suspect          bool               // a poll or an order has failed since the last report
	silence          silence            // since the last report
	brokenAt         time.Duration      // when its connection broke; only with silence == broken
	gapFreeSince     time.Duration      // since when it has answered without a gap, see crash_watch.go; 0 while it does not
	full             fullBackOff
	unhealthyUntil   time.Duration    // end of the back-off after it has reported itself unhealthy
	expired          []expiredAttempt // since the last report
	attempts         map[attemptKey]*attempt
	attemptList      []*attempt // the attempts in the order in which they were added
	orphans          map[attemptKey]*orphan
	reserved         structs.Resources // reserved by attempts and orphans
	fillerCPU        int64             // demand of filler tasks, thousandths of a core
	serviceReserved  structs.Resources // reserved by service tasks
	serviceStopping  structs.Resources // the part of serviceReserved that is being stopped
	fillersThrottled bool              // a filler runs below full speed
	throttledAt      time.Duration     // when fillers were last throttled
	pausedAt         time.Duration     // when fillers were last paused
	spedUpAt         time.Duration     // when fillers were last sped up
	fillersIdleSince time.Duration     // since when all fillers on the worker have been idle; 0 while one runs
	services         int               // number of service attempts
	nominees         []*task           // displaced tasks for which capacity is kept
	foreseen         keptPlaces        // which first starts of services leave free
	servicesByImage  map[int]int       // number of service attempts by image index
	pressures        []float64         // by filler image, see pressureOn; reset when a service starts or ends
	pressuresAt      time.Duration     // refresh of the interference model that pressures belong to
	health           health
	slowness         slowness
	stability        stability
	unusedSince      time.Duration // when it was first seen to be listed as sound and not used; 0 while it is not
	index            *workerIndex  // of the scheduler
	indexed          indexKeys     // the keys under which the index holds the worker
	indexedLabels    []string      // the labels under which the index holds the worker
	indexStale       bool          // the keys may have changed
}

type attemptKey struct {
	task   workload.TaskID
	number int64
}

// orphan is an attempt that runs on a worker although the scheduler has no use for it.
type orphan struct {
	key        attemptKey
	reserved   structs.Resources
	stopSentAt time.Duration // when the latest stop order was sent; 0 if it has to be sent again
	listedIn   int64         // number of the report of the worker that last listed it
}

func newWorker(info WorkerInfo, index *workerIndex) *worker {
	return &worker{
		info:            info,
		index:           index,
		attempts:        map[attemptKey]*attempt{},
		servicesByImage: map[int]int{},
		orphans:         map[attemptKey]*orphan{},
	}
}

// free returns the capacity that is not reserved.
func (w *worker) free() structs.Resources { return w.info.Capacity.Sub(w.reserved) }

// overCommitted reports whether more is reserved than the worker has: its capacity may shrink while it runs.
func (w *worker) overCommitted() bool { return !structs.Resources{}.Fits(w.free()) }

// fullBackOff is the time in which a worker gets no tasks because it has rejected some for lack of capacity.
type fullBackOff struct {
	until  time.Duration
	length time.Duration // of the latest back-off; doubles while rejections follow each other
}

// extend starts a back-off unless one is in progress: starts that were sent together are rejected together.
func (b *fullBackOff) extend(now time.Duration) {
	if now < b.until {
		return
	}
	b.length = min(max(2*b.length, noCapacityBackOff), maxNoCapacityBackOff)
	b.until = now + b.length
}

// reachable reports whether the worker has reported recently.
func (w *worker) reachable(now time.Duration) bool {
	return w.reportedAt > 0 && now-w.reportedAt < unreachableAfter
}

// available reports whether the worker may get new tasks and was not lost recently.
func (w *worker) available(now time.Duration) bool { return w.accepts(now) && now >= w.stability.until }

// accepts reports whether the worker is expected to accept new tasks.
func (w *worker) accepts(now time.Duration) bool {
	return w.gone(now) == Suitable && w.refuses(now) == Suitable
}

// hasLabel reports whether the worker has a label; every worker has the empty label.
func (w *worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.info.Labels, label)
}

// add adds an attempt and reserves its capacity.
func (w *worker) add(a *attempt) {
	w.index.markChanged(w)
	w.attempts[a.key()] = a
	w.attemptList = append(w.attemptList, a)
	spec := a.task.step.spec
	w.reserved = w.reserved.Add(spec.Reserved())
	switch {
	case spec.Filler:
		w.fillerCPU += spec.Size.MilliCPU
	case spec.Service:
		w.pressures = nil
		w.serviceReserved = w.serviceReserved.Add(spec.Reserved())
		w.servicesByImage[a.task.step.imageIndex]++
		w.services++
	}
}

// remove removes an attempt and releases its capacity.
func (w *worker) remove(a *attempt) {
	if w.attempts[a.key()] != a {
		return
	}
	w.index.markChanged(w)
	delete(w.attempts, a.key())
	w.attemptList = slices.DeleteFunc(w.attemptList, func(other *attempt) bool { return other == a })
	spec := a.task.step.spec
	w.reserved = w.reserved.Sub(spec.Reserved())
	switch {
	case spec.Filler:
		w.fillerCPU -= spec.Size.MilliCPU
	case spec.Service:
		w.pressures = nil
		w.serviceReserved = w.serviceReserved.Sub(spec.Reserved())
		if a.phase == stopping {
			w.serviceStopping = w.serviceStopping.Sub(spec.Reserved())
		}
		w.servicesByImage[a.task.step.imageIndex]--
		w.services--
	}
}

// addOrphan adds an attempt that has to be stopped and reserves its capacity.
func (w *worker) addOrphan(key attemptKey, reserved structs.Resources) {
	w.index.markChanged(w)
	w.orphans[key] = &orphan{key: key, reserved: reserved}
	w.reserved = w.reserved.Add(reserved)
}

func (w *worker) removeOrphan(key attemptKey) {
	if o, known := w.orphans[key]; known {
		w.index.markChanged(w)
		w.reserved = w.reserved.Sub(o.reserved)
		delete(w.orphans, key)
	}
}
