package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/standin/fleet"
)

const (
	batchJob   = `{"steps":[{"count":1,"cpu":1000,"memMb":100},{"count":1,"cpu":1000,"memMb":100,"after":[0]}]}`
	serviceJob = `{"steps":[{"count":2,"cpu":1000,"memMb":100,"longRunning":true}]}`
	fillingJob = `{"steps":[{"count":1,"cpu":5000,"memMb":100,"longRunning":true}]}`
)

// waitCase is a made-up history, with times since its start, of the jobs "b" (batchJob), "s" (serviceJob) and "f" (fillingJob), which
// is not open and runs on the workers of filled.
type waitCase struct {
	open      string // jobs that are accepted at 0 s
	runs      []fleet.Run
	workers   int
	label     string // that batchJob needs and no worker has
	filled    []string
	disturbed time.Duration
	trafficTo time.Duration // -1 for traffic that goes on
	stall     time.Duration // of the test process, which ends at stallEnd
	length    time.Duration // of the observation; 30 s if 0
	found     string        // waits, each as "TASK at TIME"
}

func madeUpRun(task string, from, until float64, outcome string) fleet.Run {
	at := func(s float64) time.Time { return madeUpStart.Add(time.Duration(s * float64(time.Second))) }
	r := fleet.Run{Task: task, Worker: "w0", Started: at(from), Outcome: outcome}
	if outcome != "" {
		r.Ended = at(until)
	}
	return r
}

var madeUpStart = time.Unix(1000, 0)

var waitCases = map[string]waitCase{
	"a job that never runs is found 3 s after finish_s": {open: "b", workers: 2, found: "b.0.0.0 at 17s"},
	"a job counts from the end of the traffic":          {open: "b", workers: 2, trafficTo: 2 * time.Second, found: "b.0.0.0 at 19s"},
	"a job does not count during traffic":               {open: "b", workers: 2, trafficTo: -1},
	"a job counts from the end of the faults":           {open: "b", workers: 2, disturbed: 5 * time.Second, found: "b.0.0.0 at 22s"},
	"a job whose task runs does not wait":               {open: "b", workers: 2, runs: []fleet.Run{madeUpRun("b.0.0.0", 1, 0, "")}},
	"the second step waits once the first is done": {
		open: "b", workers: 2, runs: []fleet.Run{madeUpRun("b.0.0.0", 1, 20, "done")}, found: "b.0.1.0 at 23s"},
	"a task whose end was lost has to run again": {
		open: "b", workers: 2, runs: []fleet.Run{lostEnd(madeUpRun("b.0.0.0", 1, 20, "done"))}, found: "b.0.0.0 at 23s"},
	"a short run begins the wait anew": {
		open: "b", workers: 2, length: 18 * time.Second, runs: []fleet.Run{madeUpRun("b.0.0.0", 15.96, 15.97, "failed")}},
	"a job that is done waits for nothing": {
		open: "b", workers: 2, runs: []fleet.Run{madeUpRun("b.0.0.0", 1, 2, "done"), madeUpRun("b.0.1.0", 2, 3, "done")}},
	"no worker has capacity":            {open: "b", workers: 0},
	"half of the pool is in use":        {open: "b", workers: 2, filled: []string{"w0", "w1"}},
	"under half of the pool is in use":  {open: "b", workers: 3, filled: []string{"w0"}, found: "b.0.0.0 at 17s"},
	"no worker has the label":           {open: "b", workers: 2, label: "x"},
	"a stall of the process is no wait": {open: "b", workers: 2, stall: time.Second, found: "b.0.0.0 at 18s"},

	"a service that never runs is found 7 s after disturbances": {
		open: "s", workers: 2, trafficTo: -1, disturbed: time.Second, found: "s.0.0.0 at 8s, s.0.0.1 at 8s"},
	"a service that has ended is found 9 s later, whether others of its job run or not": {
		open: "s", workers: 2, trafficTo: -1,
		runs: []fleet.Run{madeUpRun("s.0.0.0", 1, 5, "failed"), madeUpRun("s.0.0.1", 1, 0, "")}, found: "s.0.0.0 at 14s"},
	"a service in a pool of which over half is in use": {
		open: "s", workers: 3, filled: []string{"w0", "w1"}, trafficTo: -1,
		runs: []fleet.Run{madeUpRun("s.0.0.0", 1, 5, "failed"), madeUpRun("s.0.0.1", 1, 0, "")}, found: "s.0.0.0 at 14s"},
	"a service that fits once only": {open: "s", workers: 1, filled: []string{"w0"}, trafficTo: -1},
	"a service that starts again in time": {
		open: "s", workers: 2, trafficTo: -1,
		runs: []fleet.Run{madeUpRun("s.0.0.0", 1, 5, "failed"), madeUpRun("s.0.0.1", 1, 0, ""), madeUpRun("s.0.0.0", 13.9, 0, "")}},
	"a service that is down beside a fault": {
		open: "s", workers: 2, trafficTo: -1, disturbed: 10 * time.Second, length: 16 * time.Second,
		runs: []fleet.Run{madeUpRun("s.0.0.0", 1, 5, "failed"), madeUpRun("s.0.0.1", 1, 0, "")}},
}

