package node

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"fulmarcourse.example/core/structs"
)

// hostPollInterval is how often the host list is read. The list itself lags behind by more.
const hostPollInterval = time.Second

// hostSource reads the platform's host list.
type hostSource interface {
	Hosts(ctx context.Context) ([]structs.Host, error)
}

// hostTable keeps the latest host list. When the list cannot be read, the last one stays in use.
type hostTable struct {
	source hostSource
	shards int // shards per data centre

	mu      sync.Mutex
	hosts   []structs.Host
	byShard map[shardRole][]structs.Host // hosts with a shard; replaced with hosts
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
	if h.same(hosts) {
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

// same reports whether hosts is the very list that is in use, as a source may return it while nothing changes.
func (h *hostTable) same(hosts []structs.Host) bool {
	known := h.all()
	return len(hosts) > 0 && len(hosts) == len(known) && &hosts[0] == &known[0]
}

// all returns the latest list. The caller must not change it.
func (h *hostTable) all() []structs.Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hosts
}

// inShard returns the hosts of one role that belong to a shard. The shard loops call it in each of their cycles, so the
// hosts are sorted into shards once per change of the list. The caller must not change the result.
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

// shardOf returns the shard of a backend host. Workers of one rack share a shard; runners are spread by their id, but
// a runner that shares its machine with a worker belongs to the worker's shard.
func shardOf(host structs.Host, shards int) structs.ShardID {
	key := string(host.ID)
	if host.Role == structs.RoleWorker || host.Machine != "" {
		key = host.Rack
	}
	return structs.ShardID{Datacentre: host.Datacentre, Index: int(xxhash.Sum64String(key) % uint64(shards))}
}
