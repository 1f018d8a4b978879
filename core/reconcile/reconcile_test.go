package reconcile

import (
	"testing"

	"fulmarcourse.example/core/structs"
	"pgregory.net/rapid"
)

var workerStates = []structs.WorkerTaskState{
	structs.WorkerTaskRunning, structs.WorkerTaskDone, structs.WorkerTaskFailed, structs.WorkerTaskStopped, structs.WorkerTaskExpired,
}

// Guards against an order of evidence that changes a final record, decreases an attempt number, or starts a task of a
// kind that is not idempotent twice.
func TestEvidenceInAnyOrderKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		traits := Traits{Idempotent: rapid.Bool().Draw(t, "idempotent")}
		rec := structs.TaskRecord{State: structs.TaskPending}
		begun := 0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			before := rec
			if rapid.IntRange(0, 9).Draw(t, "cancel") == 0 {
				traits.Cancelled = true
			}
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				if BeginStart(&rec, "w1") {
					begun++
				}
			case 1:
				wt := structs.WorkerTask{
					Attempt: rapid.IntRange(max(0, rec.Attempt-1), rec.Attempt).Draw(t, "attempt"),
					State:   rapid.SampledFrom(workerStates).Draw(t, "state"),
				}
				if wt.Attempt > 0 {
					ApplyReport(&rec, rapid.SampledFrom([]structs.HostID{"w1", "w2"}).Draw(t, "worker"), wt, traits)
				}
			case 2:
				ApplyAttemptLost(&rec, traits, true, ReasonLeaseExpired)
			case 3:
				if traits.Cancelled {
					Cancel(&rec)
				}
			}
			if before.State.Final() && rec.State != before.State {
				t.Fatalf("final state %s became %s", before.State, rec.State)
			}
			if rec.Attempt < before.Attempt {
				t.Fatalf("attempt decreased from %d to %d", before.Attempt, rec.Attempt)
			}
		}
		if !traits.Idempotent && begun > 1 {
			t.Fatalf("a task that is not idempotent began %d attempts", begun)
		}
	})
}

// Guards against a second run when the report of an ended attempt is delivered again after the task became pending.
func TestRepeatedEndReportIsOnlyAcknowledged(t *testing.T) {
	rec := structs.TaskRecord{State: structs.TaskRunning, Attempt: 1, Worker: "w1"}
	stopped := structs.WorkerTask{Attempt: 1, State: structs.WorkerTaskStopped, Checkpoint: "c1"}
	ApplyReport(&rec, "w1", stopped, Traits{Idempotent: true})
	if rec.State != structs.TaskPending || rec.Checkpoint != "c1" || rec.Evictions != 1 {
		t.Fatalf("after stop: %+v", rec)
	}
	if changed, command := ApplyReport(&rec, "w1", stopped, Traits{Idempotent: true}); changed || command != CommandAcknowledge {
		t.Fatalf("repeated report changed the record: %+v", rec)
	}
}

// Guards against losing a running attempt that an earlier owner started without recording it.
func TestUnrecordedRunningAttemptIsAdopted(t *testing.T) {
	rec := structs.TaskRecord{State: structs.TaskPending}
	running := structs.WorkerTask{Attempt: 1, State: structs.WorkerTaskRunning}
	if changed, _ := ApplyReport(&rec, "w1", running, Traits{Idempotent: true}); !changed || rec.State != structs.TaskRunning {
		t.Fatalf("not adopted: %+v", rec)
	}
}
