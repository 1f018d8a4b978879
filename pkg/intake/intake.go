// Package intake accepts, cancels and looks up jobs on any entry host. A job is accepted once its record is in the
// store; the owner of its partition is notified afterwards.
package intake

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"fulmarcourse.example/core/workload"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
	"fulmarcourse.example/fulmarcourse/pkg/term"
)

// Outcome is the outcome of a submission or cancellation as far as it is known.
type Outcome string

// Outcomes.
const (
	Done      Outcome = "done"      // stored
	Refused   Outcome = "refused"   // not stored, and this call will not store it later
	Uncertain Outcome = "uncertain" // may be stored, now or later
	NotFound  Outcome = "unknown"   // there is no such job
)

const (
	// commitTimeout bounds one write. A slow store responds within it.
	commitTimeout = time.Second
	// retryInterval is the pause before a write without a certain outcome is repeated.
	retryInterval = 100 * time.Millisecond
	// ownerTimeout bounds a call to the owner. When it expires, the state of a job is read from the store instead.
	ownerTimeout = 300 * time.Millisecond
	// announceAttempts and announceInterval bound the attempts to notify the owner of a stored record.
	announceAttempts = 5
	announceInterval = 100 * time.Millisecond
)

// errUnreachable means that the store is unreachable and that nothing was sent to it.
const errUnreachable = errors.ConstError("store unreachable")

// Owners calls the owner of a partition, in this process or in another one.
type Owners interface {
	// Announce notifies the owner given by state that a job was stored.
	Announce(ctx context.Context, p statekeys.Partition, state term.State, job workload.Job) error
	// AnnounceCancel notifies the owner given by state that the cancellation of a job was stored.
	AnnounceCancel(ctx context.Context, p statekeys.Partition, state term.State, id workload.JobID) error
	// JobState returns the state of a job, or false if the owner does not have the job.
	JobState(ctx context.Context, p statekeys.Partition, state term.State, id workload.JobID) (workload.State, bool, error)
	// QueueLength returns the number of jobs of a queue in the partition of which no task has started.
	QueueLength(ctx context.Context, p statekeys.Partition, state term.State, queue workload.QueueName) (int, error)
}

// Config configures an Intake.
type Config struct {
	Store      kv.Store
	Reachable  func() bool // reports whether the store has responded recently
	View       *term.View  // ownership of the partitions as last read from the store
	Owners     Owners
	Partitions int
	Log        *eventlog.Logger
}

// Intake accepts, cancels and looks up jobs. It is safe for concurrent use.
type Intake struct {
	cfg              Config
	earlyCancelLimit *rate.Limiter
}

// New returns an Intake.
func New(cfg Config) *Intake {
	return &Intake{cfg: cfg, earlyCancelLimit: rate.NewLimiter(earlyCancelsPerSecond, earlyCancelBurst)}
}

// Submit stores a job and notifies its owner in the background. It repeats a write whose outcome is uncertain until ctx
// ends.
func (i *Intake) Submit(ctx context.Context, job workload.Job) (Outcome, error) {
	p := statekeys.PartitionOf(job.ID, i.cfg.Partitions)
	if !i.cfg.Reachable() {
		i.logSubmit(job, Refused, false, errUnreachable)
		return Refused, errUnreachable
	}
	data, err := json.Marshal(job)
	if err != nil {
		return Refused, errors.Trace(err)
	}
	w := writer{
		intake: i, partition: p, put: kv.Put{Key: statekeys.Job(p, job.ID), Value: data},
		require: kv.Condition{Key: statekeys.EarlyCancel(p, job.ID)}, onUnmet: refuseCancelled,
	}
	outcome, err := w.run(ctx)
	if stored := i.storedJob(&w, job); outcome == Done && stored != nil {
		go i.announce(p, w.termRevision, func(ctx context.Context, state term.State) error {
			return i.cfg.Owners.Announce(ctx, p, state, *stored)
		})
	}
	i.logSubmit(job, outcome, w.keyExists, err)
	return outcome, err
}

// storedJob returns the job that this call has stored and has to announce, or nil if another call has stored it.
func (i *Intake) storedJob(w *writer, job workload.Job) *workload.Job {
	if !w.keyExists {
		return &job
	}
	if !w.unannounced() {
		return nil
	}
	var stored workload.Job
	if err := json.Unmarshal(w.existing.Value, &stored); err != nil {
		i.cfg.Log.Event(eventlog.RecordUnreadable).Str("key", w.existing.Key).Err(err).Msg("")
		return nil
	}
	return &stored
}

