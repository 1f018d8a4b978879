package schedule

import (
	"fmt"
	"testing"

	"fulmarcourse.example/core/workload"
)

// Scenario: many steps of fillers wait while no worker has spare time for them, and a short task arrives. Guards against
// planning runs that grow with the number of waiting fillers, during which reports and urgent tasks wait, and against steps
// that are not tried because others before them fit nowhere.
func TestPlanningRunsAreBoundedBesideManyWaitingFillers(t *testing.T) {
	h := newHarness(t, 1)
	const workers, steps = 20, 3*maxFillerSearches + 5
	for n := range workers {
		h.addWorker(WorkerID(fmt.Sprintf("w%03d", n)), nil)
	}
	capacity := h.workers["w000"].info.Capacity.MilliCPU
	for n := range steps {
		filler := fillerStep("image", 2)
		filler.Size.MilliCPU = 2*capacity - int64(n) // smaller than those before, which have less work
		filler.EstimateMs = int64(n + 1)
		if n == steps-1 {
			filler.Size.MilliCPU, filler.EstimateMs = 1000, capacity*steps
		}
		h.s.AddJob(testJob(workload.JobID(fmt.Sprintf("job%04d", n)), filler), nil, false)
	}
	h.s.AddJob(testJob("short", testStep(1)), nil, false)
	started := map[workload.JobID]int{}
	for run := range steps/maxFillerSearches + 1 {
		for _, order := range h.run() {
			started[order.Task.Job]++
		}
		if h.s.fillerSearches > maxFillerSearches {
			t.Fatalf("run %d searched %d times, want at most %d", run, h.s.fillerSearches, maxFillerSearches)
		}
		if run == 0 && started["short"] != 1 {
			t.Error("the short task did not start in the first run")
		}
		if got, want := h.s.Incomplete(), run < steps/maxFillerSearches; got != want {
			t.Errorf("run %d: Incomplete is %v, want %v", run, got, want)
		}
	}
	if last := workload.JobID(fmt.Sprintf("job%04d", steps-1)); started[last] != 2 {
		t.Errorf("%d of 2 tasks of the step that fits have started", started[last])
	}
}

// Scenario: a step of many fillers starts on many workers with spare time. Guards against a bound on searches that also
// bounds the tasks that share a search.
func TestFillersThatShareASearchStartBeyondTheBound(t *testing.T) {
	h := newHarness(t, 1)
	const workers = 2 * maxFillerSearches
	for n := range workers {
		h.addWorker(WorkerID(fmt.Sprintf("w%03d", n)), nil)
	}
	step := fillerStep("image", 2*workers)
	step.Size.MilliCPU = 1000
	h.s.AddJob(testJob("job", step), nil, false)
	h.wantStarts(h.run(), 2*workers)
}

// Scenario: a service is over its target on a worker with spare time. Guards against searches that spend their checks on
// workers on which no filler may start.
func TestWorkersOfServicesOverTargetAreNotSearchedForFillers(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w", nil)
	h.s.AddJob(testJob("service", serviceStep("service", 1)), nil, false)
	h.run()
	h.run()
	service := h.s.workers["w"].attemptList[0]
	setTail := func(metric float64) {
		h.workers["w"].running[0].Percent, h.workers["w"].running[0].Metric = fullShare, metric
		h.reportAll()
		h.s.index.update(h.s, h.now)
	}
	target := service.task.step.spec.TailTargetMs
	setTail(2 * target)
	if n := h.s.index.pools[testPool].bySpare.count(0); n != 0 {
		t.Errorf("%d workers have room for fillers beside a service over its target, want 0", n)
	}
	setTail(target / 10)
	if n := h.s.index.pools[testPool].bySpare.count(0); n != 1 {
		t.Errorf("%d workers have room for fillers beside a service below its target, want 1", n)
	}
}
