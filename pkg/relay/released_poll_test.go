package relay

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/test/poll"
)

// heldWorkers answers polls at once, but for one, which fails when the test says so.
type heldWorkers struct {
	fakeWorkers
	hold   chan struct{} // receives before the poll that is held
	failed chan struct{} // closed when that poll fails
}

func (w *heldWorkers) Poll(ctx context.Context, req PollRequest) (PollReply, error) {
	select {
	case <-w.hold:
		<-w.failed
		return PollReply{}, errors.New("no answer")
	default:
		return w.fakeWorkers.Poll(ctx, req)
	}
}

// Scenario: an additional poll of a worker is under way when the relay releases the worker, polls it again and grants leases; then the poll
// fails. Guards against a failure that tells the owner of a lease before the latest one, while leases are granted further: the owner would
// count them as expired while the worker runs its tasks.
func TestFailedPollOfAReleasedSessionTellsOfNoFormerLease(t *testing.T) {
	w := &heldWorkers{hold: make(chan struct{}, 1), failed: make(chan struct{})}
	w.reply = func(int, PollRequest) (PollReply, error) {
		time.Sleep(5 * time.Millisecond)
		return PollReply{ClockMs: bootclock.Uptime().Milliseconds(), Report: schedule.Report{Incarnation: 1}}, nil
	}
	r := New(Config{Workers: w, TaskLease: 6 * time.Second, Scope: startRelay(t, &fakeWorkers{}).cfg.Scope})
	t.Cleanup(r.Close)
	permitted := bootclock.Uptime() + time.Hour
	if err := r.Update(assign(1, permitted)); err != nil {
		t.Fatal(err)
	}
	sessionOf := func() *session {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.sessions["w"]
	}
	grantedAt := func(s *session) time.Duration {
		r.mu.Lock()
		defer r.mu.Unlock()
		return s.grantedAt
	}
	former := sessionOf()
	poll.Until(t, "a lease is granted", func() bool { return grantedAt(former) > 0 })
	if err := r.Update(Update{Term: 1, Release: []schedule.WorkerID{"w"}}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond) // its last poll ends
	w.hold <- struct{}{}
	done := make(chan struct{})
	go func() {
		former.poll(r.sessionCtx, PollRequest{Worker: schedule.WorkerInfo{ID: "w"}, Fence: 1}) // as of pollNow, begun before the release
		close(done)
	}()
	poll.Until(t, "the poll is under way", func() bool { return len(w.hold) == 0 })
	if err := r.Update(Update{Term: 1, LeaseUntil: permitted, Assign: assign(1, permitted).Assign}); err != nil {
		t.Fatal(err)
	}
	present := sessionOf()
	poll.Until(t, "the present session grants a lease", func() bool { return grantedAt(present) > 0 })
	close(w.failed)
	<-done
	r.mu.Lock()
	defer r.mu.Unlock()
	if got := r.reports.byWorker["w"]; got != nil && got.failed != nil && got.failed.GrantedAt() < present.grantedAt && present.lastPollOK {
		t.Errorf("the failure tells of a lease %v before the latest one, and further ones are granted", present.grantedAt-got.failed.GrantedAt())
	}
}
