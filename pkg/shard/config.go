// Package shard runs the scheduling loop of each shard that this host owns. The loop reads the jobs whose home is the
// shard, renews the task leases of the shard's workers, plans placements, sends start and stop commands, moves jobs to
// other shards and writes job records back.
//
// The loop goroutine is the only writer of job records of the shard. Worker calls run in a bounded number of
// goroutines and apply their results to the shared table.
//
// Lock order: Manager.mu, then Loop.mu. No lock is held during a call to a worker or the store.
package shard

import (
	"context"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/jobs"
	"fulmarcourse.example/fulmarcourse/pkg/worker"
	"github.com/uber-go/tally/v4"
)

// Timings of a shard loop.
const (
	cycleInterval         = 50 * time.Millisecond
	planInterval          = 200 * time.Millisecond // a plan for 600 pending tasks takes up to 3 ms
	renewInterval         = time.Second
	refreshInterval       = time.Second // reads of changed job records when no notification arrives
	renewTimeout          = 2 * time.Second
	commandTimeout        = 2 * time.Second
	storeTimeout          = 3 * time.Second
	commandRepeatInterval = 2 * time.Second // before a stop or an unanswered start is sent again
	unreachableAfter      = 4 * time.Second // without an inventory; then no tasks are placed and no leases extended
)

// TaskLeaseTTL is how long a worker keeps a task running after the latest renewal of its lease.
const TaskLeaseTTL = 15 * time.Second

// leaseExpiryMargin is added to TaskLeaseTTL before a lease is considered expired. It covers the rate error of the
// worker's clock and the time the worker needs to stop a task.
const leaseExpiryMargin = time.Second

// TaskHorizon is how long tasks keep running after the store last confirmed the ownership of their shard. It exceeds
// one hour, the longest network partition between regions that has to be tolerated. Jobs of a lost data centre may move
// only after TaskHorizon.
const TaskHorizon = 75 * time.Minute

// maxConcurrentCalls limits the worker calls in progress per shard, not counting renewals.
const maxConcurrentCalls = 32

// Ownership returns the epoch under which this host owns a shard, or an error if it does not own it. The loop calls
// Valid immediately before each command.
type Ownership interface {
	Valid(structs.ShardID) (structs.Epoch, error)
}

// Permits reports whether tasks may start in the shard's data centre now.
type Permits interface {
	MayStart() error // nil, or the reason why tasks may not start
}

// Workers sends commands to workers. The errors are those of package worker.
type Workers interface {
	Renew(ctx context.Context, addr string, req worker.RenewRequest) (structs.Inventory, error)
	Start(ctx context.Context, addr string, cmd structs.StartCommand) error
	Checkpoint(ctx context.Context, addr string, ref worker.AttemptRef) (string, error)
	Throttle(ctx context.Context, addr string, ref worker.AttemptRef, share float64) error
	Stop(ctx context.Context, addr string, ref worker.AttemptRef) error
}

// Records reads job records.
type Records interface {
	LoadHome(ctx context.Context, shard structs.ShardID) (jobs.Loaded, error)
	Changes(ctx context.Context, since int64) (jobs.Loaded, error)
}

// Homes selects another home shard for a job. ok is false when no other shard can accept it now.
type Homes interface {
	ChooseHome(record structs.JobRecord, exclude structs.ShardID) (home structs.ShardID, ok bool)
}

// Environment returns the current configuration document, data centre states and hosts.
type Environment interface {
	Document() (structs.Document, structs.DocumentRecord, bool)
	Datacentre(structs.DatacentreID) structs.DatacentreState
	Workers(structs.ShardID) []structs.Host
	TotalCapacity() structs.Resources // of all workers of the environment
	// LatencyByMachine returns, per machine, the highest slowdown among its runners, divided by the slowdown that batch
	// work may cause. A runner's slowdown is the ratio of its smoothed service time to the typical one of the service.
	LatencyByMachine() map[string]float64
	LastStoreContact() time.Time // when this host last renewed its owner lease in the store
}

// Config configures the loops of one host.
type Config struct {
	Ownership   Ownership
	Permits     Permits
	Workers     Workers
	Records     Records
	NewBatch    func(shard structs.ShardID, epoch structs.Epoch, onCancel func(structs.JobID)) *jobs.Batch
	Homes       Homes
	Environment Environment
	TaskHorizon time.Duration // the constant TaskHorizon when 0; must be the same on all hosts
	Policy      string        // name of the placement policy; placement.Learned when empty
	Clock       func() time.Time
	Metrics     tally.Scope
	Log         *eventlog.Logger
	Seed        uint64
}
