package term

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
	"fulmarcourse.example/fulmarcourse/test/poll"
)

// oddRecords are values of other writers.
var oddRecords = map[string]string{
	"empty": "", "no text": "\xff", "null": "null", "no object": "7", "fields missing": "{}", "deeply nested": strings.Repeat("[", 300000),
	"large number": `{"term":1e400}`, "20 digits": `{"term":99999999999999999999}`, "largest term": `{"term":9223372036854775807}`,
	"negative": `{"term":-1}`, "other types": `{"term":"x","host":[],"address":7}`, "text of 1 MiB": `"` + strings.Repeat("x", 1<<20) + `"`,
}

func put(t *testing.T, store *kvtest.Store, key, value string) {
	t.Helper()
	if _, err := store.Commit(t.Context(), kv.Txn{Put: []kv.Put{{Key: key, Value: []byte(value)}}}); err != nil {
		t.Fatal(err)
	}
}

// Guards against owners whose orders every worker rejects, because another writer has overwritten the term: the next term has to be
// above all that the workers may have seen, and must not overflow.
func TestOddTermIsFollowedByAHigherOne(t *testing.T) {
	for name, value := range oddRecords {
		store := kvtest.NewStore()
		first := acquire(t, candidate(t, store, "a", "a1"))
		put(t, store, statekeys.Term(testPartition), value)
		store.EndLease(first.leaseID())
		second := acquire(t, candidate(t, store, "b", "b1"))
		if second.Term <= first.Term || second.Term > 100 {
			t.Errorf("%s: term %d after %d", name, second.Term, first.Term)
		}
		store.EndLease(second.leaseID())
		if third := acquire(t, candidate(t, store, "c", "c1")); third.Term != second.Term+1 {
			t.Errorf("%s: term %d after %d", name, third.Term, second.Term)
		}
	}
}

// Scenario: another writer overwrites the record of a live owner. Guards against a record without a lease that stays when the owner
// ends, so that the partition never gets another owner.
func TestOwnerReplacesAnOddRecord(t *testing.T) {
	for name, value := range oddRecords {
		store := kvtest.NewStore()
		owner := acquire(t, candidate(t, store, "a", "a1"))
		put(t, store, statekeys.Owner(testPartition), value)
		owner.check(t.Context())
		item, _, err := store.Get(t.Context(), statekeys.Owner(testPartition))
		if err != nil || item.Lease != owner.leaseID() || !strings.Contains(string(item.Value), `"a1"`) || isLost(owner) {
			t.Errorf("%s: record %.100s under lease %d, error %v", name, item.Value, item.Lease, err)
		}
	}
}

// Scenario: as before, and the owner ends before it has replaced the record. Guards against a partition without an owner for good, and
// against a second owner while the first one is confirmed.
func TestOddRecordOfAnEndedOwnerIsReplaced(t *testing.T) {
	for name, value := range oddRecords {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := kvtest.NewStore()
			put(t, store, statekeys.Owner(testPartition), value)
			c := candidate(t, store, "b", "b1")
			poll.Until(t, "the records are read", func() bool { return c.view.State(testPartition).read })
			started := time.Now()
			owner := acquire(t, c)
			if took := time.Since(started); owner.Term != 1 || took < maxUnchecked+TTL || took > unleasedGrace+time.Second {
				t.Errorf("acquired in term %d after %v, want term 1 after %v", owner.Term, took, unleasedGrace)
			}
		})
	}
}

// Guards against an owner that counts as confirmed although it cannot read whether its record was overwritten.
func TestRenewalConfirmsOnlyACheckedRecord(t *testing.T) {
	store := kvtest.NewStore()
	owner := acquire(t, candidate(t, store, "a", "a1"))
	owner.checkedAt -= maxUnchecked
	before := owner.ValidUntil()
	if err := owner.renewOnce(t.Context()); err != nil || owner.ValidUntil() != before {
		t.Errorf("error %v, valid until %v, want still %v", err, owner.ValidUntil(), before)
	}
	owner.check(t.Context())
	if err := owner.renewOnce(t.Context()); err != nil || owner.ValidUntil() <= before {
		t.Errorf("error %v, valid until %v, want a later time", err, owner.ValidUntil())
	}
}

