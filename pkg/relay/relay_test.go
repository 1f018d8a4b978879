package relay

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/test/poll"
)

// fakeWorkers records polls and answers them with a function that the test provides.
type fakeWorkers struct {
	mu    sync.Mutex
	polls []PollRequest
	sent  []Command
	reply func(n int, req PollRequest) (PollReply, error) // n is the number of the poll, from 1
}

func (f *fakeWorkers) Poll(_ context.Context, req PollRequest) (PollReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polls = append(f.polls, req)
	return f.reply(len(f.polls), req)
}

func (f *fakeWorkers) Send(_ context.Context, command Command) (schedule.Outcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent = append(f.sent, command)
	return schedule.Accepted, nil
}

// waitForPoll waits for the n-th poll, counted from 1, and returns it.
func (f *fakeWorkers) waitForPoll(t *testing.T, n int) PollRequest {
	t.Helper()
	var req PollRequest
	poll.Until(t, "the poll is made", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		if len(f.polls) >= n {
			req = f.polls[n-1]
		}
		return len(f.polls) >= n
	})
	return req
}

// addReport adds the result of a poll.
func (r *Relay) addReport(term int64, report WorkerReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addReportLocked(term, report)
}

func startRelay(t *testing.T, f *fakeWorkers) *Relay {
	r := New(Config{Workers: f, TaskLease: 6 * time.Second, Scope: tally.NoopScope})
	t.Cleanup(r.Close)
	return r
}

// assign returns the first update of an owner.
func assign(term int64, leaseUntil time.Duration) Update {
	return Update{Term: term, LeaseUntil: leaseUntil, Reset: true, Assign: []Assignment{{Worker: schedule.WorkerInfo{ID: "w"}}}}
}

// Guards against extending leases without the owner's permission, or on a worker that did not answer its last poll: the
// time of their expiry would be unknown.
func TestLeasesNeedPermissionAndAnAnswer(t *testing.T) {
	f := &fakeWorkers{reply: func(n int, _ PollRequest) (PollReply, error) {
		if n == 2 {
			return PollReply{}, errors.New("no answer")
		}
		return PollReply{ClockMs: 1000, Report: schedule.Report{Incarnation: 1}}, nil
	}}
	r := startRelay(t, f)
	if err := r.Update(assign(1, bootclock.Uptime()+time.Hour)); err != nil {
		t.Fatal(err)
	}
	if req := f.waitForPoll(t, 1); req.LeaseToMs != 0 {
		t.Error("lease extended before the first reply")
	}
	if req := f.waitForPoll(t, 2); req.LeaseToMs < 6000 {
		t.Errorf("lease extended to %d ms on the worker's clock, want at least 6000", req.LeaseToMs)
	}
	if req := f.waitForPoll(t, 3); req.LeaseToMs != 0 {
		t.Error("lease extended after an unanswered poll")
	}
	expired := startRelay(t, f)
	if err := expired.Update(assign(1, bootclock.Uptime()-7*time.Second)); err != nil {
		t.Fatal(err)
	}
	f.mu.Lock()
	made := len(f.polls)
	f.mu.Unlock()
	f.waitForPoll(t, made+3)
	r.Close()
	expired.mu.Lock()
	defer expired.mu.Unlock()
	if _, ok := expired.sessions["w"].grant(); ok {
		t.Error("lease granted after the permission has ended")
	}
}

// Scenario: the process or its machine is paused for seconds after an order has arrived. Guards against a start that the
// worker gets after the owner has counted it as unanswered: the worker may be draining by then, or a later process of it may
// have taken its place, which knows neither the task nor the stop that the owner has sent. Stops are sent all the same.
func TestStartIsNotSentAfterAPause(t *testing.T) {
	f := &fakeWorkers{reply: func(int, PollRequest) (PollReply, error) { return PollReply{ClockMs: 1000}, nil }}
	r := startRelay(t, f)
	if err := r.Update(assign(1, bootclock.Uptime()+time.Hour)); err != nil {
		t.Fatal(err)
	}
	f.waitForPoll(t, 2) // the worker has answered once, so that leases can be granted
	paused := bootclock.Uptime() - startExpiry
	r.send(1, schedule.Order{Kind: schedule.OrderStart, Worker: "w"}, paused)
	r.send(1, schedule.Order{Kind: schedule.OrderStop, Worker: "w"}, paused)
	r.send(1, schedule.Order{Kind: schedule.OrderStart, Worker: "w", Attempt: 2}, bootclock.Uptime())
	f.mu.Lock()
	sent := f.sent
	f.mu.Unlock()
	if len(sent) != 2 || sent[0].Order.Kind != schedule.OrderStop || sent[1].Order.Attempt != 2 {
		t.Errorf("sent %+v, want the stop and the second start only", sent)
	}
	r.mu.Lock()
	outcomes := r.results.Outcomes
	r.mu.Unlock()
	if outcomes[0].Outcome != schedule.NotRun {
		t.Errorf("outcome of the late start is %v, want %v", outcomes[0].Outcome, schedule.NotRun)
	}
	if before := sent[1].SendBefore; before < bootclock.Uptime() || before > bootclock.Uptime()+startExpiry {
		t.Errorf("the start has to be sent before %v, now is %v", before, bootclock.Uptime())
	}
}

