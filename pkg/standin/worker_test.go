package standin_test

import (
	"fmt"
	"math"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/standin"
	"fulmarcourse.example/fulmarcourse/pkg/worker"
)

var shard = structs.ShardID{Datacentre: "dc"}

// fixture is a worker with a manual clock and a client of it.
type fixture struct {
	t       *testing.T
	clock   *standin.ManualClock
	worker  *standin.Worker
	history *standin.History
	client  *worker.Client
	addr    string
}

func newFixture(t *testing.T, cfg standin.WorkerConfig) *fixture {
	t.Helper()
	r := &fixture{t: t, clock: standin.NewManualClock(), client: worker.NewClient(worker.Config{})}
	r.history = standin.NewHistory(r.clock.Now)
	cfg.ID, cfg.Clock, cfg.History = "w", r.clock.Now, r.history
	if cfg.Capacity == (structs.Resources{}) {
		cfg.Capacity = structs.Resources{MilliCPU: 2000, MemoryBytes: 1 << 30}
	}
	r.worker = standin.NewWorker(cfg)
	server := httptest.NewServer(r.worker)
	t.Cleanup(server.Close)
	r.addr = server.Listener.Addr().String()
	return r
}

func command(job string, seconds float64) structs.StartCommand {
	return structs.StartCommand{
		Task: structs.TaskID{Job: structs.JobID(job)}, Attempt: 1, Kind: structs.KindName(job), Shard: shard, Epoch: 1,
		Reserved: structs.Resources{MilliCPU: 1000}, Lease: time.Hour, RunSeconds: seconds,
	}
}

func refOf(cmd structs.StartCommand) worker.AttemptRef {
	return worker.AttemptRef{Task: cmd.Task, Attempt: cmd.Attempt, Shard: cmd.Shard, Epoch: cmd.Epoch}
}

func (r *fixture) start(cmd structs.StartCommand) {
	r.t.Helper()
	if err := r.client.Start(r.t.Context(), r.addr, cmd); err != nil {
		r.t.Fatal(err)
	}
}

// inventory reads the tasks by job without renewing leases.
func (r *fixture) inventory() map[structs.JobID]structs.WorkerTask {
	r.t.Helper()
	inventory, err := r.client.Renew(r.t.Context(), r.addr, worker.RenewRequest{Shard: shard, Epoch: 1})
	if err != nil {
		r.t.Fatal(err)
	}
	tasks := map[structs.JobID]structs.WorkerTask{}
	for _, task := range inventory.Tasks {
		tasks[task.Task.Job] = task
	}
	return tasks
}

// eventAt returns the time of the first event of a type for a job, or -1.
func (r *fixture) eventAt(event standin.EventType, job structs.JobID) time.Duration {
	for _, e := range r.history.OfType(event) {
		if e.Task.Job == job {
			return e.At
		}
	}
	return -1
}

// Guards against tasks that continue without a lease, and against leases that end early or despite a renewal.
func TestLeaseExpiryStopsTheTask(t *testing.T) {
	r := newFixture(t, standin.WorkerConfig{})
	kept, lost := command("kept", 100), command("lost", 100)
	kept.Lease, lost.Lease = 15*time.Second, 15*time.Second
	lost.Shard.Index = 7
	r.start(kept)
	r.start(lost)
	r.clock.Advance(10 * time.Second)
	if _, err := r.client.Renew(t.Context(), r.addr, worker.RenewRequest{Shard: shard, Epoch: 1, Lease: 15 * time.Second}); err != nil {
		t.Fatal(err)
	}
	r.clock.Advance(10 * time.Second)
	tasks := r.inventory()
	if tasks["kept"].State != structs.WorkerTaskRunning || tasks["lost"].State != structs.WorkerTaskExpired {
		t.Errorf("tasks %+v", tasks)
	}
	if at := r.eventAt(standin.TaskExpired, "lost"); at != 15*time.Second {
		t.Errorf("lease of another shard's task ended at %v, want 15s", at)
	}
	r.clock.Advance(time.Hour)
	r.worker.Advance()
	if at := r.eventAt(standin.TaskExpired, "kept"); at != 25*time.Second {
		t.Errorf("renewed lease ended at %v, want 25s", at)
	}
}

