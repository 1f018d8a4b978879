package dispatch

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
	"fulmarcourse.example/fulmarcourse/pkg/relay"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
)

// withheldOwner returns an owner that has inherited the remaining lease of its worker, and the link to the worker's relay, whose loops
// have ended.
func withheldOwner(t *testing.T) (*Owner, *link) {
	t.Helper()
	o, ctx := fleetOwner(t, 1, 1, 1, 1000)
	l := o.links["host-00"]
	l.stop()
	o.linkWG.Wait() // the test takes the updates
	o.mu.Lock()
	defer o.mu.Unlock()
	o.scheduler.InheritWorkers(bootclock.Now(), []schedule.WorkerInfo{{ID: "w0", LeaseRemaining: time.Second}})
	o.assignWorkers(ctx)
	l.withheld.observed = true
	return o, l
}

// Guards against a relay that is not told to withhold the leases of a worker which it polls already, and against a withholding that
// counts before the relay has applied the update.
func TestWithholdingCountsOnceTheRelayHasAppliedIt(t *testing.T) {
	o, l := withheldOwner(t)
	u, ok := l.takeUpdate()
	if !ok || len(u.Assign) != 1 || !u.Assign[0].WithholdLeases {
		t.Fatalf("assigned %+v", u.Assign)
	}
	if since := o.withheldSince("w0"); since != 0 {
		t.Errorf("leases withheld since %v before the response", since)
	}
	before := bootclock.Uptime()
	l.updateApplied(u)
	if since := o.withheldSince("w0"); since < before {
		t.Errorf("leases withheld since %v after the response at %v", since, before)
	}
	l.withheld.observed = false
	if since := o.withheldSince("w0"); since != 0 {
		t.Error("leases count as withheld by a relay of a former version")
	}
}

// Guards against a relay that is told only with the next regular assignment to withhold the leases of a worker, and against a remaining
// lease that is stored only with the next results: if the owner is lost until then, the next one waits for the whole lease.
func TestWithholdingIsToldAndStoredAtOnce(t *testing.T) {
	o, ctx := fleetOwner(t, 1, 1, 1, 1000)
	l := o.links["host-00"]
	l.stop()
	o.linkWG.Wait() // the test takes the updates
	now := bootclock.Now()
	o.update(func(s *schedule.Scheduler, now schedule.Time) {
		info, _ := s.Worker("w0")
		s.Report(now, "w0", schedule.Report{Incarnation: 1, SentAt: now.Boot})
		s.KnownWorkersStored([]schedule.WorkerInfo{info})
		s.PollFailed(now, "w0", schedule.Grant{})
		s.KnownWorkers()
	})
	drain(o.assignWake)
	o.plan()
	if len(o.assignWake) == 0 {
		t.Fatal("the assignment is not woken")
	}
	o.mu.Lock()
	o.assignWorkers(ctx)
	o.mu.Unlock()
	u, _ := l.takeUpdate()
	l.withheld.observed = true
	l.updateApplied(u)
	drain(o.saveWake)
	o.mu.Lock()
	l.collectedUpTo = bootclock.Uptime()
	now.Boot += time.Second
	o.scheduler.WithholdLeases(now, true, o.withheldSince, func(schedule.WorkerID) time.Duration { return l.collectedUpTo })
	o.mu.Unlock()
	o.plan()
	if len(o.saveWake) == 0 {
		t.Error("the remaining lease is not stored at once")
	}
}

