package relay

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/test/poll"
)

// fakeWorkers answers looks as the test says and keeps them.
type fakeWorkers struct {
	mu     sync.Mutex
	looks  []Look
	answer func(n int, look Look) (LookReply, error)
}

func (f *fakeWorkers) Look(_ context.Context, look Look) (LookReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.looks = append(f.looks, look)
	return f.answer(len(f.looks), look)
}

func (f *fakeWorkers) Send(context.Context, Command) (schedule.Outcome, error) {
	return schedule.Accepted, nil
}

// look returns the n-th look, counted from 1, once it was made.
func (f *fakeWorkers) look(t *testing.T, n int) Look {
	t.Helper()
	var look Look
	poll.Until(t, "look is made", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		if len(f.looks) >= n {
			look = f.looks[n-1]
		}
		return len(f.looks) >= n
	})
	return look
}

func startRelay(t *testing.T, f *fakeWorkers) *Relay {
	r := New(Config{Workers: f, TaskLease: 6 * time.Second})
	t.Cleanup(r.Close)
	return r
}

// assign is the first update of an owner.
func assign(term int64, leaseUntil time.Duration) Update {
	return Update{Term: term, LeaseUntil: leaseUntil, Reset: true, Assign: []Assignment{{Worker: schedule.WorkerInfo{ID: "w"}}}}
}

// Guards against leases that are extended without the owner's permission, or on a worker that has not answered its last
// look: nobody could tell when they end.
func TestLeasesNeedPermissionAndAnAnswer(t *testing.T) {
	f := &fakeWorkers{answer: func(n int, _ Look) (LookReply, error) {
		if n == 2 {
			return LookReply{}, errors.New("no answer")
		}
		return LookReply{ClockMs: 1000, Report: schedule.Report{Incarnation: 1}}, nil
	}}
	r := startRelay(t, f)
	if err := r.Update(assign(1, bootclock.Uptime()+time.Hour)); err != nil {
		t.Fatal(err)
	}
	if look := f.look(t, 1); look.LeaseToMs != 0 {
		t.Error("a lease before the first answer")
	}
	if look := f.look(t, 2); look.LeaseToMs < 6000 {
		t.Errorf("lease to %d ms of the worker's clock", look.LeaseToMs)
	}
	if look := f.look(t, 3); look.LeaseToMs != 0 {
		t.Error("a lease after an unanswered look")
	}
	expired := startRelay(t, f)
	if err := expired.Update(assign(1, bootclock.Uptime()-7*time.Second)); err != nil {
		t.Fatal(err)
	}
	f.mu.Lock()
	made := len(f.looks)
	f.mu.Unlock()
	f.look(t, made+3)
	r.Close()
	expired.mu.Lock()
	defer expired.mu.Unlock()
	if _, ok := expired.sessions["w"].grant(); ok {
		t.Error("a lease after the permission has ended")
	}
}

// Guards against ends of a new worker incarnation that are acknowledged with the numbers of the old one: they would be
// forgotten unseen.
func TestNewIncarnationKeepsItsEnds(t *testing.T) {
	f := &fakeWorkers{answer: func(n int, _ Look) (LookReply, error) {
		report := schedule.Report{Incarnation: 1, Ended: []schedule.Ended{{Number: 57}}}
		if n > 2 {
			report = schedule.Report{Incarnation: 2, Ended: []schedule.Ended{{Number: 1}}}
		}
		return LookReply{ClockMs: int64(n), Report: report}, nil
	}}
	r := startRelay(t, f)
	if err := r.Update(assign(1, 0)); err != nil {
		t.Fatal(err)
	}
	f.look(t, 1)
	for range 3 {
		if err := r.Update(Update{Term: 1, Stored: []StoredEnd{{Worker: "w", Incarnation: 1, Number: 57}}}); err != nil {
			t.Fatal(err)
		}
	}
	f.look(t, 6)
	f.mu.Lock()
	defer f.mu.Unlock()
	for n, look := range f.looks[3:] {
		if look.SeenEnd != 0 {
			t.Fatalf("look %d acknowledges end %d of the new incarnation", n+4, look.SeenEnd)
		}
	}
}

// Guards against a former owner that goes on giving orders through a relay.
func TestFormerOwnerIsRefused(t *testing.T) {
	r := startRelay(t, &fakeWorkers{answer: func(int, Look) (LookReply, error) { return LookReply{}, nil }})
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

// Guards against a relay that looks at nothing when an owner comes back to it in the same term, after it had ended the
// work for it: the owner takes it for a relay that works.
func TestOwnerComesBackToAnAbandonedRelay(t *testing.T) {
	f := &fakeWorkers{answer: func(int, Look) (LookReply, error) {
		return LookReply{ClockMs: 1, Report: schedule.Report{Incarnation: 1}}, nil
	}}
	r := startRelay(t, f)
	if err := r.Update(assign(1, 0)); err != nil {
		t.Fatal(err)
	}
	f.look(t, 1)
	r.mu.Lock()
	r.contact -= idleAfter
	abandoned := r.abandoned(1)
	r.mu.Unlock()
	if !abandoned {
		t.Fatal("the relay goes on without its owner")
	}
	f.mu.Lock()
	made := len(f.looks)
	f.mu.Unlock()
	if _, err := r.Collect(context.Background(), 1, 0, 0); !errors.Is(err, ErrNoAssignment) {
		t.Fatalf("the owner is not told that its workers are forgotten: %v", err)
	}
	if err := r.Update(assign(1, 0)); err != nil {
		t.Fatal(err)
	}
	f.look(t, made+2)
	if _, err := r.Collect(context.Background(), 1, 0, 0); err != nil {
		t.Fatal(err)
	}
}

// Guards against a late update by which the owner had left the relay: it ends the looks that a newer link of the same
// owner has asked for, and the owner has to learn that.
func TestOwnerLearnsThatItsWorkersWereReleased(t *testing.T) {
	f := &fakeWorkers{answer: func(int, Look) (LookReply, error) { return LookReply{ClockMs: 1}, nil }}
	r := startRelay(t, f)
	if err := r.Update(assign(1, 0)); err != nil {
		t.Fatal(err)
	}
	if err := r.Update(Update{Term: 1, Reset: true}); err != nil {
		t.Fatal(err)
	}
	if _, err := r.Collect(context.Background(), 1, 0, 0); !errors.Is(err, ErrNoAssignment) {
		t.Fatalf("the owner is not told: %v", err)
	}
}
