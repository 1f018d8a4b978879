package schedule

import (
	"cmp"
	"slices"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
)

// Scheduler holds the jobs and workers of one owner. It is not safe for concurrent use.
type Scheduler struct {
	cfg         Config
	jobs        map[workload.JobID]*job
	workers     map[WorkerID]*worker
	order       []*worker // workers by id, for decisions that do not depend on map order
	evacuated   map[structs.DatacentreID]bool
	open        map[*step]struct{}    // steps that may start tasks
	stopping    map[*attempt]struct{} // attempts that have to end
	orders      []Order               // decided and not taken out yet
	events      []Event
	askFirst    map[WorkerID]bool // workers that a former owner may have used and that have not reported yet
	inheritedAt time.Duration     // when the takeover began
	roster      bool              // the set of workers has changed since it was stored
	model       *interference
	dirty       map[*job]struct{} // jobs whose progress has changed since it was stored
}

// NewScheduler returns a scheduler without jobs and workers.
func NewScheduler(cfg Config) *Scheduler {
	return &Scheduler{
		cfg:       cfg,
		jobs:      map[workload.JobID]*job{},
		workers:   map[WorkerID]*worker{},
		evacuated: map[structs.DatacentreID]bool{},
		open:      map[*step]struct{}{},
		stopping:  map[*attempt]struct{}{},
		askFirst:  map[WorkerID]bool{},
		dirty:     map[*job]struct{}{},
		model:     newInterference(),
	}
}

// AddJob takes in an accepted job. A job that a former owner may have started is inherited: its tasks wait until
// takeover is complete. progress is nil when nothing was stored. A job that is known already is not changed.
func (s *Scheduler) AddJob(rec workload.Job, progress *workload.Progress, inherited bool) {
	if _, known := s.jobs[rec.ID]; known {
		return
	}
	j := newJob(rec)
	j.inherited = inherited
	s.jobs[rec.ID] = j
	for _, st := range j.steps {
		st.image = s.model.imageNumber(st.spec)
	}
	if progress != nil {
		j.restore(*progress)
	}
	if j.state.Final() {
		return
	}
	for _, st := range j.steps {
		s.openStep(st)
	}
}

// AddEndedJob takes in a job that has ended under a former owner. Only its state is kept.
func (s *Scheduler) AddEndedJob(id workload.JobID, progress workload.Progress) {
	if _, known := s.jobs[id]; !known {
		s.jobs[id] = &job{rec: workload.Job{ID: id}, state: progress.State, endedMs: progress.EndedMs}
	}
}

// openStep makes the tasks of a step startable once nothing before them is left.
func (s *Scheduler) openStep(st *step) {
	if st.waitsFor == 0 && st.left > 0 && !st.job.state.Final() {
		s.open[st] = struct{}{}
	}
}

// Cancel stops a job. It returns false when the job is not known.
func (s *Scheduler) Cancel(now Time, id workload.JobID) bool {
	j, known := s.jobs[id]
	if !known {
		return false
	}
	if !j.state.Final() {
		s.finish(now, j, workload.StateCancelled)
	}
	return true
}

// finish gives a job its final state and stops what runs of it.
func (s *Scheduler) finish(now Time, j *job, state workload.State) {
	j.state = state
	j.endedMs = now.UnixMs
	s.markDirty(j)
	for _, st := range j.steps {
		delete(s.open, st)
		for _, t := range st.tasks {
			for _, a := range slices.Clone(t.attempts) {
				s.stop(now.Boot, a)
			}
		}
	}
}

// markDirty notes that the progress of a job has to be stored.
func (s *Scheduler) markDirty(j *job) { s.dirty[j] = struct{}{} }

