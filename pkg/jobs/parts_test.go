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

// Guards against tasks that are lost or dealt twice, shares on shards that can never run them, parts beyond the
// limits, two parts in one shard, and jobs that are spread although one shard, or the own data centre, has room.
func TestSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tasks, limit := rapid.IntRange(1, 200).Draw(t, "tasks"), rapid.IntRange(0, 20).Draw(t, "limit")
		demand := HomeDemand{Size: structs.Resources{MilliCPU: 1}, Tasks: tasks, Own: "a"}
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
		rooms, sum, seen, ownOnly := map[structs.ShardID]int{}, 0, map[structs.ShardID]bool{}, true
		ownRoom := 0
		for _, r := range roomsOf(candidates, demand) {
			rooms[r.shard] = r.room
			if r.shard.Datacentre == "a" {
				ownRoom += max(r.room, 0)
			}
		}
		for _, s := range shares {
			room, usable := rooms[s.Shard]
			if !usable || seen[s.Shard] || (len(shares) > 1 && s.Tasks < MinPartTasks) {
				t.Fatalf("share %+v of %+v, room %d", s, shares, room)
			}
			sum, seen[s.Shard], ownOnly = sum+s.Tasks, true, ownOnly && s.Shard.Datacentre == "a"
		}
		if sum != tasks || (len(shares) > 1 && len(shares) > min(limit, MaxParts)) {
			t.Fatalf("%d tasks in %d parts of %d tasks, limit %d", sum, len(shares), tasks, limit)
		}
		if len(shares) > 1 && rooms[home] >= tasks {
			t.Fatalf("split into %+v although the home has room", shares)
		}
		if a := roomsOf(candidates, demand); !ownOnly && ownRoom >= tasks && len(shares) > 1 && len(divide(ownSorted(a), tasks, min(limit, MaxParts, tasks/MinPartTasks))) > 1 {
			t.Fatalf("%+v leaves a data centre that has room", shares)
		}
	})
}

// ownSorted returns the rooms of data centre a by falling room.
func ownSorted(rooms []shardRoom) []shardRoom {
	rooms = slices.DeleteFunc(rooms, func(r shardRoom) bool { return r.shard.Datacentre != "a" })
	slices.SortStableFunc(rooms, func(a, b shardRoom) int { return b.room - a.room })
	return rooms
}

var wideSpec = structs.JobSpec{Team: "gilders", Kind: "render", Tasks: 40, Key: "wide"}

// newWideWorld returns a world of four equal shards, each with room for 8 tasks of wideSpec.
func newWideWorld() *world {
	w := newWorld()
	w.shards = nil
	host := w.largest["a"]
	for i := range 4 {
		shard := structs.ShardID{Datacentre: "a", Index: i}
		w.shards = append(w.shards, HomeCandidate{
			Digest: structs.ShardDigest{Shard: shard, Free: host, Largest: host}, State: structs.DatacentreIn, BatchAllowed: true,
		})
	}
	return w
}

// submitWide accepts wideSpec without faults and returns its parts.
func (w *world) submitWide(t *testing.T) []structs.JobRecord {
	t.Helper()
	record, err := w.service().Submit(context.Background(), wideSpec)
	if err != nil {
		t.Fatal(err)
	}
	parts, err := w.service().Parts(context.Background(), record.ID)
	if err != nil || len(parts) != 4 {
		t.Fatalf("%d parts, %v", len(parts), err)
	}
	return parts
}

