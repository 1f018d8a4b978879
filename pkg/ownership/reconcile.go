package ownership

import (
	"context"
	"slices"
	"time"

	"fulmarcourse.example/core/membership"
	"fulmarcourse.example/core/ownership"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// shardState is the state of a shard that Reconcile keeps between calls. Service.reconcileMu guards it.
type shardState struct {
	absentSince    time.Time // when a read first found no owner record; zero while there is one
	lastOwnerRev   int64     // revision of the last owner record; 0 if there is none
	refusals       ownership.Refusals
	pending        *claim // claim whose outcome is unknown; nil if there is none
	reason         ownership.ClaimReason
	preferred      structs.HostID // preferred host for a shard that this host owns
	preferredSince time.Time
}

// Reconcile reads the shard records, claims shards that have none, and hands over shards that another member
// should own. Run calls it every ReconcileInterval.
func (s *Service) Reconcile(ctx context.Context) {
	s.reconcileMu.Lock()
	defer s.reconcileMu.Unlock()
	if s.isStopping() {
		return
	}
	readCtx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	result, err := s.cfg.Store.Range(readCtx, s.keys.shards(s.cfg.Self.Datacentre), 0)
	if err != nil {
		s.storeFailed("read shard records", err)
		s.resumePromises()
		return
	}
	records := make(map[string]store.KeyValue, len(result.Entries))
	for _, kv := range result.Entries {
		records[kv.Key] = kv
	}
	for index := range s.cfg.Shards() {
		if s.isStopping() {
			return // Release is waiting
		}
		shard := structs.ShardID{Datacentre: s.cfg.Self.Datacentre, Index: index}
		kv, found := records[s.keys.shard(shard)]
		if found {
			s.handleRecord(ctx, shard, kv)
		} else {
			s.handleMissingRecord(ctx, shard, result.Revision)
		}
	}
	s.Check()
	s.rebalance(ctx)
}

// resumePromises resumes promises while the store cannot be reached. A claim whose outcome is unknown may still take
// effect, so promises stay withheld for it. s.reconcileMu is held.
func (s *Service) resumePromises() {
	for shard, state := range s.shards {
		if state.pending == nil {
			s.cfg.State.resume(shard)
		}
	}
}

func (s *Service) state(shard structs.ShardID) *shardState {
	state, known := s.shards[shard]
	if !known {
		state = &shardState{}
		s.shards[shard] = state
	}
	return state
}

// handleRecord processes a shard with an owner record. s.reconcileMu is held.
func (s *Service) handleRecord(ctx context.Context, shard structs.ShardID, kv store.KeyValue) {
	state := s.state(shard)
	state.absentSince, state.refusals = time.Time{}, ownership.Refusals{}
	s.setFormerAddr(shard, "")
	record, err := decodeOwner(kv)
	if err != nil {
		s.storeFailed("decode shard record", err)
		return
	}
	own := membership.Process{Host: record.Owner, Incarnation: record.Incarnation} == s.self
	epoch, held := s.cfg.State.held()[shard]
	switch {
	case own && state.pending != nil && state.pending.record.Nonce == record.Nonce:
		s.completeClaim(shard, state, kv)
	case own && held && kv.CreateRevision == int64(epoch):
	case own:
		s.deleteOrphan(ctx, shard, kv)
	case held && kv.CreateRevision > int64(epoch):
		s.cfg.State.released(shard) // another host owns it; Check reports the loss
		fallthrough
	default:
		state.pending = nil // another claim took effect first
		s.cfg.State.resume(shard)
	}
}

// handleMissingRecord processes a shard that had no owner record in a read at revision. s.reconcileMu is held.
func (s *Service) handleMissingRecord(ctx context.Context, shard structs.ShardID, revision int64) {
	state := s.state(shard)
	if epoch, held := s.cfg.State.held()[shard]; held {
		if revision >= int64(epoch) && !s.isReleasing(shard) {
			s.cfg.State.released(shard) // the lease expired; Check reports the loss
		}
		return
	}
	if state.absentSince.IsZero() {
		state.absentSince = s.cfg.Clock()
	}
	if s.inTransition(shard) {
		return
	}
	if state.pending != nil {
		s.sendClaim(ctx, shard, state)
		return
	}
	s.tryClaim(ctx, shard, state)
}

// inTransition reports whether the loss or release of shard has not been fully processed.
func (s *Service) inTransition(shard structs.ShardID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, isOwned := s.owned[shard]
	return isOwned || s.notifying[shard]
}

func (s *Service) isReleasing(shard structs.ShardID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, isOwned := s.owned[shard]
	return isOwned && o.releasing
}

// deleteOrphan deletes an owner record of this process for a shard that it no longer holds, for example because the
// loss was reported while the record still existed. s.reconcileMu is held.
func (s *Service) deleteOrphan(ctx context.Context, shard structs.ShardID, kv store.KeyValue) {
	if s.inTransition(shard) {
		return
	}
	s.cfg.Log.Event(eventlog.ShardOrphaned).Str("shard", shard.String()).Int64("epoch", kv.CreateRevision).Msg("")
	if err := s.deleteRecord(ctx, shard, structs.Epoch(kv.CreateRevision)); err != nil {
		s.storeFailed("delete orphaned shard record", err)
	}
}

// candidates returns the live hosts of the data centre that may claim shards and are usable, including this one if it
// is registered.
func (s *Service) candidates(usable func(m candidate) bool) []structs.HostID {
	var hosts []structs.HostID
	for _, m := range s.cfg.Members.Live(s.cfg.Self.Datacentre) {
		if m.MayClaim && usable(m) {
			hosts = append(hosts, m.Host)
		}
	}
	return hosts
}

// rank returns the position of this host in the preference order for shard, -1 if it may not claim.
func (s *Service) rank(shard structs.ShardID) int {
	hosts := s.candidates(func(candidate) bool { return true })
	return slices.Index(membership.RankHosts(shard, hosts), s.self.Host)
}

// rebalance hands over at most one shard for which another member has been preferred for RebalanceAfter.
// s.reconcileMu is held.
func (s *Service) rebalance(ctx context.Context) {
	now := s.cfg.Clock()
	hosts := s.candidates(func(m candidate) bool {
		return m.Host == s.self.Host || m.ControlAge >= 0 && m.ControlAge <= MaxControlAge
	})
	if !slices.Contains(hosts, s.self.Host) {
		return
	}
	for shard, o := range s.ownedCopy() {
		state := s.state(shard)
		preferred := membership.Preferred(shard, hosts)
		if preferred == s.self.Host || state.preferred != preferred {
			state.preferred, state.preferredSince = preferred, now
			continue
		}
		if now.Sub(state.preferredSince) < RebalanceAfter || now.Sub(o.acquiredAt) < MinimumHold || o.onPromises {
			continue
		}
		if s.startHandover(ctx, shard) {
			return
		}
	}
}

func (s *Service) ownedCopy() map[structs.ShardID]owned {
	s.mu.Lock()
	defer s.mu.Unlock()
	shards := make(map[structs.ShardID]owned, len(s.owned))
	for shard, o := range s.owned {
		shards[shard] = *o
	}
	return shards
}
