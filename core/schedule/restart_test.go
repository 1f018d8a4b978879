package schedule

import (
	"testing"
)

// withCores returns a change that gives a worker a number of cores.
func withCores(cores int64) func(*WorkerInfo) {
	return func(info *WorkerInfo) { info.Capacity.MilliCPU = 1000 * cores }
}

// Guards against a full pool whose waiting tasks keep those of another pool, which has room, from starting.
func TestFullPoolDoesNotHoldUpOtherPools(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", withCores(1))
	h.addWorker("w2", func(info *WorkerInfo) { info.Pool = "other" })
	h.s.AddJob(testJob("a", testStep(2)), nil, false)
	other := testJob("b", testStep(3)) // more work, so that it comes last
	other.Queue.Pool = "other"
	h.s.AddJob(other, nil, false)
	h.wantStarts(h.orderedFor(h.run(), "b"), 3)
}
