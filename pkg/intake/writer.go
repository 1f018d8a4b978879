package intake

import (
	"context"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
)

// writer creates one key and finds out whether it exists. Repeating the write is safe, since it requires that the key
// does not exist.
//
// The write also requires the term that this entry host knows. A job is then announced only to the owner under whom it
// was stored, so that a former owner, which the store does not reach any more, never hears of it.
type writer struct {
	intake    *Intake
	partition statekeys.Partition
	put       kv.Put
	created   string // the key that must not exist yet
	require   []kv.Condition

	termRevision int64 // required by the newest attempt
	existed      bool  // the key was there already
	mayExist     bool  // an attempt has not been answered
}

// run writes until the outcome is certain or the time that ctx gives is over.
func (w *writer) run(ctx context.Context) (Outcome, error) {
	w.termRevision = w.intake.cfg.View.State(w.partition).TermRevision()
	for {
		outcome, err := w.try(ctx)
		if outcome != "" {
			return outcome, err
		}
		if w.mayExist && !w.intake.cfg.Reachable() {
			// Another entry host may reach the store: the caller gets its answer now rather than at its deadline.
			return Uncertain, err
		}
		select {
		case <-ctx.Done():
			if w.mayExist {
				return Uncertain, errors.Annotate(err, "no certain answer in time")
			}
			return Refused, errors.Annotate(err, "no answer in time")
		case <-time.After(repeatAfter):
		}
	}
}

// try makes one attempt. An empty outcome asks for another one.
func (w *writer) try(ctx context.Context) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	termKey := statekeys.Term(w.partition)
	conditions := append([]kv.Condition{{Key: termKey, Revision: w.termRevision}, {Key: w.created}}, w.require...)
	_, err := w.intake.cfg.Store.Commit(ctx, kv.Txn{If: conditions, Put: []kv.Put{w.put}})
	var conflict *kv.Conflict
	switch {
	case err == nil:
		return Done, nil
	case errors.As(err, &conflict):
		return w.resolve(conflict, termKey)
	case errors.Is(err, kv.ErrNotDone) && !w.mayExist:
		return Refused, errors.Trace(err)
	case !errors.Is(err, kv.ErrNotDone):
		w.mayExist = true
	}
	return "", errors.Trace(err)
}

func (w *writer) resolve(conflict *kv.Conflict, termKey string) (Outcome, error) {
	if conflict.Revision(w.created) != 0 {
		w.existed = true
		return Done, nil
	}
	for _, condition := range w.require {
		if conflict.Revision(condition.Key) != condition.Revision {
			return NotFound, nil
		}
	}
	w.termRevision = conflict.Revision(termKey)
	return "", errors.Trace(conflict)
}