// Guards against a job of which only some parts are stored, or whose parts are stored twice in different splits, when
// answers of the store are lost and the submission is repeated while the shards' room changes.
func TestSubmitPartsIsAtomic(t *testing.T) {
	cases := []struct {
		faults []fault
		want   error
	}{
		{nil, nil},
		{[]fault{lostAnswer}, nil},
		{[]fault{lostRequest}, nil},
		{[]fault{delayed}, nil},
		{[]fault{delayed, lostRequest}, nil},
		{[]fault{unavailable}, ErrNotAccepted},
		{[]fault{delayed, lostRequest, lostRequest}, ErrUnknown},
	}
	for _, c := range cases {
		w := newWideWorld()
		w.store.ScriptFaults(c.faults...)
		record, err := w.service().Submit(context.Background(), wideSpec)
		if !errors.Is(err, c.want) || (err == nil && (len(record.Tasks) != 40 || record.ID != IDFor("gilders", "wide") || record.Part.Count != 0)) {
			t.Errorf("%v: got %d tasks, error %v, want %v", c.faults, len(record.Tasks), err, c.want)
		}
		w.store.Heal()
		if n := w.store.Len(); n != 0 && n != 4 {
			t.Errorf("%v: %d records stored, want none or all 4", c.faults, n)
		}
		before := w.store.Len()
		w.shards = w.shards[:2] // a repeat now would be split otherwise
		again, err := w.service().Submit(context.Background(), wideSpec)
		if err != nil || len(again.Tasks) != 40 || (before > 0 && w.store.Len() != before) {
			t.Errorf("%v: repeat got %d tasks, error %v, %d records", c.faults, len(again.Tasks), err, w.store.Len())
		}
		other := wideSpec
		other.Tasks = 41
		if _, err := w.service().Submit(context.Background(), other); !errors.Is(err, ErrKeyReused) {
			t.Errorf("%v: other specification under the same key: %v", c.faults, err)
		}
	}
}

// Guards against a transaction of all parts that is larger than the store takes.
func TestPartsFitOneTransaction(t *testing.T) {
	w := newWideWorld()
	for i := range MaxParts {
		c := w.shards[i%4]
		c.Digest.Shard.Index = 4 + i
		w.shards = append(w.shards, c)
	}
	spec := wideSpec
	spec.Tasks, spec.Input = MaxTasks, strings.Repeat("x", MaxInputBytes-2)
	parts, err := w.service().admit(spec)
	if err != nil {
		t.Fatal(err)
	}
	txn, err := w.service().creation(parts)
	size := 0
	for _, put := range txn.Puts {
		size += len(put.Value)
	}
	if err != nil || size > MaxTxnBytes || len(parts) < 2 {
		t.Errorf("%d parts, %d bytes, %v", len(parts), size, err)
	}
}

// Guards against cancellations that reach only some parts but are reported as done, or as not accepted.
func TestCancelReachesAllParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWideWorld()
		record, err := w.service().Submit(context.Background(), wideSpec)
		if err != nil {
			t.Fatal(err)
		}
		w.store.RandomFaults(rapid.Uint64().Draw(t, "seed"), rapid.Float64Range(0, 0.9).Draw(t, "faults"))
		cancelled, err := w.service().Cancel(context.Background(), record.ID)
		w.store.Heal()
		parts, readErr := w.service().Parts(context.Background(), record.ID)
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
	w := newWideWorld()
	parts := w.submitWide(t)
	w.store.ResetCalls()
	if _, err := w.service().Cancel(context.Background(), partID(parts[0].ID, 2)); err != nil || w.store.Calls() > 4 {
		t.Errorf("%v, %d store calls, want at most 4", err, w.store.Calls())
	}
	for _, part := range parts {
		if !slices.Contains(w.notified[part.Home], part.ID) {
			t.Errorf("owner of %s was not notified", part.Home)
		}
	}
}

// Guards against a cancellation that marked one part before the store failed and is reported as not accepted. A busy
// owner has reduced the transactions to one record.
func TestCancelOfSomePartsIsUnknown(t *testing.T) {
	const conflicts = 6 // halve MaxBatchRecords to 1
	w := newWideWorld()
	parts := w.submitWide(t)
	count := 0
	var busy func()
	busy = func() {
		if count++; count <= conflicts {
			w.change(t, parts[0])
			w.store.BeforeWrite(busy)
		}
	}
	w.store.BeforeWrite(busy)
	w.store.ScriptFaults(append(slices.Repeat([]fault{noFault}, conflicts+1), slices.Repeat([]fault{unavailable}, MaxCancelAttempts)...)...)
	_, err := w.service().Cancel(context.Background(), parts[0].ID)
	if first, _ := w.stored(parts[0].ID); !first.Record.CancelRequested {
		t.Fatal("the first part is not marked")
	}
	if last, _ := w.stored(parts[3].ID); last.Record.CancelRequested {
		t.Fatal("the last part is marked")
	}
	if !errors.Is(err, ErrUnknown) {
		t.Errorf("got %v, want ErrUnknown", err)
	}
	w.store.Heal()
	if record, err := w.service().Cancel(context.Background(), parts[0].ID); err != nil || !record.CancelRequested {
		t.Errorf("repeat: %v", err)
	}
	if last, _ := w.stored(parts[3].ID); !last.Record.CancelRequested {
		t.Error("the repeat does not reach the last part")
	}
}

