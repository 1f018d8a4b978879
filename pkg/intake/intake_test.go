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

// errNoOwner is the error of calls to an owner that cannot be reached.
const errNoOwner = errors.ConstError("no owner")

// fakeOwners records the term revision of each announcement. Its lookups fail as if the owner were unreachable.
type fakeOwners struct {
	mu            sync.Mutex // guards termRevisions
	termRevisions []int64
}

func (o *fakeOwners) Announce(_ context.Context, _ statekeys.Partition, state term.State, _ workload.Job) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.termRevisions = append(o.termRevisions, state.TermRevision())
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
	return slices.Clone(o.termRevisions)
}

// testIntake is an Intake on a store in which the only partition has an owner in term 1.
type testIntake struct {
	*Intake
	store     *kvtest.Store
	owners    *fakeOwners
	view      *term.View
	reachable atomic.Bool
}

func newTestIntake(t *testing.T) *testIntake {
	t.Helper()
	ti := &testIntake{store: kvtest.NewStore(), owners: &fakeOwners{}, view: term.NewView(eventlog.Discard())}
	ti.reachable.Store(true)
	ti.setTerm(t, `{"term":1}`)
	ti.refreshTerm(t)
	ti.Intake = New(Config{
		Store: ti.store, Reachable: ti.reachable.Load, View: ti.view, Owners: ti.owners, Partitions: 1, Log: eventlog.Discard(),
	})
	return ti
}

func (ti *testIntake) setTerm(t *testing.T, value string) {
	t.Helper()
	txn := kv.Txn{Put: []kv.Put{{Key: statekeys.Term(0), Value: []byte(value)}}}
	if _, err := ti.store.Commit(t.Context(), txn); err != nil {
		t.Fatal(err)
	}
}

// refreshTerm updates the view of the intake to the term in the store.
func (ti *testIntake) refreshTerm(t *testing.T) {
	t.Helper()
	ti.view.Reset(ti.ownerRecords(t))
}

// ownerRecords returns the owner records in the store.
func (ti *testIntake) ownerRecords(t *testing.T) []kv.Item {
	t.Helper()
	items, _, err := kv.List(t.Context(), ti.store, statekeys.Owners)
	if err != nil {
		t.Fatal(err)
	}
	return items
}

// faultOnCommits injects a fault into each commit, chosen by its number from 0.
func (ti *testIntake) faultOnCommits(fault func(n int) kvtest.Fault) {
	n := 0
	ti.store.SetFault(func(call string) kvtest.Fault {
		if call != "Commit" {
			return kvtest.None
		}
		n++
		return fault(n - 1)
	})
}

// faultSequence returns the faults of list in order, and then the last of them.
func faultSequence(list ...kvtest.Fault) func(int) kvtest.Fault {
	return func(n int) kvtest.Fault { return list[min(n, len(list)-1)] }
}

func (ti *testIntake) stored(t *testing.T, id workload.JobID) bool {
	t.Helper()
	_, found, err := ti.store.Get(t.Context(), statekeys.Job(0, id))
	if err != nil {
		t.Fatal(err)
	}
	return found
}

// Guards against a wrong outcome of a submission under any loss of its writes or their responses: a job reported as
// done must be stored, a refused one must not be, and the outcome must be uncertain while both are possible.
func TestAnswersToSubmissionsAreTrue(t *testing.T) {
	for name, c := range map[string]struct {
		fault  func(int) kvtest.Fault
		want   Outcome
		stored bool
	}{
		"answered":                  {faultSequence(kvtest.None), Done, true},
		"refused by the store":      {faultSequence(kvtest.Refuse, kvtest.None), Refused, false},
		"answer lost":               {faultSequence(kvtest.LoseResponse, kvtest.None), Done, true},
		"call lost":                 {faultSequence(kvtest.LoseRequest, kvtest.None), Done, true},
		"lost, then refused":        {faultSequence(kvtest.LoseRequest, kvtest.Refuse, kvtest.None), Done, true},
		"no write answered":         {faultSequence(kvtest.LoseRequest), Uncertain, false},
		"lost, then always refused": {faultSequence(kvtest.LoseResponse, kvtest.Refuse), Uncertain, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ti := newTestIntake(t)
			ti.faultOnCommits(c.fault)
			limit := time.Minute
			if c.want == Uncertain {
				limit = 3 * retryInterval
			}
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			got, _ := ti.Submit(ctx, workload.Job{ID: "job"})
			if stored := ti.stored(t, "job"); got != c.want || stored != c.stored {
				t.Errorf("outcome %s, stored %v", got, stored)
			}
		})
	}
}

// Guards against making a caller wait for a store that is known to be unreachable. Nothing is sent, so the refusal is
// certain.
func TestUnreachableStoreRefusesAtOnce(t *testing.T) {
	ti := newTestIntake(t)
	ti.reachable.Store(false)
	ti.store.SetFault(func(call string) kvtest.Fault {
		t.Errorf("call %s", call)
		return kvtest.None
	})
	if got, err := ti.Submit(t.Context(), workload.Job{ID: "job"}); got != Refused || err == nil {
		t.Errorf("submission: %s, %v", got, err)
	}
	if got, err := ti.Cancel(t.Context(), "job"); got != Refused || err == nil {
		t.Errorf("cancellation: %s, %v", got, err)
	}
	if _, _, err := ti.State(t.Context(), "job"); err == nil {
		t.Error("a state was returned although the store is unreachable")
	}
}

