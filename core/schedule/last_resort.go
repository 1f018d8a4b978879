package schedule

import (
	"slices"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
)

// A worker that was lost, on which several jobs have failed or that is slow gets no tasks for some seconds; the time grows with each
// further fault. A worker to which a displaced service is nominated keeps capacity until tasks there have ended, however long they run.
// While the pool is in use, tasks wait for capacity anyway. In a pool that is little used, such workers are the last resort of tasks that
// fit on no other one.

const (
	// littleUsedShare is the inverse of the share of a pool's processor time below which the pool is little used.
	littleUsedShare = 2
	// lastResortAfter is the time after the beginning of a fault, or of the wait of a displaced service, from which a worker is the last
	// resort. With the start it stays below the 3 s that the platform allows while there is capacity.
	lastResortAfter = returnDelay
	// lastResortAfterFailures takes the place of lastResortAfter where tasks that end have failed. They have a limited number of
	// attempts, which a fault of some seconds would use up.
	lastResortAfterFailures = 2 * firstFailureBackOff
)

// poolUse is whether a pool was little used in a planning run.
type poolUse struct {
	at           time.Duration // of the planning run
	little       bool          // by processor time, see littleUsedShare
	littleMemory bool          // the same by memory, which fillers use as well
}

// chooseLastResort returns the best of the workers that are the last resort of a pending task, if the pool is little used; nil if there
// is none. Which workers it considers does not depend on how long the task has waited, so that the outcome holds for all tasks of its
// shape that have not failed there.
func (s *Scheduler) chooseLastResort(now Time, t *task, p *poolIndex) *worker {
	if !t.pending() || !s.littleUsed(now.Boot, t.step.job.rec.Queue.Pool, p) {
		return nil
	}
	var best candidate
	for _, w := range s.sortedWorkers {
		if !s.isLastResort(now, t, w) {
			continue
		}
		next := candidate{w, w.hasLabel(t.step.spec.DataRack), s.score(now.Boot, t, w)}
		if next.better(best) {
			best = next
		}
	}
	return best.worker
}

// isLastResort reports whether a worker has room for a task, and is avoided because of a fault or keeps the room for displaced services,
// neither since a short time ago.
func (s *Scheduler) isLastResort(now Time, t *task, w *worker) bool {
	avoided := w.avoided(now.Boot) != Suitable
	if !avoided && len(w.nominees) == 0 || !s.mayStartOn(now.Boot, w) || slices.Contains(t.failedOn, w.info.ID) {
		return false
	}
	if w.faultyRecently(now.Boot) {
		return false
	}
	return avoided && s.hasRoom(now, t, w) || s.hasKeptRoom(now, t, w)
}

// faultyRecently reports whether a worker was at fault too short a time ago to be a last resort.
func (w *worker) faultyRecently(now time.Duration) bool {
	return w.faultyWithin(now, lastResortAfter) || w.health.tasksFailedWithin(now, lastResortAfterFailures)
}

// hasKeptRoom reports whether a worker has the capacity and the properties that a task needs if it no longer keeps capacity for displaced
// services, which have waited for lastResortAfter or more for tasks there to end.
func (s *Scheduler) hasKeptRoom(now Time, t *task, w *worker) bool {
	if s.lacksRoom(now.Boot, t, w) != WaitNominee || s.capacityOutdated(now.Boot, t, w) {
		return false
	}
	mustKeep := func(nominee *task) bool {
		return nominee.nomination.ownPlace || now.Boot-nominee.displacement.since < lastResortAfter
	}
	return !slices.ContainsFunc(w.nominees, mustKeep) && s.suits(now, t, w)
}

// littleUsed reports whether a pool was little used when a planning run first asked.
func (s *Scheduler) littleUsed(now time.Duration, pool workload.PoolName, p *poolIndex) bool {
	if p.use.at != now {
		p.use = s.useOf(now, pool)
	}
	return p.use.little
}

// useOf returns whether what is reserved on a pool's workers on which tasks may start is below the share that littleUsedShare states.
func (s *Scheduler) useOf(now time.Duration, pool workload.PoolName) poolUse {
	var capacity, reserved structs.Resources
	for _, w := range s.sortedWorkers {
		if w.info.Pool == pool && s.closed(now, w) == Suitable {
			capacity.MilliCPU = addLimited(capacity.MilliCPU, w.info.Capacity.MilliCPU)
			capacity.MemoryBytes = addLimited(capacity.MemoryBytes, w.info.Capacity.MemoryBytes)
			reserved.MilliCPU = addLimited(reserved.MilliCPU, w.reserved.MilliCPU)
			reserved.MemoryBytes = addLimited(reserved.MemoryBytes, w.reserved.MemoryBytes)
		}
	}
	return poolUse{now, reserved.MilliCPU < capacity.MilliCPU/littleUsedShare, reserved.MemoryBytes < capacity.MemoryBytes/littleUsedShare}
}
