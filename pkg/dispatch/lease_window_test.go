package dispatch

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
	"fulmarcourse.example/fulmarcourse/pkg/relay"
)

// Leases of the owner in these tests, and of its workers.
const (
	shortLease   = 2 * time.Second
	longestLease = 8 * time.Second
)

// grantingOwner returns an owner whose workers grant longer leases than it does, and a link whose relay has reported its worker, at a
// boot clock that is offset.
func grantingOwner(t *testing.T, offset, relayLease time.Duration) (*Owner, *link, *bytes.Buffer) {
	t.Helper()
	var text bytes.Buffer
	o := NewOwner(Config{
		Host: "host", Store: kvtest.NewStore(), Relays: listedHosts{}, Log: eventlog.NewLogger(&text, log.InfoLevel, "host"),
		Scope: tally.NoopScope, TaskLease: shortLease, MaxTaskLease: longestLease,
	}, confirmedOwnership(t))
	o.setWorkers([]schedule.WorkerInfo{{ID: testWorker, Datacentre: "dc"}})
	l := &link{owner: o, wake: make(chan struct{}, 1), inFlight: map[orderKey]inFlight{}, workers: map[schedule.WorkerID]assignment{testWorker: {}}}
	o.linkOf[testWorker] = l
	now := bootclock.Uptime()
	results := reported(now+offset, time.Millisecond, 0)
	results.TaskLease = relayLease
	l.applyResults(now, now, results)
	return o, l, &text
}

// leasesEnd returns when the leases of the worker have certainly expired.
func (o *Owner) leasesEnd() (time.Duration, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.scheduler.LeasesEnd(testWorker)
}

// Scenario: a poll fails 1.5 s after the relay has granted the latest lease; the results take 100 ms. Guards against leases that count as
// expired too early because the relay's clock is converted as if its results had taken no time, or because the relay is of a former version,
// which tells neither the time nor its lease; and against a wait that counts from the failure.
func TestFailedPollBoundsTheLeasesByTheLatestGrant(t *testing.T) {
	const offset, sinceGrant, took = time.Hour, 1500 * time.Millisecond, 100 * time.Millisecond
	for name, c := range map[string]struct{ relayLease, sentAt, wait time.Duration }{
		"this version":   {shortLease, -sinceGrant, time.Duration(1.03*float64(shortLease)) + 500*time.Millisecond - sinceGrant},
		"nothing yet":    {shortLease, 0, time.Duration(1.03*float64(shortLease)) + 500*time.Millisecond},
		"former version": {0, 0, time.Duration(1.03*float64(longestLease)) + 500*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			o, l, text := grantingOwner(t, offset, c.relayLease)
			if _, bounded := o.leasesEnd(); bounded {
				t.Fatal("the leases of a worker that answers are bounded")
			}
			arrived := bootclock.Uptime()
			failed := relay.WorkerReport{Worker: testWorker, Failed: "no answer"}
			relayNow := arrived + offset - took // as if the results were read when they were requested
			if c.sentAt != 0 {
				failed.Report.SentAt = relayNow + c.sentAt
			}
			l.applyResults(arrived-took, arrived, relay.Results{Now: relayNow, TaskLease: c.relayLease, Reports: []relay.WorkerReport{failed}})
			end, bounded := o.leasesEnd()
			if !bounded {
				t.Fatal("the leases are not bounded")
			}
			checkAbout(t, "the wait from the arrival", end-arrived, c.wait)
			if !strings.Contains(text.String(), `"expires_in":`) || strings.Contains(text.String(), `"granted":`) != (c.sentAt != 0) {
				t.Errorf("logged: %s", text.String())
			}
		})
	}
}

