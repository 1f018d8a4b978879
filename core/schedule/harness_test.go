package schedule

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
)

const (
	testPool  = workload.PoolName("pool")
	testLease = 6 * time.Second

	// maxEndedPerReport is the number of ends that the platform's workers list in a report.
	maxEndedPerReport = 500
)

// harness drives a scheduler and simulated workers, which execute orders only when the test makes them.
type harness struct {
	t       *testing.T
	s       *Scheduler
	now     Time
	workers map[WorkerID]*simWorker
	orders  []Order

	collected time.Duration              // boot time up to which the results of all polls have been applied; 0 for now
	withheld  map[WorkerID]time.Duration // since when the relays withhold leases; they are told after each planning run

	relaysAway bool // the relays do not get updates

	workersAhead time.Duration // of the wall clocks of processes that start again
}

// simWorker is a simulated worker that executes orders like the workers behind package relay.
type simWorker struct {
	info        WorkerInfo
	incarnation int64
	running     []Running
	ended       []Ended
	ends        int64
	stopped     map[attemptKey]bool
}

func newHarness(t *testing.T, term int64) *harness {
	h := &harness{t: t, now: Time{Boot: time.Hour, UnixMs: 1_000_000}, workers: map[WorkerID]*simWorker{}}
	h.newTerm(term)
	return h
}

// newTerm replaces the scheduler by an empty one of a new owner.
func (h *harness) newTerm(term int64) {
	h.s = NewScheduler(Config{
		Term: term, TaskLease: testLease, StopTime: 400 * time.Millisecond, HandoverGrace: 2500 * time.Millisecond,
		EndsPerReport: maxEndedPerReport,
	})
	h.orders = nil
	h.withheld = map[WorkerID]time.Duration{}
}

func (h *harness) addWorker(id WorkerID, change func(*WorkerInfo)) *simWorker {
	info := WorkerInfo{
		ID: id, Address: string(id), Datacentre: "dc1", Pool: testPool,
		Capacity: structs.Resources{MilliCPU: 16000, MemoryBytes: 64 << 30},
	}
	if change != nil {
		change(&info)
	}
	w := &simWorker{info: info, incarnation: max(info.StartedMs, 1), stopped: map[attemptKey]bool{}}
	h.workers[id] = w
	h.listWorkers()
	return w
}

// listWorkers passes the list of workers to the scheduler, marks them as stored and makes all of them report.
func (h *harness) listWorkers() {
	h.list()
	h.reportAll()
}

// list passes the list of workers to the scheduler and marks them as stored.
func (h *harness) list() {
	var infos []WorkerInfo
	for _, id := range h.workerIDs() {
		infos = append(infos, h.workers[id].info)
	}
	h.s.SetWorkers(h.now, infos)
	h.s.KnownWorkersStored(infos)
}

func (h *harness) advanceClock(d time.Duration) {
	h.now.Boot += d
	h.now.UnixMs += d.Milliseconds()
}

// plan runs one cycle, marks the changed progress as stored and returns the new orders.
func (h *harness) plan() []Order {
	h.s.Expire(h.now, true, h.collectedUpTo)
	h.s.WithholdLeases(h.now, true, func(id WorkerID) time.Duration { return h.withheld[id] }, h.collectedUpTo)
	h.s.Plan(h.now)
	h.store()
	h.updateRelays()
	return h.s.TakeOrders()
}

// updateRelays tells the relays of which workers they withhold the leases.
func (h *harness) updateRelays() {
	if h.relaysAway {
		return
	}
	for _, info := range h.s.Workers() {
		switch {
		case !h.s.WithholdsLeases(info.ID):
			delete(h.withheld, info.ID)
		case h.withheld[info.ID] == 0:
			h.withheld[info.ID] = h.now.Boot
		}
	}
}

// collectedUpTo returns the time up to which the results of all polls have been applied.
func (h *harness) collectedUpTo(WorkerID) time.Duration {
	if h.collected > 0 {
		return h.collected
	}
	return h.now.Boot
}

// run plans and makes the workers execute every order at once.
func (h *harness) run() []Order {
	orders := h.plan()
	for _, o := range orders {
		h.accept(o)
	}
	return orders
}

// accept makes a worker execute an order and passes the outcome to the scheduler.
func (h *harness) accept(o Order) {
	outcome := h.execute(o)
	h.s.OrderAnswered(h.now, o, outcome)
}

