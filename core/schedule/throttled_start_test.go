package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fulmarcourse.example/core/workload"
)

// lostAfter is the time for which the platform lets a job with nothing running wait beside free capacity.
const lostAfter = 3 * time.Second

// nearTarget returns a simulation whose workers each run services near their target, so that a heavy filler fits beside none of them, in a pool
// of which a share is reserved for services. The services of a worker need 4 of its 16 cores each.
func nearTarget(t *testing.T, servicesPerWorker int) *interferenceSim {
	const workers = 4
	sim := newInterferenceSim(t, workers)
	sim.base = 0.8 * targetTailMs
	for n := range servicesPerWorker {
		step := serviceStep("sensitive", workers)
		step.MaxPerWorker = 1
		sim.s.AddJob(testJob(workload.JobID(fmt.Sprintf("service%d", n)), step), nil, false)
	}
	for range 5 {
		sim.step()
	}
	return sim
}

// waitFor plays steps until the job has an attempt, and returns how long that took; false if it has none after limit.
func (sim *interferenceSim) waitFor(job workload.JobID, limit time.Duration) (time.Duration, bool) {
	from := sim.now.Boot
	for sim.now.Boot-from < limit {
		if sim.s.jobs[job].attempts > 0 {
			return sim.now.Boot - from, true
		}
		sim.step()
	}
	return limit, false
}

// Scenario: on all workers of a pool that is little used, services are near their target by their own load, so that fillers of a heavy image
// would take them over it. Guards against a job that waits for as long as the services run, though most of the room is free.
func TestFillersOfAStalledJobStartInALittleUsedPool(t *testing.T) {
	sim := nearTarget(t, 1)
	for n := range 6 {
		sim.s.AddJob(testJob(workload.JobID(fmt.Sprintf("heavy%d", n)), fillerStep("heavy", 3)), nil, false)
	}
	added := sim.now.Boot
	for n := range 6 {
		if _, started := sim.waitFor(workload.JobID(fmt.Sprintf("heavy%d", n)), lostAfter-(sim.now.Boot-added)); !started {
			t.Errorf("nothing of job %d runs after %v", n, lostAfter)
		}
	}
	for range 40 {
		sim.step()
	}
	if sim.longestOver >= 4*time.Second {
		t.Errorf("a service was over its target for %v", sim.longestOver)
	}
}

// Guards against a throttled filler that runs at full speed until the next report of its worker: the order that slows it has to follow its
// start at once.
func TestThrottledFillerIsSlowedOnceItRuns(t *testing.T) {
	sim := nearTarget(t, 1)
	sim.s.AddJob(testJob("heavy", fillerStep("heavy", 1)), nil, false)
	if _, started := sim.waitFor("heavy", lostAfter); !started {
		t.Fatal("the filler does not start")
	}
	orders := sim.s.TakeOrders()
	if len(orders) != 1 || orders[0].Kind != OrderPace || orders[0].Percent >= fullShare {
		t.Errorf("orders %+v after the start, want one that slows the filler", orders)
	}
}

// Guards against throttled fillers that take room in a pool that is in use, those of a job of which something runs, and those that have not
// waited: the services are disturbed for little gain.
func TestThrottledFillersAreTheLastResort(t *testing.T) {
	for name, c := range map[string]struct {
		servicesPerWorker int
		wait              time.Duration
		running           bool
	}{
		"pool in use":            {2, lostAfter, false},
		"the job has not waited": {1, time.Second, false},
		"a task of the job runs": {1, lostAfter, true},
	} {
		t.Run(name, func(t *testing.T) {
			sim := nearTarget(t, c.servicesPerWorker)
			job := testJob("heavy", fillerStep("heavy", 1))
			if c.running {
				job.Steps = append(job.Steps, testStep(1))
			}
			sim.s.AddJob(job, nil, false)
			filler := sim.s.task(taskID("heavy", 0, 0))
			for from := sim.now.Boot; sim.now.Boot-from < c.wait; {
				sim.step()
			}
			if len(filler.attempts) > 0 {
				t.Error("the filler has started")
			}
		})
	}
}

// Guards against a stalled job that waits while all workers are avoided as well: after a loss of all of them, workers are avoided for longer than
// the platform lets a job wait.
func TestFillersOfAStalledJobStartOnAvoidedWorkers(t *testing.T) {
	sim := nearTarget(t, 1)
	for _, w := range sim.s.workers {
		w.stability = stability{until: sim.now.Boot + time.Minute, lostAt: sim.now.Boot - 5*time.Second}
	}
	sim.s.AddJob(testJob("heavy", fillerStep("heavy", 3)), nil, false)
	if waited, started := sim.waitFor("heavy", lostAfter); !started {
		t.Errorf("nothing of the job runs after %v", waited)
	}
}

// Guards against a job of fillers of which nothing runs for longer than the platform allows while the pool is little used, and against services
// that fillers keep over their target for too long: in pools of any size, with services that are far from their target, near it or over it by
// their own load, and fillers that interfere with them or not.
func TestNoJobOfFillersWaitsInALittleUsedPool(t *testing.T) {
	for seed := range uint64(150) {
		rnd := rand.New(rand.NewPCG(seed, 0))
		workers := 1 + rnd.IntN(8)
		sim := newInterferenceSim(t, workers)
		sim.base = targetTailMs * (0.2 + 1.2*rnd.Float64())
		services := serviceStep("sensitive", workers)
		services.Size.MilliCPU = 1000 + 1000*rnd.Int64N(6)
		sim.s.AddJob(testJob("services", services), nil, false)
		idleSince := map[workload.JobID]time.Duration{}
		for n := range 60 {
			if rnd.IntN(2) == 0 {
				id := workload.JobID(fmt.Sprintf("job%02d", n))
				step := fillerStep([]string{"heavy", "light"}[rnd.IntN(2)], 1+rnd.IntN(4))
				step.Size.MilliCPU = 500 + 500*rnd.Int64N(8)
				sim.s.AddJob(testJob(id, step), nil, false)
				idleSince[id] = sim.now.Boot
			}
			sim.step()
			for id := range idleSince {
				p := sim.s.index.pools[testPool]
				if j := sim.s.jobs[id]; j.attempts > 0 || j.state.Final() || !p.use.little || !p.use.littleMemory {
					idleSince[id] = sim.now.Boot
				}
				if idle := sim.now.Boot - idleSince[id]; idle > lostAfter {
					t.Fatalf("seed %d: nothing of %s runs for %v in a little used pool of %d workers, services at %.2f of their target", seed, id,
						idle, workers, sim.base/targetTailMs)
				}
			}
		}
		if sim.longestOver >= 4*time.Second && sim.base < targetTailMs {
			t.Errorf("seed %d: a service was over its target for %v", seed, sim.longestOver)
		}
	}
}
