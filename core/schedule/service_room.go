package schedule

import "fulmarcourse.example/core/structs"

// roomBesideServices returns the capacity of a worker that its services, and what is kept there for other displaced ones, leave
// to a task. Tasks that end may use it at present.
func (w *worker) roomBesideServices(t *task) structs.Resources {
	return w.info.Capacity.Sub(w.serviceReserved).Sub(w.keptForOthers(t))
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
