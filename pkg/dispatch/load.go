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
	// submissionsWait and submissionsPause bound the calls for the copy of the submissions. Entry hosts announce
	// accepted jobs to the owner; the copy only finds those whose announcement was lost.
	submissionsWait  = 2 * time.Second
	submissionsPause = time.Second
)

// load reads the partition until it succeeds. It returns false when ctx ends.
func (o *Owner) load(ctx context.Context) bool {
	for ctx.Err() == nil {
		err := o.loadOnce(ctx)
		if err == nil {
			return true
		}
		o.cfg.Log.Event(eventlog.PartitionNotLoaded).Int("partition", int(o.cfg.Partition)).Err(err).Msg("")
		pause.For(ctx, retryAfter)
	}
	return false
}

// loadOnce reads the submissions, the progress and the roster. A former owner can no longer write any of them: its
// writes require its own term.
func (o *Owner) loadOnce(ctx context.Context) error {
	o.loadInterference(ctx)
	progress, err := o.readProgress(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	submissions, _, err := kv.List(ctx, o.cfg.Store, statekeys.Submissions(o.cfg.Partition))
	if err != nil {
		return errors.Trace(err)
	}
	roster, found, err := o.cfg.Store.Get(ctx, statekeys.KnownWorkers(o.cfg.Partition))
	if err != nil {
		return errors.Annotate(err, "reading the roster")
	}
	workers, err := decodeRoster(roster, found)
	if err != nil {
		return errors.Trace(err)
	}
	if err := o.confirmTerm(ctx); err != nil {
		return errors.Trace(err)
	}
	o.changed(func(s *schedule.Scheduler, now schedule.Time) {
		o.roster = roster.Revision
		s.InheritWorkers(now, workers)
		o.addSubmissions(now, submissions, progress)
		o.loaded = true
	})
	o.cfg.Log.Event(eventlog.PartitionLoaded).Int("partition", int(o.cfg.Partition)).Int64("term", o.holding.Term).
		Int("submissions", len(submissions)).Int("workers", len(workers)).Msg("")
	return nil
}

func (o *Owner) readProgress(ctx context.Context) (map[workload.JobID]workload.Progress, error) {
	prefix := statekeys.ProgressPrefix(o.cfg.Partition)
	items, _, err := kv.List(ctx, o.cfg.Store, prefix)
	if err != nil {
		return nil, errors.Trace(err)
	}
	progress := make(map[workload.JobID]workload.Progress, len(items))
	for _, item := range items {
		var p workload.Progress
		if err := json.Unmarshal(item.Value, &p); err != nil {
			return nil, errors.Annotatef(err, "progress record %s", item.Key)
		}
		id := workload.JobID(item.Key[len(prefix):])
		progress[id] = p
		o.mu.Lock()
		o.revisions[id] = item.Revision
		o.mu.Unlock()
	}
	return progress, nil
}

func decodeRoster(item kv.Item, found bool) ([]schedule.WorkerInfo, error) {
	if !found {
		return nil, nil
	}
	var workers []schedule.WorkerInfo
	err := json.Unmarshal(item.Value, &workers)
	return workers, errors.Annotate(err, "roster")
}

// errTermChanged means that another entry host owns the partition.
const errTermChanged = errors.ConstError("the term in the store has changed")

// confirmTerm reads the term anew. Without an error this owner was still the newest when everything was written that it
// has read before. A job that was stored under a later owner must not be started here: that owner does not look for
// attempts of a former one.
func (o *Owner) confirmTerm(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	condition := o.holding.Condition()
	item, _, err := o.cfg.Store.Get(ctx, condition.Key)
	if err != nil {
		return errors.Annotate(err, "confirming the term")
	}
	if item.Revision != condition.Revision {
		o.holding.MarkLost(errTermChanged.Error())
		return errors.Trace(errTermChanged)
	}
	return nil
}

// takeSubmissions takes in what was found in the store, once it is certain that it was stored under this owner.
func (o *Owner) takeSubmissions(ctx context.Context, items []kv.Item) {
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
		pause.For(ctx, retryAfter)
	}
	o.changed(func(_ *schedule.Scheduler, now schedule.Time) { o.addSubmissions(now, items, nil) })
}

// followSubmissions finds the jobs and cancellations that were not announced.
func (o *Owner) followSubmissions(ctx context.Context) {
	apply := func(items []kv.Item) { o.takeSubmissions(ctx, items) }
	mirror.New(mirror.Config{
		Store: o.cfg.Store, Prefix: statekeys.Submissions(o.cfg.Partition), Log: o.cfg.Log,
		Wait: submissionsWait, Pause: submissionsPause, Retry: retryAfter,
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

// addSubmissions takes in jobs first and cancellations afterwards. o.mu is held.
func (o *Owner) addSubmissions(now schedule.Time, items []kv.Item, progress map[workload.JobID]workload.Progress) {
	for _, item := range items {
		id, cancel, ok := statekeys.ParseSubmission(o.cfg.Partition, item.Key)
		if !ok || cancel || o.scheduler.KnowsJob(id) {
			continue
		}
		if p, found := progress[id]; found && p.State.Final() {
			o.scheduler.AddEnded(id, p)
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
		o.scheduler.AddJob(job, stored, item.Created <= o.holding.Revision)
	}
	for _, item := range items {
		if id, cancel, ok := statekeys.ParseSubmission(o.cfg.Partition, item.Key); ok && cancel {
			o.scheduler.Cancel(now, id)
		}
	}
}
