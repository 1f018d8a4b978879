package integration

import (
	"testing"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/standin"
	"fulmarcourse.example/fulmarcourse/test/cluster"
)

func TestMain(m *testing.M) { cluster.Main(m) }

const (
	service      = structs.ServiceName("quotes")
	callDeadline = 5 * time.Second
)

// document allows all kinds of work in three data centres.
const document = `[environment]
name = production

[datacentre a]
batch = yes
[datacentre b]
batch = yes
[datacentre c]
batch = yes

[service quotes]
datacentres = a, b, c

[kind quote]
class = latency-critical
service = quotes
idempotent = no
deadline = 2s

[kind preview]
class = latency-critical
service = quotes
idempotent = yes
deadline = 2s

[kind trace]
class = batch
idempotent = yes
checkpointable = yes
cpu = 2
memory = 4GiB
run-time = 5s

[kind template]
class = batch
idempotent = no
checkpointable = no
cpu = 1
memory = 1GiB
run-time = 5s

[team gilders]
cpu = 64
memory = 256GiB
urgent = yes

[team cutters]
cpu = 64
memory = 256GiB
`

// small is a cluster of three data centres with two entry hosts each.
func small() cluster.Config {
	dc := func(id structs.DatacentreID) cluster.Datacentre {
		return cluster.Datacentre{ID: id, EntryHosts: 2, Racks: 2, WorkersPerRack: 1, RunnersPerRack: 1}
	}
	return cluster.Config{
		Datacentres: []cluster.Datacentre{dc("a"), dc("b"), dc("c")},
		Document:    document,
		Service:     service,
		Worker: standin.WorkerConfig{
			Capacity: structs.Resources{MilliCPU: 16_000, MemoryBytes: 60 << 30, Accelerators: 2},
		},
		Runner: standin.RunnerConfig{
			ServiceTime: map[structs.KindName]time.Duration{"quote": 20 * time.Millisecond, "preview": 20 * time.Millisecond},
		},
		LinkDelay: 5 * time.Millisecond,
		Seed:      1,
	}
}

// base returns the URL of an entry host.
func base(c *cluster.Cluster, id structs.HostID) string { return c.Entry(id).HTTP }

// start starts a cluster and waits until every entry host routes requests.
func start(t *testing.T, cfg cluster.Config) *cluster.Cluster {
	t.Helper()
	c := cluster.Start(t, cfg)
	for _, id := range c.Entries() {
		c.Await("requests through "+string(id)+" are answered", func() bool {
			probe := cluster.Call{Service: service, Kind: "preview", Deadline: callDeadline, Body: "probe"}
			return cluster.Send(base(c, id), probe).Outcome == structs.Answered
		})
	}
	return c
}
