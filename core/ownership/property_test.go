package ownership

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of rapid, so that every run checks the same cases; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "3000", "rapid.checks": "1000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Guards against two valid owners of a shard under any combination of pauses, crashes, restarts, late registrations,
// graceful exits, one-way partitions, store outages, delayed and lost messages, and lost responses to writes.
func TestAtMostOneValidOwner(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rapid.Uint64().Draw(rt, "seed"), simLimits(), rapid.IntRange(1, 3).Draw(rt, "running"))
		s.delays = true
		s.run(8 * time.Second)
		for range rapid.IntRange(2, 20).Draw(rt, "faults") {
			s.fault(rt)
			s.run(time.Duration(rapid.IntRange(0, 100).Draw(rt, "steps")) * step)
			s.requireOneOwner(rt)
		}
		s.run(15 * time.Second)
		s.requireOneOwner(rt)
	})
}

// fault changes one condition of the simulation.
func (s *sim) fault(rt *rapid.T) {
	i := rapid.IntRange(0, 2).Draw(rt, "host")
	j := (i + rapid.IntRange(1, 2).Draw(rt, "distance")) % 3
	h := s.hosts[i]
	switch kind := rapid.IntRange(0, 12).Draw(rt, "fault"); kind {
	case 0, 1, 2:
		if h.paused {
			h.resume()
		} else {
			h.paused = h.running
		}
	case 3:
		s.cut[i][j] = !s.cut[i][j]
	case 4, 5:
		s.cut[i][j] = !s.cut[i][j]
		s.cut[j][i] = s.cut[i][j]
	case 6:
		s.isolate(i, !s.cut[i][j])
	case 7, 8:
		s.storeCut[i] = !s.storeCut[i]
	case 9:
		s.storeDown = !s.storeDown
	case 10:
		if h.running {
			h.crash()
		} else {
			h.start()
		}
	case 11:
		if !h.running {
			h.start()
		}
	case 12:
		h.leave()
	}
}

// owner returns the index of the valid owner, -1 if there is none.
func (s *sim) owner() int {
	for i, h := range s.hosts {
		if h.running {
			if _, _, err := h.holder.Valid(simShard, h.now()); err == nil {
				return i
			}
		}
	}
	return -1
}

// isolate cuts the links between host i and the other hosts, or restores them.
func (s *sim) isolate(i int, cut bool) {
	for j := range s.hosts {
		s.cut[i][j], s.cut[j][i] = cut, cut
	}
}

// Guards against rules that keep ownership exclusive only by leaving a shard without an owner: each case states which
// host must own it.
func TestOwnershipIsKeptAndTakenOver(t *testing.T) {
	const noOwner = -1
	cases := []struct {
		name    string
		running int
		faults  func(s *sim, owner int)
		after   time.Duration
		want    func(owner int) int
	}{
		{"two hosts keep the owner through a store outage", 2, func(s *sim, _ int) { s.storeDown = true },
			20 * time.Second, func(owner int) int { return owner }},
		{"a partitioned sole host keeps its shard", 1, func(s *sim, owner int) { s.storeCut[owner] = true; s.isolate(owner, true) },
			25 * time.Second, func(owner int) int { return owner }},
		{"a partitioned sole host loses its shard at the extension limit", 1, func(s *sim, owner int) { s.storeCut[owner] = true },
			31 * time.Second, func(int) int { return noOwner }},
		{"an owner without store and promises loses its shard", 2, func(s *sim, owner int) { s.storeDown = true; s.isolate(owner, true) },
			4 * time.Second, func(int) int { return noOwner }},
		{"a crashed owner is replaced within 10 s", 2, func(s *sim, owner int) { s.hosts[owner].crash() },
			10 * time.Second, func(owner int) int { return 1 - owner }},
		{"a paused owner is replaced within 10 s", 2, func(s *sim, owner int) { s.hosts[owner].paused = true },
			10 * time.Second, func(owner int) int { return 1 - owner }},
		{"an isolated owner is replaced within 10 s", 2, func(s *sim, owner int) { s.storeCut[owner] = true; s.isolate(owner, true) },
			10 * time.Second, func(owner int) int { return 1 - owner }},
		{"an owner that cannot reach the store is replaced by a member that can", 2, func(s *sim, owner int) { s.storeCut[owner] = true },
			12 * time.Second, func(owner int) int { return 1 - owner }},
		{"an owner that leaves is replaced within 3 s", 2, func(s *sim, owner int) { s.hosts[owner].leave() },
			3 * time.Second, func(owner int) int { return 1 - owner }},
		{"a dead member does not end ownership in a store outage", 2, func(s *sim, owner int) {
			s.storeDown = true
			s.hosts[1-owner].crash()
		}, 20 * time.Second, func(owner int) int { return owner }},
		{"a member that left does not end ownership in a store outage", 2, func(s *sim, owner int) {
			s.hosts[1-owner].leave()
			s.run(time.Second)
			s.storeDown = true
		}, 20 * time.Second, func(owner int) int { return owner }},
		{"a new host replaces a crashed sole host", 1, func(s *sim, owner int) {
			s.hosts[owner].crash()
			s.hosts[2].start()
		}, 10 * time.Second, func(int) int { return 2 }},
		{"a new host does not replace a partitioned sole host", 1, func(s *sim, owner int) {
			s.storeCut[owner] = true
			s.isolate(owner, true)
			s.hosts[2].start()
		}, 25 * time.Second, func(owner int) int { return owner }},
		{"a new host replaces a partitioned sole host after the extension limit", 1, func(s *sim, owner int) {
			s.storeCut[owner] = true
			s.isolate(owner, true)
			s.hosts[2].start()
		}, 45 * time.Second, func(int) int { return 2 }},
		{"a restarted host claims its shard again", 1, func(s *sim, owner int) { s.hosts[owner].start() },
			10 * time.Second, func(owner int) int { return owner }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(20) {
				s := newSim(seed, simLimits(), c.running)
				s.run(15 * time.Second)
				owner := s.owner()
				if owner < 0 {
					t.Fatalf("seed %d: no owner after start-up", seed)
				}
				c.faults(s, owner)
				s.run(c.after)
				if got := s.owner(); got != c.want(owner) {
					t.Errorf("seed %d: owner %d, want %d (was %d)", seed, got, c.want(owner), owner)
				}
				s.requireOneOwner(t)
			}
		})
	}
}
