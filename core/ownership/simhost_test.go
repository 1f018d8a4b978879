package ownership

import (
	"fmt"
	"time"

	"fulmarcourse.example/core/membership"
	"fulmarcourse.example/core/structs"
)

// simHost is one entry host. A crash ends its process and clears simProcess; the other fields remain.
type simHost struct {
	sim    *sim
	index  int
	rate   float64
	offset time.Duration
	starts int

	running, paused bool
	inbox           []func()
	simProcess
}

// simProcess is the in-memory state of a process.
type simProcess struct {
	process      membership.Process
	holder       *Holder
	ledger       *Ledger
	table        *membership.Table
	leaving      bool
	lease        LeaseID
	memberLease  LeaseID
	sequence     uint64
	echo         map[membership.Process]uint64
	refusals     map[membership.Process]*Refusals
	reads        int
	absentSince  time.Time
	lastOwnerRev int64
	pending      *simClaim
}

func (h *simHost) start() {
	h.starts++
	process := membership.Process{Host: hostIDs[h.index], Incarnation: fmt.Sprintf("%04d", h.starts)}
	h.running, h.paused, h.inbox = true, false, nil
	h.simProcess = simProcess{
		process: process, holder: NewHolder(process.Host, h.sim.limits), ledger: NewLedger(h.sim.limits),
		table: membership.NewTable(process, simShard.Datacentre),
		echo:  make(map[membership.Process]uint64), refusals: make(map[membership.Process]*Refusals),
	}
}

// crash ends the process and discards its state.
func (h *simHost) crash() {
	h.running, h.paused, h.inbox = false, false, nil
	h.simProcess = simProcess{}
}

func (h *simHost) now() time.Time {
	return simStart.Add(h.offset + time.Duration(float64(time.Duration(h.sim.tick)*step)*h.rate))
}

// deliver runs fn if process is still running on the host; if it is paused, fn runs when it resumes.
func (h *simHost) deliver(process membership.Process, fn func()) {
	if !h.running || h.process != process {
		return
	}
	if h.paused {
		h.inbox = append(h.inbox, fn)
		return
	}
	fn()
}

func (h *simHost) resume() {
	h.paused = false
	inbox := h.inbox
	h.inbox = nil
	for _, fn := range inbox {
		fn()
	}
}

// act runs one step of the service loops. An expired ownership is released with a random delay, because validity must
// not depend on the release.
func (h *simHost) act() {
	if !h.running || h.paused {
		return
	}
	if _, _, err := h.holder.Valid(simShard, h.now()); err != nil && h.sim.rng.IntN(20) == 0 {
		h.holder.Released(simShard)
	}
	phase := h.sim.tick + h.index
	if phase%10 == 0 {
		h.renew()
		h.register()
	}
	if phase%5 == 0 {
		for _, peer := range h.sim.hosts {
			if peer != h {
				h.heartbeat(peer)
			}
		}
		h.reconcile()
	}
}

func (h *simHost) renew() {
	sentAt, lease, limits := h.now(), h.lease, h.sim.limits
	if lease == 0 {
		if !h.leaving {
			call(h, func() LeaseID { return h.sim.grant(limits.OwnerLeaseTTL) }, func(id LeaseID) {
				if h.lease == 0 {
					h.lease = id
					h.holder.Renewed(id, sentAt, limits.OwnerLeaseTTL)
				}
			})
		}
		return
	}
	call(h, func() bool { return h.sim.keepAlive(lease) }, func(known bool) {
		if known {
			h.holder.Renewed(lease, sentAt, limits.OwnerLeaseTTL)
			return
		}
		h.holder.LeaseLost(lease)
		if h.lease == lease {
			h.lease = 0
		}
	})
}

