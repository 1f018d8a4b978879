package dispatch

import (
	"testing"

	"fulmarcourse.example/core/workload"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
)

// storeEarlyCancel stores an early cancellation and returns it.
func storeEarlyCancel(t *testing.T, store *kvtest.Store, id workload.JobID) kv.Item {
	t.Helper()
	key := statekeys.EarlyCancel(0, id)
	if _, err := store.Commit(t.Context(), kv.Txn{Put: []kv.Put{{Key: key, Value: []byte("{}")}}}); err != nil {
		t.Fatal(err)
	}
	item, _, err := store.Get(t.Context(), key)
	if err != nil {
		t.Fatal(err)
	}
	return item
}

// deleteExpired deletes the early cancellations whose retention has expired at a later time.
func deleteExpired(t *testing.T, o *Owner) error {
	t.Helper()
	ids := o.expiredEarlyCancels(bootclock.Uptime() + workload.EarlyCancelRetention)
	if len(ids) == 0 {
		return nil
	}
	return o.deleteEarlyCancels(t.Context(), ids)
}

func earlyCancelStored(t *testing.T, store *kvtest.Store, id workload.JobID) bool {
	t.Helper()
	_, found, err := store.Get(t.Context(), statekeys.EarlyCancel(0, id))
	if err != nil {
		t.Fatal(err)
	}
	return found
}

// Guards against cancellations of jobs that were never stored that stay in the store for good, also if their owner is lost, and against
// one that is deleted while a submission sent before it may still be carried out.
func TestEarlyCancellationsAreDeleted(t *testing.T) {
	const ended, early = "000000000000000a", "000000000000000b"
	o, store := ownerOfEndedJob(t, ended)
	storeEarlyCancel(t, store, early)
	if err := o.loadOnce(t.Context()); err != nil { // as a later owner does
		t.Fatal(err)
	}
	if ids := o.expiredEarlyCancels(bootclock.Uptime()); len(ids) != 0 {
		t.Fatalf("%v have expired at once", ids)
	}
	if err := deleteExpired(t, o); err != nil {
		t.Fatal(err)
	}
	if earlyCancelStored(t, store, early) {
		t.Error("the cancellation is still stored")
	}
	if len(o.earlyCancels) != 0 {
		t.Errorf("%d early cancellations are known", len(o.earlyCancels))
	}
}

// Guards against the deletion of an early cancellation that was stored anew since the owner has read it, and against others that are
// kept because of it.
func TestChangedEarlyCancellationsAreKept(t *testing.T) {
	const ended, renewed, early = "000000000000000a", "000000000000000b", "000000000000000c"
	o, store := ownerOfEndedJob(t, ended)
	o.applySubmissions(t.Context(), []kv.Item{storeEarlyCancel(t, store, renewed), storeEarlyCancel(t, store, early)})
	storeEarlyCancel(t, store, renewed)
	if err := deleteExpired(t, o); err == nil {
		t.Error("the changed cancellation caused no conflict")
	}
	if err := deleteExpired(t, o); err != nil {
		t.Fatal(err)
	}
	if !earlyCancelStored(t, store, renewed) {
		t.Error("the cancellation that was stored anew was deleted")
	}
	if earlyCancelStored(t, store, early) {
		t.Error("the other cancellation is still stored")
	}
}

// Scenario: a job is submitted anew under the id of an early cancellation, right after that was deleted. Guards against a job that the
// owner cancels because it remembers the cancellation, or applies an earlier read of the submissions.
func TestJobWithTheIDOfAnEarlyCancellationRuns(t *testing.T) {
	const ended, early = "000000000000000a", "000000000000000b"
	o, store := ownerOfEndedJob(t, ended)
	item := storeEarlyCancel(t, store, early)
	o.applySubmissions(t.Context(), []kv.Item{item})
	if err := deleteExpired(t, o); err != nil {
		t.Fatal(err)
	}
	o.Announce(twoStepJob(early))
	o.applySubmissions(t.Context(), []kv.Item{item})
	if got := state(o, early); got != workload.StatePending {
		t.Errorf("the job is %q, want it to be pending", got)
	}
}