// Guards against a withholding that counts although the relay may be another process, may have lost its sessions, or has since been
// told something else: another relay, or this one, may extend the leases.
func TestWithholdingIsVoid(t *testing.T) {
	for name, c := range map[string]struct {
		void          func(o *Owner, l *link)
		afterResponse bool // it happens after the response; else between the update and its response
	}{
		"update fails": {func(_ *Owner, l *link) {
			l.updateFailed(t.Context(), relay.Update{}, errors.New("no answer"))
		}, true},
		"relay has lost its assignments":            {func(_ *Owner, l *link) { l.reassignAll() }, true},
		"relay loses its assignments meanwhile":     {func(_ *Owner, l *link) { l.reassignAll() }, false},
		"relay is released":                         {func(o *Owner, l *link) { o.unassign("w0", l) }, true},
		"worker is assigned again":                  {func(o *Owner, l *link) { reassign(o, l) }, true},
		"worker is assigned again before the reply": {func(o *Owner, l *link) { reassign(o, l) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			o, l := withheldOwner(t)
			u, _ := l.takeUpdate()
			if c.afterResponse {
				l.updateApplied(u)
				c.void(o, l)
			} else {
				c.void(o, l)
				l.updateApplied(u)
			}
			if since := l.withheld.since["w0"]; since != 0 {
				t.Errorf("leases withheld since %v", since)
			}
		})
	}
}

// reassign assigns the worker again with another address.
func reassign(o *Owner, l *link) {
	o.mu.Lock()
	defer o.mu.Unlock()
	info, _ := o.scheduler.Worker("w0")
	info.Address = "10.0.0.9:80"
	o.assignWorker(info)
}

// Scenario: the relay of a worker is replaced. Guards against a next relay that extends the leases which the former one has withheld,
// since its first assignment does not tell it.
func TestNextRelayWithholdsLeasesFromItsFirstAssignmentOn(t *testing.T) {
	o, l := withheldOwner(t)
	u, _ := l.takeUpdate()
	l.updateApplied(u)
	o.mu.Lock()
	ctx := t.Context()
	o.releaseRelay(ctx, l, "test")
	o.openLink(ctx, l.host)
	o.links["host-00"].stop()
	o.assignWorkers(ctx)
	next := o.links["host-00"]
	o.mu.Unlock()
	if since := o.withheldSince("w0"); since != 0 {
		t.Errorf("the next relay counts as withholding since %v", since)
	}
	if next.workers["w0"].withhold != true {
		t.Error("the next relay is not told to withhold the leases")
	}
}

// Guards against a remaining lease that is lost on its way through the store, against records of former versions that cannot be read
// or mean a wait of 0, and against records that differ without one.
func TestRemainingLeaseIsStored(t *testing.T) {
	info := schedule.WorkerInfo{ID: "w", Address: "10.0.0.1:80", LeaseRemaining: 3 * time.Second}
	data, err := json.Marshal(newKnownWorker(info))
	var read knownWorker
	if err != nil || json.Unmarshal(data, &read) != nil || read.info().LeaseRemaining != info.LeaseRemaining {
		t.Errorf("stored as %s, read as %+v: %v", data, read, err)
	}
	info.LeaseRemaining = 0
	const former = `{"ID":"w","Address":"10.0.0.1:80","Datacentre":"","Pool":"","StartedMs":0}`
	if data, _ := json.Marshal(newKnownWorker(info)); string(data) != former {
		t.Errorf("stored without a remaining lease as %s", data)
	}
}

// Scenario: the worker answers while a write of its remaining lease has failed without a response. Guards against a part that counts as
// stored without the remaining lease although the store may hold it: the next owner would start its tasks a second time.
func TestFailedWriteOfARemainingLeaseIsNotTakenForStoredWithoutIt(t *testing.T) {
	k := knownWorkers{partOf: map[schedule.WorkerID]int{}}
	clear := schedule.WorkerInfo{ID: "w", Address: "10.0.0.1:80"}
	marked := clear
	marked.LeaseRemaining = time.Second
	k.replace([]schedule.WorkerInfo{clear})
	k.parts[0].dirty = false
	if stored := k.replace([]schedule.WorkerInfo{marked}); len(stored) != 0 {
		t.Errorf("stored at once: %+v", stored)
	}
	if stored := k.replace([]schedule.WorkerInfo{clear}); len(stored) != 0 {
		t.Errorf("stored without a write: %+v", stored)
	}
	if due := k.due(bootclock.Uptime()); len(due) != 1 {
		t.Errorf("%d parts to write, want 1", len(due))
	}
}

