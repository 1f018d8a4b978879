package jobs

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"fulmarcourse.example/core/structs"
)

// Guards against tasks that are lost or assigned twice, shares on shards that can never run them, parts beyond the
// limits, two parts in one shard, and jobs that are split although one shard has headroom for them, or spread over
// data centres although the preferred one has.
func TestSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tasks, limit := rapid.IntRange(1, 200).Draw(t, "tasks"), rapid.IntRange(0, 20).Draw(t, "limit")
		demand := HomeDemand{Size: structs.Resources{MilliCPU: 1}, Tasks: tasks, PreferredDatacentre: "a"}
		var candidates []HomeCandidate
		for i := range rapid.IntRange(1, 24).Draw(t, "shards") {
			dc := rapid.SampledFrom([]structs.DatacentreID{"a", "b"}).Draw(t, "dc")
			candidates = append(candidates, HomeCandidate{State: structs.DatacentreIn, BatchAllowed: rapid.IntRange(0, 4).Draw(t, "batch") > 0,
				Digest: structs.ShardDigest{Shard: structs.ShardID{Datacentre: dc, Index: i / 2}, Epoch: structs.Epoch(i),
					Free: structs.Resources{MilliCPU: rapid.Int64Range(0, 60).Draw(t, "free")}, Largest: structs.Resources{MilliCPU: 9},
					Pending: rapid.IntRange(0, 30).Draw(t, "pending")}})
		}
		rnd := rand.New(rand.NewPCG(1, 2))
		home, ok := TwoChoiceHome(candidates, demand, rnd)
		if !ok {
			return
		}
		shares := Split(candidates, demand, home, limit, rnd)
		headrooms, sum, seen, preferredOnly := map[structs.ShardID]int{}, 0, map[structs.ShardID]bool{}, true
		preferredHeadroom := 0
		for _, r := range shardHeadrooms(candidates, demand) {
			headrooms[r.shard] = r.headroom
			if r.shard.Datacentre == "a" {
				preferredHeadroom += max(r.headroom, 0)
			}
		}
		for _, s := range shares {
			headroom, usable := headrooms[s.Shard]
			if !usable || seen[s.Shard] || (len(shares) > 1 && s.Tasks < MinPartTasks) {
				t.Fatalf("share %+v of %+v, headroom %d", s, shares, headroom)
			}
			sum, seen[s.Shard], preferredOnly = sum+s.Tasks, true, preferredOnly && s.Shard.Datacentre == "a"
		}
		if sum != tasks || (len(shares) > 1 && len(shares) > min(limit, MaxParts)) {
			t.Fatalf("%d tasks in %d parts of %d tasks, limit %d", sum, len(shares), tasks, limit)
		}
		if len(shares) > 1 && headrooms[home] >= tasks {
			t.Fatalf("split into %+v although the home has headroom", shares)
		}
		if a := shardHeadrooms(candidates, demand); !preferredOnly && preferredHeadroom >= tasks && len(shares) > 1 && len(divide(sortedPreferredHeadrooms(a), tasks, min(limit, MaxParts, tasks/MinPartTasks))) > 1 {
			t.Fatalf("%+v uses another data centre although the preferred one has headroom", shares)
		}
	})
}

// sortedPreferredHeadrooms returns the headrooms of data centre a, the preferred one of TestSplit, in descending order.
func sortedPreferredHeadrooms(headrooms []shardHeadroom) []shardHeadroom {
	headrooms = slices.DeleteFunc(headrooms, func(r shardHeadroom) bool { return r.shard.Datacentre != "a" })
	slices.SortStableFunc(headrooms, func(a, b shardHeadroom) int { return b.headroom - a.headroom })
	return headrooms
}

var fourPartSpec = structs.JobSpec{Team: "gilders", Kind: "render", Tasks: 40, Key: "wide"}

