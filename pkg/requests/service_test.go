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

// shards is a Directory of n shards in the own data centre.
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

// script is a Dispatcher that plays replies in order, the last one for ever, and records the attempts.
type script struct {
	mu       sync.Mutex
	steps    []step
	attempts []Target
	ids      []string
}

type step struct {
	reply structs.Reply
	err   error
	hold  <-chan struct{} // the reply waits for it
}

func (s *script) Dispatch(ctx context.Context, target Target, id string, _ structs.Request) (structs.Reply, error) {
	s.mu.Lock()
	play := s.steps[min(len(s.attempts), len(s.steps)-1)]
	s.attempts = append(s.attempts, target)
	s.ids = append(s.ids, id)
	s.mu.Unlock()
	if play.hold != nil {
		select {
		case <-play.hold:
		case <-ctx.Done():
			return structs.Reply{}, ctx.Err()
		}
	}
	return play.reply, play.err
}

func (s *script) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.attempts)
}

// fakeKeys claims every key, or refuses with a reply.
type fakeKeys struct {
	refuse   structs.Reply
	finished []structs.Reply
	closed   bool
}

func (k *fakeKeys) Claim(context.Context, structs.Request) (keys.Claim, structs.Reply, bool) {
	return keys.Claim{}, k.refuse, k.refuse.Outcome == ""
}

func (k *fakeKeys) Finish(_ context.Context, _ keys.Claim, reply structs.Reply) {
	k.finished = append(k.finished, reply)
}

func (k *fakeKeys) Close(context.Context) error {
	k.closed = true
	return nil
}

// want ends the test unless got is what is expected.
func want[T comparable](t testing.TB, got, expected T, what string) {
	t.Helper()
	if got != expected {
		t.Fatalf("%s: got %v, want %v", what, got, expected)
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
	full        = step{reply: notRun(structs.ReasonQueueFull)}
	wrongOwner  = step{reply: notRun(structs.ReasonWrongOwner)}
	busy        = step{reply: notRun(structs.ReasonRunnerRefused)}
	lostRunner  = step{reply: unknown(structs.ReasonRunnerLost)}
	unreachable = step{err: errors.Annotate(ErrNotSent, "refused")}
	broken      = step{err: errors.New("connection reset")}
	cancelled   = step{reply: unknown(structs.ReasonCancelled)}
	malformed   = step{reply: structs.Reply{Outcome: structs.Answered}}
)

// held returns an answer that waits for the channel.
func held() (step, chan struct{}) {
	release := make(chan struct{})
	return step{reply: ok.reply, hold: release}, release
}

// Guards against a second send of what may have run, against giving up what may be sent elsewhere, and against an
// outcome that is more certain than the attempts.
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
		{"elsewhere without budget", false, []step{full, wrongOwner, ok}, 0, structs.Answered, "", 3},
		{"dead owner", false, []step{unreachable, ok}, 0, structs.Answered, "", 2},
		{"refused everywhere", false, []step{full}, 9, structs.NotRun, structs.ReasonQueueFull, 3},
		{"busy, with budget", false, []step{busy, ok}, 1, structs.Answered, "", 2},
		{"busy, without budget", false, []step{busy, ok}, 0, structs.NotRun, structs.ReasonRunnerRefused, 1},
		{"unknown is final", false, []step{lostRunner, ok}, 9, structs.OutcomeUnknown, structs.ReasonRunnerLost, 1},
		{"broken connection is final", false, []step{broken, ok}, 9, structs.OutcomeUnknown, structs.ReasonOwnerLost, 1},
		{"unknown after not run is final", false, []step{full, lostRunner, ok}, 9, structs.OutcomeUnknown, structs.ReasonRunnerLost, 2},
		{"malformed reply is unknown", false, []step{malformed, ok}, 9, structs.OutcomeUnknown, structs.ReasonOwnerLost, 1},
		{"idempotent is retried", true, []step{lostRunner, broken, ok}, 9, structs.Answered, "", 3},
		{"idempotent, without budget", true, []step{lostRunner, ok}, 0, structs.OutcomeUnknown, structs.ReasonRunnerLost, 1},
		// The token pays for one more send to a runner; the shards that refuse it on the way cost none.
		{"unknown, then not run", true, []step{lostRunner, full}, 1, structs.OutcomeUnknown, structs.ReasonRunnerLost, 4},
		{"attempts are bounded", true, []step{lostRunner}, 99, structs.OutcomeUnknown, structs.ReasonRunnerLost, MaxAttempts},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			dispatcher, records := &script{steps: c.steps}, &fakeKeys{}
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

// Guards against running a request whose key is taken, and against needing the store for requests that have no
// key or are idempotent.
func TestOnlyKeyedNonIdempotentRequestsNeedAClaim(t *testing.T) {
	for _, c := range []struct {
		idempotent bool
		key        string
		claims     bool
	}{{false, "key", true}, {false, "", false}, {true, "key", false}} {
		dispatcher := &script{steps: []step{ok}}
		req := request(c.idempotent)
		req.Key = c.key
		reply := newTestService(shards(1), dispatcher, &fakeKeys{refuse: unknown(structs.ReasonInProgress)}).Serve(t.Context(), req)
		want(t, reply.Reason == structs.ReasonInProgress, c.claims, "refused by its key")
		want(t, dispatcher.count() == 0, c.claims, "not sent")
	}
}

// Guards against retry storms: with every attempt failing, no more than 1.1 times the offered requests are sent.
func TestSendsAreBoundedWhenEverythingFails(t *testing.T) {
	for _, failure := range []step{lostRunner, broken, busy} {
		dispatcher := &script{steps: []step{failure}}
		s := newTestService(shards(3), dispatcher, &fakeKeys{})
		const offered = 500
		for range offered {
			s.Serve(t.Context(), request(true))
		}
		want(t, dispatcher.count(), offered*11/10, "sent attempts, of which the budget allows a tenth as additional ones")
	}
}

// Guards against hedging a request that may run only once or without budget, and against a slow first attempt
// holding up an idempotent one.
func TestHedging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct{ idempotent, budget, hedged bool }{{true, true, true}, {false, true, false}, {true, false, false}} {
			slow, release := held()
			dispatcher := &script{steps: []step{slow, ok}}
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

// Guards against answering late, and against calling a request not run while an attempt is in progress.
func TestDeadlineAndCancelWithAnAttemptInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		never, _ := held()
		s := newTestService(shards(2), &script{steps: []step{never}}, &fakeKeys{})
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
		_, blamed := s.router.split(shards(2).Targets("quotes"))
		want(t, len(blamed), 0, "owners blamed for cancelled attempts")
		req.Remaining = 0
		want(t, s.Serve(t.Context(), req).Outcome, structs.NotRun, "outcome with no time left")
		reply := newTestService(shards(0), nil, nil).Serve(t.Context(), request(true))
		want(t, reply.Reason, structs.ReasonNoShard, "reason without shards")
	})
}

