package ownership

import (
	"context"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/membership"
	"fulmarcourse.example/core/ownership"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/members"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// candidate is an entry host that may be chosen as the owner of a shard.
type candidate = members.Member

// claim is one attempt to create an owner record. Its transaction can safely be sent again: it takes effect at most
// once, because it changes the last owner record and requires that record to be unchanged.
type claim struct {
	record       structs.ShardOwnerRecord
	lease        ownership.LeaseID
	lastOwnerRev int64 // required revision of the last owner record; 0 for none
	memberRev    int64 // required revision of this host's registry entry
	uncertain    bool  // an earlier send of the claim may have taken effect
}

// tryClaim claims a shard without an owner record if ownership.DecideClaim allows it. s.reconcileMu is held.
func (s *Service) tryClaim(ctx context.Context, shard structs.ShardID, state *shardState) {
	now := s.cfg.Clock()
	rank := s.rank(shard)
	lease, leaseUntil := s.cfg.State.lease()
	registration := s.cfg.State.registration()
	if now.Sub(s.started) < StartupGrace || rank < 0 || registration == 0 || lease == 0 || !now.Before(leaseUntil) {
		s.cfg.State.resume(shard)
		return
	}
	former, lastOwnerRev, err := s.readFormerOwner(ctx, shard)
	if err != nil {
		s.storeFailed("read last owner record", err)
		s.cfg.State.resume(shard)
		return
	}
	if lastOwnerRev != state.lastOwnerRev {
		// Another process acquired the shard and lost or released it between two reads.
		state.lastOwnerRev, state.absentSince, state.refusals = lastOwnerRev, s.cfg.Clock(), ownership.Refusals{}
	}
	switch {
	case former == nil:
	case former.Process == s.self:
		// The last owner does not have to wait for its own promises, so it claims the shard again at once instead of
		// leaving it without an owner for seconds. Rebalancing moves the shard later.
		rank = 0
	case s.replaced(former):
		s.cfg.State.MemberDied(former.Process, now)
	}
	decision := s.cfg.State.decideClaim(shard, ownership.ClaimInput{
		AbsentSince: state.absentSince, Rank: rank, Former: former,
	})
	s.recordDecision(shard, state, decision, former)
	if decision.Reason == ownership.ClaimFormerMayBeRunning {
		s.probeFormer(ctx, former, state)
	}
	if !decision.Allowed {
		return
	}
	state.pending = &claim{
		record: structs.ShardOwnerRecord{
			Owner: s.self.Host, Incarnation: s.self.Incarnation, PeerAddr: s.cfg.Self.PeerAddr, Nonce: s.cfg.NewNonce(),
		},
		lease: lease, lastOwnerRev: lastOwnerRev, memberRev: registration,
	}
	s.sendClaim(ctx, shard, state)
}

// readFormerOwner reads the last owner record of shard and its revision. It returns nil if the last owner released
// the shard or there was none.
func (s *Service) readFormerOwner(ctx context.Context, shard structs.ShardID) (*ownership.FormerOwner, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	kv, found, err := s.cfg.Store.Get(ctx, s.keys.lastOwner(shard))
	if err != nil || !found {
		return nil, 0, errors.Trace(err)
	}
	record, err := decodeOwner(kv)
	if err != nil {
		return nil, 0, errors.Trace(err)
	}
	return &ownership.FormerOwner{
		Process:  membership.Process{Host: record.Owner, Incarnation: record.Incarnation},
		PeerAddr: record.PeerAddr,
		Epoch:    structs.Epoch(kv.ModRevision),
	}, kv.ModRevision, nil
}

// probeFormer tests whether the peer address of the last owner refuses connections. Repeated refusals prove that its
// process is dead. s.reconcileMu is held.
func (s *Service) probeFormer(ctx context.Context, former *ownership.FormerOwner, state *shardState) {
	ctx, cancel := context.WithTimeout(ctx, members.ProbeTimeout)
	defer cancel()
	refused := s.cfg.Prober.Refused(ctx, former.PeerAddr)
	if state.refusals.Record(refused, s.cfg.Clock()) {
		s.cfg.State.MemberDied(former.Process, state.refusals.First())
		s.cfg.Log.Event(eventlog.PeerConfirmedDead).Str("peer", former.Process.String()).
			Str("address", former.PeerAddr).Msg("")
	}
}

// replaced reports whether a newer process with the host id of the former owner, or another live process at its peer
// address, is known.
func (s *Service) replaced(former *ownership.FormerOwner) bool {
	if former.PeerAddr == s.cfg.Self.PeerAddr {
		return true
	}
	for _, m := range s.cfg.Members.Peers() {
		newer := m.Host == former.Host && membership.Newer(m.Incarnation, former.Incarnation)
		sameAddress := m.Host != former.Host && m.PeerAddr == former.PeerAddr && m.State == membership.Live
		if newer || sameAddress {
			return true
		}
	}
	return false
}

// recordDecision logs a claim that is not allowed if the reason has changed. It also records the address of a former
// owner that may be running, so that the former owner receives heartbeats.
func (s *Service) recordDecision(
	shard structs.ShardID, state *shardState, d ownership.ClaimDecision, former *ownership.FormerOwner,
) {
	addr := ""
	if d.Reason == ownership.ClaimFormerMayBeRunning {
		addr = former.PeerAddr
	}
	s.setFormerAddr(shard, addr)
	if d.Reason != state.reason && !d.Allowed {
		s.cfg.Log.Event(eventlog.ClaimWaiting).Str("shard", shard.String()).Str("reason", string(d.Reason)).Msg("")
	}
	state.reason = d.Reason
}

func (s *Service) setFormerAddr(shard structs.ShardID, addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if addr == "" {
		delete(s.formerAddrs, shard)
		return
	}
	s.formerAddrs[shard] = addr
}

// sendClaim sends the pending claim. The claim stays pending if its outcome is unknown; the next Reconcile then reads
// the record first. s.reconcileMu is held.
func (s *Service) sendClaim(ctx context.Context, shard structs.ShardID, state *shardState) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	ctx, span := s.cfg.Tracer.Start(ctx, "ownership.claim")
	defer span.End()
	c := state.pending
	shardKey, lastKey := s.keys.shard(shard), s.keys.lastOwner(shard)
	value := mustJSON(c.record)
	result, err := s.cfg.Store.Txn(ctx, store.Txn{
		Compares: []store.Compare{
			{Key: shardKey, Target: store.CompareCreateRevision, Revision: 0},
			{Key: lastKey, Target: store.CompareModRevision, Revision: c.lastOwnerRev},
			{Key: s.keys.member(s.self.Host), Target: store.CompareModRevision, Revision: c.memberRev},
		},
		Puts: []store.Put{
			{Key: shardKey, Value: value, Lease: store.LeaseID(c.lease)},
			{Key: lastKey, Value: value},
		},
		ReadOnFail: []string{shardKey, s.keys.member(s.self.Host)},
	})
	switch {
	case err == nil && result.Applied:
		s.acquire(shard, state, structs.Epoch(result.Revision))
	case err == nil:
		s.claimFailed(shard, state, result.Read)
	case errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrLeaseNotFound):
		// This send wrote nothing, but an earlier, uncertain send of the same claim may have taken effect.
		if !c.uncertain || errors.Is(err, store.ErrLeaseNotFound) {
			s.dropClaim(shard, state)
		}
		s.storeFailed("claim shard", err)
	default:
		c.uncertain = true
		span.RecordError(err)
		s.cfg.Log.Event(eventlog.ClaimUncertain).Str("shard", shard.String()).Err(err).Msg("")
	}
}

