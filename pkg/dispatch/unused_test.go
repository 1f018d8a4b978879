package dispatch

import (
	"encoding/json"
	"fmt"
	"slices"
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

// manyWorkers is the number of workers in the tests of the bounds on lines and state.
const manyWorkers = 900

// unusedWorkers returns workers that have not been used since a time, for one reason.
func unusedWorkers(from, to int, reason schedule.WaitReason, since time.Duration) []schedule.UnusedWorker {
	var workers []schedule.UnusedWorker
	for n := from; n < to; n++ {
		info := schedule.WorkerInfo{ID: schedule.WorkerID(fmt.Sprintf("w%03d", n))}
		workers = append(workers, schedule.UnusedWorker{Info: info, Reason: reason, Since: since})
	}
	return workers
}

// useAs returns a function that returns one use for all workers.
func useAs(use schedule.Use) func(schedule.WorkerID) schedule.Use {
	return func(schedule.WorkerID) schedule.Use { return use }
}

// Guards against a log that 900 unused workers fill, against one in which the same workers are named again and again and others never,
// and against a rare reason that is not in it.
func TestUnusedLinesAreBoundedAndReachEachWorker(t *testing.T) {
	var l unusedLog
	now := time.Hour
	unused := append(unusedWorkers(0, manyWorkers-1, schedule.WaitUnreachable, now-time.Minute),
		unusedWorkers(manyWorkers-1, manyWorkers, schedule.WaitSlow, now-5*time.Second)...)
	lines := map[schedule.WorkerID]int{}
	for n := range (manyWorkers + maxUseLines - 1) / maxUseLines {
		chosen, again := l.choose(now, unused, useAs(schedule.NotUsed))
		if len(chosen) > maxUseLines || len(again) != 0 {
			t.Fatalf("%d and %d lines", len(chosen), len(again))
		}
		if n == 0 && chosen[1].Reason != schedule.WaitSlow {
			t.Errorf("the rare reason is not among the first lines: %v", chosen[1].Reason)
		}
		for _, w := range chosen {
			lines[w.Info.ID]++
		}
		now += statusInterval
	}
	// The first worker of each reason has a line each time that the latest one about its reason is 10 s old.
	if len(lines) < manyWorkers*9/10 {
		t.Errorf("%d of %d workers have a line", len(lines), manyWorkers)
	}
	if len(l.logged) > manyWorkers {
		t.Errorf("%d workers are remembered", len(l.logged))
	}
	l.choose(now, nil, useAs(schedule.NotSound))
	if len(l.logged) != 0 {
		t.Errorf("%d workers are remembered after all have left", len(l.logged))
	}
}

// Guards against a line for the same worker with each status, against a change of its reason that is not logged, and against a
// worker that is used again without a line, or with more than one.
func TestUnusedLineIsRepeatedRarely(t *testing.T) {
	var l unusedLog
	start := time.Hour
	check := func(after time.Duration, reason schedule.WaitReason, use schedule.Use, wantChosen, wantAgain int) {
		t.Helper()
		var unused []schedule.UnusedWorker
		if use == schedule.NotUsed {
			unused = unusedWorkers(0, 1, reason, start-5*time.Second)
		}
		chosen, again := l.choose(start+after, unused, useAs(use))
		if len(chosen) != wantChosen || len(again) != wantAgain {
			t.Errorf("%d and %d lines after %v, want %d and %d", len(chosen), len(again), after, wantChosen, wantAgain)
		}
		if len(again) == 1 && (again[0].Unused != after+5*time.Second || again[0].Reason != reason) {
			t.Errorf("used again after %v, because of %v", again[0].Unused, again[0].Reason)
		}
	}
	check(0, schedule.WaitUnreachable, schedule.NotUsed, 1, 0)
	check(2*time.Second, schedule.WaitUnreachable, schedule.NotUsed, 0, 0)
	check(4*time.Second, schedule.WaitLostRecently, schedule.NotUsed, 1, 0)
	check(13*time.Second, schedule.WaitLostRecently, schedule.NotUsed, 0, 0)
	check(14*time.Second, schedule.WaitLostRecently, schedule.NotUsed, 1, 0)
	check(16*time.Second, schedule.WaitLostRecently, schedule.Used, 0, 1)
	check(18*time.Second, schedule.WaitLostRecently, schedule.Used, 0, 0)
	check(20*time.Second, schedule.WaitUnreachable, schedule.NotUsed, 1, 0)
	check(22*time.Second, schedule.WaitUnreachable, schedule.NotSound, 0, 0)
}

// Scenario: 900 workers come back together while others are lost. Guards against more lines than the bound, against lost workers whose
// lines wait for those of the others, and against times without use that include the wait for the line.
func TestWorkersUsedAgainLeaveLinesForOthers(t *testing.T) {
	l := unusedLog{logged: map[schedule.WorkerID]unusedEntry{}}
	start := time.Hour
	for _, w := range unusedWorkers(0, manyWorkers, schedule.WaitUnreachable, start-time.Minute) {
		l.logged[w.Info.ID] = unusedEntry{reason: w.Reason, at: start, since: w.Since}
	}
	lost := unusedWorkers(manyWorkers, manyWorkers+20, schedule.WaitNotStored, start)
	use := func(id schedule.WorkerID) schedule.Use {
		if slices.ContainsFunc(lost, func(w schedule.UnusedWorker) bool { return w.Info.ID == id }) {
			return schedule.NotUsed
		}
		return schedule.Used
	}
	returned, named := 0, map[schedule.WorkerID]bool{}
	for n := range manyWorkers {
		chosen, again := l.choose(start+time.Duration(n)*statusInterval, lost, use)
		if len(chosen)+len(again) > maxUseLines {
			t.Fatalf("%d and %d lines", len(chosen), len(again))
		}
		for _, w := range chosen {
			named[w.Info.ID] = true
		}
		for _, w := range again {
			returned++
			if w.Unused != time.Minute {
				t.Fatalf("%s was not used for %v", w.Info.ID, w.Unused)
			}
		}
		if n == 4 && len(named) != len(lost) {
			t.Errorf("%d of %d lost workers have a line after 10 s", len(named), len(lost))
		}
	}
	if returned != manyWorkers || len(l.logged) != len(lost) {
		t.Errorf("%d lines about workers that are used again, %d workers are remembered", returned, len(l.logged))
	}
}

// decoded returns the fields of the log lines of an event.
func decoded(t *testing.T, text string, event eventlog.Code) []map[string]any {
	t.Helper()
	var found []map[string]any
	for line := range strings.Lines(text) {
		fields := map[string]any{}
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatalf("%v: %q", err, line)
		}
		if fmt.Sprint(fields["event"]) == fmt.Sprint(int(event)) {
			found = append(found, fields)
		}
	}
	return found
}

