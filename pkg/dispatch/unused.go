package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/relay"
)

const (
	// maxUseLines is the maximum number of workers that are logged with one status because they are not used, or used again.
	maxUseLines = 8
	// unusedLogInterval is the time after which a worker that is not used for the same reason is logged again.
	unusedLogInterval = 10 * time.Second
)

// pollRecord is what the owner knows of the polls of a worker beside its reports.
type pollRecord struct {
	address  string        // that was last sent to a relay; empty before
	failure  string        // text of the latest failed poll, see eventlog.Truncate
	failedAt time.Duration // boot time at which the owner received it; 0 if none has failed
}

// pollRecords holds the polls of the workers that the scheduler knows.
type pollRecords map[schedule.WorkerID]pollRecord

// assigned records the addresses that are sent to a relay.
func (p pollRecords) assigned(assignments []relay.Assignment) {
	for _, a := range assignments {
		record := p[a.Worker.ID]
		record.address = a.Worker.Address
		p[a.Worker.ID] = record
	}
}

// failed records a failed poll.
func (p pollRecords) failed(now time.Duration, id schedule.WorkerID, text string) {
	p[id] = pollRecord{address: p[id].address, failure: eventlog.Truncate(text), failedAt: now}
}

// useLine is a line about a worker that is listed as sound: it is not used, or used again.
type useLine struct {
	schedule.UnusedWorker
	again  bool
	relay  string // that polls the worker; empty if none does
	poll   pollRecord
	failed time.Duration // since the latest failed poll; only with poll.failedAt
}

// useLines returns the lines of a status about workers that are not used, and drops what is known of workers that have left.
// o.mu is held.
func (o *Owner) useLines(now schedule.Time, unused []schedule.UnusedWorker) []useLine {
	maps.DeleteFunc(o.polls, func(id schedule.WorkerID, _ pollRecord) bool {
		_, known := o.scheduler.Worker(id)
		return !known
	})
	chosen, again := o.unusedLog.choose(now.Boot, unused, func(id schedule.WorkerID) schedule.Use { return o.scheduler.Use(now, id) })
	lines := make([]useLine, 0, len(chosen)+len(again))
	for _, w := range chosen {
		line := useLine{UnusedWorker: w, poll: o.polls[w.Info.ID]}
		line.failed = now.Boot - line.poll.failedAt
		if l, assigned := o.linkOf[w.Info.ID]; assigned {
			line.relay = l.host.Name
		}
		lines = append(lines, line)
	}
	for _, w := range again {
		lines = append(lines, useLine{UnusedWorker: w, again: true})
	}
	return lines
}

// unusedEntry is what was last logged about a worker that is not used.
type unusedEntry struct {
	reason schedule.WaitReason
	at     time.Duration // boot time of the line
	since  time.Duration // boot time since which it was not used
	usedAt time.Duration // boot time at which it was first seen to be used again; 0 until then
}

// unusedLog selects which workers are logged because they are not used. Owner.mu guards it. It has an entry for each worker
// that was logged and is listed as sound, until it is logged as used again.
type unusedLog struct {
	logged map[schedule.WorkerID]unusedEntry
}

// choose returns the workers to log as not used, and those to log as used again with Reason, Since and Unused of their time without
// use. unused is sorted by that time. Of unused workers the first one of each reason comes first, then the one whose last line is
// oldest. Workers that are used again get half of the lines, or what the others leave.
func (l *unusedLog) choose(now time.Duration, unused []schedule.UnusedWorker, use func(schedule.WorkerID) schedule.Use,
) (chosen, again []schedule.UnusedWorker) {
	if l.logged == nil {
		l.logged = map[schedule.WorkerID]unusedEntry{}
	}
	due := l.due(now, unused)
	again = l.usedAgain(now, unused, use, max(maxUseLines-len(due), maxUseLines/2))
	chosen = due[:min(len(due), maxUseLines-len(again))]
	for _, w := range chosen {
		l.logged[w.Info.ID] = unusedEntry{reason: w.Reason, at: now, since: w.Since}
	}
	return chosen, again
}

