package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
)

// Scheduler holds the jobs and workers of one owner. It is not safe for concurrent use.
type Scheduler struct {
	cfg                 Config
	jobs                map[workload.JobID]*job
	workers             map[WorkerID]*worker
	sortedWorkers       []*worker // sorted by ID, so that decisions do not depend on map order
	index               *workerIndex
	fillerSearch        fillerSearch  // the latest one
	fillerSearches      int           // number of searches in the latest planning run
	fillerPass          int           // number of the current pass of searches, see maxFillerSearches
	incomplete          bool          // the latest planning run ended before all steps were tried
	listReadAt          time.Duration // time of the last call of SetWorkers; 0 before the first
	queuePools          map[workload.QueueName]QueuePool
	evacuated           map[structs.DatacentreID]bool
	openSteps           map[*step]struct{}               // steps that may start tasks
	pendingSteps        map[*step]struct{}               // all open steps with pending tasks, and some others; see stepsByUrgency
	compareSteps        func(now Time, a, b *step) int   // order in which steps get capacity
	stopping            map[*attempt]struct{}            // attempts that have to end
	scannedAt           time.Duration                    // when all attempts were last scanned for moves and copies
	calledAt            time.Duration                    // time of the latest call that may end attempts
	plannedAt           Time                             // time of the latest planning run
	restarts            Restarts                         // since the last call of TakeRestarts
	startsBeside        ServiceNeeds                     // the starts since the last call of TakeServiceNeeds
	neededAtPlan        map[workload.PoolName]*poolNeeds // at the beginning of the latest planning run
	orders              []Order                          // issued since the last call of TakeOrders
	events              []Event
	awaitingReport      map[WorkerID]bool  // workers that a former owner may have used and that have not reported, or not listed all ends yet
	takeoverAt          time.Duration      // when the takeover began
	unknownUntil        time.Duration      // until when workers that are not known may run tasks of former owners; 0 if all are known
	unknownLeasesUntil  time.Duration      // until when leases of former owners may last that are longer than those of this one; 0 if there are none
	knownWorkersChanged bool               // the set of known workers has changed since it was last stored
	assignmentsChanged  bool               // see TakeAssignmentsChanged
	removedFences       map[WorkerID]fence // of workers that are removed and whose token is above the term
	interference        *interference
	retention           retentionClock
	throttledFrom       int                         // position of the worker with which the next search for a throttled filler begins
	dirty               map[*job]struct{}           // jobs whose progress has changed since it was stored
	earlyCancels        map[workload.JobID]Time     // cancellations of jobs that have not been added yet, by arrival
	suspects            map[*task]struct{}          // tasks with crashes on record
	breaks              []connectionBreak           // of the last breakRetention
	gaps                map[WorkerID]gap            // the latest of each worker, in the last breakRetention
	silentOn            map[WorkerID][]*task        // by worker, the tasks whose silentOn names it
	vanished            map[WorkerID]vanishedWorker // removed while they did not report
	contested           map[place]bool              // places of several workers, see latestByPlace
	replacedEntries     map[WorkerID]replacedEntry  // of the latest list
	unstoredCrashes     map[WorkerID]unstoredCrash
	vacated             map[workload.PoolName]int64 // by pool, thousandths of a core that ended services have left and none has taken since
	nominationPass      int                         // number of the current pass of nominations, see maxNominations
	nominateFrom        int                         // position in sortedWorkers from which fitsSoonest continues
	nominees            map[*task]struct{}          // displaced tasks for which capacity is kept on a worker
	foreseen            foreseenRestarts
	placesGivenUp       bool // since displaced tasks were last nominated, a service has begun to be stopped or a nominee has left its worker
}

// earlyCancelRetention is how long a cancellation waits for its job. Both are stored before they are announced, so the
// owner finds the job in the store within a few seconds.
const earlyCancelRetention = 30 * time.Second

