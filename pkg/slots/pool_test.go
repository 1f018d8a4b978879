package slots

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"go.uber.org/goleak"

	"fulmarcourse.example/core/admission"
	"fulmarcourse.example/core/structs"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// runnerFunc is a Runner made of a function.
type runnerFunc func(ctx context.Context, addr string, a Attempt) (Answer, error)

func (f runnerFunc) Do(ctx context.Context, addr string, a Attempt) (Answer, error) {
	return f(ctx, addr, a)
}

func newTestPool(runners, slots int, do runnerFunc) *Pool {
	p := NewPool(Config{Runner: do, Valid: func() error { return nil }})
	p.SetRunners(hosts(runners, slots))
	return p
}

func hosts(runners, slots int) []structs.Host {
	var list []structs.Host
	for i := range runners {
		list = append(list, structs.Host{
			ID: structs.HostID(fmt.Sprintf("r%d", i)), Role: structs.RoleRunner, State: structs.HostLive,
			Service: "quotes", Slots: slots, Address: fmt.Sprintf("r%d", i),
		})
	}
	return list
}

func request(id string) structs.Request {
	return structs.Request{ID: id, Service: "quotes", Kind: "quote", Remaining: time.Hour, Body: []byte(id)}
}

// start dispatches in the background and returns when the request waits or is on a runner.
func start(p *Pool, ctx context.Context, req structs.Request) <-chan structs.Reply {
	done := make(chan structs.Reply, 1)
	go func() { done <- p.Dispatch(ctx, "attempt-"+req.ID, req) }()
	synctest.Wait()
	return done
}

func free(p *Pool) int   { return p.Digest().FreeSlots["quotes"] }
func queued(p *Pool) int { return p.Digest().Queued["quotes"] }

func want(t *testing.T, reply structs.Reply, outcome structs.Outcome, reason string) {
	t.Helper()
	if reply.Outcome != outcome || reply.Reason != reason {
		t.Fatalf("got %s (%s), want %s (%s)", reply.Outcome, reply.Reason, outcome, reason)
	}
}

// Guards against more requests on a runner than it has slots, and against answers that reach another request.
func TestConcurrentDispatchesStayWithinSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		running := map[string]int{}
		p := newTestPool(3, 2, func(_ context.Context, addr string, a Attempt) (Answer, error) {
			mu.Lock()
			running[addr]++
			over := running[addr] > 2
			mu.Unlock()
			if over {
				t.Errorf("runner %s got more requests than slots", addr)
			}
			<-time.After(time.Duration(len(a.ID)) * time.Millisecond) // lets other requests start
			mu.Lock()
			running[addr]--
			mu.Unlock()
			return Answer{Status: 200, Body: a.Body}, nil
		})
		for round := range 20 {
			var replies []<-chan structs.Reply
			for i := range 20 {
				replies = append(replies, start(p, t.Context(), request(fmt.Sprint(round, "-", i))))
			}
			for i, done := range replies {
				reply := <-done
				if id := fmt.Sprint(round, "-", i); reply.Outcome != structs.Answered || string(reply.Body) != id {
					t.Fatalf("request %s got %+v", id, reply)
				}
			}
		}
		if free(p) != 6 {
			t.Fatalf("%d of 6 slots free at the end", free(p))
		}
	})
}

