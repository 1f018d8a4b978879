package schedule

import (
	"slices"
	"testing"
	"time"

	"fulmarcourse.example/core/workload"
)

// Guards against ended jobs that are deleted too early, so that their state is unknown to callers and a repeated submission runs again: the wall
// clock of the owner is set, or that of the next owner differs.
func TestRetentionOfEndedJobsDoesNotFollowWallClocks(t *testing.T) {
	const retention = 2 * time.Minute
	for name, step := range map[string]time.Duration{"ahead": 10 * time.Minute, "back": -10 * time.Minute} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.s.RestoreRetentionClock(h.now, 0)
			h.s.AddJob(testJob("job", testStep(1)), nil, false)
			h.s.Cancel(h.now, "job")
			h.store()
			wantKept := func(when string) {
				t.Helper()
				if ids := h.s.JobsEndedFor(h.now.Boot, retention); len(ids) > 0 {
					t.Errorf("%s: the job counts as ended for more than %v", when, retention)
				}
			}
			h.advanceClock(30 * time.Second)
			h.now.UnixMs += step.Milliseconds()
			wantKept("30 s after its end, under its owner")

			stored, ended := h.s.RetentionClock(h.now.Boot), h.s.jobs["job"].endedMs
			h.now.Boot += 3 * time.Hour // the next host was booted earlier
			h.newTerm(2)
			h.s.RestoreRetentionClock(h.now, stored)
			h.s.AddEndedJob("job", workload.Progress{State: workload.StateCancelled, EndedMs: ended})
			wantKept("under the next owner")
			h.advanceClock(retention - 31*time.Second)
			wantKept("just before the end of the retention")
			h.advanceClock(2 * time.Second)
			if ids := h.s.JobsEndedFor(h.now.Boot, retention); !slices.Contains(ids, "job") {
				t.Error("the job is kept for longer than the retention")
			}
		})
	}
}

// Guards against a job that is kept for as long as the wall clock of its owner was ahead: an owner of a former version has recorded its end.
func TestEndThatLiesAheadCountsFromTheTakeover(t *testing.T) {
	h := newHarness(t, 2)
	h.s.RestoreRetentionClock(h.now, 0)
	h.s.AddEndedJob("job", workload.Progress{State: workload.StateCompleted, EndedMs: h.now.UnixMs + time.Hour.Milliseconds()})
	h.advanceClock(2 * time.Minute)
	if ids := h.s.JobsEndedFor(h.now.Boot, time.Minute); len(ids) != 1 {
		t.Error("the job is kept for longer than the retention")
	}
}

// Scenario: a job is announced to an owner that has not loaded its partition yet, and is cancelled. Guards against its deletion as soon as the
// owner has loaded, as if it had ended long ago: its state would be unknown to callers (relayed soak 52310013).
func TestJobThatEndsBeforeTheClockIsRestoredIsKept(t *testing.T) {
	const retention = 2 * time.Minute
	h := newHarness(t, 2)
	h.s.AddJob(testJob("job", testStep(1)), nil, false)
	h.s.Cancel(h.now, "job")
	h.advanceClock(time.Second)
	h.s.RestoreRetentionClock(h.now, time.UnixMilli(0).AddDate(50, 0, 0).UnixMilli())
	h.store()
	h.advanceClock(retention - 2*time.Second)
	if ids := h.s.JobsEndedFor(h.now.Boot, retention); len(ids) > 0 {
		t.Error("the job counts as ended for longer than it has")
	}
	h.advanceClock(2 * time.Second)
	if ids := h.s.JobsEndedFor(h.now.Boot, retention); len(ids) != 1 {
		t.Error("the job is kept for longer than the retention")
	}
}
