package keys

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

const (
	// IntentGrace is the time after the deadline of an intent in which its holder may still complete it. It is added
	// to wall-clock time, so it also covers clock differences between hosts. A repeat that regards an intent as
	// expired too early is answered as unknown, which is safe.
	IntentGrace = 30 * time.Second
	// MaxRecordWait is the longest time that a reply waits for its outcome to be recorded. After it, a repeat through
	// another host is answered as in progress until the outcome is recorded.
	MaxRecordWait = 250 * time.Millisecond
	// claimAttempts limits the guarded writes of one claim.
	claimAttempts = 4
)

// Config configures Keys.
type Config struct {
	Store       Store
	Prefix      string         // of the store keys, ends with a slash: "/fulmarcourse/<environment>/idempotency/"
	Host        structs.HostID // this entry host
	Incarnation string         // identifies this process
	Liveness    Liveness
	Now         func() time.Time // time.Now when nil
	Scope       tally.Scope      // tally.NoopScope when nil
	Log         *eventlog.Logger // discards when nil
}

// Keys claims idempotency keys and records the outcomes of claimed requests. Its lock is never held during a store
// call.
type Keys struct {
	cfg    Config
	scope  tally.Scope
	commit *committer

	mu           sync.Mutex
	entries      map[string]*entry // by store key: claims of this process that are in progress or not yet recorded
	notRunNonces map[string]bool   // nonces of this process's claims that were not run, until this is recorded
	resolving    int               // resolvers in progress
	stop         chan struct{}     // closed to end the back-offs of the resolvers
	stopped      bool              // Close was called
	resolvers    sync.WaitGroup
}

// entry is one claim of this process.
type entry struct {
	digest string
	nonce  string
	reply  *structs.Reply // outcome that is not yet recorded; nil while the request is in progress
}

// Claim is the right to run one request. The zero value is not a claim.
type Claim struct {
	key      string
	revision int64 // of the intent
	record   Record
}

// NewKeys returns Keys without claims, with the defaults of Config applied.
func NewKeys(cfg Config) *Keys {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	if cfg.Log == nil {
		cfg.Log = eventlog.Discard()
	}
	return &Keys{
		cfg:          cfg,
		scope:        cfg.Scope.SubScope("keys"),
		commit:       &committer{store: cfg.Store, leases: &leases{store: cfg.Store, now: cfg.Now}},
		entries:      map[string]*entry{},
		notRunNonces: map[string]bool{},
		stop:         make(chan struct{}),
	}
}

// Claim records the intent to run req. It returns the claim under which the request may run once, or false and the
// reply for the caller. Every claim must be passed to Finish.
func (k *Keys) Claim(ctx context.Context, req structs.Request) (Claim, structs.Reply, bool) {
	key := storeKey(k.cfg.Prefix, req)
	record := Record{
		State:       Intent,
		RequestID:   req.ID,
		BodyDigest:  digestOf(req.Body),
		Nonce:       uuid.NewString(),
		Holder:      k.cfg.Host,
		Incarnation: k.cfg.Incarnation,
		Expires:     k.cfg.Now().Add(req.Remaining + IntentGrace),
	}
	if reply, ok := k.register(key, record); !ok {
		return Claim{}, reply, false
	}
	claim, reply, ok := k.writeIntent(ctx, key, record)
	if !ok {
		k.unregister(key, record.Nonce)
	}
	return claim, reply, ok
}

// register adds the claim to entries. If this process already holds a claim of the key or accepts no new claims, it
// returns false and the reply for the caller.
func (k *Keys) register(key string, record Record) (structs.Reply, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if e, ok := k.entries[key]; ok {
		switch {
		case e.digest != record.BodyDigest:
			return notRunReply(structs.ReasonKeyReused), false
		case e.reply == nil:
			return unknownReply(structs.ReasonInProgress), false
		}
		return *e.reply, false
	}
	if k.stopped || k.resolving >= MaxResolving {
		// Every write without a response needs a resolver; MaxResolving of them show that the store is down.
		return notRunReply(structs.ReasonStoreUnavailable), false
	}
	k.entries[key] = &entry{digest: record.BodyDigest, nonce: record.Nonce}
	return structs.Reply{}, true
}

func (k *Keys) unregister(key, nonce string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if e, ok := k.entries[key]; ok && e.nonce == nonce {
		delete(k.entries, key)
	}
}

