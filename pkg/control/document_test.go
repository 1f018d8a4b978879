package control

import (
	"strconv"
	"testing"

	"github.com/juju/errors"

	"fulmarcourse.example/core/document"
	"fulmarcourse.example/core/structs"
)

// Guards against a promotion that does not take effect, succeeds without a try, or is missing from the history.
func TestTryAndPromote(t *testing.T) {
	f := newFixture(t, nil)
	digest := document.Digest([]byte(text("1s")))
	if _, err := f.Promote(t.Context(), PromoteRequest{digest, 0, "ann"}); !errors.Is(err, ErrNotTried) {
		t.Fatalf("promotion without a try: %v", err)
	}
	result, err := f.promote(t, text("1s"), 0)
	if err != nil || result.Outcome != Applied || result.Version != 1 || f.version() != 1 {
		t.Fatalf("promotion: %+v, %v, version in effect %d", result, err, f.version())
	}
	if _, err := f.promote(t, text("2s"), 1); err != nil {
		t.Fatal(err)
	}
	history, err := f.History(t.Context())
	if err != nil || len(history) != 2 || history[0].Version != 2 || history[1].Digest != digest {
		t.Fatalf("history: %+v, %v", history, err)
	}
}

// Guards against putting faulty documents and documents of another environment in effect.
func TestPromoteRejects(t *testing.T) {
	f := newFixture(t, func(cfg *Config) { cfg.Environment = "staging" })
	var findings document.Findings
	if _, err := f.Try(t.Context(), "[kind]", "ann"); !errors.As(err, &findings) || len(findings) < 2 {
		t.Fatalf("try of a faulty document: %v", err)
	}
	if _, err := f.promote(t, text("1s"), 0); !errors.Is(err, ErrWrongEnvironment) {
		t.Fatalf("promotion in another environment: %v", err)
	}
}

// Guards against a promotion that replaces another version than the operator expects.
func TestPromoteExpectsVersion(t *testing.T) {
	f := newFixture(t, nil)
	if _, err := f.promote(t, text("1s"), 0); err != nil {
		t.Fatal(err)
	}
	for _, expected := range []int64{0, 2} {
		_, err := f.promote(t, text("2s"), expected)
		var conflict *VersionConflictError
		if !errors.As(err, &conflict) || conflict.Current != 1 || conflict.Expected != expected || f.version() != 1 {
			t.Errorf("expected version %d: %v, version %d in effect", expected, err, f.version())
		}
	}
}

// Guards against two concurrent promotions that both report success, and against one that silently replaces the other.
func TestPromoteRace(t *testing.T) {
	f := newFixture(t, nil)
	if _, err := f.Try(t.Context(), text("1s"), "ann"); err != nil {
		t.Fatal(err)
	}
	f.store.BeforeWrite(func() { f.store.put(f.keys.document(), record(1, text("9s"))) })
	_, err := f.Promote(t.Context(), PromoteRequest{document.Digest([]byte(text("1s"))), 0, "ann"})
	var conflict *VersionConflictError
	if !errors.As(err, &conflict) || conflict.Current != 1 {
		t.Fatalf("want a version conflict, got %v", err)
	}
}

// Guards against reporting a wrong definite result after a lost response, and against applying a write twice.
func TestPromoteLostResponse(t *testing.T) {
	cases := []struct {
		name    string
		faults  []txnFault
		outcome Outcome
		version int64 // in the store afterwards, when the store is up again
	}{
		{"applied", []txnFault{lostResponse}, Applied, 1},
		{"lost", []txnFault{lostRequest}, Applied, 1},
		{"lost again", []txnFault{lostRequest, lostRequest}, Applied, 1},
		{"delayed", []txnFault{held}, Applied, 1},
		{"store gone", []txnFault{cut}, Unknown, 1},
		{"all lost", []txnFault{lostRequest, lostRequest, lostRequest, lostRequest}, Unknown, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, nil)
			if _, err := f.Try(t.Context(), text("1s"), "ann"); err != nil {
				t.Fatal(err)
			}
			f.store.ScriptFaults(c.faults...)
			result, err := f.Promote(t.Context(), PromoteRequest{document.Digest([]byte(text("1s"))), 0, "ann"})
			if result.Outcome != c.outcome || errors.Is(err, ErrOutcomeUnknown) != (c.outcome == Unknown) {
				t.Fatalf("outcome %s, %v; want %s", result.Outcome, err, c.outcome)
			}
			f.store.SetDown(false)
			if applied := f.store.Deliver(); applied != 0 {
				t.Fatal("the delayed copy of a resolved write took effect")
			}
			f.poll(t)
			if f.version() != c.version {
				t.Fatalf("version %d, want %d", f.version(), c.version)
			}
		})
	}
}

