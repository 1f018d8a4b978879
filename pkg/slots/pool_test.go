package slots

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"go.uber.org/goleak"

	"fulmarcourse.example/core/admission"
	"fulmarcourse.example/core/structs"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// runnerFunc is a function that implements RunnerClient.
type runnerFunc func(ctx context.Context, addr string, a Attempt) (Answer, error)

func (f runnerFunc) Do(ctx context.Context, addr string, a Attempt) (Answer, error) {
	return f(ctx, addr, a)
}

func newTestPool(runners, slots int, do runnerFunc) *Pool {
	p := NewPool(Config{Client: do, CheckOwnership: func() error { return nil }})
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

// start calls Dispatch in the background and returns when the request is queued or on a runner.
func start(p *Pool, ctx context.Context, req structs.Request) <-chan structs.Reply {
	done := make(chan structs.Reply, 1)
	go func() { done <- p.Dispatch(ctx, "attempt-"+req.ID, req) }()
	synctest.Wait()
	return done
}

func free(p *Pool) int   { return p.Digest().FreeSlots["quotes"] }
func queued(p *Pool) int { return p.Digest().Queued["quotes"] }

// want ends the test unless got equals expected.
func want[T comparable](t testing.TB, got, expected T, subject string) {
	t.Helper()
	if got != expected {
		t.Fatalf("%s: got %v, want %v", subject, got, expected)
	}
}

func wantReply(t *testing.T, reply structs.Reply, outcome structs.Outcome, reason string) {
	t.Helper()
	want(t, string(reply.Outcome)+" "+reply.Reason, string(outcome)+" "+reason, "reply")
}

// Guards against more requests on a runner than it has slots, and against answers that are returned to another request.
func TestConcurrentDispatchesStayWithinSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		running := map[string]*atomic.Int32{"r0": {}, "r1": {}, "r2": {}}
		p := newTestPool(3, 2, func(_ context.Context, addr string, a Attempt) (Answer, error) {
			if running[addr].Add(1) > 2 {
				t.Errorf("runner %s got more requests than slots", addr)
			}
			<-time.After(time.Duration(len(a.ID)) * time.Millisecond) // lets other requests start
			running[addr].Add(-1)
			return Answer{Status: 200, Body: a.Body}, nil
		})
		for round := range 20 {
			var replies []<-chan structs.Reply
			for i := range 20 {
				replies = append(replies, start(p, t.Context(), request(fmt.Sprint(round, "-", i))))
			}
			for i, done := range replies {
				reply := <-done
				wantReply(t, reply, structs.Answered, "")
				want(t, string(reply.Body), fmt.Sprint(round, "-", i), "body")
			}
		}
		want(t, free(p), 6, "free slots at the end")
	})
}

// Guards against wrong outcomes and lost slots for each way in which an attempt can end, and against sending a request
// after the shard was lost while the request was queued, for example during a pause of the process.
func TestOutcomeOfEachEnd(t *testing.T) {
	errNotOwned := errors.New("lease expired")
	cases := []struct {
		name    string
		answer  Answer
		err     error
		calls   int
		outcome structs.Outcome
		reason  string
		free    int // of 4 slots on 4 runners
	}{
		{"not owned", Answer{}, errNotOwned, 0, structs.NotRun, structs.ReasonWrongOwner, 4},
		{"answered", Answer{Status: 200}, nil, 1, structs.Answered, "", 4},
		{"answered with an error", Answer{Status: 500}, nil, 1, structs.Answered, "", 4},
		{"invalid status", Answer{Status: 0}, nil, 1, structs.OutcomeUnknown, structs.ReasonRunnerLost, 3},
		{"not sent", Answer{}, errors.Annotate(ErrNotSent, "refused"), MaxUnreachableRunners, structs.NotRun, structs.ReasonRunnerUnreachable, 4},
		{"busy", Answer{}, errors.Annotate(ErrBusy, "503"), 1, structs.NotRun, structs.ReasonRunnerRefused, 4},
		{"uncertain", Answer{}, errors.Annotate(ErrUncertain, "reset"), 1, structs.OutcomeUnknown, structs.ReasonRunnerLost, 3},
		{"unexpected error", Answer{}, errors.New("other"), 1, structs.OutcomeUnknown, structs.ReasonRunnerLost, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				called, ids := map[string]bool{}, map[string]bool{}
				p := newTestPool(4, 1, func(_ context.Context, addr string, a Attempt) (Answer, error) {
					mu.Lock()
					defer mu.Unlock()
					called[addr], ids[a.ID] = true, true
					return c.answer, c.err
				})
				if c.err == errNotOwned {
					p.cfg.CheckOwnership = func() error { return errNotOwned }
				}
				wantReply(t, p.Dispatch(t.Context(), "a", request("1")), c.outcome, c.reason)
				want(t, [2]int{len(called), len(ids)}, [2]int{c.calls, c.calls}, "runners called and attempt ids")
				want(t, free(p), c.free, "free slots")
				<-time.After(time.Hour + DefaultUncertainHold)
				synctest.Wait()
				want(t, free(p), 4, "free slots after the hold")
			})
		})
	}
}

// runWithPool runs a test on virtual time. Each call of a runner sends the runner's address on started and waits for
// release.
func runWithPool(t *testing.T, runners, slots int, test func(*testing.T, *Pool, chan string, chan struct{})) {
	synctest.Test(t, func(t *testing.T) {
		started, release := make(chan string, 100), make(chan struct{})
		test(t, newTestPool(runners, slots, func(ctx context.Context, addr string, a Attempt) (Answer, error) {
			started <- addr
			select {
			case <-release:
				return Answer{Status: 200, Body: a.Body}, nil
			case <-ctx.Done():
				return Answer{}, ErrUncertain
			}
		}), started, release)
	})
}

