package term

import (
	"strings"
	"testing"

	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
)

// Scenario: another writer overwrites the record of a live owner, and the lease ends before the owner has replaced the record.
// Guards against an owner that takes the missing lease of that record for its own: it would never be confirmed again, and would write
// its record without a lease, which keeps others from acquiring the partition while it lives and for unleasedGrace after its end.
func TestLeaseThatEndsBesideAnOddRecordIsReplaced(t *testing.T) {
	for name, value := range oddRecords {
		t.Run(name, func(t *testing.T) {
			store := kvtest.NewStore()
			owner := acquire(t, candidate(t, store, "a", "a1"))
			put(t, store, statekeys.Owner(testPartition), value)
			store.EndLease(owner.leaseID())
			checkRestored(t, store, owner)
		})
	}
}

// Guards against an owner that takes the lease of another writer's record for its own, and renews it.
func TestLeaseOfAnOddRecordIsNotAdopted(t *testing.T) {
	for name, value := range oddRecords {
		t.Run(name, func(t *testing.T) {
			store := kvtest.NewStore()
			owner := acquire(t, candidate(t, store, "a", "a1"))
			foreign := putLeased(t, store, value)
			store.EndLease(owner.leaseID())
			checkRestored(t, store, owner)
			if owner.leaseID() == foreign {
				t.Errorf("the owner renews lease %d of the other writer", foreign)
			}
		})
	}
}

// Scenario: another writer overwrites the record of a live owner under a lease of its own. Guards against an owner that leaves such a
// record in place: it is no longer confirmed after maxUnchecked, and no other host can acquire the partition while that lease lasts.
func TestOwnerReplacesAnOddRecordUnderALease(t *testing.T) {
	for name, value := range oddRecords {
		t.Run(name, func(t *testing.T) {
			store := kvtest.NewStore()
			owner := acquire(t, candidate(t, store, "a", "a1"))
			putLeased(t, store, value)
			checkRestored(t, store, owner)
		})
	}
}

// putLeased overwrites the owner's record under a new lease and returns the lease.
func putLeased(t *testing.T, store *kvtest.Store, value string) kv.LeaseID {
	t.Helper()
	lease, _, err := store.Grant(t.Context(), TTL)
	if err != nil {
		t.Fatal(err)
	}
	record := kv.Put{Key: statekeys.Owner(testPartition), Value: []byte(value), Lease: lease}
	if _, err := store.Commit(t.Context(), kv.Txn{Put: []kv.Put{record}}); err != nil {
		t.Fatal(err)
	}
	return lease
}

// checkRestored fails the test if an owner is not confirmed by its second renewal, or if its record is not under the lease that it
// renews.
func checkRestored(t *testing.T, store *kvtest.Store, owner *Ownership) {
	t.Helper()
	_ = owner.renewOnce(t.Context()) // fails if the lease has ended and is not restored yet
	if err := owner.check(t.Context()); err != nil {
		t.Errorf("check: %v", err)
	}
	if err := owner.renewOnce(t.Context()); err != nil || isLost(owner) {
		t.Errorf("renewal: %v, lost: %t", err, isLost(owner))
	}
	item, _, err := store.Get(t.Context(), statekeys.Owner(testPartition))
	if err != nil || item.Lease == 0 || item.Lease != owner.leaseID() || !strings.Contains(string(item.Value), `"a1"`) {
		t.Errorf("record %.100s under lease %d, the owner renews lease %d, error %v", item.Value, item.Lease, owner.leaseID(), err)
	}
}
