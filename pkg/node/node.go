package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/zeromicro/go-zero/rest"
	"google.golang.org/grpc"

	"fulmarcourse.example/core/membership"
	coreownership "fulmarcourse.example/core/ownership"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/api/peerpb"
	"fulmarcourse.example/fulmarcourse/pkg/control"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/hostlist"
	"fulmarcourse.example/fulmarcourse/pkg/httpapi"
	"fulmarcourse.example/fulmarcourse/pkg/jobs"
	"fulmarcourse.example/fulmarcourse/pkg/members"
	"fulmarcourse.example/fulmarcourse/pkg/operatorapi"
	"fulmarcourse.example/fulmarcourse/pkg/ownership"
	"fulmarcourse.example/fulmarcourse/pkg/peer"
	"fulmarcourse.example/fulmarcourse/pkg/requests"
	"fulmarcourse.example/fulmarcourse/pkg/requests/keys"
	"fulmarcourse.example/fulmarcourse/pkg/runner"
	"fulmarcourse.example/fulmarcourse/pkg/shard"
	"fulmarcourse.example/fulmarcourse/pkg/slots"
	"fulmarcourse.example/fulmarcourse/pkg/store"
	"fulmarcourse.example/fulmarcourse/pkg/worker"
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
	dispatch  *requests.PeerDispatcher
	requests  *requests.Service
	http      *httpapi.Server

	mu      sync.Mutex
	leaving bool
}

