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
	// IntentGrace is how long after its deadline an intent may still be completed by its holder. It is added to
	// wall-clock time, so it also covers clocks that differ between hosts. A repeat that judges an intent expired
	// too early is answered as unknown, which is safe.
	IntentGrace = 30 * time.Second
	// MaxRecordWait is how long a reply waits for its outcome to be recorded. After it, a repeat through another
	// host may find the request in progress for a while.
	MaxRecordWait = 250 * time.Millisecond
	// claimTries bounds the guarded writes of one claim.
	claimTries = 4
)

// Config configures Keys.
type Config struct {
	Store       Store
	Prefix      string         // of the store keys, ends with a slash: "/fulmarcourse/<environment>/idempotency/"
	Host        structs.HostID // this entry host
	Incarnation string         // of this process
	Liveness    Liveness
	Now         func() time.Time // time.Now when nil
	Scope       tally.Scope      // tally.NoopScope when nil
	Log         *eventlog.Logger // discards when nil
}

// Keys claims idempotency keys and records outcomes. Its lock is never held during a store call.
type Keys struct {
	cfg    Config
	scope  tally.Scope
	commit *committer

	mu        sync.Mutex
	entries   map[string]*entry // store key → claim of this process that is in progress or not yet recorded
	neverRun  map[string]bool   // nonces of this process whose request was certainly not run, not yet recorded
	resolving int
	stop      chan struct{}
	stopped   bool
	resolvers sync.WaitGroup
}

// entry is one claim of this process.
type entry struct {
	digest string
	nonce  string
	reply  *structs.Reply // the outcome when it is known and not yet recorded
}

// Claim is the right to run one request. The zero value is not a claim.
type Claim struct {
	path     string
	revision int64 // of the intent
	record   Record
}

// NewKeys returns Keys.
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
		cfg:      cfg,
		scope:    cfg.Scope.SubScope("keys"),
		commit:   &committer{store: cfg.Store, leases: &leases{store: cfg.Store, now: cfg.Now}},
		entries:  map[string]*entry{},
		neverRun: map[string]bool{},
		stop:     make(chan struct{}),
	}
}

// Claim records the intent to run req. It returns the claim under which the request may run once, or false with
// the reply for the caller. A claim must be passed to Finish.
func (k *Keys) Claim(ctx context.Context, req structs.Request) (Claim, structs.Reply, bool) {
	path := pathOf(k.cfg.Prefix, req)
	record := Record{
		State:       Intent,
		RequestID:   req.ID,
		BodyDigest:  digestOf(req.Body),
		Nonce:       uuid.NewString(),
		Holder:      k.cfg.Host,
		Incarnation: k.cfg.Incarnation,
		Expires:     k.cfg.Now().Add(req.Remaining + IntentGrace),
	}
	if reply, ok := k.register(path, record); !ok {
		return Claim{}, reply, false
	}
	claim, reply, ok := k.writeIntent(ctx, path, record)
	if !ok {
		k.unregister(path, record.Nonce)
	}
	return claim, reply, ok
}

// register notes the claim in this process, or returns the reply if the same key is already claimed here.
func (k *Keys) register(path string, record Record) (structs.Reply, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if e, ok := k.entries[path]; ok {
		switch {
		case e.digest != record.BodyDigest:
			return notRunReply(structs.ReasonKeyReused), false
		case e.reply == nil:
			return unknownReply(structs.ReasonInProgress), false
		}
		return *e.reply, false
	}
	if k.stopped || k.resolving >= MaxResolving {
		// Every write with a lost answer has to be resolved later. With so many of them the store is down.
		return notRunReply(structs.ReasonStoreUnavailable), false
	}
	k.entries[path] = &entry{digest: record.BodyDigest, nonce: record.Nonce}
	return structs.Reply{}, true
}

func (k *Keys) unregister(path, nonce string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if e, ok := k.entries[path]; ok && e.nonce == nonce {
		delete(k.entries, path)
	}
}

