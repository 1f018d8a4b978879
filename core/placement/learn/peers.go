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

// peerGroup holds the simultaneous measurements of the attempts of a group: the latest MaxPeers that are at most PeerWindow
// old, and their sum.
type peerGroup struct {
	recent     [MaxPeers]peerDeviation // a ring
	first, n   int                     // index of the oldest entry of recent, and number of entries
	slower     float64                 // sum of the entries
	neighbours []float64               // sum of the entries
	latest     time.Time
}

type peerDeviation struct {
	slower     float64
	neighbours []float64
	host       string
	at         time.Time
}

// relativeToPeers changes a deviation into the difference from the mean of the simultaneous deviations of the same group
// on other hosts. The load that a group shares moves all of them alike. Without the comparison it is attributed to the
// neighbours, which are themselves throttled when the load is high.
func (s *Slowdowns) relativeToPeers(m Measurement, d *deviation, now time.Time) {
	if m.Group == (structs.TaskID{}) {
		return
	}
	g := s.groups[m.Group]
	if g == nil {
		g = &peerGroup{}
		s.groups[m.Group] = g
	}
	g.expire(now)
	s.peers = append(s.peers[:0], make([]float64, len(d.neighbours))...)
	slower, n := g.sumElsewhere(m.Host, s.peers)
	g.record(*d, m.Host, now)
	if n == 0 {
		return
	}
	d.slower -= slower / float64(n)
	for i, sum := range s.peers {
		d.neighbours[i] -= sum / float64(n)
	}
	d.weight *= float64(n) / float64(n+1)
}

// expire removes the measurements that are not simultaneous any more.
func (g *peerGroup) expire(now time.Time) {
	for g.n > 0 && now.Sub(g.recent[g.first].at) > PeerWindow {
		g.removeOldest()
	}
}

func (g *peerGroup) removeOldest() {
	oldest := &g.recent[g.first]
	g.slower -= oldest.slower
	for k, v := range oldest.neighbours {
		g.neighbours[k] -= v
	}
	g.first = (g.first + 1) % MaxPeers
	g.n--
	if g.n == 0 { // without the rounding errors of the subtractions
		g.slower = 0
		clear(g.neighbours)
	}
}

// sumElsewhere adds the numbers of neighbours on other hosts to neighbours, and returns the sum of the decreases there and the
// number of measurements.
func (g *peerGroup) sumElsewhere(host string, neighbours []float64) (slower float64, n int) {
	slower, n = g.slower, g.n
	for k, v := range g.neighbours {
		neighbours[k] += v
	}
	for i := range g.n {
		peer := &g.recent[(g.first+i)%MaxPeers]
		if peer.host != host {
			continue
		}
		n--
		slower -= peer.slower
		for k, v := range peer.neighbours {
			neighbours[k] -= v
		}
	}
	return slower, n
}

// record adds a measurement and removes the oldest one if there are too many.
func (g *peerGroup) record(d deviation, host string, now time.Time) {
	if g.n == MaxPeers {
		g.removeOldest()
	}
	entry := &g.recent[(g.first+g.n)%MaxPeers]
	entry.slower, entry.host, entry.at = d.slower, host, now
	entry.neighbours = append(entry.neighbours[:0], d.neighbours...)
	g.n++
	g.latest = now
	g.slower += d.slower
	g.neighbours = append(g.neighbours, make([]float64, len(d.neighbours)-len(g.neighbours))...)
	for k, v := range d.neighbours {
		g.neighbours[k] += v
	}
}

// removeIdleGroups removes the groups without measurements for HistoryRetention.
func (s *Slowdowns) removeIdleGroups(now time.Time) {
	for name, g := range s.groups {
		if now.Sub(g.latest) > HistoryRetention {
			delete(s.groups, name)
		}
	}
}
