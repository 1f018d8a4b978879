package ownership

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/membership"
	"fulmarcourse.example/core/ownership"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// owned is the state of a shard from the return of OnAcquired until its loss or release.
type owned struct {
	epoch      structs.Epoch
	acquiredAt time.Time
	releasing  bool          // a release is in progress
	released   chan struct{} // closed at the end of a release; nil if none has started
	onPromises bool          // the lease has expired and promises extend the ownership; the change has been logged
}

// Service claims, keeps and releases the shards of one process. It is safe for concurrent use.
type Service struct {
	cfg     Config
	keys    keys
	self    membership.Process
	started time.Time

	reconcileMu sync.Mutex // serialises Reconcile and the start of Release; guards shards
	shards      map[structs.ShardID]*shardState

	renewalSlots   chan struct{} // semaphore of size RenewalsInFlight
	grantMu        sync.Mutex    // held while a lease is requested
	registrationMu sync.Mutex    // serialises Register and the end of the registration

	mu              sync.Mutex // guards the fields below
	owned           map[structs.ShardID]*owned
	notifying       map[structs.ShardID]bool // OnLost is running
	stopping        bool                     // Release was called; no more shards are claimed
	failureLoggedAt map[string]time.Time     // by operation: when a failure was last logged
	registration    registration
	formerAddrs     map[structs.ShardID]string // peer addresses of former owners that may be running
	tasks           sync.WaitGroup             // renewals, callbacks and hand-overs in progress
}

// NewService returns a Service that is idle until Run is called. It returns a NotValid error for an incomplete
// configuration.
func NewService(cfg Config) (*Service, error) {
	if err := cfg.complete(); err != nil {
		return nil, errors.Trace(err)
	}
	return &Service{
		cfg:             cfg,
		keys:            newKeys(cfg.Environment),
		self:            membership.Process{Host: cfg.Self.Host, Incarnation: cfg.Self.Incarnation},
		started:         cfg.Clock(),
		shards:          make(map[structs.ShardID]*shardState),
		renewalSlots:    make(chan struct{}, RenewalsInFlight),
		owned:           make(map[structs.ShardID]*owned),
		notifying:       make(map[structs.ShardID]bool),
		formerAddrs:     make(map[structs.ShardID]string),
		failureLoggedAt: make(map[string]time.Time),
	}, nil
}

// Run registers the host, renews leases, and claims shards until ctx ends. It returns when its calls and
// callbacks have finished. For a graceful shutdown, call Release before ctx ends.
func (s *Service) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { runEvery(ctx, RenewInterval, func() { s.startRenewal(ctx) }) })
	loops.Go(func() { runEvery(ctx, RenewInterval, func() { s.Register(ctx) }) })
	loops.Go(func() { runEvery(ctx, ReconcileInterval, func() { s.Reconcile(ctx) }) })
	loops.Go(func() { runEvery(ctx, CheckInterval, s.Check) })
	loops.Wait()
	s.tasks.Wait()
}

// runEvery calls step immediately and then once per interval until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, step func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		step()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Valid returns the epoch of shard if this process validly owns it now, else ownership.ErrNotOwner or
// ownership.ErrExpired. Call it immediately before each command or dispatch.
func (s *Service) Valid(shard structs.ShardID) (structs.Epoch, error) {
	epoch, _, err := s.cfg.State.Valid(shard)
	return epoch, err
}

// ValidUntil is like Valid and also returns the time, by this process's clock, at which the ownership ends without
// further renewals or promises. Commands should not have a later deadline.
func (s *Service) ValidUntil(shard structs.ShardID) (structs.Epoch, time.Time, error) {
	return s.cfg.State.Valid(shard)
}

// Owned returns the shards that this process owns, in no particular order.
func (s *Service) Owned() []structs.ShardID {
	s.mu.Lock()
	defer s.mu.Unlock()
	shards := make([]structs.ShardID, 0, len(s.owned))
	for shard := range s.owned {
		shards = append(shards, shard)
	}
	return shards
}

// LastStoreContact returns the send time of the last successful renewal of the owner lease. It is zero if there was
// none or the lease was lost.
func (s *Service) LastStoreContact() time.Time { return s.cfg.State.lastRenewal() }

// FormerAddresses returns the peer addresses of former owners that may still be running. Heartbeats to these addresses
// make this host known to them.
func (s *Service) FormerAddresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	addresses := make([]string, 0, len(s.formerAddrs))
	for _, addr := range s.formerAddrs {
		addresses = append(addresses, addr)
	}
	return addresses
}

