package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/core/workload"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
)

// pairingStore delays Commit calls until two are in progress for the first time.
type pairingStore struct {
	kv.Store
	mu         sync.Mutex // guards the fields below
	inProgress int
	most       int
	once       sync.Once
	paired     chan struct{} // closed once two calls are in progress
}

func (s *pairingStore) Commit(ctx context.Context, txn kv.Txn) (int64, error) {
	s.mu.Lock()
	s.inProgress++
	s.most = max(s.most, s.inProgress)
	if s.inProgress == 2 {
		s.once.Do(func() { close(s.paired) })
	}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.inProgress--
		s.mu.Unlock()
	}()
	select {
	case <-s.paired:
	case <-ctx.Done():
		return 0, kv.ErrUncertain
	}
	return s.Store.Commit(ctx, txn)
}

// Scenario: the ends of many jobs are stored at once, which takes many transactions. Guards against transactions that wait
// for each other: acknowledgements, completions and starts of services would wait for the response time of the store many
// times over.
func TestTransactionsOfABatchDoNotWaitForEachOther(t *testing.T) {
	store := &pairingStore{Store: kvtest.NewStore(), paired: make(chan struct{})}
	o := NewOwner(Config{Host: "host", Store: store, Log: eventlog.Discard(), Scope: tally.NoopScope}, confirmedOwnership(t))
	var records []schedule.Record
	for n := range 2 * kv.MaxTxnEntries {
		records = append(records, schedule.Record{
			Job: workload.JobID(fmt.Sprint("job", n)), Progress: workload.Progress{State: workload.StateRunning},
		})
	}
	// The writes conflict, because the term of this owner is not in the store.
	_ = o.saveAllRecords(t.Context(), records)
	if store.most < 2 || store.most > concurrentTxns {
		t.Errorf("%d transactions in progress at once, want 2 to %d", store.most, concurrentTxns)
	}
}

// Guards against planning that takes all processor time of an owner with many waiting tasks, so that it never applies the
// reports that tell of free capacity.
func TestPlanningLeavesTimeForReports(t *testing.T) {
	for _, c := range []struct{ took, want time.Duration }{
		{0, planDelay},
		{planDelay / 10, planDelay},
		{9 * time.Millisecond, 27 * time.Millisecond},
		{time.Second, planInterval},
	} {
		if got := delayAfterPlan(c.took); got != c.want {
			t.Errorf("after a planning run of %v changes are batched for %v, want %v", c.took, got, c.want)
		}
	}
}

// Scenario: planning runs take long and changes arrive all the time. Guards against a periodic run that begins right after
// another one: planning would take more of the owner's time than it leaves for reports.
func TestPlanningPausesBesidePeriodicRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			took = 60 * time.Millisecond
			runs = 50
		)
		ctx, cancel := context.WithCancel(t.Context())
		wake := make(chan struct{}, 1)
		wake <- struct{}{}
		var ended time.Time
		n := 0
		repeatPlan(ctx, wake, func() time.Duration {
			if pause := time.Since(ended); n > 0 && pause < delayAfterPlan(took) {
				t.Errorf("run %d begins %v after the one before, which took %v", n, pause, took)
			}
			time.Sleep(took)
			select {
			case wake <- struct{}{}:
			default:
			}
			if n++; n == runs {
				cancel()
			}
			ended = time.Now()
			return took
		})
	})
}
