package schedule

import (
	"slices"

	"fulmarcourse.example/core/structs"
)

// keptPlaces are the places of foreseen restarts on a worker.
type keptPlaces struct {
	tasks []*task
	size  structs.Resources // sum of what they need
}

// foreseenRooms holds what the services of the workers and the places that are kept there leave, by worker.
type foreseenRooms struct {
	workers []*worker
	free    []structs.Resources
	index   map[*worker]int
}

// foreseenRooms returns the room on all workers on which tasks may start.
func (s *Scheduler) foreseenRooms(now Time) *foreseenRooms {
	r := &foreseenRooms{index: map[*worker]int{}}
	for _, w := range s.sortedWorkers {
		if !s.mayStartOn(now.Boot, w) || s.foreseesLoss(now.Boot, w) {
			continue
		}
		r.index[w] = len(r.workers)
		r.workers = append(r.workers, w)
		r.free = append(r.free, w.roomBesideServices(nil).Sub(w.foreseen.size))
	}
	return r
}

// claim takes the room for a task from a worker without giving it a place there, and returns the worker; nil if none has the room.
func (r *foreseenRooms) claim(s *Scheduler, now Time, t *task) *worker {
	n := r.tightest(s, now, t)
	if n < 0 {
		return nil
	}
	r.free[n] = r.free[n].Sub(t.step.spec.Reserved())
	return r.workers[n]
}

// take gives a foreseen restart a place on a worker, if there is room for it.
func (r *foreseenRooms) take(s *Scheduler, now Time, t *task, w *worker) bool {
	n, open := r.index[w]
	size := t.step.spec.Reserved()
	if !open || !size.Fits(r.free[n]) || !s.suits(now, t, w) || w.excludesPlace(t) {
		return false
	}
	r.free[n] = r.free[n].Sub(size)
	w.foreseen.tasks = append(w.foreseen.tasks, t)
	w.foreseen.size = w.foreseen.size.Add(size)
	s.foreseen.places[t] = w
	return true
}

// place gives a foreseen restart a place on the worker with the least room that suffices, and reports whether there is one.
func (r *foreseenRooms) place(s *Scheduler, now Time, t *task) bool {
	n := r.tightest(s, now, t)
	return n >= 0 && r.take(s, now, t, r.workers[n])
}

// tightest returns the position of the worker with the least room that suffices for a task; -1 if there is none.
func (r *foreseenRooms) tightest(s *Scheduler, now Time, t *task) int {
	size := t.step.spec.Reserved()
	best := -1
	for n := range r.free {
		if !size.Fits(r.free[n]) || best >= 0 && r.free[n].MilliCPU >= r.free[best].MilliCPU {
			continue
		}
		if w := r.workers[n]; s.suits(now, t, w) && !w.excludesPlace(t) {
			best = n
		}
	}
	return best
}

func (p *keptPlaces) remove(t *task) {
	p.tasks = slices.DeleteFunc(p.tasks, func(other *task) bool { return other == t })
	p.size = p.size.Sub(t.step.spec.Reserved())
}

// excludesPlace reports whether a worker with its tasks, nominees and places would have too many tasks of a task's step.
func (w *worker) excludesPlace(t *task) bool {
	limit := t.step.spec.MaxPerWorker
	if limit == 0 {
		return false
	}
	n := w.tasksOf(t.step) + w.nomineesOf(t)
	for _, other := range w.foreseen.tasks {
		if other.step == t.step {
			n++
		}
	}
	return n >= limit
}
