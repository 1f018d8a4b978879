package schedule

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fulmarcourse.example/core/workload"
)

// The platform's bounds for tasks that could run and do not.
const (
	simFinish   = 14 * time.Second // time after the traffic from which jobs are asked for
	simJobIdle  = 3 * time.Second  // longest time in which a job has nothing running beside free capacity
	simCalmDown = 7 * time.Second  // time without a disturbance from which services have to run
)

// suspectSim is a fault simulation with tasks that do not crash their workers, and at times one that does. It checks that the former wait
// no longer than the platform allows.
type suspectSim struct {
	*faultSim
	idleSince    map[workload.JobID]time.Duration // jobs with nothing running beside free capacity
	lastRun      [simServices]time.Duration       // of the tasks of serviceJob, or when there was no capacity
	disturbedAt  time.Duration                    // when a fault was last injected or had an effect
	longestIdle  time.Duration
	longestDown  time.Duration
	ownerChanges int // inverse of the probability of a change of the owner in each step; 0 for none beside those of faultSim
	owners       *rand.Rand
}

func newSuspectSim(f *faultSim) *suspectSim {
	sim := &suspectSim{faultSim: f, idleSince: map[workload.JobID]time.Duration{}, disturbedAt: f.now,
		owners: rand.New(rand.NewPCG(f.seed, 47))}
	for n := range sim.lastRun {
		sim.lastRun[n] = f.now
	}
	return sim
}

// disturbed reports whether a fault is injected or has an effect now: also while the owner has no recent report of a worker. The simulation
// polls at random, so that this may last for seconds; owners poll each worker once a second.
func (sim *suspectSim) disturbed() bool {
	if sim.now < time.Hour+simFaultsEnd || len(sim.delayed) > 0 {
		return true
	}
	for _, worker := range sim.workers {
		if w := sim.s.workers[worker.info.ID]; sim.unreachable(worker) || worker.cut != nil || w == nil || !w.reachable(sim.now) {
			return true
		}
	}
	l := sim.late
	return l != nil && (sim.now < l.behindUntil+simMaxLateness || sim.storeDown() || sim.now < time.Hour+simFaultsEnd+simMaxStoring)
}

// play plays the simulation up to a time and checks the waits in each step.
func (sim *suspectSim) play(end time.Duration) {
	for sim.now < time.Hour+end {
		sim.step()
		if sim.ownerChanges > 0 && sim.now < time.Hour+simFaultsEnd && sim.owners.IntN(sim.ownerChanges) == 0 && !sim.storeDown() {
			sim.takeOver()
		}
		if sim.disturbed() {
			sim.disturbedAt = sim.now
		}
		sim.checkIdleJobs()
		sim.checkServices()
	}
}

// freeWorkers returns the number of sound workers with room for a task, and whether under half of the capacity of all sound workers is
// in use.
func (sim *suspectSim) freeWorkers(t *task) (free int, littleUsed bool) {
	capacity, used := int64(0), int64(0)
	for _, worker := range sim.soundWorkers() {
		running := int64(0)
		for key := range worker.running {
			if other := sim.s.task(key.task); other != nil {
				running += other.step.spec.Reserved().MilliCPU
			}
		}
		capacity, used = capacity+worker.info.Capacity.MilliCPU, used+running
		if running+t.step.spec.Reserved().MilliCPU <= worker.info.Capacity.MilliCPU {
			free++
		}
	}
	return free, 2*used < capacity
}

// dueTask returns a task of a job whose turn has come; nil if there is none, or a task of the job runs.
func (sim *suspectSim) dueTask(id workload.JobID) (due *task) {
	j := sim.s.jobs[id]
	if j == nil || j.state.Final() {
		return nil
	}
	for key := range sim.running() {
		if key.task.Job == id {
			return nil
		}
	}
	for st := range sim.s.openSteps {
		if st.job != j {
			continue
		}
		for _, t := range st.tasks {
			if !t.done && !sim.hasEnded(t.id()) {
				due = t
			}
		}
	}
	return due
}

// hasEnded reports whether a worker lists a task as done.
func (sim *suspectSim) hasEnded(id workload.TaskID) bool {
	return slices.ContainsFunc(sim.workers, func(worker *faultSimWorker) bool {
		return slices.ContainsFunc(worker.ended, func(e Ended) bool {
			_, counts := worker.endedAt[e.Number]
			return e.Task == id && e.Kind == EndDone && counts
		})
	})
}