func lostEnd(r fleet.Run) fleet.Run {
	r.EndLost = true
	return r
}

// play observes the history every 100 ms and returns the waits that were found.
func (c waitCase) play() string {
	batch := mustParseJob(batchJob)
	batch.Steps[0].Requires = c.label
	ob := observation{
		specs:     map[string]jobSpec{"b": batch, "s": mustParseJob(serviceJob), "f": mustParseJob(fillingJob)},
		open:      []openJob{{c.open, madeUpStart}},
		disturbed: madeUpStart.Add(c.disturbed), stalls: &stallRecorder{},
	}
	for n := range c.workers {
		ob.workers = append(ob.workers, soundWorker{fmt.Sprint("w", n), fleet.Kind{Capacity: fleet.Resources{CPU: 6000, MemMB: 1000}}})
	}
	if c.trafficTo >= 0 {
		ob.trafficTo = madeUpStart.Add(c.trafficTo)
	}
	var o waitObserver
	var found []string
	for at := time.Duration(0); at <= cmp.Or(c.length, 30*time.Second); at += observeInterval {
		ob.at, ob.runs = madeUpStart.Add(at), nil
		for n, worker := range c.filled {
			ob.runs = append(ob.runs, fleet.Run{Task: taskName("f", 0, n), Worker: worker, Started: madeUpStart})
		}
		ob.runs = append(ob.runs, runsUntil(c.runs, ob.at)...)
		if c.stall > 0 && at == stallEnd {
			ob.stalls.record(ob.at.Add(-c.stall-stallInterval), ob.at)
		}
		for _, w := range o.observe(ob) {
			found = append(found, fmt.Sprintf("%s at %v", w.task, at))
		}
	}
	slices.Sort(found)
	return strings.Join(found, ", ")
}

// stallEnd is when the stall of a case ends: within the time that counts for a job.
const stallEnd = 16 * time.Second

// runsUntil returns the runs as they were seen at a time.
func runsUntil(runs []fleet.Run, now time.Time) (seen []fleet.Run) {
	for _, r := range runs {
		if r.Started.After(now) {
			continue
		}
		if r.Ended.After(now) {
			r.Ended, r.Outcome, r.EndLost = time.Time{}, "", false
		}
		seen = append(seen, r)
	}
	return seen
}

// Guards against an observer of the soak that finds no wait, or too late, and against one that reports waits which are allowed.
func TestWaitsAreObserved(t *testing.T) {
	for name, c := range waitCases {
		t.Run(name, func(t *testing.T) {
			if got := c.play(); got != c.found {
				t.Errorf("found %q, want %q", got, c.found)
			}
		})
	}
}