// NewScheduler returns a scheduler without jobs and workers.
func NewScheduler(cfg Config) *Scheduler {
	return &Scheduler{
		cfg:            cfg,
		fillerPass:     1,
		nominationPass: 1,
		jobs:           map[workload.JobID]*job{},
		workers:        map[WorkerID]*worker{},
		index:          newWorkerIndex(),
		evacuated:      map[structs.DatacentreID]bool{},
		openSteps:      map[*step]struct{}{},
		pendingSteps:   map[*step]struct{}{},
		compareSteps:   compareByResponse,
		stopping:       map[*attempt]struct{}{},
		awaitingReport: map[WorkerID]bool{},
		removedFences:  map[WorkerID]fence{},
		dirty:          map[*job]struct{}{},
		interference:   newInterference(),
		earlyCancels:   map[workload.JobID]Time{},
		suspects:       map[*task]struct{}{},
		silentOn:       map[WorkerID][]*task{},
		vanished:       map[WorkerID]vanishedWorker{},
		gaps:           map[WorkerID]gap{},
		contested:      map[place]bool{},

		unstoredCrashes: map[WorkerID]unstoredCrash{},
		replacedEntries: map[WorkerID]replacedEntry{},
		vacated:         map[workload.PoolName]int64{},
		nominees:        map[*task]struct{}{},
	}
}

// AddJob adds an accepted job. A job that a former owner may have started is inherited: its tasks wait until the
// takeover is complete. progress is nil when nothing was stored. A job that was added before is not changed.
func (s *Scheduler) AddJob(rec workload.Job, progress *workload.Progress, inherited bool) {
	if _, known := s.jobs[rec.ID]; known {
		return
	}
	j := newJob(rec)
	j.inherited = inherited
	s.jobs[rec.ID] = j
	for _, st := range j.steps {
		st.imageIndex = s.interference.imageIndex(st.spec)
	}
	if progress != nil {
		j.restore(*progress)
		j.endedMs = s.inheritedEndMs(progress.EndedMs)
	}
	if j.state.Final() {
		return
	}
	s.followQueue(j)
	s.recordInherited(j)
	for _, st := range j.steps {
		s.openStep(st)
	}
	if arrived, cancelled := s.earlyCancels[rec.ID]; cancelled {
		delete(s.earlyCancels, rec.ID)
		s.finish(arrived, j, workload.StateCancelled)
	}
}

// AddEndedJob adds a job that ended under a former owner. Only its state is kept.
func (s *Scheduler) AddEndedJob(id workload.JobID, progress workload.Progress) {
	if _, known := s.jobs[id]; !known {
		s.jobs[id] = &job{rec: workload.Job{ID: id}, state: progress.State, endedMs: s.inheritedEndMs(progress.EndedMs)}
	}
}

// openStep makes the tasks of a step startable once all steps that it depends on are done.
func (s *Scheduler) openStep(st *step) {
	if st.unmetDeps == 0 && st.unfinished > 0 && !st.job.state.Final() {
		st.openedAt = s.calledAt
		s.openSteps[st] = struct{}{}
		s.pendingSteps[st] = struct{}{}
	}
}

// Cancel cancels a job. The cancellation of a job that has not been added takes effect when it is added: the
// announcement of a cancellation may overtake that of its job.
func (s *Scheduler) Cancel(now Time, id workload.JobID) {
	j, known := s.jobs[id]
	if !known {
		s.earlyCancels[id] = now
		return
	}
	if !j.state.Final() {
		s.finish(now, j, workload.StateCancelled)
	}
}

// CancelUnstored cancels a job whose cancellation was stored before its final state. Until a final state other than
// cancelled is stored, the job was shown as running, so the state may still change.
func (s *Scheduler) CancelUnstored(now Time, id workload.JobID) {
	j, known := s.jobs[id]
	if !known || j.state == workload.StateCancelled {
		return
	}
	if _, unstored := s.dirty[j]; j.state.Final() && !unstored {
		return
	}
	s.finish(now, j, workload.StateCancelled)
}

// expireEarlyCancels drops cancellations whose job was not added in time.
func (s *Scheduler) expireEarlyCancels(now Time) {
	for id, arrived := range s.earlyCancels {
		if now.Boot-arrived.Boot > earlyCancelRetention {
			delete(s.earlyCancels, id)
		}
	}
}