// Guards against making a caller wait until its deadline although the store became unreachable after its write: another
// entry host may reach the store.
func TestUnansweredWriteIsReportedOnceTheStoreIsDown(t *testing.T) {
	ti := newTestIntake(t)
	commits := 0
	ti.faultOnCommits(func(int) kvtest.Fault {
		commits++
		ti.reachable.Store(false)
		return kvtest.LoseRequest
	})
	if got, _ := ti.Submit(t.Context(), workload.Job{ID: "job"}); got != Uncertain || commits != 1 {
		t.Errorf("outcome %s after %d writes", got, commits)
	}
}

// Guards against announcing a job to an owner other than the one in the term under which it was stored, and against a
// repeated submission that is refused or announced again.
func TestSubmissionFollowsTheTerm(t *testing.T) {
	ti := newTestIntake(t)
	ti.setTerm(t, `{"term":2}`)
	records := ti.ownerRecords(t)
	ti.faultOnCommits(func(n int) kvtest.Fault {
		if n == 1 { // the first write requires the former term
			ti.view.Reset(records)
		}
		return kvtest.None
	})
	if got, err := ti.Submit(t.Context(), workload.Job{ID: "job"}); got != Done || err != nil {
		t.Fatalf("outcome %s, %v", got, err)
	}
	poll.Until(t, "the owner is notified", func() bool { return len(ti.owners.announcements()) == 1 })
	if got, want := ti.owners.announcements()[0], records[0].Revision; got != want {
		t.Errorf("the owner of term revision %d was notified, want %d", got, want)
	}
	if got, err := ti.Submit(t.Context(), workload.Job{ID: "job"}); got != Done || err != nil {
		t.Errorf("repeated: %s, %v", got, err)
	}
	time.Sleep(announceInterval)
	if n := len(ti.owners.announcements()); n != 1 {
		t.Errorf("the owner was notified %d times, want 1", n)
	}
}

// Guards against accepting the cancellation of a job that was never submitted, and against reporting a cancelled job as
// pending while its partition has no owner.
func TestCancelWithoutOwner(t *testing.T) {
	ti := newTestIntake(t)
	if got, err := ti.Cancel(t.Context(), "unknown"); got != NotFound || err != nil {
		t.Errorf("unknown job: %s, %v", got, err)
	}
	if _, found, err := ti.State(t.Context(), "unknown"); found || err != nil {
		t.Errorf("unknown job after its cancellation: found %v, %v", found, err)
	}
	if got, err := ti.Submit(t.Context(), workload.Job{ID: "job"}); got != Done || err != nil {
		t.Fatalf("outcome %s, %v", got, err)
	}
	if state, found, err := ti.State(t.Context(), "job"); state != workload.StatePending || !found || err != nil {
		t.Errorf("state %q, %v, %v", state, found, err)
	}
	ti.faultOnCommits(faultSequence(kvtest.LoseResponse, kvtest.None))
	if got, err := ti.Cancel(t.Context(), "job"); got != Done || err != nil {
		t.Errorf("cancellation: %s, %v", got, err)
	}
	if state, found, err := ti.State(t.Context(), "job"); state != workload.StateCancelled || !found || err != nil {
		t.Errorf("state %q, %v, %v", state, found, err)
	}
}

// Guards against a job that waits for the owner's next watch of the submissions: the response to the write that stored it
// was lost, the repeated write found the key, and nobody announced the job.
func TestJobOfALostResponseIsAnnounced(t *testing.T) {
	ti := newTestIntake(t)
	ti.faultOnCommits(faultSequence(kvtest.LoseResponse, kvtest.None))
	if got, err := ti.Submit(t.Context(), workload.Job{ID: "job"}); got != Done || err != nil {
		t.Fatalf("outcome %s, %v", got, err)
	}
	poll.Until(t, "the owner is notified", func() bool { return len(ti.owners.announcements()) == 1 })
}

// Guards against announcing a job as new to an owner of a later term than the one under which it was stored: that owner
// has to look for attempts of the former one first.
func TestJobOfAFormerTermIsNotAnnounced(t *testing.T) {
	ti := newTestIntake(t)
	ti.faultOnCommits(faultSequence(kvtest.LoseResponse, kvtest.None))
	calls := 0
	ti.cfg.Reachable = func() bool {
		if calls++; calls == 2 { // between the two writes
			ti.setTerm(t, `{"term":2}`)
			ti.refreshTerm(t)
		}
		return true
	}
	if got, err := ti.Submit(t.Context(), workload.Job{ID: "job"}); got != Done || err != nil {
		t.Fatalf("outcome %s, %v", got, err)
	}
	time.Sleep(2 * announceInterval)
	if n := len(ti.owners.announcements()); n != 0 {
		t.Errorf("the owner was notified %d times, want 0", n)
	}
}
