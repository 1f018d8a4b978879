package scheduling

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"fulmarcourse.example/fulmarcourse/pkg/dispatch"
	"fulmarcourse.example/fulmarcourse/pkg/relay"
	"fulmarcourse.example/fulmarcourse/pkg/relay/relaygrpc"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
)

// relayHosts lists the entry hosts that can poll the workers of a partition. It implements dispatch.Relays.
type relayHosts struct {
	node      *Node
	partition statekeys.Partition
}

// RelayHosts implements dispatch.Relays.
func (r *relayHosts) RelayHosts() []dispatch.RelayHost {
	self := r.node.cfg.Self.Host
	hosts := []dispatch.RelayHost{{
		Name: self, Datacentre: r.node.cfg.Datacentre, Cores: r.node.cfg.Cores, LinkMbps: r.node.cfg.LinkMbps, Local: true,
		Client: localRelay{r.node.relayOf(int(r.partition))},
	}}
	for _, record := range r.node.registry.Hosts() {
		if record.Host == self {
			continue
		}
		hosts = append(hosts, dispatch.RelayHost{
			Name: record.Host, Datacentre: record.Datacentre, Cores: record.Cores, LinkMbps: record.LinkMbps,
			Address: record.Address,
			Client: relaygrpc.Client{Host: record.Host, Conn: func() (grpc.ClientConnInterface, error) {
				return r.node.pool.Conn(record.Address)
			}},
		})
	}
	return hosts
}

// relayOf returns this host's relay for a partition, or nil if the partition does not exist.
func (n *Node) relayOf(partition int) *relay.Relay {
	if partition < 0 || partition >= len(n.relays) {
		return nil
	}
	return n.relays[partition]
}

// localRelay calls a relay in this process. It implements dispatch.RelayClient.
type localRelay struct{ relay *relay.Relay }

// Update implements dispatch.RelayClient.
func (l localRelay) Update(_ context.Context, u relay.Update) error { return l.relay.Update(u) }

// Collect implements dispatch.RelayClient.
func (l localRelay) Collect(ctx context.Context, _ int, term int64, leaseUntil, wait time.Duration) (relay.Results, error) {
	return l.relay.Collect(ctx, term, leaseUntil, wait)
}
