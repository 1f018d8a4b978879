package relay

import (
	"testing"
	"time"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
)

// withholding returns an assignment update for the worker of these tests.
func withholding(withhold, reset bool) Update {
	return Update{Term: 1, LeaseUntil: bootclock.Uptime() + time.Hour, Reset: reset,
		Assign: []Assignment{{Worker: schedule.WorkerInfo{ID: "w"}, WithholdLeases: withhold}}}
}

// Scenario: the owner has the leases of a worker withheld, and the worker answers. Guards against a poll or a start that extends its
// leases all the same: the owner has stored that none does, and a later one would start its tasks a second time. Stops are sent.
// Once the owner takes the withholding back, leases are granted again; a session that was released grants none.
func TestWithheldLeasesAreNotGranted(t *testing.T) {
	f := &fakeWorkers{reply: func(int, PollRequest) (PollReply, error) {
		return PollReply{ClockMs: 1000, Report: schedule.Report{Incarnation: 1}}, nil
	}}
	r := startRelay(t, f)
	granted := func(s *session) bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		_, ok := s.grant()
		return ok
	}
	update := func(u Update) *session {
		t.Helper()
		if err := r.Update(u); err != nil {
			t.Fatal(err)
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.sessions["w"]
	}
	s := update(withholding(true, true))
	for n := range 4 {
		if req := f.waitForPoll(t, n+1); req.LeaseToMs != 0 {
			t.Fatal("a poll extends withheld leases")
		}
	}
	r.send(1, schedule.Order{Kind: schedule.OrderStart, Worker: "w"}, bootclock.Uptime())
	r.send(1, schedule.Order{Kind: schedule.OrderStop, Worker: "w"}, bootclock.Uptime())
	f.mu.Lock()
	if len(f.sent) != 1 || f.sent[0].Order.Kind != schedule.OrderStop {
		t.Errorf("orders sent while leases are withheld: %+v", f.sent)
	}
	f.mu.Unlock()
	if update(withholding(false, false)) != s || !granted(s) {
		t.Error("no lease is granted after the withholding")
	}
	if update(withholding(true, true)) != s || granted(s) {
		t.Error("a lease is granted after the owner has withheld them again")
	}
	update(withholding(false, false))
	if err := r.Update(Update{Term: 1, Release: []schedule.WorkerID{"w"}}); err != nil {
		t.Fatal(err)
	}
	if granted(s) {
		t.Error("a session that was released grants a lease")
	}
}

// Scenario: the owner collects the results just after a worker has answered. Guards against a session that grants leases after an answer
// which is not among the results yet: the owner would take the worker for silent and store how long its leases last without the grant.
func TestAnswersAreCollectedBeforeLeasesAreGranted(t *testing.T) {
	f := &fakeWorkers{reply: func(int, PollRequest) (PollReply, error) {
		return PollReply{ClockMs: 1000, Report: schedule.Report{Incarnation: 1}}, nil
	}}
	r := startRelay(t, f)
	for range 2000 {
		s := &session{relay: r, worker: schedule.WorkerInfo{ID: "w"}, changed: make(chan struct{}, 1)}
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.poll(t.Context(), PollRequest{Worker: s.worker})
		}()
		for answered := false; !answered; {
			r.mu.Lock()
			answered = s.lastPollOK
			collected := r.reports.has("w")
			r.mu.Unlock()
			if answered && !collected {
				t.Fatal("leases are granted after an answer that is not among the results")
			}
		}
		<-done
		r.mu.Lock()
		r.reports = pendingReports{}
		r.mu.Unlock()
	}
}

// Guards against an owner that takes the responses of a relay of a former version, which does not know of the withholding, for its
// confirmation.
func TestResultsStateThatLeasesAreWithheld(t *testing.T) {
	r := startRelay(t, &fakeWorkers{reply: func(int, PollRequest) (PollReply, error) { return PollReply{}, nil }})
	if err := r.Update(withholding(true, true)); err != nil {
		t.Fatal(err)
	}
	results, err := r.Collect(t.Context(), 1, 0, time.Second)
	if err != nil || !results.WithholdsLeases {
		t.Errorf("results %+v: %v", results, err)
	}
}
