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

// Guards against a transaction per write, against transactions that the store rejects because they are too large or
// write a key twice, and against one key that is already claimed failing the writes of other keys.
func TestGroupCommit(t *testing.T) {
	s := newFakeStore()
	c := newTestCommitter(s)
	c.commit([]*write{newWrite("7")})
	s.ResetCalls()
	var writes []*write
	for i := range MaxBatch {
		writes = append(writes, newWrite(fmt.Sprint(i)))
	}
	second := newWrite("1")
	c.pending = append(append(append(c.pending, writes[:2]...), second), writes[2:]...)
	batch := c.nextBatchLocked()
	want(t, len(batch) == MaxBatch && len(c.pending) == 1 && c.pending[0] == second, true, "full batch without the second write of a key")
	c.commit(batch)
	for i, w := range writes {
		result := <-w.done
		want(t, result.err, nil, "error")
		want(t, result.applied, i != 7, "applied")
		want(t, result.existing != nil, i == 7, "existing record returned")
	}
	want(t, len(s.Txns()) <= 2*6+1, true, "transactions of repeated halving")
	large := newWrite("large")
	large.value = make([]byte, MaxBatchBytes)
	c.pending = []*write{newWrite("a"), large, newWrite("b")}
	want(t, len(c.nextBatchLocked()), 2, "batch with a value of the full size")
}

// Guards against records attached to an old lease that expires too early, and against a rotation that ignores a lost
// lease or is reset by an older one.
func TestLeasesRotate(t *testing.T) {
	s := newFakeStore()
	now := time.Unix(1_000_000, 0)
	l := &leases{store: s, now: func() time.Time { return now }}
	lease := func() store.LeaseID {
		id, err := l.get(t.Context())
		want(t, err, nil, "grant")
		return id
	}
	first := lease()
	now = now.Add(leaseRotation - 1)
	want(t, lease(), first, "lease within the rotation")
	now = now.Add(1)
	second := lease()
	want(t, second != first, true, "new lease after the rotation")
	l.invalidate(first)
	want(t, lease(), second, "lease after an older one was invalidated")
	l.invalidate(second)
	want(t, lease() != second, true, "new lease after the current one was invalidated")
}

// Guards against rejecting keyed requests until the next rotation when the store has lost the lease.
func TestLostLeaseIsReplaced(t *testing.T) {
	s := newFakeStore()
	s.BeforeWrite(func() { _ = s.RevokeLease(t.Context(), 1) })
	w := newWrite("key")
	newTestCommitter(s).commit([]*write{w})
	want(t, (<-w.done).applied, true, "applied")
	kv, _ := s.Entry("key")
	want(t, kv.Lease, 2, "lease")
}
