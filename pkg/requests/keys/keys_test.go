package keys

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// TestMain ignores the goroutines that run before the first test: go-zero starts two at package initialisation.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m, goleak.IgnoreCurrent()) }

// alive is a Liveness made of the incarnations that live.
type alive struct {
	mu   sync.Mutex
	dead map[string]bool
}

func (a *alive) Alive(_ structs.HostID, incarnation string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.dead[incarnation]
}

func (a *alive) kill(incarnation string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dead[incarnation] = true
}

// fixture is a store with hosts on it.
type fixture struct {
	store *fakeStore
	alive *alive
}

func newFixture() *fixture {
	return &fixture{newFakeStore(), &alive{dead: map[string]bool{}}}
}

func (f *fixture) host(incarnation string) *Keys {
	return NewKeys(Config{Store: f.store, Prefix: "/p/", Host: "host", Incarnation: incarnation, Liveness: f.alive})
}

// stop ends the background work of a host as its death would.
func stop(k *Keys) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = k.Close(ctx) // it always reports the cancelled context
}

func quote(body string) structs.Request {
	return structs.Request{ID: "id", Service: "quotes", Kind: "quote", Key: "key", Remaining: time.Minute, Body: []byte(body)}
}

func answered(body string) structs.Reply {
	return structs.Reply{Outcome: structs.Answered, Status: 201, Body: []byte(body), Runner: "r"}
}

func mustClaim(t *testing.T, k *Keys, body string) Claim {
	t.Helper()
	claim, reply, ok := k.Claim(t.Context(), quote(body))
	if !ok {
		t.Fatalf("not claimed: %+v", reply)
	}
	return claim
}

func refusedWith(t *testing.T, k *Keys, body string, outcome structs.Outcome, reason string) {
	t.Helper()
	_, reply, ok := k.Claim(t.Context(), quote(body))
	if ok || reply.Outcome != outcome || reply.Reason != reason {
		t.Fatalf("claimed %v, got %s (%s), want %s (%s)", ok, reply.Outcome, reply.Reason, outcome, reason)
	}
}

// Guards against repeats through the same or another host that run again, get another outcome, or are not told
// apart from other requests.
func TestRepeatsGetTheRecordedOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		a, b := f.host("a"), f.host("b")
		claim := mustClaim(t, a, "body")
		for _, k := range []*Keys{a, b} {
			refusedWith(t, k, "body", structs.OutcomeUnknown, structs.ReasonInProgress)
			refusedWith(t, k, "other", structs.NotRun, structs.ReasonKeyReused)
		}
		a.Finish(t.Context(), claim, structs.Reply{Outcome: structs.NotRun, Reason: structs.ReasonQueueFull})
		claim = mustClaim(t, b, "body")
		refusedWith(t, a, "body", structs.OutcomeUnknown, structs.ReasonInProgress)
		b.Finish(t.Context(), claim, answered("result"))
		for _, k := range []*Keys{a, b} {
			_, reply, ok := k.Claim(t.Context(), quote("body"))
			if ok || reply.Outcome != structs.Answered || reply.Status != 201 || string(reply.Body) != "result" {
				t.Fatalf("repeat got %+v", reply)
			}
			refusedWith(t, k, "other", structs.NotRun, structs.ReasonKeyReused)
		}
	})
}

// Guards against answering a repeat with a part of a large answer.
func TestLargeAnswerIsNotRepeatedInPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		a := f.host("a")
		a.Finish(t.Context(), mustClaim(t, a, "body"), answered(strings.Repeat("x", MaxKeptBody+1)))
		refusedWith(t, f.host("b"), "body", structs.OutcomeUnknown, structs.ReasonAnswerNotKept)
	})
}

// Guards against running again what a dead host may have sent, and against 409 for ever.
func TestIntentOfADeadHolderIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		a, b := f.host("a"), f.host("b")
		mustClaim(t, a, "body")
		refusedWith(t, b, "body", structs.OutcomeUnknown, structs.ReasonInProgress)
		f.alive.kill("a")
		refusedWith(t, b, "body", structs.OutcomeUnknown, structs.ReasonHolderLost)
		f.alive.dead = map[string]bool{}
		<-time.After(time.Minute + 2*IntentGrace)
		refusedWith(t, b, "body", structs.OutcomeUnknown, structs.ReasonHolderLost)
	})
}

