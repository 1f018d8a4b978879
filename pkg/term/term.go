// Package term decides which entry host owns a partition. The owner's record is held under a lease of the store; the
// term, a number that rises with every change of owner, is kept beside it and fences the owner's orders and writes.
//
// Locks: View.mu and Holding.mu are leaves; no other lock is taken while one of them is held.
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

// TTL is the lease of an owner's record: several renewals fit into it, and a dead owner is replaced soon after it. It is
// above the shortest lease that the store grants.
const TTL = 1200 * time.Millisecond

const (
	// renewEvery leaves room for two lost renewals within TTL.
	renewEvery = 300 * time.Millisecond
	// renewTimeout bounds one renewal. A slow store answers within it.
	renewTimeout = 500 * time.Millisecond
	// callTimeout bounds one call of the store; a slow store answers within it.
	callTimeout = time.Second
	// retryAfter is the pause after a failed call.
	retryAfter = 150 * time.Millisecond
	// maxCampaignDelay spreads the candidates of one vacancy, so that few of their calls are in vain.
	maxCampaignDelay = 40 * time.Millisecond
	// strengthDelay is the delay of a candidate with one core; weaker ones wait longer in proportion, since an owner on
	// a weak host delays all jobs.
	strengthDelay = 25 * time.Millisecond
)

// Record is what an owner writes of itself.
type Record struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"` // of the process, unique
	Address     string `json:"address"`     // IP:port at which the owner answers entry hosts
	Term        int64  `json:"term"`
}

type termValue struct {
	Term int64 `json:"term"`
}

// Config configures a Candidate.
type Config struct {
	Store     kv.Store
	Partition statekeys.Partition
	Self      Record  // Term is not used
	Cores     float64 // processor time that this host may use
	Log       *eventlog.Logger
}

// Candidate acquires one partition when it has no owner.
type Candidate struct {
	cfg  Config
	view *View
	held int64 // newest term that this candidate has held
}

// NewCandidate returns a candidate that follows view. Its methods are called from one goroutine.
func NewCandidate(cfg Config, view *View) *Candidate { return &Candidate{cfg: cfg, view: view} }

// Acquire waits until the partition has no owner and acquires it. It returns an error only when ctx ends.
func (c *Candidate) Acquire(ctx context.Context) (*Holding, error) {
	for {
		changed := c.view.Changed()
		state := c.view.State(c.cfg.Partition)
		if holding := c.try(ctx, state); holding != nil {
			return holding, nil
		}
		wait := time.Hour
		if state.vacantFor(c.cfg.Self) {
			wait = retryAfter
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-changed:
		case <-time.After(wait):
		}
	}
}

func (c *Candidate) try(ctx context.Context, state State) *Holding {
	if !state.vacantFor(c.cfg.Self) {
		return nil
	}
	if state.Holder.Incarnation == c.cfg.Self.Incarnation {
		if state.Term <= c.held {
			return nil // the view is older than the end of that ownership
		}
		// The answer to an earlier attempt was lost. Nothing is known of the lease before its first renewal.
		return c.hold(state.lease, state.Term, state.termRevision, bootclock.Uptime()-TTL)
	}
	if state.holderRevision == 0 {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(c.delay()):
		}
		if now := c.view.State(c.cfg.Partition); now.holderRevision != 0 {
			return nil
		}
	}
	holding, err := c.acquire(ctx, state)
	if err != nil {
		c.cfg.Log.Event(eventlog.TermNotAcquired).Int("partition", int(c.cfg.Partition)).Err(err).Msg("")
		return nil
	}
	return holding
}

// delay returns how long this candidate lets others go first.
func (c *Candidate) delay() time.Duration {
	strength := time.Duration(float64(strengthDelay) / max(c.cfg.Cores, minCores))
	return strength + rand.N(maxCampaignDelay)
}

// minCores bounds the delay of a very weak host.
const minCores = 0.1

func (c *Candidate) acquire(ctx context.Context, state State) (*Holding, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := bootclock.Uptime()
	lease, _, err := c.cfg.Store.Grant(ctx, TTL)
	if err != nil {
		return nil, errors.Annotate(err, "lease")
	}
	record := c.cfg.Self
	record.Term = state.Term + 1
	txn := kv.Txn{
		If: []kv.Condition{
			{Key: statekeys.Holder(c.cfg.Partition), Revision: state.holderRevision},
			{Key: statekeys.Term(c.cfg.Partition), Revision: state.termRevision},
		},
		Put: []kv.Put{
			{Key: statekeys.Holder(c.cfg.Partition), Value: mustEncode(record), Lease: lease},
			{Key: statekeys.Term(c.cfg.Partition), Value: mustEncode(termValue{record.Term})},
		},
	}
	revision, err := c.cfg.Store.Commit(ctx, txn)
	if err != nil {
		return nil, errors.Annotate(err, "record")
	}
	return c.hold(lease, record.Term, revision, sent), nil
}

