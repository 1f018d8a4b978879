package dispatch

import (
	"testing"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
)

// Scenario: the entry of a silent worker, whose leases are withheld and whose remaining lease is stored, names another data centre, so that
// another relay polls it. Guards against a wait that begins anew: the former relay extends no lease until it has applied the release.
func TestWaitForAWithheldWorkerGoesOnWhenItIsMoved(t *testing.T) {
	o, l := withheldOwner(t)
	u, _ := l.takeUpdate()
	l.updateApplied(u)
	leasesEnd := func() any {
		o.mu.Lock()
		defer o.mu.Unlock()
		end, _ := o.scheduler.LeasesEnd("w0")
		return end
	}
	o.mu.Lock()
	l.taskLease, l.relayClockReadAt = schedule.TaskLease, bootclock.Uptime()
	o.mu.Unlock()
	before := leasesEnd()
	o.mu.Lock()
	o.unassign("w0", l)
	o.mu.Unlock()
	l.takeUpdate()
	if end := leasesEnd(); end != before {
		t.Errorf("the leases of the worker end at %v after the move, at %v before", end, before)
	}
}
