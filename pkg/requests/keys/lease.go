package keys

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/fulmarcourse/pkg/store"
)

const (
	// RecordRetention is the minimum time for which a record is kept.
	RecordRetention = 24 * time.Hour
	// leaseRotation is the time for which new records are attached to the same store lease. A lease expires for all
	// its records at once, so its time to live is RecordRetention plus leaseRotation. A lease per record would double
	// the store calls.
	leaseRotation = time.Hour
)

// leases provides the store lease to which new records are attached.
type leases struct {
	store Store
	now   func() time.Time

	mu      sync.Mutex // held during a grant, so that one call serves all waiting batches
	current store.LeaseID
	granted time.Time // when the grant of current was sent
}

// get returns a lease with a remaining time to live of at least RecordRetention.
func (l *leases) get(ctx context.Context) (store.LeaseID, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if l.current != 0 && now.Sub(l.granted) < leaseRotation {
		return l.current, nil
	}
	id, err := l.store.GrantLease(ctx, RecordRetention+leaseRotation)
	if err != nil {
		return 0, errors.Annotate(err, "lease for idempotency records")
	}
	l.current, l.granted = id, now
	return id, nil
}

// invalidate discards a lease that the store no longer has.
func (l *leases) invalidate(id store.LeaseID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == id {
		l.current = 0
	}
}
