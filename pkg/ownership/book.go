package ownership

import (
	"sync"
	"time"

	"fulmarcourse.example/core/membership"
	"fulmarcourse.example/core/ownership"
	"fulmarcourse.example/core/structs"
)

// ProcessState holds the ownership and promise state of one process. The heartbeat service and the ownership Service
// share it. It is safe for concurrent use; its methods do not block.
//
// Lock order: ProcessState.mu is the innermost lock. No other lock is acquired while it is held.
type ProcessState struct {
	self   membership.Process
	limits ownership.Limits
	clock  func() time.Time

	mu     sync.Mutex // guards the fields below
	holder *ownership.Holder
	ledger *ownership.Ledger
}

// NewProcessState returns an empty ProcessState for process self. A nil clock means time.Now.
func NewProcessState(self membership.Process, limits ownership.Limits, clock func() time.Time) *ProcessState {
	if clock == nil {
		clock = time.Now
	}
	return &ProcessState{
		self:   self,
		limits: limits,
		clock:  clock,
		holder: ownership.NewHolder(self.Host, limits),
		ledger: ownership.NewLedger(limits),
	}
}

// MayClaim reports whether this process is in the member registry.
func (ps *ProcessState) MayClaim() bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.ledger.Registration() != 0
}

// Promise records a promise to process `to`, for the reply with the given sequence number to a heartbeat of that
// process. It returns the duration of the promise, 0 for none, and whether this process may claim. The heartbeat
// service calls it once per reply.
func (ps *ProcessState) Promise(to membership.Process, sequence uint64) (time.Duration, bool) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ttl := ps.ledger.Promise(to, sequence, ps.clock())
	return ttl, ps.ledger.Registration() != 0
}

// RecordPromise records a promise of a registered member of this data centre.
func (ps *ProcessState) RecordPromise(p ownership.Promise) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.holder.RecordPromise(p)
}

// Acknowledge records that peer echoed sequence, the sequence number of a reply that carried a promise.
func (ps *ProcessState) Acknowledge(peer membership.Process, sequence uint64) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.ledger.Acknowledge(peer, sequence)
}

// MemberLeft records that process p permanently withdrew from claiming no later than `at`.
func (ps *ProcessState) MemberLeft(p membership.Process, at time.Time) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.holder.MemberLeft(p, at)
}

// MemberDied records that process p is proved to have died at `at` or earlier.
func (ps *ProcessState) MemberDied(p membership.Process, at time.Time) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.holder.MemberDied(p, at)
}

// Valid returns the epoch of shard and the time until which this process validly owns it, by its clock. The errors
// are ownership.ErrNotOwner and ownership.ErrExpired.
func (ps *ProcessState) Valid(shard structs.ShardID) (structs.Epoch, time.Time, error) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.holder.Valid(shard, ps.clock())
}

// held returns the shards that were acquired and neither lost nor released.
func (ps *ProcessState) held() map[structs.ShardID]structs.Epoch {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.holder.Held()
}

func (ps *ProcessState) registered(revision int64) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.ledger.Registered(revision)
}

func (ps *ProcessState) registration() int64 {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.ledger.Registration()
}

func (ps *ProcessState) renewed(lease ownership.LeaseID, sentAt time.Time, ttl time.Duration) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.holder.Renewed(lease, sentAt, ttl)
}

func (ps *ProcessState) leaseLost(lease ownership.LeaseID) []structs.ShardID {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.holder.LeaseLost(lease)
}

func (ps *ProcessState) lease() (ownership.LeaseID, time.Time) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.holder.Lease()
}

func (ps *ProcessState) lastRenewal() time.Time {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.holder.LastRenewal()
}

func (ps *ProcessState) acquired(shard structs.ShardID, epoch structs.Epoch, lease ownership.LeaseID) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.holder.Acquired(shard, epoch, lease, ps.clock())
	ps.ledger.Resume(shard)
}

func (ps *ProcessState) released(shard structs.ShardID) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.holder.Released(shard)
}

func (ps *ProcessState) setRegistry(revision int64, sentAt, receivedAt time.Time, members []ownership.RegisteredMember) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.holder.SetRegistry(revision, sentAt, receivedAt, members)
}

func (ps *ProcessState) resume(shard structs.ShardID) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.ledger.Resume(shard)
}

// decideClaim fills in the fields of in that depend on the process state and decides on the claim. If the decision
// requires it, promises to the former owner are withheld before the lock is released, so that none is given between
// the decision and the claim.
func (ps *ProcessState) decideClaim(shard structs.ShardID, in ownership.ClaimInput) ownership.ClaimDecision {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	in.Self = ps.self
	if in.Former != nil {
		in.FormerDead = ps.holder.Dead(in.Former.Process)
		in.RequiredByFormer = ps.ledger.RequiredBy(in.Former.Process, in.Former.Epoch)
		in.PromisedUntil = ps.ledger.PromisedUntil(in.Former.Host)
	}
	decision := ownership.DecideClaim(in, ps.limits, ps.clock())
	if decision.Withhold {
		ps.ledger.Withhold(shard, in.Former.Host)
	} else {
		ps.ledger.Resume(shard)
	}
	return decision
}
