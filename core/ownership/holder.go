package ownership

import (
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/membership"
	"fulmarcourse.example/core/structs"
)

// Errors of Valid. Use errors.Is to test for them.
const (
	// ErrNotOwner means that this process has not acquired the shard or has lost it.
	ErrNotOwner = errors.ConstError("not the owner of the shard")
	// ErrExpired means that the lease has expired and promises do not cover the time since.
	ErrExpired = errors.ConstError("ownership of the shard has expired")
)

// LeaseID identifies the store lease of the owner records. 0 means no lease.
type LeaseID int64

// Promise is a time-limited commitment of a member not to claim shards of this process.
type Promise struct {
	From       membership.Process
	SentAt     time.Time // send time of the heartbeat that the promise answered, by the clock of this process
	ReceivedAt time.Time
	TTL        time.Duration
}

// RegisteredMember is an entry of the member registry.
type RegisteredMember struct {
	membership.Process
	PeerAddr string
}

// requiredPeer is a member whose promises this process requires to extend its ownership beyond the lease.
type requiredPeer struct {
	incarnation   string
	until         time.Time // end of the latest promise; zero if none was received
	lastPromiseAt time.Time // receipt time of the latest promise; zero if none was received
}

// holding is a shard that this process has acquired and neither lost nor released.
type holding struct {
	epoch structs.Epoch
	lease LeaseID
}

// Holder computes whether this process validly owns its shards. It is not safe for concurrent use; the caller
// holds a lock.
type Holder struct {
	self             structs.HostID
	limits           Limits
	lease            LeaseID
	renewedAt        time.Time // send time of the last successful renewal
	leaseTTL         time.Duration
	registryRevision int64 // store revision of the last registry read
	requiredPeers    map[structs.HostID]*requiredPeer
	gapUntil         time.Time // a member may have claimed, and possibly released again, at any time before this
	dead             deadSet
	shards           map[structs.ShardID]holding
}

// NewHolder returns a Holder for a process on host self that owns no shards.
func NewHolder(self structs.HostID, limits Limits) *Holder {
	return &Holder{
		self:          self,
		limits:        limits,
		requiredPeers: make(map[structs.HostID]*requiredPeer),
		dead:          make(deadSet),
		shards:        make(map[structs.ShardID]holding),
	}
}

// Renewed records that the store granted or renewed lease on a request sent at sentAt, for ttl. A new lease
// replaces the previous one, whose shards must have been lost or released.
func (h *Holder) Renewed(lease LeaseID, sentAt time.Time, ttl time.Duration) {
	if lease == h.lease && !sentAt.After(h.renewedAt) {
		return // responses can arrive out of order
	}
	h.lease, h.renewedAt, h.leaseTTL = lease, sentAt, min(ttl, h.limits.OwnerLeaseTTL)
}

// LeaseLost records that lease no longer exists in the store. It returns the shards that were held under it.
func (h *Holder) LeaseLost(lease LeaseID) []structs.ShardID {
	var lost []structs.ShardID
	for shard, held := range h.shards {
		if held.lease == lease {
			lost = append(lost, shard)
			delete(h.shards, shard)
		}
	}
	if h.lease == lease {
		h.lease, h.renewedAt = 0, time.Time{}
	}
	return lost
}

// Lease returns the current lease and the time until which it is guaranteed to be valid.
func (h *Holder) Lease() (LeaseID, time.Time) { return h.lease, h.leaseUntil() }

// LastRenewal returns the send time of the last successful renewal, zero if there is none.
func (h *Holder) LastRenewal() time.Time { return h.renewedAt }

// Acquired records a successful claim under lease at `now`. epoch is the create revision of the owner record.
// Promises count only if the lease was still valid at `now`: the lease may have expired, and its record may have been
// deleted, while the response to the claim was in transit.
func (h *Holder) Acquired(shard structs.ShardID, epoch structs.Epoch, lease LeaseID, now time.Time) {
	h.shards[shard] = holding{epoch: epoch, lease: lease}
	h.recordGap(now)
}

// Released ends the ownership of shard. The record may still exist.
func (h *Holder) Released(shard structs.ShardID) { delete(h.shards, shard) }

// Held returns the epochs of the shards that were acquired and neither lost nor released, valid or not.
func (h *Holder) Held() map[structs.ShardID]structs.Epoch {
	held := make(map[structs.ShardID]structs.Epoch, len(h.shards))
	for shard, holding := range h.shards {
		held[shard] = holding.epoch
	}
	return held
}

