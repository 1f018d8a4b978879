package jobs

import (
	"context"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// ErrHasOwner means that a shard has an owner, and only the owner may move its jobs.
const ErrHasOwner = errors.ConstError("shard has an owner")

// NextHome selects a home shard in another data centre for a job that has to leave its own, and writes nothing. After
// NextHome the owner of the present home shard puts the record with the new home into its Batch, which writes it only
// while that owner holds the shard. For a shard without an owner, Rehome writes the record. Errors: ErrNoDocument,
// ErrNoHome.
func (s *Service) NextHome(record *structs.JobRecord) (structs.ShardID, error) {
	doc, _, ok := s.cfg.Documents.Document()
	if !ok {
		return structs.ShardID{}, errors.Trace(ErrNoDocument)
	}
	var others []HomeCandidate
	for _, c := range s.cfg.Shards.Candidates() {
		if c.Digest.Shard.Datacentre != record.Home.Datacentre {
			others = append(others, c)
		}
	}
	demand := HomeDemand{Size: DeclaredSize(doc, record.Spec), PreferredDatacentre: s.cfg.Datacentre}
	for i := range record.Tasks {
		if !record.Tasks[i].State.Final() {
			demand.Tasks++
		}
	}
	home, ok := s.cfg.Home(others, demand, s.newRand())
	if !ok {
		return structs.ShardID{}, errors.Annotatef(ErrNoHome, "job %s outside of %s", record.ID, record.Home.Datacentre)
	}
	return home, nil
}

// OwnerAbsence is the result of the reads that found a shard without an owner record.
type OwnerAbsence struct {
	Shard structs.ShardID
	// LastOwnerRevision is the revision of the last owner's record, which every claim writes and a release deletes; 0
	// if it is absent. While it does not change, no host has claimed the shard.
	LastOwnerRevision int64
	// Revision is the store revision of an earlier read with the same result. If LastOwnerRevision is 0, a host may
	// have claimed and released the shard since. It has then written the records of the jobs whose tasks it started.
	Revision int64
}

// Rehome moves a job, or a part of one, from a shard without an owner, whose data centre is lost, to another home
// shard. The caller must have ensured that no task of the job can still run there; prepare sets the task states
// accordingly. The write applies only if the shard has no owner and had none since the caller read from, so that a
// later owner finds the job moved. If tasks of the job may have been started since then, Rehome fails with
// ErrContended.
//
// Errors: ErrHasOwner, ErrNotFound, ErrNoHome, ErrNoDocument, ErrContended, ErrNotAccepted and those of reads of the
// store (nothing written), and ErrOutcomeUnknown.
func (s *Service) Rehome(ctx context.Context, id structs.JobID, from OwnerAbsence, prepare func(*structs.JobRecord)) (structs.JobRecord, error) {
	ctx, span := s.tracer.Start(ctx, "jobs.Rehome")
	defer span.End()
	nonce := newNonce()
	var lastErr error
	for attempt := 0; attempt < MaxWriteAttempts; attempt++ {
		current, err := s.readRecord(ctx, id)
		if err != nil {
			return structs.JobRecord{}, firstError(unknownOutcome(id, lastErr), err)
		}
		if current.Record.Home != from.Shard {
			return s.reportMove(ctx, current.Record), nil // moved by an earlier attempt or another host
		}
		if from.LastOwnerRevision == 0 && current.ModRevision > from.Revision {
			return structs.JobRecord{}, firstError(unknownOutcome(id, lastErr), errors.Annotatef(ErrContended, "job %s has changed since the last check", id))
		}
		next, txn, err := s.prepareMove(current, from, nonce, prepare)
		if err != nil {
			return structs.JobRecord{}, firstError(unknownOutcome(id, lastErr), err)
		}
		result, err := s.cfg.Store.Txn(ctx, txn)
		switch {
		case err == nil && result.Applied:
			return s.reportMove(ctx, next), nil
		case err == nil && s.claimedSince(from, result.Read):
			return structs.JobRecord{}, errors.Annotatef(ErrHasOwner, "shard %s", from.Shard)
		case err != nil && lastErr == nil && errors.Is(err, store.ErrUnavailable):
			return structs.JobRecord{}, errors.Annotatef(ErrNotAccepted, "moving job %s: %v", id, err)
		case err != nil:
			lastErr = err
		}
	}
	return structs.JobRecord{}, firstError(unknownOutcome(id, lastErr), errors.Annotatef(ErrContended, "moving job %s", id))
}

// unknownOutcome returns an OutcomeUnknownError if the response to a write was lost, and nil if lastErr is nil.
func unknownOutcome(id structs.JobID, lastErr error) error {
	if lastErr == nil {
		return nil
	}
	return &OutcomeUnknownError{ID: id, Cause: lastErr}
}

// prepareMove returns the record with its new home and the transaction that stores it.
func (s *Service) prepareMove(current Stored, from OwnerAbsence, nonce string, prepare func(*structs.JobRecord)) (structs.JobRecord, store.Txn, error) {
	next := current.Record.Clone()
	prepare(&next)
	trimRecord(&next)
	home, err := s.NextHome(&current.Record)
	if err != nil {
		return next, store.Txn{}, err
	}
	now := s.cfg.Clock().UTC()
	next.Home, next.HomeSince, next.Nonce = home, now, nonce
	if next.Final() && next.Finished.IsZero() {
		next.Finished = now
	}
	value, err := encode(&next)
	if err != nil {
		return next, store.Txn{}, err
	}
	key, owner, last := s.keys.job(next.ID), s.keys.owner(from.Shard), s.keys.lastOwner(from.Shard)
	return next, store.Txn{
		Compares: []store.Compare{
			{Key: owner, Target: store.CompareCreateRevision},
			{Key: last, Target: store.CompareModRevision, Revision: from.LastOwnerRevision},
			{Key: key, Target: store.CompareModRevision, Revision: current.ModRevision},
		},
		Puts:       []store.Put{{Key: key, Value: value}},
		ReadOnFail: []string{owner, last},
	}, nil
}

// claimedSince reports whether the shard has an owner or was claimed after from was read.
func (s *Service) claimedSince(from OwnerAbsence, read []store.KeyValue) bool {
	last := int64(0)
	for _, kv := range read {
		if kv.Key == s.keys.owner(from.Shard) {
			return true
		}
		if kv.Key == s.keys.lastOwner(from.Shard) {
			last = kv.ModRevision
		}
	}
	return last != from.LastOwnerRevision
}

// reportMove counts and logs the new home of a job and notifies the owner of the new home.
func (s *Service) reportMove(ctx context.Context, record structs.JobRecord) structs.JobRecord {
	s.cfg.Scope.Counter("rehomed").Inc(1)
	s.cfg.Log.Event(eventlog.JobHomeMoved).Str("job", string(record.ID)).Str("home", record.Home.String()).Msg("")
	s.cfg.Notifier.NotifyJobs(ctx, record.Home, []structs.JobID{record.ID})
	return record
}
