// Package control maintains the control state of one environment: the document in effect, the states of the data
// centres, the registry of entry hosts and the shard owners. It polls the store, relays state to and from peers, and
// executes operator commands that change the state.
//
// The local state never goes back: an entry is replaced only by a later store revision and a document only by a higher
// version, even if the store or a peer returns older ones.
package control

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/trace"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/api/peerpb"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// Defaults of Config.
const (
	// DefaultPollInterval is the interval between store polls.
	DefaultPollInterval = time.Second
	// DefaultFullInterval is the interval between full reads, which detect deletions.
	DefaultFullInterval = 15 * time.Second
	// DefaultPollTimeout limits one poll. It is below PermitTTL, so that there is still time to fetch the state from
	// peers when the store does not answer.
	DefaultPollTimeout = time.Second
	// DefaultRelayTimeout limits the calls to peers after a failed poll.
	DefaultRelayTimeout = 800 * time.Millisecond
	// PermitTTL is the age at which a confirmation that a data centre is in service expires (design, section 5).
	PermitTTL = 3 * time.Second
)

// Store reads and writes the platform's key-value service. pkg/store.Client implements it.
type Store interface {
	// Get reads one key and reports whether it exists.
	Get(ctx context.Context, key string) (store.KeyValue, bool, error)
	// Range reads the keys with the prefix that changed at minModRevision or later.
	Range(ctx context.Context, prefix string, minModRevision int64) (store.RangeResult, error)
	// Txn applies a transaction. Its errors show whether the write may have taken effect.
	Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error)
}

// Peers fetches control state from other entry hosts.
type Peers interface {
	// LivePeers lists the other entry hosts that are considered live.
	LivePeers() []structs.HostID
	// FetchControl calls peerpb.Control.FetchControl of one peer.
	FetchControl(ctx context.Context, host structs.HostID, request *peerpb.FetchControlRequest) (*peerpb.FetchControlReply, error)
}

// Revisions returns the store revision up to which each member, by its latest report, has the control state.
type Revisions interface {
	MemberRevisions() map[structs.HostID]int64
}

// Config configures a Service. Store, Environment and Host are required; zero values of other fields select defaults.
type Config struct {
	Host             structs.HostID
	Environment      string
	TrialEnvironment string // where documents are tried; Environment when empty
	Store            Store
	Peers            Peers     // nil: no relay
	Revisions        Revisions // nil: no other member is known to have confirmed a revision

	PollInterval time.Duration
	FullInterval time.Duration
	PollTimeout  time.Duration
	RelayTimeout time.Duration

	Now      func() time.Time // monotonic clock
	NewNonce func() string    // unique per write
	Log      *eventlog.Logger
	Scope    tally.Scope
	Tracer   trace.Tracer
}

func (c Config) withDefaults() Config {
	setDefault(&c.TrialEnvironment, c.Environment)
	setDefault(&c.PollInterval, DefaultPollInterval)
	setDefault(&c.FullInterval, DefaultFullInterval)
	setDefault(&c.PollTimeout, DefaultPollTimeout)
	setDefault(&c.RelayTimeout, DefaultRelayTimeout)
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.NewNonce == nil {
		c.NewNonce = uuid.NewString
	}
	if c.Log == nil {
		c.Log = eventlog.Discard()
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	if c.Tracer == nil {
		c.Tracer = otel.Tracer("fulmarcourse/control")
	}
	return c
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// Service holds the control state of one entry host. It is safe for concurrent use.
type Service struct {
	peerpb.UnimplementedControlServer

	cfg  Config
	keys keyspace

	pollToken chan struct{} // contains one token, which a poll holds while it runs, so that polls do not overlap

	mu             sync.Mutex // guards the fields below; never held during I/O
	state          *state
	storeReachable bool
	lastFull       time.Time
	relayRounds    int // number of relay rounds, for the rotation in choosePeers
	removals       map[string]pendingRemoval
	changed        chan struct{} // closed at the next change
}

// NewService returns a Service whose control state is empty until the first poll.
func NewService(cfg Config) *Service {
	cfg = cfg.withDefaults()
	s := &Service{
		cfg:       cfg,
		keys:      keyspace{environment: cfg.Environment},
		pollToken: make(chan struct{}, 1),
		state:     newState(),
		removals:  map[string]pendingRemoval{},
		changed:   make(chan struct{}),
	}
	s.pollToken <- struct{}{}
	return s
}

// Confirmation is the store revision up to which the control state is complete, and the time of the read that confirmed
// it.
type Confirmation struct {
	Revision int64
	// ReadAt is the local time at which the latest store read that confirmed the state was sent, by this host or by
	// the peer that relayed it. The state is at least as new as this time. It is zero when there was no read.
	ReadAt time.Time
}

// Confirmation returns the newest confirmation, from the store or relayed by a peer.
func (s *Service) Confirmation() Confirmation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.confirmation
}

// Document returns the document in effect and its record, or false when none is known.
func (s *Service) Document() (structs.Document, structs.DocumentRecord, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.document, s.state.record, s.state.record.Version > 0
}

// Datacentre returns the state of a data centre. A data centre without a record is in service.
func (s *Service) Datacentre(id structs.DatacentreID) structs.DatacentreState {
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry, known := s.state.datacentres[id]; known {
		return entry.record.State
	}
	return structs.DatacentreIn
}

// StoreReachable reports whether the latest store poll succeeded.
func (s *Service) StoreReachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeReachable
}

// Ownership is the owner record of a shard with its fencing epoch.
type Ownership struct {
	Record structs.ShardOwnerRecord
	Epoch  structs.Epoch
}

// Owner returns the owner of a shard and its epoch, or false when none is known.
func (s *Service) Owner(shard structs.ShardID) (structs.ShardOwnerRecord, structs.Epoch, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	owner, known := s.state.owners[shard]
	return owner.Record, owner.Epoch, known
}

// Owners returns a copy of all known shard owners.
func (s *Service) Owners() map[structs.ShardID]Ownership {
	s.mu.Lock()
	defer s.mu.Unlock()
	owners := make(map[structs.ShardID]Ownership, len(s.state.owners))
	for shard, owner := range s.state.owners {
		owners[shard] = owner
	}
	return owners
}

// Members returns the registered entry hosts, ordered by host.
func (s *Service) Members() []structs.MemberRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.sortedMembers()
}

// Changed returns a channel that is closed at the next change of the control state. Callers must get the channel before
// they read the state, so that no change is missed. A new confirmation of the same state is not a change.
func (s *Service) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// notifyChanged wakes all waiters on the Changed channel. s.mu is held.
func (s *Service) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}