// newFourShardFakes returns fakes with four equal shards, each with headroom for 8 tasks of fourPartSpec.
func newFourShardFakes() *fakes {
	f := newFakes()
	f.shards = nil
	host := f.largest["a"]
	for i := range 4 {
		shard := structs.ShardID{Datacentre: "a", Index: i}
		f.shards = append(f.shards, HomeCandidate{
			Digest: structs.ShardDigest{Shard: shard, Free: host, Largest: host}, State: structs.DatacentreIn, BatchAllowed: true,
		})
	}
	return f
}

// submitFourParts submits fourPartSpec, which must succeed, and returns its parts.
func (f *fakes) submitFourParts(t *testing.T) []structs.JobRecord {
	t.Helper()
	record, err := f.service().Submit(context.Background(), fourPartSpec)
	if err != nil {
		t.Fatal(err)
	}
	parts, err := f.service().Parts(context.Background(), record.ID)
	if err != nil || len(parts) != 4 {
		t.Fatalf("%d parts, %v", len(parts), err)
	}
	return parts
}

// Guards against a job of which only some parts are stored, or that is stored twice with different splits, when
// responses of the store are lost and the submission is repeated after the headroom of the shards has changed.
func TestSubmitPartsIsAtomic(t *testing.T) {
	cases := []struct {
		faults []fault
		want   error
	}{
		{nil, nil},
		{[]fault{lostResponse}, nil},
		{[]fault{lostRequest}, nil},
		{[]fault{delayed}, nil},
		{[]fault{delayed, lostRequest}, nil},
		{[]fault{unavailable}, ErrNotAccepted},
		{[]fault{delayed, lostRequest, lostRequest}, ErrOutcomeUnknown},
	}
	for _, c := range cases {
		f := newFourShardFakes()
		f.store.ScriptFaults(c.faults...)
		record, err := f.service().Submit(context.Background(), fourPartSpec)
		if !errors.Is(err, c.want) || (err == nil && (len(record.Tasks) != 40 || record.ID != IDFor("gilders", "wide") || record.Part.Count != 0)) {
			t.Errorf("%v: got %d tasks, error %v, want %v", c.faults, len(record.Tasks), err, c.want)
		}
		f.store.Heal()
		if n := f.store.Len(); n != 0 && n != 4 {
			t.Errorf("%v: %d records stored, want none or all 4", c.faults, n)
		}
		before := f.store.Len()
		f.shards = f.shards[:2] // a new job would now be split differently
		again, err := f.service().Submit(context.Background(), fourPartSpec)
		if err != nil || len(again.Tasks) != 40 || (before > 0 && f.store.Len() != before) {
			t.Errorf("%v: repeat got %d tasks, error %v, %d records", c.faults, len(again.Tasks), err, f.store.Len())
		}
		other := fourPartSpec
		other.Tasks = 41
		if _, err := f.service().Submit(context.Background(), other); !errors.Is(err, ErrKeyReused) {
			t.Errorf("%v: other specification under the same key: %v", c.faults, err)
		}
	}
}

// Guards against a transaction for all parts that is larger than the store accepts.
func TestPartsFitOneTransaction(t *testing.T) {
	f := newFourShardFakes()
	for i := range MaxParts {
		c := f.shards[i%4]
		c.Digest.Shard.Index = 4 + i
		f.shards = append(f.shards, c)
	}
	spec := fourPartSpec
	spec.Tasks, spec.Input = MaxTasks, strings.Repeat("x", MaxInputBytes-2)
	parts, err := f.service().admit(spec)
	if err != nil {
		t.Fatal(err)
	}
	txn, err := f.service().createTxn(parts)
	size := 0
	for _, put := range txn.Puts {
		size += len(put.Value)
	}
	if err != nil || size > MaxTxnBytes || len(parts) < 2 {
		t.Errorf("%d parts, %d bytes, %v", len(parts), size, err)
	}
}

