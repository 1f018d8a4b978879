// Package routing chooses the shard to which a request is sent. It keeps no state and reads no clock: the caller passes
// the state of the shards and a random source.
package routing

import (
	"math/rand/v2"
	"time"

	"fulmarcourse.example/core/structs"
)

// Slots holds the slot counts of one service from the digest of a shard.
type Slots struct {
	Known  bool // false if no digest was received
	Free   int
	Total  int
	Queued int
	Age    time.Duration // time since the owner recorded the counts
}

// Candidate is one shard that has runners of the service.
type Candidate struct {
	Shard          structs.ShardID
	Local          bool // this host owns the shard
	OwnDatacentre  bool
	LinkDelay      time.Duration // one-way estimate; 0 when local
	Slots          Slots
	InFlight       int // requests that this host has in progress on the shard
	InFlightChange int // change of InFlight since the digest was taken; may be negative
}

// RoundTrip returns the time that a request and its reply spend on the link.
func (c Candidate) RoundTrip() time.Duration { return 2 * c.LinkDelay }

// View is the input of Policy.Choose.
type View struct {
	Candidates  []Candidate
	Remaining   time.Duration // time left until the deadline
	ServiceTime time.Duration // expected service time; 0 if unknown
}

// Choice is the chosen shard.
type Choice struct {
	Index int           // into View.Candidates
	Wait  time.Duration // expected wait for a slot
}

// Policy chooses a shard. Choose returns false when no candidate can be reached and answer in the remaining time.
// Implementations keep no state.
type Policy interface {
	Name() string
	Choose(view View, rnd *rand.Rand) (Choice, bool)
}

// Names of the policies.
const (
	RandomName     = "random"
	TwoChoicesName = "two-choices"
	SlotAwareName  = "slot-aware"
	DefaultPolicy  = SlotAwareName
)

// ByName returns the policy with the given name, and false if there is none.
func ByName(name string) (Policy, bool) {
	for _, p := range []Policy{Random{}, TwoChoices{}, SlotAware{}} {
		if p.Name() == name {
			return p, true
		}
	}
	return nil, false
}

// reachable returns the indices of the candidates whose round trip is shorter than the remaining time.
func reachable(view View) []int {
	indices := make([]int, 0, len(view.Candidates))
	for i, c := range view.Candidates {
		if c.RoundTrip() < view.Remaining {
			indices = append(indices, i)
		}
	}
	return indices
}

// Random chooses a reachable shard at random. It is the baseline for comparisons.
type Random struct{}

// Name returns "random".
func (Random) Name() string { return RandomName }

// Choose implements Policy.
func (Random) Choose(view View, rnd *rand.Rand) (Choice, bool) {
	indices := reachable(view)
	if len(indices) == 0 {
		return Choice{}, false
	}
	return Choice{Index: indices[rnd.IntN(len(indices))]}, true
}

// TwoChoices draws two reachable shards at random and chooses the one on which this host has fewer requests in
// progress. (Mitzenmacher, "The power of two choices in randomized load balancing", 2001.)
type TwoChoices struct{}

// Name returns "two-choices".
func (TwoChoices) Name() string { return TwoChoicesName }

// Choose implements Policy.
func (TwoChoices) Choose(view View, rnd *rand.Rand) (Choice, bool) {
	indices := reachable(view)
	if len(indices) == 0 {
		return Choice{}, false
	}
	first, second := pickTwo(indices, rnd)
	if view.Candidates[second].InFlight < view.Candidates[first].InFlight {
		first = second
	}
	return Choice{Index: first}, true
}

// pickTwo returns two different elements at random, or the only element twice.
func pickTwo(indices []int, rnd *rand.Rand) (int, int) {
	if len(indices) == 1 {
		return indices[0], indices[0]
	}
	i := rnd.IntN(len(indices))
	j := rnd.IntN(len(indices) - 1)
	if j >= i {
		j++
	}
	return indices[i], indices[j]
}
