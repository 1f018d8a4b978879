package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"fulmarcourse.example/core/workload"
)

// Load of a large fleet in a burst.
const (
	burstWorkers     = 900
	burstServices    = 5   // on each worker
	burstFillers     = 4   // on each worker
	burstSteps       = 60  // filler steps that wait, of eight tasks each
	burstEnds        = 300 // fillers that end between two planning runs, and are replaced by new ones
	burstImages      = 30  // images of fillers
	burstServiceKind = 16  // images of services
)

// burstFleet returns a scheduler with workers whose services reserve most of the capacity, with running fillers and with
// more of them waiting than fit.
func burstFleet() (*harness, *rand.Rand) {
	rng := rand.New(rand.NewPCG(1, 2))
	h := fleet(burstWorkers)
	for n := range burstWorkers {
		service, filler := fleetService(burstServices, rng.IntN(burstServiceKind)), burstFiller(rng, burstFillers)
		job := testJob(workload.JobID(fmt.Sprint("load", n)), service, filler)
		h.runFleetJob(job, n, func() float64 { return 8 + 20*rng.Float64() })
	}
	for n := range burstSteps {
		h.s.AddJob(testJob(workload.JobID(fmt.Sprint("waiting", n)), burstFiller(rng, 8)), nil, false)
	}
	h.s.TakeEvents()
	return h, rng
}

func burstFiller(rng *rand.Rand, tasks int) workload.Step {
	step := fleetFiller(tasks, rng.IntN(burstImages))
	step.Size.MilliCPU = 1000 + rng.Int64N(1500)
	return step
}

// BenchmarkBurst measures a planning run of a large fleet while more fillers wait than fit and some end before each run.
func BenchmarkBurst(b *testing.B) {
	h, rng := burstFleet()
	b.ResetTimer()
	started := 0
	for n := range b.N {
		b.StopTimer()
		h.advanceClock(fillerRetryDelay)
		for _, w := range h.s.sortedWorkers {
			w.reportedAt, w.listedAt = h.now.Boot, h.now.Boot
			h.s.index.markChanged(w)
		}
		for range burstEnds {
			w := h.s.sortedWorkers[rng.IntN(burstWorkers)]
			for _, a := range w.attemptList {
				if a.filler() {
					a.task.done = true
					h.s.drop(a)
					break
				}
			}
		}
		for k := 0; h.s.Counts(h.now).PendingFillers < 8*burstSteps; k++ {
			h.s.AddJob(testJob(workload.JobID(fmt.Sprint("new", n, "-", k)), burstFiller(rng, 8)), nil, false)
		}
		h.s.TakeOrders()
		h.s.TakeEvents()
		b.StartTimer()
		h.s.Plan(h.now)
		started += len(h.s.orders)
	}
	c := h.s.Counts(h.now)
	b.ReportMetric(float64(started)/float64(b.N), "starts/op")
	b.ReportMetric(float64(c.PendingFillers), "waiting")
	b.ReportMetric(float64(c.Fillers), "fillers")
}

// BenchmarkWaitForLabel measures a planning run of a large fleet while many tasks wait that need a label which no worker has.
func BenchmarkWaitForLabel(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 2))
	h := fleet(burstWorkers)
	for n := range burstSteps {
		short, filler := testStep(8), burstFiller(rng, 8)
		short.Label, filler.Label = "rare", "rare"
		h.s.AddJob(testJob(workload.JobID(fmt.Sprint("waiting", n)), short, filler), nil, false)
	}
	for b.Loop() {
		h.advanceClock(fillerRetryDelay)
		for _, w := range h.s.sortedWorkers {
			w.reportedAt, w.listedAt = h.now.Boot, h.now.Boot
		}
		h.s.Plan(h.now)
	}
}