// finish sets the final state of a job and stops its attempts.
func (s *Scheduler) finish(now Time, j *job, state workload.State) {
	j.state = state
	j.endedMs = s.RetentionClock(now.Boot)
	s.markDirty(j)
	for _, st := range j.steps {
		delete(s.openSteps, st)
		for _, t := range st.tasks {
			delete(s.suspects, t)
			for _, a := range slices.Clone(t.attempts) {
				s.stop(now.Boot, a)
			}
		}
	}
}

// markDirty records that the progress of a job has to be stored.
func (s *Scheduler) markDirty(j *job) { s.dirty[j] = struct{}{} }

// stop orders the worker of an attempt to end it, unless the order was confirmed or was sent a short time ago. To a worker
// that does not report the order is sent once; resolveAbsent repeats it when the worker reports again.
func (s *Scheduler) stop(now time.Duration, a *attempt) {
	if a.phase == awaitingStore {
		s.drop(a) // its start was never ordered
		return
	}
	if a.stopConfirmedAt > 0 {
		return
	}
	if a.stopSentAt > 0 && (now-a.stopSentAt < a.stopResendAfter || !a.worker.reachable(now)) {
		return
	}
	a.stopResendAfter = min(max(2*a.stopResendAfter, resendAfter), maxResendAfter)
	if a.phase != stopping {
		a.stoppedInTime = !a.worker.suspect
		a.stoppingSince = now
		s.recordStopping(a)
	}
	a.phase = stopping
	s.stopping[a] = struct{}{}
	a.stopSentAt = now
	s.orders = append(s.orders, a.order(OrderStop))
}

// SetEvacuated replaces the set of data centres in which no task may start.
func (s *Scheduler) SetEvacuated(datacentres []structs.DatacentreID) {
	clear(s.evacuated)
	for _, dc := range datacentres {
		s.evacuated[dc] = true
	}
	s.index.refreshed = 0
}

// SetWorkers replaces the platform's list of workers. It is also called with an unchanged list that is known to be current.
func (s *Scheduler) SetWorkers(now Time, infos []WorkerInfo) {
	s.calledAt = now.Boot
	s.listReadAt = now.Boot
	latest := s.latestByPlace()
	s.removeSuperseded(now, latest)
	listed := make(map[WorkerID]bool, len(infos))
	for _, info := range infos {
		if next := s.successor(now.Boot, info, latest); next != nil {
			s.recordReplaced(now.Boot, info, next.info.ID)
			continue
		}
		listed[info.ID] = true
		s.updateListed(now.Boot, info)
	}
	for id, w := range s.workers {
		if !listed[id] && w.listed {
			w.listed = false
			w.unlistedAt = now.Boot
		}
	}
	s.recordContested()
	s.sampleUse(now.Boot)
}

// updateListed adds or updates a worker of the platform's list.
func (s *Scheduler) updateListed(now time.Duration, info WorkerInfo) {
	w, known := s.workers[info.ID]
	if !known {
		w = newWorker(info, s.index)
		s.addWorker(w)
		s.inheritListed(w)
	}
	w.recordEntry(now, info)
	s.applyEntry(now, w)
	w.listed = true
	if !w.describesOther(&info) {
		w.listedAt = now
	}
}

func (s *Scheduler) addWorker(w *worker) {
	s.workers[w.info.ID] = w
	w.fence = s.removedFences[w.info.ID]
	n, _ := slices.BinarySearchFunc(s.sortedWorkers, w.info.ID, func(other *worker, id WorkerID) int {
		return cmp.Compare(other.info.ID, id)
	})
	s.sortedWorkers = slices.Insert(s.sortedWorkers, n, w)
}

// removeWorker removes a worker that has left.
func (s *Scheduler) removeWorker(w *worker) {
	delete(s.workers, w.info.ID)
	s.keepFence(w)
	s.index.remove(w)
	delete(s.awaitingReport, w.info.ID)
	s.giveUpForeseenPlaces(w)
	s.sortedWorkers = slices.DeleteFunc(s.sortedWorkers, func(other *worker) bool { return other == w })
	s.knownWorkersChanged = true
}

// TakeOrders returns the orders issued since the last call and clears them.
func (s *Scheduler) TakeOrders() []Order {
	orders := s.orders
	s.orders = nil
	return orders
}

