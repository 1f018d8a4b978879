package jobs

import (
	"cmp"
	"context"
	"slices"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// Filter selects jobs for List. Zero fields match everything.
type Filter struct {
	Team  structs.TeamName
	Kind  structs.KindName
	Home  structs.ShardID // of any part
	Open  bool            // only jobs with a task that is not final
	Limit int             // at most this many, the latest submissions first; 0 means no limit
}

func (f Filter) matches(record *structs.JobRecord) bool {
	return (f.Team == "" || f.Team == record.Spec.Team) &&
		(f.Kind == "" || f.Kind == record.Spec.Kind) &&
		(f.Home == structs.ShardID{} || f.Home == record.Home) &&
		(!f.Open || !record.Final())
}

// Loaded is the result of a range read of job records.
type Loaded struct {
	Jobs     []Stored
	Broken   []structs.JobID // records that cannot be decoded; their tasks may be running
	Revision int64           // store revision of the read; changes after it are found with Changes(Revision)
}

// Get returns a job with all its tasks, also when id names one of its parts. The revision is that of the latest change
// of a part. It fails with ErrNotFound or an error of the store.
func (s *Service) Get(ctx context.Context, id structs.JobID) (Stored, error) {
	ctx, span := s.tracer.Start(ctx, "jobs.Get")
	defer span.End()
	parts, _, err := s.readParts(ctx, id)
	if err != nil {
		return Stored{}, err
	}
	return assembleStored(parts), nil
}

// Parts returns the records in which a job is stored, in the order of its tasks. Errors are those of Get.
func (s *Service) Parts(ctx context.Context, id structs.JobID) ([]structs.JobRecord, error) {
	ctx, span := s.tracer.Start(ctx, "jobs.Parts")
	defer span.End()
	parts, _, err := s.readParts(ctx, id)
	return recordsOf(parts), err
}

// readRecord returns the record stored under id. It fails with ErrNotFound or an error of the store.
func (s *Service) readRecord(ctx context.Context, id structs.JobID) (Stored, error) {
	kv, found, err := s.cfg.Store.Get(ctx, s.keys.job(id))
	if err != nil {
		return Stored{}, errors.Annotatef(err, "reading job %s", id)
	}
	if !found {
		return Stored{}, errors.Annotatef(ErrNotFound, "job %s", id)
	}
	return decode(kv)
}

// List returns the jobs that match filter, the latest submission first. It reads all job records.
func (s *Service) List(ctx context.Context, filter Filter) ([]structs.JobRecord, error) {
	ctx, span := s.tracer.Start(ctx, "jobs.List")
	defer span.End()
	loaded, err := s.load(ctx, 0, Filter{}.matches)
	if err != nil {
		return nil, err
	}
	records := wholeJobs(loaded.Jobs, filter)
	slices.SortFunc(records, func(a, b structs.JobRecord) int {
		return cmp.Or(b.Submitted.Compare(a.Submitted), cmp.Compare(a.ID, b.ID))
	})
	if filter.Limit > 0 && len(records) > filter.Limit {
		records = records[:filter.Limit]
	}
	return records, nil
}

// LoadHome returns all records whose home is shard: jobs, and parts of jobs. A new owner calls it after its owner record was created: from
// then on no former owner can change the records.
func (s *Service) LoadHome(ctx context.Context, shard structs.ShardID) (Loaded, error) {
	ctx, span := s.tracer.Start(ctx, "jobs.LoadHome")
	defer span.End()
	return s.load(ctx, 0, Filter{Home: shard}.matches)
}

// Changes returns the records of all shards that changed after sinceRevision. Deleted records do not appear.
// Records that now have another home are included, so that the former home forgets them.
func (s *Service) Changes(ctx context.Context, sinceRevision int64) (Loaded, error) {
	ctx, span := s.tracer.Start(ctx, "jobs.Changes")
	defer span.End()
	return s.load(ctx, sinceRevision+1, Filter{}.matches)
}

// load reads the records that changed at minRevision or later and keeps those that match.
func (s *Service) load(ctx context.Context, minRevision int64, matches func(*structs.JobRecord) bool) (Loaded, error) {
	result, err := s.cfg.Store.Range(ctx, s.keys.jobs(), minRevision)
	if err != nil {
		return Loaded{}, errors.Annotate(err, "reading job records")
	}
	loaded := Loaded{Revision: result.Revision}
	for _, kv := range result.Entries {
		stored, err := decode(kv)
		if err != nil {
			s.broken(kv, err)
			loaded.Broken = append(loaded.Broken, s.keys.id(kv.Key))
			continue
		}
		if matches(&stored.Record) {
			loaded.Jobs = append(loaded.Jobs, stored)
		}
	}
	return loaded, nil
}

// broken reports a record that cannot be decoded. One bad record must not keep the others from being read.
func (s *Service) broken(kv store.KeyValue, err error) {
	s.cfg.Scope.Counter("broken_records").Inc(1)
	s.cfg.Log.Event(eventlog.JobRecordUnreadable).Str("key", kv.Key).Str("reason", err.Error()).Msg("")
}
