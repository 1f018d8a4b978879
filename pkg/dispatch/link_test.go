package dispatch

import (
	"slices"
	"testing"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/relay"
)

// Scenario: the relay of this process is replaced while a loop of its link is between two calls. Guards against a call that
// still permits leases: the owner has recorded until when they may be extended, and would take them for expired too early.
func TestClosedLinkSendsAndPermitsNothing(t *testing.T) {
	o, l, _ := measuredOwner(t)
	now := bootclock.Now()
	l.stop, l.reset, l.host.Name = func() {}, true, "host"
	l.workers[testWorker] = assignment{wait: pollWait}
	l.relayClock, l.relayClockReadAt = now.Boot, now.Boot
	o.mu.Lock()
	o.unlink(now, l)
	o.mu.Unlock()
	recorded := l.permittedUntil
	if until := l.permitLeases(); until != 0 || l.permittedUntil != recorded {
		t.Errorf("leases permitted until %v, and recorded until %v after %v", until, l.permittedUntil, recorded)
	}
	if update, ok := l.takeUpdate(); ok {
		t.Errorf("a closed link sends %+v", update)
	}
}

// Scenario: the owner's process is paused while orders wait in a link. Guards against starts that a relay, which was not
// paused, sends seconds after they were decided: the worker may be draining or the job cancelled by then. Stops and pace
// orders are sent whatever their age, and starts after a decision that has taken long.
func TestStartsThatWaitedAcrossAPauseAreNotSent(t *testing.T) {
	o, l := startingOwner(t, 1, "")
	fresh := l.orders[0]
	now := bootclock.Uptime()
	order := func(kind schedule.OrderKind, attempt int64, age time.Duration) schedule.Order {
		return schedule.Order{Kind: kind, Worker: testWorker, Attempt: attempt, DecidedAt: now - time.Minute, QueuedAt: now - age}
	}
	l.orders = []schedule.Order{
		order(schedule.OrderStart, 1, maxStartWait), order(schedule.OrderStop, 2, time.Minute),
		order(schedule.OrderPace, 3, time.Minute), fresh,
	}
	update, _ := l.takeUpdate()
	var sent []int64
	for _, sentOrder := range update.Orders {
		sent = append(sent, sentOrder.Attempt)
	}
	if want := []int64{2, 3, fresh.Attempt}; !slices.Equal(sent, want) {
		t.Errorf("attempts with orders that are sent: %d, want %d", sent, want)
	}
	if len(l.inFlight) != 3 {
		t.Errorf("%d orders wait for an outcome, want 3", len(l.inFlight))
	}
	if wait := o.takeStatus().orderQueue; wait.Count != 3 {
		t.Errorf("the wait of %d orders was measured, want 3", wait.Count)
	}
	if _, ok := l.takeUpdate(); ok {
		t.Error("something is left to send")
	}
	l.orders = []schedule.Order{order(schedule.OrderStart, 5, maxStartWait)}
	if update, ok := l.takeUpdate(); ok {
		t.Errorf("an update without content is sent: %+v", update)
	}
}

// Scenario: a relay is lost while starts are queued for it. Guards against treating these as sent: their tasks would wait until a
// stop is confirmed, or the leases of the worker expire. They must not be sent afterwards either.
func TestStartsQueuedForALostRelayAreNotRun(t *testing.T) {
	o, l := startingOwner(t, 2, "")
	l.stop = func() {}
	now := bootclock.Now()
	if len(l.orders) != 2 {
		t.Fatalf("%d orders are queued, want 2", len(l.orders))
	}
	o.unlink(now, l)
	if c := o.scheduler.Counts(now); c.Pending != 2 || c.Others != 0 {
		t.Errorf("%d tasks are pending and %d have an attempt, want 2 and 0", c.Pending, c.Others)
	}
	if update, _ := l.takeUpdate(); len(update.Orders) != 0 {
		t.Errorf("%d orders are sent after the relay was lost", len(update.Orders))
	}
}

// Scenario: another host answers at the address of a relay and refuses an update. Guards against starts that count as sent: their tasks
// would wait until a stop is confirmed, or the leases of the worker expire.
func TestStartsThatAnotherHostHasRefusedAreNotRun(t *testing.T) {
	o, l := startingOwner(t, 2, "")
	l.stop = func() {}
	update, _ := l.takeUpdate()
	if len(update.Orders) != 2 {
		t.Fatalf("%d orders are sent, want 2", len(update.Orders))
	}
	l.updateFailed(t.Context(), update, errors.Annotate(relay.ErrOtherHost, "test"))
	if c := o.scheduler.Counts(bootclock.Now()); c.Pending != 2 || c.Others != 0 {
		t.Errorf("%d tasks are pending and %d have an attempt, want 2 and 0", c.Pending, c.Others)
	}
	if !l.closed {
		t.Error("the link to the other host stays open")
	}
}
