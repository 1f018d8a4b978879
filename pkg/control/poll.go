package control

import (
	"context"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// ErrStoreBehind means that the store returned a lower revision than the known one.
const ErrStoreBehind = errors.ConstError("store answered with an older revision")

// fullReadParts are the ranges of a full read. The data centres come first: the confirmed revision is the lowest of all
// ranges, so it normally covers a removal that was read, and RemovalAttempted does not have to report the removal.
var fullReadParts = []string{partDatacentres, partDocument, partMembers, partShards}

// Run polls until ctx is done.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(s.cfg.PollInterval)
	defer ticker.Stop()
	for {
		_ = s.PollNow(ctx) // errors are logged there and retried at the next tick
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// PollNow reads the store once. If the store cannot be read, it fetches the state from peers and returns the error of
// the store, even if a peer has replied.
func (s *Service) PollNow(ctx context.Context) error {
	select {
	case <-s.pollToken:
		defer func() { s.pollToken <- struct{}{} }()
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	}
	s.cfg.Scope.Counter("polls").Inc(1)
	err := s.pollStore(ctx)
	s.setReachable(err)
	if err != nil {
		s.cfg.Scope.Counter("poll_errors").Inc(1)
		s.fetchFromPeers(ctx)
		return errors.Trace(err)
	}
	s.resolveRemovals(ctx)
	return nil
}

func (s *Service) pollStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.PollTimeout)
	defer cancel()
	sentAt := s.cfg.Now()
	if s.fullReadDue(sentAt) {
		return s.readFull(ctx, sentAt)
	}
	return s.readChanges(ctx, sentAt)
}

// fullReadDue reports whether the next poll is a full read. The first successful poll of a process always is, because
// state that was received only from peers has not been read from the store.
func (s *Service) fullReadDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastFull.IsZero() || now.Sub(s.lastFull) >= s.cfg.FullInterval
}

// readChanges reads the entries that changed after the known revision.
func (s *Service) readChanges(ctx context.Context, sentAt time.Time) error {
	known := s.Confirmation().Revision
	result, err := s.cfg.Store.Range(ctx, s.keys.key(partControl), known+1)
	if err != nil {
		return errors.Trace(err)
	}
	if result.Revision < known {
		return s.storeBehind(result.Revision, known)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.putEntries(result.Entries) {
		s.notifyChanged()
	}
	s.state.confirm(result.Revision, sentAt)
	return nil
}

// readFull reads all relayed entries and removes those that no longer exist. History and tried documents are left out:
// they are large and are not attached to a lease.
func (s *Service) readFull(ctx context.Context, sentAt time.Time) error {
	known := s.Confirmation().Revision
	results := make([]store.RangeResult, len(fullReadParts))
	for i, part := range fullReadParts {
		result, err := s.cfg.Store.Range(ctx, s.keys.key(part), 0)
		if err != nil {
			return errors.Trace(err)
		}
		if result.Revision < known {
			return s.storeBehind(result.Revision, known)
		}
		results[i] = result
	}
	s.applyFull(results, sentAt)
	return nil
}

// applyFull applies the results of a full read, in the order of fullReadParts.
func (s *Service) applyFull(results []store.RangeResult, sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	revision := results[0].Revision
	for i, part := range fullReadParts {
		present := map[string]bool{}
		for _, kv := range results[i].Entries {
			if key, ok := s.keys.part(kv.Key); ok {
				present[key] = true
			}
		}
		changed = s.state.removeAbsent(part, present, results[i].Revision) || changed
		changed = s.putEntries(results[i].Entries) || changed
		revision = min(revision, results[i].Revision)
	}
	s.state.fullRevision = max(s.state.fullRevision, revision)
	s.state.confirm(revision, sentAt)
	s.lastFull = sentAt
	if changed {
		s.notifyChanged()
	}
}

// putEntries applies entries of the store and reports whether the state changed. s.mu is held.
func (s *Service) putEntries(entries []store.KeyValue) bool {
	changed := false
	for _, kv := range entries {
		part, own := s.keys.part(kv.Key)
		if own && isRelayed(part) {
			changed = s.putEntry(part, toEntry(kv)) || changed
		}
	}
	return changed
}

// putEntry applies one entry, logs rejected entries and changes of the document or a data centre, and reports whether
// the state changed. s.mu is held.
func (s *Service) putEntry(part string, e entry) bool {
	version := s.state.record.Version
	changed, err := s.state.put(part, e, s.cfg.Now())
	switch {
	case errors.Is(err, errDocumentRejected):
		s.cfg.Log.Event(eventlog.ControlDocumentRejected).Err(err).Int64("in_effect", version).Msg("document rejected")
	case err != nil:
		s.cfg.Log.Event(eventlog.ControlEntryRejected).Err(err).Msg("control entry rejected")
	case s.state.record.Version != version:
		s.cfg.Scope.Gauge("document_version").Update(float64(s.state.record.Version))
		s.cfg.Log.Event(eventlog.ControlDocumentInEffect).Int64("version", s.state.record.Version).
			Str("digest", string(s.state.record.Digest)).Str("author", s.state.record.Author).Msg("document in effect")
	case changed && len(part) > len(partDatacentres) && part[:len(partDatacentres)] == partDatacentres:
		s.cfg.Log.Event(eventlog.ControlDatacentreState).Str("entry", part).RawJSON("record", e.value).Msg("data centre state")
	}
	return changed
}

func (s *Service) storeBehind(revision, known int64) error {
	s.cfg.Log.Event(eventlog.ControlStoreBehind).Int64("revision", revision).Int64("known", known).Msg("store returned a revision below the known one")
	return errors.Annotatef(ErrStoreBehind, "revision %d, known %d", revision, known)
}

// setReachable records the result of a store poll and logs a change of reachability.
func (s *Service) setReachable(err error) {
	s.mu.Lock()
	before := s.storeReachable
	s.storeReachable = err == nil
	s.mu.Unlock()
	switch {
	case before && err != nil:
		s.cfg.Log.Event(eventlog.ControlStoreLost).Err(err).Msg("store unreachable")
	case !before && err == nil:
		s.cfg.Log.Event(eventlog.ControlStoreRecovered).Msg("store reachable")
	}
}
