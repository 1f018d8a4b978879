// Package node assembles one entry host: it connects the scheduling services to the platform, the other entry hosts,
// callers and operators, and starts and stops them in order.
package node

import (
	"net/netip"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/metrics"
)

// Config configures one entry host.
type Config struct {
	Host                structs.HostID
	Datacentre          structs.DatacentreID
	Environment         string
	TrialEnvironment    string     // environment of document trials
	HTTPAddress         string     // IP:port to listen on for callers and operators; port 0 selects a free port
	PeerListen          string     // IP:port to listen on for other entry hosts
	PeerAddress         string     // IP:port at which other entry hosts reach this one; PeerListen when empty
	SourceAddress       netip.Addr // local address of outgoing connections; zero lets the system choose
	StoreEndpoint       string     // http://IP:port
	HostListEndpoint    string     // http://IP:port
	Peers               []string   // IP:port of peers to contact before the member registry has been read
	ShardsPerDatacentre int
	PlacementPolicy     string        // name of a placement policy; placement.Learned when empty
	RoutingPolicy       string        // name of a policy of core/routing; routing.DefaultPolicy when empty
	ShutdownTimeout     time.Duration // bounds a graceful shutdown
	TaskHorizon         time.Duration // shard.TaskHorizon when 0; for tests, the same on all hosts
	Seed                uint64        // random seed for placement and the choice of home shards
	Log                 *eventlog.Logger
	Metrics             *metrics.Metrics
	Clock               func() time.Time
}