// startRenewal renews the lease in the background unless RenewalsInFlight renewals are already in progress.
func (s *Service) startRenewal(ctx context.Context) {
	select {
	case s.renewalSlots <- struct{}{}:
	default:
		return
	}
	s.tasks.Go(func() {
		defer func() { <-s.renewalSlots }()
		s.Renew(ctx)
	})
}

// Renew renews the owner lease, or requests one if there is none. Run calls it every RenewInterval.
func (s *Service) Renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	lease, _ := s.cfg.State.lease()
	if lease == 0 {
		s.grant(ctx)
		return
	}
	sentAt := s.cfg.Clock()
	ttl, err := s.cfg.Store.KeepAlive(ctx, store.LeaseID(lease))
	switch {
	case errors.Is(err, store.ErrLeaseNotFound) || err == nil && ttl <= 0:
		s.cfg.State.leaseLost(lease)
		s.cfg.Log.Event(eventlog.OwnerLeaseLost).Int64("lease", int64(lease)).Msg("")
		s.Check()
		s.grant(ctx)
	case err != nil:
		s.storeFailed("renew owner lease", err)
	default:
		s.cfg.State.renewed(lease, sentAt, ttl)
		s.cfg.Metrics.Timer("ownership_renewal").Record(s.cfg.Clock().Sub(sentAt))
	}
}

// grant requests a lease for the owner records, unless there is one, a request is in progress or Release was called.
func (s *Service) grant(ctx context.Context) {
	if s.isStopping() || !s.grantMu.TryLock() {
		return
	}
	defer s.grantMu.Unlock()
	if lease, _ := s.cfg.State.lease(); lease != 0 {
		return
	}
	sentAt := s.cfg.Clock()
	ttl := s.cfg.State.limits.OwnerLeaseTTL
	lease, err := s.cfg.Store.GrantLease(ctx, ttl)
	if err != nil {
		s.storeFailed("grant owner lease", err)
		return
	}
	s.cfg.State.renewed(ownership.LeaseID(lease), sentAt, ttl)
	s.cfg.Log.Event(eventlog.OwnerLeaseGranted).Int64("lease", int64(lease)).Msg("")
}

// Check reports shards whose ownership has ended to OnLost. Run calls it every CheckInterval; Valid does not depend
// on it.
func (s *Service) Check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, leaseUntil := s.cfg.State.lease()
	for shard, o := range s.owned {
		_, _, err := s.cfg.State.Valid(shard)
		if err == nil {
			s.logPromiseUse(shard, o, leaseUntil)
			continue
		}
		// An expired ownership must not become valid again after its loss has been reported.
		s.cfg.State.released(shard)
		if o.releasing {
			continue
		}
		delete(s.owned, shard)
		s.notifying[shard] = true
		s.cfg.Log.Event(eventlog.ShardLost).Str("shard", shard.String()).Int64("epoch", int64(o.epoch)).Err(err).Msg("")
		s.cfg.Metrics.Counter("ownership_lost").Inc(1)
		s.tasks.Go(func() { s.reportLost(shard) })
	}
	s.cfg.Metrics.Gauge("ownership_shards").Update(float64(len(s.owned)))
}

// logPromiseUse logs when an ownership starts to depend on promises, and updates o.onPromises. s.mu is held.
func (s *Service) logPromiseUse(shard structs.ShardID, o *owned, leaseUntil time.Time) {
	onPromises := !s.cfg.Clock().Before(leaseUntil)
	if onPromises && !o.onPromises {
		s.cfg.Log.Event(eventlog.OwnerOnPromises).Str("shard", shard.String()).Msg("")
	}
	o.onPromises = onPromises
}

// reportLost calls OnLost and then removes shard from s.notifying.
func (s *Service) reportLost(shard structs.ShardID) {
	s.cfg.OnLost(shard)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.notifying, shard)
}

func (s *Service) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// storeFailed counts a failed store call and logs it at most once per FailureLogInterval and operation.
func (s *Service) storeFailed(operation string, err error) {
	s.cfg.Metrics.Counter("ownership_store_errors").Inc(1)
	now := s.cfg.Clock()
	s.mu.Lock()
	last, logged := s.failureLoggedAt[operation]
	suppressed := logged && now.Sub(last) < FailureLogInterval
	if !suppressed {
		s.failureLoggedAt[operation] = now
	}
	s.mu.Unlock()
	if suppressed {
		return
	}
	s.cfg.Log.Event(eventlog.OwnershipError).Str("operation", operation).Err(err).Msg("")
}
