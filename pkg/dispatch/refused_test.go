package dispatch

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/uber-go/tally/v4"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
	"fulmarcourse.example/fulmarcourse/pkg/relay"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
	"fulmarcourse.example/fulmarcourse/pkg/term"
	"fulmarcourse.example/fulmarcourse/test/poll"
)

// maxTestValue is the largest value in bytes that the store of these tests accepts.
const maxTestValue = 1000

// testEndsPerReport is the number of ends that a report holds in these tests.
const testEndsPerReport = 60

// ownerOfStarted returns an owner that has just started all tasks of two jobs, "large" and "small", on a worker, and the link of
// the worker. The store has no records yet and refuses values above maxTestValue.
func ownerOfStarted(t *testing.T, largeTasks, smallTasks int) (*Owner, *link, *kvtest.Store) {
	t.Helper()
	store := kvtest.NewStore()
	revision, err := store.Commit(t.Context(), kv.Txn{Put: []kv.Put{{Key: statekeys.Term(0), Value: []byte(`{"term":1}`)}}})
	if err != nil {
		t.Fatal(err)
	}
	store.SetMaxValueBytes(maxTestValue)
	o := NewOwner(Config{
		Host: "host", Store: store, Relays: listedHosts{}, EndsPerReport: testEndsPerReport, Log: eventlog.Discard(), Scope: tally.NoopScope,
	}, term.NewOwnership(term.Config{Store: store, Log: eventlog.Discard()}, 1, revision))
	o.loaded = true
	o.setWorkers([]schedule.WorkerInfo{{ID: testWorker, Address: "w", Datacentre: "dc", Pool: "pool",
		Capacity: structs.Resources{MilliCPU: 1000000, MemoryBytes: 64 << 30}}})
	l := &link{owner: o, wake: make(chan struct{}, 1), stored: map[schedule.WorkerID]relay.StoredEnd{}}
	o.linkOf[testWorker] = l
	l.report(nil)
	if err := o.save(t.Context()); err != nil {
		t.Fatal(err)
	}
	for id, tasks := range map[workload.JobID]int{"large": largeTasks, "small": smallTasks} {
		o.Announce(workload.Job{ID: id, Queue: workload.Queue{Name: "queue", Pool: "pool", MaxFailures: 3},
			Steps: []workload.Step{{Tasks: tasks, Size: structs.Resources{MilliCPU: 100}, EstimateMs: 100}}})
	}
	o.plan()
	if n := len(l.orders); n != largeTasks+smallTasks {
		t.Fatalf("%d tasks started, want %d", n, largeTasks+smallTasks)
	}
	return o, l, store
}

// report applies a report of the worker.
func (l *link) report(ended []schedule.Ended) {
	l.owner.update(func(s *schedule.Scheduler, now schedule.Time) {
		l.applyReport(s, now, relay.WorkerReport{Worker: testWorker, Report: schedule.Report{
			Incarnation: 1, SentAt: bootclock.Uptime(), Ended: ended,
		}}, relayClockOffset{})
	})
}

// end returns the end of the first task of a job that has not ended in an earlier call; number is that of the end.
func (l *link) end(t *testing.T, id workload.JobID, number int64, kind schedule.EndKind, checkpoint string) schedule.Ended {
	t.Helper()
	for n, order := range l.orders {
		if order.Task.Job == id {
			l.orders = append(l.orders[:n:n], l.orders[n+1:]...)
			return schedule.Ended{Number: number, Task: order.Task, Attempt: order.Attempt, Kind: kind, Checkpoint: checkpoint}
		}
	}
	t.Fatalf("no task of %s is left", id)
	return schedule.Ended{}
}

