// Package latency keeps durations of a sliding window and computes quantiles of them. It reads no clock: the caller
// passes the time and serialises calls.
//
// The sketch is DDSketch (Masson, Rim and Lee, "DDSketch: a fast and fully-mergeable quantile sketch with
// relative-error guarantees", VLDB 2019).
package latency

import (
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
)

const (
	// RelativeError is the relative accuracy of quantiles; one percent is well below the spread of service times.
	RelativeError = 0.01
	// MaxBins bounds the memory of one sketch; 512 bins of 1% cover four decades.
	MaxBins = 512
	// DefaultWindow is the default period of a Window. A sample counts for at least one period and at most two.
	DefaultWindow = 15 * time.Second
	// RefreshSamples is the number of samples after which cached quantiles are computed again. A quantile of DDSketch
	// walks its bins, which is too slow to do for each request.
	RefreshSamples = 32
)

// Window holds the samples of the current and the previous period. Samples leave it one whole period at a time.
type Window struct {
	period   time.Duration
	started  time.Time
	current  *ddsketch.DDSketch
	previous *ddsketch.DDSketch
	cached   map[float64]time.Duration
	stale    int       // samples added since the cache was cleared
	last     time.Time // when the newest sample was added
}

// NewWindow returns an empty window. A period of zero or less selects DefaultWindow.
func NewWindow(period time.Duration) *Window {
	if period <= 0 {
		period = DefaultWindow
	}
	return &Window{period: period, current: newSketch(), previous: newSketch(), cached: map[float64]time.Duration{}}
}

func newSketch() *ddsketch.DDSketch {
	sketch, err := ddsketch.LogCollapsingLowestDenseDDSketch(RelativeError, MaxBins)
	if err != nil {
		panic(err) // returned only for a relative error outside (0, 1)
	}
	return sketch
}

// Observe adds one sample. Negative durations, which can result from a stepped clock, are ignored.
func (w *Window) Observe(now time.Time, d time.Duration) {
	w.rotate(now)
	if d < 0 {
		return
	}
	// Add fails only for values outside the range of the index mapping, which no duration reaches.
	_ = w.current.Add(float64(d))
	w.last = now
	if w.stale++; w.stale >= RefreshSamples || w.Count(now) < RefreshSamples {
		w.clearCache()
	}
}

// Count returns the number of samples in the window.
func (w *Window) Count(now time.Time) int {
	w.rotate(now)
	return int(w.current.GetCount() + w.previous.GetCount())
}

// LastSample returns when the newest sample was added; zero if there was none.
func (w *Window) LastSample() time.Time { return w.last }

// Quantile returns the q-quantile (0 to 1) of the window, and false when it is empty.
func (w *Window) Quantile(now time.Time, q float64) (time.Duration, bool) {
	if w.Count(now) == 0 {
		return 0, false
	}
	if d, ok := w.cached[q]; ok {
		return d, true
	}
	merged := w.previous.Copy()
	if err := merged.MergeWith(w.current); err != nil {
		return 0, false // returned only for sketches with different mappings
	}
	value, err := merged.GetValueAtQuantile(q)
	if err != nil {
		return 0, false
	}
	w.cached[q] = time.Duration(value)
	return w.cached[q], true
}

// Mean returns the mean of the window, and false when it is empty.
func (w *Window) Mean(now time.Time) (time.Duration, bool) {
	count := w.Count(now)
	if count == 0 {
		return 0, false
	}
	const meanKey = -1 // not a valid quantile, so it cannot collide with one
	if d, ok := w.cached[meanKey]; ok {
		return d, true
	}
	w.cached[meanKey] = time.Duration((w.current.GetSum() + w.previous.GetSum()) / float64(count))
	return w.cached[meanKey], true
}

func (w *Window) rotate(now time.Time) {
	if w.started.IsZero() {
		w.started = now
		return
	}
	elapsed := now.Sub(w.started)
	if elapsed < w.period {
		return
	}
	w.previous, w.current = w.current, w.previous
	w.current.Clear()
	if elapsed >= 2*w.period {
		w.previous.Clear()
	}
	w.started = now
	w.clearCache()
}

func (w *Window) clearCache() {
	clear(w.cached)
	w.stale = 0
}
