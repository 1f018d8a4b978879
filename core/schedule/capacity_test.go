package schedule

import (
	"testing"
	"time"

	"fulmarcourse.example/core/workload"
)

// Guards against a start on a worker whose capacity has shrunk while the start waited for the store.
func TestStoredStartIsCheckedAgainstShrunkCapacity(t *testing.T) {
	h := newHarness(t, 1)
	w := h.addWorker("w1", nil)
	step := testStep(1)
	step.Service = true
	h.s.AddJob(testJob("service", step), nil, false)
	h.s.Plan(h.now)
	records := h.s.Changed()
	w.info.Capacity.MilliCPU = 500
	h.s.SetWorkers(h.now, []WorkerInfo{w.info})
	for _, r := range records {
		h.s.MarkStored(h.now, r)
	}
	h.wantStarts(h.s.TakeOrders(), 0)
	w.info.Capacity.MilliCPU = 16000
	h.listWorkers()
	h.wantStarts(h.settle(), 1)
}

// Guards against a new owner that fills the room of a task which is still being stopped: the job has ended under the former
// owner, so its size is not known.
func TestTaskOfEndedJobKeepsItsRoomUntilItEnds(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	h.s.AddJob(testJob("ended", testStep(1)), nil, false)
	h.run()
	h.inherit(2)
	h.s.AddEndedJob("ended", workload.Progress{State: workload.StateCancelled})
	h.listWorkers()
	h.s.AddJob(testJob("next", testStep(1)), nil, false)
	orders := h.plan()
	h.wantStarts(orders, 0)
	if stops := ofKind(orders, OrderStop); len(stops) != 1 {
		t.Fatalf("%d stops, want 1", len(stops))
	}
	h.end(taskID("ended", 0, 0), EndStopped)
	h.reportAll()
	h.wantStarts(h.run(), 1)
}

// Guards against starts on workers that do not guard a capacity which may have shrunk since the list was last read, as when
// the store is away.
func TestNoStartWithOutdatedCapacity(t *testing.T) {
	for _, service := range []bool{false, true} {
		h := newHarness(t, 1)
		h.addWorker("w1", nil)
		step := testStep(1)
		step.Service = service
		job := testJob("job", step)
		job.Queue.CapacityGuarded = false
		h.s.AddJob(job, nil, false)
		var records []Record
		if service { // the start waits for the store while the list becomes outdated
			h.s.Plan(h.now)
			records = h.s.Changed()
		}
		h.advanceClock(maxCapacityAge + time.Millisecond)
		h.reportAll()
		for _, r := range records {
			h.s.MarkStored(h.now, r)
		}
		h.wantStarts(h.plan(), 0)
		h.listWorkers()
		h.wantStarts(h.plan(), 1)
	}
}

// Guards against starts on workers that do not guard their capacity and are missing from the list, as when their entries have
// lapsed while the store was away: what a former owner has stored of their capacity, or an earlier list, may be outdated.
func TestNoStartWithCapacityOfAnUnlistedWorker(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		h := newHarness(t, 1)
		h.addWorker("w1", nil)
		if takeover {
			h.inherit(2)
		} else {
			h.advanceClock(maxCapacityAge + time.Millisecond)
		}
		h.s.SetWorkers(h.now, nil)
		h.reportAll()
		job := testJob("job", testStep(1))
		job.Queue.CapacityGuarded = false
		h.s.AddJob(job, nil, false)
		h.wantStarts(h.plan(), 0)
		h.listWorkers()
		h.wantStarts(h.plan(), 1)
	}
}
