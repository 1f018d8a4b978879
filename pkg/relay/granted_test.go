package relay

import (
	"testing"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
)

// failedReport collects until the relay reports that a poll has failed.
func failedReport(t *testing.T, r *Relay, leaseUntil time.Duration) WorkerReport {
	t.Helper()
	for {
		results, err := r.Collect(t.Context(), 1, leaseUntil, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		for _, report := range results.Reports {
			if report.Failed != "" {
				return report
			}
		}
	}
}

// Guards against a failed poll that tells the owner a time before the latest lease was granted: the owner would count the lease as
// expired while the worker still runs its tasks. A poll that names no lease end, and one after the failure, does not move the time.
func TestFailedPollTellsWhenTheLatestLeaseWasGranted(t *testing.T) {
	f := &fakeWorkers{reply: func(n int, _ PollRequest) (PollReply, error) {
		if n >= 3 {
			return PollReply{}, errors.New("no answer")
		}
		return PollReply{ClockMs: 1000, Report: schedule.Report{Incarnation: 1}}, nil
	}}
	r := startRelay(t, f)
	started := bootclock.Uptime()
	if err := r.Update(assign(1, started+time.Hour)); err != nil {
		t.Fatal(err)
	}
	first := failedReport(t, r, started+time.Hour)
	if req := f.waitForPoll(t, 3); req.LeaseToMs == 0 {
		t.Fatal("the poll that failed names no lease end")
	}
	failedAt := first.Report.ReceivedAt
	if granted := first.GrantedAt(); granted < started || granted > failedAt {
		t.Fatalf("granted at %v, want a time from %v to %v", granted, started, failedAt)
	}
	if again := failedReport(t, r, started+time.Hour).GrantedAt(); again != first.GrantedAt() {
		t.Errorf("granted at %v after a poll without a lease end, want still %v", again, first.GrantedAt())
	}
}

// Guards against a lease that begins with the owner's permission and counts from the poll: the owner would wait for longer than the
// lease lasts.
func TestLeaseAfterThePermissionBeginsWithItsEnd(t *testing.T) {
	f := &fakeWorkers{reply: func(n int, _ PollRequest) (PollReply, error) {
		if n >= 3 {
			return PollReply{}, errors.New("no answer")
		}
		return PollReply{ClockMs: 1000, Report: schedule.Report{Incarnation: 1}}, nil
	}}
	r := startRelay(t, f)
	permitted := bootclock.Uptime() - time.Second
	if err := r.Update(assign(1, permitted)); err != nil {
		t.Fatal(err)
	}
	if granted := failedReport(t, r, permitted).GrantedAt(); granted != permitted {
		t.Errorf("granted at %v, want the end of the permission, %v", granted, permitted)
	}
}
