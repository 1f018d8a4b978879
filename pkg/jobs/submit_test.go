package jobs

import (
	"context"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/problem"
	"fulmarcourse.example/fulmarcourse/pkg/store/storetest"
)

var goodSpec = structs.JobSpec{Team: "gilders", Kind: "render", Tasks: 3, Key: "k1"}

// Guards against submissions that are rejected for one fault at a time, or accepted although a check fails.
func TestSubmitReportsAllFindings(t *testing.T) {
	w := newWorld()
	_, err := w.service().Submit(context.Background(), structs.JobSpec{
		Team: "nobody", Kind: "quote", Tasks: MaxTasks + 1, RunSeconds: -1,
		Declared: structs.Resources{MilliCPU: -5}, Key: strings.Repeat("x", MaxKeyBytes+1), Input: strings.Repeat("<", MaxInputBytes/6+1),
	})
	var invalid *InvalidError
	if !errors.As(err, &invalid) || !errors.Is(err, ErrInvalid) {
		t.Fatalf("got %v, want InvalidError", err)
	}
	places := map[string]problem.Finding{}
	for _, f := range invalid.Findings {
		places[f.Place] = f
	}
	for _, want := range []string{"team", "kind", "tasks", "declared", "run_seconds", "key", "input"} {
		if places[want].Accepted == "" {
			t.Errorf("no finding for %s that says what is accepted", want)
		}
	}
	if w.store.Len() != 0 {
		t.Error("a rejected job was stored")
	}
}

// Guards against wrong reasons of rejections, which tell callers whether trying again helps.
func TestSubmitRejections(t *testing.T) {
	huge := goodSpec
	huge.Declared = structs.Resources{MilliCPU: 17_000}
	urgent := goodSpec
	urgent.Urgent = true
	cases := []struct {
		name  string
		setup func(*world)
		spec  structs.JobSpec
		want  error
	}{
		{"no document", func(w *world) { w.noDoc = true }, goodSpec, ErrNoDocument},
		{"larger than any host", func(*world) {}, huge, ErrTooLarge},
		{"hosts of a data centre unknown", func(w *world) { w.doc.BatchIn["b"] = true }, huge, ErrNoHome},
		{"only data centre is out", func(w *world) { w.shards[0].State = structs.DatacentreOut }, goodSpec, ErrNoHome},
		{"batch not allowed", func(w *world) { w.shards[0].BatchAllowed = false }, goodSpec, ErrNoHome},
		{"team may not be urgent", func(*world) {}, urgent, ErrInvalid},
		{"store unreachable", func(w *world) { w.store.ScriptFaults(unavailable) }, goodSpec, ErrNotAccepted},
	}
	for _, c := range cases {
		w := newWorld()
		c.setup(w)
		if _, err := w.service().Submit(context.Background(), c.spec); !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, err, c.want)
		}
		if w.store.Len() != 0 {
			t.Errorf("%s: a rejected job was stored", c.name)
		}
	}
}

// Guards against a repeated submission that creates a second job, changes the first one, or is rejected because
// the document changed after the job was accepted, and against two pairs of team and key that share a job.
func TestSubmitRepeats(t *testing.T) {
	if IDFor("a", "bc") == IDFor("ab", "c") || IDFor("a:1", "b") == IDFor("a", "1:b") {
		t.Error("different pairs of team and key have the same id")
	}
	w := newWorld()
	s := w.service()
	first, err := s.Submit(context.Background(), goodSpec)
	if err != nil {
		t.Fatal(err)
	}
	again, err := s.Submit(context.Background(), goodSpec)
	if err != nil || again.ID != first.ID || again.Nonce != first.Nonce {
		t.Fatalf("repeat gave %v %v", again.ID, err)
	}
	other := goodSpec
	other.Tasks = 4
	if _, err := s.Submit(context.Background(), other); !errors.Is(err, ErrKeyReused) {
		t.Errorf("other specification under the same key: got %v", err)
	}
	delete(w.doc.Kinds, "render")
	if again, err = s.Submit(context.Background(), goodSpec); err != nil || again.ID != first.ID {
		t.Errorf("repeat after the kind was removed: %v", err)
	}
	w.store.SetFaults(func(storetest.Call) fault { return unavailable })
	if _, err = s.Submit(context.Background(), goodSpec); !errors.Is(err, ErrNotAccepted) {
		t.Errorf("repeat that cannot be looked up must not be reported as invalid: %v", err)
	}
	if w.store.Len() != 1 {
		t.Errorf("%d records, want 1", w.store.Len())
	}
	if got := w.notified[testShard]; len(got) != 2 {
		t.Errorf("home shard notified %d times, want 2", len(got))
	}
}

