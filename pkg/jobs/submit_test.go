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

// Guards against rejections that report only one of several findings, and against submissions that are accepted
// although a check fails.
func TestSubmitReportsAllFindings(t *testing.T) {
	f := newFakes()
	_, err := f.service().Submit(context.Background(), structs.JobSpec{
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
	if f.store.Len() != 0 {
		t.Error("a rejected job was stored")
	}
}

// Guards against rejections with a wrong error, from which callers decide whether to retry.
func TestSubmitRejections(t *testing.T) {
	huge := goodSpec
	huge.Declared = structs.Resources{MilliCPU: 17_000}
	urgent := goodSpec
	urgent.Urgent = true
	cases := []struct {
		name  string
		setup func(*fakes)
		spec  structs.JobSpec
		want  error
	}{
		{"no document", func(f *fakes) { f.noDoc = true }, goodSpec, ErrNoDocument},
		{"larger than any host", func(*fakes) {}, huge, ErrTooLarge},
		{"hosts of a data centre unknown", func(f *fakes) { f.doc.BatchIn["b"] = true }, huge, ErrNoHome},
		{"only data centre is out", func(f *fakes) { f.shards[0].State = structs.DatacentreOut }, goodSpec, ErrNoHome},
		{"batch not allowed", func(f *fakes) { f.shards[0].BatchAllowed = false }, goodSpec, ErrNoHome},
		{"team may not be urgent", func(*fakes) {}, urgent, ErrInvalid},
		{"store unreachable", func(f *fakes) { f.store.ScriptFaults(unavailable) }, goodSpec, ErrNotAccepted},
	}
	for _, c := range cases {
		f := newFakes()
		c.setup(f)
		if _, err := f.service().Submit(context.Background(), c.spec); !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, err, c.want)
		}
		if f.store.Len() != 0 {
			t.Errorf("%s: a rejected job was stored", c.name)
		}
	}
}

// Guards against a repeated submission that creates a second job, changes the first one, or is rejected because the
// document changed after the job was accepted, and against different pairs of team and key with the same job.
func TestSubmitRepeats(t *testing.T) {
	if IDFor("a", "bc") == IDFor("ab", "c") || IDFor("a:1", "b") == IDFor("a", "1:b") {
		t.Error("different pairs of team and key have the same id")
	}
	f := newFakes()
	s := f.service()
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
	delete(f.doc.Kinds, "render")
	if again, err = s.Submit(context.Background(), goodSpec); err != nil || again.ID != first.ID {
		t.Errorf("repeat after the kind was removed: %v", err)
	}
	f.store.SetFaults(func(storetest.Call) fault { return unavailable })
	if _, err = s.Submit(context.Background(), goodSpec); !errors.Is(err, ErrNotAccepted) {
		t.Errorf("repeat that cannot be looked up must not be reported as invalid: %v", err)
	}
	if f.store.Len() != 1 {
		t.Errorf("%d records, want 1", f.store.Len())
	}
	if got := f.notified[testShard]; len(got) != 2 {
		t.Errorf("home shard notified %d times, want 2", len(got))
	}
}

// Guards against accepted jobs reported as failed and against duplicates when responses of the store are lost.
func TestSubmitLostResponses(t *testing.T) {
	cases := []struct {
		name   string
		faults []fault
		want   error
	}{
		{"response lost", []fault{lostResponse}, nil},
		{"request lost", []fault{lostRequest}, nil},
		{"first write delayed", []fault{delayed}, nil},
		{"write delayed, then lost", []fault{delayed, lostRequest}, nil},
		{"no response", []fault{lostRequest, lostRequest, lostRequest}, ErrOutcomeUnknown},
		{"unreachable after a lost response", []fault{lostRequest, unavailable, unavailable}, ErrOutcomeUnknown},
	}
	for _, c := range cases {
		f := newFakes()
		f.store.ScriptFaults(c.faults...)
		spec := goodSpec
		spec.Key = "" // random id, so that only the handling of lost responses prevents a second job
		record, err := f.service().Submit(context.Background(), spec)
		if !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, err, c.want)
		}
		f.store.Heal()
		if _, found := f.storedRecord(record.ID); c.want == nil && (!found || f.store.Len() != 1) {
			t.Errorf("%s: accepted job not stored exactly once", c.name)
		}
		var unknown *OutcomeUnknownError
		if c.want != nil && (!errors.As(err, &unknown) || unknown.ID == "") {
			t.Errorf("%s: the error does not have the job id", c.name)
		}
	}
}

// Guards against home shards that can never run the job, and against all submissions between two heartbeats going to
// the same shard, as they do with the baseline.
func TestHomePolicies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demand := HomeDemand{Size: structs.Resources{MilliCPU: rapid.Int64Range(0, 8).Draw(t, "size")}, Tasks: rapid.IntRange(1, 9).Draw(t, "tasks"), PreferredDatacentre: "a"}
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
	f := newFakes()
	var candidates []HomeCandidate
	for i := range 4 {
		c := f.shards[0]
		c.Digest.Shard.Index = i
		candidates = append(candidates, c)
	}
	rnd, counts := rand.New(rand.NewPCG(3, 4)), map[structs.ShardID]int{}
	for range 400 {
		shard, _ := TwoChoiceHome(candidates, HomeDemand{Size: structs.Resources{MilliCPU: 1000}, Tasks: 1, PreferredDatacentre: "a"}, rnd)
		counts[shard]++
	}
	for shard, n := range counts {
		if n > 200 {
			t.Errorf("%d of 400 jobs went to shard %v of 4 equal ones", n, shard)
		}
	}
}

// Guards against records that exceed the store's value limit after their tasks have run and failed.
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
