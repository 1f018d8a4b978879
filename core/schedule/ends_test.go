package schedule

import (
	"testing"
	"time"
)

// Guards against ends that are skipped, and acknowledged with the later ones, because a worker does not list them in the
// order of their numbers: a task that was done would start again.
func TestEndsAreAppliedInAnyOrder(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w0", nil)
	h.s.AddJob(testJob("job", testStep(2)), nil, false)
	h.run()
	h.advanceClock(time.Second)
	w := h.workers["w0"]
	if len(w.running) != 2 {
		t.Fatalf("%d tasks run, want 2", len(w.running))
	}
	report := Report{Incarnation: w.incarnation, SentAt: h.now.Boot}
	for n, row := range w.running {
		report.Ended = append(report.Ended, Ended{Number: int64(2 - n), Task: row.Task, Attempt: row.Attempt, Kind: EndDone})
	}
	if last := h.s.Report(h.now, "w0", report); last != 2 {
		t.Errorf("applied the ends up to %d, want 2", last)
	}
	for _, row := range w.running {
		if !h.s.task(row.Task).done {
			t.Errorf("%v is not done", row.Task)
		}
	}
}
