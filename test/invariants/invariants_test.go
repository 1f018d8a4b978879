package invariants

import (
	"testing"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/standin"
)

func newEvent(at int, eventType standin.EventType, host structs.HostID, attempt int, checkpoint string) standin.Event {
	return standin.Event{
		At: time.Duration(at) * time.Second, Type: eventType, Host: host, Attempt: attempt, Checkpoint: checkpoint,
		Task: structs.TaskID{Job: "j"}, Reserved: structs.Resources{MilliCPU: 600}, Body: "b",
	}
}

// Guards against checks that accept a history with a violation.
func TestCheckersFindViolations(t *testing.T) {
	overlap := []standin.Event{
		newEvent(1, standin.TaskStarted, "w1", 1, ""),
		newEvent(2, standin.TaskStarted, "w2", 2, ""),
		newEvent(3, standin.TaskStopped, "w1", 1, "c1"),
	}
	lostCheckpoint := []standin.Event{
		newEvent(1, standin.TaskStarted, "w1", 1, ""),
		newEvent(2, standin.TaskStopped, "w1", 1, "c1"),
		newEvent(3, standin.TaskStarted, "w2", 2, ""),
	}
	overcommitted := []standin.Event{newEvent(1, standin.TaskStarted, "w1", 1, ""), newEvent(2, standin.TaskStarted, "w1", 2, "")}
	twice := []standin.Event{newEvent(1, standin.RequestStarted, "r1", 0, ""), newEvent(2, standin.RequestStarted, "r2", 0, "")}
	capacity := map[structs.HostID]structs.Resources{"w1": {MilliCPU: 1000}}
	found := map[string][]string{
		"SingleRun":          SingleRun(overlap),
		"ResumeOnce":         ResumeOnce(lostCheckpoint, func(structs.TaskID) bool { return true }),
		"Capacity":           Capacity(overcommitted, capacity),
		"RequestsAtMostOnce": RequestsAtMostOnce(twice),
		"NotRun":             NotRun(twice, []string{"b"}),
	}
	found["NoStart"] = NoStart(overlap, 2*time.Second, func(id structs.HostID) bool { return id == "w2" })
	for name, violations := range found {
		if len(violations) != 1 {
			t.Errorf("%s found %v", name, violations)
		}
	}
}

// Guards against checks that report violations in a correct history.
func TestCheckersAcceptCorrectHistory(t *testing.T) {
	history := []standin.Event{
		newEvent(1, standin.TaskStarted, "w1", 1, ""),
		newEvent(2, standin.TaskStopped, "w1", 1, "c1"),
		newEvent(3, standin.TaskStarted, "w2", 2, "c1"),
		newEvent(4, standin.TaskFinished, "w2", 2, ""),
	}
	if v := SingleRun(history); len(v) > 0 {
		t.Error(v)
	}
	if v := ResumeOnce(history, func(structs.TaskID) bool { return true }); len(v) > 0 {
		t.Error(v)
	}
}
