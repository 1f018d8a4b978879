package node

import (
	"context"
	"net"
	"sync"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/api/peerpb"
	"fulmarcourse.example/fulmarcourse/pkg/control"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/httpapi"
	"fulmarcourse.example/fulmarcourse/pkg/jobs"
	"fulmarcourse.example/fulmarcourse/pkg/members"
	"fulmarcourse.example/fulmarcourse/pkg/ownership"
	"fulmarcourse.example/fulmarcourse/pkg/peer"
	"fulmarcourse.example/fulmarcourse/pkg/requests"
	"fulmarcourse.example/fulmarcourse/pkg/shard"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// Node is one entry host.
type Node struct {
	cfg       Config
	self      structs.MemberRecord
	store     *store.Client
	hosts     *hostTable
	pool      *peer.Pool
	listener  net.Listener
	grpc      *peer.Server
	control   *control.Service
	members   *members.Service
	ownership *ownership.Service
	manager   *shard.Manager
	pools     *slotPools
	directory *directory
	jobs      *jobs.Service
	waiter    *jobs.Waiter
	rescuer   *jobs.Rescuer
	dispatch  *requests.PeerDispatcher
	requests  *requests.Service
	http      *httpapi.Server

	firstReady sync.Once // logs that the host became ready for the first time

	mu      sync.Mutex // guards leaving
	leaving bool       // the shutdown has begun
}

// NewNode creates an entry host and opens its listeners. Run starts to serve.
func NewNode(cfg Config) (*Node, error) {
	if cfg.TaskHorizon == 0 {
		cfg.TaskHorizon = shard.TaskHorizon
	}
	n := &Node{cfg: cfg}
	var err error
	if n.listener, err = net.Listen("tcp", cfg.PeerListen); err != nil {
		return nil, errors.Annotate(err, "listening for peers")
	}
	n.self = structs.MemberRecord{
		Host:        cfg.Host,
		Incarnation: newIncarnation(cfg.Clock),
		Datacentre:  cfg.Datacentre,
		PeerAddr:    cfg.PeerAddress,
	}
	if n.self.PeerAddr == "" {
		n.self.PeerAddr = n.listener.Addr().String()
	}
	n.buildPlatform()
	n.buildControl()
	if err := n.buildMembership(); err != nil {
		return nil, errors.Trace(err)
	}
	n.buildShards()
	if err := n.buildRequests(); err != nil {
		return nil, errors.Trace(err)
	}
	n.grpc = peer.NewServer(peer.ServerConfig{Register: n.registerServices, OnPanic: n.cfg.Log.CallPanicked})
	return n, nil
}

// HTTPAddr returns the address for callers and operators.
func (n *Node) HTTPAddr() string { return n.http.Addr() }

func (n *Node) peerMembers() []members.Member { return n.members.Peers() }

// localDigests returns the digests of the owned shards, with the slot counts of the pools and the task counts of the
// shard loops.
func (n *Node) localDigests() []structs.ShardDigest {
	batch := map[structs.ShardID]structs.ShardDigest{}
	for _, d := range n.manager.Digests() {
		batch[d.Shard] = d
	}
	var digests []structs.ShardDigest
	for id, pool := range n.pools.snapshot() {
		if _, err := n.ownership.Valid(id); err != nil {
			continue
		}
		digest := pool.Digest()
		digest.Free, digest.Largest, digest.Pending = batch[id].Free, batch[id].Largest, batch[id].Pending
		digests = append(digests, digest)
	}
	return digests
}

// checkOwnership returns nil if this host currently owns the shard in the given epoch.
func (n *Node) checkOwnership(id structs.ShardID, epoch structs.Epoch) error {
	current, err := n.ownership.Valid(id)
	if err != nil {
		return err
	}
	if current != epoch {
		return errors.Errorf("shard %s is owned under epoch %d, not %d", id, current, epoch)
	}
	return nil
}

// shardAcquired starts the work on a shard. The ownership service calls it.
func (n *Node) shardAcquired(id structs.ShardID, epoch structs.Epoch) {
	n.pools.open(id, epoch)
	n.manager.Acquired(id, epoch)
}

// shardLost stops the work on a shard and waits for its end. The ownership service calls it.
func (n *Node) shardLost(id structs.ShardID) {
	var wait sync.WaitGroup
	wait.Go(func() { n.pools.close(id) })
	wait.Go(func() { n.manager.Lost(id) })
	wait.Wait()
}

// fetchControl fetches newer control state from a peer in the background. The membership service calls it.
func (n *Node) fetchControl(peerAddr string, _ int64) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), controlFetchTimeout)
		defer cancel()
		conn, err := n.pool.Conn(peerAddr)
		if err != nil {
			return
		}
		after := n.control.Confirmation().Revision
		sentAt := n.cfg.Clock()
		reply, err := peerpb.NewControlClient(conn).FetchControl(ctx, &peerpb.FetchControlRequest{AfterRevision: after})
		if err == nil {
			n.control.IngestAfter(reply, sentAt, after)
		}
	}()
}

// ready returns nil if the host has an environment document and is not shutting down.
func (n *Node) ready() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leaving {
		return errors.New("shutting down")
	}
	if _, _, ok := n.control.Document(); !ok {
		return errors.New("no environment document yet")
	}
	n.firstReady.Do(func() { n.cfg.Log.Event(eventlog.NodeReady).Msg("") })
	return nil
}