func (c *Candidate) hold(lease kv.LeaseID, term, revision int64, sent time.Duration) *Holding {
	c.held = term
	c.cfg.Log.Event(eventlog.TermAcquired).Int("partition", int(c.cfg.Partition)).Int64("term", term).Msg("")
	holding := NewHolding(c.cfg, term, revision)
	holding.lease, holding.validUntil = lease, sent+TTL
	return holding
}

// mustEncode encodes a plain struct, which cannot fail.
func mustEncode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic("term: " + err.Error())
	}
	return data
}

// Holding is the ownership of a partition during one term.
type Holding struct {
	cfg      Config
	Term     int64
	Revision int64 // of the term's key; a condition of everything the owner writes

	mu         sync.Mutex // guards the fields below
	lease      kv.LeaseID
	validUntil time.Duration // boot clock
	warned     bool
	isLost     bool
	lost       chan struct{} // closed when another entry host owns the partition
}

// NewHolding returns the ownership in a term whose key has a revision. The store has not confirmed it yet.
func NewHolding(cfg Config, term, revision int64) *Holding {
	return &Holding{cfg: cfg, Term: term, Revision: revision, lost: make(chan struct{})}
}

// ValidUntil returns the boot time up to which the store has confirmed the ownership.
func (h *Holding) ValidUntil() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.validUntil
}

// Lost is closed when another entry host owns the partition.
func (h *Holding) Lost() <-chan struct{} { return h.lost }

// Lose ends the ownership after somebody has seen a later owner.
func (h *Holding) Lose(reason string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isLost {
		return
	}
	h.isLost = true
	close(h.lost)
	h.cfg.Log.Event(eventlog.TermLost).Int("partition", int(h.cfg.Partition)).Int64("term", h.Term).Str("reason", reason).Msg("")
}

// Condition is the condition of every write of the owner.
func (h *Holding) Condition() kv.Condition {
	return kv.Condition{Key: statekeys.Term(h.cfg.Partition), Revision: h.Revision}
}

// Renew keeps the lease until ctx ends or the ownership is lost.
func (h *Holding) Renew(ctx context.Context) {
	for {
		pause := renewEvery
		if err := h.renewOnce(ctx); err != nil {
			pause = retryAfter
		}
		select {
		case <-ctx.Done():
			return
		case <-h.lost:
			return
		case <-time.After(pause):
		}
	}
}

func (h *Holding) renewOnce(ctx context.Context) error {
	sent := bootclock.Uptime()
	err := h.keepAlive(ctx)
	if errors.Is(err, kv.ErrLeaseEnded) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		err = h.restore(ctx)
	}
	h.confirmed(sent, err)
	return err
}

func (h *Holding) keepAlive(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	_, err := h.cfg.Store.KeepAlive(ctx, h.leaseID())
	return err
}

func (h *Holding) leaseID() kv.LeaseID {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lease
}

// restore writes the record anew after its lease has ended. That succeeds only if no other entry host has acquired the
// partition since, so the term goes on.
func (h *Holding) restore(ctx context.Context) error {
	lease, _, err := h.cfg.Store.Grant(ctx, TTL)
	if err != nil {
		return errors.Annotate(err, "lease")
	}
	record := h.cfg.Self
	record.Term = h.Term
	key := statekeys.Holder(h.cfg.Partition)
	_, err = h.cfg.Store.Commit(ctx, kv.Txn{
		If:  []kv.Condition{h.Condition(), {Key: key}},
		Put: []kv.Put{{Key: key, Value: mustEncode(record), Lease: lease}},
	})
	var conflict *kv.Conflict
	if errors.As(err, &conflict) {
		return h.resolve(conflict, key)
	}
	if err != nil {
		return errors.Annotate(err, "record")
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lease = lease
	return nil
}

// resolve finds out from a conflict whether the ownership is lost or an earlier attempt to restore it has succeeded.
func (h *Holding) resolve(conflict *kv.Conflict, key string) error {
	if conflict.Revision(statekeys.Term(h.cfg.Partition)) != h.Revision {
		h.Lose("the term in the store has changed")
		return errors.Trace(conflict)
	}
	for _, item := range conflict.Items {
		if item.Key == key {
			h.mu.Lock()
			h.lease = item.Lease
			h.mu.Unlock()
		}
	}
	return errors.Trace(conflict)
}

// confirmed notes the result of a renewal that was sent at a boot time.
func (h *Holding) confirmed(sent time.Duration, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil {
		h.validUntil = sent + TTL
		if h.warned {
			h.cfg.Log.Event(eventlog.TermConfirmed).Int("partition", int(h.cfg.Partition)).Msg("")
		}
		h.warned = false
		return
	}
	if !h.warned && !h.isLost {
		h.warned = true
		h.cfg.Log.Event(eventlog.TermUnconfirmed).Int("partition", int(h.cfg.Partition)).
			Dur("valid_for", h.validUntil-bootclock.Uptime()).Err(err).Msg("")
	}
}

// Release gives the partition up, so that a successor need not wait for the lease to end.
func (h *Holding) Release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := h.cfg.Store.Revoke(ctx, h.leaseID())
	h.cfg.Log.Event(eventlog.TermReleased).Int("partition", int(h.cfg.Partition)).Int64("term", h.Term).Err(err).Msg("")
}
