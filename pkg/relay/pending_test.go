package relay

import (
	"fmt"
	"testing"
	"time"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
)

// reportOf returns the report of a process of a worker, which lists the ends with the given numbers.
func reportOf(id schedule.WorkerID, incarnation int64, sentAt time.Duration, ends ...int64) WorkerReport {
	report := WorkerReport{Worker: id, Report: schedule.Report{Incarnation: incarnation, SentAt: sentAt}}
	for _, n := range ends {
		report.Report.Ended = append(report.Report.Ended, schedule.Ended{Number: n})
	}
	return report
}

func assertReports(t *testing.T, got, want []WorkerReport) {
	t.Helper()
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("collected %v\nwant      %v", got, want)
	}
}

// Guards against reports that wait behind older ones of the same worker: an owner that collects late would apply what
// workers reported seconds ago, and would fall further behind with each report.
func TestOwnerThatCollectsLateFindsOnlyNewestReports(t *testing.T) {
	const (
		workers = 75
		polls   = 40
	)
	r := startRelay(t, &fakeWorkers{})
	if err := r.Update(Update{Term: 1}); err != nil {
		t.Fatal(err)
	}
	r.mu.Lock()
	r.assigned = true
	r.mu.Unlock()
	for n := range polls {
		for w := range workers {
			r.addReport(1, reportOf(schedule.WorkerID(fmt.Sprint("w", w)), 1, time.Duration(n), int64(n)))
		}
	}
	results, err := r.Collect(t.Context(), 1, 0, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	if len(results.Reports) != workers {
		t.Errorf("%d reports of %d workers", len(results.Reports), workers)
	}
	for _, report := range results.Reports {
		if report.Report.SentAt != polls-1 {
			t.Fatalf("%s: the answer to poll %d is returned, not that to the last one", report.Worker, report.Report.SentAt)
		}
	}
}

// Guards against ends that are lost when a worker restarts before the owner has collected them: the new process does not
// list them.
func TestReportOfAFormerProcessIsKept(t *testing.T) {
	var p pendingReports
	old, replaced, current := reportOf("w", 1, 1, 57), reportOf("w", 2, 2), reportOf("w", 2, 3, 1)
	p.add(old)
	p.add(replaced)
	p.add(current)
	assertReports(t, p.take(10), []WorkerReport{old, current})
}

// Guards against a worker that counts as answering although its last poll failed, and the reverse.
func TestLastResultOfAWorkerDecides(t *testing.T) {
	var p pendingReports
	failed := WorkerReport{Worker: "w", Failed: "no answer"}
	first, second := reportOf("w", 1, 1, 5), reportOf("w", 1, 2, 5)
	p.add(first)
	p.add(failed)
	p.add(failed)
	assertReports(t, p.take(10), []WorkerReport{first, failed})
	p.add(first)
	p.add(failed)
	p.add(second)
	assertReports(t, p.take(10), []WorkerReport{second})
	p.add(second)
	p.add(first) // sent earlier, answered later
	assertReports(t, p.take(10), []WorkerReport{second})
}

// Guards against ends that wait behind reports without news, and against workers that are passed over for good, when one
// response does not hold all reports.
func TestUrgentReportsAreCollectedFirst(t *testing.T) {
	var p pendingReports
	quiet, quieter, ended := reportOf("quiet", 1, 1), reportOf("quieter", 1, 1), reportOf("ended", 1, 1, 1)
	p.add(quiet)
	p.add(quieter)
	p.add(ended)
	assertReports(t, p.take(2), []WorkerReport{ended, quiet})
	p.add(quiet)
	assertReports(t, p.take(1), []WorkerReport{quieter})
	assertReports(t, p.take(1), []WorkerReport{quiet})
	if !p.empty() {
		t.Error("reports are left")
	}
}

// Scenario: more workers report ends between two collections than one response holds. Guards against workers without ends
// whose reports are never collected: they would count as silent, and their services would be started elsewhere.
func TestWorkersWithoutEndsAreCollectedFromBesideManyWithEnds(t *testing.T) {
	const withEnds = 2 * maxReports
	var p pendingReports
	addEnds := func(poll int) {
		for n := range withEnds {
			p.add(reportOf(schedule.WorkerID(fmt.Sprint("ended", n)), 1, time.Duration(poll), int64(poll)))
		}
	}
	addEnds(1)
	p.add(reportOf("quiet", 1, 1))
	// Each response advances the queue by the share of the longest waiting at least.
	const responses = withEnds/(maxReports/longestWaitingShare) + 1
	for n := range responses {
		taken := p.take(maxReports)
		if len(taken) != maxReports {
			t.Fatalf("%d reports in a response, want %d", len(taken), maxReports)
		}
		addEnds(n + 2)
		if !p.has("quiet") {
			return
		}
	}
	t.Errorf("the report of the worker without ends is left after %d responses", responses)
}

// Scenario: the owner neither collects reports nor stores ends for a second, because it lacks processor time or its store is
// slow. Guards against polls that become more frequent meanwhile: their reports would slow the owner down further.
func TestUnacknowledgedEndsAreNotPolledMoreOften(t *testing.T) {
	const wait = 400 * time.Millisecond
	f := &fakeWorkers{reply: func(n int, _ PollRequest) (PollReply, error) {
		return PollReply{ClockMs: int64(n), Report: schedule.Report{Incarnation: 1, Ended: []schedule.Ended{{Number: 1}}}}, nil
	}}
	r := startRelay(t, f)
	update := assign(1, bootclock.Uptime()+time.Hour)
	update.Assign[0].Wait = wait
	if err := r.Update(update); err != nil {
		t.Fatal(err)
	}
	r.mu.Lock()
	r.lastCall += time.Hour // the relay must not stop for want of calls on a machine that plays the test slowly
	r.mu.Unlock()
	f.waitForPoll(t, 2) // it extends the leases for the first time, and follows the first answer at once
	began := time.Now()
	f.waitForPoll(t, 5)
	if elapsed := time.Since(began); elapsed < 2*wait { // the first wait began before its poll was seen
		t.Errorf("three polls within %v while nothing is collected; the worker is polled every %v otherwise", elapsed, wait)
	}
}
