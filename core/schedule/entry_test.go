package schedule

import (
	"testing"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
)

// contradicted starts a worker that has the label ssd, and passes an entry of it to the scheduler that names another start and that
// change alters.
func contradicted(t *testing.T, change func(entry *WorkerInfo)) (h *harness, w *simWorker, entry WorkerInfo) {
	h = newHarness(t, 1)
	w = h.addWorker("w1", func(info *WorkerInfo) { info.StartedMs, info.Labels = 5000, []string{"ssd"} })
	entry = w.info
	entry.StartedMs = 7000
	change(&entry)
	h.s.SetWorkers(h.now, []WorkerInfo{entry})
	return h, w, entry
}

// play lets a worker answer for a time, each 100 ms, with a list that has one entry, and returns the starts and the time until the first.
func (h *harness) play(id WorkerID, entry WorkerInfo, length time.Duration) (started []Order, first time.Duration) {
	for end, begin := h.now.Boot+length, h.now.Boot; h.now.Boot < end; {
		h.advanceClock(100 * time.Millisecond)
		h.s.SetWorkers(h.now, []WorkerInfo{entry})
		h.report(id)
		if orders := starts(h.run()); len(orders) > 0 {
			if len(started) == 0 {
				first = h.now.Boot - begin
			}
			started = append(started, orders...)
		}
	}
	return started, first
}

// labelled returns a job of one task that needs the label ssd.
func labelled() workload.Step {
	step := testStep(1)
	step.Label = "ssd"
	return step
}

// Scenario: another writer rewrites the entry of a worker all the time, with another start, without its label, in another pool or data
// centre. Guards against a worker that is listed, answers and gets no task for as long as that lasts.
func TestEntryOfAnotherStartDoesNotKeepAWorkerIdle(t *testing.T) {
	for name, change := range map[string]func(*WorkerInfo){
		"start only":   func(*WorkerInfo) {},
		"lower start":  func(entry *WorkerInfo) { entry.StartedMs = 3 },
		"kind":         func(entry *WorkerInfo) { entry.Labels = []string{"hdd"} },
		"pool":         func(entry *WorkerInfo) { entry.Pool = "other" },
		"data centre":  func(entry *WorkerInfo) { entry.Datacentre = "evacuated" },
		"address":      func(entry *WorkerInfo) { entry.Address = "elsewhere" },
		"more to give": func(entry *WorkerInfo) { entry.Capacity.MilliCPU *= 2 },
	} {
		t.Run(name, func(t *testing.T) {
			h, _, entry := contradicted(t, change)
			h.s.SetEvacuated([]structs.DatacentreID{"evacuated"})
			h.s.AddJob(testJob("job", labelled()), nil, false)
			h.wantStarts(h.run(), 0) // no poll has been sent since the entry was read
			started, first := h.play("w1", entry, 10*time.Second)
			if len(started) == 0 || first > time.Second {
				t.Errorf("%d starts, the first after %v, want one within a second", len(started), first)
			}
		})
	}
}

// Guards against a task on a worker that drains, or beyond a capacity that has shrunk, because the entry that says so names another
// start: what may change while a process runs is taken from either entry.
func TestEntryOfAnotherStartMayAllowLess(t *testing.T) {
	for name, change := range map[string]func(*WorkerInfo){
		"draining": func(entry *WorkerInfo) { entry.Draining, entry.Remaining = true, time.Minute },
		"shrunk":   func(entry *WorkerInfo) { entry.Capacity.MilliCPU = 500 },
	} {
		t.Run(name, func(t *testing.T) {
			h, _, entry := contradicted(t, change)
			h.s.AddJob(testJob("job", labelled()), nil, false)
			if started, _ := h.play("w1", entry, 20*time.Second); len(started) > 0 {
				t.Errorf("starts %s", describe(started))
			}
		})
	}
}

// Guards against more tasks than the worker's own entry has room for, where another writer's entry states more; and against starts in a
// pool that does not guard its capacity once the own entry is too old to tell how much there is.
func TestEntryOfAnotherStartGivesNoRoom(t *testing.T) {
	for name, guarded := range map[string]bool{"guarded": true, "not guarded": false} {
		t.Run(name, func(t *testing.T) {
			h, w, entry := contradicted(t, func(entry *WorkerInfo) { entry.Capacity.MilliCPU *= 2 })
			h.advanceClock(maxCapacityAge)
			step := testStep(32)
			step.Size.MilliCPU = 1000
			job := testJob("job", step)
			job.Queue.CapacityGuarded = guarded
			h.s.AddJob(job, nil, false)
			want := 0
			if guarded {
				want = 16
			}
			if started, _ := h.play("w1", entry, 2*time.Second); len(started) != want {
				t.Errorf("%d starts, want %d", len(started), want)
			}
			if len(w.running) != want {
				t.Errorf("%d tasks run, want %d", len(w.running), want)
			}
		})
	}
}

// Scenario: the worker starts again under its ID as another kind. Guards against a task that starts on the next process because of the
// entry of the former one: while only that is listed, while both are in turns, and while another writer's entry is.
func TestOwnEntryOfAFormerProcessIsNotUsed(t *testing.T) {
	for name, listed := range map[string]int64{"former entry": 5000, "another writer's": 6000} {
		t.Run(name, func(t *testing.T) {
			h, w, entry := contradicted(t, func(entry *WorkerInfo) { entry.StartedMs = listed })
			h.play("w1", entry, 5*time.Second)
			w.incarnation, w.running = 9000, nil
			h.s.AddJob(testJob("job", labelled()), nil, false)
			if started, _ := h.play("w1", entry, 20*time.Second); len(started) > 0 {
				t.Errorf("starts %s", describe(started))
			}
			entry.StartedMs, entry.Labels = 9000, []string{"hdd"}
			h.play("w1", entry, time.Second)
			entry.StartedMs, entry.Labels = listed, []string{"ssd"}
			if started, _ := h.play("w1", entry, 20*time.Second); len(started) > 0 {
				t.Errorf("starts %s beside the worker's own entry without the label", describe(started))
			}
		})
	}
}

// Scenario: an entry with another start appears when a worker falls silent, which runs a task and answers again 4 s later. Guards against
// taking the entry for a sign that the worker has started again: its task would start elsewhere while it runs.
func TestTaskOfASilentWorkerWithAnEntryOfAnotherStartGoesOn(t *testing.T) {
	h, _, entry := contradicted(t, func(*WorkerInfo) {})
	other := h.workers["w1"].info
	other.ID, other.Address = "w2", "w2"
	h.workers["w2"] = &simWorker{info: other, incarnation: other.StartedMs, stopped: map[attemptKey]bool{}}
	h.s.AddJob(testJob("job", labelled()), nil, false)
	if started, _ := h.play("w1", entry, time.Second); len(started) != 1 {
		t.Fatalf("%d starts, want 1", len(started))
	}
	for n := range 80 {
		h.advanceClock(100 * time.Millisecond)
		h.s.SetWorkers(h.now, []WorkerInfo{entry, other})
		h.report("w2")
		if n < 40 {
			h.s.PollFailed(h.now, "w1", Grant{})
		} else {
			h.workers["w1"].running[0].Percent = float64(n)
			h.report("w1")
		}
		h.wantStarts(h.run(), 0)
	}
	if n := len(h.s.workers["w1"].attempts); n != 1 {
		t.Errorf("%d attempts on the worker that was silent, want 1", n)
	}
}
