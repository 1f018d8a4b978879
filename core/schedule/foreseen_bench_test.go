package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"fulmarcourse.example/core/workload"
)

// BenchmarkForeseenRestarts measures an update of the foreseen restarts of a large fleet in which an eighth of the workers is silent and
// the others have room for some of their services.
func BenchmarkForeseenRestarts(b *testing.B) {
	const silentShare = 8
	rng := rand.New(rand.NewPCG(1, 2))
	h := fleet(burstWorkers)
	for n := range burstWorkers {
		service := fleetService(burstServices, rng.IntN(burstServiceKind))
		service.Size.MilliCPU = 2500 + rng.Int64N(600)
		h.runFleetJob(testJob(workload.JobID(fmt.Sprint("load", n)), service), n, func() float64 { return 20 })
		for _, t := range h.s.jobs[workload.JobID(fmt.Sprint("load", n))].steps[0].tasks {
			t.ran = true
		}
	}
	for n := 0; n < burstWorkers; n += silentShare {
		h.s.PollFailed(h.now, fleetWorker(n), Grant{})
	}
	h.advanceClock(foreseenAfter)
	b.ResetTimer()
	for b.Loop() {
		h.advanceClock(time.Microsecond)
		h.s.foreseeRestarts(h.now)
	}
	placed := 0
	for _, w := range h.s.foreseen.places {
		if w != nil {
			placed++
		}
	}
	b.ReportMetric(float64(len(h.s.foreseen.places)), "foreseen")
	b.ReportMetric(float64(placed), "placed")
}
