package learn

import (
	"time"

	"fulmarcourse.example/core/structs"
)

const (
	// PeerWindow is the age up to which the measurements of other attempts count as simultaneous. Workers report at least
	// twice a second.
	PeerWindow = 600 * time.Millisecond
	// MaxPeers is the number of latest measurements that are kept of a group.
	MaxPeers = 16
)

// peerGroup holds the latest measurements of the attempts of a group.
type peerGroup struct {
	recent [MaxPeers]peerDeviation
	next   int // index of the oldest entry of recent
	latest time.Time
}

type peerDeviation struct {
	deviation
	host string
	at   time.Time
}

// relativeToPeers returns the difference between a deviation and the mean of the simultaneous deviations of the same
// group on other hosts. The load that a group shares moves all of them alike. Without the comparison it is attributed to
// the neighbours, which are themselves throttled when the load is high.
func (s *Slowdowns) relativeToPeers(m Measurement, d deviation, now time.Time) deviation {
	if m.Group == (structs.TaskID{}) {
		return d
	}
	g := s.groups[m.Group]
	if g == nil {
		g = &peerGroup{}
		s.groups[m.Group] = g
	}
	mean, n := g.meanElsewhere(m.Host, len(d.neighbours), now)
	g.record(d, m.Host, now)
	if n == 0 {
		return d
	}
	relative := deviation{
		slower: d.slower - mean.slower, neighbours: mean.neighbours,
		weight: d.weight * float64(n) / float64(n+1),
	}
	for i := range d.neighbours {
		relative.neighbours[i] = d.neighbours[i] - mean.neighbours[i]
	}
	return relative
}

// meanElsewhere returns the mean of the simultaneous deviations on other hosts and their number.
func (g *peerGroup) meanElsewhere(host string, kinds int, now time.Time) (mean deviation, n int) {
	mean.neighbours = make([]float64, kinds)
	for i := range g.recent {
		peer := &g.recent[i]
		if peer.at.IsZero() || peer.host == host || now.Sub(peer.at) > PeerWindow {
			continue
		}
		n++
		mean.slower += peer.slower
		for k, v := range peer.neighbours {
			mean.neighbours[k] += v
		}
	}
	if n == 0 {
		return mean, 0
	}
	mean.slower /= float64(n)
	for k := range mean.neighbours {
		mean.neighbours[k] /= float64(n)
	}
	return mean, n
}

// record replaces the oldest measurement of the group.
func (g *peerGroup) record(d deviation, host string, now time.Time) {
	g.recent[g.next] = peerDeviation{deviation: d, host: host, at: now}
	g.next = (g.next + 1) % MaxPeers
	g.latest = now
}

// removeIdleGroups removes the groups without measurements for HistoryRetention.
func (s *Slowdowns) removeIdleGroups(now time.Time) {
	for name, g := range s.groups {
		if now.Sub(g.latest) > HistoryRetention {
			delete(s.groups, name)
		}
	}
}
