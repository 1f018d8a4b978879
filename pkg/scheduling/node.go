// Package scheduling implements the part of an entry host that accepts jobs and, while the host owns a partition, runs
// the partition's jobs on the platform's workers. All entry hosts have the same role: each accepts jobs and may own
// partitions.
//
// Locks: Node.mu is a leaf lock. operatorSettings.mu is taken before the locks of the owners.
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

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
	"fulmarcourse.example/fulmarcourse/api/ownerpb"
	"fulmarcourse.example/fulmarcourse/pkg/dispatch"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/incarnation"
	"fulmarcourse.example/fulmarcourse/pkg/intake"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/mirror"
	"fulmarcourse.example/fulmarcourse/pkg/pause"
	"fulmarcourse.example/fulmarcourse/pkg/peer"
	"fulmarcourse.example/fulmarcourse/pkg/registry"
	"fulmarcourse.example/fulmarcourse/pkg/relay"
	"fulmarcourse.example/fulmarcourse/pkg/relay/relaygrpc"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
	"fulmarcourse.example/fulmarcourse/pkg/term"
)

const (
	// viewWatchWait limits the duration of one watch of the ownership records. An unresponsive connection is detected
	// and replaced soon after it. The call that revokes an owner's lease has the same limit.
	viewWatchWait = 2 * time.Second
	// viewRetryDelay is the pause after a failed read or watch of the ownership records.
	viewRetryDelay = 150 * time.Millisecond
	// maxPeers is the maximum number of connections to other entry hosts. An owner has calls to all its relays in progress at
	// any time, and where hosts have slow network links or few cores that is every host.
	maxPeers = 1024
	// stopTimeout bounds the wait at shutdown for calls of other entry hosts that are in progress.
	stopTimeout = 500 * time.Millisecond
)

// Config configures a Node.
type Config struct {
	Self              term.Record // Term is not used
	Listen            string      // IP:port on which to serve other entry hosts
	Source            netip.Addr  // local address of outgoing connections
	Partitions        int
	Store             kv.Store
	Reachable         func() bool // reports whether the store has responded recently
	Configured        func() bool // reports whether this host has read the operator's configuration
	Cores             float64     // processor cores that this host may use
	LinkMbps          float64     // bandwidth of this host's network link; 0 if unknown
	Datacentre        structs.DatacentreID
	Workers           relay.Workers
	Directory         dispatch.Directory
	TaskLease         time.Duration // duration by which a poll extends the task leases of a worker
	MaxTaskLease      time.Duration // longest task lease that a worker grants
	StopTime          time.Duration // maximum time that a worker takes to stop a task
	EndsPerReport     int           // maximum number of ends of attempts in a worker's report, the earliest first; 0 if there is none
	EndedJobRetention time.Duration // how long the state of an ended job can be queried
	Log               *eventlog.Logger
	Scope             tally.Scope
}

// Node is the scheduling part of one entry host.
type Node struct {
	cfg      Config
	registry *registry.Registry
	relays   []*relay.Relay // indexed by partition
	view     *term.View
	mirror   *mirror.Mirror
	intake   *intake.Intake
	pool     *peer.Pool

	operator operatorSettings

	mu          sync.Mutex                              // guards localOwners
	localOwners map[statekeys.Partition]*dispatch.Owner // owners that run in this process
}

// NewNode returns a node. Run starts it.
func NewNode(cfg Config) *Node {
	n := &Node{
		cfg:  cfg,
		view: term.NewView(cfg.Log),
		pool: peer.NewPool(peer.PoolConfig{
			MaxConns: maxPeers, Source: cfg.Source, Metrics: cfg.Scope, OnReplaced: cfg.Log.ConnectionReplaced,
		}),
		localOwners: map[statekeys.Partition]*dispatch.Owner{},
	}
	n.registry = registry.New(registry.Config{Store: cfg.Store, Log: cfg.Log, Self: registry.Record{
		Host: cfg.Self.Host, Datacentre: cfg.Datacentre, Address: cfg.Self.Address, Incarnation: cfg.Self.Incarnation,
		Cores: cfg.Cores, LinkMbps: cfg.LinkMbps,
	}})
	workers := incarnation.Identify(cfg.Workers)
	for range cfg.Partitions {
		n.relays = append(n.relays, relay.New(relay.Config{Workers: workers, TaskLease: cfg.TaskLease, Scope: cfg.Scope}))
	}
	n.mirror = mirror.New(mirror.Config{
		Store: cfg.Store, Prefix: statekeys.Owners, Wait: viewWatchWait, Retry: viewRetryDelay, Log: cfg.Log,
		Reset: n.view.Reset, Apply: n.view.Apply,
	})
	n.intake = intake.New(intake.Config{
		Store: cfg.Store, Reachable: cfg.Reachable, View: n.view, Owners: &ownerClients{n}, Partitions: cfg.Partitions, Log: cfg.Log,
	})
	return n
}

// Intake returns the service that accepts jobs from callers.
func (n *Node) Intake() *intake.Intake { return n.intake }

// SetEvacuated sets the data centres in which no task may be started.
func (n *Node) SetEvacuated(datacentres []structs.DatacentreID) { n.operator.setEvacuated(datacentres) }

// SetQueuePools sets the pools to which the operator's configuration sends the tasks of all queues.
func (n *Node) SetQueuePools(pools map[workload.QueueName]schedule.QueuePool) {
	n.operator.setQueuePools(pools)
}

