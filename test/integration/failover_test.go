package integration

import (
	"testing"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/standin"
	"fulmarcourse.example/fulmarcourse/test/cluster"
	"fulmarcourse.example/fulmarcourse/test/invariants"
)

// checkTasks fails the test if the history of the workers violates an invariant about tasks.
func checkTasks(t *testing.T, c *cluster.Cluster, cfg cluster.Config) {
	t.Helper()
	events := c.Platform.History.Events()
	capacity := map[structs.HostID]structs.Resources{}
	for id := range c.Platform.Workers {
		capacity[id] = cfg.Worker.Capacity
	}
	var violations []string
	violations = append(violations, invariants.Capacity(events, capacity)...)
	violations = append(violations, invariants.SingleRun(events)...)
	violations = append(violations, invariants.AtMostOneRun(events, "template")...)
	violations = append(violations, invariants.ResumeOnce(events, func(structs.TaskID) bool { return true })...)
	for _, v := range violations {
		t.Error(v)
	}
}

// started returns the number of task starts so far.
func started(c *cluster.Cluster) int { return count(c, standin.TaskStarted) }

// Guards against tasks that run twice, or hosts that are overcommitted, when a shard owner is killed and another entry
// host takes over while tasks start.
func TestOwnerKilledWhileTasksStart(t *testing.T) {
	cfg := cluster.Small()
	c := start(t, cfg)
	ids := c.SubmitSampleJobs(6)
	c.Await("tasks have started", func() bool { return started(c) >= 10 })
	owner := c.Owner(structs.ShardID{Datacentre: "a", Index: 0})
	c.Kill(owner)
	for _, id := range ids {
		for i, task := range c.AwaitJob(id).Tasks {
			if task.State != structs.TaskDone {
				t.Errorf("job %s task %d: %+v", id, i, task)
			}
		}
	}
	checkTasks(t, c, cfg)
}

// Guards against a frozen owner that continues to send commands when it resumes after another host has taken over.
func TestOwnerFrozenDuringTakeover(t *testing.T) {
	cfg := cluster.Small()
	c := start(t, cfg)
	ids := c.SubmitSampleJobs(6)
	c.Await("tasks have started", func() bool { return started(c) >= 4 })
	shard := structs.ShardID{Datacentre: "a", Index: 0}
	owner := c.Owner(shard)
	c.Pause(owner)
	c.Await("another owner", func() bool {
		now := c.Owner(shard)
		return now != "" && now != owner
	})
	c.Resume(owner)
	for _, id := range ids {
		for i, task := range c.AwaitJob(id).Tasks {
			if task.State != structs.TaskDone {
				t.Errorf("job %s task %d: %+v", id, i, task)
			}
		}
	}
	checkTasks(t, c, cfg)
}
