package admission

import (
	"time"

	"fulmarcourse.example/core/latency"
	"fulmarcourse.example/core/structs"
)

const (
	// ServiceTimeQuantile is the quantile of the service time that must fit into the remaining time. At the median, a
	// request that is more likely to miss its deadline than to meet it is rejected while it has certainly not run.
	ServiceTimeQuantile = 0.5
	// QueuedServiceTimeQuantile replaces ServiceTimeQuantile for requests that had to wait. In overload every granted
	// request has waited until its deadline was close: with the median, half of the slots were spent on requests that
	// missed their deadlines, and the goodput fell to half of the capacity.
	QueuedServiceTimeQuantile = 0.95
	// ProbeInterval is the interval at which one request per kind is admitted although its estimated service time is
	// too long. Without such probes there would be no new samples after a temporary slowdown, and all requests would be
	// rejected indefinitely.
	ProbeInterval = 500 * time.Millisecond
	// RecentWeight is the weight of one sample in the recent service time. It is high enough that a few probes show the
	// end of a slowdown, long before the slow samples have left the window.
	RecentWeight = 0.3
)

// serviceTimes tracks the service times of each kind over all runners of a shard.
type serviceTimes struct {
	kinds map[structs.KindName]*kindTimes
}

type kindTimes struct {
	window *latency.Window
	recent float64   // moving average of the service times, in nanoseconds
	probed time.Time // time of the latest probe
}

func newServiceTimes() *serviceTimes { return &serviceTimes{kinds: map[structs.KindName]*kindTimes{}} }

func (s *serviceTimes) kind(kind structs.KindName) *kindTimes {
	k, ok := s.kinds[kind]
	if !ok {
		k = &kindTimes{window: latency.NewWindow(latency.DefaultWindow)}
		s.kinds[kind] = k
	}
	return k
}

// observe records one service time, or the time spent waiting for an answer that never came.
func (s *serviceTimes) observe(now time.Time, kind structs.KindName, d time.Duration) {
	k := s.kind(kind)
	k.window.Observe(now, d)
	if k.recent == 0 {
		k.recent = float64(d)
	}
	k.recent += RecentWeight * (float64(d) - k.recent)
}

// typical returns the typical service time of the kind, its ServiceTimeQuantile; 0 if there are no samples.
func (s *serviceTimes) typical(now time.Time, kind structs.KindName) time.Duration {
	d, _ := s.kind(kind).window.Quantile(now, ServiceTimeQuantile)
	return d
}

// needed returns the service time that must fit into the remaining time: the typical one, or the
// QueuedServiceTimeQuantile when the request has waited. It is scaled down while the recent service time is shorter
// than the typical one.
func (s *serviceTimes) needed(now time.Time, kind structs.KindName, waited bool) time.Duration {
	typical, recent := s.typical(now, kind), time.Duration(s.kind(kind).recent)
	if !waited {
		return min(typical, recent)
	}
	long, _ := s.kind(kind).window.Quantile(now, QueuedServiceTimeQuantile)
	if recent >= typical || typical == 0 {
		return long
	}
	return time.Duration(float64(long) * float64(recent) / float64(typical))
}

// turnover returns the mean time for which a request of the kind holds a slot; 0 if there are no samples.
func (s *serviceTimes) turnover(now time.Time, kind structs.KindName) time.Duration {
	d, _ := s.kind(kind).window.Mean(now)
	return d
}

// probe reports whether a request of the kind is admitted as a probe although the estimated service time is too long.
// It returns true at most once per ProbeInterval.
func (s *serviceTimes) probe(now time.Time, kind structs.KindName) bool {
	k := s.kind(kind)
	if now.Sub(k.window.LastSample()) < ProbeInterval || now.Sub(k.probed) < ProbeInterval {
		return false
	}
	k.probed = now
	return true
}
