package jobs

import (
	"context"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// Submit accepts a job: it checks spec, chooses the home shard and creates the record. The job is accepted once
// the store has acknowledged the record. Submitting the same specification under the same key again returns the
// existing record.
//
// Errors: ErrInvalid, ErrTooLarge, ErrNoHome, ErrNoDocument, ErrKeyReused and ErrNotAccepted mean that this call
// stored nothing; ErrUnknown means that the record may exist.
func (s *Service) Submit(ctx context.Context, spec structs.JobSpec) (structs.JobRecord, error) {
	ctx, span := s.tracer.Start(ctx, "jobs.Submit")
	defer span.End()
	record, err := s.admit(spec)
	if err != nil {
		if spec.Key != "" {
			record, err = s.repeated(ctx, spec, err)
		}
		return record, s.report(spec, err)
	}
	record, err = s.create(ctx, record)
	if err != nil {
		return structs.JobRecord{}, s.report(spec, err)
	}
	s.cfg.Scope.Counter("accepted").Inc(1)
	s.cfg.Log.Event(eventlog.JobAccepted).Str("job", string(record.ID)).Str("home", record.Home.String()).Msg("")
	s.cfg.Notifier.NotifyJobs(ctx, record.Home, []structs.JobID{record.ID})
	return record, nil
}

// admit checks spec and returns the record to create. It makes no store call.
func (s *Service) admit(spec structs.JobSpec) (structs.JobRecord, error) {
	doc, _, ok := s.cfg.Documents.Document()
	if !ok {
		return structs.JobRecord{}, errors.Trace(ErrNoDocument)
	}
	if err := checkSpec(doc, spec); err != nil {
		return structs.JobRecord{}, err
	}
	size := DeclaredSize(doc, spec)
	if err := checkFits(doc, s.cfg.Capacity.Largest(), size); err != nil {
		return structs.JobRecord{}, err
	}
	demand := HomeDemand{Size: size, Tasks: spec.Tasks, Own: s.cfg.Datacentre}
	home, ok := s.cfg.Home(s.cfg.Shards.Candidates(), demand, s.seeds())
	if !ok {
		return structs.JobRecord{}, errors.Annotatef(ErrNoHome, "a task asks for %s", describe(size))
	}
	return s.newRecord(spec, home), nil
}

// newRecord returns the first record of a job. The specification is stored as submitted, without defaults of the
// document, so that a repeat can be compared with it after the document has changed.
func (s *Service) newRecord(spec structs.JobSpec, home structs.ShardID) structs.JobRecord {
	now := s.cfg.Clock().UTC()
	tasks := make([]structs.TaskRecord, spec.Tasks)
	for i := range tasks {
		tasks[i].State = structs.TaskPending
	}
	return structs.JobRecord{ID: newID(spec), Spec: spec, Home: home, HomeSince: now, Tasks: tasks, Submitted: now, Nonce: newNonce()}
}

// create writes record if its key is absent. After a lost answer it re-reads the key. If the key is still absent
// the write may be on its way, so the same create-if-absent is repeated with the same nonce: at most one of the
// attempts takes effect.
func (s *Service) create(ctx context.Context, record structs.JobRecord) (structs.JobRecord, error) {
	value, err := encode(&record)
	if err != nil {
		return structs.JobRecord{}, err
	}
	key := s.keys.job(record.ID)
	txn := store.Txn{
		Compares:   []store.Compare{{Key: key, Target: store.CompareCreateRevision}},
		Puts:       []store.Put{{Key: key, Value: value}},
		ReadOnFail: []string{key},
	}
	var cause error
	for attempt := 0; attempt < MaxSettleAttempts && ctx.Err() == nil; attempt++ {
		result, err := s.cfg.Store.Txn(ctx, txn)
		if err == nil && result.Applied {
			return record, nil
		}
		if err == nil && len(result.Read) == 1 {
			return sameJob(record, result.Read[0])
		}
		if cause == nil && errors.Is(err, store.ErrUnavailable) {
			return structs.JobRecord{}, errors.Annotate(ErrNotAccepted, err.Error())
		}
		cause = errors.Annotate(err, "creating the record")
		if kv, found, err := s.cfg.Store.Get(ctx, key); err == nil && found {
			return sameJob(record, kv)
		}
	}
	if cause == nil {
		return structs.JobRecord{}, errors.Annotate(ErrNotAccepted, "cancelled by the caller")
	}
	return structs.JobRecord{}, &UnknownError{ID: record.ID, Cause: cause}
}

// sameJob settles a submission against the record found under its key: the record of this attempt (same nonce),
// or of an earlier one with the same specification. An owner may already have replaced the nonce.
func sameJob(submitted structs.JobRecord, kv store.KeyValue) (structs.JobRecord, error) {
	found, err := decode(kv)
	if err != nil {
		return structs.JobRecord{}, errors.Trace(err)
	}
	if found.Record.Nonce != submitted.Nonce && found.Record.Spec != submitted.Spec {
		return structs.JobRecord{}, errors.Annotatef(ErrKeyReused, "job %s", submitted.ID)
	}
	return found.Record, nil
}

// repeated looks for the record of an earlier submission under the same key when the checks reject this one: the
// document or the hosts may have changed since, and a job that was accepted must not be reported as rejected.
func (s *Service) repeated(ctx context.Context, spec structs.JobSpec, rejection error) (structs.JobRecord, error) {
	kv, found, err := s.cfg.Store.Get(ctx, s.keys.job(IDFor(spec.Team, spec.Key)))
	if err != nil {
		return structs.JobRecord{}, errors.Annotatef(ErrNotAccepted, "%v; earlier submissions with this key cannot be read: %v", rejection, err)
	}
	if !found {
		return structs.JobRecord{}, rejection
	}
	return sameJob(structs.JobRecord{ID: IDFor(spec.Team, spec.Key), Spec: spec}, kv)
}

// report counts and logs a submission that was not accepted and returns err unchanged.
func (s *Service) report(spec structs.JobSpec, err error) error {
	if err == nil {
		return nil
	}
	code, counter := eventlog.JobRejected, "rejected"
	if errors.Is(err, ErrUnknown) {
		code, counter = eventlog.JobUnknown, "unknown"
	}
	s.cfg.Scope.Counter(counter).Inc(1)
	s.cfg.Log.Event(code).Str("team", string(spec.Team)).Str("kind", string(spec.Kind)).Str("reason", err.Error()).Msg("")
	return err
}
