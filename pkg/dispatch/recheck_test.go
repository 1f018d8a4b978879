package dispatch

import (
	"testing"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/relay"
)

// Scenario: a start is queued because the relay is slow, and meanwhile the worker announces its end or the job is cancelled. Guards
// against sending a start on a decision that no longer holds.
func TestQueuedStartIsCheckedAgainBeforeItIsSent(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Owner)
		starts int
	}{
		"nothing changes":              {func(*Owner) {}, 2},
		"the worker drains":            {func(o *Owner) { o.setWorkers(oneWorker(true)) }, 0},
		"the data centre is evacuated": {func(o *Owner) { o.SetEvacuated([]structs.DatacentreID{"dc"}) }, 0},
		"the job is cancelled":         {func(o *Owner) { o.Cancel("job") }, 0},
	} {
		o, l, _ := measuredOwner(t)
		l.release, l.assign, l.stored = map[schedule.WorkerID]bool{}, map[schedule.WorkerID]bool{}, map[schedule.WorkerID]relay.StoredEnd{}
		o.setWorkers(oneWorker(false))
		o.loaded = true
		now := bootclock.Uptime()
		l.applyResults(now, now, reported(now, 0, 0))
		o.scheduler.KnownWorkersStored(oneWorker(false))
		o.Announce(twoStepJob("job"))
		o.plan()
		c.change(o)
		update, _ := l.takeUpdate()
		starts := 0
		for _, order := range update.Orders {
			if order.Kind == schedule.OrderStart {
				starts++
			}
		}
		if starts != c.starts {
			t.Errorf("%s: %d starts are sent, want %d", name, starts, c.starts)
		}
	}
}

// Scenario: a relay is lost while starts are queued for it. Guards against treating these as sent: their tasks would wait until a
// stop is confirmed, or the leases of the worker expire. They must not be sent afterwards either.
func TestStartsQueuedForALostRelayAreNotRun(t *testing.T) {
	o, l, _ := measuredOwner(t)
	l.stop = func() {}
	o.setWorkers(oneWorker(false))
	o.loaded = true
	now := bootclock.Now()
	l.applyResults(now.Boot, now.Boot, reported(now.Boot, 0, 0))
	o.scheduler.KnownWorkersStored(oneWorker(false))
	o.Announce(twoStepJob("job"))
	o.plan()
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

// oneWorker returns a list with testWorker.
func oneWorker(draining bool) []schedule.WorkerInfo {
	return []schedule.WorkerInfo{{
		ID: testWorker, Address: "w", Datacentre: "dc", Pool: "pool", Draining: draining,
		Capacity: structs.Resources{MilliCPU: 16000, MemoryBytes: 64 << 30},
	}}
}
