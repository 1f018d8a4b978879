package keys

import (
	"context"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/fulmarcourse/pkg/store"
	"fulmarcourse.example/fulmarcourse/pkg/store/storetest"
)

type fault = storetest.Fault

const (
	noFault      = storetest.NoFault
	unavailable  = storetest.Unavailable
	lostResponse = storetest.LostResponse
	held         = storetest.Held
)

// fakeStore is a store that rejects leases with a time to live below RecordRetention.
type fakeStore struct{ *storetest.Store }

func newFakeStore() *fakeStore { return &fakeStore{storetest.NewStore(storetest.Config{})} }

func (s *fakeStore) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if ttl < RecordRetention {
		return 0, errors.NotValidf("time to live %v", ttl)
	}
	return s.Store.GrantLease(ctx, ttl)
}

// setFaults sets the faults of transactions and whether reads fail.
func (s *fakeStore) setFaults(f func(store.Txn) fault, getsFail bool) {
	s.SetFaults(func(call storetest.Call) fault {
		switch {
		case call.Op == storetest.OpGet && getsFail:
			return storetest.Unavailable
		case call.Op == storetest.OpTxn && f != nil:
			return f(call.Txn)
		}
		return noFault
	})
}

func everyTxn(f fault) func(store.Txn) fault { return func(store.Txn) fault { return f } }