// writeIntent writes the record if the key is free. Every write is guarded by the state that was read, and carries
// the claim's nonce: a write whose answer was lost is recognised by it on reading.
func (k *Keys) writeIntent(ctx context.Context, path string, record Record) (Claim, structs.Reply, bool) {
	compare := store.Compare{Key: path, Target: store.CompareCreateRevision}
	lost := false // an intent of this claim may take effect later
	for range claimTries {
		result := k.commit.submit(ctx, compare, record.encode())
		if result.err != nil {
			if errors.Is(result.err, store.ErrUnavailable) {
				break
			}
			lost = true
			if result = k.read(ctx, path); result.err != nil {
				break
			}
		}
		if result.applied {
			return Claim{path, result.revision, record}, structs.Reply{}, true
		}
		if result.existing == nil {
			compare = store.Compare{Key: path, Target: store.CompareCreateRevision}
			continue
		}
		found, err := decode(result.existing.Value)
		if err == nil && found.Nonce == record.Nonce {
			return Claim{path, result.existing.ModRevision, record}, structs.Reply{}, true
		}
		reply, free := k.judge(path, found, err, record.BodyDigest)
		if !free {
			// The key has changed hands, so no write of this claim can take effect any more.
			return Claim{}, reply, false
		}
		compare = store.Compare{Key: path, Target: store.CompareModRevision, Revision: result.existing.ModRevision}
	}
	if lost {
		k.cfg.Log.Event(eventlog.IntentUncertain).Str("request", record.RequestID).Msg("")
		k.scope.Counter("intents_uncertain").Inc(1)
		k.abandon(path, record)
	}
	// Nothing was sent to a runner, and nothing will be: the claim is not handed out.
	return Claim{}, notRunReply(structs.ReasonStoreUnavailable), false
}

// judge returns the reply for a repeat that found a record, or true if the key may be claimed again.
func (k *Keys) judge(path string, found Record, decodeErr error, digest string) (structs.Reply, bool) {
	if decodeErr != nil {
		k.cfg.Log.Event(eventlog.IdempotencyBadRecord).Str("key", path).Err(decodeErr).Msg("")
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
	return k.judgeIntent(found)
}

// judgeIntent tells an intent in progress from one whose holder is gone. The holder of an intent is the only one
// that knows whether its request was sent, so nobody else may claim it.
func (k *Keys) judgeIntent(found Record) (structs.Reply, bool) {
	k.mu.Lock()
	neverRun := k.neverRun[found.Nonce]
	k.mu.Unlock()
	if neverRun {
		return structs.Reply{}, true
	}
	if k.cfg.Now().After(found.Expires) || !k.cfg.Liveness.Alive(found.Holder, found.Incarnation) {
		return unknownReply(structs.ReasonHolderLost), false
	}
	return unknownReply(structs.ReasonInProgress), false
}

// read returns the record as the result of a write that did not apply.
func (k *Keys) read(ctx context.Context, path string) writeResult {
	kv, found, err := k.cfg.Store.Get(ctx, path)
	if err != nil {
		return writeResult{err: err}
	}
	if !found {
		return writeResult{}
	}
	return writeResult{existing: &kv}
}

// Finish records the outcome of a claimed request. It returns when the record is written, or after MaxRecordWait;
// recording then continues in the background.
func (k *Keys) Finish(ctx context.Context, claim Claim, reply structs.Reply) {
	k.note(claim, reply)
	done := make(chan struct{})
	k.resolve(func(r *resolver) {
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

// note lets repeats at this host see the outcome before it is recorded. A request that was not run is free to be
// claimed again at once.
func (k *Keys) note(claim Claim, reply structs.Reply) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if reply.Outcome == structs.NotRun {
		k.neverRun[claim.record.Nonce] = true
		delete(k.entries, claim.path)
		return
	}
	k.entries[claim.path].reply = &reply
}
