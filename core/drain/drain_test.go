package drain

import (
	"flag"
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

func drawTasks(t *rapid.T) []Task {
	var tasks []Task
	for i := range rapid.IntRange(0, 40).Draw(t, "tasks") {
		tasks = append(tasks, Task{
			ID: structs.TaskID{Job: "j", Index: i}, Checkpointable: rapid.Bool().Draw(t, "checkpoint"), Idempotent: rapid.Bool().Draw(t, "idempotent"),
			LostWork:        time.Duration(rapid.IntRange(0, 900).Draw(t, "lost")) * time.Second,
			Remaining:       time.Duration(rapid.IntRange(0, 1800).Draw(t, "remaining")) * time.Second,
			CheckpointBytes: rapid.Int64Range(0, 500e6).Draw(t, "bytes"), Stopping: rapid.IntRange(0, 9).Draw(t, "stopping") == 0,
		})
	}
	return tasks
}

// Guards against tasks that are missing from a step or stopped twice, stops of tasks that can be neither resumed nor
// repeated, and budgets that are exceeded.
func TestStepKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tasks := drawTasks(t)
		limits := Limits{Duration: 10 * time.Minute, BytesPerSecond: 10e6, WritesPerSecond: rapid.Float64Range(0.5, 30).Draw(t, "writes")}
		d, now := NewDrainer(limits, start), start
		stopped := map[structs.TaskID]bool{}
		sent, largest, writes := 0.0, 0.0, 0
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			step := d.Step(now, tasks)
			seen := slices.Concat(step.Stop, step.Finish, step.Waiting, step.Overdue)
			slices.SortFunc(seen, compareID)
			if len(slices.Compact(seen)) != len(step.Stop)+len(step.Finish)+len(step.Waiting)+len(step.Overdue) {
				t.Fatal("a task is in the step twice")
			}
			for i := range tasks {
				task := &tasks[i]
				if slices.Contains(seen, task.ID) == task.Stopping {
					t.Fatalf("task %+v: in the step %v", task, !task.Stopping)
				}
				if slices.Contains(step.Stop, task.ID) {
					if !task.stoppable() || stopped[task.ID] {
						t.Fatalf("task %+v is to be stopped", task)
					}
					stopped[task.ID], task.Stopping = true, true
					writes++
					if task.Checkpointable {
						sent += float64(task.CheckpointBytes)
						largest = max(largest, float64(task.CheckpointBytes))
					}
				}
			}
			elapsed := now.Sub(start).Seconds()
			if sent > limits.BytesPerSecond*(elapsed+LinkBurst)+largest+1 || float64(writes) > limits.WritesPerSecond*elapsed+max(1, limits.WritesPerSecond)+1 {
				t.Fatalf("%.0f bytes and %d writes after %.0f s", sent, writes, elapsed)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "gap")) * time.Second)
		}
	})
}

// Guards against a wrong order of stops, and against stopping tasks that would finish before their turn.
func TestOrderOfStops(t *testing.T) {
	s := time.Second
	task := func(i int, checkpoint bool, lost, remaining time.Duration, bytes int64) Task {
		return Task{ID: structs.TaskID{Index: i}, Checkpointable: checkpoint, Idempotent: true, LostWork: lost, Remaining: remaining, CheckpointBytes: bytes}
	}
	tasks := []Task{
		task(0, false, 60*s, 3600*s, 0), // restarts from the beginning elsewhere: last
		task(1, true, 100*s, 3600*s, 1e6),
		task(2, true, 5*s, 600*s, 1e6),
		task(3, true, 5*s, 3600*s, 1e6), // loses as little, but runs longer
		task(4, true, 5*s, 0, 1e6),      // unknown: as if it ran longest
		task(5, true, 0, 10*s, 1e6),     // finishes sooner than it could be moved
		task(6, false, 60*s, 300*s, 0),  // finishes within the limit
		{ID: structs.TaskID{Index: 7}, Remaining: 3600 * s},
	}
	index := func(ids []structs.TaskID) []int {
		var result []int
		for _, id := range ids {
			result = append(result, id.Index)
		}
		return result
	}
	step := NewDrainer(DefaultLimits(), start).Step(start, tasks)
	if got, want := index(step.Stop), []int{4, 3, 2, 1, 0}; !slices.Equal(got, want) {
		t.Errorf("stopped %v, want %v", got, want)
	}
	finish := index(step.Finish)
	slices.Sort(finish)
	if want := []int{5, 6, 7}; !slices.Equal(finish, want) {
		t.Errorf("left to finish %v, want %v", finish, want)
	}
	late := NewDrainer(DefaultLimits(), start).Step(start.Add(DrainLimit), tasks)
	if got := index(late.Overdue); !slices.Equal(got, []int{7}) || len(late.Finish) != 0 {
		t.Errorf("after the limit: overdue %v, left to finish %v", got, late.Finish)
	}
	moves := NewDrainer(Limits{WritesPerSecond: 2}, start).JobsToMove(start, []Job{{ID: "few", Pending: 1}, {ID: "many", Pending: 9}, {ID: "urgent", Urgent: true, Pending: 1}, {ID: "runs", Running: 1, Pending: 99}, {ID: "done"}})
	if want := []structs.JobID{"urgent", "many"}; !slices.Equal(moves, want) {
		t.Errorf("moved %v, want %v", moves, want)
	}
}

