package schedule

import (
	"fmt"
	"testing"

	"fulmarcourse.example/core/workload"
)

// BenchmarkPlanUnderLoad measures Plan with full workers and many pending fillers of several images, as in a burst.
func BenchmarkPlanUnderLoad(b *testing.B) {
	h := newHarness(&testing.T{}, 1)
	for n := range 66 {
		h.addWorker(WorkerID(fmt.Sprint("w", n)), nil)
	}
	for n := range 60 {
		service := testStep(5)
		service.Service, service.Image, service.TailTargetMs = true, fmt.Sprint("service", n%5), 50
		service.Size.MilliCPU = 3000
		h.s.AddJob(testJob(workload.JobID(fmt.Sprint("service", n)), service), nil, false)
	}
	for n := range 80 {
		filler := testStep(8)
		filler.Filler, filler.Image = true, fmt.Sprint("filler", n%9)
		filler.Size.MilliCPU = 1800
		h.s.AddJob(testJob(workload.JobID(fmt.Sprint("filler", n)), filler), nil, false)
	}
	h.run()
	h.run()
	h.reportAll()
	counts := h.s.Counts(h.now)
	b.Logf("%d services, %d fillers, %d pending", counts.Services, counts.Fillers, counts.Pending)
	b.ResetTimer()
	for range b.N {
		h.s.Plan(h.now)
	}
}

// BenchmarkReport measures Report for a worker with services and fillers.
func BenchmarkReport(b *testing.B) {
	h := newHarness(&testing.T{}, 1)
	h.addWorker("w", nil)
	service := testStep(5)
	service.Service, service.Image, service.TailTargetMs = true, "service", 50
	filler := testStep(5)
	filler.Filler, filler.Image = true, "filler"
	h.s.AddJob(testJob("service", service), nil, false)
	h.s.AddJob(testJob("filler", filler), nil, false)
	h.run()
	for i := range h.workers["w"].running {
		h.workers["w"].running[i].Percent = 100
		h.workers["w"].running[i].Metric = 20
	}
	b.ResetTimer()
	for range b.N {
		h.advanceClock(1e6)
		h.report("w")
	}
}
