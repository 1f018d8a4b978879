package dispatch

import (
	"testing"
	"time"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/core/workload"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/relay"
)

// polled returns results of a relay that reads its clock at a time, with a report on a poll that was sent before.
func polled(relayNow, sentBefore time.Duration, report schedule.Report) relay.Results {
	report.Incarnation, report.SentAt = 1, relayNow-sentBefore
	return relay.Results{Now: relayNow, Reports: []relay.WorkerReport{{Worker: testWorker, Report: report}}}
}

// endOf returns a report of one task end.
func endOf(number int64) schedule.Report {
	return schedule.Report{Ended: []schedule.Ended{{
		Number: number, Task: workload.TaskID{Job: "job"}, Attempt: number, Kind: schedule.EndDone,
	}}}
}

// Scenario: a worker ends two tasks shortly after each other, and the relay holds the second Collect call open until it
// has the second end. Guards against the second report being taken for older than the first: how long a call was held
// open says nothing about the order of the polls, and the end would be applied only after a further poll.
func TestReportOfALongCollectCallIsNotTakenForOutdated(t *testing.T) {
	o, l, _ := measuredOwner(t)
	sent := bootclock.Uptime()
	relayNow := sent + 9*time.Hour
	l.applyResults(sent, sent, polled(relayNow+5*time.Millisecond, 15*time.Millisecond, endOf(1)))
	sent += 10 * time.Millisecond
	l.applyResults(sent, sent, polled(relayNow+215*time.Millisecond, 115*time.Millisecond, endOf(2)))
	if applied := o.ends[testWorker].applied; applied != 2 {
		t.Errorf("ends up to %d are applied, want 2", applied)
	}
}

// Scenario: the answers to two polls of a worker overtake each other, and the one that was sent first arrives with a
// later Collect call, which was answered at once. Guards against a report that replaces a newer one: tasks that have ended
// would count as running again.
func TestOvertakenReportIsNotAppliedAfterALongCollectCall(t *testing.T) {
	_, l, _ := measuredOwner(t)
	sent := bootclock.Uptime()
	relayNow := sent + 9*time.Hour
	l.applyResults(sent, sent, polled(relayNow+200*time.Millisecond, 50*time.Millisecond, endOf(1)))
	sent += 205 * time.Millisecond
	l.applyResults(sent, sent, polled(relayNow+206*time.Millisecond, 106*time.Millisecond, schedule.Report{
		Running: []schedule.Running{{Task: workload.TaskID{Job: "job"}, Attempt: 1}},
	}))
	if len(l.orders) > 0 {
		t.Errorf("the outdated report led to orders: %+v", l.orders)
	}
}

// Scenario: the host of a relay reboots, which sets its boot clock back. Guards against reports that are ignored until
// that clock has passed its former readings.
func TestReportsOfARebootedRelayAreApplied(t *testing.T) {
	o, l, _ := measuredOwner(t)
	sent := bootclock.Uptime()
	l.applyResults(sent, sent, polled(sent+9*time.Hour, time.Second, endOf(1)))
	if lost := l.collectFailed(relay.ErrNoAssignment); lost {
		t.Fatal("the link ends")
	}
	sent += time.Second
	l.applyResults(sent, sent, polled(time.Minute, 10*time.Millisecond, endOf(2)))
	if applied := o.ends[testWorker].applied; applied != 2 {
		t.Errorf("ends up to %d are applied, want 2", applied)
	}
}
