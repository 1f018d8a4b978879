package intake

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/workload"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
	"fulmarcourse.example/fulmarcourse/pkg/term"
	"fulmarcourse.example/fulmarcourse/test/poll"
)

// errNoOwner is the answer of an owner that is not reached.
const errNoOwner = errors.ConstError("no owner")

// fakeOwners notes with which revision of the term the owner is told of each job. It knows no job.
type fakeOwners struct {
	mu   sync.Mutex // guards told
	told []int64
}

func (o *fakeOwners) Announce(_ context.Context, _ statekeys.Partition, state term.State, _ workload.Job) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.told = append(o.told, state.TermRevision())
	return nil
}

func (o *fakeOwners) AnnounceCancel(context.Context, statekeys.Partition, term.State, workload.JobID) error {
	return nil
}

func (o *fakeOwners) JobState(context.Context, statekeys.Partition, term.State, workload.JobID) (workload.State, bool, error) {
	return "", false, errNoOwner
}

func (o *fakeOwners) QueueLength(context.Context, statekeys.Partition, term.State, workload.QueueName) (int, error) {
	return 0, errNoOwner
}

func (o *fakeOwners) announcements() []int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.told)
}

// desk is an entry host on a store whose partition has an owner in term 1.
type desk struct {
	*Intake
	store     *kvtest.Store
	owners    *fakeOwners
	view      *term.View
	reachable atomic.Bool
}

func newDesk(t *testing.T) *desk {
	t.Helper()
	d := &desk{store: kvtest.NewStore(), owners: &fakeOwners{}, view: term.NewView(eventlog.Discard())}
	d.reachable.Store(true)
	d.setTerm(t, `{"term":1}`)
	d.readTerm(t)
	d.Intake = New(Config{
		Store: d.store, Reachable: d.reachable.Load, View: d.view, Owners: d.owners, Partitions: 1, Log: eventlog.Discard(),
	})
	return d
}

func (d *desk) setTerm(t *testing.T, value string) {
	t.Helper()
	txn := kv.Txn{Put: []kv.Put{{Key: statekeys.Term(0), Value: []byte(value)}}}
	if _, err := d.store.Commit(t.Context(), txn); err != nil {
		t.Fatal(err)
	}
}

// readTerm lets the entry host know the term that the store has.
func (d *desk) readTerm(t *testing.T) {
	t.Helper()
	d.view.Reset(d.owned(t))
}

// owned returns the store's records of owners.
func (d *desk) owned(t *testing.T) []kv.Item {
	t.Helper()
	items, _, err := kv.List(t.Context(), d.store, statekeys.Owners)
	if err != nil {
		t.Fatal(err)
	}
	return items
}

// faultOnCommits gives each commit a fate by its number, from 0.
func (d *desk) faultOnCommits(fate func(n int) kvtest.Fault) {
	n := 0
	d.store.SetFault(func(call string) kvtest.Fault {
		if call != "Commit" {
			return kvtest.None
		}
		n++
		return fate(n - 1)
	})
}

// fates gives the first commits a fate each, and the later ones the last of them.
func fates(list ...kvtest.Fault) func(int) kvtest.Fault {
	return func(n int) kvtest.Fault { return list[min(n, len(list)-1)] }
}

func (d *desk) stored(t *testing.T, id workload.JobID) bool {
	t.Helper()
	_, found, err := d.store.Get(t.Context(), statekeys.Job(0, id))
	if err != nil {
		t.Fatal(err)
	}
	return found
}

// Guards against an answer to a submission that is not true, whatever happens to its writes: a job that counts as stored
// is, a refused one is not, and nothing else is said as long as either is possible.
func TestAnswersToSubmissionsAreTrue(t *testing.T) {
	for name, c := range map[string]struct {
		fate   func(int) kvtest.Fault
		want   Outcome
		stored bool
	}{
		"answered":              {fates(kvtest.None), Done, true},
		"refused by the store":  {fates(kvtest.Refuse, kvtest.None), Refused, false},
		"answer lost":           {fates(kvtest.LoseDone, kvtest.None), Done, true},
		"call lost":             {fates(kvtest.LoseCall, kvtest.None), Done, true},
		"lost, then refused":    {fates(kvtest.LoseCall, kvtest.Refuse, kvtest.None), Done, true},
		"nothing ever answered": {fates(kvtest.LoseCall), Uncertain, false},
		"lost, then refused on": {fates(kvtest.LoseDone, kvtest.Refuse), Uncertain, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDesk(t)
			d.faultOnCommits(c.fate)
			limit := time.Minute
			if c.want == Uncertain {
				limit = 3 * repeatAfter
			}
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			got, _ := d.Submit(ctx, workload.Job{ID: "job"})
			if stored := d.stored(t, "job"); got != c.want || stored != c.stored {
				t.Errorf("outcome %s, stored %v", got, stored)
			}
		})
	}
}