// Guards against finished tasks that are dropped before their owner has acknowledged them, and against an
// acknowledgement that removes a running task.
func TestFinishedTasksAreReportedUntilAcknowledged(t *testing.T) {
	r := newFixture(t, standin.WorkerConfig{})
	short, long := command("short", 1), command("long", 100)
	r.start(short)
	r.start(long)
	r.clock.Advance(2 * time.Second)
	for range 2 {
		if task := r.inventory()["short"]; task.State != structs.WorkerTaskDone || task.RanFor != time.Second {
			t.Errorf("finished task %+v", task)
		}
	}
	_, err := r.client.Renew(t.Context(), r.addr, worker.RenewRequest{Shard: shard, Epoch: 1, Acknowledge: []worker.AttemptRef{refOf(short), refOf(long)}})
	tasks := r.inventory()
	if _, reported := tasks["short"]; reported || tasks["long"].State != structs.WorkerTaskRunning || err != nil {
		t.Errorf("tasks after the acknowledgement %+v, error %v", tasks, err)
	}
	r.start(short) // a repeated start that arrives late
	r.clock.Advance(2 * time.Second)
	if _, reported := r.inventory()["short"]; reported {
		t.Error("an acknowledged attempt ran again")
	}
}

// Guards against a resumed task that loses or repeats work, and against an unknown checkpoint that makes a
// task start from the beginning.
func TestResumeFromCheckpoint(t *testing.T) {
	r := newFixture(t, standin.WorkerConfig{})
	first := command("job", 10)
	r.start(first)
	r.clock.Advance(4 * time.Second)
	checkpoint, err := r.client.Checkpoint(t.Context(), r.addr, refOf(first))
	if err != nil {
		t.Fatal(err)
	}
	r.clock.Advance(time.Second) // this second of work is lost
	if err := r.client.Stop(t.Context(), r.addr, refOf(first)); err != nil {
		t.Fatal(err)
	}
	second := first
	second.Attempt, second.Checkpoint = 2, checkpoint
	r.start(second)
	r.clock.Advance(time.Minute)
	r.worker.Advance()
	if at := r.eventAt(standin.TaskFinished, "job"); (at - 11*time.Second).Abs() > time.Microsecond {
		t.Errorf("resumed task finished at %v, want 11s", at)
	}
	third := first
	third.Attempt, third.Checkpoint = 3, "other"
	if err := r.client.Start(t.Context(), r.addr, third); !errors.Is(err, worker.ErrRefused) {
		t.Errorf("unknown checkpoint: got %v, want ErrRefused", err)
	}
}

// Guards against a start that arrives after the stop of the same attempt and runs although its owner
// regards it as stopped.
func TestStopBeforeStartPreventsIt(t *testing.T) {
	r := newFixture(t, standin.WorkerConfig{})
	cmd := command("job", 10)
	if err := r.client.Stop(t.Context(), r.addr, refOf(cmd)); err != nil {
		t.Fatal(err)
	}
	if err := r.client.Start(t.Context(), r.addr, cmd); !errors.Is(err, worker.ErrRefused) {
		t.Errorf("start after stop: got %v, want ErrRefused", err)
	}
	if at := r.eventAt(standin.TaskStarted, "job"); at != -1 {
		t.Errorf("attempt started at %v", at)
	}
}

// Guards against commands that the worker must refuse: capacity, leases, shares and attempts that do not run.
func TestRefusals(t *testing.T) {
	rejectCheckpoints := func(cmd structs.StartCommand) standin.TaskBehaviour {
		b := standin.DeclaredBehaviour(cmd)
		b.NoCheckpoints = true
		return b
	}
	r := newFixture(t, standin.WorkerConfig{Capacity: structs.Resources{MilliCPU: 1500, MemoryBytes: 100}, Behaviour: rejectCheckpoints})
	running, second, leaseless := command("running", 10), command("second", 10), command("leaseless", 10)
	memory, absent := command("memory", 10), refOf(command("absent", 10))
	memory.Reserved = structs.Resources{MemoryBytes: 101}
	leaseless.Lease, leaseless.Reserved = 0, structs.Resources{}
	r.start(running)
	_, noCheckpoint := r.client.Checkpoint(t.Context(), r.addr, refOf(running))
	for name, err := range map[string]error{
		"processors":       r.client.Start(t.Context(), r.addr, second),
		"memory":           r.client.Start(t.Context(), r.addr, memory),
		"no lease":         r.client.Start(t.Context(), r.addr, leaseless),
		"no checkpoints":   noCheckpoint,
		"share of 0":       r.client.Throttle(t.Context(), r.addr, refOf(running), 0),
		"share above 1":    r.client.Throttle(t.Context(), r.addr, refOf(running), 1.1),
		"throttle unknown": r.client.Throttle(t.Context(), r.addr, absent, 1),
	} {
		if !errors.Is(err, worker.ErrRefused) {
			t.Errorf("%s: got %v, want ErrRefused", name, err)
		}
	}
	r.clock.Advance(10 * time.Second)
	r.start(second) // the finished task has freed its capacity before it is acknowledged
}

