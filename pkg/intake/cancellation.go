package intake

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/workload"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
	"fulmarcourse.example/fulmarcourse/pkg/term"
)

// A cancellation of a job that is not stored is early: the write of the job's submission may still be under way, and the store may
// carry it out seconds after its caller has left. An early cancellation is stored under a key of its own, and a submission requires
// that there is none. The owner of the partition deletes it after workload.EarlyCancelRetention. It is never applied to a job.

// Anyone may cancel jobs that were never submitted. These limits of an entry host bound what that leaves in the store.
const (
	earlyCancelsPerSecond = 10
	earlyCancelBurst      = 30
)

const (
	// errTooManyEarlyCancels means that a cancellation was not stored since the limit of early ones is reached.
	errTooManyEarlyCancels = errors.ConstError("too many cancellations of unknown jobs")
	// errStoredMeanwhile means that a job which was not stored is.
	errStoredMeanwhile = errors.ConstError("the job was stored meanwhile")
)

// CancelledError means that a submission was refused because its job was cancelled before.
type CancelledError struct {
	RetryAfter time.Duration // when a submission of the id is worth another try
}

// Error implements the error interface.
func (e *CancelledError) Error() string {
	return fmt.Sprintf("the job was cancelled before it was stored; try again in %v", e.RetryAfter.Round(time.Second))
}

// earlyCancellation is the stored form of an early cancellation.
type earlyCancellation struct {
	AtMs int64 `json:"at_ms"` // Unix milliseconds
}

// retryAfter returns the time until the retention of an early cancellation ends, and 1 s after that: the owner deletes it some seconds
// later. Clocks of entry hosts differ little.
func (c earlyCancellation) retryAfter(now time.Time) time.Duration {
	const most = workload.EarlyCancelRetention
	return min(max(time.UnixMilli(c.AtMs).Add(most).Sub(now), time.Second), most)
}

// refuseCancelled returns the outcome of a submission whose job is cancelled and not stored. No attempt to store it can succeed while
// the cancellation is kept.
func refuseCancelled(cancelled kv.Item) (Outcome, error) {
	var c earlyCancellation
	if err := json.Unmarshal(cancelled.Value, &c); err != nil {
		c.AtMs = time.Now().UnixMilli() // of another writer: the whole retention may be left
	}
	return Refused, &CancelledError{RetryAfter: c.retryAfter(time.Now())}
}

// Cancel stores the cancellation of a job and notifies its owner in the background. NotFound means that the job is not stored, and
// that no submission before the call will store it.
func (i *Intake) Cancel(ctx context.Context, id workload.JobID) (Outcome, error) {
	outcome, err := i.cancel(ctx, id)
	if err != nil {
		i.cfg.Log.Event(eventlog.JobCancelFailed).Str("job", string(id)).Str("outcome", string(outcome)).Err(err).Msg("")
	} else {
		i.cfg.Log.Event(eventlog.JobCancelStored).Str("job", string(id)).Str("outcome", string(outcome)).Msg("")
	}
	return outcome, err
}

func (i *Intake) cancel(ctx context.Context, id workload.JobID) (Outcome, error) {
	if !i.cfg.Reachable() {
		return Refused, errUnreachable
	}
	p := statekeys.PartitionOf(id, i.cfg.Partitions)
	for {
		found, err := i.readRecords(ctx, p, id)
		switch {
		case err != nil:
			return Refused, errors.Trace(err)
		case found.job.Revision != 0 && found.cancelled:
			return Done, nil
		case found.job.Revision != 0:
			return i.cancelStored(ctx, p, id, found.job)
		}
		outcome, err := i.cancelEarly(ctx, p, id, found.earlyCancel.Revision)
		if !errors.Is(err, errStoredMeanwhile) {
			return outcome, err
		}
	}
}

// cancelStored cancels a stored job.
func (i *Intake) cancelStored(ctx context.Context, p statekeys.Partition, id workload.JobID, job kv.Item) (Outcome, error) {
	w := writer{
		intake: i, partition: p, put: kv.Put{Key: statekeys.Cancel(p, id), Value: []byte("{}")},
		require: kv.Condition{Key: job.Key, Revision: job.Revision},
		onUnmet: func(kv.Item) (Outcome, error) { return NotFound, nil },
	}
	outcome, err := w.run(ctx)
	if outcome == Done {
		go i.announce(p, w.termRevision, func(ctx context.Context, state term.State) error {
			return i.cfg.Owners.AnnounceCancel(ctx, p, state, id)
		})
	}
	return outcome, err
}

// cancelEarly stores the cancellation of a job that is not stored. An earlier one is replaced, since it may be about to be deleted;
// replaces is its revision, 0 if there is none.
func (i *Intake) cancelEarly(ctx context.Context, p statekeys.Partition, id workload.JobID, replaces int64) (Outcome, error) {
	if !i.earlyCancelLimit.Allow() {
		return Refused, errTooManyEarlyCancels
	}
	value, err := json.Marshal(earlyCancellation{AtMs: time.Now().UnixMilli()})
	if err != nil {
		return Refused, errors.Trace(err)
	}
	w := writer{
		intake: i, partition: p, put: kv.Put{Key: statekeys.EarlyCancel(p, id), Value: value}, replaces: replaces,
		require: kv.Condition{Key: statekeys.Job(p, id)},
		onUnmet: func(kv.Item) (Outcome, error) { return Refused, errStoredMeanwhile },
	}
	outcome, err := w.run(ctx)
	switch {
	case outcome == Done && w.unmet:
		return Refused, errStoredMeanwhile
	case outcome == Done:
		return NotFound, nil
	}
	return outcome, err
}