// due returns the workers that may be logged as not used, in the order of their lines.
func (l *unusedLog) due(now time.Duration, unused []schedule.UnusedWorker) []schedule.UnusedWorker {
	seen := map[schedule.WaitReason]bool{}
	var due []schedule.UnusedWorker
	for _, w := range unused {
		if entry, logged := l.logged[w.Info.ID]; logged && entry.reason == w.Reason && now-entry.at < unusedLogInterval {
			seen[w.Reason] = true
			continue
		}
		due = append(due, w)
	}
	slices.SortStableFunc(due, func(a, b schedule.UnusedWorker) int {
		return cmp.Compare(l.logged[a.Info.ID].at, l.logged[b.Info.ID].at)
	})
	var first, next []schedule.UnusedWorker
	for _, w := range due {
		if seen[w.Reason] {
			next = append(next, w)
			continue
		}
		seen[w.Reason] = true
		first = append(first, w)
	}
	return append(first, next...)
}

// usedAgain returns up to limit workers that were logged and are used again, and drops their entries and those of workers that
// are not listed as sound any more.
func (l *unusedLog) usedAgain(now time.Duration, unused []schedule.UnusedWorker, use func(schedule.WorkerID) schedule.Use, limit int,
) []schedule.UnusedWorker {
	for _, w := range unused {
		if entry, logged := l.logged[w.Info.ID]; logged && entry.usedAt > 0 {
			entry.since, entry.usedAt = w.Since, 0
			l.logged[w.Info.ID] = entry
		}
	}
	var again []schedule.UnusedWorker
	for _, id := range slices.Sorted(maps.Keys(l.logged)) {
		entry := l.logged[id]
		switch use(id) {
		case schedule.NotSound:
			delete(l.logged, id)
		case schedule.Used:
			if entry.usedAt == 0 {
				entry.usedAt = now
				l.logged[id] = entry
			}
			if len(again) < limit {
				again = append(again, schedule.UnusedWorker{Info: schedule.WorkerInfo{ID: id}, Reason: entry.reason,
					Since: entry.since, Unused: entry.usedAt - entry.since})
				delete(l.logged, id)
			}
		}
	}
	return again
}

// log writes the line. Durations are in milliseconds.
func (u *useLine) log(l *eventlog.Logger, term int64, listAge time.Duration) {
	if u.again {
		l.Event(eventlog.WorkerUsedAgain).Int64("term", term).Str("worker", string(u.Info.ID)).
			Str("reason", u.Reason.String()).Int64("unused", ms(u.Unused)).Msg("")
		return
	}
	entry := l.Event(eventlog.WorkerNotUsed).Int64("term", term).Str("worker", string(u.Info.ID)).
		Str("reason", u.Reason.String()).Int64("unused", ms(u.Unused)).Int64("list_age", ms(listAge)).
		Str("datacentre", string(u.Info.Datacentre)).Bool("awaited", u.Awaited).
		Int64("listed_start", u.Info.StartedMs).Int64("reported_start", u.ReportedStartMs).
		Str("listed_address", eventlog.Truncate(u.Info.Address))
	for _, field := range []struct{ name, value string }{
		{"reported_address", eventlog.Truncate(u.ReportedAddress)}, {"assigned_address", eventlog.Truncate(u.poll.address)},
		{"relay", u.relay}, {"failure", u.poll.failure}, {"replaced_by", string(u.ReplacedBy)},
	} {
		if field.value != "" {
			entry = entry.Str(field.name, field.value)
		}
	}
	if u.SilentFor != schedule.NotReported {
		entry = entry.Int64("answered", ms(u.SilentFor))
	}
	if u.poll.failedAt > 0 {
		entry = entry.Int64("failed", ms(u.failed))
	}
	entry.Msg("")
}

// unusedMetrics publish how many workers are listed as sound and not used, by reason.
type unusedMetrics struct {
	workers map[schedule.WaitReason]tally.Gauge
	longest tally.Gauge
}

func newUnusedMetrics(scope tally.Scope) unusedMetrics {
	m := unusedMetrics{workers: map[schedule.WaitReason]tally.Gauge{}, longest: scope.Gauge("worker_not_used_max_seconds")}
	for _, r := range schedule.UnusedReasons() {
		m.workers[r] = scope.Tagged(map[string]string{"reason": r.String()}).Gauge("workers_not_used")
	}
	return m
}

func (m *unusedMetrics) publish(u *schedule.UnusedWorkers) {
	for r, gauge := range m.workers {
		gauge.Update(float64(u.ByReason[r]))
	}
	m.longest.Update(u.Longest.Seconds())
}
