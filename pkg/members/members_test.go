package members

import (
	"context"
	"slices"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"fulmarcourse.example/core/membership"
	"fulmarcourse.example/core/ownership"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/api/peerpb"
)

// network connects services in memory, by address.
type network struct {
	now     time.Time
	hosts   map[string]*host
	cut     map[[2]string]bool // calls from one address to another fail
	refused map[string]bool
}

// host is one Service with fakes for its dependencies, which record the calls of the service.
type host struct {
	*Service
	net            *network
	addr           string
	mayClaim       bool
	revision       int64
	digests        []structs.ShardDigest
	newerRevisions []int64
	promised       []ownership.Promise
	acked          []uint64
	left           []membership.Process
	died           []membership.Process
	diedAt         time.Time
	sent           []*peerpb.HeartbeatRequest
	modifyReply    func(reply *peerpb.HeartbeatReply) // changes replies that the host receives
}

func newNetwork() *network {
	return &network{
		now: time.Date(2024, 1, 1, 0, 0, 0, 0, time.UTC), hosts: make(map[string]*host),
		cut: make(map[[2]string]bool), refused: make(map[string]bool),
	}
}

func (n *network) clock() time.Time { return n.now }

// start runs a process on host id at the address "addr-" + id.
func (n *network) start(t *testing.T, id, incarnation string, dc structs.DatacentreID) *host {
	t.Helper()
	h := &host{net: n, addr: "addr-" + id, mayClaim: true}
	service, err := NewService(Config{
		Self:   structs.MemberRecord{Host: structs.HostID(id), Incarnation: incarnation, Datacentre: dc, PeerAddr: h.addr},
		Dialer: h, Control: h, Promises: h, Clock: n.clock,
		Addresses:      []func() []string{func() []string { return []string{"addr-a", "addr-b"} }},
		LocalDigests:   func() []structs.ShardDigest { return h.digests },
		OnNewerControl: func(_ string, revision int64) { h.newerRevisions = append(h.newerRevisions, revision) },
	})
	if err != nil {
		t.Fatal(err)
	}
	h.Service = service
	n.hosts[h.addr] = h
	return h
}

// run advances the clock by d and makes all hosts send their heartbeats, one after the other.
func (n *network) run(d time.Duration) {
	for range d / membership.LocalInterval {
		n.now = n.now.Add(membership.LocalInterval)
		for _, addr := range []string{"addr-a", "addr-b"} {
			if h := n.hosts[addr]; h != nil {
				h.Tick(context.Background())
				h.calls.Wait()
			}
		}
	}
}

func (h *host) Conn(addr string) (grpc.ClientConnInterface, error) { return &fakeConn{h, addr}, nil }
func (h *host) Reset(string)                                       {}
func (h *host) Refused(_ context.Context, addr string) bool        { return h.net.refused[addr] }
func (h *host) ControlRevision() (int64, time.Time)                { return h.revision, h.net.now }
func (h *host) RemovalAttempted() bool                             { return false }
func (h *host) MayClaim() bool                                     { return h.mayClaim }
func (h *host) RecordPromise(p ownership.Promise)                  { h.promised = append(h.promised, p) }
func (h *host) MemberLeft(p membership.Process, _ time.Time)       { h.left = append(h.left, p) }
func (h *host) Promise(membership.Process, uint64) (time.Duration, bool) {
	return 3 * time.Second, h.mayClaim
}
func (h *host) MemberDied(p membership.Process, at time.Time) {
	h.died, h.diedAt = append(h.died, p), at
}
func (h *host) Acknowledge(_ membership.Process, sequence uint64) {
	if sequence != 0 {
		h.acked = append(h.acked, sequence)
	}
}

// fakeConn is an in-memory connection of a host to an address.
type fakeConn struct {
	from *host
	to   string
}

func (w *fakeConn) Invoke(ctx context.Context, _ string, args, reply any, _ ...grpc.CallOption) error {
	peer := w.from.net.hosts[w.to]
	if peer == nil || w.from.net.cut[[2]string{w.from.addr, w.to}] {
		return status.Error(codes.Unavailable, "cut")
	}
	w.from.sent = append(w.from.sent, args.(*peerpb.HeartbeatRequest))
	answer, err := peer.Heartbeat(ctx, args.(*peerpb.HeartbeatRequest))
	if err != nil {
		return err
	}
	if w.from.modifyReply != nil {
		w.from.modifyReply(answer)
	}
	out := reply.(*peerpb.HeartbeatReply)
	out.Receiver, out.EchoedSequence, out.PromiseMs = answer.Receiver, answer.EchoedSequence, answer.PromiseMs
	return nil
}

