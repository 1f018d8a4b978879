package jobs

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

const tracerName = "fulmarcourse.example/fulmarcourse/pkg/jobs"

// Store is the part of the store client that this package uses. Range returns the entries under prefix that were last
// changed at minModRevision or later. Errors are those of package store.
type Store interface {
	Get(ctx context.Context, key string) (store.KeyValue, bool, error)
	Range(ctx context.Context, prefix string, minModRevision int64) (store.RangeResult, error)
	Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error)
}

// Documents returns the environment document in effect, or false if this host has none yet.
type Documents interface {
	Document() (structs.Document, structs.DocumentRecord, bool)
}

// Capacity returns the maximum capacity of a worker in each data centre, separately for each resource. Data centres
// whose workers are not known are left out.
type Capacity interface {
	Largest() map[structs.DatacentreID]structs.Resources
}

// Shards returns the shards that may become the home of a job.
type Shards interface {
	Candidates() []HomeCandidate
}

// Notifier notifies the owner of a shard that job records of the shard have changed. It is best effort and does not
// block: owners also read changes from the store.
type Notifier interface {
	NotifyJobs(ctx context.Context, shard structs.ShardID, ids []structs.JobID)
}

// Config configures a Service.
type Config struct {
	Store       Store
	Documents   Documents
	Capacity    Capacity
	Shards      Shards
	Notifier    Notifier
	Environment string
	Datacentre  structs.DatacentreID // data centre of this host
	Home        HomePolicy           // TwoChoiceHome when nil
	Clock       func() time.Time     // time.Now when nil
	Seed        uint64               // for the selection of home shards; random when 0
	Scope       tally.Scope          // tally.NoopScope when nil
	Log         *eventlog.Logger     // discarded when nil
}

// Service accepts, reads and cancels jobs. Its methods are safe for concurrent use.
type Service struct {
	cfg     Config
	keys    keyspace
	tracer  trace.Tracer
	newRand func() *rand.Rand
}

// NewService returns a Service with defaults for the fields of cfg that are not set.
func NewService(cfg Config) *Service {
	if cfg.Home == nil {
		cfg.Home = TwoChoiceHome
	}
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	if cfg.Log == nil {
		cfg.Log = eventlog.Discard()
	}
	return &Service{cfg: cfg, keys: newKeyspace(cfg.Environment), tracer: otel.Tracer(tracerName), newRand: randFactory(cfg.Seed)}
}

// randFactory returns a function that creates a random source per call, so that concurrent calls need no lock. A seed
// other than 0 gives the same source each time, for tests.
func randFactory(seed uint64) func() *rand.Rand {
	return func() *rand.Rand {
		if seed == 0 {
			return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		}
		return rand.New(rand.NewPCG(seed, seed))
	}
}

func newNonce() string { return uuid.NewString() }
