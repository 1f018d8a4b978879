package keys

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"

	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

const (
	// ResolveTimeout is how long a record is worked on while the store fails. It covers the outages that are usual;
	// after it, repeats are answered as unknown.
	ResolveTimeout = 10 * time.Minute
	// MaxResolving bounds the records that are worked on; with the longest back-off they make at most 400 store
	// calls per second when the store returns.
	MaxResolving = 4096
	minBackOff   = 100 * time.Millisecond
	maxBackOff   = 20 * time.Second
)

// resolver works on one record until the store has given a certain answer.
type resolver struct {
	keys    *Keys
	backOff time.Duration
	until   time.Time
}

// resolve runs work in its own goroutine and counts it.
func (k *Keys) resolve(work func(*resolver)) {
	k.mu.Lock()
	k.resolving++
	k.resolvers.Add(1)
	k.mu.Unlock()
	go func() {
		defer k.resolvers.Done()
		work(&resolver{keys: k, backOff: minBackOff, until: k.cfg.Now().Add(ResolveTimeout)})
		k.mu.Lock()
		k.resolving--
		k.mu.Unlock()
	}()
}

// again waits before the next try and returns false when the work is given up.
func (r *resolver) again(path string) bool {
	if r.keys.cfg.Now().After(r.until) {
		r.keys.cfg.Log.Event(eventlog.ResolutionAbandoned).Str("key", path).Msg("")
		r.keys.scope.Counter("resolutions_abandoned").Inc(1)
		return false
	}
	// Half of the wait is random, so that the resolvers of an outage do not return together.
	timer := time.NewTimer(r.backOff/2 + rand.N(r.backOff/2))
	defer timer.Stop()
	r.backOff = min(2*r.backOff, maxBackOff)
	select {
	case <-timer.C:
		return true
	case <-r.keys.stop:
		return false
	}
}

// submit writes value with its own time limit.
func (r *resolver) submit(compare store.Compare, value []byte) writeResult {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	return r.keys.commit.submit(ctx, compare, value)
}

// recordOutcome replaces the claim's intent by the completed record.
func (r *resolver) recordOutcome(claim Claim, record Record) {
	defer r.keys.settled(claim.path, record.Nonce)
	compare := store.Compare{Key: claim.path, Target: store.CompareModRevision, Revision: claim.revision}
	for {
		result := r.submit(compare, record.encode())
		if result.err != nil {
			if !r.again(claim.path) {
				return
			}
			continue
		}
		if result.applied || result.existing == nil {
			return
		}
		found, err := decode(result.existing.Value)
		if err != nil || found.Nonce != record.Nonce || found.State != Intent {
			return // recorded by an earlier try, or a not-run request that was claimed again
		}
		compare.Revision = result.existing.ModRevision
	}
}

// abandon makes sure that an intent whose write got no certain answer, and whose request was never sent, does not
// keep its key.
func (k *Keys) abandon(path string, record Record) {
	k.mu.Lock()
	k.neverRun[record.Nonce] = true
	k.mu.Unlock()
	k.resolve(func(r *resolver) {
		defer k.settled(path, record.Nonce)
		for r.again(path) { // the store has just failed, so the first try waits as well
			if r.free(path, record) {
				return
			}
		}
	})
}

// free makes one try to bring the key into a state in which the lost write can have no effect any more: the
// lost write is guarded by the revision it saw, so any later write to the key stops it. It returns true when
// that is certain.
func (r *resolver) free(path string, record Record) bool {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	current := r.keys.read(ctx, path)
	if current.err != nil {
		return false
	}
	notRun := record
	notRun.State, notRun.Expires = NotRun, time.Time{}
	if current.existing == nil {
		notRun.Nonce = uuid.NewString()
		return r.submit(store.Compare{Key: path, Target: store.CompareCreateRevision}, notRun.encode()).applied
	}
	found, err := decode(current.existing.Value)
	if err != nil {
		return true
	}
	atRevision := store.Compare{Key: path, Target: store.CompareModRevision, Revision: current.existing.ModRevision}
	switch {
	case found.Nonce == record.Nonce && found.State == Intent:
		return r.submit(atRevision, notRun.encode()).applied
	case found.State == NotRun:
		// The lost write may have been guarded by this revision; writing the same record again changes it.
		return r.submit(atRevision, current.existing.Value).applied
	}
	return true
}

// settled drops what is noted about a claim of this process.
func (k *Keys) settled(path, nonce string) {
	k.unregister(path, nonce)
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.neverRun, nonce)
}

// Close takes no new claims and waits until all outcomes are recorded, or until ctx ends. It is called after the
// last claim has been passed to Finish.
func (k *Keys) Close(ctx context.Context) error {
	k.mu.Lock()
	alreadyStopped := k.stopped
	k.stopped = true
	k.mu.Unlock()
	done := make(chan struct{})
	go func() {
		k.resolvers.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	if !alreadyStopped {
		close(k.stop) // ends the back-offs; each resolver ends with its current store call
	}
	<-done
	return ctx.Err()
}
