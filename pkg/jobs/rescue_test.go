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

var refugeShard = structs.ShardID{Datacentre: "b"}

// newLostWorld returns a world with a job of 3 tasks in testShard and another shard that can take it. The first task
// of the job runs according to its record.
func newLostWorld(t *testing.T) (*world, structs.JobRecord) {
	t.Helper()
	w := newWorld()
	record := w.submit(t, nil, "k", 3)
	record.Tasks[0].State, record.Tasks[0].Attempt = structs.TaskRunning, 1
	w.change(t, record)
	other := w.shards[0]
	other.Digest.Shard = refugeShard
	w.shards = append(w.shards, other)
	return w, record
}

func (w *world) rescuer(chosen bool) *Rescuer {
	return NewRescuer(RescueConfig{
		Service: w.service(), Horizon: testHorizon,
		Shards: func() []structs.ShardID { return []structs.ShardID{testShard, refugeShard} },
		Chosen: func(lost structs.ShardID) bool { return chosen && lost == testShard },
	})
}

// claim writes what package ownership writes for a claim of testShard.
func (w *world) claim() {
	w.store.Put(newKeyspace("trial").owner(testShard), []byte("owner"))
	w.store.Put(newKeyspace("trial").lastOwner(testShard), []byte("owner"))
}

// lapse ends an ownership as an expired lease does.
func (w *world) lapse() { w.store.Remove(newKeyspace("trial").owner(testShard)) }

// release ends an ownership as a graceful shutdown does.
func (w *world) release() {
	w.lapse()
	w.store.Remove(newKeyspace("trial").lastOwner(testShard))
}

// Guards against jobs that move while tasks may still run in a lost data centre: before the horizon has passed since
// the last owner, also if an owner came and went between two reads, while a read fails, or by a host that is not
// chosen; and against jobs that never move.
func TestRescueWaitsForTheHorizon(t *testing.T) {
	const round = RescueInterval
	rounds := int(testHorizon/round) + 1 // after the first one
	cases := []struct {
		name   string
		chosen bool
		before func(w *world, n int) // before round n; round 0 is the first
		want   int                   // round in which the job moves; -1 for never
	}{
		{"owner gone", true, func(*world, int) {}, rounds},
		{"not chosen", false, func(*world, int) {}, -1},
		{"owner present", true, func(w *world, n int) {
			if n == 0 {
				w.claim()
			}
		}, -1},
		{"owner seen once", true, func(w *world, n int) {
			if n == 3 {
				w.claim()
			} else if n == 4 {
				w.lapse()
			}
		}, 4 + rounds},
		{"owner between two reads", true, func(w *world, n int) {
			if n == 5 {
				w.claim()
				w.lapse()
			}
		}, 5 + rounds},
		{"release between two reads", true, func(w *world, n int) {
			if n == 0 {
				w.claim()
				w.lapse()
			} else if n == 5 {
				w.claim()
				w.release()
			}
		}, 5 + rounds},
		{"reads fail in between", true, func(w *world, n int) {
			w.store.SetFaults(func(storetest.Call) fault { return map[bool]fault{true: unavailable}[n >= 2 && n < 5] })
		}, rounds},
	}
	for _, c := range cases {
		w, record := newLostWorld(t)
		r := w.rescuer(c.chosen)
		moved := -1
		for n := 0; n <= 2*rounds && moved < 0; n++ {
			c.before(w, n)
			w.store.ResetCalls()
			count, err := r.Check(context.Background())
			if err != nil && !errors.Is(err, ErrContended) && w.store.NextFault(storetest.Call{}) == noFault {
				t.Errorf("%s: round %d: %v", c.name, n, err)
			}
			if count > 0 {
				moved = n
			} else if w.store.Calls() > 4 {
				t.Errorf("%s: %d store calls in round %d", c.name, w.store.Calls(), n)
			}
			w.now = w.now.Add(round)
		}
		stored, _ := w.stored(record.ID)
		if moved != c.want || (stored.Record.Home == refugeShard) != (moved >= 0) {
			t.Errorf("%s: moved in round %d, want %d; home %v", c.name, moved, c.want, stored.Record.Home)
		}
	}
}

