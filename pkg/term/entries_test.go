package term

import (
	"strings"
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