// Guards against permissions that outlast the window for which a later owner waits, however late the relay is told, and against leases of a
// lost relay that count from another time.
func TestPermissionEndsAfterTheGrantWindow(t *testing.T) {
	o, l, _ := grantingOwner(t, 0, shortLease)
	want := o.ownership.ConfirmedAt() + schedule.LeaseGrantWindow
	l.relayClock = l.relayClockReadAt
	for range 3 {
		if until := l.permitLeases(); until != want || l.lastGrant() != (schedule.Grant{At: want, Lease: shortLease}) {
			t.Errorf("permitted until %v, last grant %+v, want %v", until, l.lastGrant(), want)
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against what is stored about the leases of a known worker and lost on its way through the store: a later owner would wait too
// briefly, or for too long.
func TestLeasesOfKnownWorkersAreStored(t *testing.T) {
	info := schedule.WorkerInfo{ID: "w", Address: "10.0.0.1:80", GrantedLease: 6 * time.Second, FormerCalls: 20 * time.Second}
	data, err := json.Marshal(newKnownWorker(info))
	var read knownWorker
	if err != nil || json.Unmarshal(data, &read) != nil {
		t.Fatalf("stored as %s: %v", data, err)
	}
	if got := read.info(); got.GrantedLease != info.GrantedLease || got.FormerCalls != info.FormerCalls {
		t.Errorf("stored as %s, read as %+v", data, got)
	}
}

// Scenario: a relay of a former version polls a worker. Guards against a record that lets a later owner take its leases for as short as this
// owner's, and against a start on the worker before that is stored.
func TestWorkerOfAFormerRelayIsStoredWithoutALease(t *testing.T) {
	for _, relayLease := range []time.Duration{shortLease, 0} {
		o, l, _ := grantingOwner(t, 0, relayLease)
		o.mu.Lock()
		known, _ := o.scheduler.KnownWorkers()
		o.mu.Unlock()
		if len(known) != 1 || known[0].GrantedLease != relayLease {
			t.Errorf("relay with leases of %v: known workers %+v", l.taskLease, known)
		}
	}
}

// Scenario: a relay of a former version polls a worker that is stored with this owner's lease. Guards against a permission with which the
// relay extends leases before it withholds those of the worker, or a later owner knows that they may be longer.
func TestRelayOfAFormerVersionIsPermittedOnceItWithholds(t *testing.T) {
	for name, c := range map[string]struct {
		relayLease time.Duration
		change     func(o *Owner, l *link)
		permitted  bool
	}{
		"this version":         {shortLease, func(*Owner, *link) {}, true},
		"former version":       {0, func(*Owner, *link) {}, false},
		"it withholds":         {0, func(_ *Owner, l *link) { l.withheld.since[testWorker] = bootclock.Uptime() }, true},
		"it may not withhold":  {0, func(_ *Owner, l *link) { l.withheld.since[testWorker], l.withheld.observed = 1, false }, false},
		"the worker is stored": {0, func(o *Owner, _ *link) { o.storeKnownWorkers() }, true},
	} {
		t.Run(name, func(t *testing.T) {
			o, l, _ := grantingOwner(t, 0, c.relayLease)
			o.mu.Lock()
			defer o.mu.Unlock()
			l.withheld = newWithheldLeases()
			l.withheld.observed = true
			c.change(o, l)
			if got := l.permitLeases() > 0; got != c.permitted {
				t.Errorf("leases are permitted: %t, want %t", got, c.permitted)
			}
		})
	}
}

// storeKnownWorkers records that the known workers are stored as they are. o.mu is held.
func (o *Owner) storeKnownWorkers() {
	known, _ := o.scheduler.KnownWorkers()
	o.scheduler.KnownWorkersStored(known)
}

// Scenario: a worker that is stored with this owner's lease is assigned to a relay of a former version, which has answered. Guards against
// leases that the relay extends before its next results are applied.
func TestWorkerIsAssignedToARelayOfAFormerVersionWithoutLeases(t *testing.T) {
	o, ctx := fleetOwner(t, 1, 1, 1, 1000)
	l := o.links["host-00"]
	l.stop()
	o.linkWG.Wait() // the test takes the updates
	o.mu.Lock()
	o.unassign("w0", l)
	l.relayClockReadAt, l.taskLease = bootclock.Uptime(), 0
	o.assignWorkers(ctx)
	o.mu.Unlock()
	u, ok := l.takeUpdate()
	if !ok || len(u.Assign) != 1 || !u.Assign[0].WithholdLeases || u.LeaseUntil != 0 {
		t.Errorf("update %+v, want the worker without leases and without a permission", u)
	}
}
