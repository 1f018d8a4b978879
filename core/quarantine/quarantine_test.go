package quarantine

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fulmarcourse.example/core/structs"
)

// A fixed seed makes property tests reproducible; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func host(i int) structs.HostID { return structs.HostID(fmt.Sprintf("w%02d", i)) }

// cluster simulates good and faulty jobs on good and faulty workers, one task per second, and collects the decisions.
type cluster struct {
	rnd           *rand.Rand
	hosts         int
	faultyWorkers map[structs.HostID]bool // workers on which every task fails
	faultyJobs    map[structs.JobID]bool  // jobs that fail on every worker
	tracker       *Tracker                // nil when the baseline is tested
	recorder      interface{ Record(Result) []Decision }
	now           time.Time
	decisions     []Decision
}

func newCluster(seed uint64, hosts int, baseline bool) *cluster {
	c := &cluster{rnd: rand.New(rand.NewPCG(seed, 1)), hosts: hosts, faultyWorkers: map[structs.HostID]bool{}, faultyJobs: map[structs.JobID]bool{}, now: start}
	if baseline {
		c.recorder = NewNaive()
	} else {
		c.tracker = NewTracker(hosts)
		c.recorder = c.tracker
	}
	return c
}

// run runs one task of the given jobs on a random worker in each of a number of seconds.
func (c *cluster) run(seconds int, jobs []structs.JobID) {
	for range seconds {
		c.now = c.now.Add(time.Second)
		task := structs.TaskID{Job: jobs[c.rnd.IntN(len(jobs))], Index: c.rnd.IntN(20)}
		h := host(c.rnd.IntN(c.hosts))
		if c.tracker != nil {
			c.decisions = append(c.decisions, c.tracker.Tick(c.now)...)
			if c.probe(jobs); c.hasDecision(ParkJob, task.Job) || !c.tracker.MayStart(task, c.now) || c.tracker.Quarantined(h) || slices.Contains(c.tracker.Excluded(task), h) {
				continue
			}
		}
		c.finish(h, task)
	}
}

// probe runs due probes with a task of a good job.
func (c *cluster) probe(jobs []structs.JobID) {
	for _, h := range c.tracker.DueProbes(c.now) {
		c.tracker.ProbeStarted(h, c.now)
		c.finish(h, structs.TaskID{Job: jobs[0]})
	}
}

func (c *cluster) finish(h structs.HostID, task structs.TaskID) {
	ok := !c.faultyWorkers[h] && !c.faultyJobs[task.Job]
	c.decisions = append(c.decisions, c.recorder.Record(Result{Worker: h, Task: task, OK: ok, At: c.now})...)
}

func (c *cluster) hasDecision(kind DecisionKind, job structs.JobID) bool {
	return slices.ContainsFunc(c.decisions, func(d Decision) bool { return d.Kind == kind && d.Task.Job == job })
}

// workers returns the workers of the decisions of a kind.
func (c *cluster) workers(kind DecisionKind) map[structs.HostID]bool {
	result := map[structs.HostID]bool{}
	for _, d := range c.decisions {
		if d.Kind == kind {
			result[d.Worker] = true
		}
	}
	return result
}

var jobs = []structs.JobID{"good1", "good2", "good3", "good4", "bad1", "bad2", "bad3", "bad4", "bad5"}

// Guards against parking good jobs because of faulty workers, quarantining good workers because of faulty jobs, and
// faults that are not detected. The baseline parks good jobs.
func TestFaultyWorkersAndFaultyJobsAreDistinguished(t *testing.T) {
	parked := 0
	for seed := uint64(1); seed <= 20; seed++ {
		for _, baseline := range []bool{false, true} {
			c := newCluster(seed, 20, baseline)
			c.faultyWorkers[host(3)], c.faultyWorkers[host(7)] = true, true
			for _, job := range jobs[4:] {
				c.faultyJobs[job] = true
			}
			c.run(3000, jobs)
			for _, job := range jobs {
				if baseline && !c.faultyJobs[job] && c.hasDecision(ParkJob, job) {
					parked++
				}
				if !baseline && c.hasDecision(ParkJob, job) != c.faultyJobs[job] {
					t.Errorf("seed %d: job %s parked: %v", seed, job, !c.faultyJobs[job])
				}
			}
			if baseline {
				continue
			}
			for i := range c.hosts {
				if quarantined := c.tracker.Quarantined(host(i)); quarantined != c.faultyWorkers[host(i)] {
					t.Errorf("seed %d: %s quarantined: %v", seed, host(i), quarantined)
				}
			}
		}
	}
	if parked == 0 {
		t.Error("the baseline parks no good job, so the scenario does not distinguish it from Tracker")
	}
}

