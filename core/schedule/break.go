package schedule

import (
	"slices"
	"time"
)

// Whether a task still ran when the process of its worker ended is known only if the process ended right after the worker's last answer.
// The connection to the worker that broke then shows that. A next process that started soon after does not: if it is known first, the owner
// may lack answers of the former one or signs of its silence, which its relay still holds or has lost. Only one that had started when the
// last answered poll was sent leaves no time between. A worker that does not answer in time may be cut off, complete its tasks behind the
// cut, and crash there later. Connections that break to many workers at the same time have a cause that they share, for instance a network
// that resets them; that says nothing about their processes, and no task is the cause. Workers on which a task has just been started do not
// count among them: an owner that takes over may start many tasks at the same time that each crash their worker.
const (
	// MaxUnobserved is the time after the last answer of a worker up to which the end of its process is certain to have ended what
	// ran there. It allows for a poll that the worker holds open, see OnProbation, and is shorter than most tasks.
	MaxUnobserved = 500 * time.Millisecond
	// breakWindow is the greatest distance between breaks that count as simultaneous. Relays report breaks within milliseconds.
	breakWindow = 100 * time.Millisecond
	// breakAfterStart is the time after a start up to which the started task may be the cause of a break.
	breakAfterStart = 200 * time.Millisecond
	// commonBreaks and commonBreaksShare are the number of workers, and the inverse of the share of all workers, whose connections
	// have to break at the same time to have a common cause. A few may crash at the same time by chance.
	commonBreaks      = 4
	commonBreaksShare = 20
	// breakRetention is how long breaks are remembered. It covers the time until a crash is noticed.
	breakRetention = 2 * vanishedRetention
	// minEstimateShare is the least share of the caller's estimate that a task is assumed to take. Estimates are rough.
	minEstimateShare = 0.5
	// reportDelay is how much later than a break a report is usually applied at most: relays return reports without ends in batches
	// of 50 ms, and breaks and outcomes of orders at once.
	reportDelay = 60 * time.Millisecond
)

// silence is what is known about a worker since its last report.
type silence uint8

const (
	answering silence = iota // no poll has failed
	broken                   // the first sign of failure was a connection that broke soon after an answer
	unclear                  // no answer, for whatever cause
)

// connectionBreak is a connection to a worker that has broken soon after an answer.
type connectionBreak struct {
	at         time.Duration
	afterStart bool // a task had just been started on the worker
}

// becomeUnclear records that a worker does not answer, or that answers of it may be lost. What was known before holds.
func (w *worker) becomeUnclear() {
	if w.silence == answering {
		w.silence = unclear
	}
}

// ConnectionBroken records, before PollFailed, that the connection to a worker has broken within MaxUnobserved after an answer, which
// was the last one.
func (s *Scheduler) ConnectionBroken(now Time, id WorkerID) {
	w, known := s.workers[id]
	if !known || w.silence != answering {
		return
	}
	w.silence, w.brokenAt = broken, now.Boot
	s.recordGap(now.Boot, w)
	s.breaks = slices.DeleteFunc(s.breaks, func(b connectionBreak) bool { return now.Boot-b.at > breakRetention })
	s.breaks = append(s.breaks, connectionBreak{now.Boot, w.startedSince(now.Boot - breakAfterStart)})
	s.reviseSilences()
}

// startedSince reports whether the worker runs an attempt that was ordered or confirmed at a time or later.
func (w *worker) startedSince(since time.Duration) bool {
	return slices.ContainsFunc(w.attemptList, func(a *attempt) bool { return max(a.orderedAt, a.confirmedAt) >= since })
}

// brokeAlone reports whether the connection to a worker has broken soon after its last answer, and not together with many others.
func (s *Scheduler) brokeAlone(w *worker) bool {
	if w.silence != broken {
		return false
	}
	remembered, together := false, 0
	for _, b := range s.breaks {
		if (b.at - w.brokenAt).Abs() > breakWindow {
			continue
		}
		remembered = true
		if !b.afterStart {
			together++
		}
	}
	return remembered && together < max(commonBreaks, len(s.workers)/commonBreaksShare)
}

// reviseSilences corrects the records of silent workers whose connections turn out to have broken together with many others.
func (s *Scheduler) reviseSilences() {
	for id, tasks := range s.silentOn {
		w, known := s.workers[id]
		counts := slices.ContainsFunc(tasks, func(t *task) bool { return t.silenceOf(id).Broken })
		if !known || !counts || w.silence != broken || s.brokeAlone(w) {
			continue
		}
		for _, t := range tasks {
			t.silenceOf(id).Broken = false
			s.markRecordDirty(t)
		}
	}
}

// OnProbation reports whether a worker runs a task that is on probation and has not run for long. Such a worker is polled more often,
// so that a crash is noticed within MaxUnobserved.
func (s *Scheduler) OnProbation(id WorkerID) bool {
	w, known := s.workers[id]
	return known && w.onProbation()
}

// mayEndUnobserved reports whether an attempt may have been done when the connection to its worker broke: whether what was left of it, as far
// as that is known, takes no longer than the time since the worker's last answer. Services do not end.
func (a *attempt) mayEndUnobserved() bool {
	if a.task.step.spec.Service {
		return false
	}
	return a.shortestRest() <= a.worker.brokenAt-max(a.worker.reportedAt-reportDelay, a.confirmedAt)
}

// shortestRest returns the shortest time that an attempt may have taken to its end after it was last listed, by its progress and by the
// caller's estimate or, if they are shorter, the run times of other tasks of its step; 0 if its progress is not known.
func (a *attempt) shortestRest() time.Duration {
	if a.resumed && a.listedAt == 0 {
		return 0
	}
	total := minEstimateShare * float64(a.task.step.spec.EstimateMs) / 1000
	if fastest := a.task.step.fastest; fastest > 0 {
		total = min(total, fullShare/fastest)
	}
	return time.Duration(total * (fullShare - a.percent) / fullShare * float64(time.Second))
}
