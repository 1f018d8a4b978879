// Package term elects the entry host that owns a partition. The owner's record is stored under a lease. The term, a
// number that increases with every change of owner, is stored beside it and fences the owner's orders and writes.
//
// Locks: View.mu and Ownership.mu are leaf locks; no other lock is taken while one of them is held.
package term

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/statekeys"
)

// TTL is the duration of the lease on an owner's record. It allows for several renewals, and a dead owner is replaced
// soon after it expires. It is longer than the shortest lease that the store grants.
const TTL = 1200 * time.Millisecond

const (
	// renewInterval allows for two lost renewals within TTL.
	renewInterval = 300 * time.Millisecond
	// checkInterval is the time between two checks that the owner's record is still under a lease.
	checkInterval = 3 * time.Second
	// checkRetryDelay is the time until a check that failed is repeated. Under its rate limit the store refuses reads rather than
	// renewals, which cost a tenth, so that few checks within maxUnchecked may succeed.
	checkRetryDelay = 300 * time.Millisecond
	// maxUnchecked is the time without a check after which renewals no longer confirm the ownership.
	maxUnchecked = 10 * time.Second
	// renewTimeout bounds one renewal. It is long enough for a slow store.
	renewTimeout = 500 * time.Millisecond
	// callTimeout bounds one call to the store. It is long enough for a slow store.
	callTimeout = time.Second
	// retryDelay is the pause after a failed call.
	retryDelay = 150 * time.Millisecond
	// maxCampaignDelay is the maximum random delay of a candidate. It spreads the attempts of several candidates, so
	// that few of them fail with a conflict.
	maxCampaignDelay = 40 * time.Millisecond
	// singleCoreDelay is the delay of a candidate on a host with one core. The delay is inversely proportional to the
	// number of cores, since an owner on a slow host delays all jobs.
	singleCoreDelay = 25 * time.Millisecond
	// weakDelay is the additional delay of a candidate that is weak beside the latest owner: the strong hosts may have
	// failed together and return at once.
	weakDelay = 1500 * time.Millisecond
)

// WeakFactor is how many times as many cores as a host another one must have for the host to count as weak beside it. A
// weak candidate leaves the partition to others for a while, and a weak owner hands it over.
const WeakFactor = 2.0

// Record is the stored record of an owner.
type Record struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"` // unique identifier of the process
	Address     string `json:"address"`     // IP:port at which the owner serves other entry hosts
	Term        int64  `json:"term"`
}

// termValue is the stored value of the term.
type termValue struct {
	Term  int64   `json:"term"`
	Cores float64 `json:"cores,omitempty"` // processor cores of the owner's host
}

// Config configures a Candidate.
type Config struct {
	Store     kv.Store
	Partition statekeys.Partition
	Self      Record  // Term is not used
	Cores     float64 // processor cores that this host may use
	Log       *eventlog.Logger
}

// Candidate campaigns for one partition. Its methods are not safe for concurrent use.
type Candidate struct {
	cfg      Config
	view     *View
	lastTerm int64 // newest term in which this candidate has owned the partition
}

// NewCandidate returns a candidate that reads the ownership from view.
func NewCandidate(cfg Config, view *View) *Candidate { return &Candidate{cfg: cfg, view: view} }

// Acquire waits until the partition has no owner and acquires it. It returns an error only if ctx ends.
func (c *Candidate) Acquire(ctx context.Context) (*Ownership, error) {
	for {
		changed := c.view.Changed()
		state := c.view.State(c.cfg.Partition)
		if ownership := c.tryAcquire(ctx, state); ownership != nil {
			return ownership, nil
		}
		wait := time.Hour
		switch {
		case state.acquirableBy(c.cfg.Self):
			wait = retryDelay
		case !state.unleasedSince.IsZero():
			wait = max(unleasedGrace-time.Since(state.unleasedSince), retryDelay)
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-changed:
		case <-time.After(wait):
		}
	}
}