// Guards against cancellations that reach only some parts but are reported as successful or as not accepted.
func TestCancelReachesAllParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFourShardFakes()
		record, err := f.service().Submit(context.Background(), fourPartSpec)
		if err != nil {
			t.Fatal(err)
		}
		f.store.RandomFaults(rapid.Uint64().Draw(t, "seed"), rapid.Float64Range(0, 0.9).Draw(t, "faults"))
		cancelled, err := f.service().Cancel(context.Background(), record.ID)
		f.store.Heal()
		parts, readErr := f.service().Parts(context.Background(), record.ID)
		if readErr != nil {
			t.Fatal(readErr)
		}
		marked := 0
		for _, part := range parts {
			if part.CancelRequested {
				marked++
			}
		}
		if (err == nil && (marked != 4 || !cancelled.CancelRequested || len(cancelled.Tasks) != 40)) ||
			(errors.Is(err, ErrNotAccepted) && marked != 0) {
			t.Fatalf("%v with %d of 4 parts marked", err, marked)
		}
	})
	f := newFourShardFakes()
	parts := f.submitFourParts(t)
	f.store.ResetCalls()
	if _, err := f.service().Cancel(context.Background(), partID(parts[0].ID, 2)); err != nil || f.store.Calls() > 4 {
		t.Errorf("%v, %d store calls, want at most 4", err, f.store.Calls())
	}
	for _, part := range parts {
		if !slices.Contains(f.notified[part.Home], part.ID) {
			t.Errorf("owner of %s was not notified", part.Home)
		}
	}
}

// Guards against a cancellation that is reported as not accepted although it has marked one part before the store
// failed. Conflicts with the owner have reduced the transactions to one record.
func TestCancelOfSomePartsIsUnknown(t *testing.T) {
	const conflicts = 6 // reduce the limit from MaxBatchRecords to 1
	f := newFourShardFakes()
	parts := f.submitFourParts(t)
	count := 0
	var overwriteFirst func()
	overwriteFirst = func() {
		if count++; count <= conflicts {
			f.overwrite(t, parts[0])
			f.store.BeforeWrite(overwriteFirst)
		}
	}
	f.store.BeforeWrite(overwriteFirst)
	f.store.ScriptFaults(append(slices.Repeat([]fault{noFault}, conflicts+1), slices.Repeat([]fault{unavailable}, MaxCancelAttempts)...)...)
	_, err := f.service().Cancel(context.Background(), parts[0].ID)
	if first, _ := f.storedRecord(parts[0].ID); !first.Record.CancelRequested {
		t.Fatal("the first part is not marked")
	}
	if last, _ := f.storedRecord(parts[3].ID); last.Record.CancelRequested {
		t.Fatal("the last part is marked")
	}
	if !errors.Is(err, ErrOutcomeUnknown) {
		t.Errorf("got %v, want ErrOutcomeUnknown", err)
	}
	f.store.Heal()
	if record, err := f.service().Cancel(context.Background(), parts[0].ID); err != nil || !record.CancelRequested {
		t.Errorf("repeat: %v", err)
	}
	if last, _ := f.storedRecord(parts[3].ID); !last.Record.CancelRequested {
		t.Error("the repeat does not reach the last part")
	}
}

// overwrite writes a part without comparing revisions, in place of its owner.
func (f *fakes) overwrite(t *testing.T, part structs.JobRecord) {
	t.Helper()
	value, err := encode(&part)
	if err != nil {
		t.Fatal(err)
	}
	f.store.Put(newKeyspace("trial").job(part.ID), value)
}

