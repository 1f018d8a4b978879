package node

import (
	"context"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/api/peerpb"
	"fulmarcourse.example/fulmarcourse/pkg/control"
)

// memberRevisions implements control.Revisions. It refers to the node, since the membership service is created after
// the control service.
type memberRevisions struct{ node *Node }

// MemberRevisions implements control.Revisions.
func (m memberRevisions) MemberRevisions() map[structs.HostID]int64 {
	return m.node.members.MemberRevisions()
}

// environment implements shard.Environment.
type environment struct{ node *Node }

// Document implements shard.Environment.
func (e environment) Document() (structs.Document, structs.DocumentRecord, bool) {
	return e.node.control.Document()
}

// Datacentre implements shard.Environment.
func (e environment) Datacentre(id structs.DatacentreID) structs.DatacentreState {
	return e.node.control.Datacentre(id)
}

// Workers implements shard.Environment.
func (e environment) Workers(id structs.ShardID) []structs.Host {
	return e.node.hosts.inShard(structs.RoleWorker, id)
}

// TotalCapacity returns the sum of the capacities of all workers in the host list.
func (e environment) TotalCapacity() structs.Resources {
	var sum structs.Resources
	for _, host := range e.node.hosts.all() {
		if host.Role == structs.RoleWorker {
			sum = sum.Add(host.Capacity)
		}
	}
	return sum
}

// slowdownTarget is the highest slowdown of a colocated runner that batch work may cause. The slowdown is the ratio of
// the runner's smoothed service time to the typical one of the service.
const slowdownTarget = 1.5

// LatencyByMachine returns, per machine, the highest slowdown among its runners, divided by slowdownTarget. Runners
// that share a machine with a worker belong to the worker's shard, so the owner that runs the guard observes their
// responses.
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

// LastStoreContact implements shard.Environment.
func (e environment) LastStoreContact() time.Time { return e.node.ownership.LastStoreContact() }

// batchShards returns the shards of all data centres in the document.
func (n *Node) batchShards() []structs.ShardID {
	document, _, _ := n.control.Document()
	var shards []structs.ShardID
	for dc := range document.BatchIn {
		for index := range n.cfg.ShardsPerDatacentre {
			shards = append(shards, structs.ShardID{Datacentre: dc, Index: index})
		}
	}
	return shards
}

// catalogue implements httpapi.Catalogue.
type catalogue struct{ control *control.Service }

// Kind returns the latency-critical kind with a name, if it belongs to the service.
func (c catalogue) Kind(service structs.ServiceName, name structs.KindName) (structs.Kind, bool) {
	document, _, ok := c.control.Document()
	if !ok {
		return structs.Kind{}, false
	}
	kind, ok := document.Kinds[name]
	return kind, ok && kind.Service == service && kind.Class == structs.LatencyCritical
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

// controlFetchTimeout bounds one transfer of control state from a peer.
const controlFetchTimeout = time.Second