// Guards against wrong outcomes and lost slots for every way in which an attempt can end.
func TestOutcomeOfEachEnd(t *testing.T) {
	cases := []struct {
		name    string
		answer  Answer
		err     error
		calls   int
		outcome structs.Outcome
		reason  string
		free    int // of 4 slots on 4 runners
	}{
		{"answered", Answer{Status: 200}, nil, 1, structs.Answered, "", 4},
		{"answered with an error", Answer{Status: 500}, nil, 1, structs.Answered, "", 4},
		{"impossible status", Answer{Status: 0}, nil, 1, structs.OutcomeUnknown, structs.ReasonRunnerLost, 3},
		{"not sent", Answer{}, errors.Annotate(ErrNotSent, "refused"), MaxUnreachable, structs.NotRun, structs.ReasonRunnerUnreachable, 4},
		{"busy", Answer{}, errors.Annotate(ErrBusy, "503"), 1, structs.NotRun, structs.ReasonRunnerRefused, 4},
		{"uncertain", Answer{}, errors.Annotate(ErrUncertain, "reset"), 1, structs.OutcomeUnknown, structs.ReasonRunnerLost, 3},
		{"unexpected error", Answer{}, errors.New("other"), 1, structs.OutcomeUnknown, structs.ReasonRunnerLost, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				asked, ids := map[string]bool{}, map[string]bool{}
				p := newTestPool(4, 1, func(_ context.Context, addr string, a Attempt) (Answer, error) {
					mu.Lock()
					defer mu.Unlock()
					asked[addr], ids[a.ID] = true, true
					return c.answer, c.err
				})
				want(t, p.Dispatch(t.Context(), "a", request("1")), c.outcome, c.reason)
				if len(asked) != c.calls || len(ids) != c.calls {
					t.Fatalf("%d runners asked under %d ids, want %d", len(asked), len(ids), c.calls)
				}
				if free(p) != c.free {
					t.Fatalf("%d slots free, want %d", free(p), c.free)
				}
				<-time.After(time.Hour + DefaultUncertainHold)
				synctest.Wait()
				if free(p) != 4 {
					t.Fatalf("%d slots free after the bound, want 4", free(p))
				}
			})
		})
	}
}

// Guards against sending for a shard that was lost while the request queued, for example during a pause.
func TestNothingIsSentWithoutOwnership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(1, 1, func(context.Context, string, Attempt) (Answer, error) {
			t.Error("sent without ownership")
			return Answer{Status: 200}, nil
		})
		p.cfg.Valid = func() error { return errors.New("lease expired") }
		want(t, p.Dispatch(t.Context(), "a", request("1")), structs.NotRun, structs.ReasonWrongOwner)
		if free(p) != 1 {
			t.Fatal("slot lost")
		}
	})
}

// hanging returns a runner whose calls wait for release, and the channel of started calls.
func hanging() (runnerFunc, chan string, chan struct{}) {
	started, release := make(chan string, 100), make(chan struct{})
	return func(ctx context.Context, addr string, a Attempt) (Answer, error) {
		started <- addr
		select {
		case <-release:
			return Answer{Status: 200, Body: a.Body}, nil
		case <-ctx.Done():
			return Answer{}, ErrUncertain
		}
	}, started, release
}

// Guards against a not-run reply for a request that a runner has, and against giving its slot away before the
// runner has finished.
func TestDeadlineOfASentRequestIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		do, started, release := hanging()
		p := newTestPool(1, 1, do)
		want(t, p.Dispatch(t.Context(), "a", request("1")), structs.OutcomeUnknown, structs.ReasonDeadline)
		<-started
		if free(p) != 0 {
			t.Fatal("slot was freed while the runner works")
		}
		close(release)
		synctest.Wait()
		if free(p) != 1 {
			t.Fatal("slot was not freed by the late answer")
		}
	})
}

// Guards against running a request whose caller has left, and against calling a queued request unknown.
func TestQueuedRequestsEndAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		do, started, release := hanging()
		p := newTestPool(1, 1, do)
		ctx, cancel := context.WithCancel(t.Context())
		first := start(p, ctx, request("1"))
		<-started
		cancelled := start(p, ctx, request("2"))
		if queued(p) != 1 {
			t.Fatal("request does not wait")
		}
		cancel()
		want(t, <-cancelled, structs.NotRun, structs.ReasonCancelled)

		short := request("3")
		short.Remaining = time.Minute
		want(t, p.Dispatch(t.Context(), "a", short), structs.NotRun, structs.ReasonDeadline)

		close(release)
		want(t, <-first, structs.Answered, "")
		if len(started) != 0 {
			t.Fatal("a withdrawn request was sent")
		}
	})
}

