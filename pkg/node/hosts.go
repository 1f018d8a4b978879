package node

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"fulmarcourse.example/core/structs"
)

// hostPollInterval is the interval at which the host list is read. It is shorter than the delay with
// which the list itself is updated.
const hostPollInterval = time.Second

// hostSource reads the platform's host list.
type hostSource interface {
	Hosts(ctx context.Context) ([]structs.Host, error)
}

// hostTable caches the latest host list. It keeps the last list while the host list cannot be read.
type hostTable struct {
	source hostSource
	shards int // shards per data centre

	mu      sync.Mutex // guards the fields below
	hosts   []structs.Host
	byShard map[shardRole][]structs.Host // workers and runners by shard; replaced together with hosts
}

// shardRole is a key of hostTable.byShard.
type shardRole struct {
	shard structs.ShardID
	role  structs.HostRole
}

func newHostTable(source hostSource, shards int) *hostTable {
	return &hostTable{source: source, shards: shards}
}

// run polls the host list until ctx ends and calls changed after each successful read.
func (h *hostTable) run(ctx context.Context, changed func()) {
	ticker := time.NewTicker(hostPollInterval)
	defer ticker.Stop()
	for {
		if h.poll(ctx) == nil {
			changed()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (h *hostTable) poll(ctx context.Context) error {
	hosts, err := h.source.Hosts(ctx)
	if err != nil {
		return err
	}
	if h.unchanged(hosts) {
		return nil
	}
	byShard := map[shardRole][]structs.Host{}
	for _, host := range hosts {
		if host.Role == structs.RoleEntry {
			continue
		}
		key := shardRole{shardOf(host, h.shards), host.Role}
		byShard[key] = append(byShard[key], host)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hosts, h.byShard = hosts, byShard
	return nil
}

// unchanged reports whether hosts is the same slice as the current list, which a source may return while the list does
// not change.
func (h *hostTable) unchanged(hosts []structs.Host) bool {
	current := h.all()
	return len(hosts) > 0 && len(hosts) == len(current) && &hosts[0] == &current[0]
}

// all returns the latest list. The caller must not modify it.
func (h *hostTable) all() []structs.Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hosts
}

// inShard returns the hosts with a role in a shard. The shard loops call it in every cycle, so the hosts are grouped by
// shard once per change of the list. The caller must not modify the result.
func (h *hostTable) inShard(role structs.HostRole, shard structs.ShardID) []structs.Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.byShard[shardRole{shard, role}]
}

// entryAddresses returns the peer addresses of all listed entry hosts.
func (h *hostTable) entryAddresses() []string {
	var addresses []string
	for _, host := range h.all() {
		if host.Role == structs.RoleEntry && host.PeerAddr != "" {
			addresses = append(addresses, host.PeerAddr)
		}
	}
	return addresses
}

// shardOf returns the shard of a worker or runner. Workers of one rack share a shard. Runners are distributed by a hash
// of their id, except that a runner that shares its machine with a worker belongs to the worker's shard.
func shardOf(host structs.Host, shards int) structs.ShardID {
	key := string(host.ID)
	if host.Role == structs.RoleWorker || host.Machine != "" {
		key = host.Rack
	}
	return structs.ShardID{Datacentre: host.Datacentre, Index: int(xxhash.Sum64String(key) % uint64(shards))}
}
