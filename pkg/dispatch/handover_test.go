package dispatch

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
	"fulmarcourse.example/fulmarcourse/pkg/term"
)

// Scenario: the strongest hosts fail together, a weak one takes over, and they return. Guards against a weak owner that
// keeps the partition for good, and against a hand-over to a host that may be gone or while a takeover goes on.
func TestWeakOwnerGivesWayToAProvenStrongHost(t *testing.T) {
	const weak, strong = 0.2, 0.8
	now := bootclock.Uptime()
	for name, c := range map[string]struct {
		change func(o *Owner, l *link)
		want   bool
	}{
		"proven":              {func(*Owner, *link) {}, true},
		"not strong enough":   {func(_ *Owner, l *link) { l.host.Cores = 1.5 * weak }, false},
		"this host":           {func(_ *Owner, l *link) { l.host.Local = true }, false},
		"silent":              {func(_ *Owner, l *link) { l.lastResponseAt = now - 2*relayTimeout }, false},
		"just linked":         {func(_ *Owner, l *link) { l.openedAt = now - provenRelay/2 }, false},
		"takeover incomplete": {func(o *Owner, _ *link) { o.takenOver = false }, false},
		"new owner":           {func(o *Owner, _ *link) { o.startedAt = now - minOwnership/2 }, false},
	} {
		o := NewOwner(Config{Host: "weak", Store: kvtest.NewStore(), Log: eventlog.Discard(), Scope: tally.NoopScope}, confirmedOwnership(t))
		o.takenOver, o.startedAt = true, now-time.Minute
		l := &link{host: RelayHost{Name: "strong", Cores: strong}, openedAt: now - time.Minute, lastResponseAt: now}
		o.links["strong"] = l
		c.change(o, l)
		if _, found := o.StrongerHost(weak); found != c.want {
			t.Errorf("%s: found %v, want %v", name, found, c.want)
		}
	}
}

// confirmedOwnership returns an ownership that the store has just confirmed.
func confirmedOwnership(t *testing.T) *term.Ownership {
	t.Helper()
	view := term.NewView(eventlog.Discard())
	view.Reset(nil)
	candidate := term.NewCandidate(term.Config{
		Store: kvtest.NewStore(), Self: term.Record{Host: "weak", Incarnation: "1", Address: "weak:1"}, Cores: 1,
		Log: eventlog.Discard(),
	}, view)
	ownership, err := candidate.Acquire(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return ownership
}
