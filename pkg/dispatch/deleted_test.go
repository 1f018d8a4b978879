package dispatch

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/core/workload"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
	"fulmarcourse.example/fulmarcourse/pkg/term"
)

// ownerOfEndedJob returns an owner whose only job has ended, and the stored job.
func ownerOfEndedJob(t *testing.T) (*Owner, workload.Job, kv.Item) {
	t.Helper()
	store := kvtest.NewStore()
	log := eventlog.Discard()
	view := term.NewView(log)
	view.Reset(nil)
	ownership, err := term.NewCandidate(term.Config{
		Store: store, Self: term.Record{Host: "host", Incarnation: "1", Address: "host:1"}, Cores: 1, Log: log,
	}, view).Acquire(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	o := NewOwner(Config{Host: "host", Store: store, Relays: listedHosts{}, Log: log, Scope: tally.NoopScope}, ownership)
	job := twoStepJob("job")
	item := storeJob(t, store, job)
	o.Announce(job)
	o.update(func(s *schedule.Scheduler, now schedule.Time) { s.Cancel(now, job.ID) })
	if err := o.save(t.Context()); err != nil {
		t.Fatal(err)
	}
	return o, job, item
}

// storeJob stores a job like an entry host that accepts it.
func storeJob(t *testing.T, store kv.Store, job workload.Job) kv.Item {
	t.Helper()
	data, err := json.Marshal(job)
	if err != nil {
		t.Fatal(err)
	}
	key := statekeys.Job(0, job.ID)
	if _, err := store.Commit(t.Context(), kv.Txn{If: []kv.Condition{{Key: key}}, Put: []kv.Put{{Key: key, Value: data}}}); err != nil {
		t.Fatal(err)
	}
	item, found, err := store.Get(t.Context(), key)
	if err != nil || !found {
		t.Fatalf("the stored job: found %v, error %v", found, err)
	}
	return item
}

// Scenario: the owner reads the submissions again, because the store has dropped its history, and deletes a job that ended
// long ago before it applies what it has read. A host that was paused announces the job as well. Guards against a job that
// has ended and runs once more.
func TestDeletedJobIsNotAddedAgain(t *testing.T) {
	o, job, read := ownerOfEndedJob(t)
	if err := o.deleteJobs(t.Context(), []workload.JobID{job.ID}); err != nil {
		t.Fatal(err)
	}
	o.applySubmissions(t.Context(), []kv.Item{read})
	if state, known := o.JobState(job.ID); known {
		t.Errorf("the deleted job is %s after it was read before its deletion", state)
	}
	o.Announce(job)
	if state, known := o.JobState(job.ID); known {
		t.Errorf("the deleted job is %s after a late announcement", state)
	}
}

// Guards against a job that is never started because its ID was used before by a job that has ended.
func TestJobWithTheIDOfADeletedOneIsAdded(t *testing.T) {
	o, job, _ := ownerOfEndedJob(t)
	if err := o.deleteJobs(t.Context(), []workload.JobID{job.ID}); err != nil {
		t.Fatal(err)
	}
	o.applySubmissions(t.Context(), []kv.Item{storeJob(t, o.cfg.Store, job)})
	if _, known := o.JobState(job.ID); !known {
		t.Error("the new job is unknown")
	}
}

// Guards against a record of deleted jobs that grows without bound.
func TestDeletedJobsAreForgotten(t *testing.T) {
	var d deletedJobs
	d.add("first", 7, time.Minute)
	d.add("second", 8, time.Minute+deletedRetention/2)
	d.expire(time.Minute + deletedRetention)
	if d.deleted("first", 7) || !d.deleted("second", 8) || len(d.byID) != 1 {
		t.Errorf("%d jobs are kept, want the second one only", len(d.byID))
	}
}
