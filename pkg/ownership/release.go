package ownership

import (
	"context"
	"sync"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// errUnfinished means that OnLost did not return in time, so the record was left to expire with its lease.
const errUnfinished = errors.ConstError("work in progress did not finish in time")

// Release releases all shards and ends the registration at shutdown. The heartbeats must have announced that this host
// is leaving. For each shard, OnLost first finishes work in progress while the ownership is still valid; then the
// record is deleted. Run must still be running, so that the lease is renewed meanwhile. When ctx ends, the ownership
// ends and the remaining records expire with the lease. Release returns the combined errors of all shards.
func (s *Service) Release(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	s.reconcileMu.Lock() // waits for a claim in progress
	defer s.reconcileMu.Unlock()

	shards := s.ownedCopy()
	failures := make(chan error, len(shards))
	var wait sync.WaitGroup
	for shard := range shards {
		if s.markReleasing(shard) {
			wait.Go(func() { failures <- s.releaseShard(ctx, shard) })
		} else {
			wait.Go(func() { failures <- s.awaitHandover(ctx, shard) })
		}
	}
	wait.Wait()
	close(failures)
	var failed []error
	for err := range failures {
		if err != nil {
			failed = append(failed, err)
		}
	}
	s.leaveRegistry(ctx, len(failed) == 0)
	return errors.Trace(joinErrors(failed))
}

func joinErrors(failed []error) error {
	if len(failed) == 0 {
		return nil
	}
	err := failed[0]
	for _, next := range failed[1:] {
		err = errors.Wrap(err, errors.Annotate(next, err.Error()))
	}
	return err
}

// startHandover releases shard in the background so that the preferred member can claim it. It returns false if
// the shard is already being released.
func (s *Service) startHandover(ctx context.Context, shard structs.ShardID) bool {
	if !s.markReleasing(shard) {
		return false
	}
	s.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, HandoverTimeout)
		defer cancel()
		if err := s.releaseShard(ctx, shard); err != nil {
			s.cfg.Log.Event(eventlog.ShardReleaseFail).Str("shard", shard.String()).Err(err).Msg("")
		}
	})
	return true
}

// awaitHandover waits for a release that is already in progress.
func (s *Service) awaitHandover(ctx context.Context, shard structs.ShardID) error {
	s.mu.Lock()
	o, isOwned := s.owned[shard]
	s.mu.Unlock()
	if !isOwned {
		return nil
	}
	select {
	case <-o.released:
		return nil
	case <-ctx.Done():
		return errors.Annotatef(errUnfinished, "hand-over of shard %s", shard)
	}
}

// markReleasing marks shard as being released. It returns false if the shard is not owned or is already being released.
func (s *Service) markReleasing(shard structs.ShardID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, isOwned := s.owned[shard]
	if !isOwned || o.releasing {
		return false
	}
	o.releasing, o.released = true, make(chan struct{})
	return true
}

// releaseShard calls OnLost, ends the ownership and deletes the record. The caller has called markReleasing.
func (s *Service) releaseShard(ctx context.Context, shard structs.ShardID) error {
	ctx, span := s.cfg.Tracer.Start(ctx, "ownership.release")
	defer span.End()
	s.mu.Lock()
	o := s.owned[shard]
	epoch := o.epoch
	s.notifying[shard] = true
	s.mu.Unlock()
	finished := make(chan struct{})
	s.tasks.Go(func() {
		defer close(finished)
		s.reportLost(shard)
	})
	unfinished := false
	select {
	case <-finished:
	case <-ctx.Done():
		unfinished = true
	}
	// The ownership must end before the record is deleted.
	s.cfg.State.released(shard)
	defer func() {
		s.mu.Lock()
		delete(s.owned, shard)
		s.mu.Unlock()
		close(o.released)
	}()
	if unfinished {
		return errors.Annotatef(errUnfinished, "release of shard %s", shard)
	}
	if err := s.deleteRecord(ctx, shard, epoch); err != nil {
		return errors.Annotatef(err, "release of shard %s", shard)
	}
	s.cfg.Log.Event(eventlog.ShardReleased).Str("shard", shard.String()).Int64("epoch", int64(epoch)).Msg("")
	return nil
}

// deleteRecord deletes the owner record of epoch together with the last owner record. An unchanged revision of the
// last owner record implies that there was no later claim, so an owner record that still exists belongs to this
// process. A lost response is harmless: the condition cannot hold twice, and a record that remains is deleted as an
// orphan or expires with its lease.
func (s *Service) deleteRecord(ctx context.Context, shard structs.ShardID, epoch structs.Epoch) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	shardKey, lastKey := s.keys.shard(shard), s.keys.lastOwner(shard)
	_, err := s.cfg.Store.Txn(ctx, store.Txn{
		Compares: []store.Compare{{Key: lastKey, Target: store.CompareModRevision, Revision: int64(epoch)}},
		Deletes:  []string{shardKey, lastKey},
	})
	return errors.Trace(err)
}

// leaveRegistry ends the registration and, if all shards were released, revokes the owner lease. s.reconcileMu is
// held, so that no claim is in progress; a claim whose outcome is unknown loses its effect with the lease.
func (s *Service) leaveRegistry(ctx context.Context, released bool) {
	s.registrationMu.Lock() // waits for a registration in progress
	defer s.registrationMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	if lease, _ := s.cfg.State.lease(); released && lease != 0 {
		err := s.cfg.Store.RevokeLease(ctx, store.LeaseID(lease))
		if err != nil && !errors.Is(err, store.ErrLeaseNotFound) {
			s.storeFailed("revoke owner lease", err)
		} else {
			s.dropClaims()
		}
	}
	s.mu.Lock()
	lease := s.registration.lease
	s.registration.lease = 0
	s.mu.Unlock()
	if lease != 0 {
		err := s.cfg.Store.RevokeLease(ctx, lease)
		if err != nil && !errors.Is(err, store.ErrLeaseNotFound) {
			s.storeFailed("revoke member lease", err)
		}
	}
	for _, state := range s.shards {
		if state.pending != nil {
			return // the claim may still take effect, so owners must still require promises of this host
		}
	}
	s.cfg.State.registered(0)
}

// dropClaims discards all pending claims after the revocation of their lease. s.reconcileMu is held.
func (s *Service) dropClaims() {
	for shard, state := range s.shards {
		s.dropClaim(shard, state)
	}
}
