package dispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"fulmarcourse.example/core/workload"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
	"fulmarcourse.example/fulmarcourse/pkg/term"
)

// termStore is a store that returns every key with a fixed revision.
type termStore struct {
	kv.Store
	revision int64
}

func (s *termStore) Get(_ context.Context, key string) (kv.Item, bool, error) {
	return kv.Item{Key: key, Revision: s.revision}, true, nil
}

// Guards against two owners starting the same job: a former owner that still reads the store sees jobs that were stored
// under its successor, and the successor does not search for earlier attempts of such jobs.
func TestJobsOfALaterTermAreNotApplied(t *testing.T) {
	store := &termStore{revision: 5}
	log := eventlog.Discard()
	ownership := term.NewOwnership(term.Config{Store: store, Log: log}, 1, 5)
	o := NewOwner(Config{Store: store, Log: log, Scope: tally.NoopScope}, ownership)
	item := func(id workload.JobID) []kv.Item {
		data, err := json.Marshal(workload.Job{ID: id, Steps: []workload.Step{{Tasks: 1}}})
		if err != nil {
			t.Fatal(err)
		}
		return []kv.Item{{Key: statekeys.Job(0, id), Value: data, Revision: 9, Created: 9}}
	}
	o.applySubmissions(context.Background(), item("own"))
	if _, known := o.JobState("own"); !known {
		t.Fatal("a job of the current term was not added")
	}
	store.revision = 8
	o.applySubmissions(context.Background(), item("later"))
	if _, known := o.JobState("later"); known {
		t.Error("a job of a later term was added")
	}
	select {
	case <-ownership.Lost():
	default:
		t.Error("the ownership was not marked as lost")
	}
}

// Guards against one damaged progress record that keeps every owner from loading the partition, so that no job runs any more.
// The job of the record must not be taken for one that has not started either, neither at once nor by the watch.
func TestDamagedProgressRecordStopsOnlyItsJob(t *testing.T) {
	store, log := kvtest.NewStore(), eventlog.Discard()
	put := func(key string, value []byte) int64 {
		revision, err := store.Commit(t.Context(), kv.Txn{Put: []kv.Put{{Key: key, Value: value}}})
		if err != nil {
			t.Fatal(err)
		}
		return revision
	}
	for _, id := range []workload.JobID{"damaged", "sound"} {
		data, err := json.Marshal(twoStepJob(id))
		if err != nil {
			t.Fatal(err)
		}
		put(statekeys.Job(0, id), data)
	}
	put(statekeys.Progress(0, "damaged"), []byte(`{"state":7}`))
	ownership := term.NewOwnership(term.Config{Store: store, Log: log}, 1, put(statekeys.Term(0), []byte(`{"term":1}`)))
	o := NewOwner(Config{Host: "host", Store: store, Relays: listedHosts{}, Log: log, Scope: tally.NoopScope}, ownership)
	if err := o.loadOnce(t.Context()); err != nil {
		t.Fatalf("the partition is not loaded: %v", err)
	}
	items, err := kv.ListInParts(t.Context(), store, statekeys.Submissions(0))
	if err != nil {
		t.Fatal(err)
	}
	o.resetSubmissions(t.Context(), items)
	if state, known := o.JobState("damaged"); known {
		t.Errorf("the job of the damaged record is %q, want it to be left out", state)
	}
	if _, known := o.JobState("sound"); !known {
		t.Error("the other job is not loaded")
	}
}

// Guards against a takeover whose log does not tell how many workers the new owner waits for, for how long at most, and for how many of them
// the former owner has stored the rest of the leases.
func TestLoadedPartitionLogsWhatIsAwaited(t *testing.T) {
	store := kvtest.NewStore()
	_, err := store.Commit(t.Context(), kv.Txn{Put: []kv.Put{
		{Key: statekeys.Term(0), Value: []byte(`{"term":2}`)},
		{Key: statekeys.KnownWorkers(0, 0), Value: []byte(`[{"ID":"w0","Pool":"pool"},{"ID":"w1","Pool":"pool","LeaseRemaining":2000000000}]`)},
	}})
	if err != nil {
		t.Fatal(err)
	}
	item, _, err := store.Get(t.Context(), statekeys.Term(0))
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	cfg := Config{Host: "host", Store: store, Relays: listedHosts{}, Log: eventlog.NewLogger(&text, log.InfoLevel, "host"),
		Scope: tally.NoopScope, TaskLease: 6 * time.Second, MaxTaskLease: 6 * time.Second}
	o := NewOwner(cfg, term.NewOwnership(term.Config{Store: store, Log: eventlog.Discard()}, 2, item.Revision))
	if err := o.loadOnce(t.Context()); err != nil {
		t.Fatal(err)
	}
	var line struct {
		Awaited       int
		WithRemaining int   `json:"with_remaining"`
		LongestWait   int64 `json:"longest_wait"`
	}
	if err := json.Unmarshal(text.Bytes(), &line); err != nil {
		t.Fatalf("%v: %s", err, text.Bytes())
	}
	if line.Awaited != 2 || line.WithRemaining != 1 || line.LongestWait <= cfg.TaskLease.Milliseconds() {
		t.Errorf("logged %s", text.Bytes())
	}
}
