package integration

import (
	"testing"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/test/cluster"
)

func TestMain(m *testing.M) { cluster.Main(m) }

const (
	service      = cluster.SmallService
	callDeadline = 5 * time.Second
)

// base returns the URL of an entry host.
func base(c *cluster.Cluster, id structs.HostID) string { return c.Entry(id).HTTP }

// start starts a cluster and waits until every entry host routes requests.
func start(t *testing.T, cfg cluster.Config) *cluster.Cluster {
	t.Helper()
	c := cluster.Start(t, cfg)
	c.AwaitServing(service, "preview")
	return c
}
