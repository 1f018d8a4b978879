package integration

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/test/cluster"
)

// pairSeeds is the number of seeds that TestPairsOfFaults runs, starting at 1.
var pairSeeds = flag.Int("pairs", 2, "number of seeds of TestPairsOfFaults")

// faultDuration is longer than the owner lease (4 s), so that a takeover can happen.
const faultDuration = 6 * time.Second

// fault is a kind of fault. begin injects it and returns the function that ends it.
type fault struct {
	name  string
	begin func(c *cluster.Cluster, rnd *rand.Rand) (end func())
}

var shardA = structs.ShardID{Datacentre: "a", Index: 0}

// randomEntry returns a random entry host of data centre b or c. Data centre a is left to the fault that kills its
// owner.
func randomEntry(c *cluster.Cluster, rnd *rand.Rand) structs.HostID {
	return c.Entries()[2+rnd.IntN(len(c.Entries())-2)]
}

var faults = []fault{
	{"owner killed and restarted", func(c *cluster.Cluster, _ *rand.Rand) func() {
		owner := c.Owner(shardA)
		if owner == "" {
			return func() {}
		}
		c.Kill(owner)
		return func() { c.Restart(owner) }
	}},
	{"entry host frozen", func(c *cluster.Cluster, rnd *rand.Rand) func() {
		host := randomEntry(c, rnd)
		c.Pause(host)
		return func() { c.Resume(host) }
	}},
	{"data centre b cut off", func(c *cluster.Cluster, _ *rand.Rand) func() {
		c.IsolateDatacentre("b")
		return c.Heal
	}},
	{"store down", func(c *cluster.Cluster, _ *rand.Rand) func() {
		c.Platform.Store.SetDown(true)
		return func() { c.Platform.Store.SetDown(false) }
	}},
	{"store slow and losing responses", func(c *cluster.Cluster, rnd *rand.Rand) func() {
		c.Platform.Store.SetDelay(300 * time.Millisecond)
		c.Platform.Store.LoseResponses(5 + rnd.IntN(10))
		return func() { c.Platform.Store.SetDelay(0) }
	}},
	{"worker host failed", func(c *cluster.Cluster, _ *rand.Rand) func() {
		c.Platform.Kill("c-0-worker-0")
		return func() {}
	}},
	{"data centre c out and back", func(c *cluster.Cluster, _ *rand.Rand) func() {
		setThroughAny(c, "c", structs.DatacentreOut)
		return func() {
			c.Await("data centre c is back", func() bool { return setThroughAny(c, "c", structs.DatacentreIn) })
		}
	}},
}

// setThroughAny sends an operator's command to the entry hosts in turn until one accepts it, since any of them may be
// frozen, killed or cut off. It reports whether one has accepted it.
func setThroughAny(c *cluster.Cluster, dc structs.DatacentreID, state structs.DatacentreState) bool {
	return slices.ContainsFunc(c.Entries(), func(id structs.HostID) bool {
		status := c.SetDatacentre(base(c, id), dc, state)
		return status > 0 && status < 300
	})
}

// Guards against combinations of two faults that make tasks run twice, lose tasks or overcommit a host.
func TestPairsOfFaults(t *testing.T) {
	for seed := range uint64(*pairSeeds) {
		rnd := rand.New(rand.NewPCG(seed+1, 0))
		chosen := rnd.Perm(len(faults))[:2]
		name := fmt.Sprintf("seed %d: %s, %s", seed+1, faults[chosen[0]].name, faults[chosen[1]].name)
		t.Run(name, func(t *testing.T) { runPair(t, rnd, faults[chosen[0]], faults[chosen[1]]) })
	}
}

func runPair(t *testing.T, rnd *rand.Rand, first, second fault) {
	cfg := cluster.Small()
	c := start(t, cfg)
	ids := c.SubmitSampleJobs(5)
	c.Await("tasks have started", func() bool { return started(c) >= 4 })
	endFirst := first.begin(c, rnd)
	<-time.After(time.Duration(rnd.IntN(2000)) * time.Millisecond)
	endSecond := second.begin(c, rnd)
	<-time.After(faultDuration)
	endSecond()
	endFirst()
	for _, id := range ids {
		record := c.AwaitJob(id)
		for i, task := range record.Tasks {
			if !allowedEnd(record.Spec.Kind, task) {
				t.Errorf("job %s task %d: %+v", id, i, task)
			}
		}
	}
	checkTasks(t, c, cfg)
}

// allowedEnd reports whether a task may have this final state after faults: done, or unknown for a template whose
// attempt was lost with its worker, since it may have run.
func allowedEnd(kind structs.KindName, task structs.TaskRecord) bool {
	return task.State == structs.TaskDone || (kind == "template" && task.State == structs.TaskUnknown)
}
