package schedule

import (
	"strconv"
	"strings"
)

// WaitReason is why a task does not start, or why it does not start on one worker. The values are ordered by their distance
// from a start. What holds several workers back differs, so a task waits for the lowest value among them.
type WaitReason uint8

// Reasons, the nearest to a start first.
const (
	Suitable     WaitReason = iota // nothing: the task may start, or the worker suits it
	WaitStore                      // a worker was chosen; the start is ordered once it is stored
	WaitAnswer                     // the start was ordered; no answer or report shows that it took effect
	WaitTurn                       // a worker suits the task, which comes after others
	WaitNotFound                   // a worker suits the task now, but the latest planning run has found none
	WaitPlan                       // a worker suits the task, but no planning run has been made for maxPlanAge

	// Of displaced service tasks.
	WaitNominated    // a worker keeps its free capacity for the task until tasks there have ended
	WaitServiceShare // services have the capacity: no worker has room for it beside its services

	// Of one worker, in the reverse order of the checks in obstacle.
	WaitServiceTarget    // fillers: a service on the worker is near or over its target
	WaitSpare            // fillers: too little processor time is unused
	WaitFailedThere      // the task has failed on the worker
	WaitSlow             // tasks run much slower on the worker than elsewhere
	WaitFaulty           // tasks of several jobs have failed on the worker
	WaitLostRecently     // the worker was lost and has returned
	WaitRecentGap        // it has not answered without a gap for long enough to notice whether the task crashes it
	WaitFormerCalls      // services: leases of the worker may outlast others, since calls to its former process may have extended them
	WaitProbation        // task and worker would be shared with another suspect of crashes
	WaitMaxPerWorker     // the worker has as many tasks of the step as it may
	WaitRejections       // the worker has rejected tasks for lack of capacity that the list does not show
	WaitUnhealthy        // the worker has reported itself unhealthy
	WaitNotStored        // the worker is not in the stored set of known workers
	WaitEndsUnlisted     // the worker has not listed all ends of attempts of a former owner yet
	WaitEntryOutdated    // the worker's entry describes another process than the one that answers
	WaitCapacityOutdated // the capacity may have shrunk since the list was read
	WaitForeseen         // the free capacity is kept for services on silent workers, which may have to be restarted
	WaitNominee          // the free capacity is kept for a displaced service task
	WaitCapacity         // too little capacity is free
	WaitUnreachable      // the worker does not answer, or has not reported yet
	WaitUnlisted         // the worker is no longer listed
	WaitReplaced         // another worker has reported from the address of the entry, which is ignored; never of a task
	WaitDraining         // the worker will leave
	WaitEvacuated        // the worker's data centre is evacuated
	WaitListNotRead      // the platform's list of workers was not read yet
	WaitLabel            // the worker lacks the label that the step needs
	WaitPool             // the worker belongs to another pool
	WaitNoWorker         // the pool has no worker

	// Of the task, whatever the workers are.
	WaitCrashBackOff   // it may have crashed many workers, none of which could be observed
	WaitSilentWorkers  // as many workers of its record are silent as would give it up if they have crashed
	WaitCrashNotStored // a crash on its record is not stored yet
	WaitOwnWorker      // its worker under a former owner has not reported, or not listed all ends yet
	WaitTakeover       // some worker of a former owner has not reported, or not listed all ends yet
	WaitNotDue         // its occurrence is not due
	WaitWorkerSilent   // it may run on a worker that does not answer, until its lease has expired

	WaitUnexplained // was not determined: the number of searches per summary is limited

	numWaitReasons
)

var waitReasonNames = [numWaitReasons]string{
	"suitable", "start_not_stored", "start_not_confirmed", "not_its_turn", "worker_not_found", "no_plan",
	"capacity_kept", "service_share",
	"service_near_target", "no_spare_time", "failed_there", "slow_worker", "faulty_worker", "lost_recently", "recent_gap", "former_calls", "probation",
	"max_per_worker", "rejections", "unhealthy", "worker_not_stored", "ends_unlisted", "entry_outdated", "capacity_outdated", "kept_for_restarts", "kept_for_service",
	"no_capacity", "unreachable", "unlisted", "replaced", "draining", "evacuated", "list_not_read", "no_label", "other_pool", "no_worker",
	"crash_back_off", "silent_workers", "crash_not_stored", "own_worker_awaited", "takeover", "not_due", "worker_silent", "unexplained",
}

// untilExpiry reports whether a task with the reason waits until a worker answers or its leases have certainly expired.
func (r WaitReason) untilExpiry() bool {
	return r == WaitSilentWorkers || r == WaitOwnWorker || r == WaitTakeover || r == WaitWorkerSilent
}

// String returns the name of the reason for logs and metrics.
func (r WaitReason) String() string { return nameOf(r, waitReasonNames[:]...) }

// WaitReasons returns all reasons for which a task may wait.
func WaitReasons() []WaitReason {
	reasons := make([]WaitReason, 0, numWaitReasons-1)
	for r := Suitable + 1; r < numWaitReasons; r++ {
		reasons = append(reasons, r)
	}
	return reasons
}

// WaitCounts holds numbers of tasks or workers by reason.
type WaitCounts [numWaitReasons]int32

// String lists the reasons that occur with their numbers, for logs.
func (c *WaitCounts) String() string {
	var text strings.Builder
	for r, n := range c {
		if n == 0 {
			continue
		}
		if text.Len() > 0 {
			text.WriteByte(' ')
		}
		text.WriteString(waitReasonNames[r])
		text.WriteByte('=')
		text.WriteString(strconv.Itoa(int(n)))
	}
	return text.String()
}
