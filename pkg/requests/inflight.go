package requests

import "time"

const (
	// samplePeriod is the resolution of the history of in-flight counts.
	samplePeriod = 25 * time.Millisecond
	// maxSamples is the size of the history. It covers digests of up to 3.2 s, a little over routing.MaxDigestAge.
	maxSamples = 128
)

// inFlight counts the requests in progress on one shard and keeps past counts, so that a digest can be corrected by
// the change since it was taken. The router's lock guards it.
type inFlight struct {
	current int
	ring    [maxSamples]sample
}

// sample is the count at the start of a period of length samplePeriod in which the count changed.
type sample struct {
	period int64 // number of the period since the Unix epoch
	before int   // count at the start of the period
}

func periodOf(t time.Time) int64 { return t.UnixNano() / int64(samplePeriod) }

// add changes the count by delta.
func (f *inFlight) add(now time.Time, delta int) {
	period := periodOf(now)
	if s := &f.ring[period%maxSamples]; s.period != period {
		*s = sample{period, f.current}
	}
	f.current += delta
}

// changeSince returns the current count minus the count at the end of the period that contains t. Changes older than
// the ring are left out.
func (f *inFlight) changeSince(now, t time.Time) int {
	last := periodOf(now)
	for period := max(periodOf(t)+1, last-maxSamples+1); period <= last; period++ {
		if s := f.ring[period%maxSamples]; s.period == period {
			return f.current - s.before
		}
	}
	return 0
}