// Scenario: a worker goes to a relay in another data centre and falls silent before the former relay has applied the release. Guards
// against a remaining lease that is stored while the former relay, which was told nothing, may extend it.
func TestWithholdingDoesNotCountBesideAFormerRelay(t *testing.T) {
	o, l := withheldOwner(t)
	u, _ := l.takeUpdate()
	l.updateApplied(u)
	if o.withheldSince("w0") == 0 {
		t.Fatal("the leases are not withheld")
	}
	former := &link{leaving: map[schedule.WorkerID]bool{"w0": true}}
	o.links["former"] = former
	if since := o.withheldSince("w0"); since != 0 {
		t.Errorf("leases withheld since %v beside a former relay", since)
	}
	delete(former.leaving, "w0")
	if o.withheldSince("w0") == 0 {
		t.Error("the leases are not withheld once the former relay has stopped")
	}
}

// knownWrites counts the writes of the known workers to a store, and their bytes.
type knownWrites struct {
	kv.Store
	writes, bytes atomic.Int64
}

func (s *knownWrites) Commit(ctx context.Context, txn kv.Txn) (int64, error) {
	for _, put := range txn.Put {
		if strings.HasPrefix(put.Key, statekeys.KnownWorkers(0, 0)) {
			s.writes.Add(1)
			s.bytes.Add(int64(len(put.Value)))
		}
	}
	return s.Store.Commit(ctx, txn)
}

// Guards against remaining leases that take a write for each worker and step: workers share the writes of their part of the known workers. A
// part is written once in half a second, and once more at each moment at which workers of it are lost and at which their leases expire.
func TestRemainingLeasesOfAPartShareTheirWrites(t *testing.T) {
	for _, moments := range []int{1, 7} {
		t.Run(fmt.Sprint(moments), func(t *testing.T) { playLosses(t, moments) })
	}
}

// playLosses loses a tenth of 660 workers over all parts, at some moments one after another, and checks the number of writes.
func playLosses(t *testing.T, moments int) {
	const workers, lost = 660, 66
	const step, played, lease = 100 * time.Millisecond, 10 * time.Second, 6 * time.Second
	store := &knownWrites{Store: kvtest.NewStore()}
	o := ownerOfTerm(t, store, 1)
	o.scheduler = schedule.NewScheduler(schedule.Config{Term: 1, TaskLease: lease, MaxTaskLease: lease})
	infos := numberedWorkers(workers, "a")
	o.listAndReport(infos)
	if err := o.save(t.Context()); err != nil {
		t.Fatal(err)
	}
	store.writes.Store(0)
	store.bytes.Store(0)
	now := bootclock.Now()
	for at := range int(played / step) {
		now.Boot += step
		o.mu.Lock()
		for i := range lost {
			if i%moments == at {
				o.scheduler.PollFailed(now, infos[i*workers/lost].ID, schedule.Grant{At: now.Boot, Lease: lease})
			}
		}
		collected := func(schedule.WorkerID) time.Duration { return now.Boot }
		o.scheduler.Expire(now, true, collected)
		o.scheduler.WithholdLeases(now, true, func(schedule.WorkerID) time.Duration { return now.Boot - 1 }, collected)
		o.mu.Unlock()
		if err := o.save(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	parts := (workers + workersPerPart - 1) / workersPerPart
	t.Logf("%d writes of %d parts, %d KiB in all", store.writes.Load(), parts, store.bytes.Load()>>10)
	steps := int((lease + time.Second) / (500 * time.Millisecond))
	if got, most := store.writes.Load(), int64(parts*(steps+2*moments)); got < int64(parts) || got > most {
		t.Errorf("%d writes of %d parts, want %d at most", got, parts, most)
	}
}
