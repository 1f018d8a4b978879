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

// Scenario: a worker whose ends are applied goes to another relay, and its next process has the start of the former one, so that this relay
// takes it for that. The store answers only then. Guards against acknowledging ends of the next process by the numbers of the former
// one: nobody has read them, and tasks that were done would start again.
func TestEndsAreAcknowledgedOnlyToTheRelayThatListsThem(t *testing.T) {
	for name, next := range map[string][]int64{"runs": nil, "has ended tasks": {1, 2}} {
		t.Run(name, func(t *testing.T) {
			o, former, _ := measuredOwner(t)
			former.release, former.leaving = map[schedule.WorkerID]bool{}, map[schedule.WorkerID]bool{}
			now := bootclock.Uptime()
			former.applyResults(now, now, endsOf(1, now, 1, 2, 3))
			writing := o.takeBatch()
			o.mu.Lock()
			o.unassign(testWorker, former)
			l := &link{owner: o, wake: make(chan struct{}, 1), stored: map[schedule.WorkerID]relay.StoredEnd{}}
			o.linkOf[testWorker] = l
			o.mu.Unlock()
			l.applyResults(now, now, endsOf(1, now+time.Second, next...))
			o.acknowledgeBatch(writing)
			if len(l.stored) != 0 {
				t.Errorf("acknowledges %v, which the former relay has listed", l.stored)
			}
			for _, end := range o.takeBatch().ends {
				if end.Number != int64(len(next)) {
					t.Errorf("acknowledges ends up to %d, of which the relay has listed %d", end.Number, len(next))
				}
			}
		})
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