// stop asks the worker of an attempt to end it.
func (s *Scheduler) stop(now time.Duration, a *attempt) {
	if a.phase == recording {
		s.drop(a) // its start was never ordered
		return
	}
	if a.stopAckedAt > 0 {
		return
	}
	if a.stopSentAt > 0 && now-a.stopSentAt < repeatAfter {
		return
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
}

// SetWorkers replaces the platform's list of workers.
func (s *Scheduler) SetWorkers(now Time, infos []WorkerInfo) {
	listed := make(map[WorkerID]bool, len(infos))
	for _, info := range infos {
		listed[info.ID] = true
		s.listWorker(now.Boot, info)
	}
	for id, w := range s.workers {
		if !listed[id] && w.listed {
			w.listed = false
			w.unlistedAt = now.Boot
		}
	}
}

// listWorker enters or updates a worker of the platform's list.
func (s *Scheduler) listWorker(now time.Duration, info WorkerInfo) {
	w, known := s.workers[info.ID]
	if !known {
		w = newWorker(info)
		s.addWorker(w)
		s.roster = true
	}
	if info.Draining && !w.info.Draining {
		w.leavesAt = now + info.Remaining
		s.note(Event{Kind: EventWorkerDraining, Worker: info.ID})
	}
	s.roster = s.roster || info.Draining != w.info.Draining
	w.info = info
	w.listed = true
}

func (s *Scheduler) addWorker(w *worker) {
	s.workers[w.info.ID] = w
	s.order = append(s.order, w)
	slices.SortFunc(s.order, func(a, b *worker) int { return cmp.Compare(a.info.ID, b.info.ID) })
}

// forget removes a worker that has left.
func (s *Scheduler) forget(w *worker) {
	delete(s.workers, w.info.ID)
	delete(s.askFirst, w.info.ID)
	s.order = slices.DeleteFunc(s.order, func(other *worker) bool { return other == w })
	s.roster = true
}

// PollFailed notes that a worker did not answer a look. Until its next report its task leases are not extended any more.
func (s *Scheduler) PollFailed(now Time, id WorkerID) {
	if w, known := s.workers[id]; known {
		w.stopExtending(now.Boot + s.cfg.leaseBound())
	}
}

// PollerLost notes that the connection to whoever looks at a worker is lost. The leases of the worker may still be
// extended up to a boot time, also when no report has come over that connection: it may have been lost.
func (s *Scheduler) PollerLost(id WorkerID, extendedUntil time.Duration) {
	if w, known := s.workers[id]; known {
		w.extending = true
		w.stopExtending(extendedUntil + s.cfg.leaseBound())
	}
}

// ReportsLost notes that reports of a worker may be lost, and with them the sign that its leases are extended.
func (s *Scheduler) ReportsLost(id WorkerID) {
	if w, known := s.workers[id]; known {
		w.extending = true
	}
}

// stopExtending notes that no lease on the worker ends after a boot time unless the worker reports again.
func (w *worker) stopExtending(end time.Duration) {
	if w.extending {
		w.leaseEnd = max(w.leaseEnd, end)
	}
	w.extending = false
	w.doubtful = true
}

// Expire ends the attempts on silent workers whose task leases have certainly expired, and forgets workers that have
// left. confirmed tells that the store has confirmed the ownership up to now. Without it nothing expires: a later owner
// may have extended the leases of workers that this one does not reach.
func (s *Scheduler) Expire(now Time, confirmed bool) {
	if !confirmed {
		return
	}
	for _, w := range slices.Clone(s.order) {
		if w.extending || w.reachable(now.Boot) || now.Boot < w.leaseEnd {
			continue
		}
		delete(s.askFirst, w.info.ID)
		for _, a := range slices.Clone(w.list) {
			s.note(a.event(EventAttemptExpired))
			s.drop(a)
		}
		for key := range w.strays {
			w.removeStray(key)
		}
		if !w.listed && now.Boot-w.unlistedAt > listingGrace {
			s.forget(w)
		}
	}
}

// TakeOrders returns the orders that were decided since the last call.
func (s *Scheduler) TakeOrders() []Order {
	orders := s.orders
	s.orders = nil
	return orders
}

// JobState returns the state of a job. A final state counts only once it is stored, so that no later owner takes it
// back; until then the job is shown as running.
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

// Counts are totals of a partition for logs and metrics. Processor time is in thousandths of a core.
type Counts struct {
	Jobs, Workers, Available  int
	Services, Fillers, Others int   // attempts by kind of step
	Waiting, WaitingFillers   int   // tasks that could start
	Capacity, Reserved        int64 // of available workers
	FillerDemand, FillerUse   int64
	ServicesOverTarget        int // services above their tail latency target
	FillersSlowed             int
}

// Counts returns the totals.
func (s *Scheduler) Counts(now Time) Counts {
	c := Counts{Jobs: len(s.jobs), Workers: len(s.workers)}
	for _, w := range s.order {
		if w.available(now.Boot) {
			c.Available++
			c.Capacity += w.info.Capacity.MilliCPU
			c.Reserved += w.used.MilliCPU
		}
		c.FillerDemand += w.fillerCPU
		for _, a := range w.list {
			c.countAttempt(a)
		}
	}
	for st := range s.open {
		c.Waiting += st.pending
		if st.spec.Filler {
			c.WaitingFillers += st.pending
		}
	}
	return c
}

func (c *Counts) countAttempt(a *attempt) {
	switch {
	case a.filler():
		c.Fillers++
		c.FillerUse += int64(a.figure)
		if a.share < fullShare {
			c.FillersSlowed++
		}
	case a.task.step.spec.Service:
		c.Services++
		if a.serving() && a.tailRatio() > 1 {
			c.ServicesOverTarget++
		}
	default:
		c.Others++
	}
}
