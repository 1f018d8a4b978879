package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fulmarcourse.example/core/workload"
)

// groupSim is a number of jobs of one service task each, all suspects of one crash, on a number of workers. Those that crash take each
// worker that starts them with them.
type groupSim struct {
	*harness
	tasks     []workload.TaskID
	crashing  map[workload.TaskID]bool
	starts    map[workload.TaskID]int           // with that on the worker which has crashed before
	lastRun   map[workload.TaskID]time.Duration // when it was last seen to run
	longest   time.Duration                     // longest time in which a task that does not crash did not run
	processes int
	lose      func(Order) bool // starts whose answer is lost; nil for none
}

func newGroupSim(t *testing.T, suspects, workers int, crashing ...int) *groupSim {
	g := &groupSim{harness: newHarness(t, 1), crashing: map[workload.TaskID]bool{}, starts: map[workload.TaskID]int{},
		lastRun: map[workload.TaskID]time.Duration{}}
	for n := range workers {
		g.addWorker(WorkerID(fmt.Sprint("w", n)), func(info *WorkerInfo) {
			info.StartedMs = 1
			info.Capacity.MilliCPU, info.Capacity.MemoryBytes = 1_000_000, 1<<50
		})
	}
	for n := range suspects {
		task := g.displacedTask(workload.JobID(fmt.Sprintf("job%03d", n)), testStep(1), "gone")
		g.s.addCrash(task, workload.Crash{Worker: "gone", StartedMs: 1})
		g.tasks = append(g.tasks, task.id())
		g.lastRun[task.id()] = g.now.Boot
		g.starts[task.id()] = 1
	}
	for _, n := range crashing {
		g.crashing[g.tasks[n]] = true
	}
	g.store()
	return g
}

// nextProcess ends the process of a worker with all that it runs and lists the next one, which has another ID and the same capacity.
func (g *groupSim) nextProcess(id WorkerID) {
	before := g.workers[id].info
	delete(g.workers, id)
	g.processes++
	g.addWorker(WorkerID(fmt.Sprint("next", g.processes)), func(info *WorkerInfo) {
		next := info.ID
		*info = before
		info.ID, info.StartedMs = next, before.StartedMs+1
	})
}

// step plans, executes the orders, ends the processes of the workers on which a task crashes, and makes all workers report.
func (g *groupSim) step() {
	crashed := map[WorkerID]bool{}
	for _, o := range g.plan() {
		outcome := g.execute(o)
		if o.Kind == OrderStart {
			g.starts[o.Task]++
			crashed[o.Worker] = crashed[o.Worker] || g.crashing[o.Task]
			if g.lose != nil && g.lose(o) {
				outcome = Unanswered
			}
		}
		g.s.OrderAnswered(g.now, o, outcome)
	}
	for _, id := range g.workerIDs() {
		if !crashed[id] {
			continue
		}
		for _, r := range g.workers[id].running {
			g.lastRun[r.Task] = g.now.Boot
		}
		g.nextProcess(id)
	}
	g.elapse(reportingStep)
	for _, w := range g.workers {
		for _, r := range w.running {
			g.lastRun[r.Task] = g.now.Boot
		}
	}
	for _, id := range g.tasks {
		if !g.crashing[id] {
			g.longest = max(g.longest, g.now.Boot-g.lastRun[id])
		}
	}
}

// play runs the simulation and fails the test unless exactly the jobs whose tasks crash are given up, within the platform's bound of
// starts, and all others run.
func (g *groupSim) play(length time.Duration) {
	g.t.Helper()
	for end := g.now.Boot + length; g.now.Boot < end; {
		g.step()
	}
	g.store()
	for _, id := range g.tasks {
		state, _ := g.s.JobState(id.Job)
		switch {
		case g.crashing[id] && (state != workload.StateFailed || g.starts[id] > maxStartsOfCrashingTask):
			g.t.Errorf("%v, which crashes its workers, is %q after %d starts, want failed after at most %d", id, state, g.starts[id], maxStartsOfCrashingTask)
		case !g.crashing[id] && state != workload.StateRunning:
			g.t.Errorf("%v, which does not crash, is %q after %d starts", id, state, g.starts[id])
		case !g.crashing[id] && g.now.Boot-g.lastRun[id] > reportingStep:
			g.t.Errorf("%v does not run at the end", id)
		}
	}
}

