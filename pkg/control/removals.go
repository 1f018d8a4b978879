package control

import (
	"context"
	"encoding/json"
	"slices"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
)

// pendingRemoval is an attempt of this process to take a data centre out of service whose outcome is not known.
type pendingRemoval struct {
	datacentre structs.DatacentreID
	guardMod   int64 // mod revision of the record that the write requires
	returned   bool  // the command has returned with an unknown outcome, so polls resolve it
}

// RemovalAttempted reports whether this process has attempted to take a data centre out of service with an outcome that
// is not known, or has a removal that the revision of Confirmation does not cover yet. While it is true, no peer may
// conclude from this member's statement that no removal is in effect.
func (s *Service) RemovalAttempted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, dc := range s.state.datacentres {
		if dc.record.State == structs.DatacentreOut && dc.mod > s.state.confirmation.Revision {
			return true
		}
	}
	return len(s.removals) > 0
}

// beginRemoval adds a pending removal. It must be called before the write is sent.
func (s *Service) beginRemoval(nonce string, id structs.DatacentreID, guardMod int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removals[nonce] = pendingRemoval{datacentre: id, guardMod: guardMod}
}

// endRemoval records the outcome of the write of a removal. It must be called after an applied record has been put into
// the state. A nonce without a pending removal is ignored.
func (s *Service) endRemoval(nonce string, outcome Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, pending := s.removals[nonce]
	if !pending {
		return
	}
	if outcome != Unknown {
		delete(s.removals, nonce)
		return
	}
	r.returned = true
	s.removals[nonce] = r
}

// resolveRemovals determines the outcome of removals whose response was lost. It is called after each successful poll.
func (s *Service) resolveRemovals(ctx context.Context) {
	s.mu.Lock()
	unresolved := map[string]pendingRemoval{}
	for nonce, r := range s.removals {
		if r.returned {
			unresolved[nonce] = r
		}
	}
	s.mu.Unlock()
	for nonce, r := range unresolved {
		s.resolveRemoval(ctx, nonce, r)
	}
}

// resolveRemoval reads the record of one removal. If its revision differs from the one that the write requires, the
// write has been applied or can no longer be applied, and the record is the state in either case. Otherwise a delayed
// copy of the write may still arrive, so the record is rewritten with the same state, which changes its revision; the
// next poll then resolves the removal.
func (s *Service) resolveRemoval(ctx context.Context, nonce string, r pendingRemoval) {
	key := s.keys.datacentre(r.datacentre)
	kv, found, err := s.cfg.Store.Get(ctx, key)
	if err != nil {
		return
	}
	if kv.ModRevision != r.guardMod {
		s.applyDatacentre(r.datacentre, toEntry(kv))
		s.endRemoval(nonce, Applied)
		s.cfg.Log.Event(eventlog.ControlRemovalResolved).Str("datacentre", string(r.datacentre)).
			Bool("own_record", nonceOf(kv.Value) == nonce).Int64("revision", kv.ModRevision).Msg("removal resolved")
		return
	}
	record := structs.DatacentreRecord{State: structs.DatacentreIn, Author: string(s.cfg.Host)}
	if found && json.Unmarshal(kv.Value, &record) != nil {
		return
	}
	record.Nonce, record.Time = s.cfg.NewNonce(), s.cfg.Now().UTC()
	// A failure leaves the removal unresolved until the next poll.
	_, _ = s.cfg.Store.Txn(ctx, datacentreWrite(key, r.guardMod, record).txn)
}

// DatacentreReport returns which members have confirmed the latest change of a data centre's state, or false if no
// operator has changed it.
func (s *Service) DatacentreReport(id structs.DatacentreID) (ChangeReport, bool) {
	revisions := s.memberRevisions()
	datacentres := s.KnownDatacentres()
	s.mu.Lock()
	defer s.mu.Unlock()
	change, known := s.state.datacentres[id]
	if !known {
		return ChangeReport{}, false
	}
	report := ChangeReport{
		Datacentre: id, State: change.record.State, Outcome: Applied, Revision: change.mod,
		ExpiresAt: change.seenAt.Add(PermitTTL),
	}
	for _, dc := range datacentres {
		report.Datacentres = append(report.Datacentres, s.memberConfirmations(dc, report, revisions))
	}
	return report, true
}

// memberConfirmations returns which members of one data centre have confirmed the change. A data centre without known
// members is not confirmed. s.mu is held.
func (s *Service) memberConfirmations(dc structs.DatacentreID, change ChangeReport, revisions map[structs.HostID]int64) DatacentreReport {
	members := 0
	result := DatacentreReport{Datacentre: dc}
	for _, member := range s.state.sortedMembers() {
		if member.Datacentre != dc {
			continue
		}
		members++
		revision := revisions[member.Host]
		if member.Host == s.cfg.Host {
			revision = s.state.confirmation.Revision
		}
		if revision < change.Revision {
			result.Unconfirmed = append(result.Unconfirmed, member.Host)
		}
	}
	result.Confirmed = members > 0 && len(result.Unconfirmed) == 0
	if !result.Confirmed {
		result.ExpiresAt = &change.ExpiresAt
	}
	return result
}

// KnownDatacentres lists the data centres of the document and of the members, and those whose state operators
// have changed, ordered by name.
func (s *Service) KnownDatacentres() []structs.DatacentreID {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := slices.Clone(s.state.document.Datacentres)
	for _, member := range s.state.members {
		ids = append(ids, member.Datacentre)
	}
	for id := range s.state.datacentres {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}
