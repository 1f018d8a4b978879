package schedule

import (
	"time"

	"fulmarcourse.example/core/workload"
)

// job is the scheduler's view of one accepted job.
type job struct {
	rec             workload.Job
	state           workload.State // StatePending until a task has started
	endedMs         int64          // when a final state was reached, by the clock of the partition, see retention.go; 0 before
	inherited       bool           // a former owner may have started its tasks
	steps           []*step
	unfinishedSteps int   // steps that are not done
	attempts        int   // number of attempts of all tasks of the job
	objectiveMs     int64 // see objectiveMs
}

// step is one step of one occurrence.
type step struct {
	job              *job
	spec             workload.Step
	imageIndex       int // index of spec.Image in the interference model
	occurrence       int
	index            int
	tasks            []*task
	unmetDeps        int // earlier steps that are not done
	dependents       []*step
	unfinished       int           // tasks that are not done
	pending          int           // tasks that have no attempt and are not done
	fastest          float64       // highest rate of a task that is done, in percent of the task per second; 0 if none is known
	openedAt         time.Duration // when the steps that it depends on were done, or the job was added
	retryAt          time.Duration // when a search for capacity is worth trying again
	unplacedAt       time.Duration // time of the latest planning run in which it was due and no worker was found for a task
	throttledRetryAt time.Duration // when it is worth looking again for a worker that bears a throttled filler
	fitsNowhereIn    int           // latest pass of searches for fillers in which the step had its turn, see hadTurn; 0 if none
	urgency          urgency       // as of the last planning run
	heldFor          time.Duration // for how long foreseen restarts have held back first starts, see maxForeseenHold
	heldAt           time.Duration // when they did so last
	searchFrom       int           // position among the workers with spare time from which searchFurther continues
}

// task is one task of a step.
type task struct {
	step             *step
	index            int
	done             bool
	failed           []int64 // attempts that have failed; not kept for service tasks, which have no failure limit
	lastAttempt      int64
	checkpoint       string
	storedWorker     WorkerID           // service tasks: worker of the latest attempt; of a former owner, the one in its record
	recordedWorker   WorkerID           // the worker in the stored record; empty if unknown, see stored_worker.go
	crashes          []workload.Crash   // on record, see crash.go
	silentOn         []workload.Silence // workers that stopped answering soon after they had accepted the task
	uncertainCrashes int                // crashes of workers that may have started it: the starts were not answered
	crashedAt        time.Duration      // when the last crash came on record; of former owners, the takeover
	storedCrashes    int                // number of crashes that are stored
	storedSilentOn   int                // number of entries of silentOn that are stored
	rate             float64            // rate of the attempt that completed the task; 0 if unknown
	ran              bool               // a worker has confirmed an attempt or may have started it without an answer; of a former owner, one was stored
	displacement     displacement       // see restart.go; the zero value unless the task is displaced
	nomination       nomination         // the zero value unless capacity is kept for the task, see nominate.go
	attempts         []*attempt
	failedOn         []WorkerID    // workers on which it failed and that it avoids
	failedAt         time.Duration // when it failed last
	endedAt          time.Duration // when the end of its last attempt became known; 0 if none has run, or one runs
	ranFor           time.Duration // for how long its last attempt had run by then
	preemptions      int           // how often an attempt was stopped for a displaced task by this owner
	waitReason       WaitReason    // why it waited when Waits was last called; Suitable if it has started since
}

// phase is the state of an attempt.
type phase uint8

const (
	awaitingStore phase = iota // a service task: the start is ordered once its worker is stored
	starting                   // the start order was issued and is not answered yet
	unanswered                 // no answer arrived to the start order, which may still take effect
	running                    // the worker has confirmed the attempt
	stopping                   // the attempt has to end; the stop order is repeated until the worker confirms it
)

