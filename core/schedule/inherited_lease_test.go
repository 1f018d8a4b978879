package schedule

import (
	"testing"
	"time"
)

const testUnknownGrace = 4 * time.Second // longer than Config.HandoverGrace of the harness

// inheriting returns a harness of a next owner with a known worker, of which a former one has stored the longest lease that it has granted;
// 0 if it has stored none.
func inheriting(t *testing.T, granted time.Duration) *harness {
	t.Helper()
	h := newHarness(t, 2)
	h.s.cfg.MaxTaskLease, h.s.cfg.UnknownGrace = longestTestLease, testUnknownGrace
	h.s.InheritWorkers(h.now, []WorkerInfo{{ID: "w1", Address: "w1", StartedMs: 1, GrantedLease: granted}})
	h.s.AddJob(testJob("job", testStep(1)), nil, true)
	h.addWorker("w2", nil)
	return h
}

// Guards against a next owner that takes leases of an owner of a former version for as short as its own: the task would run twice. And
// against one that waits as long where the former owner has stored what it has granted.
func TestNextOwnerWaitsForTheLeaseThatWasGranted(t *testing.T) {
	for name, c := range map[string]struct{ granted, wait time.Duration }{
		"former version": {0, testUnknownGrace + expiry(longestTestLease)},
		"this version":   {testLease, 2500*time.Millisecond + expiry(testLease)},
		"other length":   {8 * time.Second, 2500*time.Millisecond + expiry(8*time.Second)},
	} {
		t.Run(name, func(t *testing.T) {
			h := inheriting(t, c.granted)
			started := h.now.Boot - time.Millisecond // of the harness's first report
			h.wantStartAfter(started+c.wait-h.now.Boot, "w2")
		})
	}
}

// Scenario: an owner follows one of a former version and is lost soon. Guards against known workers that name the lease of the second owner
// while longer ones of the first may last: the third would start their tasks a second time.
func TestLeasesOfAFormerVersionAreNamedUntilTheyHaveExpired(t *testing.T) {
	h := inheriting(t, 0)
	first := h.now.Boot
	h.addWorker("w1", nil) // it answers
	for h.now.Boot < first+testUnknownGrace+expiry(longestTestLease) {
		for id, info := range h.handOut() {
			if info.GrantedLease != 0 {
				t.Fatalf("%v after the takeover %s has a lease of %v at most", h.now.Boot-first, id, info.GrantedLease)
			}
		}
		h.advanceClock(time.Second)
		h.reportAll()
		h.plan()
		h.s.knownWorkersChanged = h.s.knownWorkersChanged || h.now.Boot < first+testUnknownGrace+expiry(longestTestLease)
	}
	if infos := h.handOut(); len(infos) != 2 || infos["w1"].GrantedLease != testLease || infos["w2"].GrantedLease != testLease {
		t.Errorf("known workers %+v, want two with leases of %v", infos, testLease)
	}
}

// Guards against known workers that name this owner's lease while a relay of a former version grants longer ones, and against a start
// there before a later owner knows that.
func TestLeasesOfARelayOfAFormerVersionAreNotNamed(t *testing.T) {
	h := newHarness(t, 1)
	h.s.cfg.MaxTaskLease = longestTestLease
	h.addWorker("w1", nil)
	h.s.RecordTaskLease("w1", testLease)
	if info := h.handOut()["w1"]; info.GrantedLease != testLease {
		t.Fatalf("known worker %+v, want a lease of %v", info, testLease)
	}
	named := h.s.workers["w1"].info
	named.GrantedLease = testLease
	h.s.RecordTaskLease("w1", 0)
	h.s.AddJob(testJob("job", testStep(1)), nil, false)
	h.s.KnownWorkersStored([]WorkerInfo{named})
	h.wantStarts(h.run(), 0)
	h.s.RecordTaskLease("w1", testLease) // the leases of the former relay may last
	info := h.handOut()["w1"]
	if info.GrantedLease != 0 {
		t.Errorf("known worker %+v, want no lease", info)
	}
	h.s.KnownWorkersStored([]WorkerInfo{info})
	h.wantStarts(h.run(), 1)
}
