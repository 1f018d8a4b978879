// Package shard runs the task loop of a shard that this host owns: it reads the jobs whose home is the shard, renews
// the task leases of the shard's workers, plans and sends starts, stops and moves tasks, and writes job records back.
//
// The loop goroutine is the only writer of job records of the shard. Worker calls run in a pool of goroutines and
// apply their results to the shared table.
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
	cycleInterval    = 50 * time.Millisecond
	planInterval     = 200 * time.Millisecond // between plans; one takes up to 3 ms with 600 pending tasks
	renewInterval    = time.Second
	refreshInterval  = time.Second // between reads of changed job records without a notification
	renewTimeout     = 2 * time.Second
	commandTimeout   = 2 * time.Second
	storeTimeout     = 3 * time.Second
	commandRepeat    = 2 * time.Second // before a stop or an unanswered start is repeated
	unreachableAfter = 4 * time.Second // without an inventory; no new tasks, and no further renewals
)

// TaskLeaseTTL is how long a worker keeps a task running without a renewal.
const TaskLeaseTTL = 15 * time.Second

// leaseDrift is added to TaskLeaseTTL before a lease counts as certainly expired. It covers the worker's clock rate
// error and the time it takes the worker to stop a task.
const leaseDrift = time.Second

// TaskHorizon is how long tasks keep running after the store last confirmed the ownership of their shard. It is longer than the hour for
// which regions may be partitioned. Jobs of a lost data centre may move only after it.
const TaskHorizon = 75 * time.Minute

// poolSize bounds the worker calls in progress per shard.
const poolSize = 32

// Ownership tells whether this host owns the shard. The loop asks immediately before each command.
type Ownership interface {
	Valid(structs.ShardID) (structs.Epoch, error)
}

// Permits tells whether tasks may start in the shard's data centre now.
type Permits interface {
	MayStart() error // nil, or the reason why not
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

// Homes chooses another home for a job. ok is false when no other shard can take it now.
type Homes interface {
	ChooseHome(record structs.JobRecord, exclude structs.ShardID) (home structs.ShardID, ok bool)
}

// Environment is the current view of documents and hosts.
type Environment interface {
	Document() (structs.Document, structs.DocumentRecord, bool)
	Datacentre(structs.DatacentreID) structs.DatacentreState
	Workers(structs.ShardID) []structs.Host
	TotalCapacity() structs.Resources // of all workers of the environment
	// LatencyByMachine returns, per machine, the worst ratio of tail latency to deadline of its runners' requests.
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
	TaskHorizon time.Duration // TaskHorizon when 0; the same on all hosts
	Policy      string        // name of the placement policy; empty takes placement.Learned
	Clock       func() time.Time
	Metrics     tally.Scope
	Log         *eventlog.Logger
	Seed        uint64
}
