package dispatch

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
	"fulmarcourse.example/fulmarcourse/pkg/pause"
	"fulmarcourse.example/fulmarcourse/pkg/relay"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
	"fulmarcourse.example/fulmarcourse/pkg/term"
	"fulmarcourse.example/fulmarcourse/test/poll"
)

const testWorker = schedule.WorkerID("w")

// fakeRelay simulates a relay with a single worker on which every task completes immediately. It implements
// RelayClient, Relays and Directory.
type fakeRelay struct {
	mu             sync.Mutex // guards the fields below
	assigned       int        // number of reset updates that listed the worker
	dropped        bool       // the relay has dropped its assignments
	started        []workload.TaskID
	ended          []schedule.Ended
	stored         int64 // newest end that the owner has reported as stored
	outcomes       []relay.OrderOutcome
	clockOffset    time.Duration // offset of the relay's boot clock from this host's
	permittedUntil time.Duration // latest time on the relay's clock up to which leases may be extended
}

func (r *fakeRelay) Update(_ context.Context, u relay.Update) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if u.Reset && len(u.Assign) == 1 {
		r.assigned++
		r.dropped = false
	}
	r.permit(u.LeaseUntil)
	for _, stored := range u.Stored {
		r.stored = max(r.stored, stored.Number)
	}
	for _, order := range u.Orders {
		r.outcomes = append(r.outcomes, relay.OrderOutcome{Order: order})
		if order.Kind == schedule.OrderStart {
			r.started = append(r.started, order.Task)
			r.ended = append(r.ended, schedule.Ended{
				Number: int64(len(r.ended) + 1), Task: order.Task, Attempt: order.Attempt, Kind: schedule.EndDone,
			})
		}
	}
	return nil
}

// permit records a lease permission like a relay, which ignores it while it has no assignments. r.mu is held.
func (r *fakeRelay) permit(until time.Duration) {
	if r.assigned > 0 && !r.dropped {
		r.permittedUntil = max(r.permittedUntil, until)
	}
}

func (r *fakeRelay) Collect(ctx context.Context, _ int, _ int64, until, _ time.Duration) (relay.Results, error) {
	r.mu.Lock()
	r.permit(until)
	r.mu.Unlock()
	select {
	case <-ctx.Done():
		return relay.Results{}, ctx.Err()
	case <-time.After(5 * time.Millisecond):
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.assigned == 0 || r.dropped {
		return relay.Results{}, relay.ErrNoAssignment
	}
	now := bootclock.Uptime() + r.clockOffset
	results := relay.Results{Now: now, Outcomes: r.outcomes}
	r.outcomes = nil
	report := schedule.Report{Incarnation: 1, SentAt: now, Ended: slices.Clone(r.ended[r.stored:])}
	results.Reports = []relay.WorkerReport{{Worker: testWorker, Report: report}}
	return results, nil
}

func (r *fakeRelay) RelayHosts() []RelayHost {
	return []RelayHost{{Name: "host", Datacentre: "dc", Cores: 1, Local: true, Client: r}}
}

// Follow finds the list of workers to be current every listInterval. Without that nothing starts any more once its capacity
// may be outdated.
func (r *fakeRelay) Follow(ctx context.Context, update func([]schedule.WorkerInfo)) {
	const listInterval = time.Second
	for ctx.Err() == nil {
		update([]schedule.WorkerInfo{{
			ID: testWorker, Address: "w", Datacentre: "dc", Pool: "pool",
			Capacity: structs.Resources{MilliCPU: 16000, MemoryBytes: 64 << 30},
		}})
		pause.For(ctx, listInterval)
	}
}

// counts returns the number of started tasks, the newest end reported as stored, and how often the worker was assigned.
func (r *fakeRelay) counts() (started int, stored int64, assigned int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.started), r.stored, r.assigned
}

// allDone reports whether all tasks of a job of twoStepJob have ended.
func (r *fakeRelay) allDone() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.ended) == 4
}

// dropAssignments makes the relay drop its workers, as after a pause of its process.
func (r *fakeRelay) dropAssignments() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropped = true
}

// reboot simulates a reboot of the relay's host, after which its boot clock is behind by the given duration.
func (r *fakeRelay) reboot(behind time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropped, r.clockOffset, r.permittedUntil = true, -behind, 0
}

// excessPermission returns by how much the permitted time exceeds the maximum of a single permission.
func (r *fakeRelay) excessPermission() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.permittedUntil - (bootclock.Uptime() + r.clockOffset + leaseGrantWindow)
}

