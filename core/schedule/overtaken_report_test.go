package schedule

import (
	"testing"
	"time"
)

// Scenario: the answers to two polls overtake each other, and then a task crashes its worker, whose connection breaks soon after. Guards
// against a crash that proves nothing because the earlier report is not applied, though it lists nothing new: the task would be started
// on further workers. Guards also against a crash that is taken for certain although that report lists ends that have not been applied.
func TestOvertakenReportLeavesACrashCertain(t *testing.T) {
	for name, c := range map[string]struct {
		ended       []Ended
		incarnation int64 // more than that of the process that has answered the later poll
		certain     bool
	}{
		"no end":                 {nil, 0, true},
		"an end that is applied": {[]Ended{{Number: 1}}, 0, true},
		"an end that is not":     {[]Ended{{Number: 1}, {Number: 2}}, 0, false},
		"as many as it can list": {make([]Ended, maxEndedPerReport), 0, false},
		"another process":        {nil, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newStartedHarness(t, 1)
			task := taskID("job", 0, 0)
			h.s.AddJob(testJob("job", testStep(1)), nil, false)
			h.wantStarts(h.run(), 1)
			w := h.workers["w0"]
			w.ends, w.ended = 1, []Ended{{Number: 1, Task: taskID("job", 0, 1), Kind: EndDone}}
			h.reportAll()
			h.s.Report(h.now, "w0", Report{Incarnation: w.incarnation + c.incarnation, Address: w.info.Address,
				SentAt: h.now.Boot - time.Millisecond, Ended: c.ended})
			h.breakConnection("w0")
			h.store()
			h.advanceClock(backAfter)
			h.restartAs("'", "w0")
			if crashes := h.s.task(task).crashes; len(crashes) != 1 || isCertain(crashes[0]) != c.certain {
				t.Errorf("crashes on record: %+v, want one, certain: %t", crashes, c.certain)
			}
		})
	}
}
