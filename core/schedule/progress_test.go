package schedule

import (
	"fmt"
	"testing"
	"time"

	"fulmarcourse.example/core/workload"
)

// Scenario: the ends of many jobs and the starts of a service have to be stored at the same time, and the store is slow.
// Guards against service tasks that start seconds late because their records are written after those of all other jobs:
// their starts are ordered only once they are stored.
func TestStartsThatWaitForTheStoreAreStoredFirst(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", func(info *WorkerInfo) { info.Capacity.MilliCPU = 1000 * 1000 })
	const others = 40
	for n := range others {
		h.s.AddJob(testJob(workload.JobID(fmt.Sprintf("job-%02d", n)), testStep(1)), nil, false)
	}
	h.wantStarts(h.run(), others)
	h.advanceClock(100 * time.Millisecond)
	for n, row := range h.workers["w1"].running {
		h.workers["w1"].ended = append(h.workers["w1"].ended, Ended{
			Number: int64(n + 1), Task: row.Task, Attempt: row.Attempt, Kind: EndDone,
		})
	}
	h.workers["w1"].running = nil
	h.report("w1")
	service := testStep(1)
	service.Service = true
	for _, id := range []workload.JobID{"a-service", "z-service"} {
		h.s.AddJob(testJob(id, service), nil, false)
	}
	h.s.Plan(h.now)
	records := h.s.Changed()
	if len(records) != others+2 {
		t.Fatalf("%d records, want %d", len(records), others+2)
	}
	if records[0].Job != "a-service" || records[1].Job != "z-service" {
		t.Errorf("the first records are of %s and %s, want those of the services", records[0].Job, records[1].Job)
	}
}
