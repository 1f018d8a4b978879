package schedule

import (
	"math"
	"testing"
	"time"
)

// Guards against totals that overflow to a negative capacity when entries of the platform state absurd ones.
func TestCountsDoNotOverflow(t *testing.T) {
	h := newHarness(t, 1)
	for _, id := range []WorkerID{"w1", "w2", "w3"} {
		h.addWorker(id, func(info *WorkerInfo) { info.Capacity.MilliCPU = math.MaxInt64 })
	}
	if c := h.s.Counts(h.now); c.Capacity != math.MaxInt64 {
		t.Errorf("the capacity is %d", c.Capacity)
	}
	for _, id := range []WorkerID{"w1", "w2", "w3"} {
		h.workers[id].info.Capacity.MilliCPU = math.MinInt64
	}
	h.listWorkers()
	if c := h.s.Counts(h.now); c.Capacity != math.MinInt64 {
		t.Errorf("the negative capacity is %d", c.Capacity)
	}
	metrics := map[float64]int64{math.NaN(): 0, math.Inf(1): math.MaxInt64, math.Inf(-1): math.MinInt64, 1e300: math.MaxInt64, 2.9: 2}
	for metric, want := range metrics {
		if got := limitedInt(metric); got != want {
			t.Errorf("%v becomes %d, want %d", metric, got, want)
		}
	}
}

// Guards against totals from which it cannot be told that starts wait for the list of workers, for the store of known workers
// or for workers of a former owner.
func TestCountsTellWhatStartsWaitFor(t *testing.T) {
	h := newHarness(t, 2)
	w := h.addWorker("w1", nil)
	h.newTerm(2)
	h.s.InheritWorkers(h.now, []WorkerInfo{w.info})
	h.advanceClock(2 * time.Second)
	if c := h.s.Counts(h.now); c.ListAge != 2*time.Second {
		t.Errorf("the list that was not read since the takeover is %v old", c.ListAge)
	}
	h.s.SetWorkers(h.now, []WorkerInfo{w.info, {ID: "w2", Address: "w2", Pool: testPool}})
	h.advanceClock(3 * time.Second)
	if c := h.s.Counts(h.now); c.ListAge != 3*time.Second || c.Unstored != 1 || c.Awaited != 1 {
		t.Errorf("list %v old, %d workers not stored, %d awaited", c.ListAge, c.Unstored, c.Awaited)
	}
}
