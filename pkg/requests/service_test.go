package requests

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"go.uber.org/goleak"

	"fulmarcourse.example/core/retry"
	"fulmarcourse.example/core/routing"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/requests/keys"
)

// TestMain ignores the goroutines that run before the first test: go-zero starts two at package initialisation.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m, goleak.IgnoreCurrent()) }

// shards is a Directory of n shards in the data centre of the entry host.
type shards int

func (n shards) Targets(structs.ServiceName) []Target {
	var targets []Target
	for i := range int(n) {
		targets = append(targets, Target{
			Shard: structs.ShardID{Datacentre: "dc", Index: i}, PeerAddr: fmt.Sprint(i), OwnDatacentre: true,
			Slots: routing.Slots{Known: true, Free: 8, Total: 8, Age: time.Millisecond},
		})
	}
	return targets
}

// scriptedDispatcher is a Dispatcher that returns scripted replies in order, repeats the last one, and records the
// attempts.
type scriptedDispatcher struct {
	mu       sync.Mutex
	steps    []step
	attempts []Target
	ids      []string
}

type step struct {
	reply structs.Reply
	err   error
	hold  <-chan struct{} // when set, the reply is returned after the channel is closed
}

func (s *scriptedDispatcher) Dispatch(ctx context.Context, target Target, id string, _ structs.Request) (structs.Reply, error) {
	s.mu.Lock()
	step := s.steps[min(len(s.attempts), len(s.steps)-1)]
	s.attempts = append(s.attempts, target)
	s.ids = append(s.ids, id)
	s.mu.Unlock()
	if step.hold != nil {
		select {
		case <-step.hold:
		case <-ctx.Done():
			return structs.Reply{}, ctx.Err()
		}
	}
	return step.reply, step.err
}

func (s *scriptedDispatcher) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.attempts)
}

// fakeKeys grants every claim, or rejects all of them with a reply.
type fakeKeys struct {
	reject   structs.Reply
	finished []structs.Reply
	closed   bool
}

func (k *fakeKeys) Claim(context.Context, structs.Request) (keys.Claim, structs.Reply, bool) {
	return keys.Claim{}, k.reject, k.reject.Outcome == ""
}

func (k *fakeKeys) Finish(_ context.Context, _ keys.Claim, reply structs.Reply) {
	k.finished = append(k.finished, reply)
}

func (k *fakeKeys) Close(context.Context) error {
	k.closed = true
	return nil
}

// want fails the test unless got equals expected.
func want[T comparable](t testing.TB, got, expected T, subject string) {
	t.Helper()
	if got != expected {
		t.Fatalf("%s: got %v, want %v", subject, got, expected)
	}
}

func newTestService(directory Directory, dispatcher Dispatcher, keys Keys) *Service {
	return NewService(Config{Directory: directory, Dispatcher: dispatcher, Keys: keys, Rand: rand.New(rand.NewPCG(1, 2))})
}

func request(idempotent bool) structs.Request {
	return structs.Request{Service: "quotes", Kind: "quote", Idempotent: idempotent, Remaining: time.Hour}
}

var (
	ok          = step{reply: structs.Reply{Outcome: structs.Answered, Status: 200, Body: []byte("whole")}}
	full        = step{reply: notRunReply(structs.ReasonQueueFull)}
	wrongOwner  = step{reply: notRunReply(structs.ReasonWrongOwner)}
	busy        = step{reply: notRunReply(structs.ReasonRunnerRefused)}
	lostRunner  = step{reply: unknownReply(structs.ReasonRunnerLost)}
	unreachable = step{err: errors.Annotate(ErrNotSent, "refused")}
	broken      = step{err: errors.New("connection reset")}
	cancelled   = step{reply: unknownReply(structs.ReasonCancelled)}
	malformed   = step{reply: structs.Reply{Outcome: structs.Answered}}
)

// heldReply returns a reply that is held back until the channel is closed.
func heldReply() (step, chan struct{}) {
	release := make(chan struct{})
	return step{reply: ok.reply, hold: release}, release
}