// JobState returns the state of a job. Until a completed or failed state is stored, the job is shown as running, so
// that no later owner reverts a state that was shown.
func (s *Scheduler) JobState(id workload.JobID) (workload.State, bool) {
	j, known := s.jobs[id]
	if !known {
		return "", false
	}
	if _, dirty := s.dirty[j]; dirty && j.state.Final() && j.state != workload.StateCancelled {
		return workload.StateRunning, true
	}
	return j.state, true
}

// PendingJobs returns the number of accepted jobs of a queue of which no task has started.
func (s *Scheduler) PendingJobs(queue workload.QueueName) int {
	n := 0
	for _, j := range s.jobs {
		if j.rec.Queue.Name == queue && j.state == workload.StatePending {
			n++
		}
	}
	return n
}

// Counts holds totals of a partition for logs and metrics. Processor time is in thousandths of a core; a total beyond the range
// of its type is the limit of the range, since entries of the platform may state any capacity.
type Counts struct {
	Jobs, Workers, Available  int
	Services, Fillers, Others int   // attempts by kind of step
	Pending, PendingFillers   int   // tasks that could start
	Capacity, Reserved        int64 // of available workers
	FillerDemand, FillerUse   int64
	ServicesOverTarget        int // services above their tail latency target
	FillersThrottled          int
	LongestServiceWait        time.Duration // of the pending service tasks that ran before
	ListAge                   time.Duration // since the platform's list of workers was read; before the first time since the takeover
	Unstored                  int           // listed workers that do not drain and are not in the stored set of known workers
	Awaited                   int           // workers of a former owner that have not reported yet
	Foreseen, ForeseenNowhere int           // services that have to be restarted unless silent workers answer, and those of them without a place
}

// Counts returns the totals.
func (s *Scheduler) Counts(now Time) Counts {
	c := Counts{Jobs: len(s.jobs), Workers: len(s.workers), LongestServiceWait: s.longestServiceWait(now.Boot),
		ListAge: now.Boot - max(s.listReadAt, s.takeoverAt), Awaited: len(s.awaitingReport)}
	for _, w := range s.sortedWorkers {
		if w.available(now.Boot) {
			c.Available++
			c.Capacity = addLimited(c.Capacity, w.info.Capacity.MilliCPU)
			c.Reserved = addLimited(c.Reserved, w.reserved.MilliCPU)
		}
		if w.listed && !w.stored && !w.info.Draining { // a drained worker leaves the set
			c.Unstored++
		}
		c.FillerDemand = addLimited(c.FillerDemand, w.fillerCPU)
		for _, a := range w.attemptList {
			c.countAttempt(a)
		}
	}
	c.Foreseen, c.ForeseenNowhere = s.foreseen.counts()
	for st := range s.openSteps {
		c.Pending += st.pending
		if st.spec.Filler {
			c.PendingFillers += st.pending
		}
	}
	return c
}

func (c *Counts) countAttempt(a *attempt) {
	switch {
	case a.filler():
		c.Fillers++
		c.FillerUse = addLimited(c.FillerUse, limitedInt(a.metric))
		if a.share < fullShare {
			c.FillersThrottled++
		}
	case a.task.step.spec.Service:
		c.Services++
		if a.tailKnown() && a.tailRatio() > 1 {
			c.ServicesOverTarget++
		}
	default:
		c.Others++
	}
}

// addLimited returns the sum of a and b, or the limit of the range that it exceeds.
func addLimited(a, b int64) int64 {
	switch {
	case b > 0 && a > math.MaxInt64-b:
		return math.MaxInt64
	case b < 0 && a < math.MinInt64-b:
		return math.MinInt64
	}
	return a + b
}

// limitedInt converts a number that a worker has reported; 0 if it is not a number. The conversion of a number beyond the
// range differs between processors.
func limitedInt(f float64) int64 {
	switch {
	case math.IsNaN(f):
		return 0
	case f >= math.MaxInt64:
		return math.MaxInt64
	case f <= math.MinInt64:
		return math.MinInt64
	}
	return int64(f)
}
