package schedule

import (
	"fmt"
	"testing"

	"fulmarcourse.example/core/workload"
)

// BenchmarkPreempt measures the choice of attempts to stop in a large fleet where half of the workers have an overdue nominee and as
// many attempts are being stopped as may be.
func BenchmarkPreempt(b *testing.B) {
	const workers = 900
	h := fleet(workers)
	for n := range workers {
		long := testStep(4)
		long.Size.MilliCPU = 1500
		steps := []workload.Step{fleetService(benchServices, n%16), fleetFiller(benchFillers, n%30), long}
		h.runFleetJob(testJob(workload.JobID(fmt.Sprint("load", n)), steps...), n, func() float64 { return 20 })
	}
	for n := range workers / maxNominatedShare {
		h.overdueService(workload.JobID(fmt.Sprint("service", n)), 3)
	}
	for range 20 { // until all are nominated
		h.advanceClock(scanInterval)
		h.s.Plan(h.now)
	}
	cycle := planCycle{now: h.now, scan: true, displaced: h.s.displacedTasks(h.now)}
	b.Logf("%d nominees, %d attempts being stopped", len(h.s.nominees), len(h.s.stopping))
	for b.Loop() {
		h.s.preempt(&cycle)
	}
}
