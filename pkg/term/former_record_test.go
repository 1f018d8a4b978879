package term

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
	"fulmarcourse.example/fulmarcourse/test/poll"
)

// ownerAfter returns a store in which host b has owned the partition and host a owns it now, and the record of the term that b wrote.
// seenByA returns the store as host a sees it.
func ownerAfter(t *testing.T, seenByA func(*kvtest.Store) kv.Store) (store *kvtest.Store, owner *Ownership, former string) {
	t.Helper()
	store = kvtest.NewStore()
	first := acquire(t, candidate(t, store, "b", "b0"))
	item, _, err := store.Get(t.Context(), statekeys.Term(testPartition))
	if err != nil {
		t.Fatal(err)
	}
	store.EndLease(first.leaseID())
	c := candidate(t, store, "a", "a1")
	c.cfg.Store = seenByA(store)
	return store, acquire(t, c), string(item.Value)
}

// Scenario: another writer puts the former record of the term back. Guards against a next owner in a term that has been used: two holders
// with one fencing token, or a lower one after a higher one.
func TestTermAfterARestoredRecordIsNew(t *testing.T) {
	store, owner, former := ownerAfter(t, func(s *kvtest.Store) kv.Store { return s })
	put(t, store, statekeys.Term(testPartition), former)
	store.EndLease(owner.leaseID())
	if next := acquire(t, candidate(t, store, "c", "c1")); next.Term <= owner.Term {
		t.Errorf("term %d after an owner in term %d", next.Term, owner.Term)
	}
}

// Guards against the same in the ways in which another writer may leave the term and its copy: none of them makes an owner take a term that
// has been used, also not the second one after it, and without another writer terms rise by one.
func TestTermsRiseWhateverAnotherWriterDoes(t *testing.T) {
	termKey, copyKey := statekeys.Term(testPartition), statekeys.TermCopy(testPartition)
	remove := func(t *testing.T, store *kvtest.Store, keys ...string) {
		t.Helper()
		if _, err := store.Commit(t.Context(), kv.Txn{Delete: keys}); err != nil {
			t.Fatal(err)
		}
	}
	for name, change := range map[string]func(t *testing.T, store *kvtest.Store, former string){
		"term put back": func(t *testing.T, store *kvtest.Store, former string) { put(t, store, termKey, former) },
		"copy put back": func(t *testing.T, store *kvtest.Store, former string) { put(t, store, copyKey, former) },
		"both put back, one by one": func(t *testing.T, store *kvtest.Store, former string) {
			put(t, store, termKey, former)
			put(t, store, copyKey, former)
		},
		"term put back twice": func(t *testing.T, store *kvtest.Store, former string) {
			put(t, store, termKey, former)
			put(t, store, termKey, former)
		},
		"term deleted": func(t *testing.T, store *kvtest.Store, _ string) { remove(t, store, termKey) },
		"term put back, copy deleted": func(t *testing.T, store *kvtest.Store, former string) {
			put(t, store, termKey, former)
			remove(t, store, copyKey)
		},
		"nothing": func(*testing.T, *kvtest.Store, string) {},
	} {
		t.Run(name, func(t *testing.T) {
			store, owner, former := ownerAfter(t, func(s *kvtest.Store) kv.Store { return s })
			change(t, store, former)
			store.EndLease(owner.leaseID())
			next := acquire(t, candidate(t, store, "c", "c1"))
			store.EndLease(next.leaseID())
			last := acquire(t, candidate(t, store, "d", "d1"))
			if next.Term <= owner.Term || last.Term != next.Term+1 {
				t.Errorf("terms %d and %d after an owner in term %d", next.Term, last.Term, owner.Term)
			}
			if name == "nothing" && next.Term != owner.Term+1 {
				t.Errorf("term %d after term %d", next.Term, owner.Term)
			}
		})
	}
}

// Scenario: a candidate has acquired the partition without an answer, and another writer puts the former record of the term back before the
// candidate sees its own record. Guards against an owner in that former term, which has been used.
func TestUnansweredAcquisitionBesideARestoredTermIsNotTakenOver(t *testing.T) {
	store, owner, former := ownerAfter(t, func(s *kvtest.Store) kv.Store { return s })
	store.EndLease(owner.leaseID())
	c := candidate(t, store, "c", "c1")
	unanswered := acquire(t, c)
	put(t, store, statekeys.Term(testPartition), former)
	next := NewCandidate(c.cfg, c.view) // has had no answer
	poll.Until(t, "the former term is seen", func() bool { return c.view.State(testPartition).TermRevision() > unanswered.Revision })
	if taken := next.tryAcquire(t.Context(), c.view.State(testPartition)); taken != nil {
		t.Errorf("owner in term %d after term %d", taken.Term, unanswered.Term)
	}
}

// slowRead is a store that does not answer the first read of a single record.
type slowRead struct {
	kv.Store
	reads atomic.Int64
}

func (s *slowRead) Get(ctx context.Context, key string) (kv.Item, bool, error) {
	if s.reads.Add(1) > 1 {
		return s.Store.Get(ctx, key)
	}
	<-ctx.Done()
	return kv.Item{}, false, kv.ErrNotDone
}

// Scenario: another writer puts the former record of the term back and a copy of the former owner's record in place of the owner's. One
// read of the owner on another host is not answered, so that the check fails and is repeated, while its lease is renewed. Guards against a
// second owner, on the host that the former records name, while the first one is confirmed.
func TestHostOfARestoredTermDoesNotReplaceAConfirmedOwner(t *testing.T) {
	store, owner, former := ownerAfter(t, func(s *kvtest.Store) kv.Store { return &slowRead{Store: s} })
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go owner.Renew(ctx)
	put(t, store, statekeys.Term(testPartition), former)
	put(t, store, statekeys.Owner(testPartition), string(mustEncode(Record{Host: "b", Incarnation: "b0", Address: "b:1", Term: 1})))
	c := candidate(t, store, "b", "b1")
	poll.Until(t, "the records are read", func() bool { return c.view.State(testPartition).Owner.Incarnation == "b0" })
	started := time.Now()
	second := acquire(t, c)
	if left := owner.ValidUntil() - bootclock.Uptime(); left > 0 && !isLost(owner) {
		t.Errorf("after %v host b owns the partition in term %d, and host a in term %d for %v at least",
			time.Since(started).Round(10*time.Millisecond), second.Term, owner.Term, left.Round(10*time.Millisecond))
	}
}
