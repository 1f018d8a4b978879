package ownership

import (
	"math/rand/v2"

	"time"

	"pgregory.net/rapid"

	"fulmarcourse.example/core/membership"
	"fulmarcourse.example/core/structs"
)

// The simulation runs the hosts of one data centre, one store and one shard in steps of true time. Each host and the
// store have their own clock with a constant offset and a rate that deviates from true time by up to maxRateError, so
// two clocks drift apart by less than MaxClockDrift. Messages are lost on cut links, delayed by up to longDelay steps,
// and handled late by a paused host. A host behaves like pkg/ownership, except that its rank is random.
const (
	step         = 100 * time.Millisecond
	maxRateError = 0.004
	longDelay    = 100 // in steps; longer than a takeover
	memberTTL    = 12 * time.Second
	callTimeout  = 2 * time.Second // a host ignores later responses to reads, as with CallTimeout of pkg/ownership
)

var (
	simStart = time.Date(2024, 1, 1, 0, 0, 0, 0, time.UTC)
	simShard = structs.ShardID{Datacentre: "d1"}
	hostIDs  = []structs.HostID{"a", "b", "c"}
)

func simLimits() Limits {
	limits := DefaultLimits()
	limits.ExtensionLimit = 30 * time.Second
	return limits
}

type simRecord struct {
	owner    membership.Process
	nonce    int
	lease    LeaseID
	revision int64
}

type simLease struct {
	ttl, until time.Duration // until by the store's clock
}

type simStore struct {
	rate     float64
	revision int64
	shard    *simRecord
	last     *simRecord
	members  map[structs.HostID]*simRecord
	leases   map[LeaseID]*simLease
	nextID   LeaseID
}

type simClaim struct {
	record                  simRecord
	lastOwnerRev, memberRev int64
}

type sim struct {
	rng        *rand.Rand
	limits     Limits
	tick       int
	nonce      int
	events     map[int][]func()
	hosts      []*simHost
	store      simStore
	cut        [3][3]bool // cut[i][j]: messages from i to j are lost
	storeCut   [3]bool
	storeDown  bool
	delays     bool
	twoOwners  string // describes the first step with two valid owners; empty if there was none
	validSteps [3]int // steps in which each host was the valid owner
}

func newSim(seed uint64, limits Limits, running int) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), limits: limits, events: make(map[int][]func())}
	s.store = simStore{
		rate: s.rate(), members: make(map[structs.HostID]*simRecord), leases: make(map[LeaseID]*simLease),
	}
	for i := range hostIDs {
		h := &simHost{sim: s, index: i, rate: s.rate(), offset: time.Duration(s.rng.IntN(1000)) * time.Hour}
		s.hosts = append(s.hosts, h)
		if i < running {
			h.start()
		}
	}
	return s
}

func (s *sim) rate() float64 { return 1 + maxRateError*(2*s.rng.Float64()-1) }

// schedule runs fn after d steps.
func (s *sim) schedule(d int, fn func()) { s.events[s.tick+d] = append(s.events[s.tick+d], fn) }

func (s *sim) delay() int {
	if !s.delays {
		return 1
	}
	if s.rng.IntN(10) == 0 {
		return 1 + s.rng.IntN(longDelay)
	}
	return 1 + s.rng.IntN(3)
}

func (s *sim) storeNow() time.Duration {
	return time.Duration(float64(time.Duration(s.tick)*step) * s.store.rate)
}

// run advances true time by d and checks the owners after every step.
func (s *sim) run(d time.Duration) {
	for range int(d / step) {
		s.tick++
		s.expireLeases()
		for len(s.events[s.tick]) > 0 {
			due := s.events[s.tick]
			s.events[s.tick] = nil
			for _, fn := range due {
				fn()
			}
		}
		delete(s.events, s.tick)
		for _, h := range s.hosts {
			h.act()
		}
		s.checkOwners()
	}
}

func (s *sim) checkOwners() {
	owners := ""
	count := 0
	for i, h := range s.hosts {
		if !h.running {
			continue
		}
		// A paused host is evaluated as if it resumed in this step.
		if _, _, err := h.holder.Valid(simShard, h.now()); err == nil {
			owners += h.process.String() + " "
			count++
			s.validSteps[i]++
		}
	}
	if count > 1 && s.twoOwners == "" {
		s.twoOwners = owners + "at " + (time.Duration(s.tick) * step).String()
	}
}

func (s *sim) expireLeases() {
	if s.storeDown {
		return // leases expire once the store is back
	}
	for id := LeaseID(1); id <= s.store.nextID; id++ {
		if lease, known := s.store.leases[id]; known && s.storeNow() >= lease.until {
			s.revoke(id)
		}
	}
}

func (s *sim) revoke(id LeaseID) {
	delete(s.store.leases, id)
	if s.store.shard != nil && s.store.shard.lease == id {
		s.store.revision++
		s.store.shard = nil
	}
	for _, host := range hostIDs {
		if entry := s.store.members[host]; entry != nil && entry.lease == id {
			s.store.revision++
			delete(s.store.members, host)
		}
	}
}

func (s *sim) grant(ttl time.Duration) LeaseID {
	s.store.nextID++
	s.store.leases[s.store.nextID] = &simLease{ttl: ttl, until: s.storeNow() + ttl}
	return s.store.nextID
}

func (s *sim) keepAlive(id LeaseID) bool {
	lease, known := s.store.leases[id]
	if known {
		lease.until = s.storeNow() + lease.ttl
	}
	return known
}

// claim applies the claim transaction of pkg/ownership.
func (s *sim) claim(c simClaim) *simRecord {
	last := int64(0)
	if s.store.last != nil {
		last = s.store.last.revision
	}
	entry := s.store.members[c.record.owner.Host]
	_, leased := s.store.leases[c.record.lease]
	if s.store.shard == nil && last == c.lastOwnerRev && entry != nil && entry.revision == c.memberRev && leased {
		s.store.revision++
		record := c.record
		record.revision = s.store.revision
		s.store.shard, s.store.last = &record, &record
	}
	return s.store.shard
}

// release deletes both records if there was no claim after revision.
func (s *sim) release(revision int64) {
	if s.store.last != nil && s.store.last.revision == revision {
		s.store.revision++
		s.store.shard, s.store.last = nil, nil
	}
}

// call executes op on the store for h and passes the result to then; the request and the response may be lost.
func call[R any](h *simHost, op func() R, then func(R)) {
	s := h.sim
	if s.storeCut[h.index] {
		return
	}
	s.schedule(s.delay(), func() {
		if s.storeDown {
			return
		}
		result := op()
		if s.storeCut[h.index] || s.delays && s.rng.IntN(20) == 0 {
			return // the response is lost after op took effect
		}
		process := h.process
		s.schedule(s.delay(), func() { h.deliver(process, func() { then(result) }) })
	})
}

// requireOneOwner fails the test if two hosts were valid owners at the same time.
func (s *sim) requireOneOwner(t rapid.TB) {
	t.Helper()
	if s.twoOwners != "" {
		t.Fatalf("two valid owners: %s", s.twoOwners)
	}
}
