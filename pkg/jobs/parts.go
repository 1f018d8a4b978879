package jobs

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// A job with many tasks is stored in parts, each a record with its own home shard. The first part has the id of the
// job, the others have "<id>.<n>". Owners handle a part like a job. Callers see one job under the id of the first
// part. Its tasks are those of the parts in order.
//
// The first part exists as long as any other does: all are created in one transaction, and the first is deleted last.

// partID returns the record id of part n of a job; n is 0 for the first part.
func partID(whole structs.JobID, n int) structs.JobID {
	if n == 0 {
		return whole
	}
	return whole + "." + structs.JobID(strconv.Itoa(n))
}

// partKeys returns the store keys of all parts of a job.
func (k keyspace) partKeys(whole structs.JobID, count int) []string {
	keys := make([]string, count)
	for n := range keys {
		keys[n] = k.job(partID(whole, n))
	}
	return keys
}

// readParts returns the records of a job in order and the revision of the store at the time of the read. It fails with
// an error of the store, or with ErrNotFound if a part is missing, as it is while the job is being deleted.
func (s *Service) readParts(ctx context.Context, id structs.JobID) ([]Stored, int64, error) {
	whole := id.WithoutPart()
	keys := s.keys.partKeys(whole, 1)
	for {
		result, err := readAt(ctx, s.cfg.Store, keys)
		if err != nil {
			return nil, 0, errors.Annotatef(err, "reading job %s", whole)
		}
		if len(result.Read) < len(keys) {
			return nil, 0, errors.Annotatef(ErrNotFound, "job %s", whole)
		}
		parts, err := decodeParts(result.Read)
		if err != nil {
			return nil, 0, err
		}
		if count := max(parts[0].Record.Part.Count, 1); count != len(keys) {
			keys = s.keys.partKeys(whole, count)
			continue // at most once, unless the job was deleted and submitted again between the reads
		}
		return parts, result.Revision, nil
	}
}

func decodeParts(entries []store.KeyValue) ([]Stored, error) {
	parts := make([]Stored, len(entries))
	for i, kv := range entries {
		var err error
		if parts[i], err = decode(kv); err != nil {
			return nil, err
		}
	}
	sortParts(parts)
	return parts, nil
}

func sortParts(parts []Stored) {
	slices.SortFunc(parts, func(a, b Stored) int { return a.Record.Part.Index - b.Record.Part.Index })
}

// assemble returns the job stored in parts, which must be complete and in order. The home is that of the first part.
func assemble(parts []structs.JobRecord) structs.JobRecord {
	if len(parts) == 1 {
		return parts[0]
	}
	whole := parts[0]
	whole.Part, whole.Tasks = structs.JobPart{}, nil
	unfinished := false
	for _, part := range parts {
		whole.Tasks = append(whole.Tasks, part.Tasks...)
		whole.CancelRequested = whole.CancelRequested || part.CancelRequested
		unfinished = unfinished || part.Finished.IsZero()
		if part.Finished.After(whole.Finished) {
			whole.Finished = part.Finished
		}
	}
	if unfinished {
		whole.Finished = time.Time{}
	}
	return whole
}

// assembleStored is like assemble and returns the latest revision among the parts.
func assembleStored(parts []Stored) Stored {
	whole := Stored{Record: assemble(recordsOf(parts))}
	for _, part := range parts {
		whole.ModRevision = max(whole.ModRevision, part.ModRevision)
	}
	return whole
}

func recordsOf(parts []Stored) []structs.JobRecord {
	records := make([]structs.JobRecord, len(parts))
	for i, part := range parts {
		records[i] = part.Record
	}
	return records
}

// wholeJobs assembles records, in any order, into jobs and returns those that match filter. Jobs with missing parts
// are left out: they are being deleted, or a part cannot be decoded, which load has logged.
func wholeJobs(records []Stored, filter Filter) []structs.JobRecord {
	byID := map[structs.JobID][]Stored{}
	for _, stored := range records {
		whole := stored.Record.ID.WithoutPart()
		byID[whole] = append(byID[whole], stored)
	}
	jobs := make([]structs.JobRecord, 0, len(byID))
	for _, parts := range byID {
		sortParts(parts)
		if len(parts) != max(parts[0].Record.Part.Count, 1) {
			continue
		}
		job, withoutHome := assemble(recordsOf(parts)), filter
		withoutHome.Home = structs.ShardID{}
		homeMatches := filter.Home == structs.ShardID{} ||
			slices.ContainsFunc(parts, func(p Stored) bool { return p.Record.Home == filter.Home })
		if homeMatches && withoutHome.matches(&job) {
			jobs = append(jobs, job)
		}
	}
	return jobs
}

// SweepParts queues the deletion of parts whose whole job finished more than Retention ago. The first part is deleted
// after the others. One call reads the parts of at most MaxBatchRecords/MaxParts jobs, in no particular order.
func (b *Batch) SweepParts(ctx context.Context) error {
	due, keys := b.deletableParts()
	if len(keys) == 0 {
		return nil
	}
	entries, err := readAll(ctx, b.cfg.Store, keys)
	if err != nil {
		return err
	}
	siblings := map[structs.JobID][]structs.JobRecord{}
	for _, kv := range entries {
		id := b.keys.id(kv.Key)
		part := structs.JobRecord{ID: id} // a part that cannot be decoded is treated as not finished
		if stored, err := decode(kv); err == nil {
			part = stored.Record
		}
		siblings[id.WithoutPart()] = append(siblings[id.WithoutPart()], part)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cfg.Clock()
	for _, id := range due {
		if k := b.tracked[id]; k != nil && b.deletable(id, k, now) && mayDeletePart(id, siblings[id.WithoutPart()], now) {
			b.enqueue(queuedChange{record: structs.JobRecord{ID: id}, remove: true}, LazyFlushInterval)
		}
	}
	return nil
}

// deletableParts returns parts homed in this shard that finished more than Retention ago, and the keys of all parts of
// their jobs.
func (b *Batch) deletableParts() ([]structs.JobID, []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var due []structs.JobID
	var keys []string
	now := b.cfg.Clock()
	for id, k := range b.tracked {
		if k.part.Count <= 1 || !b.deletable(id, k, now) {
			continue
		}
		if len(due) == MaxBatchRecords/MaxParts {
			break
		}
		due = append(due, id)
		keys = append(keys, b.keys.partKeys(id.WithoutPart(), k.part.Count)...)
	}
	slices.Sort(keys)
	return due, slices.Compact(keys)
}

// mayDeletePart reports whether a part may be deleted: the retention of every stored part has expired, and if it is the
// first part, no other is stored. Parts that are no longer stored need no check: they were deleted after the retention
// of all parts had expired.
func mayDeletePart(id structs.JobID, stored []structs.JobRecord, now time.Time) bool {
	for _, part := range stored {
		if !expired(part.Finished, now) || (id == id.WithoutPart() && part.ID != id) {
			return false
		}
	}
	return true
}
