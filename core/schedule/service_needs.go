package schedule

import (
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
)

// TaskTotal is a number of tasks and the processor time that their steps ask for.
type TaskTotal struct {
	Tasks    int
	MilliCPU int64 // thousandths of a core
}

func (n *TaskTotal) add(t *task) {
	n.Tasks++
	n.MilliCPU = addLimited(n.MilliCPU, t.step.spec.Size.MilliCPU)
}

func (n *TaskTotal) addTotal(other TaskTotal) {
	n.Tasks += other.Tasks
	n.MilliCPU = addLimited(n.MilliCPU, other.MilliCPU)
}

// StartTotal is a number of starts.
type StartTotal struct {
	TaskTotal
	InRoom int // of them on workers that had room for the smallest service of the pool that needs a place
}

// ServiceNeeds counts the service tasks that need a place, or will unless their workers answer again, and what started in their
// pools meanwhile. It changes no decision.
type ServiceNeeds struct {
	OnSilent  TaskTotal // may run on workers that do not answer, until the leases there have expired
	Displaced TaskTotal // have run, have lost their place and wait

	// Starts since the last call of TakeServiceNeeds, of planning runs that began with such tasks in the pool.
	FirstStarts StartTotal // of service tasks that have not run
	Restarts    StartTotal // of displaced tasks
	OtherStarts StartTotal // of tasks that end and reserve processor time
	Fillers     StartTotal
}

// Empty reports whether no service task needs or needed a place.
func (n *ServiceNeeds) Empty() bool { return *n == ServiceNeeds{} }

// poolNeeds counts the service tasks of a pool that need a place, or will.
type poolNeeds struct {
	onSilent, displaced TaskTotal
	smallest            structs.Resources // what the one with the least processor time reserves
}

func (n *poolNeeds) add(total *TaskTotal, t *task) {
	size := t.step.spec.Reserved()
	if n.onSilent.Tasks+n.displaced.Tasks == 0 || size.MilliCPU < n.smallest.MilliCPU {
		n.smallest = size
	}
	total.add(t)
}

// TakeServiceNeeds returns the service tasks that need a place at present, and the starts beside them since the last call.
func (s *Scheduler) TakeServiceNeeds(now Time) ServiceNeeds {
	needs := s.startsBeside
	s.startsBeside = ServiceNeeds{}
	for _, pool := range s.serviceNeeds(now) {
		needs.OnSilent.addTotal(pool.onSilent)
		needs.Displaced.addTotal(pool.displaced)
	}
	return needs
}

// serviceNeeds returns the pools with service tasks that need a place, or will.
func (s *Scheduler) serviceNeeds(now Time) map[workload.PoolName]*poolNeeds {
	pools := map[workload.PoolName]*poolNeeds{}
	poolOf := func(t *task) *poolNeeds {
		name := t.step.job.rec.Queue.Pool
		if pools[name] == nil {
			pools[name] = &poolNeeds{}
		}
		return pools[name]
	}
	for _, w := range s.sortedWorkers {
		if w.services == 0 || !w.suspect && w.reachable(now.Boot) {
			continue
		}
		for _, a := range w.attemptList {
			if t := a.task; t.step.spec.Service && a.phase != stopping && !t.done {
				pool := poolOf(t)
				pool.add(&pool.onSilent, t)
			}
		}
	}
	for st := range s.pendingServiceSteps() {
		for _, t := range st.tasks {
			if !t.displaced() {
				continue
			}
			pool := poolOf(t)
			if s.mayRunElsewhere(t) {
				pool.add(&pool.onSilent, t)
			} else {
				pool.add(&pool.displaced, t)
			}
		}
	}
	return pools
}

// countStart counts a start on a worker, before the attempt is added, if services of its pool need a place.
func (s *Scheduler) countStart(t *task, w *worker) {
	pool := s.neededAtPlan[t.step.job.rec.Queue.Pool]
	if pool == nil {
		return
	}
	total := &s.startsBeside.OtherStarts
	switch {
	case t.step.spec.Filler:
		total = &s.startsBeside.Fillers
	case t.displaced():
		total = &s.startsBeside.Restarts
	case t.step.spec.Service:
		total = &s.startsBeside.FirstStarts
	}
	total.add(t)
	if pool.smallest.Fits(w.freeFor(t)) {
		total.InRoom++
	}
}
