package jobs

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/store/storetest"
)

const testHorizon = 10 * time.Minute

var destinationShard = structs.ShardID{Datacentre: "b"}

// newLostShardFakes returns fakes with a job of 3 tasks in testShard, whose first task is recorded as running, and
// with another shard to which the job can move.
func newLostShardFakes(t *testing.T) (*fakes, structs.JobRecord) {
	t.Helper()
	f := newFakes()
	record := f.submit(t, nil, "k", 3)
	record.Tasks[0].State, record.Tasks[0].Attempt = structs.TaskRunning, 1
	f.overwrite(t, record)
	other := f.shards[0]
	other.Digest.Shard = destinationShard
	f.shards = append(f.shards, other)
	return f, record
}

func (f *fakes) rescuer(responsible bool) *Rescuer {
	return NewRescuer(RescueConfig{
		Service: f.service(), Horizon: testHorizon,
		Shards:      func() []structs.ShardID { return []structs.ShardID{testShard, destinationShard} },
		Responsible: func(lost structs.ShardID) bool { return responsible && lost == testShard },
	})
}

// claim writes the records that package ownership writes for a claim of testShard.
func (f *fakes) claim() {
	f.store.Put(newKeyspace("trial").owner(testShard), []byte("owner"))
	f.store.Put(newKeyspace("trial").lastOwner(testShard), []byte("owner"))
}

// expireOwner ends an ownership like an expired lease: only the owner record is removed.
func (f *fakes) expireOwner() { f.store.Remove(newKeyspace("trial").owner(testShard)) }

// release ends an ownership like a graceful shutdown: the record of the last owner is removed too.
func (f *fakes) release() {
	f.expireOwner()
	f.store.Remove(newKeyspace("trial").lastOwner(testShard))
}

// Guards against jobs that move while their tasks may still run in a lost data centre: before the horizon has passed
// since the last owner, also if a host claimed and lost the shard between two reads, or while reads fail. Also guards
// against moves by a host that is not responsible, and against jobs that never move.
func TestRescueWaitsForTheHorizon(t *testing.T) {
	const round = RescueInterval
	rounds := int(testHorizon/round) + 1 // not counting the first
	cases := []struct {
		name        string
		responsible bool
		before      func(f *fakes, n int) // called before round n, which counts from 0
		want        int                   // round in which the job moves; -1 for never
	}{
		{"owner gone", true, func(*fakes, int) {}, rounds},
		{"not responsible", false, func(*fakes, int) {}, -1},
		{"owner present", true, func(f *fakes, n int) {
			if n == 0 {
				f.claim()
			}
		}, -1},
		{"owner seen once", true, func(f *fakes, n int) {
			if n == 3 {
				f.claim()
			} else if n == 4 {
				f.expireOwner()
			}
		}, 4 + rounds},
		{"owner between two reads", true, func(f *fakes, n int) {
			if n == 5 {
				f.claim()
				f.expireOwner()
			}
		}, 5 + rounds},
		{"release between two reads", true, func(f *fakes, n int) {
			if n == 0 {
				f.claim()
				f.expireOwner()
			} else if n == 5 {
				f.claim()
				f.release()
			}
		}, 5 + rounds},
		{"reads fail in between", true, func(f *fakes, n int) {
			f.store.SetFaults(func(storetest.Call) fault { return map[bool]fault{true: unavailable}[n >= 2 && n < 5] })
		}, rounds},
	}
	for _, c := range cases {
		f, record := newLostShardFakes(t)
		r := f.rescuer(c.responsible)
		moved := -1
		for n := 0; n <= 2*rounds && moved < 0; n++ {
			c.before(f, n)
			f.store.ResetCalls()
			count, err := r.Check(context.Background())
			if err != nil && !errors.Is(err, ErrContended) && f.store.NextFault(storetest.Call{}) == noFault {
				t.Errorf("%s: round %d: %v", c.name, n, err)
			}
			if count > 0 {
				moved = n
			} else if f.store.Calls() > 4 {
				t.Errorf("%s: %d store calls in round %d", c.name, f.store.Calls(), n)
			}
			f.now = f.now.Add(round)
		}
		stored, _ := f.storedRecord(record.ID)
		if moved != c.want || (stored.Record.Home == destinationShard) != (moved >= 0) {
			t.Errorf("%s: moved in round %d, want %d; home %v", c.name, moved, c.want, stored.Record.Home)
		}
	}
}

