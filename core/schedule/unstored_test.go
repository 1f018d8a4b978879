package schedule

import (
	"testing"

	"fulmarcourse.example/core/workload"
)

// restart ends the process of a worker with all that it runs. The next one has the same ID.
func (h *harness) restart(id WorkerID) {
	w := h.workers[id]
	w.incarnation++
	w.info.StartedMs = w.incarnation
	w.running, w.ended, w.ends = nil, nil, 0
}

// Guards against a crash that no owner counts: its owner stores the list of known workers without the crashed one, or with
// its next process, and is replaced before the record of the crash is stored. The next owner then finds no crashed worker.
func TestCrashedWorkerStaysKnownUntilTheCrashIsStored(t *testing.T) {
	for _, sameID := range []bool{false, true} {
		h := newStartedHarness(t, 8)
		job := testJob("crashing", testStep(1))
		task := taskID("crashing", 0, 0)
		h.s.AddJob(job, nil, false)
		for term := int64(2); term <= 1+briefCrashLimit; term++ {
			orders := starts(h.run())
			h.wantStarts(orders, 1)
			h.silence(task)
			h.store()
			stored := h.s.jobs[job.ID].progress()
			if sameID {
				h.restart(orders[0].Worker)
			} else {
				h.crash(task)
			}
			h.listWorkers()
			known, _ := h.s.KnownWorkers()
			h.newTerm(term)
			h.s.InheritWorkers(h.now, known)
			h.s.AddJob(job, &stored, true)
			h.listWorkers()
			h.settleWithoutStarts()
		}
		h.store()
		if got, _ := h.s.JobState(job.ID); got != workload.StateFailed {
			t.Errorf("same ID %t: the job is %q with %d crashes on record", sameID, got, len(h.s.task(task).crashes))
		}
	}
}

// Guards against workers that stay in the list of known ones for good: each owner would wait for their report.
func TestCrashedWorkerIsForgottenOnceTheCrashIsStored(t *testing.T) {
	h := newStartedHarness(t, 2)
	h.s.AddJob(testJob("crashing", testStep(1)), nil, false)
	orders := starts(h.run())
	h.wantStarts(orders, 1)
	h.silence(orders[0].Task)
	h.store()
	h.crash(orders[0].Task)
	h.store()
	known, changed := h.s.KnownWorkers()
	if !changed || len(known) != 2 {
		t.Fatalf("changed %t, %d known workers, want 2: %+v", changed, len(known), known)
	}
}

// Guards against a later owner that uses a worker which is leaving, because the store describes the process that crashed
// before it.
func TestCrashedWorkerIsStoredAsLeaving(t *testing.T) {
	h := newStartedHarness(t, 1)
	h.s.AddJob(testJob("crashing", testStep(1)), nil, false)
	orders := starts(h.run())
	h.wantStarts(orders, 1)
	h.silence(orders[0].Task)
	h.store()
	h.restart("w0")
	h.listWorkers()
	h.workers["w0"].info.Draining = true
	h.listWorkers()
	known, _ := h.s.KnownWorkers()
	if len(known) != 1 || !known[0].Draining || known[0].StartedMs != 1 {
		t.Errorf("stored as %+v, want one draining worker with the process that crashed", known)
	}
}
