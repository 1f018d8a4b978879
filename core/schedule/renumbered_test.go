package schedule

import (
	"testing"
	"time"
)

// repeatedStart makes the process of a worker end and the next one state the same start, as after the clock of its machine was set back.
// The next one runs nothing and numbers its ends anew.
func (h *harness) repeatedStart(id WorkerID) {
	w := h.workers[id]
	w.running, w.ended, w.ends = nil, nil, 0
	clear(w.stopped)
}

// threeEndsHarness returns an owner that has applied and stored three ends of worker w1, which have completed the job named first.
func threeEndsHarness(t *testing.T) *harness {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	h.s.AddJob(testJob("first", testStep(3)), nil, false)
	h.wantStarts(h.run(), 3)
	for n := range 3 {
		h.end(taskID("first", 0, n), EndDone)
	}
	h.reportAll()
	h.store()
	return h
}

// Scenario: a worker ends three tasks, starts again with the start of its former process and ends two more. Guards against ignoring the
// new ends because their numbers are not above the former ones: their tasks would start again after they are done.
func TestEndsOfAProcessWithTheStartOfTheFormerOneAreApplied(t *testing.T) {
	h := threeEndsHarness(t)
	h.wantState("first", "completed")
	h.repeatedStart("w1")
	h.advanceClock(time.Second)
	h.reportAll()
	h.s.AddJob(testJob("second", testStep(2)), nil, false)
	h.wantStarts(h.run(), 2)
	h.reportAll()
	h.end(taskID("second", 0, 0), EndDone)
	h.end(taskID("second", 0, 1), EndDone)
	h.advanceClock(time.Second)
	h.reportAll()
	h.wantStarts(h.run(), 0)
	h.store()
	h.wantState("second", "completed")
	if last := h.s.workers["w1"].lastEnd; last != 2 {
		t.Errorf("the latest end is %d, want 2", last)
	}
}

// Guards against taking a process for another one because it lists ends again that are not acknowledged, lists no ends once they are, or
// lists more of them than one report holds: ends that were applied would count again.
func TestEndsThatAreListedAgainAreOfTheSameProcess(t *testing.T) {
	first, second := Ended{Number: 1, Attempt: 1}, Ended{Number: 2, Attempt: 2}
	third := Ended{Number: 3, Attempt: 3}
	many := make([]Ended, maxEndedPerReport)
	for n := range many {
		many[n] = Ended{Number: int64(n + 1), Attempt: int64(n + 1)}
	}
	rest := Ended{Number: maxEndedPerReport - 1, Attempt: maxEndedPerReport - 1}
	for name, reports := range map[string][][]Ended{
		"listed again":         {{first, second}, {second, first}, {first, second, third}},
		"acknowledged":         {{first, second}, {second}, {}, {third}},
		"acknowledged in part": {{first, second, third}, {third}, {third}},
		"more than one report": {many, {rest}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.addWorker("w1", nil)
			h.s.TakeEvents()
			for _, ended := range reports {
				h.advanceClock(time.Second)
				h.s.Report(h.now, "w1", Report{Incarnation: 1, SentAt: h.now.Boot, Ended: ended})
			}
			if n := countEvents(h.s.TakeEvents(), EventWorkerRestarted); n != 0 {
				t.Errorf("the worker counts as restarted %d times", n)
			}
		})
	}
}

// Scenario: a worker whose ends are applied starts again with the start of its former process, and another host polls it from then on,
// which does not know that process. Guards against a number of the former process that counts for the next one: the next one would drop
// ends that nobody has read, and their tasks would start again after they are done.
func TestNumbersOfEndsCountAnewWithTheNextPoller(t *testing.T) {
	h := threeEndsHarness(t)
	h.s.PollerLost("w1", Grant{At: h.now.Boot})
	h.repeatedStart("w1")
	h.advanceClock(time.Second)
	h.reportAll()
	if last := h.s.workers["w1"].lastEnd; last != 0 {
		t.Errorf("the latest end is %d before the next poller has listed one", last)
	}
	h.s.AddJob(testJob("second", testStep(2)), nil, false)
	h.wantStarts(h.run(), 2)
	h.end(taskID("second", 0, 0), EndDone)
	h.end(taskID("second", 0, 1), EndDone)
	h.advanceClock(time.Second)
	h.reportAll()
	h.store()
	h.wantState("second", "completed")
}

// Guards against ends that count twice since the next poller of a process lists them again before they are acknowledged.
func TestEndsAreNotAppliedAgainForTheNextPoller(t *testing.T) {
	h := newHarness(t, 1)
	h.addWorker("w1", nil)
	h.startedService("service", 1)
	h.s.TakeEvents()
	h.fail(taskID("service", 0, 0))
	for range 3 {
		h.s.PollerLost("w1", Grant{At: h.now.Boot})
		h.advanceClock(time.Second)
		h.reportAll()
	}
	if n := countEvents(h.s.TakeEvents(), EventTaskEnded); n != 1 {
		t.Errorf("the end of the task was applied %d times", n)
	}
	if last := h.s.workers["w1"].lastEnd; last != 1 {
		t.Errorf("the latest end is %d, want 1", last)
	}
}
