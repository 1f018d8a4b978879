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
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
	"fulmarcourse.example/fulmarcourse/pkg/relay"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
	"fulmarcourse.example/fulmarcourse/pkg/term"
	"fulmarcourse.example/fulmarcourse/test/poll"
)

const testWorker = schedule.WorkerID("w")

// oneWorker is a worker on which every task is done at once, and the relay that looks at it. It implements RelayClient,
// Relays and Directory.
type oneWorker struct {
	mu        sync.Mutex // guards the fields below
	assigned  int        // updates that listed the worker as one of all
	forgotten bool       // the relay has dropped its workers
	started   []workload.TaskID
	ended     []schedule.Ended
	stored    int64 // newest end that the relay may acknowledge
	outcomes  []relay.OrderOutcome
	clock     time.Duration // by which the relay's boot clock is ahead
	permitted time.Duration // latest time, on the relay's clock, up to which it was allowed to extend leases
}

func (w *oneWorker) Update(_ context.Context, u relay.Update) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if u.Reset && len(u.Assign) == 1 {
		w.assigned++
		w.forgotten = false
	}
	w.permit(u.LeaseUntil)
	for _, stored := range u.Stored {
		w.stored = max(w.stored, stored.Number)
	}
	for _, order := range u.Orders {
		w.outcomes = append(w.outcomes, relay.OrderOutcome{Order: order})
		if order.Kind == schedule.OrderStart {
			w.started = append(w.started, order.Task)
			w.ended = append(w.ended, schedule.Ended{
				Number: int64(len(w.ended) + 1), Task: order.Task, Attempt: order.Attempt, Kind: schedule.EndDone,
			})
		}
	}
	return nil
}

// permit notes a permission as a relay does: not before it knows its workers. w.mu is held.
func (w *oneWorker) permit(until time.Duration) {
	if w.assigned > 0 && !w.forgotten {
		w.permitted = max(w.permitted, until)
	}
}

func (w *oneWorker) Collect(ctx context.Context, _ int, _ int64, until, _ time.Duration) (relay.Results, error) {
	w.mu.Lock()
	w.permit(until)
	w.mu.Unlock()
	select {
	case <-ctx.Done():
		return relay.Results{}, ctx.Err()
	case <-time.After(5 * time.Millisecond):
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.assigned == 0 || w.forgotten {
		return relay.Results{}, relay.ErrNoAssignment
	}
	now := bootclock.Uptime() + w.clock
	results := relay.Results{Now: now, Outcomes: w.outcomes}
	w.outcomes = nil
	report := schedule.Report{Incarnation: 1, SentAt: now, Ended: slices.Clone(w.ended[w.stored:])}
	results.Reports = []relay.WorkerReport{{Worker: testWorker, Report: report}}
	return results, nil
}

func (w *oneWorker) RelayHosts() []RelayHost {
	return []RelayHost{{Name: "host", Datacentre: "dc", Cores: 1, Local: true, Client: w}}
}

func (w *oneWorker) Follow(ctx context.Context, update func([]schedule.WorkerInfo)) {
	update([]schedule.WorkerInfo{{
		ID: testWorker, Address: "w", Datacentre: "dc", Pool: "pool",
		Capacity: structs.Resources{MilliCPU: 16000, MemoryBytes: 64 << 30},
	}})
	<-ctx.Done()
}

// counts returns how many tasks were started and ends may be acknowledged, and how often the worker was assigned.
func (w *oneWorker) counts() (started int, stored int64, assigned int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.started), w.stored, w.assigned
}

func (w *oneWorker) forget() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.forgotten = true
}

// reboot lets the relay's host start anew with a boot clock that is so much behind the former one.
func (w *oneWorker) reboot(behind time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.forgotten, w.clock, w.permitted = true, -behind, 0
}

// excess returns by how much the relay may extend leases beyond what any owner permits at once.
func (w *oneWorker) excess() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.permitted - (bootclock.Uptime() + w.clock + permission)
}

