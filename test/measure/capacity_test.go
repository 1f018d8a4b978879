package measure

import (
	"fmt"
	"testing"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/test/cluster"
)

// workersPerRack spreads the workers of one data centre over racks, and so over its shards.
const workersPerRack = 5

// oneOwner configures a data centre with one entry host, which owns both shards, and n workers.
func oneOwner(n int) cluster.Config {
	return config(datacentres(1, cluster.Datacentre{EntryHosts: 1, Racks: n / workersPerRack, WorkersPerRack: workersPerRack}))
}

// Measures the cost of idle workers for the entry host that owns their shards.
func TestIdleWorkers(t *testing.T) {
	sweep(t, "Idle workers of one entry host", "workers", []int{10, 40, 100, 200}, oneOwner, idle)
}

// Measures the cost of idle peers, in data centres with two entry hosts, one worker and one runner each.
func TestIdlePeers(t *testing.T) {
	build := func(n int) cluster.Config {
		return config(datacentres(n/2, cluster.Datacentre{EntryHosts: 2, Racks: 1, WorkersPerRack: 1, RunnersPerRack: 1}))
	}
	sweep(t, "Idle entry hosts, two per data centre", "entry hosts", []int{4, 8, 16, 32}, build, idle)
}

// Measures the cost of a long host list. The additional hosts are in a data centre that has no entry host.
func TestIdleHostList(t *testing.T) {
	load := func(c *cluster.Cluster, n int) func() {
		for i := range n {
			c.Platform.HostList.Put(structs.Host{
				ID: structs.HostID(fmt.Sprintf("z-%d-worker-%d", i/8, i)), Role: structs.RoleWorker, State: structs.HostLive,
				Datacentre: "z", Rack: fmt.Sprintf("z-%d", i/8), Address: fmt.Sprintf("10.9.%d.%d:8080", i/250, i%250),
				Capacity: structs.Resources{MilliCPU: 16_000, MemoryBytes: 60 << 30, Accelerators: 2},
			})
		}
		return idle(c, n)
	}
	build := func(int) cluster.Config { return oneOwner(10) }
	sweep(t, "Hosts on the host list", "hosts", []int{0, 300, 600, 1200}, build, load)
}
