package schedule

import (
	"time"

	"fulmarcourse.example/core/structs"
)

// roomBesideServices returns the capacity of a worker that its services, and what is kept there for other displaced ones, leave
// to a task. Tasks that end and services that are being stopped may use it at present.
func (w *worker) roomBesideServices(t *task) structs.Resources {
	return w.info.Capacity.Sub(w.serviceReserved).Add(w.serviceStopping).Sub(w.keptForOthers(t))
}

// recordStopping records that a worker will get back the place of an attempt, which is to be stopped.
func (s *Scheduler) recordStopping(a *attempt) {
	if spec := &a.task.step.spec; spec.Service {
		a.worker.serviceStopping = a.worker.serviceStopping.Add(spec.Reserved())
		s.placesGivenUp = true
		s.foreseen.outdated = s.foreseen.outdated || a.needsRestart()
	}
}

// stoppingFor returns the time after which an attempt that is being stopped is expected to have ended. One that takes longer than
// it may is expected to take half as long again.
func (a *attempt) stoppingFor(now, stopTime time.Duration) time.Duration {
	elapsed := now - a.stoppingSince
	if elapsed >= stopTime {
		return elapsed / 2
	}
	return stopTime - elapsed
}

// fitsOnceStopped reports whether a worker has the capacity for a task beside what is kept there for others as soon as everything that is
// being stopped there has ended.
func (w *worker) fitsOnceStopped(t *task) bool {
	return t.step.spec.Reserved().Fits(w.free().Add(w.beingStopped()).Sub(w.keptForOthers(t)))
}

// beingStopped returns the capacity that a worker gets back once everything that is being stopped there has ended.
func (w *worker) beingStopped() structs.Resources {
	var sum structs.Resources
	for _, a := range w.attemptList {
		if a.phase == stopping {
			sum = sum.Add(a.task.step.spec.Reserved())
		}
	}
	return sum.Add(w.orphaned())
}

// orphaned returns the capacity that orphans use, which are being stopped.
func (w *worker) orphaned() structs.Resources {
	var sum structs.Resources
	for _, o := range w.orphans {
		sum = sum.Add(o.reserved)
	}
	return sum
}

// keptForOthers returns what the nominees of a worker other than a task need.
func (w *worker) keptForOthers(t *task) structs.Resources {
	var kept structs.Resources
	for _, nominee := range w.nominees {
		if nominee != t {
			kept = kept.Add(nominee.step.spec.Reserved())
		}
	}
	return kept
}

// fitsBesideServices reports whether a worker may start a task once tasks that end have left enough capacity, if its recent faults are
// ignored.
func (s *Scheduler) fitsBesideServices(now Time, t *task, w *worker) bool {
	return t.step.spec.Reserved().Fits(w.roomBesideServices(t)) && s.suitsOnceFree(now, t, w)
}

// workersBesideServices returns the number of workers whose services leave room for a task.
func (s *Scheduler) workersBesideServices(now Time, t *task) int {
	n := 0
	for _, w := range s.sortedWorkers {
		if s.fitsBesideServices(now, t, w) {
			n++
		}
	}
	return n
}
