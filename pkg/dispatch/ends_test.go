package dispatch

import (
	"encoding/json"
	"testing"
	"time"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/core/workload"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
	"fulmarcourse.example/fulmarcourse/pkg/relay"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
	"fulmarcourse.example/fulmarcourse/test/poll"
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

// Scenario: the submissions are read again, as after the store has dropped its history, and a job whose retention has expired is
// deleted before the response arrives. Guards against adding the job again: all its tasks would run a second time.
func TestDeletedJobIsNotAddedByAnEarlierRead(t *testing.T) {
	store := kvtest.NewStore()
	o := startOwner(t, store, &fakeRelay{})
	job := twoStepJob("job")
	data, err := json.Marshal(job)
	if err != nil {
		t.Fatal(err)
	}
	put := kv.Put{Key: statekeys.Job(0, "job"), Value: data}
	if _, err := store.Commit(t.Context(), kv.Txn{Put: []kv.Put{put}}); err != nil {
		t.Fatal(err)
	}
	o.Announce(job)
	poll.Until(t, "the job is completed", func() bool { return state(o, "job") == workload.StateCompleted })
	read, _, err := kv.List(t.Context(), store, statekeys.Submissions(0))
	if err != nil {
		t.Fatal(err)
	}
	if err := o.deleteJobs(t.Context(), []workload.JobID{"job"}); err != nil {
		t.Fatal(err)
	}
	o.applySubmissions(t.Context(), read)
	if got, known := o.JobState("job"); known {
		t.Errorf("the deleted job is %s", got)
	}
}
