package dispatch

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
	"fulmarcourse.example/fulmarcourse/pkg/term"
)

// storeValueBytes is the largest value that the platform's store accepts.
const storeValueBytes = 1 << 20

// ownerOfTerm returns an owner that has loaded its partition from a store. Each term needs a store key of its own revision.
func ownerOfTerm(t *testing.T, store kv.Store, number int64) *Owner {
	t.Helper()
	value := fmt.Sprintf(`{"term":%d}`, number)
	revision, err := store.Commit(t.Context(), kv.Txn{Put: []kv.Put{{Key: statekeys.Term(0), Value: []byte(value)}}})
	if err != nil {
		t.Fatal(err)
	}
	o := NewOwner(Config{
		Host: "host", Store: store, Relays: listedHosts{}, Log: eventlog.Discard(), Scope: tally.NoopScope,
	}, term.NewOwnership(term.Config{Store: store, Log: eventlog.Discard()}, number, revision))
	if err := o.loadOnce(t.Context()); err != nil {
		t.Fatal(err)
	}
	return o
}

// numberedWorkers returns workers with a label each.
func numberedWorkers(n int, label string) []schedule.WorkerInfo {
	var infos []schedule.WorkerInfo
	for i := range n {
		infos = append(infos, schedule.WorkerInfo{
			ID: schedule.WorkerID(fmt.Sprint("worker-", i)), Address: fmt.Sprint("10.0.0.1:", i), Datacentre: "dc", Pool: "pool",
			Labels: []string{label}, StartedMs: 1, Capacity: structs.Resources{MilliCPU: 1000, MemoryBytes: 1 << 30},
		})
	}
	return infos
}

// listAndReport passes a list of workers to the owner and makes all of them report.
func (o *Owner) listAndReport(infos []schedule.WorkerInfo) {
	o.setWorkers(infos)
	o.update(func(s *schedule.Scheduler, now schedule.Time) {
		for _, info := range infos {
			s.Report(now, info.ID, schedule.Report{Incarnation: 1, SentAt: now.Boot})
		}
	})
}

// startedOn announces a job with a task for each worker, and returns the workers on which its tasks are started.
func (o *Owner) startedOn(tasks int) map[schedule.WorkerID]bool {
	links := map[schedule.WorkerID]*link{}
	o.mu.Lock()
	for _, info := range o.scheduler.Workers() {
		l := &link{owner: o, wake: make(chan struct{}, 1)}
		o.linkOf[info.ID], links[info.ID] = l, l
	}
	o.mu.Unlock()
	o.Announce(workload.Job{ID: "job", Queue: workload.Queue{Name: "queue", Pool: "pool", MaxFailures: 3},
		Steps: []workload.Step{{Tasks: tasks, Size: structs.Resources{MilliCPU: 1000}, EstimateMs: 100}}})
	o.plan()
	started := map[schedule.WorkerID]bool{}
	for id, l := range links {
		if len(l.orders) > 0 {
			started[id] = true
		}
	}
	return started
}

// Scenario: the descriptions of the workers are too large for one value of the store, because there are thousands or because of a
// long label. Guards against a list of known workers that cannot be stored: nothing would start on any worker that is not stored
// yet, for this owner and for all later ones.
func TestManyKnownWorkersAreStored(t *testing.T) {
	for name, infos := range map[string][]schedule.WorkerInfo{
		"6,000 workers": numberedWorkers(6000, "a"),
		"long labels":   numberedWorkers(3, strings.Repeat("x", storeValueBytes)),
	} {
		t.Run(name, func(t *testing.T) {
			store := kvtest.NewStore()
			store.SetMaxValueBytes(storeValueBytes)
			o := ownerOfTerm(t, store, 1)
			o.listAndReport(infos)
			if err := o.save(t.Context()); err != nil {
				t.Errorf("error %v", err)
			}
			if started := o.startedOn(len(infos)); len(started) != len(infos) {
				t.Errorf("tasks start on %d of %d workers", len(started), len(infos))
			}
			if ids := storedWorkers(t, store); len(ids) != len(infos) {
				t.Errorf("%d of %d workers are known to the next owner", len(ids), len(infos))
			}
		})
	}
}