// attempt is one start of a task on a worker.
type attempt struct {
	task             *task
	number           int64
	worker           *worker
	phase            phase
	confirmedAt      time.Duration // when the worker confirmed the start; 0 before
	listedAt         time.Duration // when a report last listed it as running; 0 before the first
	listedIn         int64         // number of that report of the worker
	stopSentAt       time.Duration // when the latest stop order was sent; 0 before the first
	stoppingSince    time.Duration // when the attempt was first to be stopped; 0 before
	stoppedInTime    bool          // the worker answered polls when the attempt was first to be stopped
	endUnlisted      bool          // a report that leaves out ends has shown that the attempt has ended
	preempted        bool          // it was stopped for a displaced task, see preempt.go
	crashCounted     bool          // the end of its worker's process was counted
	stopResendAfter  time.Duration // delay before the stop order is sent again
	stopConfirmedAt  time.Duration // when the worker confirmed a stop order; 0 before
	percent          float64       // progress, or share of full speed for service tasks
	rate             float64       // latest measured progress at full speed, in percent of the task per second
	rateKnown        bool          // rate was measured
	measuredAt       time.Duration // start of the current measurement of the rate
	measuredPercent  float64
	resumed          bool          // started from a checkpoint, or adopted from a former owner
	percentChangedAt time.Duration // when percent last changed
	metric           float64       // tail latency in ms for a service task, else thousandths of a core in use
	startedAt        time.Duration // when the start was decided or the attempt was adopted
	orderedAt        time.Duration // when the start was ordered; 0 before, and if it was adopted
	share            int           // share that a filler should have, in percent of full speed
	overTargetSince  time.Duration // since when a service has been over its target; 0 when it is not
	slowSince        time.Duration // since when the share of a filler has been at most slowShare; 0 when it is higher
	ownLoadUntil     time.Duration // until when a service counts as over target by its own load
	confirmedShare   int           // share in percent that the worker has confirmed; fullShare at the start
	paceSentAt       time.Duration // when the latest pace order was sent; 0 when none is outstanding
}

// listedFor returns for how long after its start the worker has listed the attempt as running; 0 if it never has.
func (a *attempt) listedFor() time.Duration { return max(a.listedAt-a.startedAt, 0) }

func (a *attempt) key() attemptKey { return attemptKey{a.task.id(), a.number} }

func (t *task) id() workload.TaskID {
	return workload.TaskID{Job: t.step.job.rec.ID, Occurrence: t.step.occurrence, Step: t.step.index, Index: t.index}
}

// pending reports whether the task has to be started.
func (t *task) pending() bool { return !t.done && len(t.attempts) == 0 }

// newJob builds a job with the steps of all its occurrences.
func newJob(rec workload.Job) *job {
	j := &job{rec: rec, state: workload.StatePending, objectiveMs: objectiveMs(rec)}
	for k := range rec.Recurrence.Occurrences() {
		j.addOccurrence(k)
	}
	j.unfinishedSteps = len(j.steps)
	return j
}

func (j *job) addOccurrence(k int) {
	first := len(j.steps)
	for i, spec := range j.rec.Steps {
		s := &step{job: j, spec: spec, occurrence: k, index: i, unfinished: spec.Tasks, pending: spec.Tasks}
		s.tasks = make([]*task, spec.Tasks)
		for n := range s.tasks {
			s.tasks[n] = &task{step: s, index: n}
		}
		for _, earlier := range spec.After {
			before := j.steps[first+earlier]
			before.dependents = append(before.dependents, s)
			s.unmetDeps++
		}
		j.steps = append(j.steps, s)
	}
}

// step returns a step of an occurrence, or nil if the job has no such step.
func (j *job) step(occurrence, index int) *step {
	if occurrence < 0 || occurrence >= j.rec.Recurrence.Occurrences() {
		return nil
	}
	if index < 0 || index >= len(j.rec.Steps) { // a job that ended under a former owner has no steps
		return nil
	}
	return j.steps[occurrence*len(j.rec.Steps)+index]
}

// objectiveMs returns the time in milliseconds after which the result of a job, or of one of its occurrences, loses most of its
// value to the caller: the estimated duration of the longest chain of steps, scaled and extended by the queue's settings.
func objectiveMs(rec workload.Job) int64 {
	chain := make([]int64, len(rec.Steps))
	longest := int64(0)
	for i, spec := range rec.Steps {
		if spec.Service {
			continue
		}
		before := int64(0)
		for _, earlier := range spec.After {
			before = max(before, chain[earlier])
		}
		chain[i] = before + spec.EstimateMs
		longest = max(longest, chain[i])
	}
	return int64(rec.Queue.Stretch*float64(longest)) + rec.Queue.TargetMs
}
