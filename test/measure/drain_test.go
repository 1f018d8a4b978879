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

// Phases of the run in which a data centre leaves and returns.
const (
	leaveAt  = 10 * time.Second
	returnAt = 35 * time.Second
	runFor   = 60 * time.Second
)

// The load of the run: a backlog of batch work in four data centres, and quotes at half of the slots.
const (
	leaveDatacentres = 4
	taskTime         = 6 * time.Second
	backlogJobs      = 400
	backlogTasks     = 16
	quoteRate        = 320 // of 640 requests/s that 4 x 4 runners of 8 slots serve at 200 ms
)

// change is what one run has done.
type change struct {
	work      float64 // seconds of tasks that finished within the run
	evictions int
	quotes    *Requests
}

// Measures batch work done, evictions and the latency of quotes while a data centre leaves and returns, against runs
// with the same load in which nothing changes.
func TestDatacentreLeaves(t *testing.T) {
	if !*measuring {
		return
	}
	for round := range *repeats {
		var unchanged, changed change
		// A cluster ends with its subtest; two at once would take each other's addresses.
		t.Run("unchanged", func(t *testing.T) { unchanged = leaveRun(t, false) })
		t.Run("leaves and returns", func(t *testing.T) { changed = leaveRun(t, true) })
		fmt.Printf("round %d\n%s%s", round+1, changeLine("unchanged", unchanged), changeLine("leaves and returns", changed))
		away := (returnAt - leaveAt).Seconds() / runFor.Seconds()
		ideal := 1 - away/leaveDatacentres
		ratio := changed.work / unchanged.work
		fmt.Printf("work ratio %.3f; %.3f if only the data centre's own capacity were missing\n", ratio, ideal)
	}
}

func changeLine(name string, c change) string {
	return fmt.Sprintf("%-20s work %.0f s, %d evictions, quotes p50 %.1f ms p99 %.1f ms, %d answered %d not run %d unknown %d lost\n",
		name, c.work, c.evictions, millis(c.quotes, 50), millis(c.quotes, 99),
		c.quotes.Answered, c.quotes.NotRun, c.quotes.Unknown, c.quotes.Lost)
}

func millis(r *Requests, quantile float64) float64 {
	return float64(r.Latency.ValueAtQuantile(quantile)) / 1000
}

// leaveRun runs the load once; with leaves set, data centre b leaves and returns.
func leaveRun(t *testing.T, leaves bool) change {
	shape := cluster.Datacentre{EntryHosts: 1, Racks: 2, WorkersPerRack: 2, RunnersPerRack: 2}
	cfg := config(datacentres(leaveDatacentres, shape))
	cfg.LinkDelay = 3500 * time.Microsecond
	cfg.Colocate = true
	cfg.Runner.ServiceTime["quote"] = 200 * time.Millisecond
	c := cluster.Start(t, cfg)
	submitBacklog(t, c)
	ctx, cancel := context.WithTimeout(t.Context(), runFor)
	defer cancel()
	var result change
	var wait sync.WaitGroup
	wait.Go(func() { result.quotes = quoteLoad(c).Run(ctx, 0) })
	began := historyClock(c)()
	if leaves {
		wait.Go(func() { leaveAndReturn(ctx, c) })
	}
	wait.Wait()
	for _, e := range c.Platform.History.Events() {
		switch {
		case e.At < began || e.At > began+runFor:
		case e.Type == standin.TaskFinished:
			result.work += taskTime.Seconds()
		case e.Type == standin.TaskStopped:
			result.evictions++
		}
	}
	return result
}

// submitBacklog submits more work than the run can do and waits until the workers are busy.
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

// leaveAndReturn takes data centre b out of service and brings it back.
func leaveAndReturn(ctx context.Context, c *cluster.Cluster) {
	began := time.Now()
	base := c.Entry(c.Entries()[0]).HTTP
	if sleepUntil(ctx, began.Add(leaveAt)) {
		c.SetDatacentre(base, "b", structs.DatacentreOut)
	}
	if sleepUntil(ctx, began.Add(returnAt)) {
		c.SetDatacentre(base, "b", structs.DatacentreIn)
	}
}