// Guards against a repaired worker that is not released, and a faulty one that is released or probed too often.
func TestProbingAndRelease(t *testing.T) {
	c := newCluster(1, 20, false)
	c.faultyWorkers[host(3)] = true
	c.run(1500, jobs[:4])
	if !c.tracker.Quarantined(host(3)) {
		t.Fatal("faulty worker not quarantined")
	}
	probes := 0
	for range 3600 { // an hour of probes that fail
		c.now = c.now.Add(time.Second)
		for _, h := range c.tracker.DueProbes(c.now) {
			c.tracker.ProbeStarted(h, c.now)
			probes++
			c.finish(h, structs.TaskID{Job: "good1"})
		}
	}
	if probes < 2 || probes > 6 {
		t.Errorf("%d probes in an hour, want 2 to 6", probes)
	}
	c.faultyWorkers = nil
	c.run(int(MaxProbeDelay.Seconds())+60, jobs[:4])
	if !c.workers(ReleaseWorker)[host(3)] || c.tracker.Quarantined(host(3)) {
		t.Error("repaired worker not released")
	}
}

// Guards against quarantining most of a shard and parking its jobs when a common cause makes every task fail.
func TestCommonCauseIsNotAttributed(t *testing.T) {
	c := newCluster(1, 20, false)
	for i := range c.hosts {
		c.faultyWorkers[host(i)] = true
	}
	manyJobs := []structs.JobID{}
	for i := range 60 {
		manyJobs = append(manyJobs, structs.JobID(fmt.Sprint("job", i)))
	}
	c.run(1200, manyJobs)
	if n, limit := len(c.workers(QuarantineWorker)), c.tracker.limit(); n > limit {
		t.Errorf("%d workers quarantined, limit %d", n, limit)
	}
	if !c.tracker.Storm() {
		t.Error("storm not reported")
	}
	if i := slices.IndexFunc(manyJobs, func(job structs.JobID) bool { return c.hasDecision(ParkJob, job) }); i >= 0 {
		t.Errorf("good job %s parked", manyJobs[i])
	}
}

// Guards against failures on a faulty worker that count against a job, and against parking a whole job because one of
// its tasks fails on every worker.
func TestFailuresThatCount(t *testing.T) {
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	tracker := NewTracker(20)
	fail := func(w, s int, job structs.JobID, index int) []Decision {
		return tracker.Record(Result{Worker: host(w), Task: structs.TaskID{Job: job, Index: index}, At: at(s)})
	}
	success := func(w, s int, job structs.JobID) {
		tracker.Record(Result{Worker: host(w), Task: structs.TaskID{Job: job, Index: 99}, OK: true, At: at(s)})
	}
	for w := range 4 {
		success(w, 0, "other")
	}
	fail(9, 1, "x", 0)
	fail(9, 2, "y", 0)
	if got := fail(9, 3, "z", 0); len(got) != 1 || got[0].Kind != QuarantineWorker {
		t.Fatalf("third job: %v", got)
	}
	fail(0, 10, "x", 0)
	fail(1, 20, "x", 0)
	success(9, 25, "other")
	success(9, 26, "other")
	if got := tracker.Tick(at(65)); len(got) != 0 || tracker.Quarantined(host(9)) {
		t.Errorf("job parked after failures on two healthy workers and one faulty worker: %v", got)
	}
	if slices.Contains(tracker.Excluded(structs.TaskID{Job: "x"}), host(9)) {
		t.Error("worker that was faulty is still excluded for the job after its release")
	}
	fail(2, 40, "x", 0)
	if got := tracker.Tick(at(69)); len(got) != 0 {
		t.Errorf("parked before the observation period of the third worker ended: %v", got)
	}
	if tracker.MayStart(structs.TaskID{Job: "x", Index: 7}, at(69)) {
		t.Error("a job that has failed on three workers may start on a fourth")
	}
	if got := tracker.Tick(at(71)); len(got) != 1 || got[0].Kind != ParkJob {
		t.Errorf("third healthy worker: %v", got)
	}
	success(3, 80, "y")
	candidates := []ProbeCandidate{{Task: structs.TaskID{Job: "y"}, Urgent: true, Idempotent: true}, {Task: structs.TaskID{Job: "y", Index: 1}}, {Task: structs.TaskID{Job: "new"}, Idempotent: true}, {Task: structs.TaskID{Job: "y", Index: 2}, Idempotent: true}}
	if got, ok := tracker.PickProbe(host(5), candidates); !ok || got.Index != 2 {
		t.Errorf("probe with %v", got)
	}
	for w := range 3 {
		fail(w, 80+w, "y", 5)
		got := tracker.Tick(at(200 + w))
		if parked := len(got) == 1 && got[0].Kind == ParkTask && got[0].Task.Index == 5; parked != (w == 2) {
			t.Errorf("failure %d of a task of a good job: %v", w+1, got)
		}
	}
}

