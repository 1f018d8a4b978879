package routing

import (
	"math/rand/v2"
	"time"
)

// Thresholds of the slot-aware policy.
const (
	// MaxDigestAge is the age beyond which a digest is ignored; digests arrive every 500 ms to 1 s.
	MaxDigestAge = 3 * time.Second
	// CrossDatacentreMargin is how much lower the expected cost of another data centre must be for it to be chosen.
	// Links between data centres have variable delay and cost more.
	CrossDatacentreMargin = 2 * time.Millisecond
	// DefaultServiceTime is used as the service time until one was observed.
	DefaultServiceTime = 20 * time.Millisecond
)

// SlotAware prefers free slots in the own data centre. It chooses another data centre when the expected wait there plus
// the link is shorter. Digests are late and all hosts receive the same ones: choosing the best value would send all
// requests to one shard until the next digest (Mitzenmacher, "How useful is old information?", 2000). Therefore counts
// are corrected by the requests that this host has sent since, and shards with free slots are drawn with a probability
// proportional to their free slots.
type SlotAware struct{}

// Name returns "slot-aware".
func (SlotAware) Name() string { return SlotAwareName }

// estimate is the expected state of one candidate.
type estimate struct {
	index int
	free  int           // slots expected to be free
	wait  time.Duration // expected wait for a slot
	cost  time.Duration // wait plus round trip on the link
}

// Choose implements Policy.
func (SlotAware) Choose(view View, rnd *rand.Rand) (Choice, bool) {
	if view.ServiceTime <= 0 {
		view.ServiceTime = min(DefaultServiceTime, view.Remaining/2)
	}
	own, other := split(view, func(e estimate) bool { return e.cost+view.ServiceTime <= view.Remaining })
	if len(own)+len(other) == 0 {
		// No candidate is expected to meet the deadline. The estimates may be wrong and the owner has the exact counts, so
		// the request is still sent to the shard of lowest cost, which decides.
		own, other = split(view, func(estimate) bool { return true })
	}
	if len(own)+len(other) == 0 {
		return Choice{}, false
	}
	group := own
	if len(own) == 0 || len(other) > 0 && cheapest(other).cost+CrossDatacentreMargin < cheapest(own).cost {
		group = withinMargin(other)
	}
	chosen := draw(group, rnd)
	return Choice{Index: chosen.index, Wait: chosen.wait}, true
}

// split returns the estimates of the reachable candidates for which allowed returns true, separately for the own data
// centre and for others.
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

// estimateOf returns the estimate of one candidate. It corrects the digest by the requests of this host that the digest
// does not include.
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

// withinMargin returns the estimates whose cost is within CrossDatacentreMargin of the lowest cost.
func withinMargin(estimates []estimate) []estimate {
	limit := cheapest(estimates).cost + CrossDatacentreMargin
	var selected []estimate
	for _, e := range estimates {
		if e.cost <= limit {
			selected = append(selected, e)
		}
	}
	return selected
}

// draw returns one estimate at random, in proportion to free slots. If no slots are free, it returns the one of two
// random estimates that has the shorter wait.
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