// startOwner runs an owner of term 1 until the test ends.
func startOwner(t *testing.T, store *kvtest.Store, r *fakeRelay) *Owner {
	t.Helper()
	log := eventlog.Discard()
	view := term.NewView(log)
	view.Reset(nil)
	candidate := term.NewCandidate(term.Config{
		Store: store, Self: term.Record{Host: "host", Incarnation: "1", Address: "host:1"}, Cores: 1, Log: log,
	}, view)
	ownership, err := candidate.Acquire(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	o := NewOwner(Config{
		Host: "host", Store: store, Relays: r, Directory: r, TaskLease: 6 * time.Second,
		StopTime: 400 * time.Millisecond, EndedJobRetention: time.Hour, Log: log, Scope: tally.NoopScope,
	}, ownership)
	poll.Background(t, o.Run)
	poll.Until(t, "the worker is assigned", func() bool { _, _, n := r.counts(); return n > 0 })
	return o
}

func twoStepJob(id workload.JobID) workload.Job {
	step := workload.Step{Tasks: 2, Size: structs.Resources{MilliCPU: 1000}, EstimateMs: 100}
	after := step
	after.After = []int{0}
	queue := workload.Queue{Name: "queue", Pool: "pool", MaxFailures: 3, Stretch: 2, TargetMs: 1000}
	return workload.Job{ID: id, Queue: queue, Steps: []workload.Step{step, after}}
}

func state(o *Owner, id workload.JobID) workload.State {
	s, _ := o.JobState(id)
	return s
}

// Guards against acknowledging a task end to the worker, or reporting a job as completed, before the progress that
// includes it is stored: a later owner would start the tasks again. Later steps may start before that.
func TestNothingIsAcknowledgedBeforeItIsStored(t *testing.T) {
	store, r := kvtest.NewStore(), &fakeRelay{}
	o := startOwner(t, store, r)
	poll.Until(t, "the known workers are stored", func() bool {
		_, found, _ := store.Get(t.Context(), statekeys.KnownWorkers(0, 0))
		return found
	})
	var refused atomic.Int64
	store.SetFault(func(call string) kvtest.Fault {
		if call == "Commit" {
			refused.Add(1)
			return kvtest.Refuse
		}
		return kvtest.None
	})
	o.Announce(twoStepJob("job"))
	poll.Until(t, "all tasks are started", func() bool { n, _, _ := r.counts(); return n == 4 })
	before := refused.Load()
	poll.Until(t, "the store has refused the progress again", func() bool { return refused.Load() >= before+2 })
	if _, stored, _ := r.counts(); stored != 0 || state(o, "job").Final() {
		t.Errorf("with unstored progress, end %d is acknowledged and the job is %s", stored, state(o, "job"))
	}
	store.SetFault(func(string) kvtest.Fault { return kvtest.None })
	poll.Until(t, "the job is completed", func() bool { return state(o, "job") == workload.StateCompleted })
	poll.Until(t, "all ends are acknowledged", func() bool { _, stored, _ := r.counts(); return stored == 4 })
	item, _, err := store.Get(t.Context(), statekeys.Progress(0, "job"))
	var progress workload.Progress
	if err != nil || json.Unmarshal(item.Value, &progress) != nil || progress.State != workload.StateCompleted {
		t.Errorf("stored progress %s, error %v", item.Value, err)
	}
}

// Guards against progress that is never stored after responses to its writes were lost: the next write conflicts with a
// revision that the owner has not recorded.
func TestProgressIsStoredAfterLostAnswers(t *testing.T) {
	store, r := kvtest.NewStore(), &fakeRelay{}
	o := startOwner(t, store, r)
	lost := 0
	store.SetFault(func(call string) kvtest.Fault {
		if call == "Commit" && lost < 5 {
			lost++
			return kvtest.LoseResponse
		}
		return kvtest.None
	})
	o.Announce(twoStepJob("job"))
	poll.Until(t, "the job is completed", func() bool { return state(o, "job") == workload.StateCompleted })
	if n, _, _ := r.counts(); n != 4 {
		t.Errorf("%d task starts, want 4", n)
	}
}

// Guards against workers that are no longer polled: their relay was paused, has dropped its assignments and still
// answers calls.
func TestRelayThatDroppedItsWorkersIsReassigned(t *testing.T) {
	store, r := kvtest.NewStore(), &fakeRelay{}
	o := startOwner(t, store, r)
	r.dropAssignments()
	poll.Until(t, "the worker is assigned again", func() bool { _, _, n := r.counts(); return n >= 2 })
	o.Announce(twoStepJob("job"))
	poll.Until(t, "the job is completed", func() bool { return state(o, "job") == workload.StateCompleted })
}

// Guards against leases that are extended too far after a reboot of the relay's host: the owner still has a reading of
// the relay's previous boot clock, which may be ahead of the new one by the whole uptime of the previous boot.
func TestRebootedRelayIsPermittedNothingByItsFormerClock(t *testing.T) {
	r := &fakeRelay{}
	o := startOwner(t, kvtest.NewStore(), r)
	poll.Until(t, "the relay's clock has been read", func() bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		return o.links["host"].relayClockReadAt > 0
	})
	r.reboot(bootclock.Uptime() / 2)
	poll.Until(t, "the worker is assigned again", func() bool { _, _, n := r.counts(); return n >= 2 })
	o.Announce(twoStepJob("job"))
	poll.Until(t, "the job is completed", func() bool { return state(o, "job") == workload.StateCompleted })
	if excess := r.excessPermission(); excess > 0 {
		t.Errorf("permitted lease extension exceeds the limit by %v", excess)
	}
}