// Guards against losing the slot that is granted to a request at the moment at which its caller leaves.
func TestSlotGrantedToALeavingCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(1, 1, func(context.Context, string, Attempt) (Answer, error) { return Answer{Status: 200}, nil })
		c := p.services["quotes"].admission
		for range 100 {
			c.Arrive(time.Now(), &admission.Item{Deadline: time.Now().Add(time.Hour)})
			taken, _ := c.NextGrant(time.Now())
			ctx, cancel := context.WithCancel(t.Context())
			reply := start(p, ctx, request("1"))
			p.mu.Lock()
			cancel()
			runtime.Gosched() // lets the request see that its caller has left
			c.Unused(taken)
			p.advanceLocked()
			p.mu.Unlock()
			<-reply
			if synctest.Wait(); free(p) != 1 {
				t.Fatal("slot lost")
			}
		}
	})
}

// Guards against a hedge that waits on the runner whose slowness caused it.
func TestSecondAttemptGoesToAnotherRunner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		do, started, release := hanging()
		p := newTestPool(1, 8, do)
		replies := []<-chan structs.Reply{start(p, t.Context(), request("1"))}
		slow := <-started
		p.SetRunners(hosts(2, 8)[1:])
		for i := range 4 { // load the other runner, so that the first one looks better
			replies = append(replies, start(p, t.Context(), request(fmt.Sprint("other", i))))
			<-started
		}
		p.SetRunners(hosts(2, 8))
		replies = append(replies, start(p, t.Context(), request("1")))
		if addr := <-started; addr == slow {
			t.Fatal("both attempts on one runner")
		}
		close(release)
		for _, reply := range replies {
			<-reply
		}
		if len(p.holders) != 0 {
			t.Fatal("ended attempts are remembered")
		}
	})
}

// Guards against a shutdown that interrupts requests in progress or takes new ones, and one that never ends.
func TestCloseDrains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		do, started, release := hanging()
		p := newTestPool(1, 1, do)
		running := start(p, t.Context(), request("1"))
		<-started
		waiting := start(p, t.Context(), request("2"))
		if queued(p) != 1 {
			t.Fatal("request does not wait")
		}
		closed := make(chan error, 1)
		go func() { closed <- p.Close(context.Background()) }()
		synctest.Wait()
		want(t, p.Dispatch(t.Context(), "a", request("3")), structs.NotRun, structs.ReasonDraining)
		close(release)
		want(t, <-running, structs.Answered, "")
		want(t, <-waiting, structs.Answered, "")
		if err := <-closed; err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a forced shutdown that hides requests in progress or leaves queued callers waiting.
func TestForcedCloseRejectsTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		do, started, release := hanging()
		p := newTestPool(1, 1, do)
		running := start(p, t.Context(), request("1"))
		<-started
		waiting := start(p, t.Context(), request("2"))
		if queued(p) != 1 {
			t.Fatal("request does not wait")
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if err := p.Close(ctx); !errors.Is(err, ErrForced) {
			t.Fatalf("forced close returned %v", err)
		}
		want(t, <-waiting, structs.NotRun, structs.ReasonDraining)
		close(release)
		want(t, <-running, structs.Answered, "")
	})
}

// Guards against new requests on a runner that the host list shows as leaving or no longer lists, and against
// interrupting the one it still works on.
func TestLeavingRunnerGetsNothingNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		do, started, release := hanging()
		p := newTestPool(2, 1, do)
		first := start(p, t.Context(), request("1"))
		leaving := <-started
		list := hosts(2, 1)
		for i := range list {
			if list[i].Address == leaving {
				list[i].State = structs.HostLeaving
			}
		}
		p.SetRunners(list)
		second := start(p, t.Context(), request("2"))
		if addr := <-started; addr == leaving {
			t.Fatal("leaving runner got a request")
		}
		third := start(p, t.Context(), request("3"))
		if queued(p) != 1 {
			t.Fatal("request does not wait")
		}
		close(release)
		for _, done := range []<-chan structs.Reply{first, second, third} {
			want(t, <-done, structs.Answered, "")
		}
		if addr := <-started; addr == leaving {
			t.Fatal("leaving runner got a queued request")
		}
		p.SetRunners(nil)
		want(t, p.Dispatch(t.Context(), "a", request("4")), structs.NotRun, structs.ReasonNoRunner)
	})
}
