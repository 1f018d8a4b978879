package structs

import "testing"

// Guards against a job being reported as finished while one of its tasks can still change.
func TestJobFinalNeedsEveryTaskFinal(t *testing.T) {
	job := JobRecord{Tasks: []TaskRecord{{State: TaskDone}, {State: TaskStopping}}}
	if job.Final() {
		t.Fatal("job with a stopping task reported as final")
	}
	job.Tasks[1].State = TaskUnknown
	if !job.Final() {
		t.Fatal("job with only final tasks reported as not final")
	}
}
