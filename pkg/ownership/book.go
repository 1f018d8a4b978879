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
// Lock order: ProcessState.mu is the innermost lock. No method calls out while holding it.
type ProcessState struct {
	self   membership.Process
	limits ownership.Limits
	clock  func() time.Time

	mu     sync.Mutex // guards the fields below
	holder *ownership.Holder
	ledger *ownership.Ledger
}

// NewProcessState returns the empty book of process self. A nil clock means time.Now.
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
func (b *ProcessState) MayClaim() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Registration() != 0
}

// Promise returns the promise for a reply with number sequence to a heartbeat of the process to, and whether
// this process may claim. The heartbeat service calls it once per reply.
func (b *ProcessState) Promise(to membership.Process, sequence uint64) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	ttl := b.ledger.Promise(to, sequence, b.clock())
	return ttl, b.ledger.Registration() != 0
}

// RecordPromise records a promise of a registered member of this data centre.
func (b *ProcessState) RecordPromise(p ownership.Promise) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holder.RecordPromise(p)
}

// Acknowledge records that peer echoed the reply with number sequence, which carried a promise.
func (b *ProcessState) Acknowledge(peer membership.Process, sequence uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Acknowledge(peer, sequence)
}

// MemberLeft records that p gave up its right to claim for good no later than at.
func (b *ProcessState) MemberLeft(p membership.Process, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holder.MemberLeft(p, at)
}

// MemberDied records proof that the process p is dead since at or earlier.
func (b *ProcessState) MemberDied(p membership.Process, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holder.MemberDied(p, at)
}

// Valid returns the epoch of shard and the moment until which this process owns it, by its clock. The errors
// are ownership.ErrNotOwner and ownership.ErrExpired.
func (b *ProcessState) Valid(shard structs.ShardID) (structs.Epoch, time.Time, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holder.Valid(shard, b.clock())
}

// held returns the shards that were acquired and neither lost nor released.
func (b *ProcessState) held() map[structs.ShardID]structs.Epoch {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holder.Held()
}

func (b *ProcessState) registered(revision int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Registered(revision)
}

func (b *ProcessState) registration() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Registration()
}

func (b *ProcessState) renewed(lease ownership.LeaseID, sentAt time.Time, ttl time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holder.Renewed(lease, sentAt, ttl)
}

func (b *ProcessState) leaseLost(lease ownership.LeaseID) []structs.ShardID {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holder.LeaseLost(lease)
}

func (b *ProcessState) lease() (ownership.LeaseID, time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holder.Lease()
}

func (b *ProcessState) lastRenewal() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holder.LastRenewal()
}

func (b *ProcessState) acquired(shard structs.ShardID, epoch structs.Epoch, lease ownership.LeaseID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holder.Acquired(shard, epoch, lease, b.clock())
	b.ledger.Resume(shard)
}

func (b *ProcessState) released(shard structs.ShardID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holder.Released(shard)
}

func (b *ProcessState) setRegistry(revision int64, sentAt, receivedAt time.Time, members []ownership.RegisteredMember) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holder.SetRegistry(revision, sentAt, receivedAt, members)
}

func (b *ProcessState) resume(shard structs.ShardID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Resume(shard)
}

// decideClaim completes in with what the book knows and decides. If the decision says so, promises to the
// former owner are withheld before the lock is released, so that none is given between the decision and the
// claim.
func (b *ProcessState) decideClaim(shard structs.ShardID, in ownership.ClaimInput) ownership.ClaimDecision {
	b.mu.Lock()
	defer b.mu.Unlock()
	in.Self = b.self
	if in.Former != nil {
		in.FormerDead = b.holder.Dead(in.Former.Process)
		in.RequiredByFormer = b.ledger.RequiredBy(in.Former.Process, in.Former.Epoch)
		in.PromisedUntil = b.ledger.PromisedUntil(in.Former.Host)
	}
	decision := ownership.DecideClaim(in, b.limits, b.clock())
	if decision.Withhold {
		b.ledger.Withhold(shard, in.Former.Host)
	} else {
		b.ledger.Resume(shard)
	}
	return decision
}
