package node

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/requests"
	"fulmarcourse.example/fulmarcourse/pkg/runner"
	"fulmarcourse.example/fulmarcourse/pkg/slots"
)

// slotPools holds the slot pool of each owned shard.
type slotPools struct {
	newPool      func(shard structs.ShardID, epoch structs.Epoch) *slots.Pool
	hosts        *hostTable
	closeTimeout time.Duration // bounds the wait for requests in progress when a shard is handed over or lost

	mu    sync.Mutex // guards pools
	pools map[structs.ShardID]*slots.Pool
}

func newSlotPools(
	hosts *hostTable, closeTimeout time.Duration, newPool func(structs.ShardID, structs.Epoch) *slots.Pool,
) *slotPools {
	return &slotPools{newPool: newPool, hosts: hosts, closeTimeout: closeTimeout, pools: map[structs.ShardID]*slots.Pool{}}
}

// Pool implements requests.Pools.
func (p *slotPools) Pool(shard structs.ShardID) (requests.LocalPool, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool, ok := p.pools[shard]
	return pool, ok
}

// open creates the pool of an acquired shard.
func (p *slotPools) open(shard structs.ShardID, epoch structs.Epoch) {
	pool := p.newPool(shard, epoch)
	pool.SetRunners(p.hosts.inShard(structs.RoleRunner, shard))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pools[shard] = pool
}

// close closes the pool of a shard once its requests in progress have ended, or after closeTimeout.
func (p *slotPools) close(shard structs.ShardID) {
	p.mu.Lock()
	pool, ok := p.pools[shard]
	delete(p.pools, shard)
	p.mu.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.closeTimeout)
	defer cancel()
	// The only error is that of a forced close; requests still on runners end with their own responses.
	_ = pool.Close(ctx)
}

// updateRunners sets the runners of every pool to those in the latest host list.
func (p *slotPools) updateRunners() {
	for shard, pool := range p.snapshot() {
		pool.SetRunners(p.hosts.inShard(structs.RoleRunner, shard))
	}
}

// snapshot returns a copy of the pools by shard.
func (p *slotPools) snapshot() map[structs.ShardID]*slots.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pools := make(map[structs.ShardID]*slots.Pool, len(p.pools))
	for shard, pool := range p.pools {
		pools[shard] = pool
	}
	return pools
}

// runnerAdapter adapts the client of pkg/runner to pkg/slots and maps its errors. It implements slots.RunnerClient.
type runnerAdapter struct {
	client *runner.Client
}

// Do implements slots.RunnerClient.
func (r runnerAdapter) Do(ctx context.Context, addr string, a slots.Attempt) (slots.Answer, error) {
	answer, err := r.client.Do(ctx, addr, runner.Attempt{
		ID:        a.ID,
		Service:   a.Service,
		Kind:      a.Kind,
		Body:      a.Body,
		Remaining: a.Remaining,
	})
	switch {
	case err == nil:
		return slots.Answer{Status: answer.Status, Body: answer.Body}, nil
	case errors.Is(err, runner.ErrNotSent):
		return slots.Answer{}, errors.WithType(err, slots.ErrNotSent)
	case errors.Is(err, runner.ErrBusy):
		return slots.Answer{}, errors.WithType(err, slots.ErrBusy)
	}
	return slots.Answer{}, errors.WithType(err, slots.ErrUncertain)
}
