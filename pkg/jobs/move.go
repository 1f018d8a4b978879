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
	demand := HomeDemand{Size: DeclaredSize(doc, record.Spec), Own: s.cfg.Datacentre}
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

// Rehome moves a job, or a part of one, away from a shard that has no owner, because its data centre is lost. The caller has made sure
// that no task of the job can run there any more; prepare brings the task states of the record up to date with
// that. The write applies only while the shard has no owner: an owner that comes later finds the job moved.
//
// Errors: ErrHasOwner, ErrNotFound, ErrNoHome, ErrNoDocument, ErrContended, ErrNotAccepted and those of reads of the
// store (nothing written), and ErrUnknown.
func (s *Service) Rehome(ctx context.Context, id structs.JobID, from structs.ShardID, prepare func(*structs.JobRecord)) (structs.JobRecord, error) {
	ctx, span := s.tracer.Start(ctx, "jobs.Rehome")
	defer span.End()
	nonce := newNonce()
	var lost error
	for attempt := 0; attempt < MaxSettleAttempts; attempt++ {
		current, err := s.readRecord(ctx, id)
		if err != nil {
			return structs.JobRecord{}, firstError(unknown(id, lost), err)
		}
		if current.Record.Home != from {
			return s.moved(ctx, current.Record), nil // by this call, or by another host
		}
		next, txn, err := s.prepareMove(current, nonce, prepare)
		if err != nil {
			return structs.JobRecord{}, firstError(unknown(id, lost), err)
		}
		result, err := s.cfg.Store.Txn(ctx, txn)
		switch {
		case err == nil && result.Applied:
			return s.moved(ctx, next), nil
		case err == nil && s.hasOwner(from, result.Read):
			return structs.JobRecord{}, errors.Annotatef(ErrHasOwner, "shard %s", from)
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
func (s *Service) prepareMove(current Stored, nonce string, prepare func(*structs.JobRecord)) (structs.JobRecord, store.Txn, error) {
	next := clone(current.Record)
	prepare(&next)
	trimRecord(&next)
	home, err := s.NextHome(&current.Record)
	if err != nil {
		return next, store.Txn{}, err
	}
	next.Home, next.HomeSince, next.Nonce = home, s.cfg.Clock().UTC(), nonce
	value, err := encode(&next)
	if err != nil {
		return next, store.Txn{}, err
	}
	key, owner := s.keys.job(next.ID), s.keys.owner(current.Record.Home)
	return next, store.Txn{
		Compares: []store.Compare{
			{Key: owner, Target: store.CompareCreateRevision},
			{Key: key, Target: store.CompareModRevision, Revision: current.ModRevision},
		},
		Puts:       []store.Put{{Key: key, Value: value}},
		ReadOnFail: []string{owner},
	}, nil
}

func (s *Service) hasOwner(shard structs.ShardID, read []store.KeyValue) bool {
	for _, kv := range read {
		if kv.Key == s.keys.owner(shard) {
			return true
		}
	}
	return false
}

// moved reports the new home of a job and tells its owner.
func (s *Service) moved(ctx context.Context, record structs.JobRecord) structs.JobRecord {
	s.cfg.Scope.Counter("rehomed").Inc(1)
	s.cfg.Log.Event(eventlog.JobHomeMoved).Str("job", string(record.ID)).Str("home", record.Home.String()).Msg("")
	s.cfg.Notifier.NotifyJobs(ctx, record.Home, []structs.JobID{record.ID})
	return record
}
