package schedule

import (
	"time"

	"fulmarcourse.example/core/structs"
)

const (
	// silenceFactor is the multiple of the longest recent gap between two reports of a data centre from which its silence
	// is taken for a network partition.
	silenceFactor = 3
	// minSilence is the minimum silence that is taken for a network partition. Relays batch reports for less.
	minSilence = 150 * time.Millisecond
	// gapWindow is the time over which the longest gap is measured. The previous window counts as well.
	gapWindow = 3 * time.Second
)

// reportGaps measures the gaps between the reports that arrive from the workers of one data centre, whichever worker they
// are from. The workers of a data centre are cut off together, and a gap in all of their reports shows much earlier than
// one in those of a single worker.
type reportGaps struct {
	lastAt            time.Duration // when the last report was received
	windowAt          time.Duration // start of the current window
	longest, previous time.Duration // longest gap of the current and of the previous window
}

// record records a report.
func (g *reportGaps) record(now time.Duration) {
	if now-g.windowAt >= gapWindow {
		g.windowAt, g.previous, g.longest = now, g.longest, 0
	}
	if g.lastAt > 0 {
		g.longest = max(g.longest, now-g.lastAt)
	}
	g.lastAt = now
}

// limit returns the silence from which the data centre counts as cut off.
func (g *reportGaps) limit() time.Duration {
	return max(silenceFactor*max(g.longest, g.previous), minSilence)
}

// recordReportFrom records that a worker of a data centre has reported.
func (s *Scheduler) recordReportFrom(now time.Duration, dc structs.DatacentreID) {
	g := s.gaps[dc]
	if g == nil {
		g = &reportGaps{windowAt: now}
		s.gaps[dc] = g
	}
	g.record(now)
	s.latestReportAt = now
}

// cutOff reports whether a data centre has been silent for much longer than usual while other data centres have reported.
// It is false if no reports arrive at all: then this host is the one that is cut off, or slow.
func (s *Scheduler) cutOff(dc structs.DatacentreID) bool {
	g := s.gaps[dc]
	return g != nil && s.latestReportAt-g.lastAt > g.limit()
}
