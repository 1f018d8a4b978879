package schedule

import (
	"slices"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
)

// WorkerID names a worker. A worker that crashed may come back under the same id.
type WorkerID string

// WorkerInfo is what a worker says of itself in the platform's list.
type WorkerInfo struct {
	ID         WorkerID
	Address    string // IP:port
	Datacentre structs.DatacentreID
	Pool       workload.PoolName
	Labels     []string // its kind and its rack
	Capacity   structs.Resources
	Draining   bool          // it will leave and takes no new tasks
	Remaining  time.Duration // least time until it leaves; with Draining only
}

// worker is the scheduler's view of one worker.
type worker struct {
	info        WorkerInfo
	listed      bool
	unlistedAt  time.Duration
	leavesAt    time.Duration // with info.Draining
	recorded    bool          // its id is in the stored roster, so that a later owner asks it
	incarnation int64         // start of the worker process, Unix milliseconds; 0 before the first report
	lookedAt    time.Duration // when the newest look that was taken in had been sent
	reportedAt  time.Duration // when the last report was received; 0 before the first
	extending   bool          // its task leases are being extended
	leaseEnd    time.Duration // unless extending: every task lease on the worker has certainly expired then
	seen        int64         // number of the newest end that was taken in
	doubtful    bool          // an order was not answered after the last report
	fullUntil   time.Duration
	sickUntil   time.Duration // it called itself unhealthy
	attempts    map[attemptKey]*attempt
	list        []*attempt // the attempts in the order in which they were added
	strays      map[attemptKey]*stray
	used        structs.Resources // reserved by attempts and strays
	fillerCPU   int64             // thousandths of a core that filler tasks would use
	serviceCPU  int64             // thousandths of a core that service tasks have reserved
	paced       bool              // a filler runs below full speed
	slowedAt    time.Duration     // when fillers were slowed down last
	pausedAt    time.Duration     // when a pause of all fillers was ordered last
	raisedAt    time.Duration     // when fillers got faster last
	quietSince  time.Duration     // since when no filler works beside the services; 0 while one does
	services    int               // service attempts
	health      health
	slowness    slowness
	stability   stability
}

type attemptKey struct {
	task   workload.TaskID
	number int64
}

// stray is an attempt that runs on a worker although it should not.
type stray struct {
	key      attemptKey
	reserved structs.Resources
	askedAt  time.Duration
}

func newWorker(info WorkerInfo) *worker {
	return &worker{
		info:     info,
		attempts: map[attemptKey]*attempt{},
		strays:   map[attemptKey]*stray{},
	}
}

// free returns the capacity that is not reserved.
func (w *worker) free() structs.Resources { return w.info.Capacity.Sub(w.used) }

// reachable reports whether the worker has reported lately.
func (w *worker) reachable(now time.Duration) bool {
	return w.reportedAt > 0 && now-w.reportedAt < silentAfter
}

// available reports whether the worker may get new tasks.
func (w *worker) available(now time.Duration) bool {
	if !w.recorded || w.info.Draining || w.doubtful || !w.reachable(now) {
		return false
	}
	if now < w.fullUntil || now < w.sickUntil || now < w.stability.until {
		return false
	}
	return w.listed || now-w.unlistedAt < listingGrace
}

// hasLabel reports whether the worker carries label; an empty label is always carried.
func (w *worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.info.Labels, label)
}

// add enters an attempt and reserves its capacity.
func (w *worker) add(a *attempt) {
	w.attempts[a.key()] = a
	w.list = append(w.list, a)
	spec := a.task.step.spec
	w.used = w.used.Add(spec.Reserved())
	switch {
	case spec.Filler:
		w.fillerCPU += spec.Size.MilliCPU
	case spec.Service:
		w.serviceCPU += spec.Size.MilliCPU
		w.services++
	}
}

// remove deletes an attempt and returns its capacity.
func (w *worker) remove(a *attempt) {
	if w.attempts[a.key()] != a {
		return
	}
	delete(w.attempts, a.key())
	w.list = slices.DeleteFunc(w.list, func(other *attempt) bool { return other == a })
	spec := a.task.step.spec
	w.used = w.used.Sub(spec.Reserved())
	switch {
	case spec.Filler:
		w.fillerCPU -= spec.Size.MilliCPU
	case spec.Service:
		w.serviceCPU -= spec.Size.MilliCPU
		w.services--
	}
}

// addStray enters an attempt that has to be stopped.
func (w *worker) addStray(key attemptKey, reserved structs.Resources) {
	w.strays[key] = &stray{key: key, reserved: reserved}
	w.used = w.used.Add(reserved)
}

func (w *worker) removeStray(key attemptKey) {
	if s, known := w.strays[key]; known {
		w.used = w.used.Sub(s.reserved)
		delete(w.strays, key)
	}
}