func (h *simHost) register() {
	if h.leaving {
		return
	}
	host, process, lease := h.process.Host, h.process, h.memberLease
	if h.ledger.Registration() == 0 {
		call(h, func() simRecord {
			h.sim.store.revision++
			entry := simRecord{owner: process, lease: h.sim.grant(memberTTL), revision: h.sim.store.revision}
			h.sim.store.members[host] = &entry
			return entry
		}, func(entry simRecord) {
			if h.ledger.Registration() < entry.revision && !h.leaving {
				h.memberLease = entry.lease
				h.ledger.Registered(entry.revision)
			}
		})
	} else {
		call(h, func() bool { return h.sim.keepAlive(lease) }, func(known bool) {
			if !known && h.memberLease == lease {
				h.ledger.Unregistered()
			}
		})
	}
	sentAt := h.now()
	type registry struct {
		revision int64
		members  []RegisteredMember
	}
	call(h, func() registry {
		r := registry{revision: h.sim.store.revision}
		for _, host := range hostIDs {
			if entry := h.sim.store.members[host]; entry != nil {
				r.members = append(r.members, RegisteredMember{Process: entry.owner})
			}
		}
		return r
	}, func(r registry) { h.holder.SetRegistry(r.revision, sentAt, h.now(), r.members) })
}

func (h *simHost) report() membership.Report {
	h.sequence++
	return membership.Report{
		Process: h.process, Datacentre: simShard.Datacentre, PeerAddr: string(h.process.Host), Leaving: h.leaving,
		MayClaim: h.ledger.Registration() != 0, Sequence: h.sequence,
	}
}

// heartbeat sends a heartbeat to peer, which replies with a promise.
func (h *simHost) heartbeat(peer *simHost) {
	s := h.sim
	if s.cut[h.index][peer.index] {
		return
	}
	if !peer.running {
		h.refused(peer)
		return
	}
	target, sentAt, process := peer.process, h.now(), h.process
	report, echo := h.report(), h.echo[target]
	s.schedule(s.delay(), func() {
		peer.deliver(target, func() {
			reply, ttl := peer.handleHeartbeat(report, echo)
			if s.cut[peer.index][h.index] {
				return
			}
			s.schedule(s.delay(), func() { h.deliver(process, func() { h.handleReply(reply, ttl, sentAt) }) })
		})
	})
}

func (h *simHost) handleHeartbeat(report membership.Report, echo uint64) (membership.Report, time.Duration) {
	outcome, former := h.table.ObserveRequest(report, h.now())
	if outcome == membership.Stale {
		return h.report(), 0
	}
	h.ledger.Acknowledge(report.Process, echo)
	if outcome != membership.Reordered && report.Withdrawn() {
		h.holder.MemberLeft(report.Process, h.now())
	}
	if outcome == membership.Replaced && membership.Newer(report.Incarnation, former.Incarnation) {
		h.holder.MemberDied(former, h.now())
	}
	own := h.report()
	return own, h.ledger.Promise(report.Process, own.Sequence, h.now())
}

func (h *simHost) handleReply(report membership.Report, ttl time.Duration, sentAt time.Time) {
	outcome, former := h.table.ObserveReply(report, sentAt, h.now(), -1)
	if outcome == membership.Stale {
		return
	}
	if outcome == membership.Replaced && membership.Newer(report.Incarnation, former.Incarnation) {
		h.holder.MemberDied(former, h.now())
	}
	latest, _ := h.table.Member(report.Host, h.now())
	if latest.Withdrawn() {
		h.holder.MemberLeft(report.Process, h.now())
	} else if latest.MayClaim && report.MayClaim && ttl > 0 {
		h.holder.RecordPromise(Promise{From: report.Process, SentAt: sentAt, ReceivedAt: h.now(), TTL: ttl})
		h.echo[report.Process] = max(h.echo[report.Process], report.Sequence)
	}
}

// refused records a refused connection to a host that runs no process.
func (h *simHost) refused(peer *simHost) {
	if member, known := h.table.Member(hostIDs[peer.index], h.now()); known {
		h.recordRefusal(member.Process)
	}
}

func (h *simHost) recordRefusal(process membership.Process) {
	if h.refusals[process] == nil {
		h.refusals[process] = &Refusals{}
	}
	if h.refusals[process].Record(true, h.now()) {
		h.holder.MemberDied(process, h.refusals[process].First())
	}
}

type simSnapshot struct {
	shard, last *simRecord
	revision    int64
}

func (h *simHost) reconcile() {
	if h.leaving {
		return
	}
	h.reads++
	read, sentAt := h.reads, h.now()
	call(h, func() simSnapshot {
		return simSnapshot{h.sim.store.shard, h.sim.store.last, h.sim.store.revision}
	}, func(snapshot simSnapshot) {
		if read == h.reads && h.now().Sub(sentAt) < callTimeout && !h.leaving {
			h.handleSnapshot(snapshot)
		}
	})
}