// Scenario: the store refuses one part of the known workers for good. Guards against a part that holds up the others, and progress
// and ends with them.
func TestRefusedPartDoesNotHoldUpOthers(t *testing.T) {
	store := kvtest.NewStore()
	o := ownerOfTerm(t, store, 1)
	infos := numberedWorkers(workersPerPart, "a")
	o.listAndReport(infos)
	if err := o.save(t.Context()); err != nil {
		t.Fatal(err)
	}
	item, _, err := store.Get(t.Context(), statekeys.KnownWorkers(0, 0))
	if err != nil {
		t.Fatal(err)
	}
	store.SetMaxValueBytes(len(item.Value))
	infos[0].Pool = "pool-with-a-longer-name" // the first part is too large now
	more := numberedWorkers(workersPerPart+10, "a")
	infos = append(infos, more[workersPerPart:]...)
	o.listAndReport(infos)
	for range 2 {
		if err := o.save(t.Context()); err != nil {
			t.Fatalf("error %v", err)
		}
	}
	if ids := storedWorkers(t, store); len(ids) != len(infos) {
		t.Errorf("%d of %d workers are known to the next owner", len(ids), len(infos))
	}
	store.SetMaxValueBytes(0)
	o.mu.Lock()
	o.known.parts[0].backOff.until = 0
	o.mu.Unlock()
	if err := o.save(t.Context()); err != nil {
		t.Fatal(err)
	}
	next := ownerOfTerm(t, store, 2)
	if info, _ := next.scheduler.Worker(infos[0].ID); info.Pool != infos[0].Pool {
		t.Errorf("the first part is stored with pool %q", info.Pool)
	}
}

// Guards against an owner that does not wait for the workers of an owner of a former version, which has stored them under one key
// with all that the platform lists, and against losing them when more workers join.
func TestKnownWorkersOfAFormerVersionAreRead(t *testing.T) {
	store := kvtest.NewStore()
	former := numberedWorkers(workersPerPart+5, "a")
	data, err := json.Marshal(former)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Commit(t.Context(), kv.Txn{Put: []kv.Put{{Key: statekeys.KnownWorkers(0, 0), Value: data}}}); err != nil {
		t.Fatal(err)
	}
	o := ownerOfTerm(t, store, 2)
	if n := len(o.scheduler.Workers()); n != len(former) || o.scheduler.TakeoverComplete() {
		t.Errorf("%d of %d workers are inherited", n, len(former))
	}
	o.listAndReport(numberedWorkers(2*workersPerPart, "a"))
	if err := o.save(t.Context()); err != nil {
		t.Fatal(err)
	}
	if ids := storedWorkers(t, store); len(ids) != 2*workersPerPart {
		t.Errorf("%d workers are known to the next owner, want %d", len(ids), 2*workersPerPart)
	}
}

// Guards against a part of the known workers that cannot be read and holds up every later owner for good, against an owner that
// does not wait for the workers of that part, and against overwriting it before they are known.
func TestUnreadableKnownWorkersEndWithTheTakeover(t *testing.T) {
	store := kvtest.NewStore()
	put := func(part int, value string) {
		txn := kv.Txn{Put: []kv.Put{{Key: statekeys.KnownWorkers(0, part), Value: []byte(value)}}}
		if _, err := store.Commit(t.Context(), txn); err != nil {
			t.Fatal(err)
		}
	}
	put(0, `[{"ID":"worker-0","Address":"10.0.0.1:0","Pool":"pool"}]`)
	put(1, `[{"ID":7`)
	o := ownerOfTerm(t, store, 2)
	infos := numberedWorkers(2, "a")
	o.listAndReport(infos)
	o.plan()
	if err := o.save(t.Context()); err != nil {
		t.Fatal(err)
	}
	if ids := o.scheduler.Workers(); len(ids) != 2 || o.scheduler.TakeoverComplete() {
		t.Errorf("inherited %v, takeover complete %t, want it to wait", ids, o.scheduler.TakeoverComplete())
	}
	unreadable := func() bool {
		known, err := o.readKnownWorkers(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		_, complete := known.infos()
		return !complete
	}
	if !unreadable() {
		t.Error("the part was overwritten before the takeover was complete")
	}
	o.update(func(s *schedule.Scheduler, now schedule.Time) {
		now.Boot += time.Hour
		s.Expire(now, true, func(schedule.WorkerID) time.Duration { return now.Boot })
	})
	o.plan()
	if err := o.save(t.Context()); err != nil {
		t.Fatal(err)
	}
	if unreadable() {
		t.Error("the part still cannot be read after the takeover")
	}
}

// Guards against a worker that gets no tasks for good: it was removed and came back before the known workers were stored, so that
// its part has not changed.
func TestWorkerThatComesBackIsStored(t *testing.T) {
	store := kvtest.NewStore()
	o := ownerOfTerm(t, store, 1)
	infos := numberedWorkers(1, "a")
	o.listAndReport(infos)
	if err := o.save(t.Context()); err != nil {
		t.Fatal(err)
	}
	o.setWorkers(nil)
	o.update(func(s *schedule.Scheduler, now schedule.Time) {
		s.PollFailed(now, infos[0].ID, schedule.Grant{})
		now.Boot += time.Hour
		s.Expire(now, true, func(schedule.WorkerID) time.Duration { return now.Boot })
		if len(s.Workers()) != 0 {
			t.Error("the worker was not removed")
		}
	})
	o.listAndReport(infos)
	if err := o.save(t.Context()); err != nil {
		t.Fatal(err)
	}
	if started := o.startedOn(1); len(started) != 1 {
		t.Error("no task starts on the worker")
	}
}