// Guards against a caller that waits for a store that is known to be down: nothing is sent, so the refusal is true.
func TestUnreachableStoreRefusesAtOnce(t *testing.T) {
	d := newDesk(t)
	d.reachable.Store(false)
	d.store.SetFault(func(call string) kvtest.Fault {
		t.Errorf("call %s", call)
		return kvtest.None
	})
	if got, err := d.Submit(t.Context(), workload.Job{ID: "job"}); got != Refused || err == nil {
		t.Errorf("submission: %s, %v", got, err)
	}
	if got, err := d.Cancel(t.Context(), "job"); got != Refused || err == nil {
		t.Errorf("cancellation: %s, %v", got, err)
	}
	if _, _, err := d.State(t.Context(), "job"); err == nil {
		t.Error("a state is told")
	}
}

// Guards against a caller that waits for its deadline although the store went down after its write: another entry host
// may reach the store.
func TestUnansweredWriteIsToldOnceTheStoreIsDown(t *testing.T) {
	d := newDesk(t)
	commits := 0
	d.faultOnCommits(func(int) kvtest.Fault {
		commits++
		d.reachable.Store(false)
		return kvtest.LoseCall
	})
	if got, _ := d.Submit(t.Context(), workload.Job{ID: "job"}); got != Uncertain || commits != 1 {
		t.Errorf("outcome %s after %d writes", got, commits)
	}
}

// Guards against a job that is announced to another owner than the one under whom it was stored, and against a repeated
// submission that is refused or announced again.
func TestSubmissionFollowsTheTerm(t *testing.T) {
	d := newDesk(t)
	d.setTerm(t, `{"term":2}`)
	records := d.owned(t)
	d.faultOnCommits(func(n int) kvtest.Fault {
		if n == 1 { // the first write requires the former term
			d.view.Reset(records)
		}
		return kvtest.None
	})
	if got, err := d.Submit(t.Context(), workload.Job{ID: "job"}); got != Done || err != nil {
		t.Fatalf("outcome %s, %v", got, err)
	}
	poll.Until(t, "the owner is told", func() bool { return len(d.owners.announcements()) == 1 })
	if got, want := d.owners.announcements()[0], records[0].Revision; got != want {
		t.Errorf("the owner of revision %d is told, want %d", got, want)
	}
	if got, err := d.Submit(t.Context(), workload.Job{ID: "job"}); got != Done || err != nil {
		t.Errorf("repeated: %s, %v", got, err)
	}
	time.Sleep(announcePause)
	if n := len(d.owners.announcements()); n != 1 {
		t.Errorf("the owner was told %d times", n)
	}
}

// Guards against cancellations of jobs that nobody has submitted, and against a cancelled job that is shown as open
// while there is no owner.
func TestCancelWithoutOwner(t *testing.T) {
	d := newDesk(t)
	if got, err := d.Cancel(t.Context(), "job"); got != NotFound || err != nil {
		t.Errorf("unknown job: %s, %v", got, err)
	}
	if got, err := d.Submit(t.Context(), workload.Job{ID: "job"}); got != Done || err != nil {
		t.Fatalf("outcome %s, %v", got, err)
	}
	if state, found, err := d.State(t.Context(), "job"); state != workload.StatePending || !found || err != nil {
		t.Errorf("state %q, %v, %v", state, found, err)
	}
	d.faultOnCommits(fates(kvtest.LoseDone, kvtest.None))
	if got, err := d.Cancel(t.Context(), "job"); got != Done || err != nil {
		t.Errorf("cancellation: %s, %v", got, err)
	}
	if state, found, err := d.State(t.Context(), "job"); state != workload.StateCancelled || !found || err != nil {
		t.Errorf("state %q, %v, %v", state, found, err)
	}
}