// tryAcquire makes one attempt to acquire the partition. It returns nil if the partition is held or the attempt failed.
func (c *Candidate) tryAcquire(ctx context.Context, state State) *Ownership {
	if !state.acquirableBy(c.cfg.Self) {
		return nil
	}
	if state.lease != 0 && state.Owner.Incarnation == c.cfg.Self.Incarnation {
		if state.Term <= c.lastTerm || state.Term != state.Owner.Term {
			return nil // the view does not show the end of that ownership yet, or another writer has changed the term
		}
		// An earlier attempt succeeded, but its response was lost. The remaining time of the lease is unknown until its
		// first renewal.
		return c.newOwnership(state.lease, state.Term, state.termRevision, bootclock.Uptime()-TTL)
	}
	if state.ownerRevision == 0 || state.abandoned() || state.ownedByFormerProcess(c.cfg.Self) {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(c.campaignDelay(state)):
		}
		if now := c.view.State(c.cfg.Partition); now.ownerRevision != state.ownerRevision {
			return nil
		}
	}
	ownership, err := c.acquire(ctx, state)
	if err != nil {
		c.cfg.Log.Event(eventlog.TermNotAcquired).Int("partition", int(c.cfg.Partition)).Err(err).Msg("")
		return nil
	}
	return ownership
}

// campaignDelay returns how long this candidate waits before an attempt, so that candidates on hosts with more cores
// go first.
func (c *Candidate) campaignDelay(state State) time.Duration {
	delay := time.Duration(float64(singleCoreDelay)/max(c.cfg.Cores, minCores)) + rand.N(maxCampaignDelay)
	if WeakFactor*c.cfg.Cores <= state.cores {
		delay += weakDelay
	}
	return delay
}

// minCores limits the delay of a host with a small share of a core.
const minCores = 0.1

// acquire writes the owner's record and the next term with its copy, on condition that none has changed since state was read.
func (c *Candidate) acquire(ctx context.Context, state State) (*Ownership, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := bootclock.Uptime()
	lease, _, err := c.cfg.Store.Grant(ctx, TTL)
	if err != nil {
		return nil, errors.Annotate(err, "grant owner lease")
	}
	record := c.cfg.Self
	record.Term = state.highestTerm + 1
	txn := kv.Txn{
		If: []kv.Condition{
			{Key: statekeys.Owner(c.cfg.Partition), Revision: state.ownerRevision},
			{Key: statekeys.Term(c.cfg.Partition), Revision: state.termRevision},
			{Key: statekeys.TermCopy(c.cfg.Partition), Revision: state.copyRevision},
		},
		Put: []kv.Put{
			{Key: statekeys.Owner(c.cfg.Partition), Value: mustEncode(record), Lease: lease},
			{Key: statekeys.Term(c.cfg.Partition), Value: mustEncode(termValue{record.Term, c.cfg.Cores})},
			{Key: statekeys.TermCopy(c.cfg.Partition), Value: mustEncode(record)},
		},
	}
	revision, err := c.cfg.Store.Commit(ctx, txn)
	if err != nil {
		return nil, errors.Annotate(err, "write owner record")
	}
	return c.newOwnership(lease, record.Term, revision, sent), nil
}

// newOwnership returns the ownership in a term. sent is the boot time at which its lease was requested.
func (c *Candidate) newOwnership(lease kv.LeaseID, term, revision int64, sent time.Duration) *Ownership {
	c.lastTerm = term
	c.cfg.Log.Event(eventlog.TermAcquired).Int("partition", int(c.cfg.Partition)).Int64("term", term).Msg("")
	ownership := NewOwnership(c.cfg, term, revision)
	ownership.lease, ownership.validUntil = lease, sent+TTL
	return ownership
}

// mustEncode encodes a struct whose encoding cannot fail.
func mustEncode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic("term: encode: " + err.Error())
	}
	return data
}

// Ownership is the ownership of a partition during one term.
type Ownership struct {
	cfg      Config
	Term     int64
	Revision int64 // store revision of the term key; a condition of every write of the owner

	mu         sync.Mutex // guards the fields below
	lease      kv.LeaseID
	validUntil time.Duration // boot time up to which the store has confirmed the lease
	checkedAt  time.Duration // boot time at which the record was last known to be under a lease
	warned     bool          // a failed renewal has been logged and none has succeeded since
	isLost     bool
	lost       chan struct{} // closed when isLost is set
}

// NewOwnership returns the ownership in a term. revision is the store revision of the term key. The ownership counts as
// unconfirmed until its first renewal.
func NewOwnership(cfg Config, term, revision int64) *Ownership {
	return &Ownership{cfg: cfg, Term: term, Revision: revision, checkedAt: bootclock.Uptime(), lost: make(chan struct{})}
}

