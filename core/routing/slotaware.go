package routing

import (
	"math/rand/v2"
	"time"
)

// Thresholds of the slot-aware policy.
const (
	// MaxDigestAge is the age beyond which a digest says nothing; digests arrive every 500 ms to 1 s.
	MaxDigestAge = 3 * time.Second
	// CrossDatacentreMargin is how much better another data centre must be expected to be. Links between data centres have
	// variable delay and cost more.
	CrossDatacentreMargin = 2 * time.Millisecond
	// DefaultServiceTime stands in for the service time until one was observed.
	DefaultServiceTime = 20 * time.Millisecond
)

// SlotAware prefers free slots in the own data centre, and another data centre when its expected wait plus the
// link is shorter. Digests are late, and all hosts see the same ones: following the best value would send
// everything to one shard until the next digest (Mitzenmacher, "How useful is old information?", 2000). Counts
// are therefore corrected by the requests this host has sent since, and shards with free slots are drawn with
// a probability proportional to them.
type SlotAware struct{}

// Name returns "slot-aware".
func (SlotAware) Name() string { return SlotAwareName }

// estimate is what SlotAware expects of one candidate.
type estimate struct {
	index int
	free  int           // slots expected to be free
	wait  time.Duration // expected wait for a slot
	cost  time.Duration // wait plus link
}

// Choose implements Policy.
func (SlotAware) Choose(view View, rnd *rand.Rand) (Choice, bool) {
	if view.ServiceTime <= 0 {
		view.ServiceTime = min(DefaultServiceTime, view.Remaining/2)
	}
	own, other := split(view, func(e estimate) bool { return e.cost+view.ServiceTime <= view.Remaining })
	if len(own)+len(other) == 0 {
		// Nothing is expected to meet the deadline. Estimates may be wrong, and the owner knows its queue, so the
		// least bad shard still gets the chance to decide.
		own, other = split(view, func(estimate) bool { return true })
	}
	if len(own)+len(other) == 0 {
		return Choice{}, false
	}
	group := own
	if len(own) == 0 || len(other) > 0 && cheapest(other).cost+CrossDatacentreMargin < cheapest(own).cost {
		group = nearest(other)
	}
	chosen := draw(group, rnd)
	return Choice{Index: chosen.index, Wait: chosen.wait}, true
}

// split returns the estimates of the reachable candidates that pass allowed, those of the own data centre first.
func split(view View, allowed func(estimate) bool) (own, other []estimate) {
	for _, i := range reachable(view) {
		e := estimateOf(i, view)
		switch {
		case !allowed(e):
		case view.Candidates[i].OwnDatacentre:
			own = append(own, e)
		default:
			other = append(other, e)
		}
	}
	return own, other
}

// estimateOf corrects the digest by the requests of this host that it does not contain.
func estimateOf(index int, view View) estimate {
	c := view.Candidates[index]
	e := estimate{index: index}
	s := c.Slots
	switch {
	case !s.Known || s.Age > MaxDigestAge:
		e.wait = view.ServiceTime
	case s.Total <= 0:
		e.wait = view.Remaining
	default:
		free := s.Free - s.Queued - c.InFlightChange
		e.free = max(0, min(free, s.Total))
		if e.free == 0 {
			e.wait = time.Duration(float64(view.ServiceTime) * float64(1-free) / float64(s.Total))
		}
	}
	e.cost = e.wait + c.RoundTrip()
	return e
}

func cheapest(estimates []estimate) estimate {
	best := estimates[0]
	for _, e := range estimates[1:] {
		if e.cost < best.cost {
			best = e
		}
	}
	return best
}

// nearest returns the estimates whose cost is within CrossMargin of the cheapest.
func nearest(estimates []estimate) []estimate {
	limit := cheapest(estimates).cost + CrossDatacentreMargin
	var near []estimate
	for _, e := range estimates {
		if e.cost <= limit {
			near = append(near, e)
		}
	}
	return near
}

// draw returns one estimate: in proportion to free slots, or without any the better of two random ones.
func draw(group []estimate, rnd *rand.Rand) estimate {
	total := 0
	for _, e := range group {
		total += e.free
	}
	if total > 0 {
		n := rnd.IntN(total)
		for _, e := range group {
			if n -= e.free; n < 0 {
				return e
			}
		}
	}
	indices := make([]int, len(group))
	for i := range group {
		indices[i] = i
	}
	first, second := pickTwo(indices, rnd)
	if group[second].wait < group[first].wait {
		first = second
	}
	return group[first]
}