// checkIdleJobs fails the test if a job that does not crash its workers has had nothing running for too long beside free capacity.
func (sim *suspectSim) checkIdleJobs() {
	if sim.now < time.Hour+simFaultsEnd+simFinish {
		return
	}
	for _, job := range sim.jobs {
		due := sim.dueTask(job.ID)
		if due == nil || job.ID == crashingJob || sim.disturbed() {
			delete(sim.idleSince, job.ID)
			continue
		}
		if free, littleUsed := sim.freeWorkers(due); free < 2 || !littleUsed {
			delete(sim.idleSince, job.ID)
			continue
		}
		since, idle := sim.idleSince[job.ID]
		if !idle {
			since, sim.idleSince[job.ID] = sim.now, sim.now
		}
		sim.longestIdle = max(sim.longestIdle, sim.now-since)
		if sim.now-since > simJobIdle {
			sim.fatalf("job %s has had nothing running for %v: %s", job.ID, sim.now-since, sim.reasonOf(due))
		}
	}
}

// checkServices fails the test if a task of serviceJob has been down for too long beside capacity, after a time without disturbance.
func (sim *suspectSim) checkServices() {
	j := sim.s.jobs[serviceJob]
	if j == nil || j.state.Final() {
		return
	}
	for index, atWork := range sim.servicesAtWork() {
		t := sim.s.task(taskID(serviceJob, 0, index))
		if free, _ := sim.freeWorkers(t); atWork || free < 2 {
			sim.lastRun[index] = sim.now
		}
		if sim.now-sim.disturbedAt <= simCalmDown {
			continue
		}
		down := sim.now - sim.lastRun[index]
		sim.longestDown = max(sim.longestDown, down)
		if down > simServiceDown {
			sim.fatalf("service task %d has been down for %v, %v without a disturbance: %s", index, down, sim.now-sim.disturbedAt, sim.reasonOf(t))
		}
	}
}

// reasonOf describes why a task waits.
func (sim *suspectSim) reasonOf(t *task) string {
	reason := "no reason"
	for _, waiting := range sim.s.Waits(sim.time()).Steps {
		if waiting.Task.Job == t.id().Job && waiting.Task.Step == t.id().Step {
			reason = fmt.Sprintf("%v, workers %v", waiting.Reason, &waiting.Workers)
		}
	}
	return fmt.Sprintf("%v waits, %s, crashes %+v, term %d", t.id(), reason, t.crashes, sim.term)
}

// suspectMixes are the simulations in which workers crash behind cuts.
var suspectMixes = map[string]func(*testing.T, uint64) *faultSim{
	"evidence": func(t *testing.T, seed uint64) *faultSim { return newEvidenceFaultSim(newFaultSim(t, seed)) },
	"evidence, late": func(t *testing.T, seed uint64) *faultSim {
		return newEvidenceFaultSim(newLateFaultSim(newFaultSim(t, seed)))
	},
}

// suspectSeeds are seeds with which tasks waited for too long, or one that crashes its workers was not given up, by mix.
var suspectSeeds = map[string][]uint64{
	"evidence":       {112, 543, 548, 2975, 20037},
	"evidence, late": {28, 120, 177, 1826, 600363},
}

// playSuspects plays a simulation of each mix with the seeds that the flags select and with those of suspectSeeds.
func playSuspects(t *testing.T, play func(f *faultSim)) {
	for name, newSim := range suspectMixes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playSeed := func(seed uint64) {
				t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { play(newSim(t, seed)) })
			}
			for _, seed := range suspectSeeds[name] {
				playSeed(seed)
			}
			playSeeds(playSeed)
		})
	}
}

// Guards against a task that waits beside a pool that is mostly free because workers have crashed behind cuts soon after they had
// started it, for reasons of their own (issue 47): the wait grew with each such crash, up to minutes.
func TestHarmlessSuspectsRunInAFreePool(t *testing.T) {
	playSuspects(t, func(f *faultSim) { newSuspectSim(f).play(simEnd) })
}

// Guards against the same for services, which have to run again at any time of the day.
func TestHarmlessSuspectsAmongServicesRunAgain(t *testing.T) {
	playSuspects(t, func(f *faultSim) {
		f.addServices()
		newSuspectSim(f).play(simEnd)
	})
}

// Guards against a task that crashes its workers and is told from others only by making these wait: it has to be given up within its bound
// of starts, while the others, of which each crash hits some, are not given up and wait no longer than without it.
func TestCrashingTaskIsGivenUpBesideHarmlessSuspects(t *testing.T) {
	playSuspects(t, func(f *faultSim) { f.playCrashingSuspect(0) })
}

// Guards against the same under owners that follow each other every few seconds: each of them knows only what is stored.
func TestCrashingTaskIsGivenUpBesideHarmlessSuspectsUnderManyOwners(t *testing.T) {
	playSuspects(t, func(f *faultSim) { f.playCrashingSuspect(40) })
}

// playCrashingSuspect plays a simulation with a task that crashes its workers and tasks that do not.
func (f *faultSim) playCrashingSuspect(ownerChanges int) {
	if f.seed%4 < 2 {
		f.addServices()
	}
	f.addCrashingJob(false) // two runs at a time are a fault
	sim := newSuspectSim(f)
	sim.ownerChanges = ownerChanges
	sim.play(simEnd)
	sim.checkCrashingJob()
}
