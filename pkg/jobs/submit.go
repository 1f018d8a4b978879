package jobs

import (
	"context"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// Submit accepts a job: it validates spec, splits the tasks over home shards and creates the records of all parts in
// one transaction. The job is accepted when the store has acknowledged the transaction. Submitting the same
// specification under the same key again returns the existing job. The result has all tasks and the id of the first
// part.
//
// Errors: ErrInvalid, ErrTooLarge, ErrNoHome, ErrNoDocument, ErrKeyReused and ErrNotAccepted mean that this call
// stored nothing; ErrOutcomeUnknown means that the record may exist.
func (s *Service) Submit(ctx context.Context, spec structs.JobSpec) (structs.JobRecord, error) {
	ctx, span := s.tracer.Start(ctx, "jobs.Submit")
	defer span.End()
	parts, err := s.admit(spec)
	if err != nil {
		var record structs.JobRecord
		if spec.Key != "" {
			record, err = s.findRepeated(ctx, spec, err)
		}
		return record, s.recordRejection(spec, err)
	}
	record, err := s.create(ctx, parts)
	if err != nil {
		return structs.JobRecord{}, s.recordRejection(spec, err)
	}
	s.cfg.Scope.Counter("accepted").Inc(1)
	s.cfg.Log.Event(eventlog.JobAccepted).Str("job", string(record.ID)).Str("home", record.Home.String()).
		Int("parts", len(parts)).Msg("")
	for _, part := range parts {
		s.cfg.Notifier.NotifyJobs(ctx, part.Home, []structs.JobID{part.ID})
	}
	return record, nil
}

// admit validates spec and returns the records to create. It makes no store calls.
func (s *Service) admit(spec structs.JobSpec) ([]structs.JobRecord, error) {
	doc, _, ok := s.cfg.Documents.Document()
	if !ok {
		return nil, errors.Trace(ErrNoDocument)
	}
	if err := checkSpec(doc, spec); err != nil {
		return nil, err
	}
	size := DeclaredSize(doc, spec)
	if err := checkFits(doc, s.cfg.Capacity.Largest(), size); err != nil {
		return nil, err
	}
	demand := HomeDemand{Size: size, Tasks: spec.Tasks, PreferredDatacentre: s.cfg.Datacentre}
	candidates, rnd := s.cfg.Shards.Candidates(), s.newRand()
	home, ok := s.cfg.Home(candidates, demand, rnd)
	if !ok {
		return nil, errors.Annotatef(ErrNoHome, "a task asks for %s", describe(size))
	}
	return s.newRecords(spec, Split(candidates, demand, home, maxPartsOf(spec), rnd)), nil
}

// newRecords returns the records of a new job, one per share. The specification is stored as submitted, without
// defaults of the document, so that a repeated submission can be compared with it after the document has changed.
func (s *Service) newRecords(spec structs.JobSpec, shares []Share) []structs.JobRecord {
	now, id, nonce := s.cfg.Clock().UTC(), newID(spec), newNonce()
	records := make([]structs.JobRecord, len(shares))
	first := 0
	for n, share := range shares {
		tasks := make([]structs.TaskRecord, share.Tasks)
		for i := range tasks {
			tasks[i].State = structs.TaskPending
		}
		records[n] = structs.JobRecord{
			ID: partID(id, n), Spec: spec, Home: share.Shard, HomeSince: now, Tasks: tasks, Submitted: now, Nonce: nonce,
		}
		if len(shares) > 1 {
			records[n].Part = structs.JobPart{Index: n, Count: len(shares), FirstTask: first}
		}
		first += share.Tasks
	}
	return records
}

// createTxn returns the transaction that creates all parts of a job if the first is absent. In that case the other
// parts are absent too, because SweepParts deletes the first part last.
func (s *Service) createTxn(parts []structs.JobRecord) (store.Txn, error) {
	key := s.keys.job(parts[0].ID)
	txn := store.Txn{
		Compares:   []store.Compare{{Key: key, Target: store.CompareCreateRevision}},
		ReadOnFail: []string{key},
	}
	for n := range parts {
		value, err := encode(&parts[n])
		if err != nil {
			return store.Txn{}, err
		}
		txn.Puts = append(txn.Puts, store.Put{Key: s.keys.job(parts[n].ID), Value: value})
	}
	return txn, nil
}

// create writes the parts of a job if the key of the first is absent. After a lost response it reads the key. If the
// key is absent the write may still be in transit, so the same transaction is repeated with the same nonce. At most
// one of the attempts takes effect.
func (s *Service) create(ctx context.Context, parts []structs.JobRecord) (structs.JobRecord, error) {
	txn, err := s.createTxn(parts)
	if err != nil {
		return structs.JobRecord{}, err
	}
	record, key := assemble(parts), txn.ReadOnFail[0]
	var lastErr error
	for attempt := 0; attempt < MaxWriteAttempts && ctx.Err() == nil; attempt++ {
		result, err := s.cfg.Store.Txn(ctx, txn)
		if err == nil && result.Applied {
			return record, nil
		}
		if err == nil && len(result.Read) == 1 {
			return s.matchExisting(ctx, record, result.Read[0])
		}
		if lastErr == nil && errors.Is(err, store.ErrUnavailable) {
			return structs.JobRecord{}, errors.Annotate(ErrNotAccepted, err.Error())
		}
		lastErr = errors.Annotate(err, "creating the record")
		if kv, found, err := s.cfg.Store.Get(ctx, key); err == nil && found {
			return s.matchExisting(ctx, record, kv)
		}
	}
	if lastErr == nil {
		return structs.JobRecord{}, errors.Annotate(ErrNotAccepted, "cancelled by the caller")
	}
	return structs.JobRecord{}, &OutcomeUnknownError{ID: record.ID, Cause: lastErr}
}

// matchExisting returns the existing job for a submission if the first record found under its key is from this call
// (same nonce) or has the same specification, and ErrKeyReused otherwise. The specification is compared because an
// owner may already have replaced the nonce.
func (s *Service) matchExisting(ctx context.Context, submitted structs.JobRecord, kv store.KeyValue) (structs.JobRecord, error) {
	found, err := decode(kv)
	if err != nil {
		return structs.JobRecord{}, errors.Trace(err)
	}
	if found.Record.Nonce != submitted.Nonce && found.Record.Spec != submitted.Spec {
		return structs.JobRecord{}, errors.Annotatef(ErrKeyReused, "job %s", submitted.ID)
	}
	if found.Record.Part.Count <= 1 {
		return found.Record, nil
	}
	if found.Record.Nonce == submitted.Nonce {
		return submitted, nil
	}
	parts, _, err := s.readParts(ctx, submitted.ID)
	if errors.Is(err, ErrNotFound) {
		return structs.JobRecord{}, errors.Annotatef(ErrNotAccepted, "an earlier job %s with this key is being deleted", submitted.ID)
	}
	if err != nil {
		return structs.JobRecord{}, &OutcomeUnknownError{ID: submitted.ID, Cause: err}
	}
	return assemble(recordsOf(parts)), nil
}

// findRepeated reads the record of an earlier submission under the same key when the checks reject this one, and
// returns rejection if there is none. The document or the hosts may have changed since the earlier submission, and a
// job that was accepted must not be reported as rejected.
func (s *Service) findRepeated(ctx context.Context, spec structs.JobSpec, rejection error) (structs.JobRecord, error) {
	kv, found, err := s.cfg.Store.Get(ctx, s.keys.job(IDFor(spec.Team, spec.Key)))
	if err != nil {
		return structs.JobRecord{}, errors.Annotatef(ErrNotAccepted, "%v; earlier submissions with this key cannot be read: %v", rejection, err)
	}
	if !found {
		return structs.JobRecord{}, rejection
	}
	return s.matchExisting(ctx, structs.JobRecord{ID: IDFor(spec.Team, spec.Key), Spec: spec}, kv)
}

// recordRejection counts and logs a submission that was not accepted. It returns err unchanged.
func (s *Service) recordRejection(spec structs.JobSpec, err error) error {
	if err == nil {
		return nil
	}
	code, counter := eventlog.JobRejected, "rejected"
	if errors.Is(err, ErrOutcomeUnknown) {
		code, counter = eventlog.JobUnknown, "unknown"
	}
	s.cfg.Scope.Counter(counter).Inc(1)
	s.cfg.Log.Event(code).Str("team", string(spec.Team)).Str("kind", string(spec.Kind)).Str("reason", err.Error()).Msg("")
	return err
}
