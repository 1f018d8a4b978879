package ownership

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/membership"
	"fulmarcourse.example/core/ownership"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/members"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

var (
	shard0 = structs.ShardID{Datacentre: "d1", Index: 0}
	keys1  = newKeys("trial")
)

// cluster runs services on one manual clock.
type cluster struct {
	t      *testing.T
	store  *fakeStore
	hosts  []*host
	starts int

	mu  sync.Mutex
	now time.Time
}

// host is one process with its service.
type host struct {
	*Service
	cluster  *cluster
	book     *Book
	link     *link
	paused   bool // takes no step
	silent   bool // exchanges no heartbeat
	refuses  bool // its address refuses connections
	sequence uint64
	echo     map[structs.HostID]uint64

	mu     sync.Mutex
	events []string
	onLost func()
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, now: time.Date(2024, 1, 1, 0, 0, 0, 0, time.UTC)}
	c.store = newFakeStore(c.clock)
	return c
}

func (c *cluster) clock() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *cluster) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// start adds a process of host id.
func (c *cluster) start(id structs.HostID) *host {
	c.t.Helper()
	c.starts++
	self := structs.MemberRecord{
		Host: id, Incarnation: fmt.Sprintf("%04d", c.starts), Datacentre: "d1", PeerAddr: "addr-" + string(id),
	}
	h := &host{
		cluster: c, link: &link{store: c.store}, echo: make(map[structs.HostID]uint64),
		book: NewBook(membership.Process{Host: id, Incarnation: self.Incarnation}, ownership.DefaultLimits(), c.clock),
	}
	service, err := NewService(Config{
		Self: self, Environment: "trial", Shards: func() int { return 1 }, Store: h.link, Book: h.book, Members: h,
		Prober: h, Clock: c.clock,
		OnAcquired: func(shard structs.ShardID, _ structs.Epoch) { h.note("acquired " + shard.String()) },
		OnLost: func(shard structs.ShardID) {
			h.note("lost " + shard.String())
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

// stop ends a process without a release; nothing of it runs any more.
func (c *cluster) stop(h *host) {
	c.hosts = slices.DeleteFunc(c.hosts, func(other *host) bool { return other == h })
}

// run lets all hosts take their steps for d.
func (c *cluster) run(d time.Duration) {
	ctx := context.Background()
	for range d / ReconcileInterval {
		c.advance(ReconcileInterval)
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

// heartbeats asks every other host for a promise.
func (h *host) heartbeats() {
	for _, peer := range h.cluster.hosts {
		if peer == h || peer.paused || peer.silent || h.silent {
			continue
		}
		peer.book.Acknowledge(h.self, h.echo[peer.self.Host])
		peer.sequence++
		ttl, mayClaim := peer.book.Promise(h.self, peer.sequence)
		if ttl > 0 && mayClaim {
			now := h.cluster.clock()
			h.book.RecordPromise(ownership.Promise{From: peer.self, SentAt: now, ReceivedAt: now, TTL: ttl})
			h.echo[peer.self.Host] = peer.sequence
		}
	}
}

// Live and Peers make host the Members of its service: it sees every host that runs.
func (h *host) Live(structs.DatacentreID) []members.Member {
	var live []members.Member
	for _, peer := range h.cluster.hosts {
		if !peer.paused && !peer.silent || peer == h {
			live = append(live, members.Member{Member: membership.Member{
				Report: membership.Report{Process: peer.self, PeerAddr: peer.cfg.Self.PeerAddr, MayClaim: peer.book.MayClaim()},
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

func (h *host) note(event string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, event)
}

// requireEvents fails unless the callbacks so far were want.
func (h *host) requireEvents(want ...string) {
	h.cluster.t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
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
		c.t.Fatal("no owner after the start")
	}
	return a, b
}

// Guards against claims that are not backed by a record whose create revision is the epoch.
func TestClaimMakesTheRecordsOfTheEpoch(t *testing.T) {
	c := newCluster(t)
	a, b := c.pair()
	epoch, until, err := a.ValidUntil(shard0)
	record, last := c.store.entries[keys1.shard(shard0)], c.store.entries[keys1.lastOwner(shard0)]
	if err != nil || record.CreateRevision != int64(epoch) || last.ModRevision != int64(epoch) || record.Lease == 0 || last.Lease != 0 {
		t.Fatalf("epoch %d, err %v, record %+v, last owner %+v", epoch, err, record, last)
	}
	if want := c.clock().Add(3300 * time.Millisecond); !until.Equal(want) {
		t.Fatalf("valid until %v, want %v", until, want)
	}
	if _, err := b.Valid(shard0); !errors.Is(err, ownership.ErrNotOwner) {
		t.Fatalf("other host: %v", err)
	}
	a.requireEvents("acquired d1/0")
	b.requireEvents()
}

// Guards against a paused owner that acts on its old ownership after it resumes, and against lost takeovers.
func TestPausedOwnerFindsItselfExpired(t *testing.T) {
	c := newCluster(t)
	a, b := c.pair()
	old, _ := a.Valid(shard0)
	a.paused = true
	c.run(10 * time.Second)
	if epoch, err := b.Valid(shard0); err != nil || epoch <= old {
		t.Fatalf("successor has epoch %d after %d, err %v", epoch, old, err)
	}
	if _, err := a.Valid(shard0); !errors.Is(err, ownership.ErrExpired) {
		t.Fatalf("paused owner: %v", err)
	}
	a.paused = false
	c.run(3 * time.Second)
	a.requireEvents("acquired d1/0", "lost d1/0")
	if !b.owns() {
		t.Fatal("the successor lost the shard when the former owner resumed")
	}
}

// Guards against the end of service in a store outage, and against ownership without promises.
func TestStoreOutage(t *testing.T) {
	for _, silent := range []bool{false, true} {
		c := newCluster(t)
		a, b := c.pair()
		a.link.setDown(true)
		b.link.setDown(true)
		b.silent = silent
		c.run(30 * time.Second)
		if a.owns() == silent {
			t.Fatalf("other member silent %v: owner is valid %v", silent, a.owns())
		}
		a.link.setDown(false)
		b.link.setDown(false)
		b.silent = false
		c.run(15 * time.Second)
		if !a.owns() && !b.owns() {
			t.Fatalf("other member silent %v: no owner after the outage", silent)
		}
	}
}

// Guards against an owner that goes on under promises after the store said that its lease is gone.
func TestLeaseNotFoundEndsOwnershipAtOnce(t *testing.T) {
	c := newCluster(t)
	a, _ := c.pair()
	old, _ := a.Valid(shard0)
	lease, _ := a.book.lease()
	if err := a.link.RevokeLease(context.Background(), store.LeaseID(lease)); err != nil {
		t.Fatal(err)
	}
	a.Renew(context.Background())
	a.tasks.Wait()
	if _, err := a.Valid(shard0); !errors.Is(err, ownership.ErrNotOwner) {
		t.Fatalf("after lease not found: %v", err)
	}
	a.requireEvents("acquired d1/0", "lost d1/0")
	c.run(2 * time.Second)
	if epoch, err := a.Valid(shard0); err != nil || epoch <= old {
		t.Fatalf("claimed again with epoch %d after %d, err %v", epoch, old, err)
	}
}

// Guards against claims that are lost, doubled or taken for granted when the answer of their write is lost.
func TestUncertainClaimIsSettledByItsNonce(t *testing.T) {
	for name, faults := range map[string][]fault{
		"answer lost":             {lostAnswer},
		"request lost":            {lostRequest},
		"request, then answer":    {lostRequest, lostAnswer},
		"not sent":                {unavailable},
		"lost, then not sent":     {lostRequest, unavailable},
		"answer lost, then again": {lostAnswer, lostAnswer},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t)
			a := c.start("a")
			c.run(time.Second)
			a.link.txns = faults
			a.Reconcile(context.Background())
			c.run(5 * time.Second)
			epoch, err := a.Valid(shard0)
			if record := c.store.entries[keys1.shard(shard0)]; err != nil || record.CreateRevision != int64(epoch) {
				t.Fatalf("epoch %d, err %v, record %+v", epoch, err, record)
			}
			a.requireEvents("acquired d1/0")
		})
	}
}

// Guards against promises to the former owner while a claim may still take effect.
func TestPromisesAreWithheldWhileAClaimIsUncertain(t *testing.T) {
	c := newCluster(t)
	a, b := c.pair()
	a.link.setDown(true)
	b.link.txns = []fault{lostRequest}
	for range 40 {
		c.run(ReconcileInterval)
		if len(b.link.txns) == 0 {
			break
		}
	}
	if b.shards[shard0].pending == nil || len(b.link.txns) != 0 {
		t.Fatal("no uncertain claim")
	}
	b.link.setDown(true)
	b.Reconcile(context.Background())
	if ttl, _ := b.book.Promise(a.self, 1000); ttl != 0 {
		t.Fatalf("promised %v during an uncertain claim", ttl)
	}
	b.link.setDown(false)
	c.run(time.Second)
	if !b.owns() {
		t.Fatal("the claim was not repeated")
	}
	if ttl, _ := b.book.Promise(a.self, 1001); ttl == 0 {
		t.Fatal("no promise after the claim was settled")
	}
}

// Guards against a restarted host that waits for its own former process, or keeps its epoch.
func TestRestartWithANewIncarnation(t *testing.T) {
	c := newCluster(t)
	a := c.start("a")
	c.run(5 * time.Second)
	old, _ := a.Valid(shard0)
	c.stop(a)
	again := c.start("a")
	c.run(7 * time.Second)
	if epoch, err := again.Valid(shard0); err != nil || epoch <= old {
		t.Fatalf("epoch %d after %d, err %v", epoch, old, err)
	}
	if again.book.registration() == 0 {
		t.Fatal("the new process is not registered")
	}
	// The former process, had it only been paused, must not take the registration back.
	a.dropMemberLease(a.member.lease)
	a.Register(context.Background())
	if a.book.MayClaim() {
		t.Fatal("an older incarnation took the registration")
	}
}

// Guards against a new host that takes the shard of a sole host that is cut off, and against one that never does
// although the former owner is proved dead.
func TestNewHostNeedsProofThatTheSoleOwnerIsDead(t *testing.T) {
	c := newCluster(t)
	a := c.start("a")
	c.run(5 * time.Second)
	a.link.setDown(true)
	a.silent = true
	b := c.start("b")
	c.run(time.Hour)
	if !a.owns() || b.owns() {
		t.Fatalf("after an hour: old host owns %v, new host owns %v", a.owns(), b.owns())
	}
	if got := b.FormerAddresses(); !slices.Equal(got, []string{"addr-a"}) {
		t.Fatalf("addresses of former owners %v", got)
	}
	c.stop(a)
	b.refuses = true
	c.run(2 * time.Second)
	if !b.owns() {
		t.Fatal("not claimed within 2 s of refused connections")
	}
}

// Guards against a registration that lapsed and is still relied on for claims.
func TestLapsedRegistrationIsRenewed(t *testing.T) {
	c := newCluster(t)
	a := c.start("a")
	c.run(5 * time.Second)
	old := a.book.registration()
	a.link.setDown(true)
	c.run(MemberLeaseTTL + time.Second)
	a.link.setDown(false)
	a.Register(context.Background())
	if a.book.MayClaim() {
		t.Fatal("may claim without a registration")
	}
	c.run(2 * time.Second)
	if now := a.book.registration(); now <= old {
		t.Fatalf("registration %d after %d", now, old)
	}
}