// RecordPromise records a promise of a registered member. A member that is not known yet is required from its first
// promise on: the member may base a claim on the expiry of its promises only after this process has acknowledged one.
func (h *Holder) RecordPromise(p Promise) {
	if p.From.Host == h.self || p.TTL <= 0 || h.dead.has(p.From) {
		return
	}
	peer, known := h.requiredPeers[p.From.Host]
	if known && peer.incarnation != p.From.Incarnation {
		if membership.Newer(peer.incarnation, p.From.Incarnation) {
			return // late reply of an earlier incarnation
		}
		h.removePeer(p.From.Host, p.ReceivedAt)
		known = false
	}
	if !known {
		peer = &requiredPeer{incarnation: p.From.Incarnation}
		h.requiredPeers[p.From.Host] = peer
	} else {
		h.recordPromiseGap(peer, p.ReceivedAt)
	}
	if until := p.SentAt.Add(deductDrift(min(p.TTL, h.limits.PromiseTTL))); until.After(peer.until) {
		peer.until = until
	}
	if p.ReceivedAt.After(peer.lastPromiseAt) {
		peer.lastPromiseAt = p.ReceivedAt
	}
}

// recordPromiseGap records a gap if the promises of a required peer did not last until `at`. For a new promise, `at` is
// its receipt time, not the send time of its heartbeat: the peer may have given it at any time between the two.
func (h *Holder) recordPromiseGap(peer *requiredPeer, at time.Time) {
	if at.After(peer.until) {
		h.recordGap(at)
	}
}

// recordGap records that a member may have claimed at some time before `at`.
func (h *Holder) recordGap(at time.Time) {
	if at.After(h.gapUntil) {
		h.gapUntil = at
	}
}

// SetRegistry records a read of the member registry at revision, sent at sentAt and answered at receivedAt. members
// are the registered members of this data centre. Reads older than the latest recorded one are ignored.
func (h *Holder) SetRegistry(revision int64, sentAt, receivedAt time.Time, members []RegisteredMember) {
	if revision < h.registryRevision {
		return
	}
	for _, held := range h.shards {
		if int64(held.epoch) > h.registryRevision && int64(held.epoch) <= revision {
			h.recordGap(receivedAt) // until now, members unknown to this process may have claimed
		}
	}
	h.registryRevision = revision
	listed := make(map[structs.HostID]bool, len(members))
	for _, m := range members {
		listed[m.Host] = true
		if m.Host == h.self || h.dead.has(m.Process) {
			continue
		}
		peer, known := h.requiredPeers[m.Host]
		if !known || membership.Newer(m.Incarnation, peer.incarnation) {
			h.requiredPeers[m.Host] = &requiredPeer{incarnation: m.Incarnation}
		}
	}
	for host, peer := range h.requiredPeers {
		// A member whose promise arrived after the read was sent may have registered after the read.
		if !listed[host] && sentAt.After(peer.lastPromiseAt) {
			h.removePeer(host, receivedAt)
		}
	}
}

// MemberLeft records that a process permanently withdrew from claiming no later than `at`. A message that only states
// that the process is not registered does not prove this: the process may have registered while it was in transit.
func (h *Holder) MemberLeft(p membership.Process, at time.Time) {
	if peer, known := h.requiredPeers[p.Host]; known && peer.incarnation == p.Incarnation {
		h.removePeer(p.Host, at)
	}
}

// MemberDied records that a process is proved to have died at `at` or earlier.
func (h *Holder) MemberDied(p membership.Process, at time.Time) {
	h.dead.add(p)
	h.MemberLeft(p, at)
}

// removePeer removes a member that cannot have claimed after `at` from the required peers.
func (h *Holder) removePeer(host structs.HostID, at time.Time) {
	h.recordPromiseGap(h.requiredPeers[host], at)
	delete(h.requiredPeers, host)
}

// Dead reports whether a process was proved dead.
func (h *Holder) Dead(p membership.Process) bool { return h.dead.has(p) }

// Valid returns the epoch of shard and the time until which this process validly owns it, or ErrNotOwner or
// ErrExpired. Without further renewals and promises it returns ErrExpired from that time on.
func (h *Holder) Valid(shard structs.ShardID, now time.Time) (structs.Epoch, time.Time, error) {
	held, ok := h.shards[shard]
	if !ok || held.lease != h.lease {
		return 0, time.Time{}, ErrNotOwner
	}
	if until := h.leaseUntil(); now.Before(until) {
		return held.epoch, until, nil
	}
	until, ok := h.promisedUntil(held.epoch, now)
	if !ok {
		return 0, time.Time{}, ErrExpired
	}
	return held.epoch, until, nil
}

func (h *Holder) leaseUntil() time.Time {
	if h.renewedAt.IsZero() {
		return time.Time{}
	}
	return h.renewedAt.Add(h.leaseTTL - h.limits.OwnerMargin)
}

// promisedUntil returns the end of the time covered by promises, if they cover the time from the expiry of the
// lease to now.
func (h *Holder) promisedUntil(epoch structs.Epoch, now time.Time) (time.Time, bool) {
	if h.registryRevision < int64(epoch) {
		return time.Time{}, false // members that registered before the claim may be missing from the last registry read
	}
	leaseUntil := h.leaseUntil()
	if leaseUntil.Before(h.gapUntil) {
		return time.Time{}, false
	}
	until := h.renewedAt.Add(deductDrift(h.limits.ExtensionLimit))
	for _, peer := range h.requiredPeers {
		if peer.until.Before(until) {
			until = peer.until
		}
	}
	return until, now.Before(until)
}
