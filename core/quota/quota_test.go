package quota

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

// Property tests use a fixed seed, so that every run draws the same cases.
func init() { _ = flag.Set("rapid.seed", "1") }

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func cpu(n int64) structs.Resources { return structs.Resources{MilliCPU: n} }

// testState returns a state with a capacity of 100 CPUs and the teams a (guaranteed 50), b (30) and c (none). b may
// submit urgent tasks.
func testState() State {
	return State{
		Capacity: cpu(100_000),
		Shares:   map[structs.TeamName]Share{"a": {Guarantee: cpu(50_000)}, "b": {Guarantee: cpu(30_000), Urgent: true}, "c": {}},
		Usage:    map[structs.TeamName]structs.Resources{}, UrgentUsage: map[structs.TeamName]structs.Resources{},
		Now: start,
	}
}

func drawTasks(t *rapid.T, teams []structs.TeamName) []Task {
	var tasks []Task
	for range rapid.IntRange(0, 60).Draw(t, "tasks") {
		tasks = append(tasks, Task{
			Team: rapid.SampledFrom(teams).Draw(t, "team"), Size: cpu(rapid.Int64Range(0, 9000).Draw(t, "size")),
			Urgent: rapid.Bool().Draw(t, "urgent"), Since: start.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "waited")) * time.Second),
		})
	}
	return tasks
}

// Guards against orders that lose or repeat tasks, put urgent tasks of teams without permission first, or put a younger
// task of a team before an older one of the same rank.
func TestOrderKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state, tasks := testState(), drawTasks(t, []structs.TeamName{"a", "b", "c", "unknown"})
		for _, team := range []structs.TeamName{"a", "b"} {
			state.Usage[team] = cpu(rapid.Int64Range(0, 90_000).Draw(t, "usage"))
		}
		order := Order(state, tasks)
		if sorted := slices.Sorted(slices.Values(order)); len(sorted) != len(tasks) || len(slices.Compact(sorted)) != len(tasks) {
			t.Fatalf("order %v of %d tasks", order, len(tasks))
		}
		urgent := map[structs.TeamName]int64{}
		inUrgent := true // still in the urgent part of the order
		last := map[structs.TeamName]time.Time{}
		for _, i := range order {
			task := tasks[i]
			fits := urgent["b"]+task.Size.MilliCPU <= int64(UrgentShare*30_000)
			if inUrgent && task.Urgent && task.Team == "b" && fits {
				urgent["b"] += task.Size.MilliCPU
				continue
			}
			if inUrgent {
				inUrgent = false
				clear(last)
			}
			if task.Since.Before(last[task.Team]) {
				t.Fatalf("task %d of team %s comes after a younger one", i, task.Team)
			}
			last[task.Team] = task.Since
		}
	})
}

// Guards against teams that do not get their guaranteed share when all teams have pending tasks, unused share that
// cannot be borrowed, and the fault of the baseline that the first team to submit gets everything.
func TestOrderFollowsGuarantees(t *testing.T) {
	var tasks []Task
	for i := range 600 { // c submits first
		team := structs.TeamName([]string{"c", "a", "b"}[i/200])
		tasks = append(tasks, Task{Team: team, Size: cpu(1000), Since: start.Add(time.Duration(i) * time.Second)})
	}
	first := func(order []int, n int) map[structs.TeamName]int {
		counts := map[structs.TeamName]int{}
		for _, i := range order[:n] {
			counts[tasks[i].Team]++
		}
		return counts
	}
	got := first(Order(testState(), tasks), 100)
	if got["a"] < 55 || got["b"] < 33 || got["c"] > 5 {
		t.Errorf("of the first 100 tasks: %v", got)
	}
	if naive := first(FIFO(tasks), 100); naive["c"] != 100 {
		t.Errorf("baseline: %v", naive)
	}
	if alone := Order(testState(), tasks[:200]); len(alone) != 200 {
		t.Errorf("a team without a guarantee gets %d of 200 positions in an idle shard", len(alone))
	}
}

// Guards against tasks that wait indefinitely while teams with a lower share keep submitting.
func TestNoTaskStarves(t *testing.T) {
	old := Task{Team: "c", Size: cpu(90_000), Since: start.Add(-2 * StarveAfter)}
	tasks := []Task{old}
	for range 100 {
		tasks = append(tasks, Task{Team: "a", Size: cpu(1), Since: start})
	}
	state := testState()
	state.Usage["c"] = cpu(50_000)
	if position := slices.Index(Order(state, tasks), 0); position >= StarvedEvery {
		t.Errorf("the starved task is at position %d", position)
	}
	tasks[0].Since = start
	if position := slices.Index(Order(state, tasks), 0); position != 100 {
		t.Errorf("a task that has not starved is at position %d", position)
	}
}

// Guards against quotas that become 0 when they are divided among shards, or whose parts add up to less than the whole.
func TestScale(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		quota, whole := rapid.Int64Range(1, 1e13).Draw(t, "quota"), int64(0)
		var parts []int64
		for range rapid.IntRange(1, 16).Draw(t, "shards") {
			part := rapid.Int64Range(1, 1e13).Draw(t, "part")
			parts, whole = append(parts, part), whole+part
		}
		sum := int64(0)
		for _, part := range parts {
			got := Scale(structs.Resources{MemoryBytes: quota}, structs.Resources{MemoryBytes: part}, structs.Resources{MemoryBytes: whole}).MemoryBytes
			if got < 1 {
				t.Fatalf("no share of %d in a shard with %d of %d", quota, part, whole)
			}
			sum += got
		}
		if sum < quota-quota/1e9 || sum > quota+int64(len(parts))+quota/1e9 {
			t.Fatalf("shares add up to %d of %d", sum, quota)
		}
	})
}

