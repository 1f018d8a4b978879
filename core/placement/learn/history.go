package learn

import (
	"cmp"
	"slices"
	"time"

	"fulmarcourse.example/core/structs"
)

// HistoryRetention is how long co-locations are remembered. Measurements that are older are dropped.
const HistoryRetention = 15 * time.Minute

// KindCount is the number of tasks of one kind on a host.
type KindCount struct {
	Kind  structs.KindName
	Count int
}

// Exposure is the mean number of neighbours of one kind that a task had during a measurement.
type Exposure struct {
	Kind structs.KindName
	Mean float64
}

// colocation is the set of kinds on a host from a moment until the next one.
type colocation struct {
	since time.Time
	kinds []KindCount
}

// History remembers which kinds ran together on each host and when, so that a measurement that arrives late is
// attributed to the co-location that was in effect when it was taken.
type History struct {
	hosts map[structs.HostID][]colocation
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{hosts: map[structs.HostID][]colocation{}} }

// Record notes that host runs kinds from at on. Changes may be recorded out of order; an entry with the same time
// replaces the earlier one. The slice is kept, so the caller must not change it.
func (h *History) Record(host structs.HostID, at time.Time, kinds []KindCount) {
	line := h.hosts[host]
	i, same := slices.BinarySearchFunc(line, at, func(c colocation, t time.Time) int { return c.since.Compare(t) })
	if same {
		line[i].kinds = kinds
	} else {
		line = slices.Insert(line, i, colocation{at, kinds})
	}
	h.hosts[host] = h.trim(line, line[len(line)-1].since)
}

// trim drops entries that ended more than HistoryKeep before now.
func (h *History) trim(line []colocation, now time.Time) []colocation {
	drop := 0
	for drop+1 < len(line) && now.Sub(line[drop+1].since) > HistoryRetention {
		drop++
	}
	return slices.Delete(line, 0, drop)
}

// Forget drops the history of a host that is gone.
func (h *History) Forget(host structs.HostID) { delete(h.hosts, host) }

// MeanExposure returns the mean number of neighbours by kind on host from from to to, for a task of kind self, which does
// not count as its own neighbour. It is false when the history does not cover the whole time.
func (h *History) MeanExposure(host structs.HostID, from, to time.Time, self structs.KindName) ([]Exposure, bool) {
	line := h.hosts[host]
	if len(line) == 0 || line[0].since.After(from) || !to.After(from) {
		return nil, false
	}
	var result []Exposure
	for i, c := range line {
		start, end := c.since, to
		if start.Before(from) {
			start = from
		}
		if i+1 < len(line) && line[i+1].since.Before(to) {
			end = line[i+1].since
		}
		if share := end.Sub(start).Seconds() / to.Sub(from).Seconds(); share > 0 {
			result = addExposure(result, c.kinds, share, self)
		}
	}
	return result, true
}

// addExposure adds the kinds of one co-location with its share of the time.
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
