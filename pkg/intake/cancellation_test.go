package intake

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/workload"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
)

// lateStore leaves commits without an answer and carries them out when the test asks for it.
type lateStore struct {
	kv.Store
	delayed []kv.Txn
	late    bool // commits are delayed
}

func (s *lateStore) Commit(ctx context.Context, txn kv.Txn) (int64, error) {
	if s.late {
		s.delayed = append(s.delayed, txn)
		return 0, kv.ErrUncertain
	}
	return s.Store.Commit(ctx, txn)
}

// carryOut applies the delayed commits whose conditions hold.
func (s *lateStore) carryOut(ctx context.Context) {
	for _, txn := range s.delayed {
		_, _ = s.Store.Commit(ctx, txn) // nobody waits for the answer
	}
	s.delayed = nil
}

// submitLate submits a job whose writes are delayed, until the caller leaves.
func (ti *testIntake) submitLate(t *testing.T, store *lateStore, id workload.JobID) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*retryInterval)
	defer cancel()
	store.late = true
	if got, _ := ti.Submit(ctx, workload.Job{ID: id}); got != Uncertain {
		t.Fatalf("submission: %s", got)
	}
	store.late = false
}

// withLateStore puts a store that can delay commits in front of that of the intake.
func (ti *testIntake) withLateStore() *lateStore {
	store := &lateStore{Store: ti.store}
	ti.cfg.Store = store
	return store
}

// Scenario: the write of a submission is carried out after its caller has left and has cancelled the job, on another host that has
// ended since. Guards against a job that is stored and started although its cancellation was acknowledged.
func TestCancelledJobIsNotStoredByALateWrite(t *testing.T) {
	ti := newTestIntake(t)
	store := ti.withLateStore()
	ti.submitLate(t, store, "job")
	other := New(ti.cfg)
	if got, err := other.Cancel(t.Context(), "job"); got != NotFound || err != nil {
		t.Fatalf("cancellation: %s, %v", got, err)
	}
	store.carryOut(t.Context())
	if ti.stored(t, "job") {
		t.Error("the cancelled job was stored by a late write")
	}
	if _, found, err := ti.State(t.Context(), "job"); found || err != nil {
		t.Errorf("the cancelled job is found: %v, %v", found, err)
	}
}

// Scenario: a host repeats the write of a submission whose calls are lost, and the job is cancelled meanwhile. Guards against a job that
// is stored by a later attempt, and against an outcome other than a refusal.
func TestSubmissionUnderWayIsRefusedOnceItsJobIsCancelled(t *testing.T) {
	ti := newTestIntake(t)
	store := ti.withLateStore()
	store.late = true
	calls := 0
	reachable := ti.cfg.Reachable
	ti.cfg.Reachable = func() bool {
		if calls++; calls == 2 { // after the first attempt
			store.late = false
			if got, err := New(Config{Store: ti.store, Reachable: reachable, View: ti.view, Owners: ti.owners, Partitions: 1,
				Log: ti.cfg.Log}).Cancel(t.Context(), "job"); got != NotFound || err != nil {
				t.Errorf("cancellation: %s, %v", got, err)
			}
		}
		return true
	}
	got, err := ti.Submit(t.Context(), workload.Job{ID: "job"})
	var cancelled *CancelledError
	if got != Refused || !errors.As(err, &cancelled) {
		t.Fatalf("submission: %s, %v", got, err)
	}
	if after := cancelled.RetryAfter; after < workload.EarlyCancelRetention-5*time.Second || after > workload.EarlyCancelRetention {
		t.Errorf("retry after %v, want nearly %v", after, workload.EarlyCancelRetention)
	}
	store.carryOut(t.Context())
	if ti.stored(t, "job") {
		t.Error("the refused job is stored")
	}
}

// Guards against an id that can never be used again after its job was cancelled before it was stored.
func TestIDOfACancelledJobIsUsableOnceItsCancellationIsDeleted(t *testing.T) {
	ti := newTestIntake(t)
	if got, err := ti.Cancel(t.Context(), "job"); got != NotFound || err != nil {
		t.Fatalf("cancellation: %s, %v", got, err)
	}
	if got, _ := ti.Submit(t.Context(), workload.Job{ID: "job"}); got != Refused {
		t.Fatalf("submission beside the cancellation: %s", got)
	}
	if _, err := ti.store.Commit(t.Context(), kv.Txn{Delete: []string{statekeys.EarlyCancel(0, "job")}}); err != nil {
		t.Fatal(err)
	}
	if got, err := ti.Submit(t.Context(), workload.Job{ID: "job"}); got != Done || err != nil {
		t.Errorf("submission: %s, %v", got, err)
	}
}

// Scenario: a job is stored between the read and the write of its cancellation. Guards against a job that runs although its
// cancellation was acknowledged.
func TestJobStoredDuringItsCancellationIsCancelled(t *testing.T) {
	ti := newTestIntake(t)
	store := ti.withLateStore()
	ti.submitLate(t, store, "job")
	ti.cfg.Store = commitHook{Store: ti.store, before: func() { store.carryOut(t.Context()) }}
	if got, err := ti.Cancel(t.Context(), "job"); got != Done || err != nil {
		t.Fatalf("cancellation: %s, %v", got, err)
	}
	if state, _, err := ti.State(t.Context(), "job"); state != workload.StateCancelled || err != nil {
		t.Errorf("state %q, %v", state, err)
	}
}

// commitHook calls a function before each commit.
type commitHook struct {
	kv.Store
	before func()
}

func (s commitHook) Commit(ctx context.Context, txn kv.Txn) (int64, error) {
	s.before()
	return s.Store.Commit(ctx, txn)
}

// Guards against a cancellation that is deleted although it was acknowledged again meanwhile: a later submission may be under way.
func TestRepeatedEarlyCancellationIsStoredAnew(t *testing.T) {
	ti := newTestIntake(t)
	var revisions []int64
	for _, fault := range []kvtest.Fault{kvtest.None, kvtest.LoseResponse, kvtest.LoseRequest} {
		ti.faultOnCommits(faultSequence(fault, kvtest.None))
		if got, err := ti.Cancel(t.Context(), "job"); got != NotFound || err != nil {
			t.Fatalf("cancellation: %s, %v", got, err)
		}
		item, _, err := ti.store.Get(t.Context(), statekeys.EarlyCancel(0, "job"))
		if err != nil {
			t.Fatal(err)
		}
		revisions = append(revisions, item.Revision)
	}
	if revisions[0] == 0 || revisions[1] <= revisions[0] || revisions[2] <= revisions[1] {
		t.Errorf("revisions %v, want them to rise", revisions)
	}
}

// Guards against a store that is filled, and writes that are used up, by cancellations of jobs that were never submitted.
func TestEarlyCancellationsAreLimited(t *testing.T) {
	ti := newTestIntake(t)
	refused := 0
	started := time.Now()
	const calls = 10 * earlyCancelBurst
	for n := range calls {
		id := workload.JobID(fmt.Sprintf("%016x", n))
		switch got, err := ti.Cancel(t.Context(), id); {
		case got == Refused && errors.Is(err, errTooManyEarlyCancels):
			refused++
		case got != NotFound || err != nil:
			t.Fatalf("cancellation: %s, %v", got, err)
		}
	}
	allowed := earlyCancelBurst + int(earlyCancelsPerSecond*time.Since(started).Seconds()) + 1
	if calls-refused > allowed || refused == 0 {
		t.Errorf("%d of %d cancellations of unknown jobs were stored, want %d at most", calls-refused, calls, allowed)
	}
}
