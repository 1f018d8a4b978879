package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// Outcome is the outcome of a write as far as it is known.
type Outcome string

// Outcomes of a write.
const (
	Applied    Outcome = "applied"
	NotApplied Outcome = "not-applied"
	Unknown    Outcome = "unknown" // the write may or may not have been applied, or may still be applied
)

const (
	// resolveAttempts is the maximum number of reads to determine the outcome of a write with a lost response.
	resolveAttempts = 3
	// resolveTimeout limits the time to determine the outcome of one write. It does not depend on the caller's
	// context, so that the outcome is logged even if the caller has disconnected.
	resolveTimeout = 3 * time.Second
)

// write is one guarded transaction. It changes a key that it guards, so its guards hold at most once, and sending it
// twice applies it at most once.
type write struct {
	txn      store.Txn
	guardKey string // key that the transaction writes and guards; read to determine the outcome
	guardMod int64  // mod revision of guardKey that the transaction requires
	nonce    string // contained in the value written to guardKey
	// neverOverwritten means that the value of guardKey is written only once, so another nonce there proves that this
	// write was not applied. Otherwise the write may have been applied and replaced later.
	neverOverwritten bool
}

// writeResult is the result of a write.
type writeResult struct {
	outcome  Outcome
	revision int64 // of the transaction when applied
}

// apply sends a write. If the response is lost, it determines the outcome: it reads guardKey and compares the nonce.
// The same transaction is sent again only if the store shows that it has not been applied.
func (s *Service) apply(ctx context.Context, w write) (writeResult, error) {
	result, err := s.cfg.Store.Txn(ctx, w.txn)
	switch {
	case err == nil && result.Applied:
		return writeResult{Applied, result.Revision}, nil
	case err == nil:
		return writeResult{outcome: NotApplied}, nil
	case errors.Is(err, store.ErrUnavailable):
		return writeResult{outcome: NotApplied}, errors.WithType(errors.Trace(err), ErrNotApplied)
	}
	return s.resolveOutcome(ctx, w, err)
}

func (s *Service) resolveOutcome(ctx context.Context, w write, cause error) (writeResult, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resolveTimeout)
	defer cancel()
	guardsFailed := false // the store has found that the guards do not hold, so they can no longer hold
	for range resolveAttempts {
		current, _, err := s.cfg.Store.Get(ctx, w.guardKey)
		if err != nil {
			cause = err
			continue
		}
		if nonceOf(current.Value) == w.nonce {
			return writeResult{Applied, current.ModRevision}, nil
		}
		if guardsFailed || current.ModRevision != w.guardMod {
			if w.neverOverwritten {
				return writeResult{outcome: NotApplied}, nil
			}
			return s.unknownOutcome(w, errors.New("another write has replaced the record"))
		}
		result, err := s.cfg.Store.Txn(ctx, w.txn)
		if err == nil && result.Applied {
			return writeResult{Applied, result.Revision}, nil
		}
		guardsFailed = err == nil
		if err != nil {
			cause = err
		}
	}
	return s.unknownOutcome(w, cause)
}

func (s *Service) unknownOutcome(w write, cause error) (writeResult, error) {
	s.cfg.Log.Event(eventlog.ControlWriteUnknown).Str("key", w.guardKey).Err(cause).Msg("outcome unknown")
	return writeResult{outcome: Unknown}, errors.WithType(errors.Trace(cause), ErrOutcomeUnknown)
}

// nonceOf returns the nonce of a record, or "" if there is none.
func nonceOf(value []byte) string {
	var record struct {
		Nonce string `json:"nonce"`
	}
	if json.Unmarshal(value, &record) != nil {
		return ""
	}
	return record.Nonce
}

// mustJSON encodes a record of plain fields.
func mustJSON(record any) []byte {
	encoded, err := json.Marshal(record)
	if err != nil {
		panic("control: record cannot be encoded: " + err.Error())
	}
	return encoded
}