// Scenario: another writer deletes the record of a live owner, and another host acquires the partition. Guards against a former owner
// that stays confirmed because its lease goes on.
func TestRecordOfAnotherOwnerConfirmsNothing(t *testing.T) {
	store := kvtest.NewStore()
	former := acquire(t, candidate(t, store, "a", "a1"))
	if _, err := store.Commit(t.Context(), kv.Txn{Delete: []string{statekeys.Owner(testPartition)}}); err != nil {
		t.Fatal(err)
	}
	acquire(t, candidate(t, store, "b", "b1"))
	former.checkedAt -= maxUnchecked
	before := former.ValidUntil()
	former.check(t.Context())
	if err := former.renewOnce(t.Context()); err != nil || former.ValidUntil() != before || !isLost(former) {
		t.Errorf("error %v, valid until %v, want still %v; lost: %t", err, former.ValidUntil(), before, isLost(former))
	}
}

// Scenario: another writer overwrites the record of a live owner with one that names another host, for instance a copy of a former
// record. Guards against that host as a second owner, in the same term if the copy names its process, while the first one is confirmed.
func TestRecordWithoutALeaseGivesNobodyThePartition(t *testing.T) {
	for _, incarnation := range []string{"b0", "b1"} {
		store := kvtest.NewStore()
		owner := acquire(t, candidate(t, store, "a", "a1"))
		c := candidate(t, store, "b", "b1")
		record := c.cfg.Self
		record.Incarnation, record.Term = incarnation, owner.Term
		put(t, store, statekeys.Owner(testPartition), string(mustEncode(record)))
		poll.Until(t, "the record is seen", func() bool { return c.view.State(testPartition).Owner.Incarnation == incarnation })
		if second := c.tryAcquire(t.Context(), c.view.State(testPartition)); second != nil {
			t.Errorf("incarnation %s: acquired in term %d beside the owner of term %d", incarnation, second.Term, owner.Term)
		}
	}
}

// Guards against an owner whose record stays deleted.
func TestOwnerWritesADeletedRecordAgain(t *testing.T) {
	store := kvtest.NewStore()
	owner := acquire(t, candidate(t, store, "a", "a1"))
	if _, err := store.Commit(t.Context(), kv.Txn{Delete: []string{statekeys.Owner(testPartition)}}); err != nil {
		t.Fatal(err)
	}
	owner.check(t.Context())
	item, found, err := store.Get(t.Context(), statekeys.Owner(testPartition))
	if err != nil || !found || item.Lease != owner.leaseID() || isLost(owner) {
		t.Errorf("found %t under lease %d, error %v", found, item.Lease, err)
	}
}

// Scenario: the store answers renewals and refuses single reads, which cost ten times as much, when its rate limit is reached. Guards
// against an owner that is no longer confirmed after as few as three of them.
func TestFailedCheckIsRepeatedSoon(t *testing.T) {
	t.Parallel()
	const refusals = 5
	store := kvtest.NewStore()
	owner := acquire(t, candidate(t, store, "a", "a1"))
	var reads atomic.Int32
	store.SetFault(func(call string) kvtest.Fault {
		if call == "Get" && reads.Add(1) <= refusals {
			return kvtest.Refuse
		}
		return kvtest.None
	})
	ctx, cancel := context.WithTimeout(t.Context(), checkInterval+2*time.Second)
	defer cancel()
	owner.Renew(ctx)
	if n := reads.Load(); n <= refusals {
		t.Errorf("%d reads within %v, want more than %d", n, checkInterval+2*time.Second, refusals)
	}
}

