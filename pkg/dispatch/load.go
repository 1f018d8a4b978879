package dispatch

import (
	"context"
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
	retentionMs, err := o.readRetentionClock(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	known, err := o.readKnownWorkers(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	if err := o.confirmTerm(ctx); err != nil {
		return errors.Trace(err)
	}
	workers, complete := known.infos()
	var awaited schedule.AwaitedWorkers
	o.updateAndPlan(func(s *schedule.Scheduler, now schedule.Time) {
		s.RestoreRetentionClock(now, retentionMs)
		o.known = known
		s.InheritWorkers(now, workers)
		if !complete {
			s.InheritUnknown(now)
		}
		awaited = s.Awaited(now.Boot)
		o.addSubmissions(now, submissions, progress)
		o.loaded = true
	})
	o.cfg.Log.Event(eventlog.PartitionLoaded).Int("partition", int(o.cfg.Partition)).Int64("term", o.ownership.Term).
		Int("submissions", len(submissions)).Int("workers", len(workers)).
		Int("awaited", awaited.Workers).Int("with_remaining", awaited.WithRemaining).Int64("longest_wait", ms(awaited.Longest)).Msg("")
	return nil
}

// readProgress reads the progress of all jobs. A job whose record cannot be decoded is left alone in this term: without its
// progress, tasks that are done would run again.
func (o *Owner) readProgress(ctx context.Context) (map[workload.JobID]workload.Progress, error) {
	prefix := statekeys.ProgressPrefix(o.cfg.Partition)
	items, err := kv.ListInParts(ctx, o.cfg.Store, prefix)
	if err != nil {
		return nil, errors.Trace(err)
	}
	progress := make(map[workload.JobID]workload.Progress, len(items))
	for _, item := range items {
		id := workload.JobID(item.Key[len(prefix):])
		p, err := workload.DecodeProgress(item.Value)
		o.mu.Lock()
		o.revisions[id] = item.Revision
		if err != nil {
			o.undecodable[id] = true
		}
		o.mu.Unlock()
		if err != nil {
			o.logUnreadable(item.Key, err)
			continue
		}
		progress[id] = p
	}
	return progress, nil
}

// logUnreadable logs that a stored record cannot be decoded.
func (o *Owner) logUnreadable(key string, err error) {
	o.cfg.Log.Event(eventlog.RecordUnreadable).Str("key", key).Str("error", eventlog.Truncate(err.Error())).Msg("")
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
	mirror.New(mirror.Config{
		Store: o.cfg.Store, Prefix: statekeys.Submissions(o.cfg.Partition), Log: o.cfg.Log,
		Wait: submissionsWatchWait, Pause: submissionsWatchPause, Retry: storeRetryDelay,
		Reset: func(items []kv.Item) { o.resetSubmissions(ctx, items) },
		Apply: func(changes []kv.Change) { o.applySubmissionChanges(ctx, changes) },
	}).Run(ctx)
}

// resetSubmissions applies a complete read of the submissions.
func (o *Owner) resetSubmissions(ctx context.Context, items []kv.Item) {
	o.forgetUnlisted(items)
	o.applySubmissions(ctx, items)
}

// applySubmissionChanges applies changes of the submissions.
func (o *Owner) applySubmissionChanges(ctx context.Context, changes []kv.Change) {
	o.forgetDeleted(changes)
	o.applySubmissions(ctx, remaining(changes))
}

// addSubmissions adds jobs first and applies cancellations afterwards. A job that was stored before this term is
// inherited: a former owner may have started it. o.mu is held.
func (o *Owner) addSubmissions(now schedule.Time, items []kv.Item, progress map[workload.JobID]workload.Progress) {
	for _, item := range items {
		id, cancel, ok := statekeys.ParseSubmission(o.cfg.Partition, item.Key)
		if !ok || cancel || o.scheduler.HasJob(id) || o.undecodable[id] {
			continue
		}
		if p, found := progress[id]; found && p.State.Final() {
			o.scheduler.AddEndedJob(id, p)
			continue
		}
		job, err := decodeJob(id, item)
		if err != nil {
			o.logUnreadable(item.Key, err)
			continue
		}
		var stored *workload.Progress
		if p, found := progress[id]; found {
			stored = &p
		}
		o.scheduler.AddJob(job, stored, item.Created <= o.ownership.Revision)
	}
	for _, item := range items {
		if id, cancel, ok := statekeys.ParseSubmission(o.cfg.Partition, item.Key); ok && cancel {
			o.scheduler.Cancel(now, id)
		}
		if id, ok := statekeys.ParseEarlyCancel(o.cfg.Partition, item.Key); ok {
			o.recordEarlyCancel(now.Boot, id, item.Revision)
		}
	}
}
