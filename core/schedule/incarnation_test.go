package schedule

import (
	"slices"
	"testing"
	"time"
)

// Scenario: a process states the start of the former one, and its relay tells the two apart. Guards against an incarnation that is taken
// for a time: the worker's entry would count as that of another process, its start would be stored wrong for later owners, and it
// would replace all others at its address.
func TestProcessWithTheStartOfTheFormerOneIsUsed(t *testing.T) {
	h := newHarness(t, 1)
	w := h.addWorker("w1", func(info *WorkerInfo) { info.StartedMs = 5000 })
	h.s.AddJob(testJob("before", testStep(1)), nil, false)
	h.wantStarts(h.run(), 1)
	h.reportAll()
	h.repeatedStart("w1")
	w.incarnation = NextIncarnation(w.incarnation)
	h.s.TakeEvents()
	h.reportAll()
	events := h.s.TakeEvents()
	if n := countEvents(events, EventWorkerRestarted); n != 1 {
		t.Errorf("the worker counts as restarted %d times, want once", n)
	}
	if n := slices.IndexFunc(events, func(e Event) bool { return e.Kind == EventAttemptCrashed }); n < 0 || events[n].Reason != "uncertain" {
		t.Errorf("events %+v, want a crash that is uncertain: the start does not tell when the next process started", events)
	}
	if known, _ := h.s.KnownWorkers(); len(known) != 1 || known[0].StartedMs != 5000 {
		t.Errorf("known workers %+v, want the start 5000", known)
	}
	later := w.info
	later.ID, later.StartedMs = "later", 6000
	h.s.SetWorkers(h.now, []WorkerInfo{w.info, later})
	if h.s.workers["later"] == nil {
		t.Error("an entry with a later start at the address counts as that of a former process")
	}
	for n := 0; h.s.Use(h.now, "w1") != Used && n < 100; n++ { // 10 s, longer than a worker is avoided after a restart
		h.advanceClock(100 * time.Millisecond)
		h.report("w1")
	}
	if r := h.s.unusedReason(h.now.Boot, h.s.workers["w1"]); r != Suitable {
		t.Errorf("the worker is not used: %v", r)
	}
}

// Scenario: a worker whose process is told apart from its former ones is silent, and goes to a relay that polls it for the first time and
// so does not know of them. Guards against taking that for a restart: its tasks would count as crashed.
func TestRelayThatDoesNotKnowFormerProcessesShowsNoRestart(t *testing.T) {
	h := newHarness(t, 1)
	w := h.addWorker("w1", func(info *WorkerInfo) { info.StartedMs = 5000 })
	w.incarnation = NextIncarnation(5000)
	h.reportAll()
	h.s.AddJob(testJob("job", testStep(2)), nil, false)
	for n := 0; len(w.running) == 0 && n < 100; n++ { // until the worker is not avoided any more
		h.advanceClock(100 * time.Millisecond)
		h.reportAll()
		h.run()
	}
	h.end(taskID("job", 0, 0), EndDone)
	h.reportAll()
	h.s.TakeEvents()
	for range 50 { // 5 s
		h.advanceClock(100 * time.Millisecond)
		h.s.PollFailed(h.now, "w1", Grant{})
		h.wantStarts(h.run(), 0)
	}
	w.incarnation = 5000
	h.reportAll()
	h.wantStarts(h.run(), 0)
	events := h.s.TakeEvents()
	if n := countEvents(events, EventWorkerRestarted) + countEvents(events, EventAttemptCrashed); n != 0 {
		t.Errorf("%d restarts and crashes, want none", n)
	}
	if last := h.s.workers["w1"].lastEnd; last != 1 {
		t.Errorf("the latest end is %d, want 1", last)
	}
}
