package dispatch

import (
	"testing"

	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
)

// Scenario: the relay of this process is replaced while a loop of its link is between two calls. Guards against a call that
// still permits leases: the owner has recorded until when they may be extended, and would take them for expired too early.
func TestClosedLinkSendsAndPermitsNothing(t *testing.T) {
	o, l, _ := measuredOwner(t)
	now := bootclock.Now()
	l.stop, l.reset, l.host.Name = func() {}, true, "host"
	l.workers[testWorker] = pollWait
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