// change writes a part past all guards, as its owner does.
func (w *world) change(t *testing.T, part structs.JobRecord) {
	t.Helper()
	value, err := encode(&part)
	if err != nil {
		t.Fatal(err)
	}
	w.store.Put(newKeyspace("trial").job(part.ID), value)
}

// Guards against parts that show up as jobs of their own, tasks whose number changes, and jobs that count as final
// before their last part is.
func TestPartsAreOneJob(t *testing.T) {
	ctx, w := context.Background(), newWideWorld()
	parts := w.submitWide(t)
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
	waiter, result := NewWaiter(w.service()), make(chan structs.JobRecord, 1)
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
		part.Finished = w.now.Add(time.Duration(n) * time.Second)
		w.change(t, part)
		stored, err := w.service().Get(ctx, part.ID)
		if err != nil || stored.Record.ID != parts[0].ID || stored.Record.Final() != (n == 0) || stored.Record.Finished.IsZero() != (n != 0) {
			t.Fatalf("%+v, %v with %d open parts", stored.Record, err, n)
		}
	}
	jobs, err := w.service().List(ctx, Filter{Home: parts[3].Home})
	if err != nil || len(jobs) != 1 || len(jobs[0].Tasks) != 40 || jobs[0].Finished != w.now.Add(3*time.Second) {
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

// Guards against parts that are deleted while other tasks of the job are still of interest, against remains without a
// first part, which a new job under the same key would meet, and against parts that are never deleted.
func TestSweepDeletesFirstPartLast(t *testing.T) {
	ctx, w := context.Background(), newWideWorld()
	parts := w.submitWide(t)
	var batches []*Batch
	for n, part := range parts {
		epoch := w.store.Put(newKeyspace("trial").owner(part.Home), []byte("owner"))
		batch := NewBatch(BatchConfig{Store: w.store, Notifier: w, Environment: "trial", Shard: part.Home,
			Epoch: structs.Epoch(epoch), Clock: func() time.Time { return w.now }})
		if n < 3 {
			part.Finished = w.now
		}
		w.change(t, part)
		stored, _ := w.stored(part.ID)
		batch.Observe(stored)
		batches = append(batches, batch)
	}
	sweep := func(want int) {
		t.Helper()
		for n, batch := range batches {
			if batch.Sweep() != 0 {
				t.Error("a part was swept like a job of its own")
			}
			if err := batch.SweepParts(ctx); err != nil {
				t.Fatal(err)
			}
			if err := batch.Flush(ctx); err != nil {
				t.Fatal(n, err)
			}
		}
		if left := w.store.Len() - len(batches); left != want {
			t.Fatalf("%d parts are left, want %d", left, want)
		}
	}
	w.now = w.now.Add(Retention + time.Second)
	sweep(4) // the last part is open
	last, _ := w.stored(parts[3].ID)
	last.Record.Finished = w.now
	w.change(t, last.Record)
	last, _ = w.stored(parts[3].ID)
	batches[3] = NewBatch(batches[3].cfg)
	batches[3].Observe(last)
	sweep(4) // the last part has only just finished
	w.now = w.now.Add(Retention + time.Second)
	sweep(1) // the first sees the others before they go
	if _, err := w.service().Get(ctx, parts[0].ID); !errors.Is(err, ErrNotFound) {
		t.Errorf("job that is being deleted: %v", err)
	}
	if _, err := w.service().Submit(ctx, wideSpec); !errors.Is(err, ErrNotAccepted) {
		t.Errorf("repeat while the job is being deleted: %v", err)
	}
	sweep(0)
	if record, err := w.service().Submit(ctx, wideSpec); err != nil || len(record.Tasks) != 40 {
		t.Errorf("new job after the retention time: %v", err)
	}
}
