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

type candidate = members.Member

// claim is one attempt to create an owner record. Its transaction may be sent again, since its conditions let it
// take effect only once: it changes the last owner record, which it requires to be unchanged.
type claim struct {
	record    structs.ShardOwnerRecord
	lease     ownership.LeaseID
	formerRev int64 // required revision of the last owner record; 0 for none
	memberRev int64 // required revision of this host's registry entry
	uncertain bool  // a send of the claim may have taken effect
}

// considerClaim claims a shard without an owner record if the rules permit it. s.steps is held.
func (s *Service) considerClaim(ctx context.Context, shard structs.ShardID, state *shardState) {
	now := s.cfg.Clock()
	rank := s.rank(shard)
	lease, leaseUntil := s.cfg.State.lease()
	registration := s.cfg.State.registration()
	if now.Sub(s.started) < StartupGrace || rank < 0 || registration == 0 || lease == 0 || !now.Before(leaseUntil) {
		s.cfg.State.resume(shard)
		return
	}
	former, formerRev, err := s.readFormer(ctx, shard)
	if err != nil {
		s.storeFailed("read last owner record", err)
		s.cfg.State.resume(shard)
		return
	}
	if formerRev != state.formerRev {
		// Another owner came and went between two reads.
		state.formerRev, state.absentSince, state.refusals = formerRev, s.cfg.Clock(), ownership.Refusals{}
	}
	switch {
	case former == nil:
	case former.Process == s.self:
		// The last owner need not wait for its own promises, so it takes the shard back without a gap of seconds.
		// Rebalancing moves the shard later.
		rank = 0
	case s.replaced(former):
		s.cfg.State.MemberDied(former.Process, now)
	}
	decision := s.cfg.State.decideClaim(shard, ownership.ClaimInput{
		AbsentSince: state.absentSince, Rank: rank, Former: former,
	})
	s.noteDecision(shard, state, decision, former)
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
		lease: lease, formerRev: formerRev, memberRev: registration,
	}
	s.sendClaim(ctx, shard, state)
}

// readFormer reads the last owner that did not release the shard; nil if there is none.
func (s *Service) readFormer(ctx context.Context, shard structs.ShardID) (*ownership.FormerOwner, int64, error) {
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

// probeFormer tests whether the address of the last owner refuses connections, which proves after several tests
// that its process is dead. s.steps is held.
func (s *Service) probeFormer(ctx context.Context, former *ownership.FormerOwner, state *shardState) {
	ctx, cancel := context.WithTimeout(ctx, members.ProbeTimeout)
	defer cancel()
	refused := s.cfg.Prober.Refused(ctx, former.PeerAddr)
	if state.refusals.Record(refused, s.cfg.Clock()) {
		s.cfg.State.MemberDied(former.Process, state.refusals.First())
		s.cfg.Log.Event(eventlog.PeerProvedDead).Str("peer", former.Process.String()).
			Str("address", former.PeerAddr).Msg("")
	}
}

// replaced reports whether another process runs on the host id or at the peer address of the former owner.
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

// noteDecision logs a new reason to wait and lets heartbeats go to a former owner that may be running.
func (s *Service) noteDecision(
	shard structs.ShardID, state *shardState, d ownership.ClaimDecision, former *ownership.FormerOwner,
) {
	addr := ""
	if d.Reason == ownership.ClaimFormerMayBeRunning {
		addr = former.PeerAddr
	}
	s.setFormer(shard, addr)
	if d.Reason != state.reason && !d.Allowed {
		s.cfg.Log.Event(eventlog.ClaimWaiting).Str("shard", shard.String()).Str("reason", string(d.Reason)).Msg("")
	}
	state.reason = d.Reason
}

func (s *Service) setFormer(shard structs.ShardID, addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if addr == "" {
		delete(s.formers, shard)
		return
	}
	s.formers[shard] = addr
}

// sendClaim sends the pending claim. Its result stays pending if it is not known; the next Reconcile then reads
// the record first. s.steps is held.
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
			{Key: lastKey, Target: store.CompareModRevision, Revision: c.formerRev},
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
		// Nothing was written. An earlier, uncertain send of the same claim may still have been.
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

// claimFailed handles a claim whose conditions did not hold. s.steps is held.
func (s *Service) claimFailed(shard structs.ShardID, state *shardState, read []store.KeyValue) {
	registered := false
	for _, kv := range read {
		switch kv.Key {
		case s.keys.shard(shard):
			record, err := decodeOwner(kv)
			if err == nil && record.Nonce == state.pending.record.Nonce {
				s.settleFound(shard, state, kv) // an earlier send of this claim took effect
				return
			}
		case s.keys.member(s.self.Host):
			registered = kv.ModRevision == state.pending.memberRev
		}
	}
	if !registered {
		s.wantRegistry() // the next read of the registry finds that the entry has lapsed
	}
	s.dropClaim(shard, state)
}

// dropClaim ends a claim that certainly has no effect. s.steps is held.
func (s *Service) dropClaim(shard structs.ShardID, state *shardState) {
	state.pending = nil
	s.cfg.State.resume(shard)
}

// settleFound ends a claim whose record was found. s.steps is held.
func (s *Service) settleFound(shard structs.ShardID, state *shardState, kv store.KeyValue) {
	lease, _ := s.cfg.State.lease()
	if state.pending.lease != lease {
		s.dropClaim(shard, state) // the record lapses with its lost lease
		return
	}
	s.acquire(shard, state, structs.Epoch(kv.CreateRevision))
}

// acquire records a successful claim and reports it. s.steps is held.
func (s *Service) acquire(shard structs.ShardID, state *shardState, epoch structs.Epoch) {
	s.cfg.State.acquired(shard, epoch, state.pending.lease)
	state.pending, state.rival, state.absentSince = nil, "", time.Time{}
	s.setFormer(shard, "")
	s.wantRegistry() // promises count once the registry was read after the claim
	s.cfg.Log.Event(eventlog.ShardAcquired).Str("shard", shard.String()).Int64("epoch", int64(epoch)).Msg("")
	s.cfg.Metrics.Counter("ownership_acquired").Inc(1)
	s.cfg.OnAcquired(shard, epoch)
	s.mu.Lock()
	s.owned[shard] = &owned{epoch: epoch, acquiredAt: s.cfg.Clock()}
	s.mu.Unlock()
	s.Check() // the lease may have been lost during the callback
}
