package ownership

import (
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/membership"
	"fulmarcourse.example/core/structs"
)

// Errors of Valid. Callers test them with errors.Is.
const (
	// ErrNotOwner means that this process has not acquired the shard or has lost it.
	ErrNotOwner = errors.ConstError("not the owner of the shard")
	// ErrExpired means that the lease has lapsed and promises do not cover the time since.
	ErrExpired = errors.ConstError("ownership of the shard has expired")
)

// LeaseID names the store lease of the owner records. 0 means none.
type LeaseID int64

// Promise is a member's statement that it will not claim shards of this process.
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

// witness is a member whose promises this process needs when the store cannot be reached.
type witness struct {
	incarnation string
	until       time.Time // end of the latest promise; zero if none was received
	heardAt     time.Time // receipt of the latest promise
}

type holding struct {
	epoch structs.Epoch
	lease LeaseID
}

// Holder computes whether this process validly owns its shards. It is not safe for concurrent use; the caller
// holds a lock.
type Holder struct {
	self      structs.HostID
	limits    Limits
	lease     LeaseID
	renewedAt time.Time // send time of the last successful renewal
	granted   time.Duration
	registry  int64 // store revision of the last registry read
	witnesses map[structs.HostID]*witness
	gapUntil  time.Time // a member may have claimed, and even released, at some moment before this one
	dead      deadSet
	shards    map[structs.ShardID]holding
}

// NewHolder returns the holder of a process on host self that owns nothing.
func NewHolder(self structs.HostID, limits Limits) *Holder {
	return &Holder{
		self:      self,
		limits:    limits,
		witnesses: make(map[structs.HostID]*witness),
		dead:      make(deadSet),
		shards:    make(map[structs.ShardID]holding),
	}
}

// Renewed records that the store granted or renewed lease on a request sent at sentAt, for ttl. A new lease
// replaces the former one, whose shards must have been lost or released.
func (h *Holder) Renewed(lease LeaseID, sentAt time.Time, ttl time.Duration) {
	if lease == h.lease && !sentAt.After(h.renewedAt) {
		return // answers can be reordered
	}
	h.lease, h.renewedAt, h.granted = lease, sentAt, min(ttl, h.limits.OwnerLeaseTTL)
}

// LeaseLost records that the store does not know lease. It returns the shards that were held under it.
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

// Lease returns the current lease and the end of its certain validity.
func (h *Holder) Lease() (LeaseID, time.Time) { return h.lease, h.leaseUntil() }

// LastRenewal returns the send time of the last successful renewal, zero if there is none.
func (h *Holder) LastRenewal() time.Time { return h.renewedAt }

// Acquired records at `now` a successful claim under lease. epoch is the create revision of the owner record.
// Promises count only if the lease was still valid at `now`: the record may have lapsed while the answer of the
// claim was under way.
func (h *Holder) Acquired(shard structs.ShardID, epoch structs.Epoch, lease LeaseID, now time.Time) {
	h.shards[shard] = holding{epoch: epoch, lease: lease}
	h.gapBefore(now)
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

// RecordPromise records a promise of a member that is registered. A member that is not known yet is needed
// from its first promise on: only the acknowledgement of that promise permits it to rely on promises when it
// claims.
func (h *Holder) RecordPromise(p Promise) {
	if p.From.Host == h.self || p.TTL <= 0 || h.dead.has(p.From) {
		return
	}
	w, known := h.witnesses[p.From.Host]
	if known && w.incarnation != p.From.Incarnation {
		if membership.Newer(w.incarnation, p.From.Incarnation) {
			return // late answer of an earlier process
		}
		h.drop(p.From.Host, p.ReceivedAt)
		known = false
	}
	if !known {
		w = &witness{incarnation: p.From.Incarnation}
		h.witnesses[p.From.Host] = w
	} else {
		h.notePromise(w, p.ReceivedAt)
	}
	if until := p.SentAt.Add(shorten(min(p.TTL, h.limits.PromiseTTL))); until.After(w.until) {
		w.until = until
	}
	if p.ReceivedAt.After(w.heardAt) {
		w.heardAt = p.ReceivedAt
	}
}

// notePromise records a gap if the promises of a witness did not last until `at`. The receipt of a promise counts,
// not the send time of its heartbeat: the promise may have been given at any moment between.
func (h *Holder) notePromise(w *witness, at time.Time) {
	if at.After(w.until) {
		h.gapBefore(at)
	}
}

// gapBefore records that a member may have claimed before `at`.
func (h *Holder) gapBefore(at time.Time) {
	if at.After(h.gapUntil) {
		h.gapUntil = at
	}
}

// SetRegistry records a read of the member registry, sent at sentAt and answered at receivedAt. members are those
// of this data centre.
func (h *Holder) SetRegistry(revision int64, sentAt, receivedAt time.Time, members []RegisteredMember) {
	if revision < h.registry {
		return
	}
	for _, held := range h.shards {
		if int64(held.epoch) > h.registry && int64(held.epoch) <= revision {
			h.gapBefore(receivedAt) // until now, members that are not known here may have claimed
		}
	}
	h.registry = revision
	listed := make(map[structs.HostID]bool, len(members))
	for _, m := range members {
		listed[m.Host] = true
		if m.Host == h.self || h.dead.has(m.Process) {
			continue
		}
		w, known := h.witnesses[m.Host]
		if !known || membership.Newer(m.Incarnation, w.incarnation) {
			h.witnesses[m.Host] = &witness{incarnation: m.Incarnation}
		}
	}
	for host, w := range h.witnesses {
		// A member that promised after the read was sent may have registered after it.
		if !listed[host] && sentAt.After(w.heardAt) {
			h.drop(host, receivedAt)
		}
	}
}

// MemberLeft records that a process gave up its right to claim for good no later than `at`. A message that only says
// that the process is not registered is no such proof: it may have been under way while the process registered.
func (h *Holder) MemberLeft(p membership.Process, at time.Time) {
	if w, known := h.witnesses[p.Host]; known && w.incarnation == p.Incarnation {
		h.drop(p.Host, at)
	}
}

// MemberDied records proof that a process is dead since `at` or earlier.
func (h *Holder) MemberDied(p membership.Process, at time.Time) {
	h.dead.add(p)
	h.MemberLeft(p, at)
}

// drop ends the need for promises of a member that cannot have claimed after `at`.
func (h *Holder) drop(host structs.HostID, at time.Time) {
	h.notePromise(h.witnesses[host], at)
	delete(h.witnesses, host)
}

// Dead reports whether a process was proved dead.
func (h *Holder) Dead(p membership.Process) bool { return h.dead.has(p) }

// Valid returns the epoch of shard and the moment until which this process validly owns it, or ErrNotOwner or
// ErrExpired. Without further renewals and promises it returns ErrExpired from that moment on.
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
	return h.renewedAt.Add(h.granted - h.limits.OwnerMargin)
}

// promisedUntil returns the end of the time covered by promises, if they cover the time from the lapse of the
// lease to now.
func (h *Holder) promisedUntil(epoch structs.Epoch, now time.Time) (time.Time, bool) {
	if h.registry < int64(epoch) {
		return time.Time{}, false // a member may have registered before the claim without our knowledge
	}
	leaseUntil := h.leaseUntil()
	if leaseUntil.Before(h.gapUntil) {
		return time.Time{}, false
	}
	until := h.renewedAt.Add(shorten(h.limits.ExtensionLimit))
	for _, w := range h.witnesses {
		if w.until.Before(until) {
			until = w.until
		}
	}
	return until, now.Before(until)
}
