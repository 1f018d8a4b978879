package keys

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// TestMain ignores the goroutines that run before the first test: go-zero starts two at package initialisation.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m, goleak.IgnoreCurrent()) }

// fakeLiveness is a Liveness that reports every incarnation as alive except those in dead.
type fakeLiveness struct{ dead sync.Map }

func (a *fakeLiveness) Alive(_ structs.HostID, incarnation string) bool {
	_, dead := a.dead.Load(incarnation)
	return !dead
}

// fixture is a store shared by several hosts.
type fixture struct {
	store    *fakeStore
	liveness *fakeLiveness
}

func (f *fixture) host(incarnation string) *Keys {
	return NewKeys(Config{Store: f.store, Prefix: "/p/", Host: "host", Incarnation: incarnation, Liveness: f.liveness})
}

// want fails the test unless got equals expected.
func want[T comparable](t testing.TB, got, expected T, subject string) {
	t.Helper()
	if got != expected {
		t.Fatalf("%s: got %v, want %v", subject, got, expected)
	}
}

// withTwoHosts returns a test on virtual time with two hosts that share one store.
func withTwoHosts(test func(t *testing.T, f *fixture, a, b *Keys)) func(*testing.T) {
	return func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := &fixture{newFakeStore(), &fakeLiveness{}}
			test(t, f, f.host("a"), f.host("b"))
		})
	}
}

func quoteRequest(body string) structs.Request {
	return structs.Request{ID: "id", Service: "quotes", Kind: "quote", Key: "key", Remaining: time.Minute, Body: []byte(body)}
}

func answered(body string) structs.Reply {
	return structs.Reply{Outcome: structs.Answered, Status: 201, Body: []byte(body), Runner: "r"}
}

func mustClaim(t *testing.T, k *Keys, body string) Claim {
	t.Helper()
	claim, reply, ok := k.Claim(t.Context(), quoteRequest(body))
	want(t, ok, true, "claimed, or rejected as "+reply.Reason)
	return claim
}

func wantRejected(t *testing.T, k *Keys, body string, outcome structs.Outcome, reason string) {
	t.Helper()
	_, reply, ok := k.Claim(t.Context(), quoteRequest(body))
	want(t, ok, false, "claimed")
	want(t, string(reply.Outcome)+" "+reply.Reason, string(outcome)+" "+reason, "reply")
}

// Guards against repeats through the same or another host that run again, get another outcome or a truncated answer, or
// are not distinguished from other requests with the same key.
func TestRepeatsGetTheRecordedOutcome(t *testing.T) {
	withTwoHosts(func(t *testing.T, f *fixture, a, b *Keys) {
		claim := mustClaim(t, a, "body")
		for _, k := range []*Keys{a, b} {
			wantRejected(t, k, "body", structs.OutcomeUnknown, structs.ReasonInProgress)
			wantRejected(t, k, "other", structs.NotRun, structs.ReasonKeyReused)
		}
		a.Finish(t.Context(), claim, structs.Reply{Outcome: structs.NotRun, Reason: structs.ReasonQueueFull})
		claim = mustClaim(t, b, "body")
		wantRejected(t, a, "body", structs.OutcomeUnknown, structs.ReasonInProgress)
		b.Finish(t.Context(), claim, answered("result"))
		for _, k := range []*Keys{a, b} {
			_, reply, ok := k.Claim(t.Context(), quoteRequest("body"))
			want(t, ok, false, "claimed")
			want(t, fmt.Sprint(reply), fmt.Sprint(answered("result")), "reply of a repeat")
			wantRejected(t, k, "other", structs.NotRun, structs.ReasonKeyReused)
		}
	})(t)
	withTwoHosts(func(t *testing.T, f *fixture, a, b *Keys) {
		a.Finish(t.Context(), mustClaim(t, a, "body"), answered(strings.Repeat("x", MaxStoredBody+1)))
		wantRejected(t, b, "body", structs.OutcomeUnknown, structs.ReasonAnswerNotKept)
	})(t)
}

