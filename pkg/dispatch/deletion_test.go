package dispatch

import (
	"encoding/json"
	"testing"

	"github.com/uber-go/tally/v4"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/core/workload"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
	"fulmarcourse.example/fulmarcourse/pkg/term"
)

// ownerOfEndedJob returns an owner that has loaded a completed job from the store.
func ownerOfEndedJob(t *testing.T, id workload.JobID) (*Owner, *kvtest.Store) {
	t.Helper()
	store := kvtest.NewStore()
	job, err := json.Marshal(twoStepJob(id))
	if err != nil {
		t.Fatal(err)
	}
	revision, err := store.Commit(t.Context(), kv.Txn{Put: []kv.Put{
		{Key: statekeys.Term(0), Value: []byte(`{"term":1}`)}, {Key: statekeys.Job(0, id), Value: job},
		{Key: statekeys.Progress(0, id), Value: []byte(`{"state":"completed"}`)},
	}})
	if err != nil {
		t.Fatal(err)
	}
	o := NewOwner(Config{
		Host: "host", Store: store, Relays: listedHosts{}, Log: eventlog.Discard(), Scope: tally.NoopScope,
	}, term.NewOwnership(term.Config{Store: store, Log: eventlog.Discard()}, 1, revision))
	if err := o.loadOnce(t.Context()); err != nil {
		t.Fatal(err)
	}
	if ids := endedJobs(o); len(ids) != 1 {
		t.Fatalf("%d ended jobs, want 1", len(ids))
	}
	return o, store
}

func endedJobs(o *Owner) []workload.JobID {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.scheduler.JobsEndedFor(bootclock.Uptime(), 0)
}

// Guards against a job that is taken for a new one because one batch of changes shows its creation and its deletion.
func TestJobDeletedInTheSameBatchIsNotAdded(t *testing.T) {
	const id = "000000000000000a"
	o, store := ownerOfEndedJob(t, id)
	item, _, err := store.Get(t.Context(), statekeys.Job(0, id))
	if err != nil {
		t.Fatal(err)
	}
	o.update(func(s *schedule.Scheduler, _ schedule.Time) { s.RemoveJob(id) })
	o.applySubmissionChanges(t.Context(), []kv.Change{
		{Item: item}, {Item: kv.Item{Key: item.Key, Revision: item.Revision + 1}, Deleted: true},
	})
	if state, known := o.JobState(id); known {
		t.Errorf("the deleted job is %q", state)
	}
}

// Scenario: the owner deletes a job that ended long ago between a complete read of the submissions, as after the store has
// compacted its history, and its application. Guards against a job that is taken for a new one and runs a second time.
func TestDeletedJobIsNotAddedAgain(t *testing.T) {
	const id = "000000000000000a"
	o, store := ownerOfEndedJob(t, id)
	items, err := kv.ListInParts(t.Context(), store, statekeys.Submissions(0))
	if err != nil {
		t.Fatal(err)
	}
	if err := o.deleteJobs(t.Context(), []workload.JobID{id}); err != nil {
		t.Fatal(err)
	}
	o.resetSubmissions(t.Context(), items)
	if state, _ := o.JobState(id); state != workload.StateCompleted {
		t.Errorf("the deleted job is %q, want it to stay completed", state)
	}
	o.resetSubmissions(t.Context(), nil)
	if state, known := o.JobState(id); known {
		t.Errorf("the job is %q once a read shows its deletion, want it to be gone", state)
	}
}

// Guards against ended jobs that the owner keeps in memory for good after it has deleted them, and against a deletion that
// removes a job which has not ended.
func TestDeletedJobIsForgotten(t *testing.T) {
	const id = "000000000000000a"
	o, _ := ownerOfEndedJob(t, id)
	if err := o.deleteJobs(t.Context(), []workload.JobID{id}); err != nil {
		t.Fatal(err)
	}
	if ids := endedJobs(o); len(ids) != 1 {
		t.Fatalf("%d ended jobs before the watch shows the deletion, want 1", len(ids))
	}
	o.update(func(s *schedule.Scheduler, _ schedule.Time) { s.AddJob(twoStepJob("000000000000000b"), nil, false) })
	o.applySubmissionChanges(t.Context(), []kv.Change{
		{Item: kv.Item{Key: statekeys.Job(0, id)}, Deleted: true},
		{Item: kv.Item{Key: statekeys.Job(0, "000000000000000b")}, Deleted: true},
	})
	if ids := endedJobs(o); len(ids) != 0 {
		t.Errorf("%d ended jobs after the watch has shown the deletion, want none", len(ids))
	}
	if _, known := o.JobState("000000000000000b"); !known {
		t.Error("a job that has not ended is gone")
	}
}

// Guards against a job that is submitted again under the id of a deleted one, and never starts: the owner still knows the
// former one when the new one is announced.
func TestJobWithTheIDOfADeletedOneIsAdded(t *testing.T) {
	const id = "000000000000000a"
	for _, reset := range []bool{false, true} {
		o, store := ownerOfEndedJob(t, id)
		item, _, err := store.Get(t.Context(), statekeys.Job(0, id))
		if err != nil {
			t.Fatal(err)
		}
		if err := o.deleteJobs(t.Context(), []workload.JobID{id}); err != nil {
			t.Fatal(err)
		}
		deleted := kv.Change{Item: kv.Item{Key: item.Key, Revision: o.deletions[id]}, Deleted: true}
		item.Revision, item.Created = o.deletions[id]+1, o.deletions[id]+1
		o.Announce(twoStepJob(id))
		if reset {
			o.resetSubmissions(t.Context(), []kv.Item{item})
		} else {
			o.applySubmissionChanges(t.Context(), []kv.Change{deleted, {Item: item}})
		}
		if state, known := o.JobState(id); !known || state != workload.StatePending {
			t.Errorf("after a complete read %t: the new job is %q, known %t", reset, state, known)
		}
	}
}
