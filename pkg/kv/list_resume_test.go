package kv_test

import (
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/juju/errors"

	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
)

// itemsOfManyPages is the number of items that fillPages stores; a page of kvtest has three.
const itemsOfManyPages = 60

// fillPages returns a store with many pages of items under "jobs/" that fails every n-th read of a page.
func fillPages(t *testing.T, n int, fault kvtest.Fault) *kvtest.Store {
	t.Helper()
	store := kvtest.NewStore()
	for n := range itemsOfManyPages {
		put := kv.Put{Key: fmt.Sprintf("jobs/%02x", n), Value: []byte("{}")}
		if _, err := store.Commit(t.Context(), kv.Txn{Put: []kv.Put{put}}); err != nil {
			t.Fatal(err)
		}
	}
	reads := 0
	store.SetFault(func(call string) kvtest.Fault {
		if reads++; call == "Range" && reads%n == 0 {
			return fault
		}
		return kvtest.None
	})
	return store
}

// Scenario: an owner takes over a partition with many jobs while the store refuses one read in five, because all hosts together
// read too much. Guards against an owner that reads from the first page on after each refused one: the more jobs there are, the
// less likely it ever has them all, and its reads add to the load.
func TestOwnerReadsOnAfterARefusedPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fillPages(t, 5, kvtest.Refuse)
		if items, err := kv.ListInParts(t.Context(), store, "jobs/"); err != nil || len(items) != itemsOfManyPages {
			t.Errorf("%d items, error %v", len(items), err)
		}
	})
}

// Guards against a mirror of many keys that is never complete while the store fails one read in five.
func TestListResumesAfterAFailedPage(t *testing.T) {
	for _, fault := range []kvtest.Fault{kvtest.Refuse, kvtest.LoseResponse} {
		synctest.Test(t, func(t *testing.T) {
			store := fillPages(t, 5, fault)
			items, asOf, err := kv.ListResuming(t.Context(), store, "jobs/")
			if err != nil || len(items) != itemsOfManyPages || asOf == 0 {
				t.Errorf("fault %v: %d items as of %d, error %v", fault, len(items), asOf, err)
			}
		})
	}
}

// Guards against a read that is repeated without end, and against repeats of a first page, which the caller repeats.
func TestResumedListEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for served, want := range map[int]int{0: 1, 2: 2 + kv.PageAttempts} {
			store := fillPages(t, 1000, kvtest.Refuse)
			reads := 0
			store.SetFault(func(string) kvtest.Fault {
				if reads++; reads > served {
					return kvtest.Refuse
				}
				return kvtest.None
			})
			if _, _, err := kv.ListResuming(t.Context(), store, "jobs/"); !errors.Is(err, kv.ErrNotDone) {
				t.Errorf("error %v", err)
			}
			if reads != want {
				t.Errorf("%d pages read, %d of them served, want %d", reads, served, want)
			}
		}
	})
}