// claimFailed handles a claim whose conditions did not hold. s.reconcileMu is held.
func (s *Service) claimFailed(shard structs.ShardID, state *shardState, read []store.KeyValue) {
	registered := false
	for _, kv := range read {
		switch kv.Key {
		case s.keys.shard(shard):
			record, err := decodeOwner(kv)
			if err == nil && record.Nonce == state.pending.record.Nonce {
				s.completeClaim(shard, state, kv) // an earlier send of this claim took effect
				return
			}
		case s.keys.member(s.self.Host):
			registered = kv.ModRevision == state.pending.memberRev
		}
	}
	if !registered {
		s.requestRegistryRead() // the next read of the registry finds that the entry has expired
	}
	s.dropClaim(shard, state)
}

// dropClaim discards a claim that cannot take effect and resumes promises. s.reconcileMu is held.
func (s *Service) dropClaim(shard structs.ShardID, state *shardState) {
	state.pending = nil
	s.cfg.State.resume(shard)
}

// completeClaim ends a claim whose owner record was found in the store. s.reconcileMu is held.
func (s *Service) completeClaim(shard structs.ShardID, state *shardState, kv store.KeyValue) {
	lease, _ := s.cfg.State.lease()
	if state.pending.lease != lease {
		s.dropClaim(shard, state) // the record expires with its lost lease
		return
	}
	s.acquire(shard, state, structs.Epoch(kv.CreateRevision))
}

// acquire records a successful claim and calls OnAcquired. s.reconcileMu is held.
func (s *Service) acquire(shard structs.ShardID, state *shardState, epoch structs.Epoch) {
	s.cfg.State.acquired(shard, epoch, state.pending.lease)
	state.pending, state.preferred, state.absentSince = nil, "", time.Time{}
	s.setFormerAddr(shard, "")
	s.requestRegistryRead() // promises count only after a registry read that follows the claim
	s.cfg.Log.Event(eventlog.ShardAcquired).Str("shard", shard.String()).Int64("epoch", int64(epoch)).Msg("")
	s.cfg.Metrics.Counter("ownership_acquired").Inc(1)
	s.cfg.OnAcquired(shard, epoch)
	s.mu.Lock()
	s.owned[shard] = &owned{epoch: epoch, acquiredAt: s.cfg.Clock()}
	s.mu.Unlock()
	s.Check() // the lease may have been lost during the callback
}
