package schedule

import (
	"fmt"
	"testing"
)

// Scenario: a step of many fillers starts at once on workers that have spare time for one of them each. Guards against tasks
// that are started on a worker of an earlier search of their step which has no spare time left, and against tasks that are
// not started because that search found fewer workers than there are.
func TestFillersThatShareASearchFitTheirWorkers(t *testing.T) {
	h := newHarness(t, 1)
	const workers = 3*maxCandidates + 5
	for n := range workers {
		h.addWorker(WorkerID(fmt.Sprintf("w%03d", n)), func(info *WorkerInfo) { info.Capacity.MilliCPU = 1000 })
	}
	h.list()
	h.reportAll()
	step := fillerStep("image", workers+7)
	step.Size.MilliCPU = 1000
	h.s.AddJob(testJob("job", step), nil, false)
	used := map[WorkerID]int{}
	for _, order := range h.plan() {
		used[order.Worker]++
	}
	if len(used) != workers {
		t.Errorf("fillers started on %d workers, want %d", len(used), workers)
	}
	for id, n := range used {
		if n > 1 {
			t.Errorf("%d fillers started on %s, which has spare time for one", n, id)
		}
	}
}