// Guards against reporting an unknown outcome when the history proves that another promotion wrote the version.
func TestPromoteLostResponseAndRace(t *testing.T) {
	f := newFixture(t, nil)
	if _, err := f.Try(t.Context(), text("1s"), "ann"); err != nil {
		t.Fatal(err)
	}
	f.store.ScriptFaults(lostRequest)
	f.store.BeforeWrite(func() {
		f.store.put(f.keys.document(), record(1, text("9s")))
		f.store.put(f.keys.history(1), record(1, ""))
	})
	result, err := f.Promote(t.Context(), PromoteRequest{document.Digest([]byte(text("1s"))), 0, "ann"})
	var conflict *VersionConflictError
	if result.Outcome != NotApplied || !errors.As(err, &conflict) {
		t.Fatalf("got %+v, %v", result, err)
	}
}

// Guards against reporting any other result than "no effect" when the store is unreachable.
func TestCommandsWithoutStore(t *testing.T) {
	f := newFixture(t, nil)
	f.store.put(f.keys.key(partMembers+"a1"), structs.MemberRecord{Host: "a1", Datacentre: "a"})
	f.poll(t)
	f.store.SetDown(true)
	if result, err := f.Try(t.Context(), text("1s"), "ann"); !errors.Is(err, ErrNotApplied) || result.Outcome != NotApplied {
		t.Errorf("try: %+v, %v", result, err)
	}
	if result, err := f.Promote(t.Context(), PromoteRequest{"x", 0, "ann"}); !errors.Is(err, ErrNotApplied) || result.Outcome != NotApplied {
		t.Errorf("promote: %+v, %v", result, err)
	}
	if report, err := f.SetDatacentre(t.Context(), "a", structs.DatacentreOut, "ann"); !errors.Is(err, ErrNotApplied) || report.Outcome != NotApplied {
		t.Errorf("datacentre out: %+v, %v", report, err)
	}
	if f.RemovalAttempted() {
		t.Error("a removal without effect is still reported as attempted")
	}
}

// Guards against unbounded growth of the control state in the store, and against removing a document that was tried
// again later.
func TestTriedDocumentsAreBounded(t *testing.T) {
	f := newFixture(t, nil)
	try := func(number int) {
		t.Helper()
		if _, err := f.Try(t.Context(), text("1s")+"# "+strconv.Itoa(number)+"\n", "ann"); err != nil {
			t.Fatal(err)
		}
	}
	for number := range triedLimit + 5 {
		try(number)
		if number == triedLimit/2 {
			try(0)
		}
	}
	result, _ := f.store.Range(t.Context(), keyspace{"trial"}.key(partTried), 0)
	if len(result.Entries) != triedLimit {
		t.Errorf("%d tried documents are kept, want %d", len(result.Entries), triedLimit)
	}
	if _, err := f.Promote(t.Context(), PromoteRequest{document.Digest([]byte(text("1s") + "# 0\n")), 0, "ann"}); err != nil {
		t.Errorf("the document that was tried again is lost: %v", err)
	}
}

// Guards against putting an older or damaged document in effect, from the store or from a peer.
func TestDocumentVersionOnlyRises(t *testing.T) {
	damaged := record(8, text("1s"))
	damaged.Text = text("7s")
	for name, offered := range map[string]structs.DocumentRecord{
		"older": record(4, text("1s")), "same version": record(5, text("1s")), "damaged": damaged, "faulty": record(8, "[x]"),
	} {
		t.Run(name, func(t *testing.T) {
			f, other := newFixture(t, nil), newFixture(t, nil)
			f.store.put(f.keys.document(), record(5, text("5s")))
			f.poll(t)
			f.store.put(f.keys.document(), offered)
			f.poll(t)
			other.store.SetRevision(50)
			other.store.put(f.keys.document(), offered)
			other.poll(t)
			relayFrom(t, f.Service, other.Service, f.clock)
			if f.version() != 5 {
				t.Fatalf("version %d is in effect, want 5", f.version())
			}
			f.store.SetRevision(other.store.Revision())
			f.clock.Advance(DefaultFullInterval)
			f.poll(t)
			if f.version() != 5 {
				t.Fatalf("version %d is in effect after a full read, want 5", f.version())
			}
		})
	}
}