// Guards against a cancellation that is lost because its announcement overtakes the announcement of its job.
func TestCancellationAnnouncedBeforeItsJob(t *testing.T) {
	r := &fakeRelay{}
	o := startOwner(t, kvtest.NewStore(), r)
	o.Cancel("job")
	o.Announce(twoStepJob("job"))
	if got := state(o, "job"); got != workload.StateCancelled {
		t.Errorf("job is %q, want %q", got, workload.StateCancelled)
	}
	if n, _, _ := r.counts(); n != 0 {
		t.Errorf("%d task starts, want 0", n)
	}
}

// Guards against two final states of one job: its cancellation is stored, but the owner has not learned of it when the
// last task ends. Another entry host shows the stored cancellation, so the owner must not complete the job.
func TestStoredCancellationPrecedesCompletion(t *testing.T) {
	store, r := kvtest.NewStore(), &fakeRelay{}
	o := startOwner(t, store, r)
	store.SetFault(func(call string) kvtest.Fault {
		if call == "Watch" || call == "Range" {
			return kvtest.LoseRequest
		}
		return kvtest.None
	})
	put := kv.Txn{Put: []kv.Put{{Key: statekeys.Cancel(0, "job"), Value: []byte("{}")}}}
	if _, err := store.Commit(t.Context(), put); err != nil {
		t.Fatal(err)
	}
	o.Announce(twoStepJob("job"))
	poll.Until(t, "the job has a final state", func() bool { return state(o, "job").Final() })
	if got := state(o, "job"); got != workload.StateCancelled {
		t.Errorf("job is %q, want %q", got, workload.StateCancelled)
	}
	poll.Until(t, "the final state is stored", func() bool { return storedState(t, store, "job").Final() })
	if got := storedState(t, store, "job"); got != workload.StateCancelled {
		t.Errorf("job is stored as %q, want %q", got, workload.StateCancelled)
	}
}

// Guards against a completed job that turns cancelled: the response to the write of its completion was lost, and the
// cancellation was stored after that write.
func TestCompletionStoredBeforeTheCancellationStays(t *testing.T) {
	store, r := kvtest.NewStore(), &fakeRelay{}
	o := startOwner(t, store, r)
	lost := false
	store.SetFault(func(call string) kvtest.Fault {
		switch {
		case call == "Watch" || call == "Range":
			return kvtest.LoseRequest
		case call == "Commit" && !lost && r.allDone():
			lost = true
			return kvtest.LoseResponse
		}
		return kvtest.None
	})
	o.Announce(twoStepJob("job"))
	poll.Until(t, "the completion is stored", func() bool { return storedState(t, store, "job").Final() })
	put := kv.Txn{Put: []kv.Put{{Key: statekeys.Cancel(0, "job"), Value: []byte("{}")}}}
	if _, err := store.Commit(t.Context(), put); err != nil {
		t.Fatal(err)
	}
	poll.Until(t, "the job has a final state", func() bool { return state(o, "job").Final() })
	if got := state(o, "job"); got != workload.StateCompleted {
		t.Errorf("job is %q, want %q", got, workload.StateCompleted)
	}
}

// storedState returns the state in the stored progress of a job, or an empty string if there is none.
func storedState(t *testing.T, store *kvtest.Store, id workload.JobID) workload.State {
	t.Helper()
	item, found, err := store.Get(t.Context(), statekeys.Progress(0, id))
	if err != nil {
		t.Fatal(err)
	}
	if !found {
		return ""
	}
	var progress workload.Progress
	if err := json.Unmarshal(item.Value, &progress); err != nil {
		t.Fatal(err)
	}
	return progress.State
}
