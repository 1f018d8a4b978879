package dispatch

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
	"fulmarcourse.example/fulmarcourse/pkg/term"
)

// Guards against a stored record that ends the process of each owner in turn: records may be damaged, or written by
// another version.
func FuzzStoredRecords(f *testing.F) {
	job := `{"id":"j","queue":{"name":"q","pool":"pool","max_failures":3},"steps":[{"tasks":2,"size":{"milli_cpu":100}}]}`
	progress := `{"state":"running","steps":[{"occurrence":0,"step":0,"done":[0],"tasks":[{"index":1,"failed":[1],"last_attempt":2}]}]}`
	workers := `[{"ID":"w","Address":"w","Pool":"pool","Capacity":{"milli_cpu":1000}}]`
	f.Add(job, progress, workers, `{"Victims":[]}`)
	f.Add(`{"steps":[{"tasks":-1}]}`, `{"steps":[{"step":-1,"tasks":[{"index":-5}]}]}`, `[{}]`, `{"Victims":[{}]}`)
	f.Add(`{"steps":[{"tasks":1,"after":[4]}],"recurrence":{"count":-3}}`, `{"state":"completed"}`, `null`, `[]`)
	f.Add(job, `{"steps":[{"occurrence":4611686018427387904,"step":9}]}`, workers, `{}`)
	f.Fuzz(func(t *testing.T, job, progress, workers, interference string) {
		store := kvtest.NewStore()
		put := func(key, value string) {
			if _, err := store.Commit(t.Context(), kv.Txn{Put: []kv.Put{{Key: key, Value: []byte(value)}}}); err != nil {
				t.Fatal(err)
			}
		}
		put(statekeys.Job(0, "j"), job)
		put(statekeys.Progress(0, "j"), progress)
		put(statekeys.KnownWorkers(0), workers)
		put(statekeys.Interference(0), interference)
		put(statekeys.Term(0), `{"term":1}`)
		ownership := term.NewOwnership(term.Config{Store: store, Log: eventlog.Discard()}, 1, 6)
		o := NewOwner(Config{
			Host: "host", Store: store, Relays: &fakeRelay{}, TaskLease: time.Second, StopTime: time.Second,
			Log: eventlog.Discard(), Scope: tally.NoopScope,
		}, ownership)
		if o.loadOnce(t.Context()) != nil {
			return // the owner retries; it does not end
		}
		o.plan()
		o.update(func(s *schedule.Scheduler, now schedule.Time) { s.Counts(now) })
	})
}