// Guards against acknowledging task ends of a new worker incarnation with the numbers of the old one: the worker would
// drop ends that were never reported.
func TestNewIncarnationKeepsItsEnds(t *testing.T) {
	f := &fakeWorkers{reply: func(n int, _ PollRequest) (PollReply, error) {
		report := schedule.Report{Incarnation: 1, Ended: []schedule.Ended{{Number: 57}}}
		if n > 2 {
			report = schedule.Report{Incarnation: 2, Ended: []schedule.Ended{{Number: 1}}}
		}
		return PollReply{ClockMs: int64(n), Report: report}, nil
	}}
	r := startRelay(t, f)
	if err := r.Update(assign(1, 0)); err != nil {
		t.Fatal(err)
	}
	f.waitForPoll(t, 1)
	for range 3 {
		if err := r.Update(Update{Term: 1, Stored: []StoredEnd{{Worker: "w", Incarnation: 1, Number: 57}}}); err != nil {
			t.Fatal(err)
		}
	}
	f.waitForPoll(t, 6)
	f.mu.Lock()
	defer f.mu.Unlock()
	for n, req := range f.polls[3:] {
		if req.AckedEnd != 0 {
			t.Fatalf("poll %d acknowledges end %d of the new incarnation", n+4, req.AckedEnd)
		}
	}
}

// Guards against a former owner that continues to send orders through a relay.
func TestFormerOwnerIsRefused(t *testing.T) {
	r := startRelay(t, &fakeWorkers{reply: func(int, PollRequest) (PollReply, error) { return PollReply{}, nil }})
	if err := r.Update(Update{Term: 2}); err != nil {
		t.Fatal(err)
	}
	if err := r.Update(Update{Term: 1}); !errors.Is(err, ErrStaleTerm) {
		t.Errorf("update of term 1: %v", err)
	}
	if _, err := r.Collect(context.Background(), 1, 0, 0); !errors.Is(err, ErrStaleTerm) {
		t.Errorf("results for term 1: %v", err)
	}
}

// Guards against a relay that polls no workers after it had stopped serving an owner and the owner calls again in the
// same term: the owner would consider the relay healthy.
func TestOwnerReturnsToAnAbandonedRelay(t *testing.T) {
	f := &fakeWorkers{reply: func(int, PollRequest) (PollReply, error) {
		return PollReply{ClockMs: 1, Report: schedule.Report{Incarnation: 1}}, nil
	}}
	r := startRelay(t, f)
	if err := r.Update(assign(1, 0)); err != nil {
		t.Fatal(err)
	}
	f.waitForPoll(t, 1)
	r.mu.Lock()
	r.lastCall -= ownerTimeout
	abandoned := r.stopIfAbandoned(1)
	r.mu.Unlock()
	if !abandoned {
		t.Fatal("the relay continues without its owner")
	}
	f.mu.Lock()
	made := len(f.polls)
	f.mu.Unlock()
	if _, err := r.Collect(context.Background(), 1, 0, 0); !errors.Is(err, ErrNoAssignment) {
		t.Fatalf("collect after the relay dropped its workers: error %v, want ErrNoAssignment", err)
	}
	if err := r.Update(assign(1, 0)); err != nil {
		t.Fatal(err)
	}
	f.waitForPoll(t, made+2)
	if _, err := r.Collect(context.Background(), 1, 0, 0); err != nil {
		t.Fatal(err)
	}
}

// Guards against a release of the relay that arrives late: it ends the polls that a newer link of the same owner has
// requested, and Collect has to report that to the owner.
func TestCollectReportsThatWorkersWereReleased(t *testing.T) {
	f := &fakeWorkers{reply: func(int, PollRequest) (PollReply, error) { return PollReply{ClockMs: 1}, nil }}
	r := startRelay(t, f)
	if err := r.Update(assign(1, 0)); err != nil {
		t.Fatal(err)
	}
	if err := r.Update(Update{Term: 1, Reset: true}); err != nil {
		t.Fatal(err)
	}
	if _, err := r.Collect(context.Background(), 1, 0, 0); !errors.Is(err, ErrNoAssignment) {
		t.Fatalf("collect after the workers were released: error %v, want ErrNoAssignment", err)
	}
}

