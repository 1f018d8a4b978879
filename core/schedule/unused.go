package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// UnusedAfter is the time without use from which a worker that is listed as sound is reported. Restarts of a worker and short
// faults of the network are over sooner.
const UnusedAfter = 3 * time.Second

// UnusedWorkers is a summary of the workers that the platform's list names as sound and that this owner has not used for
// UnusedAfter or more. Sound are workers that do not drain and whose data centre is not evacuated. A worker is used while a task
// may start on it once it has the capacity, so a full worker is used.
type UnusedWorkers struct {
	ByReason WaitCounts
	Longest  time.Duration
	Workers  []UnusedWorker // the longest time first
}

// UnusedWorker is a worker that is listed as sound and not used.
type UnusedWorker struct {
	Info            WorkerInfo    // as listed
	Reason          WaitReason    // one of UnusedReasons
	Since           time.Duration // boot time of the latest start there, or at which it was first seen to be unused if that is later
	Unused          time.Duration
	ReportedStartMs int64         // start of the process that has reported last, to any owner, Unix milliseconds; 0 if none has
	ReportedAddress string        // where the worker has answered last, to any owner; empty if it has not
	SilentFor       time.Duration // since the latest report; NotReported before the first
	Awaited         bool          // a former owner may have used it, and it has not reported to this one or not listed all ends
	ReplacedBy      WorkerID      // the worker at its address; only with WaitReplaced
}

// NotReported is the time since the latest report of a worker that has not reported.
const NotReported time.Duration = -1

// UnusedReasons returns the reasons for which a worker that is listed as sound may be unused.
func UnusedReasons() []WaitReason {
	return []WaitReason{
		WaitUnreachable, WaitReplaced, WaitEntryOutdated, WaitEndsUnlisted, WaitNotStored, WaitUnhealthy, WaitRejections, WaitLostRecently, WaitFaulty, WaitSlow,
	}
}

// replacedEntry is an entry of the platform's list that is ignored because another worker has reported from its address.
type replacedEntry struct {
	info  WorkerInfo
	by    WorkerID
	since time.Duration // since when it has been ignored without a break
	at    time.Duration // when the latest list with it was read
}

// recordReplaced records that an entry of the list is ignored.
func (s *Scheduler) recordReplaced(now time.Duration, info WorkerInfo, by WorkerID) {
	since := now
	if before, known := s.replacedEntries[info.ID]; known {
		since = before.since
	}
	s.replacedEntries[info.ID] = replacedEntry{info, by, since, now}
}

// sound reports whether an entry of the list names a worker that should get tasks.
func (s *Scheduler) sound(info *WorkerInfo) bool {
	return !info.Draining && !s.evacuated[info.Datacentre]
}

// unusedReason returns why a worker that is listed as sound is not used, and Suitable for any other worker.
func (s *Scheduler) unusedReason(now time.Duration, w *worker) WaitReason {
	if !w.listed || !s.sound(&w.info) {
		return Suitable
	}
	if r := w.gone(now); r != Suitable {
		return r
	}
	if r := w.refuses(now); r != Suitable {
		return r
	}
	return w.avoided(now)
}

// sampleUse records which workers are not used. It changes no decision. What happens between two samples is seen by the attempts that
// were started and have not ended; the samples are at least as frequent as the readings of the list.
func (s *Scheduler) sampleUse(now time.Duration) {
	for _, w := range s.sortedWorkers {
		switch {
		case s.unusedReason(now, w) == Suitable:
			w.unusedSince = 0
		case w.unusedSince == 0:
			w.unusedSince = now
		default:
			w.unusedSince = max(w.unusedSince, w.latestStart())
		}
	}
	maps.DeleteFunc(s.replacedEntries, func(_ WorkerID, e replacedEntry) bool { return e.at != s.listReadAt })
}

// latestStart returns when the latest of the attempts on a worker was started; 0 if there is none.
func (w *worker) latestStart() (latest time.Duration) {
	for _, a := range w.attemptList {
		latest = max(latest, a.startedAt)
	}
	return latest
}

// Unused returns the workers that are listed as sound and not used.
func (s *Scheduler) Unused(now Time) UnusedWorkers {
	s.sampleUse(now.Boot)
	var u UnusedWorkers
	for _, w := range s.sortedWorkers {
		if w.unusedSince > 0 {
			u.add(now.Boot, s.describeUnused(now.Boot, w))
		}
	}
	for _, e := range s.replacedEntries {
		if s.sound(&e.info) {
			u.add(now.Boot, UnusedWorker{Info: e.info, Reason: WaitReplaced, Since: e.since, SilentFor: NotReported, ReplacedBy: e.by})
		}
	}
	slices.SortFunc(u.Workers, func(a, b UnusedWorker) int {
		return cmp.Or(cmp.Compare(a.Since, b.Since), cmp.Compare(a.Info.ID, b.Info.ID))
	})
	return u
}

func (s *Scheduler) describeUnused(now time.Duration, w *worker) UnusedWorker {
	u := UnusedWorker{
		Info: w.info, Reason: s.unusedReason(now, w), Since: w.unusedSince, ReportedStartMs: startOf(w.incarnation),
		ReportedAddress: w.answeredAddress, SilentFor: NotReported, Awaited: s.awaitingReport[w.info.ID],
	}
	if w.reportedAt > 0 {
		u.SilentFor = now - w.reportedAt
	}
	return u
}

// add adds a worker to the summary if it has been unused for long enough.
func (u *UnusedWorkers) add(now time.Duration, w UnusedWorker) {
	w.Unused = now - w.Since
	if w.Unused < UnusedAfter {
		return
	}
	u.ByReason[w.Reason]++
	u.Longest = max(u.Longest, w.Unused)
	u.Workers = append(u.Workers, w)
}

// Use is whether an owner uses a worker.
type Use uint8

// Uses of a worker.
const (
	NotSound Use = iota // the list does not name it as sound
	NotUsed             // it is listed as sound, and no task may start on it
	Used
)

// Use returns whether a worker is used. Unlike Unused, it counts a worker as unused from the start.
func (s *Scheduler) Use(now Time, id WorkerID) Use {
	w, known := s.workers[id]
	if e, replaced := s.replacedEntries[id]; replaced && s.sound(&e.info) {
		return NotUsed
	}
	switch {
	case !known || !w.listed || !s.sound(&w.info):
		return NotSound
	case s.unusedReason(now.Boot, w) != Suitable:
		return NotUsed
	}
	return Used
}
