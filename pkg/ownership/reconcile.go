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

// shardState is what Reconcile remembers of a shard between two calls. Service.steps guards it.
type shardState struct {
	absentSince time.Time // when a read first showed no owner record; zero while there is one
	formerRev   int64     // revision of the last owner record; 0 if there is none
	refusals    ownership.Refusals
	pending     *claim // a claim whose result is not known
	reason      ownership.ClaimReason
	rival       structs.HostID // member preferred over this owner
	rivalSince  time.Time
}

// Reconcile reads the shard records, claims shards that have none, and hands over shards that another member
// should own. Run calls it every ReconcileInterval.
func (s *Service) Reconcile(ctx context.Context) {
	s.steps.Lock()
	defer s.steps.Unlock()
	if s.isStopping() {
		return
	}
	readCtx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	result, err := s.cfg.Store.Range(readCtx, s.keys.shards(s.cfg.Self.Datacentre), 0)
	if err != nil {
		s.storeFailed("read shard records", err)
		s.pauseClaims()
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
			s.present(ctx, shard, kv)
		} else {
			s.absent(ctx, shard, result.Revision)
		}
	}
	s.Check()
	s.rebalance(ctx)
}

// pauseClaims gives promises again while the store cannot be reached. A claim whose result is unknown may still
// take effect, so its promises stay withheld. s.steps is held.
func (s *Service) pauseClaims() {
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

// present handles a shard with an owner record. s.steps is held.
func (s *Service) present(ctx context.Context, shard structs.ShardID, kv store.KeyValue) {
	state := s.state(shard)
	state.absentSince, state.refusals = time.Time{}, ownership.Refusals{}
	s.setFormer(shard, "")
	record, err := decodeOwner(kv)
	if err != nil {
		s.storeFailed("decode shard record", err)
		return
	}
	mine := membership.Process{Host: record.Owner, Incarnation: record.Incarnation} == s.self
	epoch, held := s.cfg.State.held()[shard]
	switch {
	case mine && state.pending != nil && state.pending.record.Nonce == record.Nonce:
		s.settleFound(shard, state, kv)
	case mine && held && kv.CreateRevision == int64(epoch):
	case mine:
		s.deleteOrphan(ctx, shard, kv)
	case held && kv.CreateRevision > int64(epoch):
		s.cfg.State.released(shard) // another host owns it; Check reports the loss
		fallthrough
	default:
		state.pending = nil // another claim went first
		s.cfg.State.resume(shard)
	}
}

// absent handles a shard without an owner record in a read at revision. s.steps is held.
func (s *Service) absent(ctx context.Context, shard structs.ShardID, revision int64) {
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
	if s.isBusy(shard) {
		return
	}
	if state.pending != nil {
		s.sendClaim(ctx, shard, state)
		return
	}
	s.considerClaim(ctx, shard, state)
}

// isBusy reports whether the loss of shard is still being reported or its release is in progress.
func (s *Service) isBusy(shard structs.ShardID) bool {
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

// deleteOrphan deletes an owner record of this process that it does not hold, for example after its loss was
// reported while the record still existed. s.steps is held.
func (s *Service) deleteOrphan(ctx context.Context, shard structs.ShardID, kv store.KeyValue) {
	if s.isBusy(shard) {
		return
	}
	s.cfg.Log.Event(eventlog.ShardOrphaned).Str("shard", shard.String()).Int64("epoch", kv.CreateRevision).Msg("")
	if err := s.deleteRecord(ctx, shard, structs.Epoch(kv.CreateRevision)); err != nil {
		s.storeFailed("delete orphaned shard record", err)
	}
}

// candidates returns the hosts that may claim shards, this one included if it is registered.
func (s *Service) candidates(usable func(m candidate) bool) []structs.HostID {
	var hosts []structs.HostID
	for _, m := range s.cfg.Members.Live(s.cfg.Self.Datacentre) {
		if m.MayClaim && usable(m) {
			hosts = append(hosts, m.Host)
		}
	}
	return hosts
}

// rank returns the place of this host in the order of preference for shard, -1 if it may not claim.
func (s *Service) rank(shard structs.ShardID) int {
	hosts := s.candidates(func(candidate) bool { return true })
	return slices.Index(membership.RankHosts(shard, hosts), s.self.Host)
}

// rebalance hands over one shard that another member has been preferred for without a break. s.steps is held.
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
		if preferred == s.self.Host || state.rival != preferred {
			state.rival, state.rivalSince = preferred, now
			continue
		}
		if now.Sub(state.rivalSince) < RebalanceAfter || now.Sub(o.acquiredAt) < MinimumHold || o.onPromises {
			continue
		}
		if s.startHandOver(ctx, shard) {
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