// NewNode builds an entry host and listens. Run serves.
func NewNode(cfg Config) (*Node, error) {
	n := &Node{cfg: cfg}
	var err error
	if n.listener, err = net.Listen("tcp", cfg.PeerListen); err != nil {
		return nil, errors.Annotate(err, "listening for peers")
	}
	n.self = structs.MemberRecord{
		Host:        cfg.Host,
		Incarnation: uuid.NewString(),
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
	n.grpc = peer.NewServer(peer.ServerConfig{Register: n.registerServices})
	return n, nil
}

// HTTPAddr returns the address for callers and operators.
func (n *Node) HTTPAddr() string { return n.http.Addr() }

// buildPlatform makes the clients of the platform.
func (n *Node) buildPlatform() {
	n.store = store.NewClient(store.Config{
		Endpoint: n.cfg.StoreEndpoint, Source: n.cfg.SourceAddress,
		Metrics: n.cfg.Metrics.Scope, Clock: n.cfg.Clock, Log: n.cfg.Log,
	})
	list := hostlist.NewClient(hostlist.Config{
		Endpoint: n.cfg.HostListEndpoint, Source: n.cfg.SourceAddress, Metrics: n.cfg.Metrics.Scope, Log: n.cfg.Log,
	})
	n.hosts = newHostTable(list, n.cfg.ShardsPerDatacentre)
	n.pool = peer.NewPool(peer.PoolConfig{Source: n.cfg.SourceAddress, Clock: n.cfg.Clock, Metrics: n.cfg.Metrics.Scope})
}

// buildControl makes the control state service.
func (n *Node) buildControl() {
	n.control = control.NewService(control.Config{
		Host:             n.cfg.Host,
		Environment:      n.cfg.Environment,
		TrialEnvironment: n.cfg.TrialEnvironment,
		Store:            n.store,
		Peers:            peerCalls{n.peerMembers, n.pool},
		Revisions:        memberRevisions{n},
		Now:              n.cfg.Clock,
		Log:              n.cfg.Log,
		Scope:            n.cfg.Metrics.Scope,
	})
}

// memberRevisions implements control.Revisions. The membership service is made after the control service.
type memberRevisions struct{ node *Node }

// MemberRevisions implements control.Revisions.
func (m memberRevisions) MemberRevisions() map[structs.HostID]int64 {
	return m.node.members.MemberRevisions()
}

func (n *Node) peerMembers() []members.Member { return n.members.Peers() }

// buildMembership makes the heartbeat and ownership services.
func (n *Node) buildMembership() error {
	book := ownership.NewBook(
		membership.Process{Host: n.self.Host, Incarnation: n.self.Incarnation}, coreownership.DefaultLimits(), n.cfg.Clock)
	var err error
	n.members, err = members.NewService(members.Config{
		Self:     n.self,
		Dialer:   n.pool,
		Control:  controlView{n.control},
		Promises: book,
		Addresses: []func() []string{
			func() []string { return n.cfg.Peers },
			n.hosts.entryAddresses,
			func() []string { return n.ownership.RegisteredAddresses() },
			func() []string { return n.ownership.FormerAddresses() },
		},
		Hosts:          n.hosts.all,
		LocalDigests:   n.localDigests,
		OnNewerControl: n.fetchControl,
		Clock:          n.cfg.Clock,
		Log:            n.cfg.Log,
		Metrics:        n.cfg.Metrics.Scope,
	})
	if err != nil {
		return errors.Trace(err)
	}
	n.ownership, err = ownership.NewService(ownership.Config{
		Self:        n.self,
		Environment: n.cfg.Environment,
		Shards:      func() int { return n.cfg.ShardsPerDatacentre },
		Store:       n.store,
		Book:        book,
		Members:     n.members,
		Prober:      n.pool,
		OnAcquired:  n.acquired,
		OnLost:      n.lost,
		Clock:       n.cfg.Clock,
		Log:         n.cfg.Log,
		Metrics:     n.cfg.Metrics.Scope,
	})
	return errors.Trace(err)
}

// buildShards makes the services that work on owned shards.
func (n *Node) buildShards() {
	n.directory = &directory{
		self:      n.self,
		documents: n.control,
		local:     n.localDigests,
		remote:    n.members.Digests,
		clock:     n.cfg.Clock,
	}
	runners := runnerAdapter{runner.NewClient(runner.Config{Source: n.cfg.SourceAddress, Metrics: n.cfg.Metrics.Scope, Log: n.cfg.Log})}
	n.pools = newSlotPools(n.hosts, func(id structs.ShardID, epoch structs.Epoch) *slots.Pool {
		return slots.NewPool(slots.Config{
			Shard:  id,
			Epoch:  epoch,
			Runner: runners,
			Valid:  func() error { return n.owns(id, epoch) },
			Now:    n.cfg.Clock,
			Scope:  n.cfg.Metrics.Scope,
			Log:    n.cfg.Log,
		})
	})
	notify := &notifier{directory: n.directory, pool: n.pool}
	n.jobs = jobs.NewService(jobs.Config{
		Store:       n.store,
		Documents:   n.control,
		Capacity:    capacity{n.hosts},
		Shards:      n.directory,
		Notifier:    notify,
		Environment: n.cfg.Environment,
		Datacentre:  n.cfg.Datacentre,
		Clock:       n.cfg.Clock,
		Seed:        n.cfg.Seed,
		Scope:       n.cfg.Metrics.Scope,
		Log:         n.cfg.Log,
	})
	n.manager = shard.NewManager(shard.Config{
		Ownership:   n.ownership,
		Permits:     &permits{n.self, n.control, n.peerMembers, n.cfg.Clock},
		Workers:     worker.NewClient(worker.Config{Source: n.cfg.SourceAddress, Metrics: n.cfg.Metrics.Scope}),
		Records:     n.jobs,
		NewBatch:    n.newBatch(notify),
		Homes:       newHomeChooser(n.directory, n.control, n.cfg.Seed),
		Environment: environment{n},
		Policy:      n.cfg.PlacementPolicy,
		Clock:       n.cfg.Clock,
		Metrics:     n.cfg.Metrics.Scope,
		Log:         n.cfg.Log,
		Seed:        n.cfg.Seed,
	})
	notify.manager = n.manager
}

// newBatch returns the factory of job record batches.
func (n *Node) newBatch(notify jobs.Notifier) func(structs.ShardID, structs.Epoch, func(structs.JobID)) *jobs.Batch {
	return func(id structs.ShardID, epoch structs.Epoch, onCancel func(structs.JobID)) *jobs.Batch {
		return jobs.NewBatch(jobs.BatchConfig{
			Store:       n.store,
			Notifier:    notify,
			Environment: n.cfg.Environment,
			Shard:       id,
			Epoch:       epoch,
			OnCancel:    onCancel,
			Clock:       n.cfg.Clock,
			Scope:       n.cfg.Metrics.Scope,
			Log:         n.cfg.Log,
		})
	}
}

// environment implements shard.Environment.
type environment struct{ node *Node }

func (e environment) Document() (structs.Document, structs.DocumentRecord, bool) {
	return e.node.control.Document()
}

func (e environment) Datacentre(id structs.DatacentreID) structs.DatacentreState {
	return e.node.control.Datacentre(id)
}

func (e environment) Workers(id structs.ShardID) []structs.Host {
	return e.node.hosts.inShard(structs.RoleWorker, id)
}

func (e environment) TotalCapacity() structs.Resources {
	var sum structs.Resources
	for _, host := range e.node.hosts.all() {
		if host.Role == structs.RoleWorker {
			sum = sum.Add(host.Capacity)
		}
	}
	return sum
}

// slowdownTarget is the service time of a co-located runner, relative to the usual one, that batch work may cause.
const slowdownTarget = 1.5

// LatencyByMachine returns the ratio of each co-located runner's slowdown to slowdownTarget. Runners that share a
// machine with a worker belong to the worker's shard, so their answers are seen by the owner that runs the guard.
func (e environment) LatencyByMachine() map[string]float64 {
	latency := map[string]float64{}
	for id, pool := range e.node.pools.snapshot() {
		slowdowns := pool.Slowdowns()
		for _, host := range e.node.hosts.inShard(structs.RoleRunner, id) {
			if host.Machine != "" {
				latency[host.Machine] = max(latency[host.Machine], slowdowns[host.ID]/slowdownTarget)
			}
		}
	}
	return latency
}

func (e environment) StoreConfirmedAt() time.Time { return e.node.control.Confirmation().ReadAt }

// buildRequests makes the request path and the HTTP interface.
func (n *Node) buildRequests() error {
	n.dispatch = requests.NewPeerDispatcher(requests.DispatcherConfig{Pools: n.pools, Source: n.cfg.SourceAddress, Log: n.cfg.Log})
	n.requests = requests.NewService(requests.Config{
		Directory:  n.directory,
		Dispatcher: n.dispatch,
		Keys: keys.NewKeys(keys.Config{
			Store:       n.store,
			Prefix:      "/fulmarcourse/" + n.cfg.Environment + "/idempotency/",
			Host:        n.self.Host,
			Incarnation: n.self.Incarnation,
			Liveness:    liveness{n.self, n.peerMembers},
			Now:         n.cfg.Clock,
			Scope:       n.cfg.Metrics.Scope,
			Log:         n.cfg.Log,
		}),
		Now:   n.cfg.Clock,
		Scope: n.cfg.Metrics.Scope,
		Log:   n.cfg.Log,
	})
	var err error
	n.http, err = httpapi.NewServer(httpapi.Config{
		Address:   n.cfg.HTTPAddress,
		Requests:  n.requests,
		Catalogue: catalogue{n.control},
		Jobs:      jobsAPI{n.jobs, n.manager, n.directory, n.pool},
		Healthy:   func() error { return nil },
		Ready:     n.ready,
		Routes:    n.operatorRoutes(),
		Now:       n.cfg.Clock,
		Scope:     n.cfg.Metrics.Scope,
		Log:       n.cfg.Log,
	})
	return errors.Annotate(err, "listening for callers")
}

func (n *Node) operatorRoutes() []rest.Route {
	routes := operatorapi.Routes(n.control, operatorapi.Config{
		Host: n.cfg.Host, Environment: n.cfg.Environment, Now: n.cfg.Clock, Log: n.cfg.Log,
	})
	return append(routes, rest.Route{
		Method:  http.MethodGet,
		Path:    "/metrics",
		Handler: n.cfg.Metrics.Handler.ServeHTTP,
	})
}

// catalogue implements httpapi.Catalogue.
type catalogue struct{ control *control.Service }

// Kind returns a latency-critical kind of a service.
func (c catalogue) Kind(service structs.ServiceName, name structs.KindName) (structs.Kind, bool) {
	document, _, ok := c.control.Document()
	if !ok {
		return structs.Kind{}, false
	}
	kind, ok := document.Kinds[name]
	return kind, ok && kind.Service == service && kind.Class == structs.LatencyCritical
}

func (n *Node) registerServices(r grpc.ServiceRegistrar) {
	peerpb.RegisterMembershipServer(r, n.members)
	peerpb.RegisterControlServer(r, controlServer{service: n.control})
	peerpb.RegisterShardsServer(r, &shardServer{
		dispatch: requests.NewDispatchServer(requests.ServerConfig{Pools: n.pools, Now: n.cfg.Clock, Log: n.cfg.Log}),
		manager:  n.manager,
	})
}

// controlServer implements peerpb.ControlServer.
type controlServer struct {
	peerpb.UnimplementedControlServer
	service *control.Service
}

// FetchControl implements peerpb.ControlServer.
func (c controlServer) FetchControl(ctx context.Context, m *peerpb.FetchControlRequest) (*peerpb.FetchControlReply, error) {
	return c.service.FetchControl(ctx, m)
}

// localDigests joins the slot and the task side of the owned shards.
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

// owns returns nil if this host owns the shard now under epoch.
func (n *Node) owns(id structs.ShardID, epoch structs.Epoch) error {
	now, err := n.ownership.Valid(id)
	if err != nil {
		return err
	}
	if now != epoch {
		return errors.Errorf("shard %s is owned under epoch %d, not %d", id, now, epoch)
	}
	return nil
}

// acquired starts the work on a shard. Called by the ownership service.
func (n *Node) acquired(id structs.ShardID, epoch structs.Epoch) {
	n.pools.open(id, epoch)
	n.manager.Acquired(id, epoch)
}

// lost ends the work on a shard. Called by the ownership service.
func (n *Node) lost(id structs.ShardID) {
	var wait sync.WaitGroup
	wait.Go(func() { n.pools.close(id) })
	wait.Go(func() { n.manager.Lost(id) })
	wait.Wait()
}

// fetchTimeout bounds one transfer of control state from a peer.
const fetchTimeout = time.Second

// fetchControl takes newer control state from a peer. Called by the membership service; does not block.
func (n *Node) fetchControl(peerAddr string, _ int64) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		defer cancel()
		conn, err := n.pool.Conn(peerAddr)
		if err != nil {
			return
		}
		sentAt := n.cfg.Clock()
		reply, err := peerpb.NewControlClient(conn).FetchControl(ctx, &peerpb.FetchControlRequest{
			AfterRevision: n.control.Confirmation().Revision,
		})
		if err == nil {
			n.control.Ingest(reply, sentAt)
		}
	}()
}