// Guards against a failing worker that does not report its tasks as failed, or that keeps failing after its repair.
func TestFailingWorker(t *testing.T) {
	r := newFixture(t, standin.WorkerConfig{})
	r.worker.SetFailing(true)
	r.start(command("broken", 10))
	if task := r.inventory()["broken"]; task.State != structs.WorkerTaskFailed || task.Reason == "" {
		t.Errorf("task on a failing worker %+v", task)
	}
	r.worker.SetFailing(false)
	r.start(command("healthy", 10))
	if task := r.inventory()["healthy"]; task.State != structs.WorkerTaskRunning {
		t.Errorf("task after the repair %+v", task)
	}
}

// Guards against a slowdown that ignores the pair of kinds, the load, the throttle or the end of a neighbour.
// Two tasks fill the host and slow each other to 1/1.5 of full speed, so 10 s of work take 15 s. The longer one
// has then done 10 of its 30 s and takes 20 s more alone.
func TestPairwiseSlowdown(t *testing.T) {
	both := standin.Interference{{Slowed: "a", By: "b"}: 0.5, {Slowed: "b", By: "a"}: 0.5}
	cases := []struct {
		name         string
		interference standin.Interference
		capacity     int64
		throttleB    float64
		finishA      time.Duration
		finishB      time.Duration
	}{
		{"no interference", nil, 2000, 1, 10 * time.Second, 30 * time.Second},
		{"full host", both, 2000, 1, 15 * time.Second, 35 * time.Second},
		{"half-loaded host", both, 4000, 1, 12500 * time.Millisecond, 32500 * time.Millisecond},
		{"only one kind is slowed", standin.Interference{{Slowed: "a", By: "b"}: 0.5}, 2000, 1, 15 * time.Second, 30 * time.Second},
		// a runs at 1/(1+0.75*0.25), so it takes 11.875 s.
		{"throttled neighbour", standin.Interference{{Slowed: "a", By: "b"}: 0.5}, 2000, 0.5, 11875 * time.Millisecond, 60 * time.Second},
	}
	for _, tc := range cases {
		r := newFixture(t, standin.WorkerConfig{Capacity: structs.Resources{MilliCPU: tc.capacity}, Interference: tc.interference})
		r.start(command("a", 10))
		r.start(command("b", 30))
		if err := r.client.Throttle(t.Context(), r.addr, refOf(command("b", 30)), tc.throttleB); err != nil {
			t.Fatal(err)
		}
		r.clock.Advance(2 * time.Minute)
		r.worker.Advance()
		a, b := r.eventAt(standin.TaskFinished, "a"), r.eventAt(standin.TaskFinished, "b")
		if (a-tc.finishA).Abs() > time.Microsecond || (b-tc.finishB).Abs() > time.Microsecond {
			t.Errorf("%s: finished at %v and %v, want %v and %v", tc.name, a, b, tc.finishA, tc.finishB)
		}
	}
}

// Guards against usage that is reported before the configured lag, which tests of late measurements rely on, or never.
func TestUsageIsReportedLate(t *testing.T) {
	const lag = 3 * time.Second
	r := newFixture(t, standin.WorkerConfig{UsageLag: lag})
	r.start(command("job", 100))
	seen := 0
	for second := range 20 {
		task := r.inventory()["job"]
		if task.Usage != (structs.Resources{}) {
			seen++
			measured := time.Duration(second)*time.Second - task.UsageAge
			if task.UsageAge < lag || task.UsageAge > 2*lag || math.Abs(task.Progress-measured.Seconds()/100) > 1e-9 {
				t.Errorf("after %d s: %+v", second, task)
			}
		}
		r.clock.Advance(time.Second)
	}
	if seen < 10 {
		t.Errorf("usage was reported %d times in 20 s", seen)
	}
}

