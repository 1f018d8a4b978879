package schedule

import (
	"cmp"
	"slices"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
)

// The services on a silent worker are not restarted before its leases have certainly expired, but unless it answers they have to be
// then. These foreseen restarts have tentative places on workers whose services leave room for them, and first starts of services
// leave these places free: else a pool that is full when the leases expire has given away what became free until then. Tasks that
// end may use the places. A worker that answers releases those of its services with the next scan. The same holds for services that are
// being stopped to run elsewhere.

// foreseenAfter is the time since the last report of a worker, or since the takeover, after which the restarts of its services are
// foreseen.
const foreseenAfter = 1500 * time.Millisecond

// foreseenRestarts holds the foreseen restarts of the latest scan.
type foreseenRestarts struct {
	tasks    []*task                              // in the order in which they get places
	places   map[*task]*worker                    // nil for those that have no place
	unplaced map[workload.PoolName][]foreseenNeed // the smallest ones without a place
	holds    map[workload.PoolName]foreseenHold   // only of pools with foreseen restarts
	outdated bool                                 // a service that has to run elsewhere has begun to be stopped since
}

// foreseenNeed is what a foreseen restart needs.
type foreseenNeed struct {
	size  structs.Resources
	label string
}

// foreseeRestarts updates the foreseen restarts and their places. A restart keeps its place while there is room for it.
func (s *Scheduler) foreseeRestarts(now Time) {
	former := s.foreseen.places
	s.foreseen.outdated = false
	tasks := s.foreseenTasks(now)
	if len(tasks) == 0 && len(s.foreseen.tasks) == 0 {
		return
	}
	for _, w := range former {
		if w != nil {
			w.foreseen = keptPlaces{}
		}
	}
	s.foreseen = foreseenRestarts{tasks: tasks, places: map[*task]*worker{}, unplaced: map[workload.PoolName][]foreseenNeed{},
		holds: map[workload.PoolName]foreseenHold{}}
	if len(tasks) == 0 {
		return
	}
	rooms := s.foreseenRooms(now)
	var moving []*task
	for _, t := range tasks {
		if w := former[t]; w == nil || !rooms.take(s, now, t, w) {
			moving = append(moving, t)
		}
	}
	for _, t := range tasks {
		pool := t.step.job.rec.Queue.Pool
		if _, known := s.foreseen.holds[pool]; !known {
			s.foreseen.holds[pool] = s.holdOf(now.Boot, pool)
		}
	}
	for _, t := range moving {
		if !rooms.place(s, now, t) {
			s.foreseen.addUnplaced(t)
		}
	}
}

// nominateForeseen nominates the services whose restarts have become due to their places: also those whose room tasks that end still
// use come before all others there. One without a place, or whose place a displaced service has taken, gets another one.
func (s *Scheduler) nominateForeseen(now Time) {
	var rooms *foreseenRooms
	for _, t := range s.foreseen.tasks {
		w, foreseen := s.foreseen.places[t]
		if !foreseen || !t.displaced() || s.mayRunElsewhere(t) {
			continue
		}
		if w != nil {
			w.foreseen.remove(t)
		}
		delete(s.foreseen.places, t)
		if t.nomination.worker != nil {
			continue
		}
		if w == nil || !s.fitsBesideServices(now, t, w) {
			if rooms == nil {
				rooms = s.foreseenRooms(now)
			}
			if w = rooms.claim(s, now, t); w == nil {
				t.displacement.foreseen = true
				continue
			}
		}
		s.setNominee(t, nomination{worker: w, foreseen: true, at: now.Boot})
		s.emitNomination(t, w, 0)
	}
}

// giveUpForeseenPlaces leaves the foreseen restarts that have a place on a worker without one. Their tasks would otherwise start on the
// worker after it has been removed, and the outcome of such a start is not recorded.
func (s *Scheduler) giveUpForeseenPlaces(w *worker) {
	for _, t := range w.foreseen.tasks {
		s.foreseen.places[t] = nil
	}
	w.foreseen = keptPlaces{}
}

