package schedule

import (
	"slices"
	"testing"
	"time"
)

// Scenario: an entry of another writer names a pool that does not exist and the address of a worker. Guards against taking the
// worker for ended, whose tasks would start again elsewhere while they run. A later process of the same pool does replace it,
// also beside such an entry.
func TestEntryOfAnotherPoolReplacesNoWorker(t *testing.T) {
	h := newHarness(t, 1)
	h.addStarted("w1")
	h.addStarted("w2")
	h.s.AddJob(testJob("job", testStep(1)), nil, false)
	orders := starts(h.run())
	h.reportAll()
	running := h.workers[orders[0].Worker].info
	foreign := running
	foreign.ID, foreign.Pool = "foreign", "no such pool"
	foreign.StartedMs = running.StartedMs + 5000
	listed := []WorkerInfo{foreign}
	for _, w := range h.workers {
		listed = append(listed, w.info)
	}
	h.s.TakeEvents()
	h.s.SetWorkers(h.now, listed)
	if n := countEvents(h.s.TakeEvents(), EventWorkerReplaced); n != 0 {
		t.Errorf("%d workers replaced by an entry of another pool, want none", n)
	}
	for range 3 {
		h.wantStarts(h.run(), 0)
		h.reportAll()
	}
	next := running
	next.ID, next.StartedMs = "next", running.StartedMs+1000
	h.s.SetWorkers(h.now, append(listed, next))
	h.reportAs(next)
	if n := countEvents(h.s.TakeEvents(), EventWorkerReplaced); n != 1 {
		t.Errorf("%d workers replaced by a later process, want 1", n)
	}
}

// reportAs makes a worker that runs nothing report.
func (h *harness) reportAs(info WorkerInfo) {
	h.advanceClock(time.Millisecond)
	h.s.Report(h.now, info.ID, Report{Incarnation: info.StartedMs, Address: info.Address, SentAt: h.now.Boot})
}

// runningService starts a service of one task on one of three workers and returns that worker and all entries.
func runningService(t *testing.T) (h *harness, on WorkerInfo, listed []WorkerInfo) {
	h = newHarness(t, 1)
	for _, id := range []WorkerID{"w1", "w2", "w3"} {
		h.addStarted(id)
	}
	h.s.AddJob(testJob("job", testService(1)), nil, false)
	orders := starts(h.run())
	h.wantStarts(orders, 1)
	h.reportAll()
	for _, w := range h.workers {
		listed = append(listed, w.info)
	}
	h.s.TakeEvents()
	return h, h.workers[orders[0].Worker].info, listed
}

// Scenario: another writer copies the entry of a live worker under another key, with a start that is the same, later or far in the
// future. Guards against taking the worker for ended and starting its tasks elsewhere while they run: nothing but an answer of the
// later process at its address proves that. A real replacement beside the copy is noticed with its first report.
func TestCopiedEntryReplacesNoWorker(t *testing.T) {
	for name, later := range map[string]int64{"same start": 0, "later start": 5000, "far future": 1 << 47} {
		t.Run(name, func(t *testing.T) {
			h, on, listed := runningService(t)
			foreign := on
			foreign.ID, foreign.StartedMs = "foreign", on.StartedMs+later
			listed = append(listed, foreign)
			for range 300 { // 30 s
				h.advanceClock(100 * time.Millisecond)
				h.s.SetWorkers(h.now, listed)
				h.s.PollFailed(h.now, "foreign", Grant{})
				h.wantStarts(h.run(), 0)
				h.reportAll()
			}
			if ids := replacedWorkers(h.s.TakeEvents()); len(ids) != 0 {
				t.Errorf("%v replaced by an entry", ids)
			}
			next := on
			next.ID, next.StartedMs = "next", on.StartedMs+1000
			delete(h.workers, on.ID)
			h.workers[next.ID] = &simWorker{info: next, incarnation: next.StartedMs, stopped: map[attemptKey]bool{}}
			listed = append(listed, next)
			h.s.SetWorkers(h.now, listed)
			h.s.KnownWorkersStored(listed)
			h.reportAll()
			if ids := replacedWorkers(h.s.TakeEvents()); !slices.Contains(ids, on.ID) || slices.Contains(ids, next.ID) {
				t.Errorf("%v replaced by a real process at the address of %s", ids, on.ID)
			}
			h.s.SetWorkers(h.now, listed)
			h.reportAll()
			h.wantStarts(h.settle(), 1)
		})
	}
}

func replacedWorkers(events []Event) (ids []WorkerID) {
	for _, e := range events {
		if e.Kind == EventWorkerReplaced {
			ids = append(ids, e.Worker)
		}
	}
	return ids
}

// Scenario: another writer overwrites the entry of a live worker with the address of one that has started earlier, until the worker
// writes its entry again a second later. Guards against taking the earlier one for ended, also if reports of the other from its real
// address arrive after the change.
func TestWorkerListedAtTheAddressOfAnotherReplacesNone(t *testing.T) {
	h, on, listed := runningService(t)
	var other WorkerInfo
	for i := range listed {
		if listed[i].ID != on.ID {
			other = listed[i]
			listed[i].StartedMs += 5000
			h.workers[other.ID].incarnation += 5000
			break
		}
	}
	h.s.SetWorkers(h.now, listed)
	h.reportAll()
	h.s.TakeEvents()
	altered := make([]WorkerInfo, len(listed))
	for i, info := range listed {
		if info.ID == other.ID {
			info.Address = on.Address
		}
		altered[i] = info
	}
	for n := range 20 { // altered in the first of two seconds
		h.advanceClock(100 * time.Millisecond)
		if n < 10 {
			h.s.SetWorkers(h.now, altered)
		} else {
			h.s.SetWorkers(h.now, listed)
		}
		h.wantStarts(h.run(), 0)
		h.reportAll()
	}
	if n := countEvents(h.s.TakeEvents(), EventWorkerReplaced); n != 0 {
		t.Errorf("%d workers replaced", n)
	}
}
