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
		o, l := plannedOwner(t)
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

// plannedOwner returns an owner that has planned a job on testWorker, and its link, in which the starts are queued.
func plannedOwner(t *testing.T) (*Owner, *link) {
	t.Helper()
	o, l, _ := measuredOwner(t)
	l.release, l.assign, l.stored = map[schedule.WorkerID]bool{}, map[schedule.WorkerID]bool{}, map[schedule.WorkerID]relay.StoredEnd{}
	o.setWorkers(oneWorker(false))
	o.loaded = true
	now := bootclock.Uptime()
	l.applyResults(now, now, reported(now, 0, 0))
	o.scheduler.KnownWorkersStored(oneWorker(false))
	o.Announce(twoStepJob("job"))
	o.plan()
	return o, l
}

// oneWorker returns a list with testWorker.
func oneWorker(draining bool) []schedule.WorkerInfo {
	return []schedule.WorkerInfo{{
		ID: testWorker, Address: "w", Datacentre: "dc", Pool: "pool", Draining: draining,
		Capacity: structs.Resources{MilliCPU: 16000, MemoryBytes: 64 << 30},
	}}
}