// checkFields checks fields of a log line; an empty string stands for a field that is missing.
func checkFields(t *testing.T, line map[string]any, want map[string]string) {
	t.Helper()
	for name, value := range want {
		got := ""
		if field, present := line[name]; present {
			got = fmt.Sprint(field)
		}
		if got != value {
			t.Errorf("%s is %q, want %q", name, got, value)
		}
	}
}

// ownerWithoutWorkers returns an owner that has not read a list, and the log that it writes.
func ownerWithoutWorkers(t *testing.T) (*Owner, *strings.Builder) {
	t.Helper()
	var text strings.Builder
	return NewOwner(Config{
		Host: "host", Store: kvtest.NewStore(), Relays: listedHosts{}, Log: eventlog.NewLogger(&text, log.InfoLevel, "host"),
		Scope: tally.NoopScope, TaskLease: time.Second,
	}, confirmedOwnership(t)), &text
}

// Scenario: a worker starts again under its ID at another address, and its relay polls the former one. Guards against lines from which
// this cannot be told from a worker that no relay polls or whose relay sends nothing: the line names the addresses of list, polls
// and reports, and the last failure.
func TestUnusedLineTellsWhereThePollsGo(t *testing.T) {
	o, text := ownerWithoutWorkers(t)
	l := &link{owner: o, host: RelayHost{Name: "relay-1"}, wake: make(chan struct{}, 1), reset: true}
	o.linkOf[testWorker] = l
	info := schedule.WorkerInfo{ID: testWorker, Datacentre: "dc", Address: "10.0.0.1:80", StartedMs: 1}
	list := func() {
		o.setWorkers([]schedule.WorkerInfo{info})
		o.scheduler.KnownWorkersStored([]schedule.WorkerInfo{info})
	}
	list()
	l.workers = map[schedule.WorkerID]assignment{testWorker: {wait: pollWait}}
	l.takeUpdate()
	now := bootclock.Uptime()
	first := reported(now, 0, 0)
	first.Reports[0].Report.Address = info.Address
	l.applyResults(now, now, first)
	info.Address, info.StartedMs = "10.0.0.2:80", 2
	list()
	refusal := "dial 10.0.0.1:80: connection refused" + strings.Repeat(".", 1000)
	l.applyResults(now, now, relay.Results{Now: now, Reports: []relay.WorkerReport{{Worker: testWorker, Failed: refusal}}})
	o.scheduler.Unused(bootclock.Now())
	logLater := func(after time.Duration) {
		later := bootclock.Now()
		later.Boot += after
		for _, line := range o.useLines(later, o.scheduler.Unused(later).Workers) {
			line.log(o.cfg.Log, 7, 300*time.Millisecond)
		}
	}
	logLater(2 * time.Second)
	if lines := decoded(t, text.String(), eventlog.WorkerNotUsed); len(lines) != 0 {
		t.Fatalf("%d lines after 2 s", len(lines))
	}
	logLater(4 * time.Second)
	lines := decoded(t, text.String(), eventlog.WorkerNotUsed)
	if len(lines) != 1 {
		t.Fatalf("%d lines after 4 s: %s", len(lines), text)
	}
	checkFields(t, lines[0], map[string]string{
		"worker": string(testWorker), "term": "7", "reason": "unreachable", "list_age": "300", "datacentre": "dc", "awaited": "false",
		"listed_start": "2", "reported_start": "1", "listed_address": "10.0.0.2:80", "reported_address": "10.0.0.1:80",
		"assigned_address": "10.0.0.1:80", "relay": "relay-1", "failure": eventlog.Truncate(refusal), "replaced_by": "",
	})
	for _, field := range []string{"unused", "answered", "failed"} {
		if value, _ := lines[0][field].(float64); value < 4000 || value > 6000 {
			t.Errorf("%s is %v, want 4000 and the time that the test takes", field, lines[0][field])
		}
	}
	o.setWorkers(nil)
	o.scheduler.Expire(schedule.Time{Boot: now + time.Hour}, true, func(schedule.WorkerID) time.Duration { return now + time.Hour })
	logLater(time.Hour)
	if len(o.polls) != 0 || len(o.unusedLog.logged) != 0 {
		t.Errorf("%d polls and %d lines of a worker that has left are remembered", len(o.polls), len(o.unusedLog.logged))
	}
}

