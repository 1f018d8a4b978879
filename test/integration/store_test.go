package integration

import (
	"fmt"
	"testing"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/standin"
	"fulmarcourse.example/fulmarcourse/test/cluster"
	"fulmarcourse.example/fulmarcourse/test/invariants"
)

// awaitDone waits until the jobs have ended and fails the test if a task is not done.
func awaitDone(t *testing.T, c *cluster.Cluster, ids []structs.JobID) {
	t.Helper()
	for _, id := range ids {
		for i, task := range c.AwaitJob(id).Tasks {
			if task.State != structs.TaskDone {
				t.Errorf("job %s task %d: %+v", id, i, task)
			}
		}
	}
}

// count returns the number of events of a type so far.
func count(c *cluster.Cluster, event standin.EventType) int {
	n := 0
	for _, e := range c.Platform.History.Events() {
		if e.Type == event {
			n++
		}
	}
	return n
}

// Guards against a store outage that stops running tasks, makes tasks run twice, or loses results. Tasks that wait in
// their home shard must start during the outage, and their results must be recorded after it.
func TestStoreOutageWhileTasksRun(t *testing.T) {
	cfg := cluster.Small()
	c := start(t, cfg)
	spec := structs.JobSpec{Team: "cutters", Kind: "trace", Tasks: 100, RunSeconds: 3, Key: "long"}
	record, status := cluster.SubmitJob(base(c, "a-entry-0"), spec)
	if status >= 300 {
		t.Fatalf("submission: status %d", status)
	}
	c.Await("tasks have started", func() bool { return started(c) >= 5 })
	c.Platform.Store.SetDown(true)
	before := count(c, standin.TaskFinished)
	c.Await("tasks start and finish during the outage", func() bool { return count(c, standin.TaskFinished) >= before+20 })
	if expired := count(c, standin.TaskExpired); expired > 0 {
		t.Errorf("%d task leases expired during the outage", expired)
	}
	if _, status := cluster.SubmitJob(base(c, "b-entry-0"), structs.JobSpec{Team: "cutters", Kind: "trace", Tasks: 1, Key: "refused"}); status < 500 {
		t.Errorf("a submission during the outage got status %d", status)
	}
	c.Platform.Store.SetDown(false)
	awaitDone(t, c, []structs.JobID{record.ID})
	checkTasks(t, c, cfg)
}

// Guards against tasks that run twice and lost records when the store is slow and loses the responses of writes that
// took effect, while an owner is killed.
func TestLostResponsesAndSlowStoreWithKilledOwner(t *testing.T) {
	cfg := cluster.Small()
	c := start(t, cfg)
	c.Platform.Store.SetDelay(100 * time.Millisecond)
	c.Platform.Store.LoseResponses(3)
	// A submission with an unknown outcome is repeated with its idempotency key until it is accepted.
	var ids []structs.JobID
	for i, host := range c.Entries() {
		for _, kind := range []structs.KindName{"trace", "template"} {
			spec := structs.JobSpec{Team: "cutters", Kind: kind, Tasks: 4, RunSeconds: 4, Key: fmt.Sprint(kind, i)}
			c.Await("job is accepted", func() bool {
				record, status := cluster.SubmitJob(base(c, host), spec)
				if status >= 300 || status == 0 {
					return false
				}
				ids = append(ids, record.ID)
				return true
			})
		}
	}
	c.Await("tasks have started", func() bool { return started(c) >= 5 })
	c.Platform.Store.LoseResponses(10)
	c.Kill(c.Owner(structs.ShardID{Datacentre: "b", Index: 0}))
	c.Platform.Store.LoseResponses(10)
	awaitDone(t, c, ids)
	c.Platform.Store.SetDelay(0)
	checkTasks(t, c, cfg)
}

