package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// Outcome tells what is certain about a write.
type Outcome string

// Outcomes of a write.
const (
	Applied    Outcome = "applied"
	NotApplied Outcome = "not-applied"
	Unknown    Outcome = "unknown"
)

const (
	// settleAttempts is the number of times that a write with a lost response is looked up.
	settleAttempts = 3
	// settleTimeout limits the look-ups of one write. They go on when the caller has given up, so that the log
	// tells the outcome.
	settleTimeout = 3 * time.Second
)

// write is one guarded transaction. Its guards hold at most once, because the transaction changes a key that it
// guards, so sending it twice applies it at most once.
type write struct {
	txn      store.Txn
	evidence string // key that the transaction writes and guards
	guardMod int64  // mod revision of evidence that the transaction requires
	nonce    string // in the value written to evidence
	// once says that the evidence is never overwritten, so another nonce there proves that this write was not
	// applied. Without it the write may have been applied and replaced later.
	once bool
}

// written is the result of a write.
type written struct {
	outcome  Outcome
	revision int64 // of the transaction when applied
}

// apply sends a write and settles it when the response is lost: the evidence is read again and its nonce compared.
// The same transaction is sent again only when the store shows that it has not been applied.
func (s *Service) apply(ctx context.Context, w write) (written, error) {
	result, err := s.cfg.Store.Txn(ctx, w.txn)
	switch {
	case err == nil && result.Applied:
		return written{Applied, result.Revision}, nil
	case err == nil:
		return written{outcome: NotApplied}, nil
	case errors.Is(err, store.ErrUnavailable):
		return written{outcome: NotApplied}, errors.WithType(errors.Trace(err), ErrNotApplied)
	}
	return s.settle(ctx, w, err)
}

func (s *Service) settle(ctx context.Context, w write, cause error) (written, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	defer cancel()
	refused := false // the store has refused the transaction, so its guards never hold again
	for range settleAttempts {
		current, _, err := s.cfg.Store.Get(ctx, w.evidence)
		if err != nil {
			cause = err
			continue
		}
		if nonceOf(current.Value) == w.nonce {
			return written{Applied, current.ModRevision}, nil
		}
		if refused || current.ModRevision != w.guardMod {
			if w.once {
				return written{outcome: NotApplied}, nil
			}
			return s.unknown(w, errors.New("another write has replaced the record"))
		}
		result, err := s.cfg.Store.Txn(ctx, w.txn)
		if err == nil && result.Applied {
			return written{Applied, result.Revision}, nil
		}
		refused = err == nil
		if err != nil {
			cause = err
		}
	}
	return s.unknown(w, cause)
}

func (s *Service) unknown(w write, cause error) (written, error) {
	s.cfg.Log.Event(eventlog.ControlWriteUnknown).Str("key", w.evidence).Err(cause).Msg("outcome unknown")
	return written{outcome: Unknown}, errors.WithType(errors.Trace(cause), ErrOutcomeUnknown)
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