func storedProgress(t *testing.T, store kv.Store, id workload.JobID) (p workload.Progress) {
	t.Helper()
	item, found, err := store.Get(t.Context(), statekeys.Progress(0, id))
	if err == nil && found {
		err = json.Unmarshal(item.Value, &p)
	}
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// Scenario: a task leaves a checkpoint with which the record of its job is too large for the store. Guards against a record that
// holds up all others: no ends were acknowledged, no jobs completed and no further workers were stored.
func TestRecordWithALargeCheckpointIsStoredWithout(t *testing.T) {
	o, l, store := ownerOfStarted(t, 2, 2)
	l.report([]schedule.Ended{
		l.end(t, "large", 1, schedule.EndFailed, strings.Repeat("x", maxTestValue)),
		l.end(t, "small", 2, schedule.EndDone, ""), l.end(t, "small", 3, schedule.EndDone, ""),
	})
	if err := o.save(t.Context()); err != nil {
		t.Errorf("error %v", err)
	}
	if got := state(o, "small"); got != workload.StateCompleted {
		t.Errorf("the other job is %s, want it completed", got)
	}
	if got := l.stored[testWorker].Number; got != 3 {
		t.Errorf("ends up to %d are acknowledged, want 3", got)
	}
	large := storedProgress(t, store, "large")
	if len(large.Steps) != 1 || len(large.Steps[0].Tasks) != 1 || len(large.Steps[0].Tasks[0].Failed) != 1 ||
		large.Steps[0].Tasks[0].Checkpoint != "" {
		t.Errorf("stored %+v, want the failure without the checkpoint", large)
	}
}

// Scenario: the record of a job is too large for the store even without checkpoints. Guards against a record that holds up all
// others, and against acknowledging ends of the job that no later owner could know: the ends before them are acknowledged, the
// rest once the record is stored.
func TestRecordThatIsRefusedIsSetAside(t *testing.T) {
	o, l, store := ownerOfStarted(t, 60, 2)
	ends := []schedule.Ended{l.end(t, "small", 1, schedule.EndDone, "")}
	for n := range 50 {
		ends = append(ends, l.end(t, "large", int64(2+n), schedule.EndFailed, ""))
	}
	ends = append(ends, l.end(t, "small", 52, schedule.EndDone, ""))
	l.report(ends)
	o.setWorkers([]schedule.WorkerInfo{
		{ID: testWorker, Address: "w", Datacentre: "dc", Pool: "pool", Capacity: structs.Resources{MilliCPU: 1000000, MemoryBytes: 64 << 30}},
		{ID: "w2", Address: "w2", Datacentre: "dc", Pool: "pool"},
	})
	o.update(func(s *schedule.Scheduler, now schedule.Time) {
		s.Report(now, "w2", schedule.Report{Incarnation: 1, SentAt: now.Boot})
	})
	for range 3 {
		if err := o.save(t.Context()); err != nil {
			t.Errorf("error %v", err)
		}
	}
	if got := state(o, "small"); got != workload.StateCompleted {
		t.Errorf("the other job is %s, want it completed", got)
	}
	if got := l.stored[testWorker].Number; got != 1 {
		t.Errorf("ends up to %d are acknowledged, want 1: the next one is not stored", got)
	}
	if ids := storedWorkers(t, store); len(ids) != 2 {
		t.Errorf("known workers %v are stored, want 2", ids)
	}
	store.SetMaxValueBytes(0)
	poll.Until(t, "all ends are acknowledged", func() bool {
		if err := o.save(t.Context()); err != nil {
			t.Fatal(err)
		}
		return l.stored[testWorker].Number == 52
	})
	if large := storedProgress(t, store, "large"); len(large.Steps) != 1 || len(large.Steps[0].Tasks) != 50 {
		t.Errorf("stored %+v, want 50 failures", large)
	}
}

// Scenario: the record of a job is refused, and its ends fill the worker's report. Guards against ends of other jobs that nobody ever learns
// of, since the worker lists them only once those before them are acknowledged: their jobs would never end.
func TestRefusedRecordDoesNotHideEndsOfOtherJobs(t *testing.T) {
	o, l, _ := ownerOfStarted(t, testEndsPerReport, 1)
	ends := make([]schedule.Ended, 0, testEndsPerReport)
	for n := range testEndsPerReport {
		ends = append(ends, l.end(t, "large", int64(1+n), schedule.EndFailed, ""))
	}
	l.report(ends)
	for range 3 {
		if err := o.save(t.Context()); err != nil {
			t.Errorf("error %v", err)
		}
	}
	if got := l.stored[testWorker].Number; got != testEndsPerReport {
		t.Fatalf("ends up to %d are acknowledged, want %d", got, testEndsPerReport)
	}
	l.report([]schedule.Ended{l.end(t, "small", testEndsPerReport+1, schedule.EndDone, "")})
	if err := o.save(t.Context()); err != nil {
		t.Errorf("error %v", err)
	}
	if got := state(o, "small"); got != workload.StateCompleted {
		t.Errorf("the other job is %s, want it completed", got)
	}
}
