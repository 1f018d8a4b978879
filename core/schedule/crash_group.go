package schedule

import (
	"math"
	"slices"
	"time"

	"fulmarcourse.example/core/workload"
)

// Tasks on probation of different jobs run one after another where few workers have room, so that the wait of the last one would grow
// with their number. From groupAfter on they share a worker in groups, which double with each briefRun that they have waited. The tasks
// of a group that crashes have the same record, so that none of them is given up for it; they wait anew, and their next groups are
// smaller. After a third brief crash a task runs beside no other suspect, and the next crash is decisive: a task that crashes its workers
// is given up by the fourth one at the latest, and the platform allows two starts after the third. If all of these three are uncertain, two
// more are needed in any case, the first of which may be that of a small group.

// groupAfter is how long a task on probation waits for a worker without another suspect.
const groupAfter = restartOverdueAfter

// maxGroups are the maximum numbers of jobs with tasks on probation that share a worker, by the number of brief crashes on their records,
// from one on. After the second one it is so small that they can all run alone, for briefRun each, within the time in which a service has
// to run again on the platform.
var maxGroups = []int{math.MaxInt, 8}

// maxUncertainGroup is the same number after the third brief crash, if all crashes on record are uncertain. The next crash of a group is
// not decisive then, and is the last one that its tasks share.
const maxUncertainGroup = 4

// suspicion is what the record of a task says about it. Only tasks with the same may share a worker: a further crash there would
// otherwise point to one of them.
type suspicion struct {
	crashes          int // brief ones, with those of workers that may have started the task
	briefUnexplained int
	maxGroup         int // maximum number of jobs with tasks on probation that share a worker
}

func (t *task) suspicion() suspicion {
	crashes := t.countCrashes(isBrief) + t.uncertainCrashes
	return suspicion{crashes, t.briefUnexplained(), t.maxGroup(crashes)}
}

// maxGroup returns the maximum number of jobs with tasks on probation that share a worker with a task, by the number of brief crashes on its
// record.
func (t *task) maxGroup(crashes int) int {
	switch {
	case crashes <= len(maxGroups):
		return maxGroups[max(crashes, 1)-1]
	case crashes == certainBriefCrashes && t.countCrashes(isCertain) == 0:
		return maxUncertainGroup
	}
	return 1
}

// probationSince returns since when a task on probation waits for a worker.
func (t *task) probationSince() time.Duration {
	return max(t.crashedAt, t.displacement.since, t.step.openedAt)
}

// groupLimit returns the number of jobs with tasks on probation that may share a worker with a task.
func (t *task) groupLimit(now time.Duration) int {
	waited := now - t.probationSince() - groupAfter
	if waited < 0 {
		return 1
	}
	limit, most := 2, t.suspicion().maxGroup
	for ; waited >= briefRun && limit < most; waited -= briefRun {
		limit *= 2
	}
	return min(limit, most)
}

// probationJobs returns the jobs other than j of which the worker runs tasks on probation, and whether all these tasks have a record that
// says the same as a given one.
func (w *worker) probationJobs(j *job, same suspicion) (jobs []*job, equal bool) {
	equal = true
	for _, a := range w.attemptList {
		if a.task.step.job == j || !a.onProbation() {
			continue
		}
		equal = equal && a.task.suspicion() == same
		if !slices.Contains(jobs, a.task.step.job) {
			jobs = append(jobs, a.task.step.job)
		}
	}
	return jobs, equal
}

// excludesSuspect reports whether the tasks on probation that a worker runs exclude a further one of another job.
func (w *worker) excludesSuspect(now time.Duration, t *task) bool {
	if !t.onProbation() {
		return false
	}
	jobs, equal := w.probationJobs(t.step.job, t.suspicion())
	return len(jobs) > 0 && (!equal || len(jobs) >= t.groupLimit(now))
}

// suspectsBeside returns the number of jobs other than that of a task of which the worker runs tasks on probation.
func (w *worker) suspectsBeside(t *task) int {
	jobs, _ := w.probationJobs(t.step.job, suspicion{})
	return len(jobs)
}

// sharedGroup reports whether the latest crash on the records of two tasks is the same brief one, and the first has as many brief ones on
// record. What explains some of them may have become known since their group was formed.
func (t *task) sharedGroup(other *task) bool {
	n, m := len(t.crashes)-1, len(other.crashes)-1
	return n >= 0 && m >= 0 && isBrief(t.crashes[n]) && t.crashes[n].SameProcess(other.crashes[m]) &&
		t.suspicion().crashes >= other.suspicion().crashes
}

// latestCertain returns the latest certain crash on the record of a task.
func (t *task) latestCertain() (latest workload.Crash, found bool) {
	for _, c := range slices.Backward(t.crashes) {
		if isCertain(c) {
			return c, true
		}
	}
	return latest, false
}

// pointsToOthers reports whether the latest crash on the record of a task is a brief one on that of a suspect of another job, or one of
// those beside it on the crashed worker may have been started there.
func (s *Scheduler) pointsToOthers(t *task, crash workload.Crash, beside []*task) bool {
	same := func(c workload.Crash) bool { return isBrief(c) && c.SameProcess(crash) }
	for other := range s.suspects {
		if other.step.job != t.step.job && !other.step.job.state.Final() && slices.ContainsFunc(other.crashes, same) {
			return true
		}
	}
	return slices.ContainsFunc(beside, func(other *task) bool {
		return other.step.job != t.step.job && other.onProbation() && !slices.ContainsFunc(other.crashes, crash.SameProcess)
	})
}