func (w *fakeConn) NewStream(context.Context, *grpc.StreamDesc, string, ...grpc.CallOption) (grpc.ClientStream, error) {
	panic("heartbeats use no streams")
}

func (h *host) requireLive(t *testing.T, want ...structs.HostID) {
	t.Helper()
	var got []structs.HostID
	for _, m := range h.Live("d1") {
		got = append(got, m.Host)
	}
	slices.Sort(got)
	if !slices.Equal(got, want) {
		t.Fatalf("%s sees %v live, want %v", h.self, got, want)
	}
}

// Guards against a peer that counts as live during a one-way partition, and against one that does not recover.
func TestOneWayPartition(t *testing.T) {
	n := newNetwork()
	a, b := n.start(t, "a", "1", "d1"), n.start(t, "b", "1", "d1")
	n.run(2 * time.Second)
	a.requireLive(t, "a", "b")
	b.requireLive(t, "a", "b")
	n.cut[[2]string{"addr-a", "addr-b"}] = true
	n.run(3 * time.Second)
	a.requireLive(t, "a")
	b.requireLive(t, "b")
	n.cut = make(map[[2]string]bool)
	n.run(time.Second)
	a.requireLive(t, "a", "b")
	b.requireLive(t, "a", "b")
}

// Guards against an acknowledgement without a recorded promise, and against a restarted peer that accepts the
// acknowledgement meant for its predecessor.
func TestEchoAcknowledgesOnlyRecordedPromises(t *testing.T) {
	n := newNetwork()
	a, b := n.start(t, "a", "1", "d1"), n.start(t, "b", "1", "d1")
	a.modifyReply = func(reply *peerpb.HeartbeatReply) { reply.PromiseMs = 0 }
	n.run(2 * time.Second)
	if len(a.promised) != 0 || len(b.acked) != 0 {
		t.Fatalf("recorded %v, acknowledged %v without a promise", a.promised, b.acked)
	}
	a.modifyReply = nil
	n.run(2 * time.Second)
	if len(a.promised) == 0 || !a.promised[0].SentAt.Equal(a.promised[0].ReceivedAt) || len(b.acked) == 0 {
		t.Fatalf("recorded %v, acknowledged %v", a.promised, b.acked)
	}
	restarted := n.start(t, "b", "2", "d1")
	restarted.mayClaim = false
	n.run(2 * time.Second)
	if len(restarted.acked) != 0 {
		t.Fatalf("the restarted process accepted the acknowledgements %v of its predecessor", restarted.acked)
	}
}

// Guards against a previous process that still counts as a member after a restart of its host.
func TestRestartProvesTheFormerProcessDead(t *testing.T) {
	n := newNetwork()
	a, former := n.start(t, "a", "1", "d1"), n.start(t, "b", "1", "d1")
	n.run(2 * time.Second)
	n.start(t, "b", "2", "d1")
	n.run(time.Second)
	if !slices.Contains(a.died, former.self) {
		t.Fatalf("proved dead: %v", a.died)
	}
	late := &peerpb.HeartbeatRequest{Sender: former.ownState(n.now)}
	late.Sender.Sequence = 1000
	reply, err := a.Heartbeat(context.Background(), late)
	if err != nil || reply.GetPromiseMs() != 0 {
		t.Fatalf("promise of %d ms to the former process, err %v", reply.GetPromiseMs(), err)
	}
}

// Guards against silence that counts as proof of death, and against refused connections that do not, or that date the
// death later than the first refusal.
func TestRefusedConnectionsProveDeath(t *testing.T) {
	n := newNetwork()
	a, b := n.start(t, "a", "1", "d1"), n.start(t, "b", "1", "d1")
	n.run(2 * time.Second)
	delete(n.hosts, b.addr)
	n.run(2 * time.Second)
	if len(a.died) != 0 {
		t.Fatalf("proved dead by silence: %v", a.died)
	}
	n.refused[b.addr] = true
	first := n.now.Add(membership.LocalInterval)
	n.run(5 * time.Second)
	if !slices.Equal(a.died, []membership.Process{b.self}) || !a.diedAt.Equal(first) {
		t.Fatalf("proved dead: %v since %v, want %v", a.died, a.diedAt, first)
	}
}

