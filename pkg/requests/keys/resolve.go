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
	// ResolveTimeout is the time for which a resolver retries while the store fails. It covers common store outages;
	// after it, repeats are answered as unknown.
	ResolveTimeout = 10 * time.Minute
	// MaxResolving limits the resolvers in progress. At the longest back-off they make at most 400 store calls per
	// second when the store recovers.
	MaxResolving = 4096
	minBackOff   = 100 * time.Millisecond
	maxBackOff   = 20 * time.Second
)

// resolver retries the writes of one record until the store has returned a definite result or ResolveTimeout has
// passed.
type resolver struct {
	keys     *Keys
	backOff  time.Duration
	deadline time.Time
}

// startResolver runs work in its own goroutine and counts it in resolving.
func (k *Keys) startResolver(work func(*resolver)) {
	k.mu.Lock()
	k.resolving++
	k.resolvers.Add(1)
	k.mu.Unlock()
	go func() {
		defer k.resolvers.Done()
		work(&resolver{keys: k, backOff: minBackOff, deadline: k.cfg.Now().Add(ResolveTimeout)})
		k.mu.Lock()
		k.resolving--
		k.mu.Unlock()
	}()
}

// waitRetry waits for the back-off before the next attempt. It returns false when the deadline has passed or Keys is
// stopped.
func (r *resolver) waitRetry(key string) bool {
	if r.keys.cfg.Now().After(r.deadline) {
		r.keys.cfg.Log.Event(eventlog.ResolutionAbandoned).Str("key", key).Msg("")
		r.keys.scope.Counter("resolutions_abandoned").Inc(1)
		return false
	}
	// Half of the back-off is random, so that the resolvers of an outage do not retry at the same time.
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

// submit writes value with a time limit of storeTimeout.
func (r *resolver) submit(compare store.Compare, value []byte) writeResult {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	return r.keys.commit.submit(ctx, compare, value)
}

// recordOutcome replaces the intent of the claim with the completed record.
func (r *resolver) recordOutcome(claim Claim, record Record) {
	defer r.keys.dropClaim(claim.key, record.Nonce)
	compare := store.Compare{Key: claim.key, Target: store.CompareModRevision, Revision: claim.revision}
	for {
		result := r.submit(compare, record.encode())
		if result.err != nil {
			if !r.waitRetry(claim.key) {
				return
			}
			continue
		}
		if result.applied || result.existing == nil {
			return
		}
		found, err := decode(result.existing.Value)
		if err != nil || found.Nonce != record.Nonce || found.State != Intent {
			return // recorded by an earlier attempt, or a not-run request whose key was claimed again
		}
		compare.Revision = result.existing.ModRevision
	}
}

// resolveIntent releases the key of an intent whose write has an uncertain result and whose request was never sent.
func (k *Keys) resolveIntent(key string, record Record) {
	k.mu.Lock()
	k.notRunNonces[record.Nonce] = true
	k.mu.Unlock()
	k.startResolver(func(r *resolver) {
		defer k.dropClaim(key, record.Nonce)
		for r.waitRetry(key) { // the store has just failed, so the first attempt waits as well
			if r.tryInvalidate(key, record) {
				return
			}
		}
	})
}

// tryInvalidate makes one attempt to change the key so that the uncertain write can no longer take effect. That write
// is guarded by the revision that was read before it, so any later write to the key makes its guard fail. It returns
// true when the write can no longer take effect.
func (r *resolver) tryInvalidate(key string, record Record) bool {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	current := r.keys.read(ctx, key)
	if current.err != nil {
		return false
	}
	notRun := record
	notRun.State, notRun.Expires = NotRun, time.Time{}
	if current.existing == nil {
		notRun.Nonce = uuid.NewString()
		return r.submit(store.Compare{Key: key, Target: store.CompareCreateRevision}, notRun.encode()).applied
	}
	found, err := decode(current.existing.Value)
	if err != nil {
		return true
	}
	atRevision := store.Compare{Key: key, Target: store.CompareModRevision, Revision: current.existing.ModRevision}
	switch {
	case found.Nonce == record.Nonce && found.State == Intent:
		return r.submit(atRevision, notRun.encode()).applied
	case found.State == NotRun:
		// The uncertain write may be guarded by this revision; writing the same record again changes the revision.
		return r.submit(atRevision, current.existing.Value).applied
	}
	return true
}

// dropClaim removes the entry and the nonce of a claim of this process.
func (k *Keys) dropClaim(key, nonce string) {
	k.unregister(key, nonce)
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.notRunNonces, nonce)
}

// Close rejects new claims and waits until all outcomes are recorded, or until ctx ends. It must be called after the
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