// Guards against tasks that are lost with their data centre, and against work that may have been done twice: tasks of a
// kind that is not idempotent are not repeated, and those of a cancelled job do not start again.
func TestRescueSettlesTasks(t *testing.T) {
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
		w, record := newLostWorld(t)
		kind := w.doc.Kinds["render"]
		kind.Idempotent = c.idempotent
		w.doc.Kinds["render"] = kind
		record.Tasks[2].State, record.CancelRequested = structs.TaskDone, c.cancel
		w.change(t, record)
		r := w.rescuer(true)
		for range 2 {
			if _, err := r.Check(context.Background()); err != nil {
				t.Fatal(err)
			}
			w.now = w.now.Add(testHorizon + time.Second)
		}
		stored, _ := w.stored(record.ID)
		tasks := stored.Record.Tasks
		if stored.Record.Home != refugeShard || tasks[0].State != c.inProgress || tasks[1].State != c.pending ||
			tasks[2].State != structs.TaskDone || stored.Record.Finished.IsZero() == stored.Record.Final() {
			t.Errorf("%s: %+v", c.name, stored.Record)
		}
		if len(w.notified[refugeShard]) != 1 {
			t.Errorf("%s: the new owner was not notified", c.name)
		}
	}
}

// Guards against a move beside an owner that claimed the shard after the last read of the owner records, which is
// still present or has gone again and left tasks running.
func TestRescueYieldsToALateOwner(t *testing.T) {
	for _, stays := range []bool{true, false} {
		w, record := newLostWorld(t)
		r := w.rescuer(true)
		if _, err := r.Check(context.Background()); err != nil {
			t.Fatal(err)
		}
		w.now = w.now.Add(testHorizon + time.Second)
		w.store.BeforeWrite(func() { // before the write of the move
			w.claim()
			if !stays {
				w.lapse()
			}
		})
		if _, err := r.Check(context.Background()); !errors.Is(err, ErrHasOwner) {
			t.Errorf("owner stays %v: %v", stays, err)
		}
		if stored, _ := w.stored(record.ID); stored.Record.Home != testShard {
			t.Errorf("owner stays %v: the job moved", stays)
		}
	}
	w, record := newLostWorld(t) // an owner that started a task and released the shard within one interval
	r := w.rescuer(true)
	if _, err := r.Check(context.Background()); err != nil {
		t.Fatal(err)
	}
	w.now = w.now.Add(testHorizon + time.Second)
	w.claim()
	record.Tasks[1].State = structs.TaskRunning
	w.change(t, record)
	w.release()
	if moved, err := r.Check(context.Background()); moved != 0 || !errors.Is(err, ErrContended) {
		t.Errorf("job with a task started lately: moved %d, %v", moved, err)
	}
}

// Guards against a job that is accepted late for a lost shard, or whose move failed, and then stays there, and against
// reads of all job records in every round after a loss.
func TestRescueGoesOnWithWhatIsLeft(t *testing.T) {
	ctx := context.Background()
	w, record := newLostWorld(t)
	r := w.rescuer(true)
	if _, err := r.Check(ctx); err != nil {
		t.Fatal(err)
	}
	w.now = w.now.Add(testHorizon + time.Second)
	w.store.ScriptFaults(unavailable)
	if moved, err := r.Check(ctx); moved != 0 || !errors.Is(err, ErrNotAccepted) {
		t.Errorf("store down during the move: moved %d, %v", moved, err)
	}
	if moved, err := r.Check(ctx); moved != 1 || err != nil {
		t.Errorf("after a failed move: moved %d, %v", moved, err)
	}
	if r.readTo == 0 || !r.emptied[testShard] {
		t.Error("the next round reads all records")
	}
	late := record
	late.ID = "late"
	w.change(t, late)
	for want := 1; want >= 0; want-- {
		w.now = w.now.Add(RescueInterval)
		moved, err := r.Check(ctx)
		if errors.Is(err, ErrContended) { // it has changed since the previous round
			moved, err = r.Check(ctx)
		}
		if moved != want || err != nil {
			t.Errorf("late job: moved %d, want %d, %v", moved, want, err)
		}
	}
}
