package schedule

import (
	"fmt"
	"testing"

	"fulmarcourse.example/core/workload"
)

// Attempts on each worker of a loaded fleet.
const (
	benchServices = 4
	benchFillers  = 25
	benchShort    = 1
)

// fleet returns a scheduler with workers that have reported and run nothing, 20 a rack.
func fleet(workers int) *harness {
	h := newHarness(&testing.T{}, 1)
	infos := make([]WorkerInfo, 0, workers)
	for n := range workers {
		id := fleetWorker(n)
		rack := fmt.Sprint("r-", n/20)
		w := &simWorker{incarnation: 1, stopped: map[attemptKey]bool{}}
		w.info = WorkerInfo{ID: id, Address: string(id), Datacentre: "dc1", Pool: testPool, Labels: []string{rack}}
		w.info.Capacity = testStep(1).Size
		w.info.Capacity.MilliCPU, w.info.Capacity.MemoryBytes = 16000, 64<<30
		h.workers[id] = w
		infos = append(infos, w.info)
	}
	h.s.SetWorkers(h.now, infos)
	h.s.KnownWorkersStored(infos)
	h.reportAll()
	return h
}

func fleetWorker(n int) WorkerID { return WorkerID(fmt.Sprintf("w%05d", n)) }

// runFleetJob adds a job to the scheduler and lets all its tasks run on a worker; metric returns the metric of each.
func (h *harness) runFleetJob(job workload.Job, worker int, metric func() float64) {
	h.s.AddJob(job, nil, false)
	for _, st := range h.s.jobs[job.ID].steps {
		for _, t := range st.tasks {
			h.s.attach(&attempt{task: t, number: 1, worker: h.s.workers[fleetWorker(worker)], phase: running, confirmedAt: 1, startedAt: 1,
				share: fullShare, confirmedShare: fullShare, percent: fullShare, metric: metric()})
		}
	}
}

// loadedFleet returns a scheduler with workers that run benchServices + benchFillers + benchShort attempts each.
func loadedFleet(workers int) *harness {
	h := fleet(workers)
	for n := range workers {
		service, filler, short := fleetService(benchServices, n%16), fleetFiller(benchFillers, n%30), testStep(benchShort)
		job := testJob(workload.JobID(fmt.Sprint("load", n)), service, filler, short)
		h.runFleetJob(job, n, func() float64 { return 20 })
	}
	h.s.TakeEvents()
	return h
}

func fleetService(tasks, image int) workload.Step {
	step := serviceStep(fmt.Sprint("service", image), tasks)
	step.Size.MilliCPU = 2500
	return step
}

func fleetFiller(tasks, image int) workload.Step {
	step := fillerStep(fmt.Sprint("filler", image), tasks)
	step.Size.MilliCPU = 100
	return step
}

// BenchmarkStart measures the start of one task of each kind on a loaded fleet, including its share of the planning
// cycle, in which ten tasks start.
func BenchmarkStart(b *testing.B) {
	const tasks = 10
	steps := map[string]workload.Step{
		"short": testStep(tasks), "service": fleetService(tasks, 3), "filler": fleetFiller(tasks, 7),
	}
	for _, workers := range []int{100, 1000, 10000} {
		h := loadedFleet(workers)
		for _, kind := range []string{"short", "service", "filler"} {
			b.Run(fmt.Sprintf("%s/%d", kind, workers), func(b *testing.B) {
				for n := 0; n < b.N; n += tasks {
					h.startAndDrop(b, workload.JobID(fmt.Sprint("job", n)), steps[kind])
				}
			})
		}
	}
}

// startAndDrop plans one job and removes it together with its attempts.
func (h *harness) startAndDrop(b *testing.B, id workload.JobID, step workload.Step) {
	h.s.AddJob(testJob(id, step), nil, false)
	h.s.Plan(h.now)
	j := h.s.jobs[id]
	if j.attempts != step.Tasks {
		b.Fatalf("%d of %d tasks were placed", j.attempts, step.Tasks)
	}
	for _, t := range j.steps[0].tasks {
		h.s.drop(t.attempts[0])
	}
	for _, st := range j.steps {
		delete(h.s.openSteps, st)
	}
	h.s.RemoveJob(id)
	h.s.TakeOrders()
	h.s.TakeEvents()
}
