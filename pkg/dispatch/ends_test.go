package dispatch

import (
	"testing"
	"time"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/core/workload"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/relay"
)

// endsOf returns results with the report of a worker process, polled at a time, which lists ends of tasks of a job with the
// given numbers.
func endsOf(incarnation int64, polledAt time.Duration, numbers ...int64) relay.Results {
	report := schedule.Report{Incarnation: incarnation, SentAt: polledAt, ReceivedAt: polledAt}
	for _, n := range numbers {
		report.Ended = append(report.Ended, schedule.Ended{
			Number: n, Task: workload.TaskID{Job: "job", Index: int(n) - 1}, Attempt: 1, Kind: schedule.EndDone,
		})
	}
	return relay.Results{Now: bootclock.Uptime(), Reports: []relay.WorkerReport{{Worker: testWorker, Report: report}}}
}

// Scenario: the report of a worker's next process is converted to an earlier time than the last one of its former process,
// because the call that returned it took longer, and is ignored. Guards against acknowledging the ends of the next process
// by the numbers of the former one: they have not been applied, and a task that was done would start again.
func TestIgnoredReportOfNextProcessAcknowledgesNothing(t *testing.T) {
	o, l, _ := measuredOwner(t)
	now := bootclock.Uptime()
	l.applyResults(now, now, endsOf(1, now, 1, 2, 3))
	l.applyResults(now, now, endsOf(2, now-time.Second, 1))
	for _, end := range o.takeBatch().ends {
		if end.Incarnation == 2 {
			t.Errorf("acknowledges ends of the next process up to %d, of which none was applied", end.Number)
		}
	}
	l.applyResults(now, now, endsOf(2, now+time.Second, 1))
	ends := o.takeBatch().ends
	if len(ends) != 1 || ends[0] != (relay.StoredEnd{Worker: testWorker, Incarnation: 2, Number: 1}) {
		t.Errorf("acknowledges %v, want the one end of the next process", ends)
	}
}

// Guards against taking the leases of a worker for expired while reports of it may wait in its relay: the relay did not return
// all of them, or has not returned anything yet.
func TestRelayIsCollectedUpToItsLastCompleteResults(t *testing.T) {
	o, l, _ := measuredOwner(t)
	now := bootclock.Now()
	check := func(when string, want time.Duration) {
		t.Helper()
		if got := o.collectedUpTo(now, testWorker); got != want {
			t.Errorf("%s: collected up to %v, want %v", when, got, want)
		}
	}
	check("before the first results", 0)
	sent := now.Boot - time.Minute
	l.applyResults(sent, now.Boot, relay.Results{Now: now.Boot, Uncollected: 1})
	check("after incomplete results", 0)
	l.applyResults(sent, now.Boot, relay.Results{Now: now.Boot})
	check("after complete results", sent)
	l.applyResults(now.Boot, now.Boot, relay.Results{Now: now.Boot, Uncollected: 1})
	check("after further incomplete results", sent)
	delete(o.linkOf, testWorker)
	check("without a relay", now.Boot)
}
