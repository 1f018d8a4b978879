package dispatch

import (
	"context"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/pause"
)

// Spacing of the calls to relays. A call takes about 0.1 ms of the owner's processor time whatever it carries, more than most
// of what is in it: without a minimum interval the calls take over half of that time on a large fleet.
const (
	// callSpacing is the mean time between two calls of one kind to all relays together while there is always something to
	// carry.
	callSpacing = 2 * time.Millisecond
	// maxCallInterval bounds the interval between two calls to one relay, and thus what the spacing adds to the age of reports
	// and of orders.
	maxCallInterval = 40 * time.Millisecond
)

// callInterval returns the minimum interval between two calls of one kind to one relay. o.mu is held.
func (o *Owner) callInterval() time.Duration {
	return min(time.Duration(len(o.links))*callSpacing, maxCallInterval)
}

// callPacer spaces the calls of one kind to one relay. A call after a longer pause is not delayed. It is not safe for
// concurrent use.
type callPacer struct {
	owner *Owner
	last  time.Time // time of the latest call
}

// wait waits until the next call may be made. It reports false if ctx has ended.
func (p *callPacer) wait(ctx context.Context) bool {
	p.owner.mu.Lock()
	interval := p.owner.callInterval()
	p.owner.mu.Unlock()
	pause.For(ctx, interval-time.Since(p.last))
	p.last = time.Now()
	return ctx.Err() == nil
}
