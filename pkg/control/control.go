// Package control keeps the control state of one environment: the document in effect, the states of the data
// centres, the registry of entry hosts and the shard owners. It polls the store, relays to and from peers, and
// carries out operator commands that change the state.
//
// The local state only moves forward: entries are replaced by later store revisions and documents by higher
// versions, whatever a store or peer says.
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
	// DefaultFullInterval is the interval between full reads, which reveal deletions.
	DefaultFullInterval = 15 * time.Second
	// DefaultPollTimeout limits one poll. It is below PermitTTL so that a hanging store still leaves time to ask peers.
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
	// Txn applies a transaction. Its errors tell whether the write may have taken effect.
	Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error)
}

// Peers fetches control state from other entry hosts.
type Peers interface {
	// LivePeers lists the other entry hosts that are held for live.
	LivePeers() []structs.HostID
	// FetchControl calls peerpb.Control.FetchControl of one peer.
	FetchControl(ctx context.Context, host structs.HostID, request *peerpb.FetchControlRequest) (*peerpb.FetchControlReply, error)
}

// Revisions tells up to which store revision each member has reported to know the control state.
type Revisions interface {
	MemberRevisions() map[structs.HostID]int64
}

// Config configures a Service. Store, Environment and Host are needed; zero values elsewhere take defaults.
type Config struct {
	Host             structs.HostID
	Environment      string
	TrialEnvironment string // where documents are tried; Environment when empty
	Store            Store
	Peers            Peers     // nil: no relay
	Revisions        Revisions // nil: no member ever confirms

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

// Service holds the control state of one entry host. All methods may be called from any goroutine.
type Service struct {
	peerpb.UnimplementedControlServer

	cfg    Config
	layout layout

	polling chan struct{} // holds one token; taken for the length of a poll, so that polls do not overlap

	mu        sync.Mutex // guards the fields below; never held during I/O
	state     *state
	reachable bool
	lastFull  time.Time
	relays    int // number of relay rounds, rotates the peers that are asked
	removals  map[string]removal
	changed   chan struct{} // closed at the next change
}

// NewService returns a Service that knows nothing until its first poll.
func NewService(cfg Config) *Service {
	cfg = cfg.withDefaults()
	s := &Service{
		cfg:      cfg,
		layout:   layout{environment: cfg.Environment},
		polling:  make(chan struct{}, 1),
		state:    newState(),
		removals: map[string]removal{},
		changed:  make(chan struct{}),
	}
	s.polling <- struct{}{}
	return s
}

// Confirmation tells up to which store revision the control state is known and how fresh that knowledge is.
type Confirmation struct {
	Revision int64
	// ReadAt is the local time at which the store read behind the newest known state was sent; zero when there
	// was none. The state is at least as new as this moment.
	ReadAt time.Time
}

// Confirmation returns the newest confirmation, from the store or relayed by a peer.
func (s *Service) Confirmation() Confirmation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.confirmation
}

// Document returns the document in effect, its record, and false when none is known.
func (s *Service) Document() (structs.Document, structs.DocumentRecord, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.document, s.state.record, s.state.record.Version > 0
}

// Datacentre returns the state of a data centre. One without a record is in service.
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
	return s.reachable
}

// Ownership is the owner record of a shard with its fencing epoch.
type Ownership struct {
	Record structs.ShardOwnerRecord
	Epoch  structs.Epoch
}

// Owner returns the owner of a shard and false when none is known.
func (s *Service) Owner(shard structs.ShardID) (structs.ShardOwnerRecord, structs.Epoch, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	owner, known := s.state.owners[shard]
	return owner.Record, owner.Epoch, known
}

// Owners returns all known shard owners. The map belongs to the caller.
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

// Changed returns a channel that is closed at the next change of the control state. Take the channel before
// reading the state, so that no change is missed. A new confirmation of the same state is no change.
func (s *Service) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// notifyChanged wakes the holders of the Changed channel. s.mu is held.
func (s *Service) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}
