package control

import (
	"context"
	"encoding/json"
	"slices"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
)

// removal is an attempt of this process to take a data centre out of service whose result is not known.
type removal struct {
	datacentre structs.DatacentreID
	guardMod   int64 // mod revision of the record that the write requires
	returned   bool  // the command has returned without a result, so polls settle it
}

// RemovalAttempted reports whether this process has attempted to take a data centre out of service and the
// result is not known, or knows a removal that the revision of Confirmation does not cover yet. While it is true,
// no peer may conclude from this member's statement that no removal is in effect.
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

// beginRemoval is called before the write is sent.
func (s *Service) beginRemoval(nonce string, id structs.DatacentreID, guardMod int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removals[nonce] = removal{datacentre: id, guardMod: guardMod}
}

// endRemoval is called with the result of the write, after an applied record was learned. A nonce without a
// removal is ignored.
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

// settleRemovals settles removals whose response was lost. It is called after each successful poll.
func (s *Service) settleRemovals(ctx context.Context) {
	s.mu.Lock()
	open := map[string]removal{}
	for nonce, r := range s.removals {
		if r.returned {
			open[nonce] = r
		}
	}
	s.mu.Unlock()
	for nonce, r := range open {
		s.settleRemoval(ctx, nonce, r)
	}
}

// settleRemoval looks up one removal. A record at another revision than the write requires settles it: the write
// has been applied or never will be, and the record is the state either way. Otherwise a delayed copy of the write may
// still arrive, so the record is rewritten unchanged, which changes its revision; the next poll sees that.
func (s *Service) settleRemoval(ctx context.Context, nonce string, r removal) {
	key := s.layout.datacentre(r.datacentre)
	kv, found, err := s.cfg.Store.Get(ctx, key)
	if err != nil {
		return
	}
	if kv.ModRevision != r.guardMod {
		s.learnDatacentre(r.datacentre, toEntry(kv))
		s.endRemoval(nonce, Applied)
		s.cfg.Log.Event(eventlog.ControlRemovalResolved).Str("datacentre", string(r.datacentre)).
			Bool("own_record", nonceOf(kv.Value) == nonce).Int64("revision", kv.ModRevision).Msg("removal settled")
		return
	}
	record := structs.DatacentreRecord{State: structs.DatacentreIn, Author: string(s.cfg.Host)}
	if found && json.Unmarshal(kv.Value, &record) != nil {
		return
	}
	record.Nonce, record.Time = s.cfg.NewNonce(), s.cfg.Now().UTC()
	// A failure leaves the removal open; the next poll looks again.
	_, _ = s.cfg.Store.Txn(ctx, datacentreWrite(key, r.guardMod, record).txn)
}

// DatacentreReport tells how far the latest change of a data centre's state has spread, and false when operators
// never changed it.
func (s *Service) DatacentreReport(id structs.DatacentreID) (Report, bool) {
	revisions := s.memberRevisions()
	datacentres := s.KnownDatacentres()
	s.mu.Lock()
	defer s.mu.Unlock()
	change, known := s.state.datacentres[id]
	if !known {
		return Report{}, false
	}
	report := Report{
		Datacentre: id, State: change.record.State, Outcome: Applied, Revision: change.mod,
		ExpiresAt: change.seenAt.Add(PermitTTL),
	}
	for _, dc := range datacentres {
		report.Datacentres = append(report.Datacentres, s.spreadIn(dc, report, revisions))
	}
	return report, true
}

// spreadIn reports on the members of one data centre. One without known members cannot confirm. s.mu is held.
func (s *Service) spreadIn(dc structs.DatacentreID, change Report, revisions map[structs.HostID]int64) DatacentreReport {
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
			result.Waiting = append(result.Waiting, member.Host)
		}
	}
	result.Confirmed = members > 0 && len(result.Waiting) == 0
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
