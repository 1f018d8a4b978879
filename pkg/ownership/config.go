// Package ownership claims, keeps and releases shards of this host's data centre. Package core/ownership defines the
// rules; this package applies them to the store and reports acquired and lost shards.
//
// Load on the store per entry host: one lease renewal and two range reads of the shard records per second, one
// read of the member registry every 5 s, one renewal of the registration every 20 s, and one transaction per
// claim or release. A shard without a record adds one read per range read.
//
// Lock order: Service.reconcileMu, then Service.registrationMu, then Service.mu, then ProcessState.mu. The first two
// are held during store calls; the others are not. Callbacks run without Service.mu and ProcessState.mu.
package ownership

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"

	"fulmarcourse.example/core/membership"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/members"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// Intervals and time limits of the service.
const (
	RenewInterval     = 1 * time.Second        // between renewals of the owner lease
	ReconcileInterval = 500 * time.Millisecond // between reads of the shard records
	CheckInterval     = 100 * time.Millisecond // between checks for expired ownership
	RegistryInterval  = 5 * time.Second        // between reads of the member registry
	MemberLeaseTTL    = 60 * time.Second       // lifetime of the registration's store lease
	MemberRenewal     = 20 * time.Second       // between renewals of the registration; retried every second on failure
	// CallTimeout bounds one store call. A response after 2 s still leaves more than a second of a 4 s lease.
	CallTimeout = 2 * time.Second
	// RenewalsInFlight is the maximum number of concurrent renewals. More than one allows the next renewal to be sent on
	// time while a slow store has not answered the previous one.
	RenewalsInFlight = 3
	// FailureLogInterval is the minimum time between log entries for failures of the same store operation, so that a
	// store outage of hours does not fill the log.
	FailureLogInterval = 30 * time.Second
	// StartupGrace is the time after start-up in which no shard is claimed, so that the first heartbeats arrive
	// and hosts that start at the same time share the shards.
	StartupGrace = membership.SuspectAfterMissed * membership.LocalInterval
)

// Hysteresis and limits of rebalancing.
const (
	RebalanceAfter  = 10 * time.Second // another member must have been preferred continuously for this long
	MinimumHold     = 30 * time.Second // a shard is not handed over for this long after it was acquired
	HandoverTimeout = 10 * time.Second // time for requests in progress to finish when a shard is handed over
	// MaxControlAge is the maximum age of a member's control state at which the member is considered able to reach the
	// store, and therefore to claim.
	MaxControlAge = 3 * time.Second
)

// Store is the part of the store client that this package uses. Errors are those of pkg/store.
type Store interface {
	Get(ctx context.Context, key string) (store.KeyValue, bool, error)
	Range(ctx context.Context, prefix string, minModRevision int64) (store.RangeResult, error)
	Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error)
	GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error)
	KeepAlive(ctx context.Context, lease store.LeaseID) (time.Duration, error)
	RevokeLease(ctx context.Context, lease store.LeaseID) error
}

// Members provides the states of the entry hosts. members.Service implements it.
type Members interface {
	Live(dc structs.DatacentreID) []members.Member
	Peers() []members.Member
}

// Prober tests peer addresses. pkg/peer.Pool implements it.
type Prober interface {
	// Refused reports whether addr definitely refused a TCP connection.
	Refused(ctx context.Context, addr string) bool
}

// Config configures a Service.
type Config struct {
	Self        structs.MemberRecord
	Environment string
	Shards      func() int // returns the number of shards of the data centre
	Store       Store
	State       *ProcessState
	Members     Members
	Prober      Prober
	// OnAcquired is called once per acquired shard, before Owned returns the shard. It must not block for long.
	OnAcquired func(shard structs.ShardID, epoch structs.Epoch)
	// OnLost is called once for each acquired shard. During a release the ownership is still valid and ends when the
	// call returns, so the callee can finish work in progress. Otherwise the ownership has already ended. The shard
	// is not claimed again before the call has returned.
	OnLost   func(shard structs.ShardID)
	NewNonce func() string // nil for random UUIDs
	Clock    func() time.Time
	Log      *eventlog.Logger
	Metrics  tally.Scope
	Tracer   trace.Tracer
}

func (c *Config) complete() error {
	if c.Self.Host == "" || c.Self.Incarnation == "" || c.Self.Datacentre == "" || c.Self.PeerAddr == "" {
		return errors.NotValidf("ownership: incomplete member record %+v", c.Self)
	}
	if c.Environment == "" || c.Shards == nil || c.Store == nil || c.State == nil || c.Members == nil || c.Prober == nil {
		return errors.NotValidf("ownership: missing Environment, Shards, Store, State, Members or Prober")
	}
	if c.OnAcquired == nil {
		c.OnAcquired = func(structs.ShardID, structs.Epoch) {}
	}
	if c.OnLost == nil {
		c.OnLost = func(structs.ShardID) {}
	}
	if c.NewNonce == nil {
		c.NewNonce = uuid.NewString
	}
	if c.Clock == nil {
		c.Clock = time.Now
	}
	if c.Log == nil {
		c.Log = eventlog.Discard()
	}
	if c.Metrics == nil {
		c.Metrics = tally.NoopScope
	}
	if c.Tracer == nil {
		c.Tracer = otel.Tracer("fulmarcourse/ownership")
	}
	return nil
}
