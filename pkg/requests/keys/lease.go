package keys

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/fulmarcourse/pkg/store"
)

const (
	// RecordRetention is how long a record is kept at least.
	RecordRetention = 24 * time.Hour
	// leaseRotation is how long records are attached to one store lease. A lease ends for all its records at
	// once, so its time to live is RecordRetention plus the rotation; a lease per record would double the store calls.
	leaseRotation = time.Hour
)

// leases hands out the store lease that new records are attached to.
type leases struct {
	store Store
	now   func() time.Time

	mu      sync.Mutex // held during a grant, so that one call serves all waiting batches
	current store.LeaseID
	granted time.Time // when the grant of current was sent
}

// get returns a lease that lives for at least RecordRetention.
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

// forget drops a lease that the store does not know any more.
func (l *leases) forget(id store.LeaseID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == id {
		l.current = 0
	}
}
