package integration

import (
	"net/http"
	"testing"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/test/cluster"
)

// Guards against a break anywhere on the path from a caller to a runner and from a submission to a finished task.
func TestQuoteAndTraceThroughSeparateProcesses(t *testing.T) {
	c := start(t, cluster.Small())
	for _, id := range c.Entries() {
		reply := cluster.Send(base(c, id), cluster.Call{Service: service, Kind: "quote", Key: "q-" + string(id), Deadline: callDeadline, Body: string(id)})
		if reply.Outcome != structs.Answered || string(reply.Body) != "quote answer to "+string(id) || !reply.Complete {
			t.Fatalf("quote through %s: %+v", id, reply)
		}
	}
	spec := structs.JobSpec{Team: "cutters", Kind: "trace", Tasks: 4, RunSeconds: 0.3, Key: "t1"}
	first, status := cluster.SubmitJob(base(c, "a-entry-0"), spec)
	if status != http.StatusAccepted && status != http.StatusOK && status != http.StatusCreated {
		t.Fatalf("submission: status %d", status)
	}
	again, _ := cluster.SubmitJob(base(c, "b-entry-1"), spec)
	if again.ID != first.ID {
		t.Fatalf("a repeated submission created another job: %s and %s", first.ID, again.ID)
	}
	for i, task := range c.AwaitJob(first.ID).Tasks {
		if task.State != structs.TaskDone || task.Attempt != 1 {
			t.Fatalf("task %d: %+v", i, task)
		}
	}
}
