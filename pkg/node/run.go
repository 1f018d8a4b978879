package node

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
)

// Run serves until ctx ends, then shuts down gracefully within the shutdown timeout.
func (n *Node) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	var services sync.WaitGroup
	services.Go(func() { n.hosts.run(background, n.pools.updateRunners) })
	services.Go(func() { n.control.Run(background) })
	services.Go(func() { n.members.Run(background) })
	services.Go(func() { n.ownership.Run(background) })
	services.Go(func() { n.waiter.Run(background) })
	services.Go(func() { n.rescuer.Run(background) })
	failures := make(chan error, 2)
	go func() { failures <- errors.Annotate(n.grpc.Serve(n.listener), "peer server") }()
	go func() { failures <- errors.Annotate(n.http.Serve(), "HTTP server") }()
	n.cfg.Log.Event(eventlog.NodeStarted).Str("http", n.HTTPAddr()).Str("peer", n.self.PeerAddr).Msg("")

	var err error
	select {
	case <-ctx.Done():
	case err = <-failures:
	}
	n.shutdown()
	stopBackground()
	n.awaitServices(&services)
	n.pool.Close()
	return err
}

// servicesTimeout bounds the wait for the background services after shutdown. Work on a released shard that did not end
// within the shutdown timeout is not expected to end soon, and the process exits anyway.
const servicesTimeout = time.Second

// awaitServices waits for the background services, up to servicesTimeout.
func (n *Node) awaitServices(services *sync.WaitGroup) {
	done := make(chan struct{})
	go func() {
		services.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(servicesTimeout):
		n.cfg.Log.Event(eventlog.NodeForced).Msg("background services did not stop in time")
	}
}

// shutdown stops the host: it announces that the host is leaving, hands over its shards while it finishes the requests
// in progress, and closes the servers.
func (n *Node) shutdown() {
	n.cfg.Log.Event(eventlog.NodeLeaving).Msg("")
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), n.cfg.ShutdownTimeout)
	defer cancel()
	n.members.SetLeaving()
	var wait sync.WaitGroup
	wait.Go(func() { n.releaseShards(ctx) })
	wait.Go(func() { n.stopHTTP(ctx) })
	wait.Wait()
	n.dispatch.Close()
	if err := n.grpc.Stop(ctx); err != nil {
		n.cfg.Log.Event(eventlog.NodeForced).Err(err).Msg("")
	}
	n.cfg.Log.Event(eventlog.NodeStopped).Msg("")
}

// readinessDelay is the time between reporting not ready and refusing connections, in which the load balancer detects
// that the host is not ready.
const readinessDelay = time.Second

func (n *Node) stopHTTP(ctx context.Context) {
	select {
	case <-time.After(readinessDelay):
	case <-ctx.Done():
	}
	if err := n.http.Stop(ctx); err != nil {
		n.cfg.Log.Event(eventlog.NodeForced).Err(err).Msg("")
	}
	if err := n.requests.Close(ctx); err != nil {
		n.cfg.Log.Event(eventlog.NodeForced).Err(err).Msg("")
	}
}

// releaseShards releases the ownership of all owned shards, so that other hosts can take them over.
func (n *Node) releaseShards(ctx context.Context) {
	if err := n.ownership.Release(ctx); err != nil {
		n.cfg.Log.Event(eventlog.NodeForced).Err(err).Msg("")
	}
}