// Guards against sending a request again that may have run, against failing a request that may be sent to another
// shard, and against an outcome that the attempts do not prove.
func TestOutcomesAndRetries(t *testing.T) {
	cases := []struct {
		name       string
		idempotent bool
		steps      []step
		tokens     int // retry tokens in the budget
		outcome    structs.Outcome
		reason     string
		attempts   int
	}{
		{"answered", false, []step{ok}, 9, structs.Answered, "", 1},
		{"other shard without budget", false, []step{full, wrongOwner, ok}, 0, structs.Answered, "", 3},
		{"dead owner", false, []step{unreachable, ok}, 0, structs.Answered, "", 2},
		{"rejected by every shard", false, []step{full}, 9, structs.NotRun, structs.ReasonQueueFull, 3},
		{"busy, with budget", false, []step{busy, ok}, 1, structs.Answered, "", 2},
		{"busy, without budget", false, []step{busy, ok}, 0, structs.NotRun, structs.ReasonRunnerRefused, 1},
		{"unknown is final", false, []step{lostRunner, ok}, 9, structs.OutcomeUnknown, structs.ReasonRunnerLost, 1},
		{"broken connection is final", false, []step{broken, ok}, 9, structs.OutcomeUnknown, structs.ReasonOwnerLost, 1},
		{"unknown after not run is final", false, []step{full, lostRunner, ok}, 9, structs.OutcomeUnknown, structs.ReasonRunnerLost, 2},
		{"malformed reply is unknown", false, []step{malformed, ok}, 9, structs.OutcomeUnknown, structs.ReasonOwnerLost, 1},
		{"idempotent is retried", true, []step{lostRunner, broken, ok}, 9, structs.Answered, "", 3},
		{"idempotent, without budget", true, []step{lostRunner, ok}, 0, structs.OutcomeUnknown, structs.ReasonRunnerLost, 1},
		// The token pays for one more attempt that reaches a runner; attempts that a shard rejects cost none.
		{"unknown, then not run", true, []step{lostRunner, full}, 1, structs.OutcomeUnknown, structs.ReasonRunnerLost, 4},
		{"attempts are bounded", true, []step{lostRunner}, 99, structs.OutcomeUnknown, structs.ReasonRunnerLost, MaxAttempts},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			dispatcher, records := &scriptedDispatcher{steps: c.steps}, &fakeKeys{}
			s := newTestService(shards(3), dispatcher, records)
			for range c.tokens * retry.RequestsPerToken {
				s.budget.RecordRequest()
			}
			req := request(c.idempotent)
			req.Key = "key"
			reply := s.Serve(t.Context(), req)
			want(t, string(reply.Outcome)+" "+reply.Reason, string(c.outcome)+" "+c.reason, "reply")
			want(t, dispatcher.count(), c.attempts, "attempts")
			slices.Sort(dispatcher.ids)
			want(t, len(slices.Compact(dispatcher.ids)), c.attempts, "different attempt ids")
			if !c.idempotent {
				want(t, len(records.finished), 1, "recorded outcomes")
				want(t, records.finished[0].Outcome, c.outcome, "recorded outcome")
			}
		})
	}
}

// Guards against running a request whose key is already claimed, and against using the store for requests that have no
// key or are idempotent.
func TestOnlyKeyedNonIdempotentRequestsNeedAClaim(t *testing.T) {
	for _, c := range []struct {
		idempotent bool
		key        string
		claims     bool
	}{{false, "key", true}, {false, "", false}, {true, "key", false}} {
		dispatcher := &scriptedDispatcher{steps: []step{ok}}
		req := request(c.idempotent)
		req.Key = c.key
		reply := newTestService(shards(1), dispatcher, &fakeKeys{reject: unknownReply(structs.ReasonInProgress)}).Serve(t.Context(), req)
		want(t, reply.Reason == structs.ReasonInProgress, c.claims, "rejected by its key")
		want(t, dispatcher.count() == 0, c.claims, "not sent")
	}
}

// Guards against retry storms: when every attempt fails, no more than 1.1 times the offered requests are sent.
func TestSendsAreBoundedWhenEverythingFails(t *testing.T) {
	for _, failure := range []step{lostRunner, broken, busy} {
		dispatcher := &scriptedDispatcher{steps: []step{failure}}
		s := newTestService(shards(3), dispatcher, &fakeKeys{})
		const offered = 500
		for range offered {
			s.Serve(t.Context(), request(true))
		}
		want(t, dispatcher.count(), offered*11/10, "sent attempts, of which the budget allows a tenth as additional ones")
	}
}

// Guards against hedging a request that may run only once or for which there is no budget, and against an idempotent
// request that waits for a slow first attempt.
func TestHedging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct{ idempotent, budget, hedged bool }{{true, true, true}, {false, true, false}, {true, false, false}} {
			slow, release := heldReply()
			dispatcher := &scriptedDispatcher{steps: []step{slow, ok}}
			s := newTestService(shards(2), dispatcher, &fakeKeys{})
			for range 10 * retry.RequestsPerToken {
				if c.budget {
					s.budget.RecordRequest()
				}
				s.observe(request(c.idempotent), time.Millisecond)
			}
			if !c.hedged {
				time.AfterFunc(time.Minute, func() { close(release) })
			}
			want(t, s.Serve(t.Context(), request(c.idempotent)).Outcome, structs.Answered, "outcome")
			want(t, dispatcher.count() == 2, c.hedged, "hedged")
			if c.hedged {
				want(t, dispatcher.attempts[0].Shard != dispatcher.attempts[1].Shard, true, "hedge on another shard")
			}
			want(t, s.Close(t.Context()), nil, "close")
		}
	})
}

