package dispatch

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/core/workload"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/mirror"
	"fulmarcourse.example/fulmarcourse/pkg/pause"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
)

const (
	// submissionsWatchWait and submissionsWatchPause limit the duration and the rate of watches on the submissions.
	// Entry hosts announce accepted jobs to the owner directly; the watches only have to find jobs whose announcement
	// was lost.
	submissionsWatchWait  = 2 * time.Second
	submissionsWatchPause = time.Second
)

// load loads the partition's state, retrying until it succeeds. It returns false when ctx ends.
func (o *Owner) load(ctx context.Context) bool {
	for ctx.Err() == nil {
		err := o.loadOnce(ctx)
		if err == nil {
			return true
		}
		o.cfg.Log.Event(eventlog.PartitionNotLoaded).Int("partition", int(o.cfg.Partition)).Err(err).Msg("")
		pause.For(ctx, storeRetryDelay)
	}
	return false
}

// loadOnce reads the submissions, the progress and the known workers. A former owner can no longer write progress or
// known workers, because its writes are conditional on its own term.
func (o *Owner) loadOnce(ctx context.Context) error {
	o.loadInterference(ctx)
	progress, err := o.readProgress(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	submissions, err := kv.ListInParts(ctx, o.cfg.Store, statekeys.Submissions(o.cfg.Partition))
	if err != nil {
		return errors.Trace(err)
	}
	item, found, err := o.cfg.Store.Get(ctx, statekeys.KnownWorkers(o.cfg.Partition))
	if err != nil {
		return errors.Annotate(err, "read known workers")
	}
	workers, err := decodeKnownWorkers(item, found)
	if err != nil {
		return errors.Trace(err)
	}
	if err := o.confirmTerm(ctx); err != nil {
		return errors.Trace(err)
	}
	o.updateAndPlan(func(s *schedule.Scheduler, now schedule.Time) {
		o.knownWorkersRevision = item.Revision
		s.InheritWorkers(now, workers)
		o.addSubmissions(now, submissions, progress)
		o.loaded = true
	})
	o.cfg.Log.Event(eventlog.PartitionLoaded).Int("partition", int(o.cfg.Partition)).Int64("term", o.ownership.Term).
		Int("submissions", len(submissions)).Int("workers", len(workers)).Msg("")
	return nil
}

func (o *Owner) readProgress(ctx context.Context) (map[workload.JobID]workload.Progress, error) {
	prefix := statekeys.ProgressPrefix(o.cfg.Partition)
	items, err := kv.ListInParts(ctx, o.cfg.Store, prefix)
	if err != nil {
		return nil, errors.Trace(err)
	}
	progress := make(map[workload.JobID]workload.Progress, len(items))
	for _, item := range items {
		var p workload.Progress
		if err := json.Unmarshal(item.Value, &p); err != nil {
			return nil, errors.Annotatef(err, "decode progress record %s", item.Key)
		}
		id := workload.JobID(item.Key[len(prefix):])
		progress[id] = p
		o.mu.Lock()
		o.revisions[id] = item.Revision
		o.mu.Unlock()
	}
	return progress, nil
}

func decodeKnownWorkers(item kv.Item, found bool) ([]schedule.WorkerInfo, error) {
	if !found {
		return nil, nil
	}
	var workers []schedule.WorkerInfo
	err := json.Unmarshal(item.Value, &workers)
	return workers, errors.Annotate(err, "decode known workers")
}

// errTermChanged means that another entry host owns the partition.
const errTermChanged = errors.ConstError("the term in the store has changed")

// confirmTerm reads the term from the store. If it returns nil, everything that this owner has read so far was written
// before any later owner took over. A job that was stored under a later owner must not be started here, because that
// owner does not search for attempts of a former owner.
func (o *Owner) confirmTerm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	condition := o.ownership.Condition()
	item, _, err := o.cfg.Store.Get(ctx, condition.Key)
	if err != nil {
		return errors.Annotate(err, "confirm the term")
	}
	if item.Revision != condition.Revision {
		o.ownership.MarkLost(errTermChanged.Error())
		return errors.Trace(errTermChanged)
	}
	return nil
}

// applySubmissions adds submissions found in the store, after confirming that they were stored under this owner.
func (o *Owner) applySubmissions(ctx context.Context, items []kv.Item) {
	if len(items) == 0 {
		return
	}
	for {
		err := o.confirmTerm(ctx)
		if err == nil {
			break
		}
		if ctx.Err() != nil || errors.Is(err, errTermChanged) {
			return
		}
		pause.For(ctx, storeRetryDelay)
	}
	o.updateAndPlan(func(_ *schedule.Scheduler, now schedule.Time) { o.addSubmissions(now, items, nil) })
}

// watchSubmissions watches the store for jobs and cancellations whose announcement was lost.
func (o *Owner) watchSubmissions(ctx context.Context) {
	apply := func(items []kv.Item) { o.applySubmissions(ctx, items) }
	mirror.New(mirror.Config{
		Store: o.cfg.Store, Prefix: statekeys.Submissions(o.cfg.Partition), Log: o.cfg.Log,
		Wait: submissionsWatchWait, Pause: submissionsWatchPause, Retry: storeRetryDelay,
		Reset: apply,
		Apply: func(changes []kv.Change) {
			var items []kv.Item
			for _, change := range changes {
				if !change.Deleted {
					items = append(items, change.Item)
				}
			}
			apply(items)
		},
	}).Run(ctx)
}

// addSubmissions adds jobs first and applies cancellations afterwards. A job that was stored before this term is
// inherited: a former owner may have started it. What has been deleted since it was read is skipped. o.mu is held.
func (o *Owner) addSubmissions(now schedule.Time, items []kv.Item, progress map[workload.JobID]workload.Progress) {
	for _, item := range items {
		id, cancel, ok := statekeys.ParseSubmission(o.cfg.Partition, item.Key)
		if !ok || cancel || o.scheduler.HasJob(id) || o.deleted.deleted(id, item.Created) {
			continue
		}
		if p, found := progress[id]; found && p.State.Final() {
			o.scheduler.AddEndedJob(id, p)
			continue
		}
		job, err := decodeJob(item)
		if err != nil {
			o.cfg.Log.Event(eventlog.RecordUnreadable).Str("key", item.Key).Err(err).Msg("")
			continue
		}
		var stored *workload.Progress
		if p, found := progress[id]; found {
			stored = &p
		}
		o.scheduler.AddJob(job, stored, item.Created <= o.ownership.Revision)
	}
	for _, item := range items {
		if id, cancel, ok := statekeys.ParseSubmission(o.cfg.Partition, item.Key); ok && cancel && !o.deleted.deleted(id, item.Created) {
			o.scheduler.Cancel(now, id)
		}
	}
}