// Guards against a data race between a poll that fails and an update that changes the assignment of its worker; the race
// detector reports it.
func TestPollsFailWhileAssignmentsChange(t *testing.T) {
	const workers = 300
	f := &fakeWorkers{reply: func(int, PollRequest) (PollReply, error) { return PollReply{}, errors.New("no answer") }}
	r := startRelay(t, f)
	update := Update{Term: 1, Reset: true}
	for n := range workers {
		info := schedule.WorkerInfo{ID: schedule.WorkerID(fmt.Sprint("w", n))}
		update.Assign = append(update.Assign, Assignment{Worker: info})
	}
	polls := func() int {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.polls)
	}
	for polls() < 4*workers {
		if err := r.Update(update); err != nil {
			t.Fatal(err)
		}
	}
}

// Scenario: many workers report at different moments, and nothing has ended. Guards against a response to the owner for
// each report: most reports can wait for others.
func TestReportsWithoutEndsAreCollectedTogether(t *testing.T) {
	r := startRelay(t, &fakeWorkers{reply: func(int, PollRequest) (PollReply, error) { return PollReply{}, nil }})
	if err := r.Update(Update{Term: 1}); err != nil {
		t.Fatal(err)
	}
	r.mu.Lock()
	r.assigned = true
	r.mu.Unlock()
	const reports = 40
	go func() {
		for n := range reports {
			r.addReport(1, WorkerReport{Worker: schedule.WorkerID(fmt.Sprint("w", n))})
			time.Sleep(time.Millisecond)
		}
	}()
	collected, calls := 0, 0
	for collected < reports {
		results, err := r.Collect(t.Context(), 1, 0, time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		collected, calls = collected+len(results.Reports), calls+1
	}
	if calls > reports/4 {
		t.Errorf("%d calls for %d reports", calls, reports)
	}
	r.addReport(1, WorkerReport{Worker: "w", Report: schedule.Report{Ended: []schedule.Ended{{Number: 1}}}})
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ready) == 0 {
		t.Error("an end waits for further reports")
	}
}

// Guards against reports whose wait in the relay cannot be told: neither the time of their receipt nor the number of those
// that one Collect leaves behind.
func TestResultsTellWhatWaitsInTheRelay(t *testing.T) {
	f := &fakeWorkers{reply: func(int, PollRequest) (PollReply, error) { return PollReply{}, errors.New("no answer") }}
	r := startRelay(t, f)
	if err := r.Update(Update{Term: 1, Reset: true, Assign: []Assignment{{Worker: schedule.WorkerInfo{ID: "w"}}}}); err != nil {
		t.Fatal(err)
	}
	before := bootclock.Uptime()
	for n := range maxReports + 30 {
		r.addReport(1, WorkerReport{Worker: schedule.WorkerID(fmt.Sprint("other", n))})
	}
	r.send(1, schedule.Order{Kind: schedule.OrderStop, Worker: "w"}, bootclock.Uptime())
	results, err := r.Collect(context.Background(), 1, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	if results.Uncollected < 30 {
		t.Errorf("%d reports left behind, want 30", results.Uncollected)
	}
	if at := results.Reports[0].Report.ReceivedAt; at < before-time.Second || at > results.Now {
		t.Errorf("received at %v, collected at %v", at, results.Now)
	}
	if took := results.Outcomes[0].Took; took < 0 || took > orderTimeout {
		t.Errorf("an order that is answered at once took %v", took)
	}
}

// Scenario: an update times out at the owner, which sends later ones; it arrives after them. Guards against a list of workers that
// leaves out those assigned since, so that they are polled by nobody although the owner has assigned them, and against orders that
// the owner has counted as unanswered.
func TestUpdateThatArrivesAfterLaterOnesIsRejected(t *testing.T) {
	f := &fakeWorkers{reply: func(int, PollRequest) (PollReply, error) { return PollReply{ClockMs: 1000}, nil }}
	r := startRelay(t, f)
	later := assign(1, bootclock.Uptime()+time.Hour)
	later.Sequence = 2
	if err := r.Update(later); err != nil {
		t.Fatal(err)
	}
	f.waitForPoll(t, 2)
	late := Update{Term: 1, Sequence: 1, Reset: true, Orders: []schedule.Order{{Kind: schedule.OrderStop, Worker: "w"}}}
	if err := r.Update(late); !errors.Is(err, ErrOutdated) {
		t.Errorf("the late update returns %v", err)
	}
	f.mu.Lock()
	made := len(f.polls)
	f.mu.Unlock()
	f.waitForPoll(t, made+2)
	next := Update{Term: 2, Sequence: 1, Reset: true}
	if err := r.Update(next); err != nil {
		t.Errorf("the first update of the next owner returns %v", err)
	}
	r.Close()
	if len(f.sent) > 0 {
		t.Errorf("orders of the late update were sent: %+v", f.sent)
	}
}