// Guards against running a request again that a dead host may have sent, and against answering "in progress" (409)
// forever.
func TestIntentOfADeadHolderIsUnknown(t *testing.T) {
	withTwoHosts(func(t *testing.T, f *fixture, a, b *Keys) {
		mustClaim(t, a, "body")
		wantRejected(t, b, "body", structs.OutcomeUnknown, structs.ReasonInProgress)
		f.liveness.dead.Store("a", true)
		wantRejected(t, b, "body", structs.OutcomeUnknown, structs.ReasonHolderLost)
		f.liveness.dead.Clear()
		<-time.After(time.Minute + 2*IntentGrace)
		wantRejected(t, b, "body", structs.OutcomeUnknown, structs.ReasonHolderLost)
	})(t)
}

// Guards against returning a claim without a stored record, and against a record that blocks its key although nothing
// was sent.
func TestStoreFaultsOnTheIntent(t *testing.T) {
	t.Run("unavailable", withTwoHosts(func(t *testing.T, f *fixture, a, b *Keys) {
		f.store.setFaults(everyTxn(unavailable), false)
		wantRejected(t, a, "body", structs.NotRun, structs.ReasonStoreUnavailable)
		f.store.setFaults(nil, false)
		mustClaim(t, b, "body")
	}))
	t.Run("response lost, found on reading", withTwoHosts(func(t *testing.T, f *fixture, a, b *Keys) {
		f.store.setFaults(everyTxn(lostResponse), false)
		mustClaim(t, a, "body")
		wantRejected(t, b, "body", structs.OutcomeUnknown, structs.ReasonInProgress)
	}))
	t.Run("response lost and store down, then repeated here", withTwoHosts(func(t *testing.T, f *fixture, a, b *Keys) {
		f.store.setFaults(everyTxn(lostResponse), true)
		wantRejected(t, a, "body", structs.NotRun, structs.ReasonStoreUnavailable)
		f.store.setFaults(nil, false)
		wantRejected(t, b, "body", structs.OutcomeUnknown, structs.ReasonInProgress)
		mustClaim(t, a, "body")
		wantRejected(t, b, "body", structs.OutcomeUnknown, structs.ReasonInProgress)
		<-time.After(ResolveTimeout)
	}))
	t.Run("no response in time", withTwoHosts(func(t *testing.T, f *fixture, a, b *Keys) {
		release := f.store.Block()
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, reply, ok := a.Claim(ctx, quoteRequest("body"))
		want(t, ok, false, "claimed")
		want(t, reply.Outcome, structs.NotRun, "outcome")
		release()
		<-time.After(time.Second) // the record is resolved
		mustClaim(t, b, "body")
	}))
	for name, before := range map[string]bool{"takes effect after the reply": false, "the same on a not-run record": true} {
		t.Run(name, withTwoHosts(func(t *testing.T, f *fixture, a, b *Keys) {
			if before {
				a.Finish(t.Context(), mustClaim(t, a, "body"), structs.Reply{Outcome: structs.NotRun})
			}
			f.store.setFaults(everyTxn(held), false)
			wantRejected(t, a, "body", structs.NotRun, structs.ReasonStoreUnavailable)
			f.store.setFaults(nil, false)
			<-time.After(ResolveTimeout / 2) // the record is resolved
			f.store.Deliver()
			mustClaim(t, b, "body")
		}))
	}
}

// Guards against a reply that waits for a store that is down, against losing the outcome during the outage, and against
// running a request again whose outcome was not recorded before ResolveTimeout.
func TestOutcomeIsRecordedAfterAnOutage(t *testing.T) {
	for outage, body := range map[time.Duration]string{time.Minute: "result", 2 * ResolveTimeout: ""} {
		withTwoHosts(func(t *testing.T, f *fixture, a, b *Keys) {
			claim := mustClaim(t, a, "body")
			f.store.setFaults(everyTxn(unavailable), false)
			before := time.Now()
			a.Finish(t.Context(), claim, answered("result"))
			want(t, time.Since(before), MaxRecordWait, "wait for the record")
			_, reply, ok := a.Claim(t.Context(), quoteRequest("body"))
			want(t, ok, false, "claimed")
			want(t, string(reply.Body), "result", "body of a repeat at the holder")
			wantRejected(t, b, "body", structs.NotRun, structs.ReasonStoreUnavailable)
			<-time.After(outage)
			f.store.setFaults(nil, false)
			<-time.After(maxBackOff)
			for _, k := range []*Keys{a, b} {
				_, reply, ok := k.Claim(t.Context(), quoteRequest("body"))
				want(t, ok, false, "claimed")
				want(t, string(reply.Body), body, fmt.Sprintf("body after an outage of %v", outage))
				want(t, reply.Outcome == structs.Answered, body != "", "answered")
			}
		})(t)
	}
}