// writeIntent writes the record if the key is free. Every write is guarded by the state that was read and contains the
// claim's nonce, so that a later read shows whether a write without a response was applied.
func (k *Keys) writeIntent(ctx context.Context, key string, record Record) (Claim, structs.Reply, bool) {
	compare := store.Compare{Key: key, Target: store.CompareCreateRevision}
	uncertain := false // an intent of this claim may take effect later
	for range claimAttempts {
		result := k.commit.submit(ctx, compare, record.encode())
		if result.err != nil {
			if errors.Is(result.err, store.ErrUnavailable) {
				break
			}
			uncertain = true
			if result = k.read(ctx, key); result.err != nil {
				break
			}
		}
		if result.applied {
			return Claim{key, result.revision, record}, structs.Reply{}, true
		}
		if result.existing == nil {
			compare = store.Compare{Key: key, Target: store.CompareCreateRevision}
			continue
		}
		found, err := decode(result.existing.Value)
		if err == nil && found.Nonce == record.Nonce {
			return Claim{key, result.existing.ModRevision, record}, structs.Reply{}, true
		}
		reply, free := k.checkExisting(key, found, err, record.BodyDigest)
		if !free {
			// Another claim has changed the record, so the guards of this claim's writes can no longer hold.
			return Claim{}, reply, false
		}
		compare = store.Compare{Key: key, Target: store.CompareModRevision, Revision: result.existing.ModRevision}
	}
	if uncertain {
		k.cfg.Log.Event(eventlog.IntentUncertain).Str("request", record.RequestID).Msg("")
		k.scope.Counter("intents_uncertain").Inc(1)
		k.resolveIntent(key, record)
	}
	// The request is not sent to a runner, because no claim is returned.
	return Claim{}, notRunReply(structs.ReasonStoreUnavailable), false
}

// checkExisting returns the reply for a repeat that found a record, or true if the key may be claimed again.
func (k *Keys) checkExisting(key string, found Record, decodeErr error, digest string) (structs.Reply, bool) {
	if decodeErr != nil {
		k.cfg.Log.Event(eventlog.IdempotencyBadRecord).Str("key", key).Err(decodeErr).Msg("")
		return unknownReply(structs.ReasonHolderLost), false
	}
	if found.BodyDigest != digest {
		return notRunReply(structs.ReasonKeyReused), false
	}
	switch found.State {
	case NotRun:
		return structs.Reply{}, true
	case Answered, Unknown:
		return found.reply(), false
	}
	return k.checkIntent(found)
}

// checkIntent distinguishes an intent in progress from one whose holder has stopped or whose time has expired. Only the
// holder can know whether the request was sent, so no other process may claim the key again.
func (k *Keys) checkIntent(found Record) (structs.Reply, bool) {
	k.mu.Lock()
	notRun := k.notRunNonces[found.Nonce]
	k.mu.Unlock()
	if notRun {
		return structs.Reply{}, true
	}
	if k.cfg.Now().After(found.Expires) || !k.cfg.Liveness.Alive(found.Holder, found.Incarnation) {
		return unknownReply(structs.ReasonHolderLost), false
	}
	return unknownReply(structs.ReasonInProgress), false
}

// read returns the stored record in the form of a write that was not applied.
func (k *Keys) read(ctx context.Context, key string) writeResult {
	kv, found, err := k.cfg.Store.Get(ctx, key)
	if err != nil {
		return writeResult{err: err}
	}
	if !found {
		return writeResult{}
	}
	return writeResult{existing: &kv}
}

// Finish records the outcome of a claimed request. It returns when the record is written, when ctx ends, or after
// MaxRecordWait; recording then continues in the background.
func (k *Keys) Finish(ctx context.Context, claim Claim, reply structs.Reply) {
	k.cacheOutcome(claim, reply)
	done := make(chan struct{})
	k.startResolver(func(r *resolver) {
		defer close(done)
		r.recordOutcome(claim, claim.record.complete(reply))
	})
	timer := time.NewTimer(MaxRecordWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-ctx.Done():
	case <-timer.C:
		k.cfg.Log.Event(eventlog.OutcomeNotRecorded).Str("request", claim.record.RequestID).Msg("")
		k.scope.Counter("outcomes_late").Inc(1)
	}
}

// cacheOutcome makes the outcome available to repeats at this host before it is recorded. The key of a request that was
// not run may be claimed again at once.
func (k *Keys) cacheOutcome(claim Claim, reply structs.Reply) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if reply.Outcome == structs.NotRun {
		k.notRunNonces[claim.record.Nonce] = true
		delete(k.entries, claim.key)
		return
	}
	k.entries[claim.key].reply = &reply
}
