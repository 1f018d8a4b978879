package measure

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/standin"
	"fulmarcourse.example/fulmarcourse/test/cluster"
)

// ownerWorkers is the number of workers that a shard owner has in these measurements. Its share at the target size is
// 41 workers.
const ownerWorkers = 40

// submit submits a job through the entry host that its number selects in turn, and reports whether the job was
// accepted.
func submit(c *cluster.Cluster, number, tasks int, run time.Duration) (structs.JobID, bool) {
	entries := c.Entries()
	record, status := cluster.SubmitJob(c.Entry(entries[number%len(entries)]).HTTP, structs.JobSpec{
		Team: "cutters", Kind: "trace", Tasks: tasks, RunSeconds: run.Seconds(), Key: fmt.Sprint("m", number),
	})
	return record.ID, status >= 200 && status < 300
}

// Measures the cost of tasks that keep running without any change.
func TestRunningTasks(t *testing.T) {
	load := func(c *cluster.Cluster, perWorker int) func() {
		const jobTasks = 40
		for n := range perWorker {
			// Right after the start of a cluster, its entry hosts may not have discovered the workers yet and reject jobs.
			c.Await(fmt.Sprintf("job %d is accepted", n), func() bool {
				_, ok := submit(c, n, jobTasks, time.Hour)
				return ok
			})
		}
		c.Await("all tasks run", func() bool {
			return len(c.Platform.History.OfType(standin.TaskStarted)) >= perWorker*jobTasks
		})
		return idle(c, perWorker)
	}
	sweep(t, fmt.Sprintf("Running tasks on %d workers", ownerWorkers), "tasks per worker", []int{0, 5, 12, 24},
		func(int) cluster.Config { return oneOwner(ownerWorkers) }, load)
}

// Measures the cost of task starts at one entry host that owns two shards.
func TestTaskStarts(t *testing.T) {
	sweep(t, fmt.Sprintf("Starts of 1 s tasks per second on %d workers", ownerWorkers), "starts/s", []int{0, 35, 70, 150},
		func(int) cluster.Config { return oneOwner(ownerWorkers) }, taskStarts(t))
}

// Measures the cost of the peak rate of task starts over four data centres with one entry host each.
func TestTaskStartsAtPeak(t *testing.T) {
	build := func(int) cluster.Config {
		return config(datacentres(4, cluster.Datacentre{EntryHosts: 1, Racks: ownerWorkers / workersPerRack, WorkersPerRack: workersPerRack}))
	}
	sweep(t, "Starts of 1 s tasks per second over four data centres", "starts/s", []int{550}, build, taskStarts(t))
}

// taskStarts returns a load that starts tasks at a given rate, in jobs of ten tasks, and logs the latency of the
// starts.
func taskStarts(t *testing.T) func(*cluster.Cluster, int) func() {
	const tasks = 10
	return func(c *cluster.Cluster, rate int) func() {
		return func() {
			if rate == 0 {
				pause(*window)
				return
			}
			clock := historyClock(c)
			submitted, refused := map[structs.JobID]time.Duration{}, 0
			var mu sync.Mutex
			var wait sync.WaitGroup
			start, interval := time.Now(), time.Duration(float64(tasks)/float64(rate)*float64(time.Second))
			for n := 0; time.Since(start) < *window; n++ {
				sleepUntil(context.Background(), start.Add(time.Duration(n)*interval))
				wait.Go(func() {
					at := clock()
					id, ok := submit(c, n, tasks, time.Second)
					mu.Lock()
					defer mu.Unlock()
					if submitted[id] = at; !ok {
						refused++
					}
				})
			}
			wait.Wait()
			latency := startLatency(c, submitted)
			t.Logf("%d starts/s: %d of %d tasks started by the end, %d jobs refused, from submission p50 %d ms, p99 %d ms, largest %d ms",
				rate, latency.TotalCount(), len(submitted)*tasks, refused, latency.ValueAtQuantile(50), latency.ValueAtQuantile(99), latency.Max())
		}
	}
}

// historyClock returns a clock that agrees with the times in the history of the fakes.
func historyClock(c *cluster.Cluster) func() time.Duration {
	c.Platform.HostList.Put(structs.Host{ID: "z-clock", Role: structs.RoleWorker, State: structs.HostLive, Datacentre: "z"})
	at := time.Now()
	changes := c.Platform.History.OfType(standin.HostChanged)
	last := changes[len(changes)-1].At
	return func() time.Duration { return last + time.Since(at) }
}

// startLatency returns the times from submission to the first start of each task, in milliseconds.
func startLatency(c *cluster.Cluster, submitted map[structs.JobID]time.Duration) *hdrhistogram.Histogram {
	latency := hdrhistogram.New(1, maxLatency.Milliseconds(), significantDigits)
	for _, e := range c.Platform.History.OfType(standin.TaskStarted) {
		if at, ok := submitted[e.Task.Job]; ok && e.Attempt == 1 {
			_ = latency.RecordValue(max(1, (e.At - at).Milliseconds())) // fails only above maxLatency, and runs are shorter
		}
	}
	return latency
}

// Measures the cost of requests at one entry host that owns the runners of its data centre.
func TestRequests(t *testing.T) {
	build := func(int) cluster.Config {
		return config(datacentres(1, cluster.Datacentre{EntryHosts: 1, Racks: 8, RunnersPerRack: 2}))
	}
	load := func(c *cluster.Cluster, rate int) func() {
		if rate == 0 {
			return idle(c, rate)
		}
		l := Load{
			Rate: float64(rate), Deadline: 2 * time.Second, Kind: "quote",
			Bases: []string{c.Entry("a-entry-0").HTTP}, Seed: seed,
		}
		return func() {
			ctx, cancel := context.WithTimeout(t.Context(), *window)
			defer cancel()
			r := l.Run(ctx, 0)
			t.Logf("%d requests/s: %d answered, %d not run, p50 %d us, p99 %d us", rate, r.Answered, r.NotRun,
				r.Latency.ValueAtQuantile(50), r.Latency.ValueAtQuantile(99))
		}
	}
	sweep(t, "Requests per second of 50 ms on 128 slots", "requests/s", []int{0, 100, 400, 1200}, build, load)
}

// Measures the cost of stored jobs that have finished, and the size of a record.
func TestStoredJobs(t *testing.T) {
	load := func(c *cluster.Cluster, jobs int) func() {
		var ids []structs.JobID
		for n := range jobs {
			c.Await(fmt.Sprintf("job %d is accepted", n), func() bool {
				id, ok := submit(c, n, 4, 10*time.Millisecond)
				if ok {
					ids = append(ids, id)
				}
				return ok
			})
		}
		for _, id := range slices.Backward(ids) {
			c.AwaitJob(id)
		}
		return idle(c, jobs)
	}
	sweep(t, "Stored jobs of four finished tasks", "jobs", []int{0, 300, 1000}, func(int) cluster.Config { return oneOwner(ownerWorkers) }, load)
}