// ValidUntil returns the boot time up to which the store has confirmed the ownership.
func (o *Ownership) ValidUntil() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.validUntil
}

// ConfirmedAt returns the boot time at which the latest request was sent that the store has confirmed the ownership with. No other host
// has acquired the partition before. It is negative or far in the past before the first one.
func (o *Ownership) ConfirmedAt() time.Duration { return o.ValidUntil() - TTL }

// Lost returns a channel that is closed when the ownership is lost to a later owner.
func (o *Ownership) Lost() <-chan struct{} { return o.lost }

// MarkLost ends the ownership because a later owner has been detected. Only the first call has an effect.
func (o *Ownership) MarkLost(reason string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.isLost {
		return
	}
	o.isLost = true
	close(o.lost)
	o.cfg.Log.Event(eventlog.TermLost).Int("partition", int(o.cfg.Partition)).Int64("term", o.Term).Str("reason", reason).Msg("")
}

// Condition returns the condition that every write of the owner must include: the term is unchanged.
func (o *Ownership) Condition() kv.Condition {
	return kv.Condition{Key: statekeys.Term(o.cfg.Partition), Revision: o.Revision}
}

// Renew renews the lease until ctx ends or the ownership is lost.
func (o *Ownership) Renew(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { o.checkLoop(ctx) })
	for {
		pause := renewInterval
		if err := o.renewOnce(ctx); err != nil {
			pause = retryDelay
		}
		select {
		case <-ctx.Done():
			return
		case <-o.lost:
			return
		case <-time.After(pause):
		}
	}
}

// renewOnce renews the lease. If the lease has ended, it writes the owner's record again under a new one.
func (o *Ownership) renewOnce(ctx context.Context) error {
	sent := bootclock.Uptime()
	err := o.keepAlive(ctx)
	if errors.Is(err, kv.ErrLeaseEnded) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		err = o.restore(ctx)
	}
	o.recordRenewal(sent, err)
	return err
}

// checkLoop checks the owner's record every checkInterval until ctx ends or the ownership is lost.
func (o *Ownership) checkLoop(ctx context.Context) {
	pause := checkInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.lost:
			return
		case <-time.After(pause):
		}
		pause = checkInterval
		if err := o.check(ctx); err != nil {
			pause = checkRetryDelay
		}
	}
}

// check makes sure that the owner's record is still under the owner's lease. If another writer has overwritten or deleted it, it is
// written again: without a lease, or under one that lasts longer than the owner's, it would stay when the owner ends, and no other
// host could acquire the partition. A check that fails has no effect: renewals stop to confirm the ownership when none has succeeded
// for maxUnchecked.
func (o *Ownership) check(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := bootclock.Uptime()
	key := statekeys.Owner(o.cfg.Partition)
	item, found, err := o.cfg.Store.Get(ctx, key)
	switch {
	case err != nil:
	case !found:
		err = o.replaceRecord(ctx, kv.Item{Key: key})
	case item.Lease != 0 && item.Lease == o.leaseID():
	case item.Lease != 0 && o.names(item):
		err = o.checkTerm(ctx)
	default:
		err = o.replaceRecord(ctx, item)
	}
	if err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.checkedAt = sent
	return nil
}

// errForeignLease means that the owner's record is under a lease which is not known to be the owner's.
const errForeignLease = errors.ConstError("the owner's record has another lease")

// checkTerm ends the ownership if the term in the store has changed. The record has another lease for a moment while it is restored
// as well, so the lease alone proves nothing.
func (o *Ownership) checkTerm(ctx context.Context) error {
	item, _, err := o.cfg.Store.Get(ctx, statekeys.Term(o.cfg.Partition))
	if err != nil {
		return errors.Annotate(err, "read term")
	}
	if item.Revision != o.Revision {
		o.MarkLost("the term in the store has changed")
	}
	return errForeignLease
}

// replaceRecord writes the owner's record in place of one of another writer.
func (o *Ownership) replaceRecord(ctx context.Context, foreign kv.Item) error {
	if err := o.writeRecord(ctx, foreign, o.leaseID()); err != nil {
		return err
	}
	o.cfg.Log.Event(eventlog.RecordReplaced).Str("key", foreign.Key).Int64("revision", foreign.Revision).Msg("")
	return nil
}

