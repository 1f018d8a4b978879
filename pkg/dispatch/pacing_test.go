package dispatch

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
	"fulmarcourse.example/fulmarcourse/pkg/relay"
)

// busyRelayDelay is the duration of a call to a busyRelay.
const busyRelayDelay = 500 * time.Microsecond

// busyRelay always has results. It implements RelayClient.
type busyRelay struct{ updates, collects atomic.Int64 }

func (r *busyRelay) Update(context.Context, relay.Update) error {
	time.Sleep(busyRelayDelay)
	r.updates.Add(1)
	return nil
}

func (r *busyRelay) Collect(context.Context, int, int64, time.Duration, time.Duration) (relay.Results, error) {
	time.Sleep(busyRelayDelay)
	r.collects.Add(1)
	return relay.Results{}, nil
}

// pacedLink returns one of several links of an owner, to a relay that always has results.
func pacedLink(t *testing.T, links int) (*link, *busyRelay) {
	t.Helper()
	o := NewOwner(Config{
		Host: "host", Store: kvtest.NewStore(), Relays: listedHosts{}, Log: eventlog.Discard(), Scope: tally.NoopScope,
	}, confirmedOwnership(t))
	r := &busyRelay{}
	l := &link{
		owner: o, host: RelayHost{Name: "host0", Client: r}, wake: make(chan struct{}, 1),
		release: map[schedule.WorkerID]bool{}, inFlight: map[orderKey]inFlight{}, workers: map[schedule.WorkerID]assignment{},
	}
	for n := range links {
		o.links[fmt.Sprint("host", n)] = l
	}
	return l, r
}

// changeWorkers gives the link something to send every millisecond until ctx ends.
func changeWorkers(ctx context.Context, l *link) {
	for ctx.Err() == nil {
		l.owner.mu.Lock()
		l.release[testWorker] = true
		l.owner.mu.Unlock()
		l.owner.wake(l.wake)
		time.Sleep(time.Millisecond)
	}
}

// Scenario: an owner of many relays, each of which always has results, and always has something to tell them. Guards against
// calls to relays that take most of the owner's processor time, each with a few reports or orders.
func TestCallsToManyRelaysAreSpaced(t *testing.T) {
	for _, c := range []struct {
		links    int
		interval time.Duration
	}{{1, callSpacing}, {12, 12 * callSpacing}, {1000, maxCallInterval}} {
		synctest.Test(t, func(t *testing.T) {
			l, r := pacedLink(t, c.links)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			var wg sync.WaitGroup
			wg.Go(func() { changeWorkers(ctx, l) })
			wg.Go(func() { l.sendLoop(ctx) })
			wg.Go(func() { l.collectLoop(ctx) })
			wg.Wait()
			most := int64(time.Second/c.interval) + 1
			if n := r.collects.Load(); n > most || n < most/2 {
				t.Errorf("%d links: %d collections of one relay a second, want at most %d", c.links, n, most)
			}
			if n := r.updates.Load(); n > most || n < most/2 {
				t.Errorf("%d links: %d updates of one relay a second, want at most %d", c.links, n, most)
			}
		})
	}
}

// Guards against an order that waits although the owner has not called its relay for a while.
func TestCallAfterAPauseIsNotDelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := pacedLink(t, 12)
		p := callPacer{owner: l.owner}
		for range 3 {
			started := time.Now()
			p.wait(t.Context())
			if waited := time.Since(started); waited != 0 {
				t.Errorf("a call after a pause was delayed by %v", waited)
			}
			time.Sleep(maxCallInterval)
		}
	})
}
