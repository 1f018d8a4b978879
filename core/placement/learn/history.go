package learn

import (
	"cmp"
	"slices"
	"time"

	"fulmarcourse.example/core/structs"
)

// HistoryRetention is how long colocations are kept. Measurements of earlier times are dropped.
const HistoryRetention = 15 * time.Minute

// KindCount is the number of tasks of one kind on a worker.
type KindCount struct {
	Kind  structs.KindName
	Count int
}

// Exposure is the mean number of neighbours of one kind that a task had during a measurement.
type Exposure struct {
	Kind structs.KindName
	Mean float64
}

// colocation is the number of tasks by kind on a worker, from since until the next entry.
type colocation struct {
	since time.Time
	kinds []KindCount
}

// History records which kinds ran together on each worker and when, so that a measurement that arrives late is
// attributed to the colocation that was in effect when it was taken.
type History struct {
	workers map[structs.HostID][]colocation
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{workers: map[structs.HostID][]colocation{}} }

// Record adds an entry: worker runs kinds from time at on. Entries may be recorded out of order; an entry with the same
// time replaces the earlier one. The slice is retained, so the caller must not modify it.
func (h *History) Record(worker structs.HostID, at time.Time, kinds []KindCount) {
	entries := h.workers[worker]
	i, found := slices.BinarySearchFunc(entries, at, func(c colocation, t time.Time) int { return c.since.Compare(t) })
	if found {
		entries[i].kinds = kinds
	} else {
		entries = slices.Insert(entries, i, colocation{at, kinds})
	}
	h.workers[worker] = h.trim(entries, entries[len(entries)-1].since)
}

// trim drops entries that ended more than HistoryRetention before now.
func (h *History) trim(entries []colocation, now time.Time) []colocation {
	drop := 0
	for drop+1 < len(entries) && now.Sub(entries[drop+1].since) > HistoryRetention {
		drop++
	}
	return slices.Delete(entries, 0, drop)
}

// RemoveWorker removes the history of a worker that no longer exists.
func (h *History) RemoveWorker(worker structs.HostID) { delete(h.workers, worker) }

// MeanExposure returns the mean number of neighbours by kind on worker between from and to, for a task of kind self,
// which does not count as its own neighbour. It returns false if the history does not cover the whole interval.
func (h *History) MeanExposure(worker structs.HostID, from, to time.Time, self structs.KindName) ([]Exposure, bool) {
	entries := h.workers[worker]
	if len(entries) == 0 || entries[0].since.After(from) || !to.After(from) {
		return nil, false
	}
	var result []Exposure
	for i, c := range entries {
		start, end := c.since, to
		if start.Before(from) {
			start = from
		}
		if i+1 < len(entries) && entries[i+1].since.Before(to) {
			end = entries[i+1].since
		}
		if share := end.Sub(start).Seconds() / to.Sub(from).Seconds(); share > 0 {
			result = addExposure(result, c.kinds, share, self)
		}
	}
	return result, true
}

// addExposure adds the neighbours of one colocation to sum, weighted by its share of the interval.
func addExposure(sum []Exposure, kinds []KindCount, share float64, self structs.KindName) []Exposure {
	for _, k := range kinds {
		count := k.Count
		if k.Kind == self {
			count--
		}
		if count <= 0 {
			continue
		}
		i, found := slices.BinarySearchFunc(sum, k.Kind, func(e Exposure, kind structs.KindName) int { return cmp.Compare(e.Kind, kind) })
		if !found {
			sum = slices.Insert(sum, i, Exposure{Kind: k.Kind})
		}
		sum[i].Mean += share * float64(count)
	}
	return sum
}
