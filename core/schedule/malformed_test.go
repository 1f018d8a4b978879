package schedule

import (
	"math"
	"testing"

	"fulmarcourse.example/core/workload"
)

// Guards against a malformed report of a worker that ends the owner's process: its task names may hold any numbers.
func TestReportOfImpossibleTasksIsHarmless(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	step := testStep(2)
	h.s.AddJob(testJob("job", step, step, step), nil, false)
	h.run()
	numbers := []int{math.MinInt, -1, 3, 1 << 62, math.MaxInt/3 + 1, math.MaxInt}
	for _, n := range numbers {
		for _, id := range []workload.TaskID{{Job: "job", Occurrence: n}, {Job: "job", Step: n}, {Job: "job", Index: n}} {
			h.s.Report(h.now, "w1", Report{
				Incarnation: 1, SentAt: h.now.Boot,
				Running: []Running{{Task: id, Attempt: math.MaxInt64}},
				Ended:   []Ended{{Number: 1, Task: id, Attempt: 1, Kind: EndDone}},
			})
			h.s.Plan(h.now)
		}
	}
	h.wantState("job", workload.StateRunning)
}

// Guards against a log line that ends the process: kinds and outcomes arrive from other hosts as numbers.
func TestUnknownKindsHaveNames(t *testing.T) {
	for _, name := range []string{OrderKind(200).String(), Outcome(200).String()} {
		if name == "" {
			t.Error("an unknown kind has an empty name")
		}
	}
}