// execute makes a worker execute an order. The caller decides whether the scheduler gets the outcome.
func (h *harness) execute(o Order) Outcome {
	w := h.workers[o.Worker]
	if w == nil {
		return NotRun // the worker that has the address now is not the one that the order names
	}
	key := attemptKey{o.Task, o.Attempt}
	switch o.Kind {
	case OrderStart:
		if w.stopped[key] {
			return RejectedStaleAttempt
		}
		w.running = append(w.running, Running{Task: o.Task, Attempt: o.Attempt, Percent: 0})
	case OrderStop:
		w.stopped[key] = true
		h.end(o.Task, EndStopped)
	}
	return Accepted
}

// end ends the attempt of a task on the worker that runs it.
func (h *harness) end(id workload.TaskID, kind EndKind) {
	for _, w := range h.workers {
		for i, r := range w.running {
			if r.Task != id {
				continue
			}
			w.running = append(w.running[:i], w.running[i+1:]...)
			w.ends++
			w.ended = append(w.ended, Ended{Number: w.ends, Task: id, Attempt: r.Attempt, Kind: kind})
			return
		}
	}
}

func (h *harness) report(id WorkerID) {
	w := h.workers[id]
	h.s.Report(h.now, id, Report{
		Incarnation: w.incarnation, Address: w.info.Address, SentAt: h.now.Boot, Running: w.running, Ended: w.listed(h.s.cfg.EndsPerReport),
	})
}

// listed returns the ends that a report lists if it holds limit of them.
func (w *simWorker) listed(limit int) []Ended { return w.ended[:min(len(w.ended), limit)] }

// acknowledge makes a worker forget the ends that the owner has applied.
func (h *harness) acknowledge(id WorkerID) {
	w, last := h.workers[id], h.s.workers[id].lastEnd
	w.ended = slices.DeleteFunc(w.ended, func(end Ended) bool { return end.Number <= last })
}

func (h *harness) reportAll() {
	h.advanceClock(time.Millisecond)
	for _, id := range h.workerIDs() {
		h.report(id)
	}
}

// workerIDs returns the workers in an order that does not differ between runs.
func (h *harness) workerIDs() []WorkerID { return slices.Sorted(maps.Keys(h.workers)) }

// store marks all changed progress as stored.
func (h *harness) store() []Record {
	records := h.s.Changed()
	for _, r := range records {
		h.s.MarkStored(h.now, r)
	}
	return records
}

func testQueue() workload.Queue {
	return workload.Queue{Name: "queue", Pool: testPool, MaxFailures: 3, Stretch: 2, TargetMs: 1000,
		CapacityGuarded: true}
}

func testJob(id workload.JobID, steps ...workload.Step) workload.Job {
	return workload.Job{ID: id, Queue: testQueue(), Steps: steps, AcceptedMs: 1_000_000}
}

func testStep(tasks int) workload.Step {
	return workload.Step{Tasks: tasks, Size: structs.Resources{MilliCPU: 1000, MemoryBytes: 1 << 30}, EstimateMs: 1000}
}

func taskID(job workload.JobID, step, index int) workload.TaskID {
	return workload.TaskID{Job: job, Step: step, Index: index}
}

func starts(orders []Order) []Order { return ofKind(orders, OrderStart) }

func ofKind(orders []Order, kind OrderKind) []Order {
	var found []Order
	for _, o := range orders {
		if o.Kind == kind {
			found = append(found, o)
		}
	}
	return found
}

func (h *harness) wantStarts(orders []Order, want int) {
	h.t.Helper()
	if got := len(starts(orders)); got != want {
		h.t.Fatalf("%d starts, want %d: %s", got, want, describe(orders))
	}
}

// wantStartAfter fails the test unless one task starts after a time, and none a second earlier, while a worker reports.
func (h *harness) wantStartAfter(wait time.Duration, reporting WorkerID) {
	h.t.Helper()
	h.advanceClock(wait - time.Second)
	h.report(reporting)
	h.wantStarts(h.run(), 0)
	h.advanceClock(time.Second)
	h.report(reporting)
	h.wantStarts(h.run(), 1)
}

func (h *harness) wantState(id workload.JobID, want workload.State) {
	h.t.Helper()
	if got, _ := h.s.JobState(id); got != want {
		h.t.Fatalf("job %s is %q, want %q", id, got, want)
	}
}

func describe(orders []Order) string {
	text := ""
	for _, o := range orders {
		text += fmt.Sprintf("[kind %d %v attempt %d on %s] ", o.Kind, o.Task, o.Attempt, o.Worker)
	}
	return text
}
