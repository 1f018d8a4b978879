package dispatch

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
	"fulmarcourse.example/fulmarcourse/pkg/term"
)

// Scenario: the owner's process goes on after a pause, and the planner runs before a renewal or a read of the list of workers.
// Guards against starts that rest on what the owner knew before the pause.
func TestOwnerDoesNotPlanRightAfterAPause(t *testing.T) {
	ownership := term.NewOwnership(term.Config{Store: kvtest.NewStore(), Log: eventlog.Discard()}, 1, 1) // not confirmed
	var text bytes.Buffer
	o := NewOwner(Config{Host: "host", Store: kvtest.NewStore(), Relays: listedHosts{}, Log: eventlog.NewLogger(&text, log.InfoLevel, "host"),
		Scope: tally.NoopScope, TaskLease: time.Second}, ownership)
	o.loaded = true
	o.setWorkers([]schedule.WorkerInfo{{ID: testWorker, Datacentre: "dc"}})
	if o.plan() == 0 {
		t.Fatal("an owner that was not paused does not plan while the store fails")
	}
	o.resumption.plannedAt -= term.TTL
	if o.plan() != 0 {
		t.Error("planned right after a pause")
	}
	if !strings.Contains(text.String(), `"owner_resumed"`) {
		t.Errorf("the pause is not logged: %s", text.String())
	}
	if o.plan() != 0 {
		t.Error("planned before the ownership was confirmed")
	}
}

// Guards against planning that is held back for too short or for good.
func TestPlanningGoesOnOnceThePauseIsMadeUpFor(t *testing.T) {
	const ms = time.Millisecond
	paused := bootclock.Uptime()
	r := resumption{plannedAt: paused, listedAt: paused - ms}
	resumed := paused + 5*time.Second
	for _, step := range []struct {
		what          string
		now, validFor time.Duration
		listed        bool
		want          bool
	}{
		{"right after the pause", 0, -time.Second, false, true},
		{"with the list read", 10 * ms, -time.Second, true, true},
		{"with the ownership confirmed too", 20 * ms, time.Second, false, false},
		{"while the store fails later", 120 * ms, -time.Second, false, false},
		{"after a longer planning run with a confirmed ownership", 3 * time.Second, time.Second, false, false},
		{"after another pause", 6 * time.Second, -time.Second, false, true},
		{"confirmed, with the list of before", 6100 * ms, time.Second, false, true},
		{"confirmed, with a new list", 6200 * ms, time.Second, true, false},
	} {
		now := resumed + step.now
		if step.listed {
			r.listedAt = now
		}
		if got, _ := r.holds(now, now+step.validFor); got != step.want {
			t.Errorf("%s: held back %v, want %v", step.what, got, step.want)
		}
	}
}
