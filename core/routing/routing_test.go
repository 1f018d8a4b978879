package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fulmarcourse.example/core/structs"
)

const ms = time.Millisecond

func seeded() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// candidate returns a shard in the own data centre, or one behind a link with a delay of 5 ms.
func candidate(own bool, free, total, queued int) Candidate {
	c := Candidate{OwnDatacentre: own, Slots: Slots{Known: true, Free: free, Total: total, Queued: queued}}
	if !own {
		c.LinkDelay = 5 * ms
	}
	return c
}

// shares returns how often each candidate was chosen in 1000 draws.
func shares(p Policy, view View) []int {
	rnd, counts := seeded(), make([]int, len(view.Candidates))
	for range 1000 {
		if choice, ok := p.Choose(view, rnd); ok {
			counts[choice.Index]++
		}
	}
	return counts
}

// Guards against a policy that chooses a shard that does not exist or cannot answer in time, or chooses none although
// one can be reached.
func TestEveryPolicyChoosesAReachableShard(t *testing.T) {
	for _, name := range []string{RandomName, TwoChoicesName, SlotAwareName} {
		policy, ok := ByName(name)
		want(t, ok && policy.Name() == name, true, name)
		rapid.Check(t, func(t *rapid.T) {
			view := View{
				Remaining:   time.Duration(rapid.IntRange(1, 100).Draw(t, "remaining")) * ms,
				ServiceTime: time.Duration(rapid.IntRange(0, 100).Draw(t, "service")) * ms,
			}
			reachable := false
			for range rapid.IntRange(0, 5).Draw(t, "shards") {
				c := Candidate{
					Shard:          structs.ShardID{Datacentre: "dc", Index: len(view.Candidates)},
					OwnDatacentre:  rapid.Bool().Draw(t, "own"),
					LinkDelay:      time.Duration(rapid.IntRange(0, 60).Draw(t, "link")) * ms,
					InFlight:       rapid.IntRange(0, 9).Draw(t, "in flight"),
					InFlightChange: rapid.IntRange(-9, 9).Draw(t, "in-flight change"),
					Slots: Slots{
						Known: rapid.Bool().Draw(t, "known"), Free: rapid.IntRange(0, 9).Draw(t, "free"),
						Total: rapid.IntRange(0, 9).Draw(t, "total"), Queued: rapid.IntRange(0, 99).Draw(t, "queued"),
						Age: time.Duration(rapid.IntRange(0, 5000).Draw(t, "age")) * ms,
					},
				}
				reachable = reachable || c.RoundTrip() < view.Remaining
				view.Candidates = append(view.Candidates, c)
			}
			choice, ok := policy.Choose(view, seeded())
			if ok != reachable {
				t.Fatalf("chosen %v, reachable %v", ok, reachable)
			}
			if ok && view.Candidates[choice.Index].RoundTrip() >= view.Remaining {
				t.Fatalf("chose %d, which cannot answer in time", choice.Index)
			}
		})
	}
}

// Guards against preferring the shard with more requests in progress.
func TestTwoChoicesPrefersFewerInFlight(t *testing.T) {
	view := View{Remaining: time.Second, Candidates: []Candidate{{InFlight: 9}, {InFlight: 1}, {InFlight: 5}}}
	got := shares(TwoChoices{}, view)
	want(t, got[0] == 0 && got[1] > got[2], true, "more for fewer in flight")
}

// Guards against leaving the own data centre without need, staying in it while callers wait, using stale digests, and
// sending all requests to the shard with the best digest.
func TestSlotAwareShares(t *testing.T) {
	stale := candidate(true, 8, 8, 0)
	stale.Slots.Age = time.Minute
	usedSince := candidate(true, 8, 8, 0)
	usedSince.InFlightChange = 8
	finishedSince := candidate(true, 0, 8, 0)
	finishedSince.InFlightChange = -4
	cases := []struct {
		name       string
		remaining  time.Duration
		candidates []Candidate
		index      int // of the candidate that gets from atLeast to atMost of 1000 requests
		atLeast    int
		atMost     int
	}{
		{"own data centre first", time.Second, []Candidate{candidate(true, 1, 8, 0), candidate(false, 8, 8, 0)}, 0, 1000, 1000},
		{"short queue costs less than the link", time.Second, []Candidate{candidate(true, 0, 80, 4), candidate(false, 8, 8, 0)}, 0, 1000, 1000},
		{"long queue costs more than the link", time.Second, []Candidate{candidate(true, 0, 8, 20), candidate(false, 8, 8, 0)}, 1, 1000, 1000},
		{"deadline does not allow the link", 55 * ms, []Candidate{candidate(true, 0, 8, 0), candidate(false, 8, 8, 0)}, 0, 1000, 1000},
		{"in proportion to free slots", time.Second, []Candidate{candidate(true, 6, 8, 0), candidate(true, 2, 8, 0)}, 0, 700, 800},
		{"stale digest is ignored", time.Second, []Candidate{stale, candidate(true, 1, 8, 0)}, 1, 1000, 1000},
		{"slots taken since the digest", time.Second, []Candidate{usedSince, candidate(true, 1, 8, 0)}, 1, 1000, 1000},
		{"slots freed since the digest", time.Second, []Candidate{finishedSince, candidate(true, 0, 8, 0)}, 0, 1000, 1000},
		{"nothing meets the deadline", 30 * ms, []Candidate{candidate(true, 0, 8, 99), candidate(false, 0, 8, 0)}, 1, 1000, 1000},
	}
	for _, c := range cases {
		view := View{Candidates: c.candidates, Remaining: c.remaining, ServiceTime: 50 * ms}
		if got := shares(SlotAware{}, view); got[c.index] < c.atLeast || got[c.index] > c.atMost {
			t.Errorf("%s: shares %v", c.name, got)
		}
	}
}

// Guards against sending requests to a failed owner until its digest expires, ejecting an owner for a single lost
// attempt or without end, and using a digest that is older than a rejection.
func TestOutlier(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var o OutlierState
	o.RecordLost(now)
	want(t, o.Ejected(now), false, "ejected after one lost attempt")
	o.RecordLost(now)
	want(t, o.Ejected(now) && !o.Ejected(now.Add(MinEjection)), true, "ejected for a short time after two lost attempts")
	for range 100 {
		o.RecordUnavailable(now)
	}
	want(t, o.Ejected(now.Add(MaxEjection-1)) && !o.Ejected(now.Add(MaxEjection)), true, "ejection grown to its bound")
	o.RecordFull(now)
	want(t, o.Ejected(now), false, "ejected after a reply")
	digest := Slots{Known: true, Free: 8, Total: 8, Age: 100 * ms}
	corrected := Slots{Known: true, Total: 8, Queued: 8, Age: 100 * ms}
	want(t, o.CorrectSlots(now.Add(50*ms), digest), corrected, "digest from before the rejection")
	want(t, o.CorrectSlots(now.Add(150*ms), digest), digest, "digest from after the rejection")
}

// want ends the test unless got equals expected.
func want[T comparable](t testing.TB, got, expected T, subject string) {
	t.Helper()
	if got != expected {
		t.Fatalf("%s: got %v, want %v", subject, got, expected)
	}
}
