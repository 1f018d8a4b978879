package measure

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/standin"
	"fulmarcourse.example/fulmarcourse/test/cluster"
)

// Times of a run in which a data centre is taken out of service and returned.
const (
	leaveAt     = 10 * time.Second
	returnAt    = 35 * time.Second
	runDuration = 60 * time.Second
)

// Load of a run: a backlog of batch jobs in four data centres, and quotes at half of the capacity of the slots.
const (
	leaveDatacentres = 4
	taskTime         = 6 * time.Second
	backlogJobs      = 400
	backlogTasks     = 16
	quoteRate        = 320 // per second, of the 640 that 4 x 4 runners of 8 slots serve at 200 ms
)

// runResult is the result of one run.
type runResult struct {
	work      float64 // total run time in seconds of the tasks that finished during the run
	evictions int
	quotes    *RequestStats
}

// Measures the batch work done, the evictions and the latency of quotes while a data centre is taken out of service and
// returned, in comparison with runs under the same load in which all data centres stay in service.
func TestDatacentreLeaves(t *testing.T) {
	if !*measuring {
		return
	}
	for round := range *repeats {
		var unchanged, changed runResult
		// Each cluster ends with its subtest, because two at the same time would use the same addresses.
		t.Run("unchanged", func(t *testing.T) { unchanged = leaveRun(t, false) })
		t.Run("leaves and returns", func(t *testing.T) { changed = leaveRun(t, true) })
		fmt.Printf("round %d\n%s%s", round+1, resultLine("unchanged", unchanged), resultLine("leaves and returns", changed))
		outShare := (returnAt - leaveAt).Seconds() / runDuration.Seconds()
		ideal := 1 - outShare/leaveDatacentres
		ratio := changed.work / unchanged.work
		fmt.Printf("work ratio %.3f; %.3f if only the data centre's own capacity were missing\n", ratio, ideal)
	}
}

func resultLine(name string, c runResult) string {
	return fmt.Sprintf("%-20s work %.0f s, %d evictions, quotes p50 %.1f ms p99 %.1f ms, %d answered %d not run %d unknown %d lost\n",
		name, c.work, c.evictions, millis(c.quotes, 50), millis(c.quotes, 99),
		c.quotes.Answered, c.quotes.NotRun, c.quotes.Unknown, c.quotes.Lost)
}

// millis returns a quantile of the latency in milliseconds.
func millis(r *RequestStats, quantile float64) float64 {
	return float64(r.Latency.ValueAtQuantile(quantile)) / 1000
}

// leaveRun runs the load once. If leaves is set, data centre b is taken out of service and returned during the run.
func leaveRun(t *testing.T, leaves bool) runResult {
	shape := cluster.Datacentre{EntryHosts: 1, Racks: 2, WorkersPerRack: 2, RunnersPerRack: 2}
	cfg := config(datacentres(leaveDatacentres, shape))
	cfg.LinkDelay = 3500 * time.Microsecond
	cfg.Colocate = true
	cfg.Runner.ServiceTime["quote"] = 200 * time.Millisecond
	c := cluster.Start(t, cfg)
	submitBacklog(t, c)
	ctx, cancel := context.WithTimeout(t.Context(), runDuration)
	defer cancel()
	var result runResult
	var wait sync.WaitGroup
	wait.Go(func() { result.quotes = quoteLoad(c).Run(ctx, 0) })
	start := historyClock(c)()
	if leaves {
		wait.Go(func() { leaveAndReturn(ctx, c) })
	}
	wait.Wait()
	for _, e := range c.Platform.History.Events() {
		switch {
		case e.At < start || e.At > start+runDuration:
		case e.Type == standin.TaskFinished:
			result.work += taskTime.Seconds()
		case e.Type == standin.TaskStopped:
			result.evictions++
		}
	}
	return result
}

// submitBacklog submits more tasks than can finish during the run and waits until the workers are busy.
func submitBacklog(t *testing.T, c *cluster.Cluster) {
	for n := range backlogJobs {
		if _, ok := submit(c, n, backlogTasks, taskTime); !ok {
			t.Fatalf("job %d was not accepted", n)
		}
	}
	c.Await("the workers are busy", func() bool { return len(c.Platform.History.OfType(standin.TaskStarted)) > backlogTasks })
}

func quoteLoad(c *cluster.Cluster) Load {
	load := Load{Rate: quoteRate, Deadline: 2 * time.Second, Kind: "quote", Label: "q", Seed: seed}
	for _, id := range c.Entries() {
		load.Bases = append(load.Bases, c.Entry(id).HTTP)
	}
	return load
}

// leaveAndReturn takes data centre b out of service at leaveAt and returns it at returnAt.
func leaveAndReturn(ctx context.Context, c *cluster.Cluster) {
	start := time.Now()
	base := c.Entry(c.Entries()[0]).HTTP
	if sleepUntil(ctx, start.Add(leaveAt)) {
		c.SetDatacentre(base, "b", structs.DatacentreOut)
	}
	if sleepUntil(ctx, start.Add(returnAt)) {
		c.SetDatacentre(base, "b", structs.DatacentreIn)
	}
}