// Guards against tasks that are lost with their data centre, and against work that is done twice: tasks of a kind that
// is not idempotent are not repeated, and those of a cancelled job are not started again.
func TestRescueRecordsLostAttempts(t *testing.T) {
	cases := []struct {
		name                string
		idempotent, cancel  bool
		inProgress, pending structs.TaskState
	}{
		{"idempotent", true, false, structs.TaskPending, structs.TaskPending},
		{"not idempotent", false, false, structs.TaskUnknown, structs.TaskPending},
		{"cancelled", true, true, structs.TaskCancelled, structs.TaskCancelled},
	}
	for _, c := range cases {
		f, record := newLostShardFakes(t)
		kind := f.doc.Kinds["render"]
		kind.Idempotent = c.idempotent
		f.doc.Kinds["render"] = kind
		record.Tasks[2].State, record.CancelRequested = structs.TaskDone, c.cancel
		f.overwrite(t, record)
		r := f.rescuer(true)
		for range 2 {
			if _, err := r.Check(context.Background()); err != nil {
				t.Fatal(err)
			}
			f.now = f.now.Add(testHorizon + time.Second)
		}
		stored, _ := f.storedRecord(record.ID)
		tasks := stored.Record.Tasks
		if stored.Record.Home != destinationShard || tasks[0].State != c.inProgress || tasks[1].State != c.pending ||
			tasks[2].State != structs.TaskDone || stored.Record.Finished.IsZero() == stored.Record.Final() {
			t.Errorf("%s: %+v", c.name, stored.Record)
		}
		if len(f.notified[destinationShard]) != 1 {
			t.Errorf("%s: the new owner was not notified", c.name)
		}
	}
}

// Guards against a move after a host has claimed the shard since the last read of the owner records. The host still
// owns the shard, or has lost it again and left tasks running.
func TestRescueStopsWhenShardIsClaimed(t *testing.T) {
	for _, stays := range []bool{true, false} {
		f, record := newLostShardFakes(t)
		r := f.rescuer(true)
		if _, err := r.Check(context.Background()); err != nil {
			t.Fatal(err)
		}
		f.now = f.now.Add(testHorizon + time.Second)
		f.store.BeforeWrite(func() { // runs before the write of the move
			f.claim()
			if !stays {
				f.expireOwner()
			}
		})
		if _, err := r.Check(context.Background()); !errors.Is(err, ErrHasOwner) {
			t.Errorf("owner remains %v: %v", stays, err)
		}
		if stored, _ := f.storedRecord(record.ID); stored.Record.Home != testShard {
			t.Errorf("owner remains %v: the job moved", stays)
		}
	}
	f, record := newLostShardFakes(t) // an owner that started a task and released the shard within one interval
	r := f.rescuer(true)
	if _, err := r.Check(context.Background()); err != nil {
		t.Fatal(err)
	}
	f.now = f.now.Add(testHorizon + time.Second)
	f.claim()
	record.Tasks[1].State = structs.TaskRunning
	f.overwrite(t, record)
	f.release()
	if moved, err := r.Check(context.Background()); moved != 0 || !errors.Is(err, ErrContended) {
		t.Errorf("job with a recently started task: moved %d, %v", moved, err)
	}
}

// Guards against jobs that stay in a lost shard because they were stored there later or because their move failed, and
// against checks that read all job records again after the shard was emptied.
func TestRescueContinuesWithRemainingJobs(t *testing.T) {
	ctx := context.Background()
	f, record := newLostShardFakes(t)
	r := f.rescuer(true)
	if _, err := r.Check(ctx); err != nil {
		t.Fatal(err)
	}
	f.now = f.now.Add(testHorizon + time.Second)
	f.store.ScriptFaults(unavailable)
	if moved, err := r.Check(ctx); moved != 0 || !errors.Is(err, ErrNotAccepted) {
		t.Errorf("store down during the move: moved %d, %v", moved, err)
	}
	if moved, err := r.Check(ctx); moved != 1 || err != nil {
		t.Errorf("after a failed move: moved %d, %v", moved, err)
	}
	if r.emptiedRevision == 0 || !r.emptied[testShard] {
		t.Error("the next check reads all records")
	}
	late := record
	late.ID = "late"
	f.overwrite(t, late)
	for want := 1; want >= 0; want-- {
		f.now = f.now.Add(RescueInterval)
		moved, err := r.Check(ctx)
		if errors.Is(err, ErrContended) { // the record has changed since the previous check
			moved, err = r.Check(ctx)
		}
		if moved != want || err != nil {
			t.Errorf("late job: moved %d, want %d, %v", moved, want, err)
		}
	}
}