// Guards against a faulty worker that is not quarantined because only a single large job runs, which then loses all its
// tasks there.
func TestSingleJobRevealsFaultyWorker(t *testing.T) {
	tracker := NewTracker(20)
	tracker.Record(Result{Worker: host(0), Task: structs.TaskID{Job: "x", Index: 999}, OK: true, At: start})
	for i := range WorkerFailedTasks {
		if tracker.Quarantined(host(1)) {
			t.Fatalf("quarantined after %d tasks", i)
		}
		tracker.Record(Result{Worker: host(1), Task: structs.TaskID{Job: "x", Index: i}, At: start.Add(time.Duration(i) * time.Second)})
	}
	if !tracker.Quarantined(host(1)) {
		t.Error("faulty worker not quarantined")
	}
}

// Guards against parking tasks after a takeover because of failures that the new owner cannot attribute, and against
// retries without a delay.
func TestRestoreAndRetryDelay(t *testing.T) {
	tracker, task := NewTracker(20), structs.TaskID{Job: "x"}
	tracker.Restore(task, []structs.HostID{"a", "b", "c", "d"}, start)
	if got := tracker.Tick(start.Add(time.Hour)); len(got) != 0 {
		t.Errorf("parked after a takeover: %v", got)
	}
	if tracker.MayStart(task, start.Add(InitialRetryDelay/2)) || !tracker.MayStart(task, start.Add(time.Minute)) {
		t.Error("no retry delay after a failure, or a delay that does not end")
	}
}

// Guards against decisions that contradict each other or exceed the limit, for any sequence of results.
func TestTrackerKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker, now := NewTracker(6), start
		quarantined, parked := map[structs.HostID]bool{}, map[structs.JobID]bool{}
		check := func(decisions []Decision) {
			for _, d := range decisions {
				switch d.Kind {
				case QuarantineWorker, ReleaseWorker:
					if quarantined[d.Worker] == (d.Kind == QuarantineWorker) {
						t.Fatalf("decision %v for a worker that is already in this state", d)
					}
					quarantined[d.Worker] = d.Kind == QuarantineWorker
				case ParkJob:
					parked[d.Task.Job] = true
				}
			}
		}
		for range rapid.IntRange(0, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "gap")) * time.Second)
			task := structs.TaskID{Job: structs.JobID(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "job")), Index: rapid.IntRange(0, 2).Draw(t, "task")}
			if !parked[task.Job] {
				check(tracker.Record(Result{Worker: host(rapid.IntRange(0, 5).Draw(t, "worker")), Task: task, OK: rapid.IntRange(0, 3).Draw(t, "ok") == 0, At: now}))
			}
			check(tracker.Tick(now))
			n := 0
			for h, expected := range quarantined {
				if expected {
					n++
				}
				if expected != tracker.Quarantined(h) {
					t.Fatalf("%s: quarantined is %v by the decisions, but not by the tracker", h, expected)
				}
			}
			if n > tracker.limit() {
				t.Fatalf("%d workers quarantined, more than the limit", n)
			}
			if len(tracker.Excluded(task)) > MaxExcluded {
				t.Fatal("too many workers excluded")
			}
		}
	})
}

// Guards against quarantining a healthy worker because several jobs that fail on every worker have been tried there.
func TestJobsThatFailElsewhereDoNotImplicateAWorker(t *testing.T) {
	tracker := NewTracker(20)
	now := start
	for i, job := range []structs.JobID{"x", "y", "z"} {
		for _, w := range []int{2 * i, 2*i + 1, 9} {
			now = now.Add(time.Second)
			tracker.Record(Result{Worker: host(w), Task: structs.TaskID{Job: job}, At: now})
		}
	}
	if tracker.Quarantined(host(9)) {
		t.Error("worker quarantined for jobs that fail elsewhere as well")
	}
	if got := tracker.Tick(now.Add(ObservationPeriod)); len(got) != 3 {
		t.Errorf("decisions %v, want three parked jobs", got)
	}
}