// Guards against parts that are returned as separate jobs, tasks whose number changes, and jobs that are final before
// all their parts are.
func TestPartsAreOneJob(t *testing.T) {
	ctx, f := context.Background(), newFourShardFakes()
	parts := f.submitFourParts(t)
	number := 0
	for _, part := range parts {
		for i := range part.Tasks {
			if got := part.JobTask(i); got != (structs.TaskID{Job: parts[0].ID, Index: number}) {
				t.Fatalf("task %d of %s is numbered %v, want %d", i, part.ID, got, number)
			}
			part.Tasks[i].Reason = fmt.Sprint(number)
			number++
		}
	}
	waiter, result := NewWaiter(f.service()), make(chan structs.JobRecord, 1)
	go func() {
		record, _ := waiter.Wait(ctx, parts[0].ID, nil)
		result <- record
	}()
	for n, part := range slices.Backward(parts) {
		select {
		case <-result:
			t.Fatalf("job is final with %d open parts", n+1)
		default:
		}
		for i := range part.Tasks {
			part.Tasks[i].State = structs.TaskDone
		}
		part.Finished = f.now.Add(time.Duration(n) * time.Second)
		f.overwrite(t, part)
		stored, err := f.service().Get(ctx, part.ID)
		if err != nil || stored.Record.ID != parts[0].ID || stored.Record.Final() != (n == 0) || stored.Record.Finished.IsZero() != (n != 0) {
			t.Fatalf("%+v, %v with %d open parts", stored.Record, err, n)
		}
	}
	jobs, err := f.service().List(ctx, Filter{Home: parts[3].Home})
	if err != nil || len(jobs) != 1 || len(jobs[0].Tasks) != 40 || jobs[0].Finished != f.now.Add(3*time.Second) {
		t.Fatalf("list %+v %v", jobs, err)
	}
	for i, task := range jobs[0].Tasks {
		if task.Reason != fmt.Sprint(i) {
			t.Errorf("task %d is %s", i, task.Reason)
		}
	}
	for waiting := true; waiting; {
		waiter.Poll(ctx)
		select {
		case record := <-result:
			waiting = false
			if len(record.Tasks) != 40 || !record.Final() {
				t.Errorf("waited for %+v", record)
			}
		default:
		}
	}
}

// Guards against parts that are deleted before the retention of the whole job has expired, against remaining parts
// without a first part, with which a new job under the same key would collide, and against parts that are never
// deleted.
func TestSweepDeletesFirstPartLast(t *testing.T) {
	ctx, f := context.Background(), newFourShardFakes()
	parts := f.submitFourParts(t)
	var batches []*Batch
	for n, part := range parts {
		epoch := f.store.Put(newKeyspace("trial").owner(part.Home), []byte("owner"))
		batch := NewBatch(BatchConfig{Store: f.store, Notifier: f, Environment: "trial", Shard: part.Home,
			Epoch: structs.Epoch(epoch), Clock: func() time.Time { return f.now }})
		if n < 3 {
			part.Finished = f.now
		}
		f.overwrite(t, part)
		stored, _ := f.storedRecord(part.ID)
		batch.Observe(stored)
		batches = append(batches, batch)
	}
	sweep := func(want int) {
		t.Helper()
		for n, batch := range batches {
			if batch.Sweep() != 0 {
				t.Error("a part was swept like a job in one record")
			}
			if err := batch.SweepParts(ctx); err != nil {
				t.Fatal(err)
			}
			if err := batch.Flush(ctx); err != nil {
				t.Fatal(n, err)
			}
		}
		if left := f.store.Len() - len(batches); left != want {
			t.Fatalf("%d parts are left, want %d", left, want)
		}
	}
	f.now = f.now.Add(Retention + time.Second)
	sweep(4) // the last part is open
	last, _ := f.storedRecord(parts[3].ID)
	last.Record.Finished = f.now
	f.overwrite(t, last.Record)
	last, _ = f.storedRecord(parts[3].ID)
	batches[3] = NewBatch(batches[3].cfg)
	batches[3].Observe(last)
	sweep(4) // the last part has only just finished
	f.now = f.now.Add(Retention + time.Second)
	sweep(1) // the first part is kept, since the others are still stored when it is checked
	if _, err := f.service().Get(ctx, parts[0].ID); !errors.Is(err, ErrNotFound) {
		t.Errorf("job that is being deleted: %v", err)
	}
	if _, err := f.service().Submit(ctx, fourPartSpec); !errors.Is(err, ErrNotAccepted) {
		t.Errorf("repeat while the job is being deleted: %v", err)
	}
	sweep(0)
	if record, err := f.service().Submit(ctx, fourPartSpec); err != nil || len(record.Tasks) != 40 {
		t.Errorf("new job after the retention time: %v", err)
	}
}