// needsRestart reports whether an attempt is the only one of a service task that has run and has to go on running once it has ended.
func (a *attempt) needsRestart() bool {
	t := a.task
	return t.ran && t.step.spec.Service && len(t.attempts) == 1 && !t.step.job.state.Final()
}

// foreseenTasks returns the service tasks that have to be restarted unless silent workers answer, and those that are being stopped to run
// elsewhere: in the order of their ranks, the largest first. Small ones fit into what these leave, and if there is not enough room for all,
// they find some soonest.
func (s *Scheduler) foreseenTasks(now Time) []*task {
	var tasks []*task
	for _, w := range s.sortedWorkers {
		if !s.foreseesLoss(now.Boot, w) {
			continue
		}
		for _, a := range w.attemptList {
			if a.needsRestart() {
				tasks = append(tasks, a.task)
			}
		}
	}
	for a := range s.stopping {
		if a.needsRestart() && !s.foreseesLoss(now.Boot, a.worker) {
			tasks = append(tasks, a.task)
		}
	}
	if !s.TakeoverComplete() {
		tasks = s.addAwaitedTasks(now, tasks)
	}
	slices.SortFunc(tasks, func(a, b *task) int {
		return cmp.Or(
			cmp.Compare(a.step.rank(now), b.step.rank(now)),
			cmp.Compare(b.step.spec.Size.MilliCPU, a.step.spec.Size.MilliCPU),
			compareIDs(a.step, b.step),
			cmp.Compare(a.index, b.index),
		)
	})
	return tasks
}

// addAwaitedTasks adds the service tasks that a former owner has started on workers which are silent since before the takeover, or are
// not known.
func (s *Scheduler) addAwaitedTasks(now Time, tasks []*task) []*task {
	for st := range s.pendingServiceSteps() {
		for _, t := range st.tasks {
			if !t.displaced() || !s.mayRunElsewhere(t) {
				continue
			}
			w := s.workers[t.storedWorker]
			if w != nil && s.foreseesLoss(now.Boot, w) || w == nil && now.Boot-s.takeoverAt >= foreseenAfter {
				tasks = append(tasks, t)
			}
		}
	}
	return tasks
}

// foreseesLoss reports whether a worker is silent and its leases run out. One that is still silent when they have certainly expired is
// lost, also if its loss is not confirmed yet.
func (s *Scheduler) foreseesLoss(now time.Duration, w *worker) bool {
	if w.leasesExtended || now >= w.leaseEnd+foreseenAfter {
		return false
	}
	return w.withheld.marked || now-max(w.reportedAt, s.takeoverAt) >= foreseenAfter
}

// addUnplaced adds a restart that has no place. Those that need more than another one are left out, and those of steps with a limit per
// worker, which may have none although there is room.
func (f *foreseenRestarts) addUnplaced(t *task) {
	f.places[t] = nil
	if t.step.spec.MaxPerWorker > 0 {
		return
	}
	need := foreseenNeed{t.step.spec.Reserved(), t.step.spec.Label}
	pool := t.step.job.rec.Queue.Pool
	if slices.ContainsFunc(f.unplaced[pool], func(other foreseenNeed) bool { return other.atMost(need) }) {
		return
	}
	f.unplaced[pool] = append(slices.DeleteFunc(f.unplaced[pool], need.atMost), need)
}

// atMost reports whether a restart fits wherever another one does.
func (n foreseenNeed) atMost(other foreseenNeed) bool {
	return (n.label == "" || n.label == other.label) && n.size.Fits(other.size)
}

// counts returns the number of foreseen restarts, and of those that have no place.
func (f *foreseenRestarts) counts() (all, unplaced int) {
	for _, w := range f.places {
		if w == nil {
			unplaced++
		}
	}
	return len(f.places), unplaced
}
