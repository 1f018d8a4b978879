package dispatch

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"fulmarcourse.example/core/workload"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
	"fulmarcourse.example/fulmarcourse/pkg/term"
)

// Scenario: the wall clock of the former owner was an hour behind that of this host. Guards against an owner that deletes all ended jobs at once:
// callers learn that a job which was accepted is not known.
func TestEndedJobsOutlastAnOwnerWithAnotherWallClock(t *testing.T) {
	const id, retention = workload.JobID("000000000000000a"), time.Minute
	former := bootclock.Now().UnixMs - time.Hour.Milliseconds()
	for name, record := range map[string]struct {
		clock string
		kept  bool
	}{
		"the former owner has stored its clock": {marshal(t, retentionRecord{former}), true},
		"the retention has passed":              {marshal(t, retentionRecord{former + 2*retention.Milliseconds()}), false},
	} {
		t.Run(name, func(t *testing.T) {
			store := kvtest.NewStore()
			progress := marshal(t, workload.Progress{State: workload.StateCompleted, EndedMs: former})
			revision, err := store.Commit(t.Context(), kv.Txn{Put: []kv.Put{
				{Key: statekeys.Term(0), Value: []byte(`{"term":1}`)}, {Key: statekeys.RetentionClock(0), Value: []byte(record.clock)},
				{Key: statekeys.Job(0, id), Value: []byte(marshal(t, twoStepJob(id)))}, {Key: statekeys.Progress(0, id), Value: []byte(progress)},
			}})
			if err != nil {
				t.Fatal(err)
			}
			o := NewOwner(Config{
				Host: "host", Store: store, Relays: listedHosts{}, Log: eventlog.Discard(), Scope: tally.NoopScope, EndedJobRetention: retention,
			}, term.NewOwnership(term.Config{Store: store, Log: eventlog.Discard()}, 1, revision))
			if err := o.loadOnce(t.Context()); err != nil {
				t.Fatal(err)
			}
			if kept := len(o.endedJobs()) == 0; kept != record.kept {
				t.Errorf("the ended job is kept: %t, want %t", kept, record.kept)
			}
		})
	}
}

// Guards against a clock that no owner stores, or that the next one does not continue.
func TestRetentionClockIsStored(t *testing.T) {
	o, store := ownerOfEndedJob(t, "000000000000000a")
	o.storeRetentionClock(t.Context())
	item, found, err := store.Get(t.Context(), statekeys.RetentionClock(0))
	if err != nil || !found {
		t.Fatalf("found: %t, error: %v", found, err)
	}
	var record retentionRecord
	if err := json.Unmarshal(item.Value, &record); err != nil || record.ClockMs <= 0 {
		t.Fatalf("stored %s, error: %v", item.Value, err)
	}
	if read, err := o.readRetentionClock(t.Context()); err != nil || read != record.ClockMs {
		t.Errorf("read %d, error %v, want %d", read, err, record.ClockMs)
	}
}

func marshal(t *testing.T, v any) string {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
