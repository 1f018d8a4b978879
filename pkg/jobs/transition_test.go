package jobs

import (
	"testing"

	"pgregory.net/rapid"

	"fulmarcourse.example/core/structs"
)

// Guards against tasks that change after their end, start twice at once, run again although they can be neither
// resumed nor repeated, or start after a cancellation, over random sequences of events, late ones included.
func TestTransitionsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := structs.Kind{Idempotent: rapid.Bool().Draw(t, "idempotent")}
		record := &structs.JobRecord{Tasks: []structs.TaskRecord{{State: structs.TaskPending}}}
		tr := Transitions{record, kind}
		ended := true // the latest attempt
		for range rapid.IntRange(0, 30).Draw(t, "events") {
			before := record.Tasks[0]
			attempt := max(0, before.Attempt-rapid.IntRange(0, 1).Draw(t, "late"))
			event := rapid.IntRange(0, 9).Draw(t, "event")
			var err error
			switch event {
			case 0, 1:
				if _, err = tr.Start(0, "w"); err == nil {
					if !ended || record.CancelRequested {
						t.Fatalf("started from %+v, cancelled %v", before, record.CancelRequested)
					}
					resumes := before.Reason == "stopped" && before.Checkpoint != ""
					if before.Attempt > 0 && !kind.Idempotent && !resumes && before.Reason != "refused" {
						t.Fatalf("started again from %+v", before)
					}
					ended = false
				}
			case 2:
				err = tr.Running(0, attempt)
			case 3:
				err = tr.Stopping(0, attempt)
			case 4:
				err = tr.Done(0, attempt)
			case 5:
				err = tr.Failed(0, attempt, "failed")
			case 6:
				err = tr.Stopped(0, attempt, rapid.SampledFrom([]string{"", "c"}).Draw(t, "checkpoint"))
			case 7:
				err = tr.Lost(0, attempt, "lost")
			case 8:
				err = tr.Rejected(0, attempt, "refused")
			case 9:
				record.CancelRequested = true
				err = tr.Cancel(0)
			}
			after := record.Tasks[0]
			changed := after.State != before.State || after.Attempt != before.Attempt
			late := attempt != before.Attempt && event > 1 && event < 9
			if changed && (err != nil || before.State.Final() || late) || after.Attempt < before.Attempt {
				t.Fatalf("from %+v to %+v, error %v", before, after, err)
			}
			ended = ended || after.State == structs.TaskPending
		}
	})
}
