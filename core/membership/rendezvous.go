package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"fulmarcourse.example/core/structs"
)

// RankHosts returns hosts in order of preference as the owner of shard, the preferred host first. It uses rendezvous
// hashing (Thaler, Ravishankar, "A Name-Based Mapping Scheme for Rendezvous", 1996): a host that joins or leaves
// moves only the shards that it gains or loses. The order depends only on the shard and the set of hosts.
func RankHosts(shard structs.ShardID, hosts []structs.HostID) []structs.HostID {
	rest := make([]string, len(hosts))
	for i, host := range hosts {
		rest[i] = string(host)
	}
	slices.Sort(rest) // ties between equal hashes are broken by position
	rest = slices.Compact(rest)
	order := make([]structs.HostID, 0, len(rest))
	for len(rest) > 0 {
		first := rendezvous.New(rest, xxhash.Sum64String).Lookup(shard.String())
		order = append(order, structs.HostID(first))
		rest = slices.DeleteFunc(rest, func(host string) bool { return host == first })
	}
	return order
}

// Preferred returns the host that should own shard, or "" when hosts is empty.
func Preferred(shard structs.ShardID, hosts []structs.HostID) structs.HostID {
	order := RankHosts(shard, hosts)
	if len(order) == 0 {
		return ""
	}
	return order[0]
}
