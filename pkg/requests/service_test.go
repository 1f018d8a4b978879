package requests

import (
	"context"
	"fmt"
	"math/rand/v2"
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
	ids      map[string]bool
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
	if s.ids == nil {
		s.ids = map[string]bool{}
	}
	s.ids[id] = true
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
	refuse   *structs.Reply
	finished []structs.Reply
	closed   bool
}

func (k *fakeKeys) Claim(context.Context, structs.Request) (keys.Claim, structs.Reply, bool) {
	if k.refuse != nil {
		return keys.Claim{}, *k.refuse, false
	}
	return keys.Claim{}, structs.Reply{}, true
}

func (k *fakeKeys) Finish(_ context.Context, _ keys.Claim, reply structs.Reply) {
	k.finished = append(k.finished, reply)
}

func (k *fakeKeys) Close(context.Context) error {
	k.closed = true
	return nil
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
			for range c.tokens * retry.OffersPerToken {
				s.budget.Offer()
			}
			req := request(c.idempotent)
			req.Key = "key"
			reply := s.Serve(t.Context(), req)
			if reply.Outcome != c.outcome || reply.Reason != c.reason || dispatcher.count() != c.attempts {
				t.Fatalf("got %s (%s) after %d attempts", reply.Outcome, reply.Reason, dispatcher.count())
			}
			if len(dispatcher.ids) != c.attempts {
				t.Fatal("two attempts share an id")
			}
			if !c.idempotent && (len(records.finished) != 1 || records.finished[0].Outcome != c.outcome) {
				t.Fatalf("recorded %+v", records.finished)
			}
		})
	}
}

// Guards against running a request whose key is taken, and against needing the store for requests that have no
// key or are idempotent.
func TestOnlyKeyedNonIdempotentRequestsNeedAClaim(t *testing.T) {
	refusal := unknown(structs.ReasonInProgress)
	for _, c := range []struct {
		idempotent bool
		key        string
		claims     bool
	}{{false, "key", true}, {false, "", false}, {true, "key", false}} {
		dispatcher := &script{steps: []step{ok}}
		req := request(c.idempotent)
		req.Key = c.key
		reply := newTestService(shards(1), dispatcher, &fakeKeys{refuse: &refusal}).Serve(t.Context(), req)
		if refused := reply.Reason == structs.ReasonInProgress; refused != c.claims || (dispatcher.count() == 0) != c.claims {
			t.Errorf("%+v: %+v after %d attempts", c, reply, dispatcher.count())
		}
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
		if sent := dispatcher.count(); sent > offered*11/10 || sent <= offered {
			t.Fatalf("%d sent for %d offered", sent, offered)
		}
	}
}

// Guards against hedging a request that may run only once, and against a slow first attempt holding up an
// idempotent one.
func TestHedging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, idempotent := range []bool{true, false} {
			release := make(chan struct{})
			slow := ok
			slow.hold = release
			dispatcher := &script{steps: []step{slow, ok}}
			s := newTestService(shards(2), dispatcher, &fakeKeys{})
			for range 10 * retry.OffersPerToken {
				s.budget.Offer()
				s.observe(request(idempotent), time.Millisecond)
			}
			if !idempotent {
				time.AfterFunc(time.Minute, func() { close(release) })
			}
			reply := s.Serve(t.Context(), request(idempotent))
			if reply.Outcome != structs.Answered || (dispatcher.count() == 2) != idempotent {
				t.Fatalf("idempotent %v: %+v after %d attempts", idempotent, reply, dispatcher.count())
			}
			if idempotent && dispatcher.attempts[0].Shard == dispatcher.attempts[1].Shard {
				t.Fatal("the hedge went to the same shard")
			}
			if err := s.Close(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// Guards against answering late, and against calling a request not run while an attempt is in progress.
func TestDeadlineAndCancelWithAnAttemptInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		never := ok
		never.hold = make(chan struct{})
		s := newTestService(shards(2), &script{steps: []step{never}}, &fakeKeys{})
		req := request(false)
		before := time.Now()
		if reply := s.Serve(t.Context(), req); reply.Outcome != structs.OutcomeUnknown || time.Since(before) > req.Remaining+ReplyGrace {
			t.Fatalf("deadline: %+v after %v", reply, time.Since(before))
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		for range 10 {
			if reply := s.Serve(ctx, request(true)); reply.Outcome != structs.OutcomeUnknown {
				t.Fatalf("cancelled: %+v", reply)
			}
		}
		synctest.Wait()
		if good, _ := s.router.split(shards(2).Targets("quotes")); len(good) != 2 {
			t.Fatal("an owner is blamed for cancelled attempts")
		}
		req.Remaining = 0
		if reply := s.Serve(t.Context(), req); reply.Outcome != structs.NotRun {
			t.Fatalf("no time left: %+v", reply)
		}
		if reply := newTestService(shards(0), nil, nil).Serve(t.Context(), request(true)); reply.Reason != structs.ReasonNoShard {
			t.Fatalf("no shard: %+v", reply)
		}
	})
}

// Guards against recording an unknown outcome for a keyed request only because its caller has left.
func TestKeyedRequestOutlivesItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		slow := ok
		slow.hold = release
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
		if reply := <-done; reply.Outcome != structs.Answered || records.finished[0].Outcome != structs.Answered {
			t.Fatalf("%+v, recorded %+v", reply, records.finished)
		}
	})
}

// Guards against a shutdown that interrupts requests or takes new ones.
func TestCloseWaitsForRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		slow := ok
		slow.hold = release
		records := &fakeKeys{}
		s := newTestService(shards(1), &script{steps: []step{slow}}, records)
		done := make(chan structs.Reply, 1)
		go func() { done <- s.Serve(context.Background(), request(false)) }()
		synctest.Wait() // the attempt is in progress
		expired, cancel := context.WithCancel(t.Context())
		cancel()
		if s.Close(expired) == nil {
			t.Fatal("closed with a request in progress")
		}
		if reply := s.Serve(t.Context(), request(false)); reply.Reason != structs.ReasonDraining {
			t.Fatalf("new request: %+v", reply)
		}
		close(release)
		if err := s.Close(t.Context()); err != nil || !records.closed {
			t.Fatalf("closed with %v, outcomes recorded: %v", err, records.closed)
		}
		if reply := <-done; reply.Outcome != structs.Answered {
			t.Fatalf("request in progress: %+v", reply)
		}
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
			if reason != "" {
				t.Fatal(reason)
			}
			asked = asked || target.Shard == failed.Shard
		}
		if asked != c.asked {
			t.Errorf("after %v: asked %v, want %v", c.ends, asked, c.asked)
		}
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
	for now, want := range map[int64]int{-100: 2, 100: -1, 500: -2, 650: -1, 750: 0} {
		if got := f.changeSince(at(800), at(now)); got != want {
			t.Errorf("since %d ms: %d, want %d", now, got, want)
		}
	}
	if got := f.changeSince(at(1<<20), at(0)); got != 0 {
		t.Errorf("after a long time: %d, want 0", got)
	}
}