// Guards against handing out a claim without a record, and against a record that blocks its key although nothing
// was sent.
func TestStoreFaultsOnTheIntent(t *testing.T) {
	t.Run("refused", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			a := f.host("a")
			f.store.setFault(always(refused))
			refusedWith(t, a, "body", structs.NotRun, structs.ReasonStoreUnavailable)
			f.store.setFault(nil)
			mustClaim(t, f.host("b"), "body")
		})
	})
	t.Run("answer lost, found on reading", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			f.store.setFault(always(lost))
			mustClaim(t, f.host("a"), "body")
			refusedWith(t, f.host("b"), "body", structs.OutcomeUnknown, structs.ReasonInProgress)
		})
	})
	t.Run("answer lost and store down, then repeated here", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			a := f.host("a")
			f.store.setFault(always(lost))
			f.store.failGets(true)
			refusedWith(t, a, "body", structs.NotRun, structs.ReasonStoreUnavailable)
			f.store.setFault(nil)
			f.store.failGets(false)
			refusedWith(t, f.host("b"), "body", structs.OutcomeUnknown, structs.ReasonInProgress)
			mustClaim(t, a, "body")
			refusedWith(t, f.host("b"), "body", structs.OutcomeUnknown, structs.ReasonInProgress)
			<-time.After(ResolveFor)
		})
	})
	t.Run("no answer in time", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			a := f.host("a")
			f.store.hang = make(chan struct{})
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			if _, reply, ok := a.Claim(ctx, quote("body")); ok || reply.Outcome != structs.NotRun {
				t.Fatalf("claimed %v, got %+v", ok, reply)
			}
			close(f.store.hang)
			<-time.After(time.Second) // the record is resolved
			mustClaim(t, f.host("b"), "body")
		})
	})
	for name, before := range map[string]bool{"takes effect after the reply": false, "the same on a not-run record": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture()
				a := f.host("a")
				if before {
					a.Finish(t.Context(), mustClaim(t, a, "body"), structs.Reply{Outcome: structs.NotRun})
				}
				f.store.setFault(always(late))
				refusedWith(t, a, "body", structs.NotRun, structs.ReasonStoreUnavailable)
				f.store.setFault(nil)
				<-time.After(ResolveFor / 2) // the record is resolved
				f.store.applyLate()
				mustClaim(t, f.host("b"), "body")
			})
		})
	}
}

// Guards against a reply that waits for a store that is down, against losing the outcome meanwhile, and against
// running again what the holder has given up to record.
func TestOutcomeIsRecordedAfterAnOutage(t *testing.T) {
	for outage, want := range map[time.Duration]string{time.Minute: "result", 2 * ResolveFor: ""} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture()
			a := f.host("a")
			claim := mustClaim(t, a, "body")
			f.store.setFault(always(refused))
			before := time.Now()
			a.Finish(t.Context(), claim, answered("result"))
			if waited := time.Since(before); waited != RecordWait {
				t.Fatalf("reply waited %v", waited)
			}
			if _, reply, ok := a.Claim(t.Context(), quote("body")); ok || string(reply.Body) != "result" {
				t.Fatalf("repeat at the holder got %+v", reply)
			}
			refusedWith(t, f.host("b"), "body", structs.NotRun, structs.ReasonStoreUnavailable)
			<-time.After(outage)
			f.store.setFault(nil)
			<-time.After(maxBackOff)
			for _, k := range []*Keys{a, f.host("b")} {
				_, reply, ok := k.Claim(t.Context(), quote("body"))
				if ok || string(reply.Body) != want || (reply.Outcome == structs.Answered) != (want != "") {
					t.Fatalf("after an outage of %v: claimed %v, got %+v", outage, ok, reply)
				}
			}
		})
	}
}

