package intake

import (
	"context"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
)

// writer writes one key and determines whether the write took effect. The write is safe to repeat, since it requires
// that the key does not exist or is unchanged.
//
// The write also requires the term that this entry host has observed. A job is therefore announced only to the owner in
// the term under which it was stored, and never to a former owner that has lost contact with the store.
type writer struct {
	intake    *Intake
	partition statekeys.Partition
	put       kv.Put
	replaces  int64 // revision of the key to be replaced; 0 if it must not exist yet
	require   kv.Condition
	// onUnmet returns the outcome if the required condition does not hold, given the current state of its key.
	onUnmet func(kv.Item) (Outcome, error)

	termRevision int64   // required by the latest attempt
	keyExists    bool    // an attempt failed because the key was written meanwhile
	unmet        bool    // the required condition did not hold then
	mayExist     bool    // an attempt without a certain outcome may have written the key
	existing     kv.Item // the key as an attempt found it; only if keyExists
}

// run repeats the write until its outcome is certain, ctx ends, or the store becomes unreachable after a write without
// a certain outcome.
func (w *writer) run(ctx context.Context) (Outcome, error) {
	w.termRevision = w.intake.cfg.View.State(w.partition).TermRevision()
	for {
		outcome, err := w.attempt(ctx)
		if outcome != "" {
			return outcome, err
		}
		if w.mayExist && !w.intake.cfg.Reachable() {
			// Another entry host may reach the store, so the caller gets a response now rather than at its deadline.
			return Uncertain, err
		}
		select {
		case <-ctx.Done():
			if w.mayExist {
				return Uncertain, errors.Annotate(err, "no certain answer in time")
			}
			return Refused, errors.Annotate(err, "no answer in time")
		case <-time.After(retryInterval):
		}
	}
}

// attempt makes one attempt at the write. An empty outcome means that the write should be repeated.
func (w *writer) attempt(ctx context.Context) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	termKey := statekeys.Term(w.partition)
	conditions := []kv.Condition{{Key: termKey, Revision: w.termRevision}, {Key: w.put.Key, Revision: w.replaces}, w.require}
	_, err := w.intake.cfg.Store.Commit(ctx, kv.Txn{If: conditions, Put: []kv.Put{w.put}})
	var conflict *kv.Conflict
	switch {
	case err == nil:
		return Done, nil
	case errors.As(err, &conflict):
		return w.resolveConflict(conflict, termKey)
	case errors.Is(err, kv.ErrRefused), errors.Is(err, kv.ErrNotDone) && !w.mayExist:
		return Refused, errors.Trace(err) // a write that is refused for good cannot take effect later either
	case !errors.Is(err, kv.ErrNotDone):
		w.mayExist = true
	}
	return "", errors.Trace(err)
}

func (w *writer) resolveConflict(conflict *kv.Conflict, termKey string) (Outcome, error) {
	w.termRevision = conflict.Revision(termKey)
	w.unmet = conflict.Revision(w.require.Key) != w.require.Revision
	if existing, found := conflict.Item(w.put.Key); found && existing.Revision != w.replaces {
		w.keyExists, w.existing = true, existing
		return Done, nil
	}
	w.replaces = conflict.Revision(w.put.Key)
	if w.unmet {
		required, _ := conflict.Item(w.require.Key)
		return w.onUnmet(required)
	}
	return "", errors.Trace(conflict)
}

// unannounced reports whether the key exists because of an attempt of this writer whose response was lost, so that no
// other host has announced it. The key must have been created under the current term: the owner of a later term finds
// it in the store, where it may also find attempts of a former owner.
func (w *writer) unannounced() bool {
	return w.keyExists && w.mayExist && w.existing.Created > w.termRevision
}
