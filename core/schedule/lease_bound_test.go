package schedule

import (
	"testing"
	"time"
)

// longestTestLease is the longest lease that workers grant in tests of owners that grant less.
const longestTestLease = testLease + 4*time.Second

// testCallDelay is how late calls may be carried out in these tests.
const testCallDelay = 15 * time.Second

// lostSince returns a harness with a worker that runs a task and one that has room for it, of an owner that grants shorter leases than the
// workers do. Its clock reads a second more than at the latest report of the first worker.
func lostSince(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, 1)
	h.s.cfg.MaxTaskLease, h.s.cfg.CallDelay = longestTestLease, testCallDelay
	h.addWorker("w1", nil)
	h.s.AddJob(testJob("job", testStep(1)), nil, false)
	h.wantStarts(h.run(), 1)
	h.addWorker("w2", nil)
	h.advanceClock(time.Second)
	return h
}

// Guards against a bound that counts from the failure of a poll or uses the longest lease that a worker grants, so that services wait for
// longer than the platform allows, and against one that ends before the lease. A failure without a later lease does not move it.
func TestLeaseCountsFromWhenItWasGranted(t *testing.T) {
	h := lostSince(t)
	grant := Grant{At: h.now.Boot - 700*time.Millisecond, Lease: testLease}
	h.s.PollFailed(h.now, "w1", grant)
	h.advanceClock(2 * time.Second)
	h.report("w2")
	h.s.PollFailed(h.now, "w1", grant)
	h.wantStartAfter(grant.At+h.s.cfg.leaseBound()-h.now.Boot, "w2")
}

// Guards against a lease of a relay of a former version, or of one that grants longer leases, which counts as one of this owner's: the
// task would run twice.
func TestLeaseOfAnotherLengthCountsInFull(t *testing.T) {
	for name, c := range map[string]struct {
		granted Grant
		wait    time.Duration // from the failure of the poll
	}{
		"beginning and length not known": {Grant{}, expiry(longestTestLease)},
		"beginning not known":            {Grant{Lease: testLease}, expiry(longestTestLease)},
		"beginning in the future":        {Grant{At: 24 * time.Hour, Lease: testLease}, expiry(longestTestLease)},
		"length not known":               {Grant{At: time.Hour}, expiry(longestTestLease) - time.Second - 2*time.Millisecond},
		"longer":                         {Grant{At: time.Hour, Lease: 8 * time.Second}, expiry(8*time.Second) - time.Second - 2*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			h := lostSince(t)
			h.s.PollFailed(h.now, "w1", c.granted)
			h.wantStartAfter(c.wait, "w2")
		})
	}
}

// Guards against leases that the relay of a worker grants after the connection to it was lost, up to the end of its permission.
func TestLeaseOfALostRelayCountsFromItsPermission(t *testing.T) {
	for name, c := range map[string]struct {
		lease, wait time.Duration
	}{
		"of this version":   {testLease, expiry(testLease)},
		"of a former one":   {0, expiry(longestTestLease)},
		"of another length": {8 * time.Second, expiry(8 * time.Second)},
	} {
		t.Run(name, func(t *testing.T) {
			h := lostSince(t)
			permitted := h.now.Boot + 400*time.Millisecond
			h.s.PollerLost("w1", Grant{At: permitted, Lease: c.lease})
			h.s.PollFailed(h.now, "w1", Grant{}) // of the next relay, which has granted none
			h.wantStartAfter(permitted+c.wait-h.now.Boot, "w2")
		})
	}
}
