package dispatch

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/uber-go/tally/v4"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/core/workload"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
	"fulmarcourse.example/fulmarcourse/pkg/term"
)

// oddRecords are values of other writers that are no record of any kind.
var oddRecords = map[string]string{
	"empty": "", "no text": "\xff\x00", "null": "null", "no object": "7", "list": "[1]", "fields missing": "{}",
	"deeply nested": strings.Repeat("[", 300000), "text of 1 MiB": `"` + strings.Repeat("x", 1<<20) + `"`,
	"deep field":   `{"state":"running","id":"odd","steps":` + strings.Repeat("[", 300000) + `}`,
	"large number": `{"state":"running","id":"odd","ended_ms":1e400,"accepted_ms":1e400,"steps":[{"s":1e400,"tasks":1e400}]}`,
	"20 digits":    `{"state":"running","id":"odd","ended_ms":99999999999999999999,"accepted_ms":99999999999999999999,"steps":[]}`,
	"other types":  `{"state":7,"id":[],"steps":"x"}`, "unknown state": `{"state":"gone"}`,
	"unknown state of 1 MiB": `{"state":"` + strings.Repeat("x", 1<<20) + `"}`,
	"another job":            `{"id":"other","queue":{"name":"q","pool":"pool","max_failures":3},"steps":[{"tasks":1,"size":{"milli_cpu":1}}]}`,
}

// Guards against an odd record among the submissions, the progress or the interference model that keeps an owner from loading the
// others, that starts a job over whose tasks may be done, or that adds a job under another id than its key has.
func TestOddRecordsAreLeftOut(t *testing.T) {
	for name, value := range oddRecords {
		store, log := kvtest.NewStore(), eventlog.Discard()
		put := func(key, value string) int64 {
			revision, err := store.Commit(t.Context(), kv.Txn{Put: []kv.Put{{Key: key, Value: []byte(value)}}})
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
			put(statekeys.Job(0, id), string(data))
		}
		put(statekeys.Progress(0, "damaged"), value)
		put(statekeys.ProgressPrefix(0), value)
		put(statekeys.ProgressPrefix(0)+"a/b", value)
		put(statekeys.Job(0, "odd"), value)
		put(statekeys.Job(0, ""), value)
		put(statekeys.Cancel(0, "odd"), value)
		put(statekeys.Submissions(0)+"odd", value)
		put(statekeys.Interference(0), value)
		ownership := term.NewOwnership(term.Config{Store: store, Log: log}, 1, put(statekeys.Term(0), `{"term":1}`))
		o := NewOwner(Config{Host: "host", Store: store, Relays: listedHosts{}, Log: log, Scope: tally.NoopScope}, ownership)
		if err := o.loadOnce(t.Context()); err != nil {
			t.Errorf("%s: the partition is not loaded: %.200v", name, err)
			continue
		}
		o.plan()
		items, _, err := kv.List(t.Context(), store, statekeys.Submissions(0))
		if err != nil {
			t.Fatal(err)
		}
		o.resetSubmissions(t.Context(), items)
		for _, id := range []workload.JobID{"damaged", "odd", "other", ""} {
			if state, known := o.JobState(id); known {
				t.Errorf("%s: job %q is %q, want it to be left out", name, id, state)
			}
		}
		if _, known := o.JobState("sound"); !known {
			t.Errorf("%s: the sound job is not loaded", name)
		}
		o.update(func(s *schedule.Scheduler, now schedule.Time) { s.Counts(now) })
	}
}

// Scenario: another writer overwrites the progress record of a job whose owner is alive. Guards against progress that is not stored any
// more.
func TestOverwrittenProgressIsWrittenAgain(t *testing.T) {
	for name, value := range oddRecords {
		o, l, store := ownerOfStarted(t, 2, 1)
		store.SetMaxValueBytes(0)
		l.report([]schedule.Ended{l.end(t, "large", 1, schedule.EndDone, "")})
		if err := o.save(t.Context()); err != nil {
			t.Fatal(err)
		}
		if _, err := store.Commit(t.Context(), kv.Txn{Put: []kv.Put{{Key: statekeys.Progress(0, "large"), Value: []byte(value)}}}); err != nil {
			t.Fatal(err)
		}
		l.report([]schedule.Ended{l.end(t, "large", 2, schedule.EndDone, "")})
		_ = o.save(t.Context()) // in conflict with the record of the other writer
		if err := o.save(t.Context()); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if got := storedProgress(t, store, "large").State; got != workload.StateCompleted || l.stored[testWorker].Number != 2 {
			t.Errorf("%s: stored as %q, ends acknowledged up to %d; want completed and 2", name, got, l.stored[testWorker].Number)
		}
	}
}
