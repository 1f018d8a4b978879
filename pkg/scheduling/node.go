// Package scheduling is the part of an entry host that accepts jobs and, while it owns a partition, runs them on the
// platform's workers. Entry hosts are equal: each accepts jobs, and each may own a partition.
//
// Locks: Node.mu is a leaf.
package scheduling

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/api/ownerpb"
	"fulmarcourse.example/fulmarcourse/pkg/dispatch"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/intake"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/mirror"
	"fulmarcourse.example/fulmarcourse/pkg/peer"
	"fulmarcourse.example/fulmarcourse/pkg/registry"
	"fulmarcourse.example/fulmarcourse/pkg/relay"
	"fulmarcourse.example/fulmarcourse/pkg/relay/relaygrpc"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
	"fulmarcourse.example/fulmarcourse/pkg/term"
)

const (
	// viewWait bounds a watch of the ownership records. A connection that has gone silent is replaced soon after.
	viewWait = 2 * time.Second
	// viewRetry is the pause after a failed watch.
	viewRetry = 150 * time.Millisecond
	// drainTime is left for calls of other entry hosts at the end.
	drainTime = 500 * time.Millisecond
)

// Config configures a Node.
type Config struct {
	Self       term.Record // Term is not used
	Listen     string      // IP:port for other entry hosts
	Source     netip.Addr  // local address of connections
	Partitions int
	Store      kv.Store
	Reachable  func() bool // whether the store has answered lately
	Cores      float64     // processor time that this host may use
	Datacentre structs.DatacentreID
	Workers    relay.Workers
	Directory  dispatch.Directory
	TaskLease  time.Duration
	StopTime   time.Duration // in which a worker stops a task
	KeepEnded  time.Duration // for which the state of an ended job can be asked for
	Log        *eventlog.Logger
	Scope      tally.Scope
}

// Node is one entry host.
type Node struct {
	cfg    Config
	hosts  *registry.Registry
	relays []*relay.Relay // by partition
	view   *term.View
	mirror *mirror.Mirror
	intake *intake.Intake
	pool   *peer.Pool

	mu        sync.Mutex // guards the fields below
	held      map[statekeys.Partition]*dispatch.Owner
	evacuated []structs.DatacentreID
}

// NewNode returns a node that does nothing before Run.
func NewNode(cfg Config) *Node {
	n := &Node{
		cfg:  cfg,
		view: term.NewView(cfg.Log),
		pool: peer.NewPool(peer.PoolConfig{Source: cfg.Source, Metrics: cfg.Scope}),
		held: map[statekeys.Partition]*dispatch.Owner{},
	}
	n.hosts = registry.New(registry.Config{Store: cfg.Store, Log: cfg.Log, Self: registry.Record{
		Host: cfg.Self.Host, Datacentre: cfg.Datacentre, Address: cfg.Self.Address, Incarnation: cfg.Self.Incarnation,
		Cores: cfg.Cores,
	}})
	for range cfg.Partitions {
		n.relays = append(n.relays, relay.New(relay.Config{Workers: cfg.Workers, TaskLease: cfg.TaskLease}))
	}
	n.mirror = mirror.New(mirror.Config{
		Store: cfg.Store, Prefix: statekeys.Owners, Wait: viewWait, Retry: viewRetry, Log: cfg.Log,
		Reset: n.view.Reset, Apply: n.view.Apply,
	})
	n.intake = intake.New(intake.Config{
		Store: cfg.Store, Reachable: cfg.Reachable, View: n.view, Owners: &owners{n}, Partitions: cfg.Partitions, Log: cfg.Log,
	})
	return n
}

// Intake serves callers.
func (n *Node) Intake() *intake.Intake { return n.intake }

// SetEvacuated sets the data centres in which no task may start.
func (n *Node) SetEvacuated(datacentres []structs.DatacentreID) {
	n.mu.Lock()
	n.evacuated = datacentres
	held := make([]*dispatch.Owner, 0, len(n.held))
	for _, owner := range n.held {
		held = append(held, owner)
	}
	n.mu.Unlock()
	for _, owner := range held {
		owner.SetEvacuated(datacentres)
	}
}

// Run owns partitions until owning ends, and then gives them up. It serves callers and other entry hosts until ctx ends,
// which has to be later.
func (n *Node) Run(ctx, owning context.Context) error {
	listener, err := net.Listen("tcp", n.cfg.Listen)
	if err != nil {
		return errors.Annotatef(err, "listen on %s", n.cfg.Listen)
	}
	server := peer.NewServer(peer.ServerConfig{Register: func(r grpc.ServiceRegistrar) {
		ownerpb.RegisterOwnerServer(r, &server{node: n})
		ownerpb.RegisterRelayServer(r, relaygrpc.NewServer(n.relayOf))
	}})
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	var wg sync.WaitGroup
	wg.Go(func() { n.mirror.Run(ctx) })
	wg.Go(func() { n.hosts.Run(owning) })
	for p := range n.cfg.Partitions {
		wg.Go(func() { n.campaign(owning, statekeys.Partition(p)) })
		wg.Go(func() { n.watchOwner(owning, statekeys.Partition(p)) })
	}
	select {
	case <-ctx.Done():
	case err = <-serveErr:
	}
	wg.Wait()
	stop, cancel := context.WithTimeout(context.Background(), drainTime)
	defer cancel()
	if stopErr := server.Stop(stop); stopErr != nil && err == nil {
		n.cfg.Log.Event(eventlog.LibraryInfo).Err(stopErr).Msg("peer server stopped with calls in progress")
	}
	n.pool.Close()
	for _, r := range n.relays {
		r.Close()
	}
	return errors.Trace(err)
}

// campaign owns a partition whenever it has no owner.
func (n *Node) campaign(ctx context.Context, p statekeys.Partition) {
	candidate := term.NewCandidate(term.Config{
		Store: n.cfg.Store, Partition: p, Self: n.cfg.Self, Cores: n.cfg.Cores, Log: n.cfg.Log,
	}, n.view)
	for ctx.Err() == nil {
		holding, err := candidate.Acquire(ctx)
		if err != nil {
			return // ctx has ended
		}
		n.own(ctx, p, holding)
	}
}

// own runs an owner until its ownership ends.
func (n *Node) own(ctx context.Context, p statekeys.Partition, holding *term.Ownership) {
	owner := dispatch.NewOwner(dispatch.Config{
		Partition: p, Host: n.cfg.Self.Host, Store: n.cfg.Store, Relays: &relayHosts{n, p}, Directory: n.cfg.Directory,
		TaskLease: n.cfg.TaskLease, StopTime: n.cfg.StopTime, KeepEnded: n.cfg.KeepEnded,
		Log: n.cfg.Log, Scope: n.cfg.Scope,
	}, holding)
	n.mu.Lock()
	n.held[p] = owner
	evacuated := n.evacuated
	n.mu.Unlock()
	owner.SetEvacuated(evacuated)
	follow, unfollow := context.WithCancel(ctx)
	go n.hosts.Follow(follow)
	owner.Run(ctx)
	unfollow()
	n.mu.Lock()
	delete(n.held, p)
	n.mu.Unlock()
	if ctx.Err() != nil {
		holding.Release(context.Background())
	}
}

// ownerOf returns the owner of a partition if it is held here in a term, else nil.
func (n *Node) ownerOf(p statekeys.Partition, number int64) *dispatch.Owner {
	n.mu.Lock()
	defer n.mu.Unlock()
	if owner := n.held[p]; owner != nil && owner.Term() == number {
		return owner
	}
	return nil
}
