package term

import (
	"context"
	"errors"
	"testing"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
	"fulmarcourse.example/fulmarcourse/pkg/mirror"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
	"fulmarcourse.example/fulmarcourse/test/poll"
)

const testPartition = statekeys.Partition(0)

// candidate returns a candidate on a host, with a view that mirrors the store.
func candidate(t *testing.T, store *kvtest.Store, host, incarnation string) *Candidate {
	t.Helper()
	view := NewView(eventlog.Discard())
	m := mirror.New(mirror.Config{
		Store: store, Prefix: statekeys.Owners, Wait: time.Second, Retry: time.Millisecond, Log: eventlog.Discard(),
		Reset: view.Reset, Apply: view.Apply,
	})
	poll.Background(t, m.Run)
	return NewCandidate(Config{
		Store: store, Partition: testPartition, Cores: 1, Log: eventlog.Discard(),
		Self: Record{Host: host, Incarnation: incarnation, Address: host + ":1"},
	}, view)
}

func acquire(t *testing.T, c *Candidate) *Ownership {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	ownership, err := c.Acquire(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return ownership
}

func isLost(o *Ownership) bool {
	select {
	case <-o.Lost():
		return true
	default:
		return false
	}
}

// Guards against a term that does not increase with each owner, and against writes of a former owner that still
// succeed.
func TestTermsRiseAndFenceFormerOwners(t *testing.T) {
	store := kvtest.NewStore()
	first := acquire(t, candidate(t, store, "a", "a1"))
	store.EndLease(first.leaseID())
	second := acquire(t, candidate(t, store, "b", "b1"))
	if first.Term != 1 || second.Term != 2 {
		t.Errorf("terms %d and %d, want 1 and 2", first.Term, second.Term)
	}
	write := func(o *Ownership) error {
		_, err := store.Commit(t.Context(), kv.Txn{If: []kv.Condition{o.Condition()}, Put: []kv.Put{{Key: "k"}}})
		return err
	}
	var conflict *kv.Conflict
	if err := write(first); !errors.As(err, &conflict) {
		t.Errorf("write of the former owner: error %v, want a conflict", err)
	}
	if err := write(second); err != nil {
		t.Errorf("write of the owner: %v", err)
	}
	if err := first.renewOnce(t.Context()); err == nil || !isLost(first) {
		t.Errorf("renewal of the former owner: error %v, want an error and a lost ownership", err)
	}
}

// Guards against two simultaneous owners: a held partition is not acquired, and exactly one of several candidates
// acquires a partition without an owner.
func TestOneCandidateSucceeds(t *testing.T) {
	store := kvtest.NewStore()
	ownerships := make(chan *Ownership)
	ctx, cancel := context.WithCancel(t.Context())
	const candidates = 5
	for n := range candidates {
		c := candidate(t, store, string(rune('a'+n)), string(rune('a'+n)))
		go func() {
			ownership, _ := c.Acquire(ctx) // fails only when the test cancels ctx
			ownerships <- ownership
		}()
	}
	owner := <-ownerships
	select {
	case other := <-ownerships:
		t.Errorf("terms %d and %d are held at the same time", owner.Term, other.Term)
	case <-time.After(4 * maxCampaignDelay):
	}
	cancel()
	for range candidates - 1 {
		if ownership := <-ownerships; ownership != nil {
			t.Errorf("term %d is held at the same time", ownership.Term)
		}
	}
}

// Guards against a change of owner when the store ends a lease early: the owner restores its record and keeps its term.
func TestOwnerRestoresItsRecord(t *testing.T) {
	store := kvtest.NewStore()
	ownership := acquire(t, candidate(t, store, "a", "a1"))
	before := ownership.leaseID()
	store.EndLease(before)
	if err := ownership.renewOnce(t.Context()); err != nil {
		t.Fatal(err)
	}
	if isLost(ownership) || ownership.leaseID() == before {
		t.Errorf("lost %v, lease %d after lease %d", isLost(ownership), ownership.leaseID(), before)
	}
	if _, found, _ := store.Get(t.Context(), statekeys.Owner(testPartition)); !found {
		t.Error("the owner's record is missing")
	}
}

// Guards against an owner that restores its record, does not receive the response, and then mistakes its own record for
// that of another host.
func TestUnansweredRestoreIsFound(t *testing.T) {
	store := kvtest.NewStore()
	ownership := acquire(t, candidate(t, store, "a", "a1"))
	store.EndLease(ownership.leaseID())
	store.SetFault(func(call string) kvtest.Fault {
		if call == "Commit" {
			return kvtest.LoseResponse
		}
		return kvtest.None
	})
	if err := ownership.renewOnce(t.Context()); err == nil {
		t.Fatal("a lost response counts as a confirmation")
	}
	store.SetFault(func(string) kvtest.Fault { return kvtest.None })
	_ = ownership.renewOnce(t.Context()) // finds the record and adopts its lease
	if err := ownership.renewOnce(t.Context()); err != nil || isLost(ownership) {
		t.Errorf("lost %v, %v", isLost(ownership), err)
	}
}

// Guards against extending the confirmed ownership while the store does not answer.
func TestUnansweredRenewalConfirmsNothing(t *testing.T) {
	store := kvtest.NewStore()
	ownership := acquire(t, candidate(t, store, "a", "a1"))
	before := ownership.ValidUntil()
	store.SetFault(func(string) kvtest.Fault { return kvtest.LoseResponse })
	for range 3 {
		if err := ownership.renewOnce(t.Context()); err == nil {
			t.Fatal("a lost response counts as a confirmation")
		}
	}
	if ownership.ValidUntil() != before || isLost(ownership) {
		t.Errorf("valid until %v after %v, lost %v", ownership.ValidUntil(), before, isLost(ownership))
	}
}

// Guards against a restarted process that waits for the lease of its previous process to expire.
func TestRestartedProcessAcquiresItsFormerRecord(t *testing.T) {
	store := kvtest.NewStore()
	first := acquire(t, candidate(t, store, "a", "a1"))
	second := acquire(t, candidate(t, store, "a", "a2"))
	if second.Term != first.Term+1 {
		t.Errorf("term %d after term %d", second.Term, first.Term)
	}
}

// Guards against an owner that stops without releasing its lease, so that its successor has to wait for the expiry.
func TestReleaseLetsTheNextOwnerAcquire(t *testing.T) {
	store := kvtest.NewStore()
	ownership := acquire(t, candidate(t, store, "a", "a1"))
	ownership.Release(t.Context())
	if next := acquire(t, candidate(t, store, "b", "b1")); next.Term != 2 {
		t.Errorf("term %d, want 2", next.Term)
	}
}

// Scenario: the strongest hosts fail together and return within two seconds. Guards against a weak host that acquires the
// partition at once and then delays all jobs, and against hosts of equal strength that wait for nobody.
func TestWeakCandidateWaitsForStrongerHosts(t *testing.T) {
	store := kvtest.NewStore()
	strong := candidate(t, store, "strong", "1")
	strong.cfg.Cores = 0.8
	first := acquire(t, strong)
	state := strong.view.State(testPartition)
	poll.Until(t, "the view shows the term", func() bool {
		state = strong.view.State(testPartition)
		return state.Term == 1
	})
	weak := candidate(t, store, "weak", "1")
	weak.cfg.Cores = 0.2
	if delay := weak.campaignDelay(state); delay < weakDelay {
		t.Errorf("a weak candidate waits %v", delay)
	}
	if delay := strong.campaignDelay(state); delay >= weakDelay {
		t.Errorf("a candidate as strong as the latest owner waits %v", delay)
	}
	store.EndLease(first.leaseID())
	if ownership := acquire(t, weak); ownership.Term != 2 {
		t.Errorf("term %d, want 2", ownership.Term)
	}
}
