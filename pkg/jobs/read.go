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

// Filter selects jobs for List. Zero fields match every job.
type Filter struct {
	Team  structs.TeamName
	Kind  structs.KindName
	Home  structs.ShardID // home of any part
	Open  bool            // only jobs with a task that is not final
	Limit int             // maximum number of jobs, the latest submissions first; 0 for no limit
}

func (f Filter) matches(record *structs.JobRecord) bool {
	return (f.Team == "" || f.Team == record.Spec.Team) &&
		(f.Kind == "" || f.Kind == record.Spec.Kind) &&
		(f.Home == structs.ShardID{} || f.Home == record.Home) &&
		(!f.Open || !record.Final())
}

// Loaded is the result of a range read of job records.
type Loaded struct {
	Jobs        []Stored
	Undecodable []structs.JobID // ids of records that cannot be decoded; their tasks may be running
	Revision    int64           // store revision of the read; Changes(ctx, Revision) returns later changes
}

// Get returns a job with all its tasks; id may also be that of one of its parts. The revision is that of the latest
// change of a part. It fails with ErrNotFound or an error of the store.
func (s *Service) Get(ctx context.Context, id structs.JobID) (Stored, error) {
	ctx, span := s.tracer.Start(ctx, "jobs.Get")
	defer span.End()
	parts, _, err := s.readParts(ctx, id)
	if err != nil {
		return Stored{}, err
	}
	return assembleStored(parts), nil
}

// Parts returns the records in which a job is stored, in the order of its tasks. It fails like Get.
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

// LoadHome returns all records whose home is shard: jobs, and parts of jobs. A new owner calls it after its owner
// record was created, because from then on no former owner can change the records.
func (s *Service) LoadHome(ctx context.Context, shard structs.ShardID) (Loaded, error) {
	ctx, span := s.tracer.Start(ctx, "jobs.LoadHome")
	defer span.End()
	return s.load(ctx, 0, Filter{Home: shard}.matches)
}

// Changes returns the records of all shards that changed after sinceRevision. Deleted records are not returned.
// Records that have moved are included, so that the owner of the former home drops them.
func (s *Service) Changes(ctx context.Context, sinceRevision int64) (Loaded, error) {
	ctx, span := s.tracer.Start(ctx, "jobs.Changes")
	defer span.End()
	return s.load(ctx, sinceRevision+1, Filter{}.matches)
}

// load returns the matching records that changed at minRevision or later.
func (s *Service) load(ctx context.Context, minRevision int64, matches func(*structs.JobRecord) bool) (Loaded, error) {
	result, err := s.cfg.Store.Range(ctx, s.keys.jobs(), minRevision)
	if err != nil {
		return Loaded{}, errors.Annotate(err, "reading job records")
	}
	loaded := Loaded{Revision: result.Revision}
	for _, kv := range result.Entries {
		stored, err := decode(kv)
		if err != nil {
			s.reportUndecodable(kv, err)
			loaded.Undecodable = append(loaded.Undecodable, s.keys.id(kv.Key))
			continue
		}
		if matches(&stored.Record) {
			loaded.Jobs = append(loaded.Jobs, stored)
		}
	}
	return loaded, nil
}

// reportUndecodable counts and logs a record that cannot be decoded. The other records are still returned.
func (s *Service) reportUndecodable(kv store.KeyValue, err error) {
	s.cfg.Scope.Counter("broken_records").Inc(1)
	s.cfg.Log.Event(eventlog.JobRecordUnreadable).Str("key", kv.Key).Str("reason", err.Error()).Msg("")
}
