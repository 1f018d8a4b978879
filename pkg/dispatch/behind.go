package dispatch

import (
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
)

// Bounds of the age of reports when the owner applies them, since their receipt by the relays, that all but 5 % of the
// reports of an interval keep.
const (
	// behindAge is the age above which the owner is behind.
	behindAge = time.Second
	// caughtUpAge is the age below which an owner that was behind has caught up.
	caughtUpAge = 300 * time.Millisecond
)

// lateness tracks whether an owner decides on outdated reports.
type lateness struct {
	behind bool
	since  time.Time
}

// update logs when the owner falls behind and when it has caught up. An interval without reports changes nothing.
func (t *lateness) update(now time.Time, s *status, l *eventlog.Logger, term int64) {
	age := s.receivedAge.percentile(95)
	switch {
	case s.receivedAge.Count == 0:
	case !t.behind && age > behindAge:
		*t = lateness{behind: true, since: now}
		s.logAges(l, eventlog.OwnerBehind, term).Msg("")
	case t.behind && age < caughtUpAge:
		t.behind = false
		s.logAges(l, eventlog.OwnerCaughtUp, term).Int64("behind_for", ms(now.Sub(t.since))).Msg("")
	}
}
