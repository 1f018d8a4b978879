package requests

import "time"

const (
	// sampleEvery is the resolution of the history of in-flight counts.
	sampleEvery = 25 * time.Millisecond
	// samples covers digests of up to 3.2 s, a little over routing.MaxDigestAge.
	samples = 128
)

// inFlight counts the requests in progress on one shard and remembers past counts, so that a digest can be
// corrected by what has changed since it was taken. The router's lock guards it.
type inFlight struct {
	current int
	ring    [samples]sample
}

// sample is what one period of sampleEvery, in which the count changed, began with.
type sample struct {
	period int64 // number of the period since the Unix epoch
	before int   // count at the start of the period
}

func periodOf(t time.Time) int64 { return t.UnixNano() / int64(sampleEvery) }

// add changes the count by delta.
func (f *inFlight) add(now time.Time, delta int) {
	period := periodOf(now)
	if s := &f.ring[period%samples]; s.period != period {
		*s = sample{period, f.current}
	}
	f.current += delta
}

// changeSince returns the current count less the count at the end of the period of time t. Changes older than the
// ring are left out.
func (f *inFlight) changeSince(now, t time.Time) int {
	last := periodOf(now)
	for period := max(periodOf(t)+1, last-samples+1); period <= last; period++ {
		if s := f.ring[period%samples]; s.period == period {
			return f.current - s.before
		}
	}
	return 0
}
