package integration

import (
	"fmt"
	"net/http"
	"testing"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/standin"
	"fulmarcourse.example/fulmarcourse/test/cluster"
	"fulmarcourse.example/fulmarcourse/test/invariants"
)

// wideTasks is the number of tasks of a job that spreads over all data centres.
const wideTasks = 60

// submitWide submits jobs until the parts of one have homes in all data centres: an entry host spreads a job only over
// the shards whose digests it has received. Earlier jobs are passed to discard and awaited.
func submitWide(t *testing.T, c *cluster.Cluster, runSeconds float64, discard func(structs.JobID)) structs.JobRecord {
	t.Helper()
	var record structs.JobRecord
	attempt := 0
	c.Await("a job has homes in all data centres", func() bool {
		attempt++
		spec := structs.JobSpec{Team: "cutters", Kind: "trace", Tasks: wideTasks, RunSeconds: runSeconds, Key: fmt.Sprint("wide-", attempt)}
		submitted, status := cluster.SubmitJob(base(c, "a-entry-0"), spec)
		if status >= 300 || len(submitted.Tasks) != wideTasks {
			t.Fatalf("submission: status %d, %d tasks", status, len(submitted.Tasks))
		}
		record = submitted
		again, _ := cluster.SubmitJob(base(c, "b-entry-0"), spec)
		if again.ID != record.ID || len(again.Tasks) != wideTasks {
			t.Fatalf("repeat gave job %s with %d tasks, want %s with %d", again.ID, len(again.Tasks), record.ID, wideTasks)
		}
		homes := map[structs.DatacentreID]bool{}
		for _, part := range c.Parts(record.ID) {
			homes[part.Home.Datacentre] = true
		}
		if len(homes) == 3 {
			return true
		}
		discard(record.ID)
		c.AwaitJob(record.ID)
		return false
	})
	return record
}

// Guards against a job that runs on the workers of one shard only while others are idle, and against tasks of a part
// that never run or run twice.
func TestJobUsesWorkersOfAllDatacentres(t *testing.T) {
	cfg := cluster.Small()
	c := start(t, cfg)
	record := submitWide(t, c, 1, func(structs.JobID) {}) // discarded jobs finish after 1 s
	ended, status := cluster.WaitJob(base(c, "c-entry-1"), record.ID)
	if status != http.StatusOK || !ended.Final() || len(ended.Tasks) != wideTasks {
		t.Errorf("wait over HTTP: status %d, %d tasks", status, len(ended.Tasks))
	}
	awaitDone(t, c, []structs.JobID{record.ID})
	datacentres := map[string]bool{}
	for _, e := range c.Platform.History.Events() {
		if e.Type == standin.TaskStarted && e.Task.Job.WithoutPart() == record.ID {
			datacentres[string(e.Host[0])] = true
		}
	}
	if len(datacentres) != 3 {
		t.Errorf("tasks ran in data centres %v, want all three", datacentres)
	}
	if got := len(c.AwaitJob(record.ID).Tasks); got != wideTasks {
		t.Errorf("%d tasks, want %d", got, wideTasks)
	}
	checkTasks(t, c, cfg)
}

// Guards against parts that keep running, or that no host takes over, when a job is cancelled through one entry host
// after the owner of a part was killed.
func TestCancelReachesEveryPart(t *testing.T) {
	cfg := cluster.Small()
	c := start(t, cfg)
	record := submitWide(t, c, 600, func(id structs.JobID) { cluster.CancelJob(base(c, "a-entry-0"), id) })
	c.Await("tasks have started", func() bool { return started(c) >= 10 })
	c.Kill("c-entry-0")
	c.Await("cancellation is accepted", func() bool {
		status := cluster.CancelJob(base(c, "b-entry-1"), record.ID)
		return status > 0 && status < 300
	})
	for i, task := range c.AwaitJob(record.ID).Tasks {
		if task.State != structs.TaskCancelled {
			t.Errorf("task %d: %+v", i, task)
		}
	}
	if n := invariants.Running(c.Platform.History.Events()); n > 0 {
		t.Errorf("%d tasks run although the job is cancelled", n)
	}
}
