package dispatch

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/core/structs"
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
	progress := `{"state":"running","steps":[{"s":0,"done":[0],"marks":[{"i":1,"f":[1],"a":2}]}]}`
	workers := `[{"ID":"w","Address":"w","Pool":"pool","Capacity":{"milli_cpu":1000}}]`
	f.Add(job, progress, workers, `{"Victims":[]}`)
	f.Add(`{"steps":[{"tasks":-1}]}`, `{"steps":[{"s":-1,"marks":[{"i":-5}]},{"s":0,"marks":[{"i":-5}]}]}`, `[{}]`, `{"Victims":[{}]}`)
	f.Add(`{"steps":[{"tasks":1,"after":[4]}],"recurrence":{"count":-3}}`, `{"state":"completed"}`, `null`, `[]`)
	f.Add(job, `{"steps":[{"k":4611686018427387904,"s":9}]}`, workers, `{}`)
	f.Add(job, `{"steps":[{"s":0,"marks":[{"i":0,"a":9223372036854775807,"w":"w","x":[{"w":"w","s":1},{"w":"w","s":1}],`+
		`"q":[{"w":"w","t":1},{"w":"w","t":2}],"y":-1}]},{"s":0,"marks":[{"i":0}]}]}`, workers, `{}`)
	f.Fuzz(func(t *testing.T, job, progress, workers, interference string) {
		store := kvtest.NewStore()
		put := func(key, value string) {
			if _, err := store.Commit(t.Context(), kv.Txn{Put: []kv.Put{{Key: key, Value: []byte(value)}}}); err != nil {
				t.Fatal(err)
			}
		}
		put(statekeys.Job(0, "j"), job)
		put(statekeys.Progress(0, "j"), progress)
		put(statekeys.KnownWorkers(0, 0), workers)
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
		crashWorkers(o)
	})
}

// crashWorkers makes the worker report, then its next process under the same id, and then lists one at its address. The owner
// plans and gathers what has to be stored after each of them.
func crashWorkers(o *Owner) {
	listed := []schedule.WorkerInfo{
		{ID: "w", Address: "w", Pool: "pool", StartedMs: 1, Capacity: structs.Resources{MilliCPU: 1000, MemoryBytes: 1 << 30}},
	}
	report := func(incarnation int64) func(*schedule.Scheduler, schedule.Time) {
		return func(s *schedule.Scheduler, now schedule.Time) {
			s.KnownWorkersStored(listed)
			s.Report(now, "w", schedule.Report{Incarnation: incarnation, SentAt: now.Boot})
		}
	}
	next := listed[0]
	next.ID, next.StartedMs = "next", 3
	for _, change := range []func(*schedule.Scheduler, schedule.Time){
		func(s *schedule.Scheduler, now schedule.Time) { s.SetWorkers(now, listed) },
		report(1), report(2), report(2),
		func(s *schedule.Scheduler, now schedule.Time) { s.PollFailed(now, "w", schedule.Grant{}) },
		func(s *schedule.Scheduler, now schedule.Time) { s.SetWorkers(now, append(listed, next)) },
	} {
		o.update(change)
		o.plan()
		for _, record := range o.takeBatch().records {
			o.update(func(s *schedule.Scheduler, now schedule.Time) { s.MarkStored(now, record) })
		}
	}
}