// outcome is the cost of a simulated drain.
type outcome struct {
	lost, done float64 // seconds of work
	peak       float64 // checkpoint bytes in the busiest second
}

// simulate drains tasks with one step per second until the limit.
func simulate(tasks []Task, next func(now time.Time, tasks []Task) Step) outcome {
	var result outcome
	for second := range int(DrainLimit.Seconds()) {
		step := next(start.Add(time.Duration(second)*time.Second), tasks)
		batch := 0.0
		for _, id := range step.Stop {
			i := slices.IndexFunc(tasks, func(t Task) bool { return t.ID == id })
			tasks[i].Stopping = true
			result.lost += tasks[i].LostWork.Seconds()
			if tasks[i].Checkpointable {
				batch += float64(tasks[i].CheckpointBytes)
			}
		}
		result.peak = max(result.peak, batch)
		for i := range tasks {
			if t := &tasks[i]; !t.Stopping && t.Remaining > 0 {
				if !t.Checkpointable {
					t.LostWork += time.Second
				}
				result.done++
				if t.Remaining -= time.Second; t.Remaining <= 0 {
					t.Stopping = true
				}
			}
		}
	}
	return result
}

// Guards against a drain that loses more work, or loads the link more, than stopping everything at once.
func TestDrainBeatsTheBaseline(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		draw := func() []Task {
			rnd := rand.New(rand.NewPCG(seed, 1))
			var tasks []Task
			for i := range 200 {
				task := Task{ID: structs.TaskID{Index: i}, Idempotent: true, Checkpointable: rnd.IntN(2) == 0, Remaining: time.Duration(1+rnd.IntN(1200)) * time.Second, CheckpointBytes: rnd.Int64N(400e6)}
				task.LostWork = time.Duration(rnd.IntN(60)) * time.Second
				if !task.Checkpointable {
					task.LostWork = time.Duration(rnd.IntN(1800)) * time.Second
				}
				tasks = append(tasks, task)
			}
			return tasks
		}
		naive := simulate(draw(), func(_ time.Time, tasks []Task) Step { return NaiveStep(tasks) })
		drainer := NewDrainer(DefaultLimits(), start)
		drained := simulate(draw(), drainer.Step)
		if drained.lost >= naive.lost || drained.done <= naive.done {
			t.Errorf("seed %d: lost %v s and done %v s, baseline %v s and %v s", seed, drained.lost, drained.done, naive.lost, naive.done)
		}
		if limit := LinkBytesPerSecond*LinkBurst + 400e6; drained.peak > limit || naive.peak < limit {
			t.Errorf("seed %d: peak %v bytes in a second, limit %v, baseline %v", seed, drained.peak, limit, naive.peak)
		}
	}
}

// Guards against a burst of task starts when a data centre returns to service, a ramp that never ends, and a ramp that
// keeps rising although starts fail.
func TestRamp(t *testing.T) {
	ramp, started := NewRamp(start), []int{}
	for second := range 60 {
		n := 0
		for tick := range 10 {
			for range 100 { // more starts than allowed are tried in every cycle
				if ramp.MayStart(start.Add(time.Duration(second)*time.Second + time.Duration(tick)*100*time.Millisecond)) {
					n++
				}
			}
		}
		started = append(started, n)
	}
	if 4*started[0] > FullStartsPerSecond || !slices.IsSorted([]int{started[0], started[20], started[40]}) {
		t.Errorf("starts per second %v", started)
	}
	if last := started[59]; float64(last) < 0.9*FullStartsPerSecond || float64(last) > 1.1*FullStartsPerSecond || !ramp.Done(start.Add(time.Minute)) {
		t.Errorf("%d starts/s after a minute", last)
	}
	ramp = NewRamp(start)
	now := start
	for range 120 {
		now = now.Add(time.Second)
		for range RampSampleSize {
			ramp.RecordStart(false, now)
		}
	}
	if share := ramp.Share(now); share > 2*RampInitialShare {
		t.Errorf("share %v although every start fails", share)
	}
}
