package schedule

import (
	"testing"
	"time"
)

// Scenario: an owner of the next term uses a relay of a former version, which grants leases as long as workers allow, for a worker that is
// stored with a lease of this version; the store is away. Guards against leases that are extended before a later owner knows that they may be
// longer: it would start the tasks of the worker a second time.
func TestLongerLeasesAreWithheldUntilTheyAreStored(t *testing.T) {
	h := newHarness(t, 2)
	h.s.cfg.MaxTaskLease, h.s.cfg.UnknownGrace = longestTestLease, testUnknownGrace
	h.s.InheritWorkers(h.now, []WorkerInfo{{ID: "w1", Address: "w1", StartedMs: 1, GrantedLease: testLease}})
	h.s.RecordTaskLease("w1", 0)
	// It answers, so the relay grants leases with the next permission. It is stored with the lease of this version.
	h.addWorker("w1", func(info *WorkerInfo) { info.GrantedLease = testLease })
	h.advanceClock(100 * time.Millisecond)
	h.plan()
	if !h.s.WithholdsLeases("w1") {
		t.Error("leases longer than the stored one are not withheld")
	}
	h.s.TakeAssignmentsChanged()
	h.s.KnownWorkersStored([]WorkerInfo{h.handOut()["w1"]})
	if h.s.WithholdsLeases("w1") || !h.s.TakeAssignmentsChanged() {
		t.Error("leases are withheld although a later owner waits for as long as they may last")
	}
}

// Guards against leases that are withheld in each term, until the store has answered, because of relays that grant longer ones: the former
// owner has stored its workers without a lease.
func TestLongerLeasesThatAFormerOwnerHasStoredAreNotWithheld(t *testing.T) {
	h := newHarness(t, 2)
	h.s.cfg.MaxTaskLease, h.s.cfg.UnknownGrace = longestTestLease, testUnknownGrace
	h.s.InheritWorkers(h.now, []WorkerInfo{{ID: "w1", Address: "w1", StartedMs: 1}})
	h.s.RecordTaskLease("w1", 0)
	if h.s.WithholdsLeases("w1") || h.s.LongerLeasesUnstored("w1") {
		t.Error("leases are withheld although a later owner waits for as long as they may last")
	}
}