// startOwner lets an owner of term 1 work until the test ends.
func startOwner(t *testing.T, store *kvtest.Store, w *oneWorker) *Owner {
	t.Helper()
	log := eventlog.Discard()
	view := term.NewView(log)
	view.Reset(nil)
	candidate := term.NewCandidate(term.Config{
		Store: store, Self: term.Record{Host: "host", Incarnation: "1", Address: "host:1"}, Cores: 1, Log: log,
	}, view)
	holding, err := candidate.Acquire(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	o := NewOwner(Config{
		Host: "host", Store: store, Relays: w, Directory: w, TaskLease: 6 * time.Second,
		StopTime: 400 * time.Millisecond, KeepEnded: time.Hour, Log: log, Scope: tally.NoopScope,
	}, holding)
	poll.Background(t, o.Run)
	poll.Until(t, "the worker is assigned", func() bool { _, _, n := w.counts(); return n > 0 })
	return o
}

func twoSteps(id workload.JobID) workload.Job {
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

// Guards against an end that a worker forgets, or a job that is shown as completed, before the store has the progress
// that rests on it: a later owner would start its tasks again. Later steps start meanwhile.
func TestNothingIsAcknowledgedBeforeItIsStored(t *testing.T) {
	store, w := kvtest.NewStore(), &oneWorker{}
	o := startOwner(t, store, w)
	poll.Until(t, "the roster is stored", func() bool {
		_, found, _ := store.Get(t.Context(), statekeys.Roster(0))
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
	o.Announce(twoSteps("job"))
	poll.Until(t, "all tasks are started", func() bool { n, _, _ := w.counts(); return n == 4 })
	tried := refused.Load()
	poll.Until(t, "the store has refused the progress again", func() bool { return refused.Load() >= tried+2 })
	if _, stored, _ := w.counts(); stored != 0 || state(o, "job").Final() {
		t.Errorf("end %d is acknowledged, the job is %s", stored, state(o, "job"))
	}
	store.SetFault(func(string) kvtest.Fault { return kvtest.None })
	poll.Until(t, "the job is completed", func() bool { return state(o, "job") == workload.StateCompleted })
	poll.Until(t, "all ends are acknowledged", func() bool { _, stored, _ := w.counts(); return stored == 4 })
	item, _, err := store.Get(t.Context(), statekeys.Progress(0, "job"))
	var progress workload.Progress
	if err != nil || json.Unmarshal(item.Value, &progress) != nil || progress.State != workload.StateCompleted {
		t.Errorf("stored: %s, %v", item.Value, err)
	}
}

// Guards against progress that stays unsaved when the answers to its writes are lost: the next write meets a revision
// that the owner does not know.
func TestProgressIsStoredAfterLostAnswers(t *testing.T) {
	store, w := kvtest.NewStore(), &oneWorker{}
	o := startOwner(t, store, w)
	lost := 0
	store.SetFault(func(call string) kvtest.Fault {
		if call == "Commit" && lost < 5 {
			lost++
			return kvtest.LoseResponse
		}
		return kvtest.None
	})
	o.Announce(twoSteps("job"))
	poll.Until(t, "the job is completed", func() bool { return state(o, "job") == workload.StateCompleted })
	if n, _, _ := w.counts(); n != 4 {
		t.Errorf("%d starts of 4 tasks", n)
	}
}

// Guards against workers that nobody looks at any more: their relay, which was paused, has dropped them and goes on
// answering.
func TestRelayThatForgotItsWorkersIsToldThemAgain(t *testing.T) {
	store, w := kvtest.NewStore(), &oneWorker{}
	o := startOwner(t, store, w)
	w.forget()
	poll.Until(t, "the worker is assigned again", func() bool { _, _, n := w.counts(); return n >= 2 })
	o.Announce(twoSteps("job"))
	poll.Until(t, "the job is completed", func() bool { return state(o, "job") == workload.StateCompleted })
}

// Guards against leases that are extended for as long as a former boot of the relay's host had lasted: the owner knows the
// relay's boot clock from before.
func TestRebootedRelayIsPermittedNothingByItsFormerClock(t *testing.T) {
	w := &oneWorker{}
	o := startOwner(t, kvtest.NewStore(), w)
	poll.Until(t, "the relay's clock is known", func() bool {
		o.mu.Lock()
		defer o.mu.Unlock()
		return o.links["host"].readAt > 0
	})
	w.reboot(bootclock.Uptime() / 2)
	poll.Until(t, "the worker is assigned again", func() bool { _, _, n := w.counts(); return n >= 2 })
	o.Announce(twoSteps("job"))
	poll.Until(t, "the job is completed", func() bool { return state(o, "job") == workload.StateCompleted })
	if excess := w.excess(); excess > 0 {
		t.Errorf("leases are extended %v too far", excess)
	}
}