// Guards against a reply after the deadline, and against reporting not-run while an attempt is in progress.
func TestDeadlineAndCancelWithAnAttemptInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		never, _ := heldReply()
		s := newTestService(shards(2), &scriptedDispatcher{steps: []step{never}}, &fakeKeys{})
		req := request(false)
		before := time.Now()
		want(t, s.Serve(t.Context(), req).Outcome, structs.OutcomeUnknown, "outcome at the deadline")
		want(t, time.Since(before) <= req.Remaining+ReplyGrace, true, "reply by the deadline")
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		for range 10 {
			want(t, s.Serve(ctx, request(true)).Outcome, structs.OutcomeUnknown, "outcome of a cancelled request")
		}
		synctest.Wait()
		_, ejected := s.router.splitEjected(shards(2).Targets("quotes"))
		want(t, len(ejected), 0, "owners ejected for cancelled attempts")
		req.Remaining = 0
		want(t, s.Serve(t.Context(), req).Outcome, structs.NotRun, "outcome with no time left")
		reply := newTestService(shards(0), nil, nil).Serve(t.Context(), request(true))
		want(t, reply.Reason, structs.ReasonNoShard, "reason without shards")
	})
}

// Guards against recording an unknown outcome for a keyed request because its caller has disconnected.
func TestKeyedRequestOutlivesItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow, release := heldReply()
		records := &fakeKeys{}
		s := newTestService(shards(1), &scriptedDispatcher{steps: []step{slow}}, records)
		req := request(false)
		req.Key = "key"
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan structs.Reply, 1)
		go func() { done <- s.Serve(ctx, req) }()
		synctest.Wait() // the attempt is in progress
		cancel()
		close(release)
		want(t, (<-done).Outcome, structs.Answered, "outcome")
		want(t, records.finished[0].Outcome, structs.Answered, "recorded outcome")
	})
}

// Guards against a shutdown that interrupts requests or accepts new ones.
func TestCloseWaitsForRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow, release := heldReply()
		records := &fakeKeys{}
		s := newTestService(shards(1), &scriptedDispatcher{steps: []step{slow}}, records)
		done := make(chan structs.Reply, 1)
		go func() { done <- s.Serve(context.Background(), request(false)) }()
		synctest.Wait() // the attempt is in progress
		expired, cancel := context.WithCancel(t.Context())
		cancel()
		want(t, s.Close(expired) != nil, true, "error for a request in progress")
		want(t, s.Serve(t.Context(), request(false)).Reason, structs.ReasonDraining, "reason for a new request")
		close(release)
		want(t, s.Close(t.Context()), nil, "close")
		want(t, records.closed, true, "outcomes recorded")
		want(t, (<-done).Outcome, structs.Answered, "outcome of the request in progress")
	})
}

// Guards against sending every request to a dead owner first until its digest expires, and against ejecting an owner
// for attempts that this host has cancelled.
func TestFailedOwnersAreTriedLast(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, c := range []struct {
		ends  []step
		tried bool
	}{{[]step{unreachable}, false}, {[]step{full}, false}, {[]step{broken, cancelled, broken}, false},
		{[]step{broken, lostRunner, broken}, true}, {[]step{cancelled, cancelled}, true}} {
		r := newRouter(Config{
			Directory: shards(2), Policy: routing.SlotAware{}, Rand: rand.New(rand.NewPCG(1, 2)),
			Now: func() time.Time { return now },
		})
		failed := shards(2).Targets("quotes")[0]
		for _, end := range c.ends {
			r.attemptEnded(failed, checkedReply(end.reply, end.err))
		}
		tried := false
		for range 8 { // the other shard has 8 free slots
			target, reason := r.choose(request(true), time.Hour, time.Millisecond, triedTargets{})
			want(t, reason, "", "reason")
			tried = tried || target.Shard == failed.Shard
		}
		want(t, tried, c.tried, fmt.Sprintf("tried after %v", c.ends))
	}
}

// Guards against correcting a digest by a wrong change of the in-flight count.
func TestChangeSinceDigest(t *testing.T) {
	var f inFlight
	at := func(ms int64) time.Time { return time.UnixMilli(1_000_000 + ms) }
	for range 3 {
		f.add(at(0), 1)
	}
	f.add(at(500), 1)
	f.add(at(600), -1)
	f.add(at(700), -1)
	for since, change := range map[int64]int{-100: 2, 100: -1, 500: -2, 650: -1, 750: 0} {
		want(t, f.changeSince(at(800), at(since)), change, fmt.Sprintf("change since %d ms", since))
	}
	want(t, f.changeSince(at(1<<20), at(0)), 0, "change after a long time")
}
