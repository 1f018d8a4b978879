package dispatch

import (
	"slices"
	"testing"
	"time"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
)

// stopLoops ends the loops of all links, so that the test takes the updates. o.mu is not held.
func stopLoops(o *Owner) {
	o.mu.Lock()
	for _, l := range o.links {
		l.stop()
	}
	o.mu.Unlock()
	o.linkWG.Wait()
}

// Scenario: a worker starts again under its ID at another address. Guards against a relay that is never told of it: it polls the former
// address for as long as it serves this owner.
func TestChangedAddressIsAssignedAgain(t *testing.T) {
	o, ctx := fleetOwner(t, 1, 1, 1, 1000)
	stopLoops(o)
	l := o.links["host-00"]
	l.takeUpdate()
	o.setWorkers([]schedule.WorkerInfo{{ID: "w0", Datacentre: "dc", Address: "10.0.0.2:80"}})
	o.mu.Lock()
	o.assignWorkers(ctx)
	o.mu.Unlock()
	u, _ := l.takeUpdate()
	if len(u.Assign) != 1 || u.Assign[0].Worker.Address != "10.0.0.2:80" {
		t.Errorf("after its address has changed, the worker is assigned as %+v", u.Assign)
	}
}

// Guards against updates of one owner that a relay cannot tell apart by age: one that was given up and arrives late would undo later
// assignments. The number rises over the links that an owner opens to one host, and over the update that releases a relay.
func TestUpdatesOfAnOwnerAreNumbered(t *testing.T) {
	o, ctx := fleetOwner(t, 1, 1, 1, 1000)
	stopLoops(o)
	l := o.links["host-00"]
	first, _ := l.takeUpdate()
	o.mu.Lock()
	o.releaseRelay(ctx, l, "test")
	o.openLink(ctx, l.host)
	next := o.links["host-00"]
	o.mu.Unlock()
	stopLoops(o)
	o.mu.Lock()
	o.assignWorkers(ctx)
	o.mu.Unlock()
	second, ok := next.takeUpdate()
	if !ok || first.Sequence < 1 || second.Sequence <= first.Sequence+1 { // the release is between them
		t.Errorf("updates are numbered %d and %d", first.Sequence, second.Sequence)
	}
}

// Scenario: a worker starts again under its ID in another data centre. Guards against polls that go on from the former one: the link
// between the two may be cut while the owner reaches both, and the worker's leases would expire. A change of its entry to a data centre
// without a relay moves nothing.
func TestWorkerInAnotherDatacentreGetsARelayThere(t *testing.T) {
	o, ctx := fleetOwner(t, 140, 18, 0.8, 2)
	stopLoops(o)
	o.mu.Lock()
	before := o.linkOf["w0"]
	var near *link
	for _, l := range o.links {
		if l != before {
			near = l
			break
		}
	}
	near.host.Datacentre = "dc2"
	o.mu.Unlock()
	before.takeUpdate()
	near.takeUpdate()
	list := func(dc structs.DatacentreID) {
		infos := o.scheduler.Workers()
		for i := range infos {
			if infos[i].ID == "w0" {
				infos[i].Datacentre = dc
			}
		}
		o.setWorkers(infos)
		o.mu.Lock()
		defer o.mu.Unlock()
		o.assignWorkers(ctx)
	}
	list("dc3")
	if o.linkOf["w0"] != before {
		t.Fatal("the worker is moved to a relay that is no nearer")
	}
	list("dc2")
	if o.linkOf["w0"] != near {
		t.Fatal("the worker stays with a relay in its former data centre")
	}
	released, _ := before.takeUpdate()
	assigned, _ := near.takeUpdate()
	if !slices.Contains(released.Release, "w0") || len(assigned.Assign) != 1 || assigned.Assign[0].Worker.ID != "w0" {
		t.Errorf("released %v, assigned %+v", released.Release, assigned.Assign)
	}
}