// Guards against a late record of a not-run outcome that replaces the intent of the next claim, after which the
// request could be claimed and run again.
func TestLateOutcomeDoesNotReplaceTheNextClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		a := f.host("a")
		claim := mustClaim(t, a, "body")
		f.store.setFault(func(txn store.Txn) fault {
			if record, err := decode(txn.Puts[0].Value); err != nil || record.State == NotRun {
				return refused
			}
			return noFault
		})
		a.Finish(t.Context(), claim, structs.Reply{Outcome: structs.NotRun})
		mustClaim(t, a, "body")
		f.store.setFault(nil)
		<-time.After(10 * time.Second) // the first outcome is given up, the second claim is in progress
		refusedWith(t, f.host("b"), "body", structs.OutcomeUnknown, structs.ReasonInProgress)
	})
}

// Guards against two claims of one key at the same time.
func TestConcurrentClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		var claimed sync.Map
		var wait sync.WaitGroup
		for i := range 4 {
			k := f.host(fmt.Sprint(i))
			for j := range 8 {
				wait.Go(func() {
					if _, _, ok := k.Claim(t.Context(), quote("body")); ok {
						claimed.Store([2]int{i, j}, true)
					}
				})
			}
		}
		wait.Wait()
		n := 0
		claimed.Range(func(any, any) bool { n++; return true })
		if n != 1 {
			t.Fatalf("%d claims of one key", n)
		}
	})
}

// Guards against running a request twice, or reporting another outcome than the recorded one, under lost, late
// and refused writes, dying hosts and repeats through any of them.
func TestNeverRunsTwiceUnderFaults(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { faultySequence(t, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}

func faultySequence(t *testing.T, rnd *rand.Rand) {
	f := newFixture()
	faults := rand.New(rand.NewPCG(rnd.Uint64(), 2)) // used under the store's lock
	f.store.setFault(func(store.Txn) fault { return fault(faults.IntN(5)) % 4 })
	incarnations := 0
	start := func() *Keys {
		incarnations++
		return f.host(fmt.Sprint(incarnations))
	}
	hosts := []*Keys{start(), start(), start()}
	var ran *structs.Reply // outcome of the one run, if there was one
	for range 30 {
		i := rnd.IntN(len(hosts))
		switch rnd.IntN(6) {
		case 0:
			f.alive.kill(hosts[i].cfg.Incarnation)
			stop(hosts[i])
			hosts[i] = start()
		case 1:
			f.store.applyLate()
			f.store.failGets(rnd.IntN(2) == 0)
		default:
			ran = claimAndRun(t, hosts[i], rnd, ran)
		}
	}
	f.store.setFault(nil)
	f.store.failGets(false)
	f.store.applyLate()
	for _, k := range hosts {
		if err := k.Close(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	claimAndRun(t, start(), rnd, ran)
}

// claimAndRun makes one request through k, and runs it if it is claimed. ran is the outcome of an earlier run.
func claimAndRun(t *testing.T, k *Keys, rnd *rand.Rand, ran *structs.Reply) *structs.Reply {
	t.Helper()
	claim, reply, ok := k.Claim(t.Context(), quote("body"))
	if !ok {
		if reply.Outcome == structs.Answered && (ran == nil || string(reply.Body) != string(ran.Body)) {
			t.Fatalf("answered %q, but the run gave %+v", reply.Body, ran)
		}
		return ran
	}
	if ran != nil {
		t.Fatalf("claimed again after a run with %+v", *ran)
	}
	switch rnd.IntN(4) {
	case 0:
		reply = structs.Reply{Outcome: structs.NotRun, Reason: structs.ReasonQueueFull}
	case 1:
		reply = structs.Reply{Outcome: structs.OutcomeUnknown, Reason: structs.ReasonRunnerLost}
		ran = &reply
	case 2: // the host dies between intent and outcome
		ran = &structs.Reply{Outcome: structs.OutcomeUnknown}
		return ran
	default:
		reply = answered(fmt.Sprint(rnd.Uint64()))
		ran = &reply
	}
	k.Finish(t.Context(), claim, reply)
	return ran
}
