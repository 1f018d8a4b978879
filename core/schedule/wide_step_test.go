package schedule

import (
	"fmt"
	"testing"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
)

// ownerSilence is for how long a relay goes on without a call from its owner, which makes none while it applies reports or plans.
const ownerSilence = 3 * time.Second

// wideHarness returns an owner whose ten workers run the tasks of one step of the greatest width.
func wideHarness(t *testing.T, step workload.Step) *harness {
	h := newHarness(t, 1)
	for n := range 10 {
		h.addWorker(WorkerID(fmt.Sprint("w", n)), func(info *WorkerInfo) {
			info.Capacity = structs.Resources{MilliCPU: 32000, MemoryBytes: 64 << 30}
		})
	}
	step.Tasks, step.Size = workload.MaxTasks, structs.Resources{MilliCPU: 16, MemoryBytes: 1 << 20}
	h.s.AddJob(testJob("wide", step), nil, false)
	for range 10 { // a planning run starts some of the tasks only
		h.run()
		h.reportAll()
	}
	return h
}

// Scenario: a step of the greatest width runs on few workers. Guards against reports whose cost grows with the product of the tasks on the
// worker and those of the step: the relays give the owner up while it applies them, and no job is scheduled any more.
func TestReportsOfAWideStepAreAppliedInTime(t *testing.T) {
	h := wideHarness(t, workload.Step{EstimateMs: 3000})
	running := 0
	for _, w := range h.workers {
		running += len(w.running)
	}
	if running < workload.MaxTasks/2 {
		t.Fatalf("%d tasks run", running)
	}
	began := time.Now()
	for n := range 5 {
		h.advanceClock(time.Second)
		for _, w := range h.workers {
			for i := range w.running {
				w.running[i].Percent = float64(10*n + i%10)
			}
		}
		h.reportAll()
		h.run()
	}
	if took := time.Since(began); took > ownerSilence {
		t.Errorf("five reports of each worker take %v, want at most %v", took, ownerSilence)
	}
}

// Scenario: a service of the greatest width runs on few workers, some of which turn slow. Guards against planning runs whose cost grows with
// the product of the tasks on slow workers and those of the step.
func TestSlowWorkersOfAWideServiceArePlannedInTime(t *testing.T) {
	h := wideHarness(t, workload.Step{Service: true, MaxUnavailable: 1})
	began := time.Now()
	for range 5 {
		h.advanceClock(time.Second)
		for _, w := range h.workers {
			for i := range w.running {
				w.running[i].Percent = 100
			}
		}
		h.reportAll()
		for _, id := range []WorkerID{"w0", "w1", "w2"} {
			h.s.workers[id].slowness = slowness{sum: 400, weight: 100, at: h.now.Boot}
		}
		h.run()
	}
	if took := time.Since(began); took > ownerSilence {
		t.Errorf("five planning runs take %v, want at most %v", took, ownerSilence)
	}
}