// Scenario: a worker is assigned to a relay in its new data centre, and the update that tells the former relay so is late or lost. Guards
// against leases that the former relay extends meanwhile, by later permissions, and that count as expired: the tasks of the worker
// would start a second time if the new relay does not reach it.
func TestLeasesOfAnUnassignedWorkerLastAsLongAsItsRelayIsPermitted(t *testing.T) {
	for _, released := range []bool{false, true} {
		o, l := startingOwner(t, 1, "")
		l.assign, l.release, l.leaving = map[schedule.WorkerID]bool{}, map[schedule.WorkerID]bool{}, map[schedule.WorkerID]bool{}
		now := bootclock.Now()
		l.relayClock, l.relayClockReadAt = now.Boot, now.Boot
		l.takeUpdate() // with the start
		o.mu.Lock()
		o.unassign(testWorker, l)
		o.mu.Unlock()
		update, _ := l.takeUpdate()
		if released {
			l.updateApplied(update)
		}
		l.permittedUntil = now.Boot + time.Minute // a later permission
		l.permitLeases()
		now.Boot = l.permittedUntil
		o.scheduler.Expire(now, true, func(schedule.WorkerID) time.Duration { return now.Boot })
		if expired := o.scheduler.Counts(now).Others == 0; expired != released {
			t.Errorf("released %t: the leases have expired: %t", released, expired)
		}
	}
}

// Scenario: a worker leaves while no relay has it, after the loss of its relay. Guards against state that grows with each worker that
// has ever been used.
func TestNothingIsKeptOfWorkersThatHaveLeft(t *testing.T) {
	o, ctx := fleetOwner(t, 1, 1, 1, 1000)
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, id := range []schedule.WorkerID{"w0", "left"} {
		o.ends[id], o.unreachable[id] = endNumbers{incarnation: 1}, true
	}
	o.assignWorkers(ctx)
	if len(o.ends) != 1 || len(o.unreachable) != 1 {
		t.Errorf("ends of %d workers and failures of %d are kept, want 1 each", len(o.ends), len(o.unreachable))
	}
}

// Scenario: a worker goes to another relay and back twice while an update of the relay is in flight. Guards against an answer to an
// update that is taken for that to the latest release: the relay has been assigned the worker in between and still polls it.
func TestReleaseIsNotConfirmedByAnEarlierUpdate(t *testing.T) {
	o, l := startingOwner(t, 1, "")
	l.assign, l.release, l.leaving = map[schedule.WorkerID]bool{}, map[schedule.WorkerID]bool{}, map[schedule.WorkerID]bool{}
	o.mu.Lock()
	o.unassign(testWorker, l)
	o.mu.Unlock()
	update, _ := l.takeUpdate()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.linkOf[testWorker] = l
	info, _ := o.scheduler.Worker(testWorker)
	o.assignWorker(info)
	if l.leaving[testWorker] {
		t.Error("the relay that polls the worker is taken for its former one")
	}
	o.unassign(testWorker, l)
	l.recordReleased(update)
	if !l.leaving[testWorker] {
		t.Error("the latest release is taken for applied")
	}
}

// Scenario: a worker starts again in another data centre whose relay opens later, for instance because it was lost a moment ago. Guards
// against a worker that stays with a relay in its former data centre for the term, since its data centre does not change any more.
func TestWorkerInAnotherDatacentreGetsARelayOnceThereIsOne(t *testing.T) {
	o, ctx := fleetOwner(t, 140, 18, 0.8, 2)
	stopLoops(o)
	o.mu.Lock()
	before := o.linkOf["w0"]
	o.mu.Unlock()
	infos := o.scheduler.Workers()
	for i := range infos {
		if infos[i].ID == "w0" {
			infos[i].Datacentre = "dc2"
		}
	}
	o.setWorkers(infos)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.assignWorkers(ctx)
	for _, l := range o.links {
		if l != before {
			l.host.Datacentre = "dc2"
			break
		}
	}
	o.assignWorkers(ctx)
	if got := o.linkOf["w0"].host.Datacentre; got != "dc2" {
		t.Errorf("the worker is polled from %s", got)
	}
}
