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

// candidate returns a candidate on a host with a view that follows the store.
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

func acquire(t *testing.T, c *Candidate) *Holding {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	holding, err := c.Acquire(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return holding
}

func isLost(h *Holding) bool {
	select {
	case <-h.Lost():
		return true
	default:
		return false
	}
}

// Guards against a term that does not rise with each owner, and against a former owner whose writes still pass.
func TestTermsRiseAndFenceFormerOwners(t *testing.T) {
	store := kvtest.NewStore()
	first := acquire(t, candidate(t, store, "a", "a1"))
	store.EndLease(first.leaseID())
	second := acquire(t, candidate(t, store, "b", "b1"))
	if first.Term != 1 || second.Term != 2 {
		t.Errorf("terms %d and %d", first.Term, second.Term)
	}
	write := func(h *Holding) error {
		_, err := store.Commit(t.Context(), kv.Txn{If: []kv.Condition{h.Condition()}, Put: []kv.Put{{Key: "k"}}})
		return err
	}
	var conflict *kv.Conflict
	if err := write(first); !errors.As(err, &conflict) {
		t.Errorf("a write of the former owner: %v", err)
	}
	if err := write(second); err != nil {
		t.Errorf("a write of the owner: %v", err)
	}
	if err := first.renewOnce(t.Context()); err == nil || !isLost(first) {
		t.Errorf("the former owner has not noticed: %v", err)
	}
}

// Guards against two owners at the same time: a partition that is held is not acquired, and of many candidates for a
// vacant one a single one succeeds.
func TestOneCandidateSucceeds(t *testing.T) {
	store := kvtest.NewStore()
	holdings := make(chan *Holding)
	ctx, cancel := context.WithCancel(t.Context())
	const candidates = 5
	for n := range candidates {
		c := candidate(t, store, string(rune('a'+n)), string(rune('a'+n)))
		go func() {
			holding, _ := c.Acquire(ctx) // it fails only at the end of the test
			holdings <- holding
		}()
	}
	owner := <-holdings
	select {
	case other := <-holdings:
		t.Errorf("terms %d and %d are held", owner.Term, other.Term)
	case <-time.After(4 * maxCampaignDelay):
	}
	cancel()
	for range candidates - 1 {
		if holding := <-holdings; holding != nil {
			t.Errorf("term %d is held besides", holding.Term)
		}
	}
}

// Guards against a change of the owner when the store ends leases without need: the owner goes on in the same term.
func TestOwnerRestoresItsRecord(t *testing.T) {
	store := kvtest.NewStore()
	holding := acquire(t, candidate(t, store, "a", "a1"))
	before := holding.leaseID()
	store.EndLease(before)
	if err := holding.renewOnce(t.Context()); err != nil {
		t.Fatal(err)
	}
	if isLost(holding) || holding.leaseID() == before {
		t.Errorf("lost %v, lease %d after %d", isLost(holding), holding.leaseID(), before)
	}
	if _, found, _ := store.Get(t.Context(), statekeys.Holder(testPartition)); !found {
		t.Error("there is no record")
	}
}

// Guards against an owner that restores its record, hears no answer, and then takes its own record for that of another
// host.
func TestUnansweredRestoreIsFound(t *testing.T) {
	store := kvtest.NewStore()
	holding := acquire(t, candidate(t, store, "a", "a1"))
	store.EndLease(holding.leaseID())
	store.SetFault(func(call string) kvtest.Fault {
		if call == "Commit" {
			return kvtest.LoseResponse
		}
		return kvtest.None
	})
	if err := holding.renewOnce(t.Context()); err == nil {
		t.Fatal("a lost answer counts as a confirmation")
	}
	store.SetFault(func(string) kvtest.Fault { return kvtest.None })
	_ = holding.renewOnce(t.Context()) // it finds the record, whose lease it does not know yet
	if err := holding.renewOnce(t.Context()); err != nil || isLost(holding) {
		t.Errorf("lost %v, %v", isLost(holding), err)
	}
}

// Guards against an owner that counts as confirmed while the store does not answer.
func TestUnansweredRenewalConfirmsNothing(t *testing.T) {
	store := kvtest.NewStore()
	holding := acquire(t, candidate(t, store, "a", "a1"))
	before := holding.ValidUntil()
	store.SetFault(func(string) kvtest.Fault { return kvtest.LoseResponse })
	for range 3 {
		if err := holding.renewOnce(t.Context()); err == nil {
			t.Fatal("a lost answer counts as a confirmation")
		}
	}
	if holding.ValidUntil() != before || isLost(holding) {
		t.Errorf("valid until %v after %v, lost %v", holding.ValidUntil(), before, isLost(holding))
	}
}

// Guards against a restarted process that waits for the lease of the process before it.
func TestRestartedProcessAcquiresItsFormerRecord(t *testing.T) {
	store := kvtest.NewStore()
	first := acquire(t, candidate(t, store, "a", "a1"))
	second := acquire(t, candidate(t, store, "a", "a2"))
	if second.Term != first.Term+1 {
		t.Errorf("term %d after %d", second.Term, first.Term)
	}
}

// Guards against an owner that stops and leaves its successor to wait for the end of its lease.
func TestReleaseLetsTheNextOwnerIn(t *testing.T) {
	store := kvtest.NewStore()
	holding := acquire(t, candidate(t, store, "a", "a1"))
	holding.Release(t.Context())
	if next := acquire(t, candidate(t, store, "b", "b1")); next.Term != 2 {
		t.Errorf("term %d", next.Term)
	}
}
