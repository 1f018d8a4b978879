package ownership

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"fulmarcourse.example/core/membership"
	"fulmarcourse.example/core/ownership"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/members"
	"fulmarcourse.example/fulmarcourse/pkg/store/storetest"
)

var (
	shard0   = structs.ShardID{Datacentre: "d1", Index: 0}
	testKeys = newKeys("trial")
)

type fault = storetest.Fault

const (
	unavailable  = storetest.Unavailable
	lostResponse = storetest.LostResponse
	lostRequest  = storetest.LostRequest
)

// cluster runs services on one manual clock. Steps run sequentially, so no lock is needed.
type cluster struct {
	t      *testing.T
	store  *storetest.Store
	hosts  []*host
	starts int
	now    time.Time
}

// host is one process with its Service. It implements Members and Prober for that service.
type host struct {
	*Service
	cluster      *cluster
	processState *ProcessState
	link         *storetest.Store
	paused       bool // runs no steps
	silent       bool // exchanges no heartbeats
	refuses      bool // its Prober reports refused connections
	sequence     uint64
	echo         map[structs.HostID]uint64
	events       []string
	onLost       func()
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, now: time.Date(2024, 1, 1, 0, 0, 0, 0, time.UTC)}
	c.store = storetest.NewStore(storetest.Config{Clock: c.clock})
	return c
}

func (c *cluster) clock() time.Time { return c.now }

// start adds a process on host id.
func (c *cluster) start(id structs.HostID) *host {
	c.t.Helper()
	c.starts++
	self := structs.MemberRecord{
		Host: id, Incarnation: fmt.Sprintf("%04d", c.starts), Datacentre: "d1", PeerAddr: "addr-" + string(id),
	}
	h := &host{
		cluster: c, link: c.store.Connect(), echo: make(map[structs.HostID]uint64),
		processState: NewProcessState(membership.Process{Host: id, Incarnation: self.Incarnation}, ownership.DefaultLimits(), c.clock),
	}
	service, err := NewService(Config{
		Self: self, Environment: "trial", Shards: func() int { return 1 }, Store: h.link, State: h.processState, Members: h,
		Prober: h, Clock: c.clock,
		OnAcquired: func(shard structs.ShardID, _ structs.Epoch) { h.recordEvent("acquired " + shard.String()) },
		OnLost: func(shard structs.ShardID) {
			h.recordEvent("lost " + shard.String())
			if h.onLost != nil {
				h.onLost()
			}
		},
	})
	if err != nil {
		c.t.Fatal(err)
	}
	h.Service = service
	c.hosts = append(c.hosts, h)
	return h
}

// stop ends a process without a release; it runs no further steps.
func (c *cluster) stop(h *host) {
	c.hosts = slices.DeleteFunc(c.hosts, func(other *host) bool { return other == h })
}

// run advances the clock by d and runs the steps of all hosts.
func (c *cluster) run(d time.Duration) {
	ctx := context.Background()
	for range d / ReconcileInterval {
		c.now = c.now.Add(ReconcileInterval)
		for _, h := range c.hosts {
			if h.paused {
				continue
			}
			h.Renew(ctx)
			h.Register(ctx)
			h.heartbeats()
			h.Reconcile(ctx)
			h.Check()
			h.tasks.Wait()
		}
		c.requireOneOwner()
	}
}

func (c *cluster) requireOneOwner() {
	c.t.Helper()
	valid := 0
	for _, h := range c.hosts {
		if _, err := h.Valid(shard0); err == nil {
			valid++
		}
	}
	if valid > 1 {
		c.t.Fatal("two hosts own the shard")
	}
}

// heartbeats exchanges heartbeats with all other hosts and records their promises.
func (h *host) heartbeats() {
	for _, peer := range h.cluster.hosts {
		if peer == h || peer.paused || peer.silent || h.silent {
			continue
		}
		peer.processState.Acknowledge(h.self, h.echo[peer.self.Host])
		peer.sequence++
		ttl, mayClaim := peer.processState.Promise(h.self, peer.sequence)
		if ttl > 0 && mayClaim {
			now := h.cluster.clock()
			h.processState.RecordPromise(ownership.Promise{From: peer.self, SentAt: now, ReceivedAt: now, TTL: ttl})
			h.echo[peer.self.Host] = peer.sequence
		}
	}
}

// Live returns every host that is neither paused nor silent, and this one.
func (h *host) Live(structs.DatacentreID) []members.Member {
	var live []members.Member
	for _, peer := range h.cluster.hosts {
		if !peer.paused && !peer.silent || peer == h {
			live = append(live, members.Member{Member: membership.Member{
				Report: membership.Report{Process: peer.self, PeerAddr: peer.cfg.Self.PeerAddr, MayClaim: peer.processState.MayClaim()},
				State:  membership.Live,
			}})
		}
	}
	return live
}

func (h *host) Peers() []members.Member {
	return slices.DeleteFunc(h.Live("d1"), func(m members.Member) bool { return m.Process == h.self })
}

func (h *host) Refused(context.Context, string) bool { return h.refuses }

func (h *host) recordEvent(event string) { h.events = append(h.events, event) }

// requireEvents fails the test unless the callbacks so far were want.
func (h *host) requireEvents(want ...string) {
	h.cluster.t.Helper()
	if !slices.Equal(h.events, want) {
		h.cluster.t.Fatalf("%s: callbacks %v, want %v", h.self, h.events, want)
	}
}

func (h *host) owns() bool {
	_, err := h.Valid(shard0)
	return err == nil
}

// pair starts two hosts and returns the owner of shard 0 first.
func (c *cluster) pair() (*host, *host) {
	c.t.Helper()
	a, b := c.start("a"), c.start("b")
	c.run(10 * time.Second)
	if b.owns() {
		a, b = b, a
	}
	if !a.owns() {
		c.t.Fatal("no owner after start-up")
	}
	return a, b
}
