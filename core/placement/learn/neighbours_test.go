package learn

import (
	"testing"
	"time"

	"fulmarcourse.example/core/structs"
)

// Guards against the neighbours of one measurement that count in the next one, of another attempt: a filler would be taken to
// slow services on other workers down.
func TestMeasurementsDoNotShareNeighbours(t *testing.T) {
	alone, mixed := NewSlowdowns(), NewSlowdowns()
	at := time.Unix(1_000_000, 0)
	for n := range 40 {
		at = at.Add(time.Second)
		rate, cores := 1.0, float64(n%3)
		if n%2 == 0 {
			rate = 0.8
		}
		for _, s := range []*Slowdowns{alone, mixed} {
			s.Observe(structs.TaskID{Job: "a"}, 1, "service", rate, []Exposure{{Kind: "filler", Mean: cores}}, at)
		}
		mixed.Observe(structs.TaskID{Job: "b"}, 1, "other", rate, []Exposure{{Kind: "third", Mean: 2}}, at)
		mixed.Observe(structs.TaskID{Job: "c"}, 1, "idle", rate, nil, at)
	}
	alone.Refresh(at)
	mixed.Refresh(at)
	if got, want := mixed.LogSlowdown("service", "filler"), alone.LogSlowdown("service", "filler"); got != want || want == 0 {
		t.Errorf("slowdown %v beside other measurements, %v without", got, want)
	}
	for _, kind := range []structs.KindName{"filler", "third", "other"} {
		if got := mixed.Evidence("idle", kind); got != 0 {
			t.Errorf("a service without neighbours has evidence %v of %s", got, kind)
		}
	}
}
