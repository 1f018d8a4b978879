package control

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
)

// withMembers returns a fixture with one member in each of two data centres, and the revisions that they report.
func withMembers(t *testing.T) (*fixture, fixedRevisions) {
	t.Helper()
	revisions := fixedRevisions{}
	f := newFixture(t, func(cfg *Config) { cfg.Revisions = revisions })
	f.store.put(f.keys.key(partMembers+"a1"), structs.MemberRecord{Host: "a1", Datacentre: "a"})
	f.store.put(f.keys.key(partMembers+"b1"), structs.MemberRecord{Host: "b1", Datacentre: "b"})
	f.poll(t)
	return f, revisions
}

// Guards against reporting a removal as confirmed before every member has received it.
func TestSetDatacentreReport(t *testing.T) {
	f, revisions := withMembers(t)
	report, err := f.SetDatacentre(t.Context(), "b", structs.DatacentreOut, "ann")
	if err != nil {
		t.Fatal(err)
	}
	expires := start.Add(PermitTTL)
	want := ChangeReport{Datacentre: "b", State: structs.DatacentreOut, Outcome: Applied, Revision: f.store.Revision(), ExpiresAt: expires,
		Datacentres: []DatacentreReport{
			{Datacentre: "a", Confirmed: true},
			{Datacentre: "b", Unconfirmed: []structs.HostID{"b1"}, ExpiresAt: &expires},
		}}
	if diff := cmp.Diff(want, report); diff != "" {
		t.Fatalf("report differs (-want +got):\n%s", diff)
	}
	revisions["b1"] = report.Revision - 1
	if later, _ := f.DatacentreReport("b"); later.Confirmed() {
		t.Fatal("confirmed by a member that has not received the removal")
	}
	revisions["b1"] = report.Revision
	if later, _ := f.DatacentreReport("b"); !later.Confirmed() {
		t.Fatalf("not confirmed: %+v", later)
	}
	before := f.store.Revision()
	if again, err := f.SetDatacentre(t.Context(), "b", structs.DatacentreOut, "bob"); err != nil || again.Revision != before {
		t.Fatalf("repeated removal: %+v, %v", again, err)
	}
}

// Guards against invalid commands that reach the store and against concurrent commands that both report success.
func TestSetDatacentreRejects(t *testing.T) {
	f, _ := withMembers(t)
	if _, err := f.SetDatacentre(t.Context(), "b", "away", "ann"); !errors.Is(err, ErrInvalidState) {
		t.Errorf("bad state: %v", err)
	}
	if _, err := f.SetDatacentre(t.Context(), "z", structs.DatacentreOut, "ann"); !errors.Is(err, ErrUnknownDatacentre) {
		t.Errorf("unknown data centre: %v", err)
	}
	f.store.BeforeWrite(func() {
		f.store.put(f.keys.datacentre("b"), structs.DatacentreRecord{State: structs.DatacentreIn, Author: "bob"})
	})
	var conflict *DatacentreConflictError
	if _, err := f.SetDatacentre(t.Context(), "b", structs.DatacentreOut, "ann"); !errors.As(err, &conflict) || conflict.Current.Author != "bob" {
		t.Errorf("race: %v", err)
	}
}

// Guards against a member that reports "no removal attempted" while its removal may be in effect or may still take
// effect. The store fails during the command.
func TestRemovalAttempted(t *testing.T) {
	for name, fault := range map[string]txnFault{"applied": lostResponse, "lost": lostRequest, "delayed": held} {
		t.Run(name, func(t *testing.T) {
			f, _ := withMembers(t)
			f.store.ScriptFaults(fault, lostRequest, lostRequest, lostRequest)
			f.store.BeforeWrite(func() {
				if !f.RemovalAttempted() {
					t.Error("the removal is sent before it is recorded as attempted")
				}
			})
			_, err := f.SetDatacentre(t.Context(), "b", structs.DatacentreOut, "ann")
			if fault == lostResponse {
				if err != nil || f.Datacentre("b") != structs.DatacentreOut {
					t.Fatalf("a removal that was applied is not reported: %v", err)
				}
				return
			}
			if !errors.Is(err, ErrOutcomeUnknown) || !f.RemovalAttempted() {
				t.Fatalf("error %v, attempted %v", err, f.RemovalAttempted())
			}
			for range 3 { // a lost rewrite, a rewrite, and the poll that detects it
				f.poll(t)
			}
			if f.RemovalAttempted() {
				t.Fatal("the removal is unresolved although the store can be reached")
			}
			if applied := f.store.Deliver(); applied != 0 {
				t.Fatal("a removal took effect after it was resolved")
			}
			if f.Datacentre("b") != structs.DatacentreIn {
				t.Fatal("a removal that was not applied is in effect")
			}
		})
	}
}

// Guards against a member that reports "no removal attempted" although it has the removal and the revision that it
// reports does not cover it: the write succeeds and the store fails before the next poll.
func TestRemovalAttemptedUntilCovered(t *testing.T) {
	f, _ := withMembers(t)
	f.store.put(f.keys.datacentre("b"), structs.DatacentreRecord{State: structs.DatacentreOut})
	kv, _ := f.store.Entry(f.keys.datacentre("b"))
	f.applyDatacentre("b", toEntry(kv))
	f.store.SetDown(true)
	if err := f.PollNow(t.Context()); err == nil {
		t.Fatal("the poll reached a store that is down")
	}
	if !f.RemovalAttempted() || f.Datacentre("b") != structs.DatacentreOut {
		t.Fatal("the removal is not reported as attempted")
	}
	f.store.SetDown(false)
	f.poll(t)
	if f.RemovalAttempted() {
		t.Fatal("the removal is covered by the revision and still reported as attempted")
	}
}