// Guards against a not-run reply for a request that a runner has received, and against granting its slot again before
// the runner has finished.
func TestDeadlineOfASentRequestIsUnknown(t *testing.T) {
	runWithPool(t, 1, 1, func(t *testing.T, p *Pool, started chan string, release chan struct{}) {
		wantReply(t, p.Dispatch(t.Context(), "a", request("1")), structs.OutcomeUnknown, structs.ReasonDeadline)
		<-started
		want(t, free(p), 0, "free slots while the runner processes the request")
		close(release)
		synctest.Wait()
		want(t, free(p), 1, "free slots after the late answer")
	})
}

// Guards against running a request whose caller has cancelled it, and against an unknown outcome for a request that was
// only queued.
func TestQueuedRequestsEndAsNotRun(t *testing.T) {
	runWithPool(t, 1, 1, func(t *testing.T, p *Pool, started chan string, release chan struct{}) {
		ctx, cancel := context.WithCancel(t.Context())
		first := start(p, ctx, request("1"))
		<-started
		cancelled := start(p, ctx, request("2"))
		want(t, queued(p), 1, "queued requests")
		cancel()
		wantReply(t, <-cancelled, structs.NotRun, structs.ReasonCancelled)
		short := request("3")
		short.Remaining = time.Minute
		wantReply(t, p.Dispatch(t.Context(), "a", short), structs.NotRun, structs.ReasonDeadline)
		close(release)
		wantReply(t, <-first, structs.Answered, "")
		want(t, len(started), 0, "withdrawn requests sent")
	})
}

// Guards against losing a slot that is granted to a request at the moment at which its caller cancels it.
func TestSlotGrantedToCancelledRequestIsReleased(t *testing.T) {
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
			runtime.Gosched() // lets Dispatch observe the cancellation
			c.Unused(taken)
			p.advanceLocked()
			p.mu.Unlock()
			<-reply
			synctest.Wait()
			want(t, free(p), 1, "free slots")
		}
	})
}

// Guards against sending a hedge to the runner whose slowness caused it.
func TestSecondAttemptGoesToAnotherRunner(t *testing.T) {
	runWithPool(t, 1, 8, func(t *testing.T, p *Pool, started chan string, release chan struct{}) {
		replies := []<-chan structs.Reply{start(p, t.Context(), request("1"))}
		slow := <-started
		p.SetRunners(hosts(2, 8)[1:])
		for i := range 4 { // load the other runner, so that the first one has the lower cost
			replies = append(replies, start(p, t.Context(), request(fmt.Sprint("other", i))))
			<-started
		}
		p.SetRunners(hosts(2, 8))
		replies = append(replies, start(p, t.Context(), request("1")))
		want(t, <-started != slow, true, "second attempt on another runner")
		close(release)
		for _, reply := range replies {
			<-reply
		}
		want(t, len(p.runnersByRequest), 0, "requests with recorded runners after all attempts ended")
	})
}

// Guards against a shutdown that interrupts requests in progress or accepts new ones, and against a forced shutdown
// that returns no error while requests are in progress or does not answer queued requests.
func TestClose(t *testing.T) {
	for _, forced := range []bool{false, true} {
		runWithPool(t, 1, 1, func(t *testing.T, p *Pool, started chan string, release chan struct{}) {
			running, waiting := start(p, t.Context(), request("1")), start(p, t.Context(), request("2"))
			want(t, queued(p), 1, "queued requests")
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			closed := make(chan error, 1)
			go func() { closed <- p.Close(ctx) }()
			synctest.Wait()
			wantReply(t, p.Dispatch(t.Context(), "a", request("3")), structs.NotRun, structs.ReasonDraining)
			if forced {
				cancel()
				want(t, errors.Is(<-closed, ErrForcedClose), true, "error of a forced close")
				wantReply(t, <-waiting, structs.NotRun, structs.ReasonDraining)
			}
			close(release)
			wantReply(t, <-running, structs.Answered, "")
			if !forced {
				wantReply(t, <-waiting, structs.Answered, "")
				want(t, <-closed, nil, "close")
			}
		})
	}
}

// Guards against sending new requests to a runner that the host list shows as leaving or no longer contains, and
// against interrupting the request that such a runner is processing.
func TestLeavingRunnerGetsNoNewRequests(t *testing.T) {
	runWithPool(t, 2, 1, func(t *testing.T, p *Pool, started chan string, release chan struct{}) {
		first := start(p, t.Context(), request("1"))
		leaving := <-started
		list := hosts(2, 1)
		list[slices.IndexFunc(list, func(h structs.Host) bool { return h.Address == leaving })].State = structs.HostLeaving
		p.SetRunners(list)
		second := start(p, t.Context(), request("2"))
		want(t, <-started != leaving, true, "new request on another runner")
		third := start(p, t.Context(), request("3"))
		want(t, queued(p), 1, "queued requests")
		close(release)
		for _, done := range []<-chan structs.Reply{first, second, third} {
			wantReply(t, <-done, structs.Answered, "")
		}
		want(t, <-started != leaving, true, "queued request on another runner")
		p.SetRunners(nil)
		wantReply(t, p.Dispatch(t.Context(), "a", request("4")), structs.NotRun, structs.ReasonNoRunner)
	})
}
