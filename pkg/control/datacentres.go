package control

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// ChangeReport describes a change of a data centre's state and which members have confirmed it.
type ChangeReport struct {
	Datacentre structs.DatacentreID    `json:"datacentre"`
	State      structs.DatacentreState `json:"state"`
	Outcome    Outcome                 `json:"outcome"`
	Revision   int64                   `json:"revision"` // store revision of the change
	// ExpiresAt is the time at which all permits granted before the change have expired.
	ExpiresAt   time.Time          `json:"expires_at"`
	Datacentres []DatacentreReport `json:"datacentres"`
}

// DatacentreReport states whether the members of one data centre have confirmed a change.
type DatacentreReport struct {
	Datacentre  structs.DatacentreID `json:"datacentre"`
	Confirmed   bool                 `json:"confirmed"`         // every known member has confirmed the change
	Unconfirmed []structs.HostID     `json:"waiting,omitempty"` // known members that have not confirmed it
	ExpiresAt   *time.Time           `json:"expires_at,omitempty"`
}

// Confirmed reports whether every data centre has confirmed the change.
func (r ChangeReport) Confirmed() bool {
	for _, dc := range r.Datacentres {
		if !dc.Confirmed {
			return false
		}
	}
	return len(r.Datacentres) > 0
}

// SetDatacentre takes a data centre out of service or returns it to service. Its errors are ErrInvalidState,
// ErrUnknownDatacentre, *DatacentreConflictError, ErrNotApplied and ErrOutcomeUnknown. Setting the state that is
// already stored changes nothing.
func (s *Service) SetDatacentre(ctx context.Context, id structs.DatacentreID, state structs.DatacentreState, author string) (report ChangeReport, err error) {
	ctx, span := s.cfg.Tracer.Start(ctx, "control.set_datacentre")
	defer func() { endSpan(span, err) }()
	report = ChangeReport{Datacentre: id, State: state, Outcome: NotApplied}
	if state != structs.DatacentreIn && state != structs.DatacentreOut {
		return report, errors.Annotatef(ErrInvalidState, "%q", state)
	}
	if !s.hasDatacentre(id) {
		return report, errors.Annotatef(ErrUnknownDatacentre, "%q", id)
	}
	report.Outcome, err = s.writeDatacentre(ctx, id, state, author)
	s.cfg.Log.Event(eventlog.ControlDatacentreWritten).Str("datacentre", string(id)).Str("state", string(state)).
		Str("author", author).Str("outcome", string(report.Outcome)).Err(err).Msg("data centre command")
	if err != nil {
		return report, err
	}
	_ = s.PollNow(ctx) // so that this process confirms the change at once; Run polls again in any case
	if current, known := s.DatacentreReport(id); known && current.State == state {
		current.Outcome = Applied
		return current, nil
	}
	return report, nil // another command has changed the state since
}

func (s *Service) writeDatacentre(ctx context.Context, id structs.DatacentreID, state structs.DatacentreState, author string) (Outcome, error) {
	key := s.keys.datacentre(id)
	kv, found, err := s.cfg.Store.Get(ctx, key)
	if err != nil {
		return NotApplied, errors.WithType(errors.Trace(err), ErrNotApplied)
	}
	if found && s.alreadySet(kv, state) {
		s.applyDatacentre(id, toEntry(kv))
		return Applied, nil
	}
	record := structs.DatacentreRecord{State: state, Author: author, Time: s.cfg.Now().UTC(), Nonce: s.cfg.NewNonce()}
	if state == structs.DatacentreOut {
		s.beginRemoval(record.Nonce, id, kv.ModRevision)
	}
	done, err := s.apply(ctx, datacentreWrite(key, kv.ModRevision, record))
	if done.outcome == Applied {
		s.applyDatacentre(id, entry{value: mustJSON(record), create: kv.CreateRevision, mod: done.revision})
	}
	s.endRemoval(record.Nonce, done.outcome)
	if err == nil && done.outcome == NotApplied {
		return s.resolveDatacentreConflict(ctx, id, state)
	}
	return done.outcome, err
}

func datacentreWrite(key string, mod int64, record structs.DatacentreRecord) write {
	return write{
		txn: store.Txn{
			Compares: []store.Compare{{Key: key, Target: store.CompareModRevision, Revision: mod}},
			Puts:     []store.Put{{Key: key, Value: mustJSON(record)}},
		},
		guardKey: key,
		guardMod: mod,
		nonce:    record.Nonce,
	}
}

func (s *Service) alreadySet(kv store.KeyValue, state structs.DatacentreState) bool {
	var record structs.DatacentreRecord
	return json.Unmarshal(kv.Value, &record) == nil && record.State == state
}

// resolveDatacentreConflict handles a write whose guard failed because another write changed the record first. It
// returns Applied if the record already has the wanted state, or *DatacentreConflictError.
func (s *Service) resolveDatacentreConflict(ctx context.Context, id structs.DatacentreID, state structs.DatacentreState) (Outcome, error) {
	kv, _, err := s.cfg.Store.Get(ctx, s.keys.datacentre(id))
	if err != nil {
		return NotApplied, errors.WithType(errors.Trace(err), ErrNotApplied)
	}
	if s.alreadySet(kv, state) {
		s.applyDatacentre(id, toEntry(kv))
		return Applied, nil
	}
	conflict := &DatacentreConflictError{Datacentre: id}
	_ = json.Unmarshal(kv.Value, &conflict.Current) // an undecodable record leaves the fields empty
	return NotApplied, conflict
}

// applyDatacentre applies a record that this process has written or read, without waiting for the next poll.
func (s *Service) applyDatacentre(id structs.DatacentreID, e entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.putEntry(partDatacentres+string(id), e) {
		s.notifyChanged()
	}
}

// hasDatacentre reports whether the document, a member or an earlier command names the data centre.
func (s *Service) hasDatacentre(id structs.DatacentreID) bool {
	return id != "" && slices.Contains(s.KnownDatacentres(), id)
}