// Guards against a line for each look at an odd record.
func TestOddRecordIsLoggedOnce(t *testing.T) {
	var out strings.Builder
	view := NewView(eventlog.NewLogger(&out, 0, "host"))
	view.Reset([]kv.Item{{Key: statekeys.Owner(testPartition), Value: []byte(oddRecords["20 digits"] + strings.Repeat("x", 1000)), Revision: 3}})
	for range 10 {
		view.State(testPartition)
	}
	if lines := strings.Count(out.String(), "\n"); lines != 1 || out.Len() > 1000 {
		t.Errorf("%d lines, %d bytes", lines, out.Len())
	}
}

// Scenario: another writer overwrites the record of an owner whose process ends before it has found that, and the next process of its
// host starts, as after a power cut of all hosts. Guards against a partition without an owner for unleasedGrace, in which all services
// whose leases have ended wait.
func TestNextProcessOfTheOwnersHostReplacesAnOddRecord(t *testing.T) {
	for name, value := range oddRecords {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := kvtest.NewStore()
			former := acquire(t, candidate(t, store, "a", "a1"))
			put(t, store, statekeys.Owner(testPartition), value)
			c := candidate(t, store, "a", "a2")
			poll.Until(t, "the records are read", func() bool { return c.view.State(testPartition).read })
			if owner := c.tryAcquire(t.Context(), c.view.State(testPartition)); owner == nil || owner.Term != former.Term+1 {
				t.Errorf("ownership %+v, want one in term %d", owner, former.Term+1)
			}
		})
	}
}

// Guards against a partition that is acquired beside an owner that may be alive: on another host, at another address of the same host, in
// the same process, or on the host that a former record of the term or of its copy names, or both.
func TestOddRecordGivesOthersThanTheNextProcessNothing(t *testing.T) {
	ownerKey, termKey, copyKey := statekeys.Owner(testPartition), statekeys.Term(testPartition), statekeys.TermCopy(testPartition)
	for name, c := range map[string]struct {
		self    Record
		putBack []string // one by one
	}{
		"another host":         {self: Record{Host: "c", Incarnation: "c1", Address: "c:1"}},
		"another address":      {self: Record{Host: "a", Incarnation: "a2", Address: "a:2"}},
		"another host there":   {self: Record{Host: "c", Incarnation: "c1", Address: "a:1"}},
		"the owner":            {self: Record{Host: "a", Incarnation: "a1", Address: "a:1"}},
		"former term":          {self: Record{Host: "b", Incarnation: "b1", Address: "b:1"}, putBack: []string{termKey}},
		"former copy":          {self: Record{Host: "b", Incarnation: "b1", Address: "b:1"}, putBack: []string{copyKey}},
		"former term and copy": {self: Record{Host: "b", Incarnation: "b1", Address: "b:1"}, putBack: []string{termKey, copyKey}},
	} {
		t.Run(name, func(t *testing.T) {
			store := kvtest.NewStore()
			first := acquire(t, candidate(t, store, "b", "b0"))
			former := map[string]string{}
			for _, key := range c.putBack {
				item, _, err := store.Get(t.Context(), key)
				if err != nil {
					t.Fatal(err)
				}
				former[key] = string(item.Value)
			}
			store.EndLease(first.leaseID())
			owner := acquire(t, candidate(t, store, "a", "a1"))
			for _, key := range c.putBack {
				put(t, store, key, former[key])
			}
			put(t, store, ownerKey, "{}")
			next := candidate(t, store, c.self.Host, c.self.Incarnation)
			next.cfg.Self = c.self
			poll.Until(t, "the records are read", func() bool { return !next.view.State(testPartition).unleasedSince.IsZero() })
			if second := next.tryAcquire(t.Context(), next.view.State(testPartition)); second != nil {
				t.Errorf("acquired in term %d beside the owner of term %d", second.Term, owner.Term)
			}
		})
	}
}
