package schedule

import (
	"maps"
	"time"

	"fulmarcourse.example/core/workload"
)

// Brief crashes that are uncertain do not tell a task that crashes its workers from one whose workers were cut off and crashed for reasons
// of their own. A further start does if its worker is watched: the task runs for briefRun, or its crash is noticed within MaxUnobserved and
// is certain. So a task with several such crashes waits for a worker that has answered without a gap and runs no other suspect, and not for a
// time of its own. While all workers answer, the wait is at most maxGapFree. While workers are cut off again and again, a further
// crash is uncertain only if the next cut hits the one worker soon after the start.
//
// A task that ends the processes of its workers without breaking their connections stays uncertain on watched workers too. All its crashes
// are lone: few other workers stop answering near that time, unless suspects ran there. After maxLoneCrashes of them it waits for loneBackOff.
// In a pool of one or two workers each crash is lone, also behind a cut. Such a crash counts half, so that a harmless task does not wait
// after the few that cuts in a row may cause, and the starts of one that crashes its workers stay bounded.
const (
	// watchedFrom is the number of uncertain brief crashes from which a task starts on workers without recent gaps only.
	watchedFrom = 2
	// gapFreePerCrash is for how long the worker has to have answered without a gap, for each such crash from watchedFrom on. It grows so
	// that starts do not fall into step with cuts that recur.
	gapFreePerCrash = time.Second
	// maxGapFree limits this time. With the polls before it, the write to the store and the start it stays below the 7 s without a
	// disturbance after which the platform demands that services run.
	maxGapFree = 3 * time.Second
	// watchWait is how long a task waits for such a worker after the second such crash. Where each has gaps all the time, it starts on any after
	// that. With the start it stays below the 14 s after the traffic within which jobs have to go on. It doubles with each further crash up to
	// maxWatchWait, since a crash on such a worker is often uncertain again.
	watchWait    = 10 * time.Second
	maxWatchWait = 4 * watchWait
	// loneWindow is the time before the beginning of a gap from which on gaps of other workers count as simultaneous. A cut of several
	// workers shows at all of them within two polls.
	loneWindow = 2 * time.Second
	// commonGaps is the number of other workers that have to have a gap at the same time for it to have a common cause, or, if that is more,
	// the share of all workers that commonBreaksShare states. One may miss a poll by chance.
	commonGaps = 2
	// maxLoneCrashes is the number of lone uncertain brief crashes after which a task waits for loneBackOff. The platform allows two starts
	// after the third crash.
	maxLoneCrashes = certainBriefCrashes + 2
	// loneWeight is the weight of a lone crash, if that without peers is 1.
	loneWeight  = 2
	loneBackOff = 2 * time.Minute
)

// gap is a time in which a worker does not answer, or in which answers of it may be lost.
type gap struct {
	at         time.Duration // when it began
	bySuspects bool          // a suspect ran on the worker, or a task had just been started there, which may have ended its process
}

// recordGap records that a worker has not answered a poll, or that answers of it may be lost.
func (s *Scheduler) recordGap(now time.Duration, w *worker) {
	if w.gapFreeSince == 0 {
		return
	}
	w.gapFreeSince = 0
	maps.DeleteFunc(s.gaps, func(_ WorkerID, g gap) bool { return now-g.at > breakRetention })
	s.gaps[w.info.ID] = gap{now, w.onProbation() || w.startedSince(now-breakAfterStart)}
}

// recordAnswered records that a worker has answered. It is called before reportedAt is set.
func (w *worker) recordAnswered(now time.Duration) {
	if w.gapFreeSince == 0 || !w.reachable(now) {
		w.gapFreeSince = now
	}
}

// gapFree reports whether a worker that is reachable has answered without a gap for a time.
func (w *worker) gapFree(now, d time.Duration) bool {
	return w.silence == answering && w.gapFreeSince > 0 && now-w.gapFreeSince >= d
}

// crashesAlone reports whether a worker that has crashed under this owner has stopped answering, or has been replaced by its next process
// between two answers, while few others had a gap that suspects need not have caused.
func (s *Scheduler) crashesAlone(w *worker) bool {
	began := w.reportedAt
	if g, known := s.gaps[w.info.ID]; known && w.silence != answering {
		began = g.at
	}
	if began == 0 {
		return false // a former owner may have seen the gaps
	}
	others := 0
	for id, other := range s.gaps {
		if id != w.info.ID && other.at >= began-loneWindow && !other.bySuspects {
			others++
		}
	}
	return others < max(commonGaps, len(s.workers)/commonBreaksShare)
}

func isUncertainBrief(c workload.Crash) bool { return isBrief(c) && isUnexplained(c) && c.Uncertain }

// hasPeers reports whether enough other workers have reported for a gap to show at them, if it has a common cause.
func (s *Scheduler) hasPeers(w *worker) bool {
	peers := 0
	for _, other := range s.workers {
		if other.reportedAt > 0 && other.place() != w.place() {
			peers++
		}
	}
	return peers >= commonGaps
}

func isLone(c workload.Crash) bool { return isUncertainBrief(c) && c.Lone }

func isLoneWithoutPeers(c workload.Crash) bool { return isLone(c) && c.NoPeers }

// tooManyLone reports whether a task has as many lone crashes on record as make it wait for loneBackOff.
func (t *task) tooManyLone() bool {
	weight := loneWeight*t.countCrashes(isLone) - (loneWeight-1)*t.countCrashes(isLoneWithoutPeers)
	return weight >= loneWeight*maxLoneCrashes
}

// requiredGapFree returns for how long a worker has to have answered without a gap before the task starts there; 0 if it may start on any.
func (t *task) requiredGapFree(now time.Duration) time.Duration {
	further := t.countCrashes(isUncertainBrief) - watchedFrom
	if further < 0 || now-max(t.probationSince(), t.endedAt) >= min(watchWait<<min(further, 8), maxWatchWait) {
		return 0
	}
	return min(time.Duration(further+1)*gapFreePerCrash, maxGapFree)
}

// hasRecentGap reports whether a worker has answered without a gap for too short a time for a task to start there.
func (w *worker) hasRecentGap(now time.Duration, t *task) bool {
	required := t.requiredGapFree(now)
	return required > 0 && !w.gapFree(now, required)
}

// inBackOff reports whether a task waits because it may have crashed many workers none of which could be observed.
func (t *task) inBackOff(now time.Duration) bool {
	return t.tooManyLone() && now < t.crashedAt+loneBackOff
}