// Run campaigns for partitions and runs their owners until owningCtx ends, and then releases them. It serves other
// entry hosts until ctx ends, which must not be before owningCtx ends.
func (n *Node) Run(ctx, owningCtx context.Context) error {
	listener, err := net.Listen("tcp", n.cfg.Listen)
	if err != nil {
		return errors.Annotatef(err, "listen on %s", n.cfg.Listen)
	}
	server := peer.NewServer(peer.ServerConfig{
		Host: n.cfg.Self.Host,
		Register: func(r grpc.ServiceRegistrar) {
			ownerpb.RegisterOwnerServer(r, &ownerServer{node: n})
			ownerpb.RegisterRelayServer(r, relaygrpc.NewServer(n.relayOf))
		},
		OnPanic: n.cfg.Log.CallPanicked,
	})
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	var wg sync.WaitGroup
	wg.Go(func() { n.mirror.Run(ctx) })
	wg.Go(func() { n.registry.Run(owningCtx) })
	for p := range n.cfg.Partitions {
		wg.Go(func() { n.campaign(owningCtx, statekeys.Partition(p)) })
		wg.Go(func() { n.watchOwner(owningCtx, statekeys.Partition(p)) })
	}
	select {
	case <-ctx.Done():
	case err = <-serveErr:
	}
	wg.Wait()
	stop, cancel := context.WithTimeout(context.Background(), stopTimeout)
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

// campaign acquires a partition whenever it has no owner and runs its owner, until ctx ends.
func (n *Node) campaign(ctx context.Context, p statekeys.Partition) {
	candidate := term.NewCandidate(term.Config{
		Store: n.cfg.Store, Partition: p, Self: n.cfg.Self, Cores: n.cfg.Cores, Log: n.cfg.Log,
	}, n.view)
	n.awaitConfiguration(ctx)
	for ctx.Err() == nil {
		ownership, err := candidate.Acquire(ctx)
		if err != nil {
			return // ctx has ended
		}
		n.runOwner(ctx, p, ownership)
	}
}

// maxConfigurationWait is how long a starting host waits for the operator's configuration before it campaigns. Existing
// jobs need an owner even if the configuration cannot be read.
const maxConfigurationWait = 3 * time.Second

// awaitConfiguration waits until this host has the operator's configuration. Reading it may fill a slow network link, on
// which the renewals of an owner and its reading of the partition would be late.
func (n *Node) awaitConfiguration(ctx context.Context) {
	for end := time.Now().Add(maxConfigurationWait); !n.cfg.Configured() && time.Now().Before(end) && ctx.Err() == nil; {
		pause.For(ctx, viewRetryDelay)
	}
}

// runOwner runs the owner of a partition until ctx ends or the ownership is lost.
func (n *Node) runOwner(ctx context.Context, p statekeys.Partition, ownership *term.Ownership) {
	owner := dispatch.NewOwner(dispatch.Config{
		Partition: p, Host: n.cfg.Self.Host, Store: n.cfg.Store, Relays: &relayHosts{n, p}, Directory: n.cfg.Directory,
		TaskLease: n.cfg.TaskLease, MaxTaskLease: n.cfg.MaxTaskLease, StopTime: n.cfg.StopTime, EndedJobRetention: n.cfg.EndedJobRetention,
		EndsPerReport: n.cfg.EndsPerReport, Log: n.cfg.Log, Scope: n.cfg.Scope,
	}, ownership)
	n.mu.Lock()
	n.localOwners[p] = owner
	n.mu.Unlock()
	n.operator.add(owner)
	defer n.operator.remove(owner)
	ownerCtx, stop := context.WithCancel(ctx)
	go n.registry.Follow(ownerCtx)
	go n.handOver(ownerCtx, p, owner, stop)
	owner.Run(ownerCtx)
	released := ownerCtx.Err() != nil // else the ownership was lost
	stop()
	n.mu.Lock()
	delete(n.localOwners, p)
	n.mu.Unlock()
	if released {
		ownership.Release(context.Background())
	}
	if released && ctx.Err() == nil {
		pause.For(ctx, handOverPause)
	}
}

const (
	// handOverCheck is the time between two checks whether a stronger host should own a partition.
	handOverCheck = time.Second
	// handOverPause is how long this host does not campaign after it has handed a partition over.
	handOverPause = time.Second
)

// handOver stops an owner once a much stronger host is there to take over, until ctx ends. After the strongest hosts have
// failed together, a weak one may own the partition, which would delay all jobs for good. The owner sends nothing more
// when its record is released, and the candidates on the strongest hosts come first.
func (n *Node) handOver(ctx context.Context, p statekeys.Partition, owner *dispatch.Owner, stop context.CancelFunc) {
	for ctx.Err() == nil {
		pause.For(ctx, handOverCheck)
		if host, found := owner.StrongerHost(n.cfg.Cores); found && ctx.Err() == nil {
			n.cfg.Log.Event(eventlog.OwnerHandedOver).Int("partition", int(p)).Int64("term", owner.Term()).
				Str("stronger", host).Float64("cores", n.cfg.Cores).Msg("")
			stop()
		}
	}
}

// ownerOf returns the owner of a partition if it runs in this process in the given term, and nil otherwise.
func (n *Node) ownerOf(p statekeys.Partition, termNumber int64) *dispatch.Owner {
	n.mu.Lock()
	defer n.mu.Unlock()
	if owner := n.localOwners[p]; owner != nil && owner.Term() == termNumber {
		return owner
	}
	return nil
}