// Guards against preemption that stops protected tasks, takes teams below their guarantee, stops more tasks than
// needed, or frees too little.
func TestPreemptKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := testState()
		state.Shares["a"] = Share{Guarantee: cpu(8000)}
		preemptor := Task{Team: rapid.SampledFrom([]structs.TeamName{"a", "b"}).Draw(t, "preemptor"), Urgent: rapid.Bool().Draw(t, "urgent"),
			Size: cpu(rapid.Int64Range(5000, 20_000).Draw(t, "size")), Since: start.Add(-rapid.SampledFrom([]time.Duration{0, ReclaimAfter}).Draw(t, "waited"))}
		var workers []Worker
		byTask := map[structs.TaskID]RunningTask{}
		for i := range rapid.IntRange(1, 3).Draw(t, "workers") {
			w := Worker{Host: structs.HostID(fmt.Sprint("w", i)), Free: cpu(rapid.Int64Range(0, 2000).Draw(t, "free"))}
			for j := range rapid.IntRange(2, 8).Draw(t, "running") {
				r := RunningTask{
					Task: structs.TaskID{Job: structs.JobID(w.Host), Index: j}, Team: rapid.SampledFrom([]structs.TeamName{"a", "b", "c"}).Draw(t, "team"),
					Size: cpu(rapid.Int64Range(1000, 9000).Draw(t, "held")), Urgent: rapid.IntRange(0, 4).Draw(t, "is-urgent") == 0,
					Checkpointable: rapid.Bool().Draw(t, "checkpoint"), Idempotent: rapid.Bool().Draw(t, "idempotent"),
					LostWork: time.Duration(rapid.IntRange(0, 500).Draw(t, "lost")) * time.Second, Evictions: rapid.IntRange(0, MaxEvictions).Draw(t, "evictions"),
				}
				w.Tasks, byTask[r.Task] = append(w.Tasks, r), r
				state.Usage[r.Team] = state.Usage[r.Team].Add(r.Size)
			}
			workers = append(workers, w)
		}
		p, ok := Preempt(state, preemptor, workers)
		if !ok {
			return
		}
		if !MayPreempt(&state, preemptor) {
			t.Fatal("preemption for a task that may not preempt")
		}
		i := slices.IndexFunc(workers, func(w Worker) bool { return w.Host == p.Host })
		free, stopped := workers[i].Free, map[structs.TeamName]structs.Resources{}
		for _, id := range p.Victims {
			r := byTask[id]
			if r.Urgent || (!r.Checkpointable && !r.Idempotent) || r.Evictions >= MaxEvictions || string(id.Job) != string(p.Host) {
				t.Fatalf("protected task %+v is to be stopped", r)
			}
			stopped[r.Team] = stopped[r.Team].Add(r.Size)
			free = free.Add(r.Size)
		}
		for team, size := range stopped {
			if team != preemptor.Team && DominantShare(&state, team, state.Usage[team].Sub(size)) < 1 {
				t.Fatalf("team %s falls below its guarantee", team)
			}
		}
		if !preemptor.Size.Fits(free) || len(p.Victims) > MaxVictims {
			t.Fatalf("%d victims free %v for %v", len(p.Victims), free, preemptor.Size)
		}
		for _, id := range p.Victims {
			if preemptor.Size.Fits(free.Sub(byTask[id].Size)) {
				t.Fatalf("%v is stopped unnecessarily", id)
			}
		}
	})
}

// Guards against preemption that loses more work than necessary.
func TestPreemptChoosesTheCheapestWorker(t *testing.T) {
	state := testState()
	state.Usage["c"] = cpu(60_000)
	running := func(host string, lost time.Duration) Worker {
		return Worker{Host: structs.HostID(host), Tasks: []RunningTask{{Task: structs.TaskID{Job: structs.JobID(host)}, Team: "c", Size: cpu(5000), Idempotent: true, LostWork: lost}}}
	}
	preemptor := Task{Team: "b", Urgent: true, Size: cpu(4000), Since: start}
	p, ok := Preempt(state, preemptor, []Worker{running("w1", time.Hour), running("w2", time.Minute), running("w3", time.Hour)})
	if !ok || p.Host != "w2" || p.Cost != time.Minute+RestartCost {
		t.Errorf("got %+v %v", p, ok)
	}
}

// BenchmarkOrder orders 600 pending tasks of 180 teams.
func BenchmarkOrder(b *testing.B) {
	rnd := rand.New(rand.NewPCG(1, 1))
	state := State{Capacity: cpu(1_600_000), Shares: map[structs.TeamName]Share{}, Usage: map[structs.TeamName]structs.Resources{}, Now: start}
	var tasks []Task
	for i := range 600 {
		team := structs.TeamName(fmt.Sprint("team", i%180))
		state.Shares[team] = Share{Guarantee: cpu(rnd.Int64N(20_000)), Urgent: true}
		state.Usage[team] = cpu(rnd.Int64N(20_000))
		tasks = append(tasks, Task{Team: team, Size: cpu(1000), Urgent: i%10 == 0, Since: start.Add(-time.Duration(rnd.IntN(1200)) * time.Second)})
	}
	b.ReportAllocs()
	for b.Loop() {
		Order(state, tasks)
	}
}