// Guards against recording an unknown outcome for a keyed request only because its caller has left.
func TestKeyedRequestOutlivesItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow, release := held()
		records := &fakeKeys{}
		s := newTestService(shards(1), &script{steps: []step{slow}}, records)
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

// Guards against a shutdown that interrupts requests or takes new ones.
func TestCloseWaitsForRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow, release := held()
		records := &fakeKeys{}
		s := newTestService(shards(1), &script{steps: []step{slow}}, records)
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

// Guards against asking a dead owner again with every request until its digest is gone, and against blaming an
// owner for attempts that this host has cancelled.
func TestFailedOwnersAreAskedLast(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, c := range []struct {
		ends  []step
		asked bool
	}{{[]step{unreachable}, false}, {[]step{full}, false}, {[]step{broken, cancelled, broken}, false},
		{[]step{broken, lostRunner, broken}, true}, {[]step{cancelled, cancelled}, true}} {
		r := newRouter(Config{
			Directory: shards(2), Policy: routing.SlotAware{}, Rand: rand.New(rand.NewPCG(1, 2)),
			Now: func() time.Time { return now },
		})
		failed := shards(2).Targets("quotes")[0]
		for _, end := range c.ends {
			r.ended(failed, checked(end.reply, end.err))
		}
		asked := false
		for range 8 { // the other shard has 8 free slots
			target, reason := r.choose(request(true), time.Hour, time.Millisecond, triedTargets{})
			want(t, reason, "", "reason")
			asked = asked || target.Shard == failed.Shard
		}
		want(t, asked, c.asked, fmt.Sprintf("asked after %v", c.ends))
	}
}

// Guards against correcting digests by the wrong number of requests.
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
