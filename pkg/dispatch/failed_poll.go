package dispatch

import (
	"time"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/relay"
)

// relayClockOffset bounds what has to be added to a reading of a relay's boot clock for the same instant on this host's.
type relayClockOffset struct {
	earliest time.Duration // as if the relay had read its clock when its results were requested
	latest   time.Duration // as if it had when they arrived
}

// applyFailedPoll applies the result of a poll that a worker has not answered. Owner.mu is held.
func (l *link) applyFailedPoll(s *schedule.Scheduler, now schedule.Time, report relay.WorkerReport, offset relayClockOffset) {
	o, id := l.owner, report.Worker
	if report.PollFenced() {
		s.PollFenced(now, id)
	}
	if report.ConnectionBroken() {
		s.ConnectionBroken(now, id)
	}
	granted := schedule.Grant{Lease: l.taskLease}
	if at := report.GrantedAt(); at > 0 {
		granted.At = at + offset.latest
	}
	s.PollFailed(now, id, granted)
	o.polls.failed(now.Boot, id, report.Failed)
	if !o.unreachable[id] {
		o.unreachable[id] = true
		o.logUnreachable(s, now, report, granted)
	}
}

// logUnreachable logs that a worker does not answer, and what is known about its leases. o.mu is held.
func (o *Owner) logUnreachable(s *schedule.Scheduler, now schedule.Time, report relay.WorkerReport, granted schedule.Grant) {
	entry := o.cfg.Log.Event(eventlog.WorkerUnreachable).Str("worker", string(report.Worker)).Str("reason", report.Failed)
	if end, bounded := s.LeasesEnd(report.Worker); bounded {
		entry = entry.Int64("expires_in", ms(end-now.Boot))
	}
	if granted.At > 0 {
		entry = entry.Int64("granted", ms(now.Boot-granted.At))
	}
	entry.Msg("")
}