// Guards against accepted jobs reported as failed and against duplicates when answers of the store are lost.
func TestSubmitLostAnswers(t *testing.T) {
	cases := []struct {
		name   string
		faults []fault
		want   error
	}{
		{"answer lost", []fault{lostAnswer}, nil},
		{"request lost", []fault{lostRequest}, nil},
		{"first write lands late", []fault{delayed}, nil},
		{"late, then lost", []fault{delayed, lostRequest}, nil},
		{"store silent", []fault{lostRequest, lostRequest, lostRequest}, ErrUnknown},
		{"unreachable after a lost answer", []fault{lostRequest, unavailable, unavailable}, ErrUnknown},
	}
	for _, c := range cases {
		w := newWorld()
		w.store.ScriptFaults(c.faults...)
		spec := goodSpec
		spec.Key = "" // a random id: nothing but the settled write protects against a second job
		record, err := w.service().Submit(context.Background(), spec)
		if !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, err, c.want)
		}
		w.store.Heal()
		if _, found := w.stored(record.ID); c.want == nil && (!found || w.store.Len() != 1) {
			t.Errorf("%s: accepted job not stored exactly once", c.name)
		}
		var unknown *UnknownError
		if c.want != nil && (!errors.As(err, &unknown) || unknown.ID == "") {
			t.Errorf("%s: the error does not name the job", c.name)
		}
	}
}

// Guards against homes that can never run the job, and against every submission between two heartbeats going to
// the same shard, which the baseline does.
func TestHomePolicies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demand := HomeDemand{Size: structs.Resources{MilliCPU: rapid.Int64Range(0, 8).Draw(t, "size")}, Tasks: rapid.IntRange(1, 9).Draw(t, "tasks"), Own: "a"}
		var candidates []HomeCandidate
		for i := range rapid.IntRange(0, 6).Draw(t, "shards") {
			candidates = append(candidates, HomeCandidate{
				Digest: structs.ShardDigest{
					Shard:   structs.ShardID{Datacentre: structs.DatacentreID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "dc")), Index: i},
					Free:    structs.Resources{MilliCPU: rapid.Int64Range(-4, 20).Draw(t, "free")},
					Largest: structs.Resources{MilliCPU: rapid.Int64Range(0, 10).Draw(t, "largest")},
					Pending: rapid.IntRange(0, 5).Draw(t, "pending"),
				},
				State:        rapid.SampledFrom([]structs.DatacentreState{structs.DatacentreIn, structs.DatacentreOut}).Draw(t, "state"),
				BatchAllowed: rapid.Bool().Draw(t, "batch"),
			})
		}
		usable := map[structs.ShardID]bool{}
		for _, c := range candidates {
			if c.usable(demand.Size) {
				usable[c.Digest.Shard] = true
			}
		}
		for _, policy := range []HomePolicy{FirstHome, TwoChoiceHome} {
			shard, ok := policy(candidates, demand, rand.New(rand.NewPCG(1, 2)))
			if ok != (len(usable) > 0) || (ok && !usable[shard]) {
				t.Fatalf("chose %v %v of usable %v", shard, ok, usable)
			}
		}
	})
	w := newWorld()
	var candidates []HomeCandidate
	for i := range 4 {
		c := w.shards[0]
		c.Digest.Shard.Index = i
		candidates = append(candidates, c)
	}
	rnd, counts := rand.New(rand.NewPCG(3, 4)), map[structs.ShardID]int{}
	for range 400 {
		shard, _ := TwoChoiceHome(candidates, HomeDemand{Size: structs.Resources{MilliCPU: 1000}, Tasks: 1, Own: "a"}, rnd)
		counts[shard]++
	}
	for shard, n := range counts {
		if n > 200 {
			t.Errorf("%d of 400 jobs went to shard %v of 4 equal ones", n, shard)
		}
	}
}

// Guards against records that outgrow the store's value limit while their tasks run and fail.
func TestLargestRecordStaysBelowLimit(t *testing.T) {
	record := structs.JobRecord{ID: newID(goodSpec), Spec: goodSpec, Nonce: newNonce(), Home: testShard, Submitted: time.Now()}
	record.Spec.Input = strings.Repeat("\\", (MaxInputBytes-2)/2)
	record.Spec.Key = strings.Repeat("\x01", MaxKeyBytes)
	host := structs.HostID(strings.Repeat("h", 60))
	for range MaxTasks {
		record.Tasks = append(record.Tasks, structs.TaskRecord{
			State: structs.TaskCancelled, Attempt: 1_000_000, Evictions: 1_000_000, Checkpoint: strings.Repeat("c", 128),
			Worker: host, Reason: strings.Repeat("\x00é<", 200), FailedOn: []structs.HostID{host, host, host, host, host, host},
		})
	}
	trimRecord(&record)
	if _, err := encode(&record); err != nil {
		t.Fatal(err)
	}
}
