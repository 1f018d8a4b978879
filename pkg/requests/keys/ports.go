package keys

import (
	"context"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/store"
)

// Store is the part of the key-value service that Keys uses. Errors wrap the constants of pkg/store: after
// store.ErrUnavailable or store.ErrLeaseNotFound a write had no effect; after any other error it may have taken effect.
type Store interface {
	Get(ctx context.Context, key string) (store.KeyValue, bool, error)
	Txn(ctx context.Context, txn store.Txn) (store.TxnResult, error)
	GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error)
}

// Liveness reports whether the process that holds a claim may still be running. A false negative is safe: the repeat
// is answered as unknown.
type Liveness interface {
	Alive(host structs.HostID, incarnation string) bool
}
