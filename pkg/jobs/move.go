package jobs

import (
	"context"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// ErrHasOwner means that a shard has an owner, which alone may move the jobs of the shard.
const ErrHasOwner = errors.ConstError("shard has an owner")

// NextHome chooses a home shard for a job that has to leave its data centre. It fails with ErrNoDocument or
// ErrNoHome. The owner of the present home then puts the record with the new home into its Batch.
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
	home, ok := s.cfg.Home(others, demand, s.seeds())
	if !ok {
		return structs.ShardID{}, errors.Annotatef(ErrNoHome, "job %s outside of %s", record.ID, record.Home.Datacentre)
	}
	return home, nil
}

// OwnerAbsence is what was read about a shard without an owner record.
type OwnerAbsence struct {
	Shard structs.ShardID
	// LastOwnerRevision is the revision of the record that every claim writes, and that a release deletes; 0 if it is absent.
	// While it is the same, nobody has claimed the shard.
	LastOwnerRevision int64
	// Revision is the store revision of an earlier read that found the same. With LastOwner 0 an owner may have come
	// and gone since, and has then written the jobs of which it started tasks.
	Revision int64
}

// Rehome moves a job, or a part of one, away from a shard that has no owner, because its data centre is lost. The
// caller has made sure that no task of the job can run there any more; prepare brings the task states of the record
// up to date with that. The write applies only while the shard has no owner and had none since the caller read from:
// an owner that comes later finds the job moved. A job that may have been started since fails with ErrContended.
//
// Errors: ErrHasOwner, ErrNotFound, ErrNoHome, ErrNoDocument, ErrContended, ErrNotAccepted and those of reads of the
// store (nothing written), and ErrUnknown.
func (s *Service) Rehome(ctx context.Context, id structs.JobID, from OwnerAbsence, prepare func(*structs.JobRecord)) (structs.JobRecord, error) {
	ctx, span := s.tracer.Start(ctx, "jobs.Rehome")
	defer span.End()
	nonce := newNonce()
	var lost error
	for attempt := 0; attempt < MaxWriteAttempts; attempt++ {
		current, err := s.readRecord(ctx, id)
		if err != nil {
			return structs.JobRecord{}, firstError(unknown(id, lost), err)
		}
		if current.Record.Home != from.Shard {
			return s.moved(ctx, current.Record), nil // by this call, or by another host
		}
		if from.LastOwnerRevision == 0 && current.ModRevision > from.Revision {
			return structs.JobRecord{}, firstError(unknown(id, lost), errors.Annotatef(ErrContended, "job %s has changed lately", id))
		}
		next, txn, err := s.prepareMove(current, from, nonce, prepare)
		if err != nil {
			return structs.JobRecord{}, firstError(unknown(id, lost), err)
		}
		result, err := s.cfg.Store.Txn(ctx, txn)
		switch {
		case err == nil && result.Applied:
			return s.moved(ctx, next), nil
		case err == nil && s.claimedSince(from, result.Read):
			return structs.JobRecord{}, errors.Annotatef(ErrHasOwner, "shard %s", from.Shard)
		case err != nil && lost == nil && errors.Is(err, store.ErrUnavailable):
			return structs.JobRecord{}, errors.Annotatef(ErrNotAccepted, "moving job %s: %v", id, err)
		case err != nil:
			lost = err
		}
	}
	return structs.JobRecord{}, firstError(unknown(id, lost), errors.Annotatef(ErrContended, "moving job %s", id))
}

// unknown returns an UnknownError if the answer of a write was lost, else nil.
func unknown(id structs.JobID, lost error) error {
	if lost == nil {
		return nil
	}
	return &UnknownError{ID: id, Cause: lost}
}

// prepareMove returns the record with its new home and the write that stores it.
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

// claimedSince reports whether the shard has an owner, or had one after from was read.
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

// moved reports the new home of a job and tells its owner.
func (s *Service) moved(ctx context.Context, record structs.JobRecord) structs.JobRecord {
	s.cfg.Scope.Counter("rehomed").Inc(1)
	s.cfg.Log.Event(eventlog.JobHomeMoved).Str("job", string(record.ID)).Str("home", record.Home.String()).Msg("")
	s.cfg.Notifier.NotifyJobs(ctx, record.Home, []structs.JobID{record.ID})
	return record
}