// Guards against a leaving host that still receives work, and against one whose promise is still required after it has
// withdrawn from claiming.
func TestLeavingHost(t *testing.T) {
	n := newNetwork()
	a, b := n.start(t, "a", "1", "d1"), n.start(t, "b", "1", "d1")
	n.run(2 * time.Second)
	b.mayClaim = false
	n.run(time.Second)
	// A message that states that the peer may not claim may have been in transit while the peer registered.
	if len(a.left) != 0 {
		t.Fatal("a peer that is not registered but not leaving was recorded as withdrawn from claiming")
	}
	b.SetLeaving()
	n.run(time.Second)
	a.requireLive(t, "a")
	b.requireLive(t, "a")
	if !slices.Contains(a.left, b.self) {
		t.Fatal("the withdrawal from claiming was not recorded")
	}
}

// Guards against promises across data centres, which would make ownership depend on the links between them.
func TestNoPromisesAcrossDatacentres(t *testing.T) {
	n := newNetwork()
	a := n.start(t, "a", "1", "d1")
	n.start(t, "b", "1", "d2")
	n.run(3 * time.Second)
	if peers := a.Peers(); len(peers) != 1 || peers[0].State != membership.Live || len(a.promised) != 0 {
		t.Fatalf("peers %+v, promises %v", peers, a.promised)
	}
	if got := len(a.sent); got != 3 {
		t.Fatalf("%d heartbeats in 3 s to another data centre, want one a second", got)
	}
}

// Guards against digests that are lost, outlive their owner or come from a former owner, and against newer control
// state of a peer that is not reported to OnNewerControl.
func TestDigestsAndNewerControl(t *testing.T) {
	n := newNetwork()
	a, b := n.start(t, "a", "1", "d1"), n.start(t, "b", "1", "d1")
	digest := structs.ShardDigest{
		Shard: structs.ShardID{Datacentre: "d1", Index: 1}, Epoch: 7, Pending: 2, Free: structs.Resources{MilliCPU: 5},
		FreeSlots: map[structs.ServiceName]int{"quotes": 3}, Slots: map[structs.ServiceName]int{"quotes": 8},
		Queued: map[structs.ServiceName]int{"quotes": 1},
	}
	b.digests, b.revision = []structs.ShardDigest{digest}, 9
	n.run(time.Second)
	views := a.Digests()
	if len(views) != 1 || views[0].Owner != "b" || views[0].PeerAddr != "addr-b" || views[0].Digest.Epoch != 7 ||
		views[0].Digest.FreeSlots["quotes"] != 3 || views[0].Digest.Slots["quotes"] != 8 || views[0].Digest.Pending != 2 {
		t.Fatalf("digests %+v", views)
	}
	if len(a.newerRevisions) == 0 || a.newerRevisions[0] != 9 || a.MemberRevisions()["b"] != 9 {
		t.Fatalf("newer control revisions %v, member revisions %v", a.newerRevisions, a.MemberRevisions())
	}
	delete(n.hosts, b.addr)
	n.run(DigestTTL + time.Second)
	if views := a.Digests(); len(views) != 0 {
		t.Fatalf("digests of a silent owner %+v", views)
	}
}

// Guards against messages without a complete sender, and against replies to other heartbeats.
func TestMalformedMessagesAreRejected(t *testing.T) {
	n := newNetwork()
	a := n.start(t, "a", "1", "d1")
	n.start(t, "b", "1", "d1")
	_, err := a.Heartbeat(context.Background(), &peerpb.HeartbeatRequest{Sender: &peerpb.MemberState{Host: "x"}})
	if status.Code(err) != codes.InvalidArgument {
		t.Fatalf("heartbeat without an incarnation: %v", err)
	}
	a.modifyReply = func(reply *peerpb.HeartbeatReply) { reply.EchoedSequence-- }
	n.run(2 * time.Second)
	a.requireLive(t, "a")
	if len(a.promised) != 0 {
		t.Fatal("the promise in a reply to another heartbeat was recorded")
	}
}
