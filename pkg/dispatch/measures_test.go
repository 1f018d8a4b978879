package dispatch

import (
	"bytes"
	"encoding/json"
	"math"
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

// measuredOwner returns an owner of one worker with a link to its relay, and the log that it writes.
func measuredOwner(t *testing.T) (*Owner, *link, *bytes.Buffer) {
	t.Helper()
	var text bytes.Buffer
	o := NewOwner(Config{
		Host: "host", Store: kvtest.NewStore(), Relays: listedHosts{}, Log: eventlog.NewLogger(&text, log.InfoLevel, "host"),
		Scope: tally.NoopScope, TaskLease: time.Second,
	}, confirmedOwnership(t))
	o.setWorkers([]schedule.WorkerInfo{{ID: testWorker, Datacentre: "dc"}})
	l := &link{owner: o, wake: make(chan struct{}, 1), inFlight: map[orderKey]inFlight{}, workers: map[schedule.WorkerID]assignment{}}
	o.linkOf[testWorker] = l
	return o, l, &text
}

// reported returns results of a relay whose clock is offset, with a report that was polled and received before.
func reported(relayNow, polledBefore, receivedBefore time.Duration) relay.Results {
	return relay.Results{Now: relayNow, Uncollected: 7, Reports: []relay.WorkerReport{{Worker: testWorker, Report: schedule.Report{
		Incarnation: 1, SentAt: relayNow - polledBefore, ReceivedAt: relayNow - receivedBefore,
	}}}}
}

// checkAbout checks a measured duration that includes the time that the test itself takes.
func checkAbout(t *testing.T, what string, got, atLeast time.Duration) {
	t.Helper()
	if got < atLeast || got > atLeast+2*time.Second {
		t.Errorf("%s is %v, want %v and the time that the test takes", what, got, atLeast)
	}
}

// Guards against figures from which the place where a report waited cannot be told: at the worker, in the relay or at the
// owner. The clocks of relay and owner differ by hours.
func TestStatusTellsWhereReportsWait(t *testing.T) {
	o, l, _ := measuredOwner(t)
	now := bootclock.Uptime()
	l.applyResults(now-4*time.Second, now-3*time.Second, reported(now+9*time.Hour, 30*time.Second, 20*time.Second))
	s := o.takeStatus()
	checkAbout(t, "the age since the poll", s.reportAge.Max, 34*time.Second)
	checkAbout(t, "the age since the receipt", s.receivedAge.Max, 24*time.Second)
	checkAbout(t, "its 95th percentile", s.receivedAge.percentile(95), 24*time.Second)
	checkAbout(t, "the wait in the relay", s.relayWait.Max, 20*time.Second)
	checkAbout(t, "the wait at the owner", s.ownerWait.Max, 3*time.Second)
	if s.reportAge.Count != 1 || s.uncollected != 7 || s.lockWait.Count == 0 {
		t.Errorf("%d reports, %d uncollected, %d changes", s.reportAge.Count, s.uncollected, s.lockWait.Count)
	}
	if again := o.takeStatus(); again.reportAge.Count != 0 || again.relayWait.Max != 0 {
		t.Error("measurements of an interval are in the next one")
	}
}

// Guards against a relay of another version, which does not tell when it received reports, being taken for late.
func TestUnknownReceiptIsNoWait(t *testing.T) {
	o, l, _ := measuredOwner(t)
	now := bootclock.Uptime()
	results := reported(now, time.Second, 0)
	results.Reports[0].Report.ReceivedAt = 0
	l.applyResults(now, now, results)
	if s := o.takeStatus(); s.relayWait.Max != 0 || s.receivedAge.Max > time.Second {
		t.Errorf("wait in the relay %v, age %v", s.relayWait.Max, s.receivedAge.Max)
	}
}

// Guards against times from another host that take the owner down or distort the figures.
func TestImpossibleTimesAreHarmless(t *testing.T) {
	o, l, text := measuredOwner(t)
	for _, at := range []time.Duration{math.MinInt64, -1, 0, 1, math.MaxInt64} {
		for _, now := range []time.Duration{math.MinInt64, 0, math.MaxInt64} {
			l.applyResults(bootclock.Uptime(), bootclock.Uptime(), relay.Results{Now: now, Uncollected: math.MinInt,
				Reports: []relay.WorkerReport{{Worker: testWorker, Report: schedule.Report{SentAt: at, ReceivedAt: at}}}})
		}
	}
	s := o.takeStatus()
	s.log(o.cfg.Log, 1)
	if s.reportAge.Max > maxAge || s.relayWait.Max > maxAge || s.relayWait.Total < 0 {
		t.Errorf("age %v, wait in the relay %v of %v in all", s.reportAge.Max, s.relayWait.Max, s.relayWait.Total)
	}
	for line := range strings.Lines(text.String()) {
		if !json.Valid([]byte(line)) {
			t.Errorf("not a JSON object: %q", line)
		}
	}
}

// Guards against a percentile that is below the ages of the latest reports.
func TestPercentileOfAges(t *testing.T) {
	var a ages
	if a.percentile(95) != 0 {
		t.Error("percentile without ages")
	}
	for n := range 100 {
		a.add(time.Duration(n) * 10 * time.Millisecond)
	}
	if p := a.percentile(95); p < 940*time.Millisecond || p > 980*time.Millisecond {
		t.Errorf("95th percentile of 0 to 990 ms is %v", p)
	}
	if p := a.percentile(50); p < 490*time.Millisecond || p > 520*time.Millisecond {
		t.Errorf("median of 0 to 990 ms is %v", p)
	}
}

// Guards against an order whose wait before it was sent is not part of its age.
func TestStatusTellsWhereOrdersWait(t *testing.T) {
	o, l, _ := measuredOwner(t)
	now := bootclock.Uptime()
	order := schedule.Order{Kind: schedule.OrderStop, Worker: testWorker, Attempt: 1, DecidedAt: now - 5*time.Second}
	l.orders = []schedule.Order{order}
	l.takeUpdate()
	l.applyResults(now, now, relay.Results{Now: now, Outcomes: []relay.OrderOutcome{{Order: order, Took: 300 * time.Millisecond}}})
	s := o.takeStatus()
	checkAbout(t, "the wait before sending", s.orderQueue.Max, 5*time.Second)
	checkAbout(t, "the age at the outcome", s.orderAge.Max, 5*time.Second)
	if s.orderTook.Max != 300*time.Millisecond {
		t.Errorf("the relay took %v", s.orderTook.Max)
	}
}
