package schedule

import (
	"slices"

	"fulmarcourse.example/core/workload"
)

// recordSilence records that a worker does not answer. A later owner then counts a crash that this owner does not notice for
// the attempts that the worker has just accepted.
func (s *Scheduler) recordSilence(now Time, w *worker) {
	for _, a := range w.attemptList {
		t := a.task
		if !a.certainlyRan() || a.listedFor() >= briefRun || slices.ContainsFunc(t.silentOn, isWorker(w.info.ID)) {
			continue
		}
		silence := workload.Silence{Worker: string(w.info.ID), StartedMs: w.process().StartedMs,
			SinceMs: now.unixMsAt(max(w.reportedAt, a.confirmedAt))}
		if !a.mayHaveStopped() {
			silence.Broken, silence.AskedMs = s.brokeAlone(w), now.unixMsAt(w.polledAt)
			silence.MayHaveEnded = silence.Broken && a.mayEndUnobserved()
		}
		t.silentOn = append(t.silentOn, silence)
		s.silentOn[w.info.ID] = append(s.silentOn[w.info.ID], t)
		s.markRecordDirty(t)
	}
}

// forgetSilent drops what is kept about the tasks of a worker in case it has crashed.
func (s *Scheduler) forgetSilent(w *worker) {
	w.expired = nil
	for _, t := range s.silentOn[w.info.ID] {
		t.silentOn = slices.DeleteFunc(t.silentOn, isWorker(w.info.ID))
		t.storedSilentOn = 0 // until the shorter list is stored
		s.markRecordDirty(t)
	}
	delete(s.silentOn, w.info.ID)
}

// silenceOf returns what is on record about a silent worker on which the task was.
func (t *task) silenceOf(id WorkerID) *workload.Silence {
	return &t.silentOn[slices.IndexFunc(t.silentOn, isWorker(id))]
}

func isWorker(id WorkerID) func(workload.Silence) bool {
	return func(s workload.Silence) bool { return s.Worker == string(id) }
}

// mayBeCopied reports whether the record of a task allows a second attempt beside one on a silent worker: no worker has
// crashed under it, and a later owner will know of the silent one.
func (t *task) mayBeCopied() bool { return !t.suspect() && len(t.silentOn) <= t.storedSilentOn }

// mayBeCrashing reports whether the crashes on record, and those of silent workers that a former owner has recorded, may
// suffice to give a task up.
func (s *Scheduler) mayBeCrashing(t *task) bool {
	unresolved := 0
	for _, silence := range t.silentOn {
		if s.awaitingReport[WorkerID(silence.Worker)] {
			unresolved++
		}
	}
	return unresolved > 0 && unresolved+t.briefUnexplained() >= briefCrashLimit
}