// ready returns nil when the host has a document and is not leaving.
func (n *Node) ready() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leaving {
		return errors.New("shutting down")
	}
	if _, _, ok := n.control.Document(); !ok {
		return errors.New("no environment document yet")
	}
	return nil
}

// Run serves until ctx ends, then shuts down gracefully within the shutdown timeout.
func (n *Node) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	var services sync.WaitGroup
	services.Go(func() { n.hosts.run(background, n.pools.refresh) })
	services.Go(func() { n.control.Run(background) })
	services.Go(func() { n.members.Run(background) })
	services.Go(func() { n.ownership.Run(background) })
	failures := make(chan error, 2)
	go func() { failures <- errors.Annotate(n.grpc.Serve(n.listener), "peer server") }()
	go func() { failures <- errors.Annotate(n.http.Serve(), "HTTP server") }()
	n.cfg.Log.Event(eventlog.NodeStarted).Str("http", n.HTTPAddr()).Str("peer", n.self.PeerAddr).Msg("")

	var err error
	select {
	case <-ctx.Done():
	case err = <-failures:
	}
	n.shutdown()
	stopBackground()
	n.awaitServices(&services)
	n.pool.Close()
	return err
}

// servicesTimeout bounds the wait for the background services after shutdown. Work on a released shard that has not
// ended within the shutdown timeout does not end soon, and the process exits anyway.
const servicesTimeout = time.Second