// groupSimLength is longer than all suspects of a simulation need to be told apart.
const groupSimLength = 2 * time.Minute

// Guards against services that wait beside free capacity for longer than their bound because there are many suspects of a crash of which
// none crashes its worker again.
func TestSuspectsThatDoNotCrashRunWithinTheirBound(t *testing.T) {
	for _, suspects := range []int{2, 12, 50, 200} {
		for _, workers := range []int{1, 3} {
			t.Run(fmt.Sprintf("%d suspects, %d workers", suspects, workers), func(t *testing.T) {
				g := newGroupSim(t, suspects, workers)
				g.play(groupSimLength)
				if g.longest > serviceWaitBound {
					t.Errorf("a service has not run for %v, want at most %v", g.longest, serviceWaitBound)
				}
				for _, id := range g.tasks {
					if g.starts[id] != 2 {
						t.Errorf("%v was started %d times, want once before and once after the crash", id, g.starts[id])
					}
				}
			})
		}
	}
}

// Guards against suspects that share a worker while another one is free of them.
func TestSuspectsShareNoWorkerWhileOthersAreFree(t *testing.T) {
	g := newGroupSim(t, 20, 12)
	for range 40 {
		g.step()
		for id, w := range g.s.workers {
			if jobs, _ := w.probationJobs(nil, suspicion{}); len(jobs) > 1 {
				t.Fatalf("%s runs tasks on probation of %d jobs", id, len(jobs))
			}
		}
	}
}

// Guards against a crash of a group that is taken for one of each of its tasks: jobs would be shown as failed whose tasks have not
// crashed a worker. Against a task that crashes its workers and is hidden by its groups. And against a wait that grows with the number of
// the tasks of a group that has crashed.
func TestTaskThatCrashesAGroupOfSuspectsIsGivenUp(t *testing.T) {
	for _, suspects := range []int{2, 12, 50, 120} {
		for _, workers := range []int{1, 3} {
			for _, crashing := range [][]int{{0}, {suspects / 2}, {suspects - 1}, {suspects / 3, suspects - 1}} {
				t.Run(fmt.Sprintf("%d suspects, %d workers, crashing %v", suspects, workers, crashing), func(t *testing.T) {
					g := newGroupSim(t, suspects, workers, crashing...)
					g.play(groupSimLength)
					t.Logf("longest wait %v", g.longest)
				})
			}
		}
	}
}

// Scenario: the start of a task that crashes its workers is not answered, those of the tasks beside it are. Guards against giving up one
// of these, whose crash alone is certain.
func TestUnansweredStartInAGroupPointsToNoOtherTask(t *testing.T) {
	for _, lost := range []int{1, 2} {
		g := newGroupSim(t, 12, 1, 8)
		n := 0
		g.lose = func(o Order) bool {
			if !g.crashing[o.Task] {
				return false
			}
			n++
			return n <= lost
		}
		g.play(groupSimLength)
	}
}

// Guards against the same for any number of suspects, of workers and of tasks that crash, also while answers to starts are lost.
func TestSuspectsAreToldApartInGroups(t *testing.T) {
	const lostShare = 6 // inverse of the share of starts whose answers are lost
	playSeeds(func(seed uint64) {
		rnd := rand.New(rand.NewPCG(seed, 6))
		suspects, workers := 1+rnd.IntN(40), 1+rnd.IntN(4)
		crashing := rnd.Perm(suspects)[:rnd.IntN(min(suspects, 4))]
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			g := newGroupSim(t, suspects, workers, crashing...)
			lost := map[workload.TaskID]bool{}
			g.lose = func(o Order) bool { // of each task one: a task whose starts are not answered is not known to crash
				if lost[o.Task] || seed%3 == 0 || seed%3 == 1 && !g.crashing[o.Task] || rnd.IntN(lostShare) != 0 {
					return false
				}
				lost[o.Task] = true
				return true
			}
			g.play(groupSimLength)
			if t.Failed() {
				t.Logf("%d suspects, %d workers, crashing %v", suspects, workers, crashing)
			}
		})
	})
}
