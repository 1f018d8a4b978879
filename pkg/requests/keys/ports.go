package keys

import (
	"context"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// Store is the part of the key-value service that records need. Errors wrap the constants of pkg/store: after
// store.ErrUnavailable a write certainly had no effect, after any other error but store.ErrLeaseNotFound it may
// have one.
type Store interface {
	Get(ctx context.Context, key string) (store.KeyValue, bool, error)
	Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error)
	GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error)
}

// Liveness tells whether a process that made a claim may still be working on it. A wrong "no" is safe: the repeat
// is answered as unknown.
type Liveness interface {
	Alive(host structs.HostID, incarnation string) bool
}