// Guards against lines that show a worker which has never answered, and which no relay polls, as polled or as answering: missing
// times and addresses are left out.
func TestUnusedLineOfAWorkerWithoutARelay(t *testing.T) {
	o, _, text := measuredOwner(t)
	delete(o.linkOf, testWorker)
	later := bootclock.Now()
	later.Boot += time.Minute
	for _, line := range o.useLines(later, o.scheduler.Unused(later).Workers) {
		line.log(o.cfg.Log, 1, 0)
	}
	lines := decoded(t, text.String(), eventlog.WorkerNotUsed)
	if len(lines) != 1 {
		t.Fatalf("%d lines", len(lines))
	}
	checkFields(t, lines[0], map[string]string{
		"relay": "", "assigned_address": "", "reported_address": "", "reported_start": "0", "failure": "", "answered": "", "failed": "",
	})
}

// Guards against a worker that is used again without a line in the log, which would look as if it were still unused.
func TestUsedAgainIsLogged(t *testing.T) {
	o, l, text := measuredOwner(t)
	later := bootclock.Now()
	later.Boot += time.Minute
	o.useLines(later, o.scheduler.Unused(later).Workers)
	now := bootclock.Uptime()
	l.applyResults(now, now, reported(now, 0, 0))
	o.scheduler.KnownWorkersStored([]schedule.WorkerInfo{{ID: testWorker}})
	s := o.takeStatus()
	for _, line := range s.use {
		line.log(o.cfg.Log, 1, s.counts.ListAge)
	}
	lines := decoded(t, text.String(), eventlog.WorkerUsedAgain)
	if len(lines) != 1 {
		t.Fatalf("%d lines", len(lines))
	}
	checkFields(t, lines[0], map[string]string{"worker": string(testWorker), "reason": "unreachable"})
}

// Guards against an owner of 900 workers that all fail whose status has more lines than the bound, whose figures leave workers out, or
// whose gauges keep the last value.
func TestStatusCountsUnusedWorkersByReason(t *testing.T) {
	o, text := ownerWithoutWorkers(t)
	var infos []schedule.WorkerInfo
	for n := range manyWorkers {
		infos = append(infos, schedule.WorkerInfo{ID: schedule.WorkerID(fmt.Sprint("w", n)), Address: fmt.Sprint(n), Datacentre: "dc"})
	}
	o.setWorkers(infos)
	now := bootclock.Now()
	now.Boot += time.Minute
	for _, info := range infos {
		o.polls.failed(now.Boot, info.ID, "refused")
	}
	o.polls.failed(now.Boot, "left", "refused")
	s := o.takeStatus()
	s.unused = o.scheduler.Unused(now)
	s.use = o.useLines(now, s.unused.Workers)
	s.log(o.cfg.Log, 1)
	if len(s.use) != maxUseLines || len(o.polls) != manyWorkers || len(o.unusedLog.logged) != maxUseLines {
		t.Errorf("%d lines, %d polls and %d lines are remembered", len(s.use), len(o.polls), len(o.unusedLog.logged))
	}
	lines := decoded(t, text.String(), eventlog.PartitionStatus)
	checkFields(t, lines[0], map[string]string{"not_used": "900", "not_used_for": "unreachable=900"})
	if longest, _ := lines[0]["not_used_max"].(float64); longest < 60_000 || longest > 70_000 {
		t.Errorf("the longest time is %v", longest)
	}
	scope := tally.NewTestScope("", nil)
	m := newStatusMetrics(scope)
	m.publish(&s)
	if got := gauge(scope, "workers_not_used+reason=unreachable"); got != manyWorkers {
		t.Errorf("the gauge is %v", got)
	}
	if got := gauge(scope, "worker_not_used_max_seconds+"); got < 60 {
		t.Errorf("the gauge of the longest time is %v", got)
	}
	for _, r := range schedule.UnusedReasons() {
		if gauge(scope, "workers_not_used+reason="+r.String()) < 0 {
			t.Errorf("no gauge for %v", r)
		}
	}
	m.publish(&status{})
	if got := gauge(scope, "workers_not_used+reason=unreachable"); got != 0 {
		t.Errorf("the gauge of an owner that has ended is %v", got)
	}
}
