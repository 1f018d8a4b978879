package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"fulmarcourse.example/core/workload"
)

// Guards against an index that loses workers or keeps stale keys: whatever happened before, a search with a fresh index
// must place exactly the tasks that a check of every worker would place.
func TestIndexFindsEveryFreeWorker(t *testing.T) {
	for seed := range uint64(40) {
		rnd := rand.New(rand.NewPCG(seed, 3))
		h := newHarness(t, 1)
		for n := range 8 {
			h.addWorker(WorkerID(fmt.Sprint("w", n)), func(info *WorkerInfo) { info.Labels = []string{fmt.Sprint("r", n/2)} })
		}
		for n := range 60 {
			h.disturb(rnd, n)
			step := testStep(1)
			step.Size.MilliCPU = 500 + rnd.Int64N(16000)
			job := testJob(workload.JobID(fmt.Sprint("probe", n)), step)
			h.s.AddJob(job, nil, false)
			task := h.s.task(taskID(job.ID, 0, 0))
			found := h.s.choose(h.now, task) != nil
			want := false
			for _, w := range h.s.sortedWorkers {
				want = want || h.s.fits(h.now, task, w)
			}
			if found != want {
				t.Fatalf("seed %d, step %d: found %v, want %v", seed, n, found, want)
			}
			h.s.Cancel(h.now, job.ID)
		}
	}
}

// disturb makes one random change that the index has to follow.
func (h *harness) disturb(rnd *rand.Rand, n int) {
	id := WorkerID(fmt.Sprint("w", rnd.IntN(8)))
	w := h.workers[id]
	switch rnd.IntN(6) {
	case 0:
		h.s.PollFailed(h.now, id, Grant{})
	case 1:
		w.info.Draining = !w.info.Draining
		h.listWorkers()
	case 2:
		w.info.Labels = []string{fmt.Sprint("r", rnd.IntN(4))}
		h.listWorkers()
	case 3:
		w.incarnation, w.running, w.ended, w.ends = w.incarnation+1, nil, nil, 0
		h.reportAll()
	case 4:
		h.advanceClock(indexRefresh * 3)
		h.reportAll()
	default:
		step := testStep(1 + rnd.IntN(3))
		step.Size.MilliCPU = 1000 + rnd.Int64N(9000)
		h.s.AddJob(testJob(workload.JobID(fmt.Sprint("load", n)), step), nil, false)
		h.run()
	}
}

// Guards against data that is read from another rack although a worker of its own rack has room, however attractive
// another worker is otherwise.
func TestTasksRunInTheRackOfTheirData(t *testing.T) {
	h := newHarness(t, 1)
	for n := range 40 {
		h.addWorker(WorkerID(fmt.Sprintf("w%02d", n)), func(info *WorkerInfo) { info.Labels = []string{fmt.Sprint("rack", n/4)} })
	}
	busy := testStep(4)
	busy.Size.MilliCPU, busy.DataRack = 14000, "rack7"
	near := testStep(4)
	near.Size.MilliCPU, near.DataRack = 2000, "rack7"
	h.s.AddJob(testJob("busy", busy), nil, false)
	h.wantStarts(h.run(), 4)
	h.s.AddJob(testJob("near", near), nil, false)
	orders := h.run()
	h.wantStarts(orders, 4)
	for _, o := range orders {
		if !h.s.workers[o.Worker].hasLabel("rack7") {
			t.Errorf("task %v runs on %s", o.Task, o.Worker)
		}
	}
}

// Guards against a search that only checks the workers with the highest ratings: these may be the ones on which a task must
// not run, because of its limit per worker or its label.
func TestSearchGoesBeyondTheHighestRatings(t *testing.T) {
	const workers = 3 * maxCandidates
	h := newHarness(t, 1)
	for n := range workers {
		h.addWorker(WorkerID(fmt.Sprintf("w%03d", n)), func(info *WorkerInfo) {
			info.Labels = []string{"common"}
			if n == workers-1 {
				info.Labels, info.Capacity.MilliCPU = []string{"rare"}, 8000
			}
		})
	}
	service := serviceStep("service", workers)
	service.MaxPerWorker = 1
	h.s.AddJob(testJob("service", service), nil, false)
	h.wantStarts(h.run(), workers)
	labelled := serviceStep("labelled", 1)
	labelled.Label = "rare"
	h.s.AddJob(testJob("labelled", labelled), nil, false)
	h.wantStarts(h.run(), 1)
	filler := fillerStep("filler", 1)
	filler.Label = "rare"
	h.s.AddJob(testJob("filler", filler), nil, false)
	for n := 0; len(starts(h.run())) == 0; n++ {
		if n == workers {
			t.Fatal("the filler with a rare label is not started")
		}
		h.advanceClock(fillerRetryDelay)
		h.reportAll()
	}
}

// Scenario: one worker of a large pool has the label that fillers need, and the least spare time. Guards against fillers that wait
// while the search passes over workers without the label, beside which it checks only some.
func TestFillersWithARareLabelStartAtOnce(t *testing.T) {
	const workers = maxFillerChecks + 2*maxCandidates
	h := newHarness(t, 1)
	for n := range workers {
		label, capacity := "common", int64(16000)
		if n == workers-1 {
			label, capacity = "rare", 8000
		}
		w := &simWorker{incarnation: 1, stopped: map[attemptKey]bool{}}
		w.info = WorkerInfo{ID: fleetWorker(n), Datacentre: "dc1", Pool: testPool, Labels: []string{label}, Capacity: testStep(1).Size}
		w.info.Capacity.MilliCPU, w.info.Capacity.MemoryBytes = capacity, 64<<30
		h.workers[w.info.ID] = w
	}
	h.listWorkers()
	filler := fillerStep("filler", 2)
	filler.Label = "rare"
	h.s.AddJob(testJob("filler", filler), nil, false)
	h.wantStarts(h.run(), 2)
}