func (i *Intake) logSubmit(job workload.Job, outcome Outcome, existed bool, err error) {
	code := eventlog.JobStored
	switch {
	case outcome == Done && existed:
		code = eventlog.JobAlreadyStored
	case outcome == Refused:
		code = eventlog.JobRefused
	case outcome == Uncertain:
		code = eventlog.JobUncertain
	}
	entry := i.cfg.Log.Event(code).Str("job", string(job.ID)).Str("queue", string(job.Queue.Name)).Int("steps", len(job.Steps))
	if err != nil {
		entry = entry.Str("reason", err.Error())
	}
	entry.Msg("")
}

// announce notifies the owner in the term under which a record was stored. The owner in a later term reads the record
// from the store when it takes over, so it is not notified.
func (i *Intake) announce(p statekeys.Partition, termRevision int64, call func(context.Context, term.State) error) {
	var err error
	for range announceAttempts {
		state := i.cfg.View.State(p)
		if state.TermRevision() > termRevision {
			return
		}
		if state.TermRevision() == termRevision && termRevision > 0 {
			ctx, cancel := context.WithTimeout(context.Background(), ownerTimeout)
			err = call(ctx, state)
			cancel()
			if err == nil {
				return
			}
		}
		time.Sleep(announceInterval)
	}
	i.cfg.Log.Event(eventlog.AnnounceFailed).Int("partition", int(p)).Err(err).Msg("")
}

// records are the stored records of one job.
type records struct {
	job         kv.Item // zero when the job is not stored
	cancelled   bool
	earlyCancel kv.Item // zero when there is none
}

func (i *Intake) readRecords(ctx context.Context, p statekeys.Partition, id workload.JobID) (records, error) {
	var found records
	items, _, err := kv.List(ctx, i.cfg.Store, statekeys.Submissions(p)+string(id)+"/")
	if err != nil {
		return found, errors.Trace(err)
	}
	for _, item := range items {
		switch item.Key {
		case statekeys.Job(p, id):
			found.job = item
		case statekeys.Cancel(p, id):
			found.cancelled = true
		case statekeys.EarlyCancel(p, id):
			found.earlyCancel = item
		}
	}
	return found, nil
}

// State returns the state of a job, or false for found if there is no such job. An error means that the state cannot be
// determined at present.
func (i *Intake) State(ctx context.Context, id workload.JobID) (state workload.State, found bool, err error) {
	p := statekeys.PartitionOf(id, i.cfg.Partitions)
	if view := i.cfg.View.State(p); view.Owner.Address != "" {
		callCtx, cancel := context.WithTimeout(ctx, ownerTimeout)
		state, found, err = i.cfg.Owners.JobState(callCtx, p, view, id)
		cancel()
		if err == nil && found {
			return state, true, nil
		}
	}
	if !i.cfg.Reachable() {
		return "", false, errUnreachable
	}
	state, found, err = i.storedState(ctx, p, id)
	if err != nil {
		i.cfg.Log.Event(eventlog.JobStateFailed).Str("job", string(id)).Err(err).Msg("")
	}
	return state, found, err
}

func (i *Intake) storedState(ctx context.Context, p statekeys.Partition, id workload.JobID) (workload.State, bool, error) {
	stored, err := i.readRecords(ctx, p, id)
	if err != nil {
		return "", false, errors.Trace(err)
	}
	if stored.job.Revision == 0 {
		return "", false, nil
	}
	item, started, err := i.cfg.Store.Get(ctx, statekeys.Progress(p, id))
	if err != nil {
		return "", false, errors.Trace(err)
	}
	progress := workload.Progress{State: workload.StatePending}
	if started {
		if progress, err = workload.DecodeProgress(item.Value); err != nil {
			return "", false, errors.Annotate(err, item.Key)
		}
	}
	if stored.cancelled && !progress.State.Final() {
		return workload.StateCancelled, true, nil
	}
	return progress.State, true, nil
}

// QueueLength returns the number of jobs of a queue of which no task has started.
func (i *Intake) QueueLength(ctx context.Context, queue workload.QueueName) (int, error) {
	total := 0
	for n := range i.cfg.Partitions {
		p := statekeys.Partition(n)
		callCtx, cancel := context.WithTimeout(ctx, ownerTimeout)
		jobs, err := i.cfg.Owners.QueueLength(callCtx, p, i.cfg.View.State(p), queue)
		cancel()
		if err != nil {
			return 0, errors.Annotatef(err, "queue length of partition %d", p)
		}
		total += jobs
	}
	return total, nil
}