// Guards against a late record of a not-run outcome that replaces the intent of the next claim, after which the
// request could be claimed and run again.
func TestLateOutcomeDoesNotReplaceTheNextClaim(t *testing.T) {
	withTwoHosts(func(t *testing.T, f *fixture, a, b *Keys) {
		claim := mustClaim(t, a, "body")
		f.store.setFaults(func(txn store.Txn) fault {
			if record, err := decode(txn.Puts[0].Value); err != nil || record.State == NotRun {
				return unavailable
			}
			return noFault
		}, false)
		a.Finish(t.Context(), claim, structs.Reply{Outcome: structs.NotRun})
		mustClaim(t, a, "body")
		f.store.setFaults(nil, false)
		<-time.After(10 * time.Second) // the record of the first outcome has ended, the second claim is in progress
		wantRejected(t, b, "body", structs.OutcomeUnknown, structs.ReasonInProgress)
	})(t)
}

// Guards against two claims of one key at the same time.
func TestConcurrentClaims(t *testing.T) {
	withTwoHosts(func(t *testing.T, f *fixture, a, b *Keys) {
		var claimed atomic.Int32
		var wait sync.WaitGroup
		for _, k := range []*Keys{a, b, f.host("c")} {
			for range 8 {
				wait.Go(func() {
					if _, _, ok := k.Claim(t.Context(), quoteRequest("body")); ok {
						claimed.Add(1)
					}
				})
			}
		}
		wait.Wait()
		want(t, claimed.Load(), 1, "claims of one key")
	})(t)
}

// Guards against running a request twice, or reporting another outcome than the recorded one, when writes are lost,
// delayed or refused, hosts stop, and repeats arrive at any host.
func TestNeverRunsTwiceUnderFaults(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { faultySequence(t, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}

// faultySequence claims and runs one key in random order with restarts of hosts and changes of the store's faults.
func faultySequence(t *testing.T, rnd *rand.Rand) {
	f := &fixture{newFakeStore(), &fakeLiveness{}}
	faults := rand.New(rand.NewPCG(rnd.Uint64(), 2)) // used under the store's lock
	anyFault := func(store.Txn) fault { return []fault{noFault, unavailable, lostResponse, held}[faults.IntN(5)%4] }
	f.store.setFaults(anyFault, false)
	dead, cancel := context.WithCancel(t.Context())
	cancel()
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
			f.liveness.dead.Store(hosts[i].cfg.Incarnation, true)
			_ = hosts[i].Close(dead) // ends its background work; the error shows only whether there was any
			hosts[i] = start()
		case 1:
			f.store.Deliver()
			f.store.setFaults(anyFault, rnd.IntN(2) == 0)
		default:
			ran = claimAndRun(t, hosts[i], rnd, ran)
		}
	}
	f.store.setFaults(nil, false)
	f.store.Deliver()
	for _, k := range hosts {
		want(t, k.Close(t.Context()), nil, "close")
	}
	claimAndRun(t, start(), rnd, ran)
}

// claimAndRun sends one request through k and runs it if the claim succeeds. ran is the outcome of an earlier run.
func claimAndRun(t *testing.T, k *Keys, rnd *rand.Rand, ran *structs.Reply) *structs.Reply {
	t.Helper()
	claim, reply, ok := k.Claim(t.Context(), quoteRequest("body"))
	if !ok {
		if reply.Outcome == structs.Answered && (ran == nil || string(reply.Body) != string(ran.Body)) {
			t.Fatalf("answered %q, but the run gave %+v", reply.Body, ran)
		}
		return ran
	}
	want(t, ran, nil, "earlier run of a claimed request")
	switch rnd.IntN(4) {
	case 0:
		reply = structs.Reply{Outcome: structs.NotRun, Reason: structs.ReasonQueueFull}
	case 1:
		reply = structs.Reply{Outcome: structs.OutcomeUnknown, Reason: structs.ReasonRunnerLost}
		ran = &reply
	case 2: // the host stops between intent and outcome
		return &structs.Reply{Outcome: structs.OutcomeUnknown}
	default:
		reply = answered(fmt.Sprint(rnd.Uint64()))
		ran = &reply
	}
	k.Finish(t.Context(), claim, reply)
	return ran
}