// writeRecord writes the owner's record under a lease, on condition that neither the term nor the present record has changed. The
// revision of present is 0 if there is no record. A changed term ends the ownership.
func (o *Ownership) writeRecord(ctx context.Context, present kv.Item, lease kv.LeaseID) error {
	record := o.cfg.Self
	record.Term = o.Term
	_, err := o.cfg.Store.Commit(ctx, kv.Txn{
		If:  []kv.Condition{o.Condition(), {Key: present.Key, Revision: present.Revision}},
		Put: []kv.Put{{Key: present.Key, Value: mustEncode(record), Lease: lease}},
	})
	var conflict *kv.Conflict
	if errors.As(err, &conflict) && conflict.Revision(statekeys.Term(o.cfg.Partition)) != o.Revision {
		o.MarkLost("the term in the store has changed")
	}
	return errors.Annotate(err, "write owner record")
}

func (o *Ownership) keepAlive(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	_, err := o.cfg.Store.KeepAlive(ctx, o.leaseID())
	return err
}

func (o *Ownership) leaseID() kv.LeaseID {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.lease
}

func (o *Ownership) setLease(lease kv.LeaseID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lease = lease
}

// restore writes the owner's record again under a new lease after the previous one has ended. It succeeds only if no
// other entry host has acquired the partition since, so the term stays the same.
func (o *Ownership) restore(ctx context.Context) error {
	lease, _, err := o.cfg.Store.Grant(ctx, TTL)
	if err != nil {
		return errors.Annotate(err, "grant owner lease")
	}
	key := statekeys.Owner(o.cfg.Partition)
	err = o.writeRecord(ctx, kv.Item{Key: key}, lease)
	var conflict *kv.Conflict
	if errors.As(err, &conflict) && conflict.Revision(statekeys.Term(o.cfg.Partition)) == o.Revision {
		item, _ := conflict.Item(key)
		return o.restoreOver(ctx, item, lease)
	}
	if err == nil {
		o.setLease(lease)
	}
	return err
}

// errRestoredBefore means that an earlier attempt to restore the owner's record has succeeded. The remaining time of its lease is
// unknown until the next renewal.
const errRestoredBefore = errors.ConstError("the owner's record was restored by an earlier attempt")

// names reports whether a record names this process as the owner.
func (o *Ownership) names(item kv.Item) bool {
	var record Record
	err := json.Unmarshal(item.Value, &record)
	return err == nil && record.Incarnation == o.cfg.Self.Incarnation
}

// restoreOver restores the owner's record in a term that has not changed, although there is a record. Either an earlier attempt has
// succeeded, whose lease is adopted, or another writer has overwritten the record, which is replaced. If that fails, check repeats
// it under the new lease.
func (o *Ownership) restoreOver(ctx context.Context, present kv.Item, lease kv.LeaseID) error {
	if present.Lease != 0 && o.names(present) {
		o.setLease(present.Lease)
		return errRestoredBefore
	}
	o.setLease(lease)
	return o.replaceRecord(ctx, present)
}

// errUnchecked means that the owner's record may have been overwritten and the partition acquired by another host meanwhile.
const errUnchecked = errors.ConstError("the owner's record was not read for too long")

// recordRenewal records the result of a renewal. sent is the boot time at which it was sent. Only the first of
// consecutive failures is logged.
func (o *Ownership) recordRenewal(sent time.Duration, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err == nil && sent-o.checkedAt > maxUnchecked {
		err = errUnchecked
	}
	if err == nil {
		o.validUntil = sent + TTL
		if o.warned {
			o.cfg.Log.Event(eventlog.TermConfirmed).Int("partition", int(o.cfg.Partition)).Msg("")
		}
		o.warned = false
		return
	}
	if !o.warned && !o.isLost {
		o.warned = true
		o.cfg.Log.Event(eventlog.TermUnconfirmed).Int("partition", int(o.cfg.Partition)).
			Dur("valid_for", o.validUntil-bootclock.Uptime()).Err(err).Msg("")
	}
}

// Release revokes the lease, so that a successor does not have to wait for it to expire.
func (o *Ownership) Release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := o.cfg.Store.Revoke(ctx, o.leaseID())
	o.cfg.Log.Event(eventlog.TermReleased).Int("partition", int(o.cfg.Partition)).Int64("term", o.Term).Err(err).Msg("")
}