// Guards against commands that were delayed in the buffers of a frozen worker: a late renewal must not extend a lease
// that its owner regards as expired, and a late start must not run.
func TestLateCommandsGrantNoLease(t *testing.T) {
	r := newFixture(t, standin.WorkerConfig{})
	inventory, err := r.client.Renew(t.Context(), r.addr, worker.RenewRequest{Shard: shard, Epoch: 1})
	if err != nil {
		t.Fatal(err)
	}
	running, late := command("running", 100), command("late", 100)
	running.Lease, late.Lease = 15*time.Second, 15*time.Second
	running.LeaseFrom, late.LeaseFrom = inventory.Clock, inventory.Clock
	r.start(running)
	r.clock.Advance(20 * time.Second)
	renewal := worker.RenewRequest{Shard: shard, Epoch: 1, Lease: 15 * time.Second, LeaseFrom: inventory.Clock}
	if _, err := r.client.Renew(t.Context(), r.addr, renewal); err != nil {
		t.Fatal(err)
	}
	if state := r.inventory()["running"].State; state != structs.WorkerTaskExpired {
		t.Errorf("the late renewal kept the task %s", state)
	}
	if err := r.client.Start(t.Context(), r.addr, late); !errors.Is(err, worker.ErrRefused) {
		t.Errorf("late start: %v", err)
	}
}

// Guards against results that depend on how often the worker is advanced, which would make tests that use it
// depend on timing.
func TestAdvanceDoesNotDependOnItsFrequency(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		interference := standin.Interference{
			{Slowed: "0", By: "1"}: rapid.Float64Range(0, 2).Draw(rt, "0 by 1"),
			{Slowed: "1", By: "0"}: rapid.Float64Range(0, 2).Draw(rt, "1 by 0"),
		}
		commands := make([]structs.StartCommand, rapid.IntRange(1, 6).Draw(rt, "tasks"))
		for i := range commands {
			commands[i] = command(fmt.Sprint(i%2), float64(rapid.IntRange(1, 30).Draw(rt, "seconds")))
			commands[i].Task.Index = i
			commands[i].Reserved.MilliCPU = 100
			commands[i].Lease = time.Duration(rapid.IntRange(5, 60).Draw(rt, "lease"))*time.Second + 500*time.Millisecond
		}
		steps := rapid.SliceOfN(rapid.IntRange(1, 9000), 1, 40).Draw(rt, "steps in ms")
		total := 0
		for _, step := range steps {
			total += step
		}
		often, once := endTimes(t, interference, commands, steps), endTimes(t, interference, commands, []int{total})
		for key, at := range once {
			if other, ok := often[key]; !ok || (at-other).Abs() > time.Microsecond {
				rt.Errorf("%s ended at %v when advanced once, at %v (%t) when advanced in steps", key, at, other, ok)
			}
		}
		if len(often) != len(once) {
			rt.Errorf("%d ends in steps, %d at once", len(often), len(once))
		}
	})
}

// endTimes runs the commands, advances the clock by the steps in milliseconds and returns the times at which the tasks
// ended, by task and type of the end event.
func endTimes(t *testing.T, interference standin.Interference, commands []structs.StartCommand, steps []int) map[string]time.Duration {
	r := newFixture(t, standin.WorkerConfig{Interference: interference})
	for _, cmd := range commands {
		r.start(cmd)
	}
	for _, step := range steps {
		r.clock.Advance(time.Duration(step) * time.Millisecond)
		r.worker.Advance()
	}
	found := map[string]time.Duration{}
	for _, e := range r.history.Events() {
		if e.Type != standin.TaskStarted {
			found[fmt.Sprint(e.Task, " ", e.Type)] = e.At
		}
	}
	return found
}

// Guards against draws that depend on the order of starts, which differs from run to run, and against shares
// that are far from those configured.
func TestBehaviourByKind(t *testing.T) {
	kinds := map[structs.KindName]standin.KindBehaviour{"job": {RunTime: time.Minute, RunTimeLogStdDev: 0.5, UsageFactor: 1.5, FailureShare: 0.25}}
	first, second := standin.BehaviourByKind(7, kinds), standin.BehaviourByKind(7, kinds)
	failed, longer := 0, 0
	const draws = 2000
	for i := range draws {
		cmd := command("job", 1)
		cmd.Task.Index = i
		b := first(cmd)
		cmd.Task.Index = draws - 1 - i
		second(cmd)
		cmd.Task.Index = i
		if b != second(cmd) || b.Usage.MilliCPU != 1500 {
			t.Fatalf("task %d: %+v and %+v", i, b, second(cmd))
		}
		if b.Fails {
			failed++
		}
		if b.RunTime > time.Minute {
			longer++
		}
	}
	if math.Abs(float64(failed)/draws-0.25) > 0.05 || math.Abs(float64(longer)/draws-0.5) > 0.05 {
		t.Errorf("%d of %d failed, %d ran longer than the median", failed, draws, longer)
	}
}