func (h *simHost) handleSnapshot(snapshot simSnapshot) {
	epoch, held := h.holder.Held()[simShard]
	record := snapshot.shard
	switch {
	case record != nil && record.owner == h.process:
		h.absentSince = time.Time{}
		if h.pending != nil && record.nonce == h.pending.record.nonce {
			h.acquire(*record)
		} else if !held || record.revision != int64(epoch) {
			revision := record.revision
			call(h, func() bool { h.sim.release(revision); return true }, func(bool) {})
		}
	case record != nil:
		h.absentSince = time.Time{}
		if held && record.revision > int64(epoch) {
			h.holder.Released(simShard)
		}
		h.pending = nil
		h.ledger.Resume(simShard)
	case held && snapshot.revision >= int64(epoch):
		h.holder.Released(simShard)
	case !held && h.pending != nil:
		h.sendClaim()
	case !held:
		h.tryClaim(snapshot.last)
	}
}

func (h *simHost) tryClaim(last *simRecord) {
	in := ClaimInput{Self: h.process}
	if h.sim.delays {
		in.Rank = h.sim.rng.IntN(2)
	}
	lastOwnerRev := int64(0)
	if last != nil {
		lastOwnerRev = last.revision
		in.Former = &FormerOwner{Process: last.owner, Epoch: structs.Epoch(last.revision)}
		in.FormerDead = h.holder.Dead(last.owner)
		in.RequiredByFormer = h.ledger.RequiredBy(last.owner, in.Former.Epoch)
		in.PromisedUntil = h.ledger.PromisedUntil(last.owner.Host)
	}
	if h.absentSince.IsZero() || lastOwnerRev != h.lastOwnerRev {
		h.absentSince, h.lastOwnerRev = h.now(), lastOwnerRev
	}
	in.AbsentSince = h.absentSince
	decision := DecideClaim(in, h.sim.limits, h.now())
	if decision.Withhold {
		h.ledger.Withhold(simShard, in.Former.Host)
	} else {
		h.ledger.Resume(simShard)
	}
	if decision.Reason == ClaimFormerMayBeRunning {
		h.probe(last.owner)
	}
	if !decision.Allowed || h.lease == 0 || h.ledger.Registration() == 0 {
		return
	}
	h.sim.nonce++
	h.pending = &simClaim{
		record:       simRecord{owner: h.process, nonce: h.sim.nonce, lease: h.lease},
		lastOwnerRev: lastOwnerRev, memberRev: h.ledger.Registration(),
	}
	h.sendClaim()
}

// probe connects to the address of a former owner; the connection is refused if its process has ended.
func (h *simHost) probe(former membership.Process) {
	for _, peer := range h.sim.hosts {
		gone := !peer.running || peer.process != former
		reachable := !h.sim.cut[h.index][peer.index] && !h.sim.cut[peer.index][h.index]
		if hostIDs[peer.index] == former.Host && gone && reachable {
			h.recordRefusal(former)
		}
	}
}

func (h *simHost) sendClaim() {
	claim := *h.pending
	call(h, func() *simRecord { return h.sim.claim(claim) }, func(record *simRecord) {
		if h.pending == nil || h.pending.record.nonce != claim.record.nonce {
			return
		}
		if record != nil && record.nonce == claim.record.nonce {
			h.acquire(*record)
			return
		}
		h.pending = nil
		h.ledger.Resume(simShard)
	})
}

func (h *simHost) acquire(record simRecord) {
	h.pending = nil
	h.ledger.Resume(simShard)
	if record.lease == h.lease {
		h.holder.Acquired(simShard, structs.Epoch(record.revision), record.lease, h.now())
	}
}

// leave releases the shard and the registration gracefully.
func (h *simHost) leave() {
	if !h.running || h.paused || h.leaving {
		return
	}
	h.leaving = true
	if epoch, held := h.holder.Held()[simShard]; held {
		h.holder.Released(simShard)
		call(h, func() bool { h.sim.release(int64(epoch)); return true }, func(bool) {})
	}
	if h.pending == nil {
		h.ledger.Unregistered()
	}
}
