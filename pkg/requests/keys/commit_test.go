package keys

import (
	"fmt"
	"testing"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/store"
)

func newWrite(key string) *write {
	return &write{compare: store.Compare{Key: key, Target: store.CompareCreateRevision}, value: []byte(key), done: make(chan writeResult, 1)}
}

func newTestCommitter(s *fakeStore) *committer {
	return &committer{store: s, leases: &leases{store: s, now: time.Now}}
}

// Guards against a transaction per write, against transactions that the store rejects as too large or for writing
// a key twice, and against one taken key failing the writes of others.
func TestGroupCommit(t *testing.T) {
	s := newFakeStore()
	c := newTestCommitter(s)
	c.commit([]*write{newWrite("7")})
	s.txns = nil
	var writes []*write
	for i := range MaxBatch {
		writes = append(writes, newWrite(fmt.Sprint(i)))
	}
	second := newWrite("1")
	c.waiting = append(append(append(c.waiting, writes[:2]...), second), writes[2:]...)
	batch := c.takeLocked()
	if len(batch) != MaxBatch || len(c.waiting) != 1 || c.waiting[0] != second {
		t.Fatalf("batch of %d, %d left", len(batch), len(c.waiting))
	}
	c.commit(batch)
	for i, w := range writes {
		result := <-w.done
		if taken := i == 7; result.err != nil || result.applied == taken || (result.existing != nil) != taken {
			t.Fatalf("write %d: %+v", i, result)
		}
	}
	if limit := 2*6 + 1; len(s.txns) > limit {
		t.Fatalf("%d transactions for one taken key of %d, want at most %d", len(s.txns), MaxBatch, limit)
	}
	large := newWrite("large")
	large.value = make([]byte, MaxBatchBytes)
	c.waiting = []*write{newWrite("a"), large, newWrite("b")}
	if batch := c.takeLocked(); len(batch) != 2 || len(c.waiting) != 1 {
		t.Fatalf("batch of %d with a value of the full size", len(batch))
	}
}

// Guards against records that end with an old lease, and against failing when a lease was lost.
func TestLeasesRotate(t *testing.T) {
	s := newFakeStore()
	now := time.Unix(1_000_000, 0)
	l := &leases{store: s, now: func() time.Time { return now }}
	first, err := l.get(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	now = now.Add(leaseRotation - 1)
	if again, _ := l.get(t.Context()); again != first {
		t.Fatal("lease changed too early")
	}
	now = now.Add(1)
	second, _ := l.get(t.Context())
	if second == first {
		t.Fatal("a record could be attached to a lease that ends before its time")
	}
	l.forget(first)
	if same, _ := l.get(t.Context()); same != second {
		t.Fatal("forgot a lease that is in use")
	}
	l.forget(second)
	if third, _ := l.get(t.Context()); third == second {
		t.Fatal("handed out a lease that is gone")
	}
}

// Guards against rejecting keyed requests for the rest of the rotation when the store has lost the lease.
func TestLostLeaseIsReplaced(t *testing.T) {
	s := newFakeStore()
	s.gone = 1
	w := newWrite("key")
	newTestCommitter(s).commit([]*write{w})
	if result := <-w.done; !result.applied || s.entries["key"].Lease != 2 {
		t.Fatalf("%+v under lease %d", result, s.entries["key"].Lease)
	}
}