// Scenario: an owner is killed after the store has applied the start intents of a job, before the owner knows that and
// sends the start commands. Guards against tasks that end as unknown although no worker has run them, or that run twice.
func TestOwnerKilledBetweenIntentAndStart(t *testing.T) {
	cfg := cluster.Small()
	c := start(t, cfg)
	spec := structs.JobSpec{Team: "cutters", Kind: "template", Tasks: 4, RunSeconds: 1, Key: "k"}
	c.Platform.Store.SetDelay(300 * time.Millisecond)
	record, status := cluster.SubmitJob(base(c, "b-entry-0"), spec)
	if status >= 300 {
		t.Fatalf("submission: status %d", status)
	}
	owner := c.Owner(record.Home)
	// The owner learns of an applied write only after further reads.
	c.Platform.Store.SetTxnFault(standin.TxnFault{Prefix: "/fulmarcourse/production/jobs/", Count: 100})
	c.Await("intents are stored", func() bool {
		stored, ok := c.Job(record.ID)
		return ok && stored.Tasks[0].State != structs.TaskPending
	})
	c.Kill(owner)
	t.Logf("%d of %d tasks had started when their owner was killed", started(c), spec.Tasks)
	c.Platform.Store.SetTxnFault(standin.TxnFault{})
	c.Platform.Store.SetDelay(0)
	awaitDone(t, c, []structs.JobID{record.ID})
	checkTasks(t, c, cfg)
}

// Guards against tasks that are lost, or run twice, when the host of a worker fails, and against a new attempt before
// the leases on that worker have certainly expired.
func TestWorkerHostFails(t *testing.T) {
	cfg := cluster.Small()
	c := start(t, cfg)
	record, status := cluster.SubmitJob(base(c, "a-entry-0"), structs.JobSpec{Team: "cutters", Kind: "trace", Tasks: 16, RunSeconds: 8, Key: "k"})
	if status >= 300 {
		t.Fatalf("submission: status %d", status)
	}
	c.Await("tasks have started", func() bool { return started(c) >= 8 })
	var failedHost structs.HostID
	for _, e := range c.Platform.History.Events() {
		if e.Type == standin.TaskStarted {
			failedHost = e.Host
		}
	}
	c.Platform.Kill(failedHost)
	awaitDone(t, c, []structs.JobID{record.ID})
	checkTasks(t, c, cfg)
}

// Guards against a worker that fails every task and so drains the queue, and against jobs that are parked because of
// it.
func TestWorkerThatFailsEverything(t *testing.T) {
	cfg := cluster.Small()
	c := start(t, cfg)
	var bad *standin.Worker
	for id, w := range c.Platform.Workers {
		if id == "a-0-worker-0" {
			bad = w
		}
	}
	bad.SetFailing(true)
	var ids []structs.JobID
	for i := range 12 {
		spec := structs.JobSpec{Team: "cutters", Kind: "trace", Tasks: 2, RunSeconds: 0.5, Key: fmt.Sprint(i)}
		record, status := cluster.SubmitJob(base(c, "a-entry-0"), spec)
		if status >= 300 {
			t.Fatalf("submission: status %d", status)
		}
		ids = append(ids, record.ID)
	}
	awaitDone(t, c, ids)
	checkTasks(t, c, cfg)
}

// Guards against cancelled tasks that keep running or start again, when many jobs are cancelled and an owner is killed
// halfway.
func TestManyCancellations(t *testing.T) {
	cfg := cluster.Small()
	c := start(t, cfg)
	var ids []structs.JobID
	for i := range 40 {
		spec := structs.JobSpec{Team: "cutters", Kind: "trace", Tasks: 3, RunSeconds: 60, Key: fmt.Sprint(i)}
		record, status := cluster.SubmitJob(base(c, c.Entries()[i%6]), spec)
		if status >= 300 {
			t.Fatalf("submission: status %d", status)
		}
		ids = append(ids, record.ID)
	}
	c.Await("tasks have started", func() bool { return started(c) >= 20 })
	for i, id := range ids {
		if i == len(ids)/2 {
			c.Kill("c-entry-0")
		}
		c.Await("cancellation is accepted", func() bool {
			status := cluster.CancelJob(base(c, "a-entry-0"), id)
			return status > 0 && status < 300
		})
	}
	for _, id := range ids {
		for i, task := range c.AwaitJob(id).Tasks {
			if task.State != structs.TaskCancelled {
				t.Errorf("job %s task %d: %+v", id, i, task)
			}
		}
	}
	events := c.Platform.History.Events()
	if n := invariants.Running(events); n > 0 {
		t.Errorf("%d tasks run although every job is cancelled", n)
	}
}
