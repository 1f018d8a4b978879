package node

import (
	"net/http"

	"github.com/juju/errors"
	"github.com/zeromicro/go-zero/rest"
	"google.golang.org/grpc"

	"fulmarcourse.example/core/membership"
	coreownership "fulmarcourse.example/core/ownership"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/api/peerpb"
	"fulmarcourse.example/fulmarcourse/pkg/control"
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

// buildPlatform creates the store client, the host list client with the host table, and the pool of peer connections.
func (n *Node) buildPlatform() {
	n.store = store.NewClient(store.Config{
		Endpoint: n.cfg.StoreEndpoint, Source: n.cfg.SourceAddress,
		Metrics: n.cfg.Metrics.Scope, Clock: n.cfg.Clock, Log: n.cfg.Log,
	})
	list := hostlist.NewClient(hostlist.Config{
		Endpoint: n.cfg.HostListEndpoint, Source: n.cfg.SourceAddress, Metrics: n.cfg.Metrics.Scope, Log: n.cfg.Log,
	})
	n.hosts = newHostTable(list, n.cfg.ShardsPerDatacentre)
	n.pool = peer.NewPool(peer.PoolConfig{
		Source: n.cfg.SourceAddress, Clock: n.cfg.Clock, Metrics: n.cfg.Metrics.Scope, OnReplaced: n.cfg.Log.ConnectionReplaced,
	})
}

// buildControl creates the control state service.
func (n *Node) buildControl() {
	n.control = control.NewService(control.Config{
		Host:             n.cfg.Host,
		Environment:      n.cfg.Environment,
		TrialEnvironment: n.cfg.TrialEnvironment,
		Store:            n.store,
		Peers:            peerClient{n.peerMembers, n.pool},
		Revisions:        memberRevisions{n},
		Now:              n.cfg.Clock,
		Log:              n.cfg.Log,
		Scope:            n.cfg.Metrics.Scope,
	})
}

// buildMembership creates the heartbeat and ownership services.
func (n *Node) buildMembership() error {
	state := ownership.NewProcessState(
		membership.Process{Host: n.self.Host, Incarnation: n.self.Incarnation}, coreownership.DefaultLimits(), n.cfg.Clock)
	var err error
	n.members, err = members.NewService(members.Config{
		Self:     n.self,
		Dialer:   n.pool,
		Control:  controlView{n.control},
		Promises: state,
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
		State:       state,
		Members:     n.members,
		Prober:      n.pool,
		OnAcquired:  n.shardAcquired,
		OnLost:      n.shardLost,
		Clock:       n.cfg.Clock,
		Log:         n.cfg.Log,
		Metrics:     n.cfg.Metrics.Scope,
	})
	return errors.Trace(err)
}

// buildShards creates the services for owned shards: slot pools, job records and shard loops.
func (n *Node) buildShards() {
	n.directory = &directory{
		self:      n.self,
		documents: n.control,
		local:     n.localDigests,
		remote:    n.members.Digests,
		clock:     n.cfg.Clock,
	}
	runners := runnerAdapter{runner.NewClient(runner.Config{Source: n.cfg.SourceAddress, Metrics: n.cfg.Metrics.Scope, Log: n.cfg.Log})}
	n.pools = newSlotPools(n.hosts, n.cfg.ShutdownTimeout, func(id structs.ShardID, epoch structs.Epoch) *slots.Pool {
		return slots.NewPool(slots.Config{
			Shard:          id,
			Epoch:          epoch,
			Client:         runners,
			CheckOwnership: func() error { return n.checkOwnership(id, epoch) },
			Now:            n.cfg.Clock,
			Scope:          n.cfg.Metrics.Scope,
			Log:            n.cfg.Log,
		})
	})
	jobNotifier := &notifier{directory: n.directory, pool: n.pool}
	n.jobs = jobs.NewService(jobs.Config{
		Store:       n.store,
		Documents:   n.control,
		Capacity:    capacity{n.hosts},
		Shards:      n.directory,
		Notifier:    jobNotifier,
		Environment: n.cfg.Environment,
		Datacentre:  n.cfg.Datacentre,
		Clock:       n.cfg.Clock,
		Seed:        n.cfg.Seed,
		Scope:       n.cfg.Metrics.Scope,
		Log:         n.cfg.Log,
	})
	n.waiter = jobs.NewWaiter(n.jobs)
	n.rescuer = jobs.NewRescuer(jobs.RescueConfig{
		Service: n.jobs, Horizon: n.cfg.TaskHorizon, Shards: n.batchShards, Responsible: n.directory.rescues, MoveInterval: jobs.RescueMoveInterval,
	})
	n.manager = shard.NewManager(shard.Config{
		Ownership:   n.ownership,
		Permits:     &permits{n.self, n.control, n.members, n.cfg.Clock},
		Workers:     worker.NewClient(worker.Config{Source: n.cfg.SourceAddress, Metrics: n.cfg.Metrics.Scope}),
		Records:     n.jobs,
		NewBatch:    n.newBatch(jobNotifier),
		Homes:       newHomeChooser(n.directory, n.control, n.cfg.Seed),
		Environment: environment{n},
		TaskHorizon: n.cfg.TaskHorizon,
		Policy:      n.cfg.PlacementPolicy,
		Clock:       n.cfg.Clock,
		Metrics:     n.cfg.Metrics.Scope,
		Log:         n.cfg.Log,
		Seed:        n.cfg.Seed,
	})
	jobNotifier.manager = n.manager
}

// newBatch returns a function that creates the batch of job records of an acquired shard.
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

// buildRequests creates the request path and the HTTP server.
func (n *Node) buildRequests() error {
	n.dispatch = requests.NewPeerDispatcher(requests.DispatcherConfig{Pools: n.pools, Source: n.cfg.SourceAddress, Log: n.cfg.Log})
	policy, err := routingPolicy(n.cfg.RoutingPolicy)
	if err != nil {
		return err
	}
	n.requests = requests.NewService(requests.Config{
		Directory:  n.directory,
		Policy:     policy,
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
	n.http, err = httpapi.NewServer(httpapi.Config{
		Address:   n.cfg.HTTPAddress,
		Requests:  n.requests,
		Catalogue: catalogue{n.control},
		Jobs:      jobsAPI{n.jobs, n.waiter, n.manager, n.directory, n.pool},
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

func (n *Node) registerServices(r grpc.ServiceRegistrar) {
	peerpb.RegisterMembershipServer(r, n.members)
	peerpb.RegisterControlServer(r, controlServer{service: n.control})
	peerpb.RegisterShardsServer(r, &shardServer{
		dispatch: requests.NewDispatchServer(requests.ServerConfig{Pools: n.pools, Now: n.cfg.Clock, Log: n.cfg.Log}),
		manager:  n.manager,
	})
}