// awaitServices waits for the background services, up to servicesTimeout.
func (n *Node) awaitServices(services *sync.WaitGroup) {
	done := make(chan struct{})
	go func() {
		services.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(servicesTimeout):
		n.cfg.Log.Event(eventlog.NodeForced).Msg("background services are still at work")
	}
}

// shutdown ends the work in order: announce, hand over shards, finish requests in progress, close the servers.
func (n *Node) shutdown() {
	n.cfg.Log.Event(eventlog.NodeLeaving).Msg("")
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), n.cfg.ShutdownTimeout)
	defer cancel()
	n.members.SetLeaving()
	var wait sync.WaitGroup
	wait.Go(func() { n.release(ctx) })
	wait.Go(func() { n.stopHTTP(ctx) })
	wait.Wait()
	n.dispatch.Close()
	if err := n.grpc.Stop(ctx); err != nil {
		n.cfg.Log.Event(eventlog.NodeForced).Err(err).Msg("")
	}
	n.cfg.Log.Event(eventlog.NodeStopped).Msg("")
}

// readinessDelay is the time between reporting not ready and refusing connections, so that the balancer notices.
const readinessDelay = time.Second

func (n *Node) stopHTTP(ctx context.Context) {
	select {
	case <-time.After(readinessDelay):
	case <-ctx.Done():
	}
	if err := n.http.Stop(ctx); err != nil {
		n.cfg.Log.Event(eventlog.NodeForced).Err(err).Msg("")
	}
	if err := n.requests.Close(ctx); err != nil {
		n.cfg.Log.Event(eventlog.NodeForced).Err(err).Msg("")
	}
}

// release hands over the owned shards.
func (n *Node) release(ctx context.Context) {
	if err := n.ownership.Release(ctx); err != nil {
		n.cfg.Log.Event(eventlog.NodeForced).Err(err).Msg("")
	}
}
