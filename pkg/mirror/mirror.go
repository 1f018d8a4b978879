// Package mirror maintains a copy of the keys under a prefix of the store.
package mirror

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv"
	"fulmarcourse.example/fulmarcourse/pkg/pause"
)

// Config configures a Mirror.
type Config struct {
	Store  kv.Store
	Prefix string
	Wait   time.Duration // maximum duration of one watch; an unresponsive connection is detected soon after it
	Pause  time.Duration // minimum time between the starts of two watches, so that changes are fetched in batches
	Retry  time.Duration // pause after a failed call
	// CatchUp is the duration of a call up to which its response counts as current. If a complete read has taken longer, watches
	// neither wait nor pause until one has been answered within it: each one has to return only what changed during the
	// one before. 0 disables this.
	CatchUp time.Duration
	Log     *eventlog.Logger
	// Reset is called with all keys after each complete read of the prefix.
	Reset func(items []kv.Item)
	// Apply is called with subsequent changes, in the order of their revisions.
	Apply func(changes []kv.Change)
	// Unchanged, if set, is called after each response without changes: the copy is as old as the response.
	Unchanged func()
}

// Mirror tracks the keys under one prefix.
type Mirror struct {
	cfg Config

	mu          sync.Mutex // guards the fields below
	lastContact time.Time
	failing     bool // the last call failed
	caughtUp    bool // a call since the last complete read, or the read itself, was answered within Config.CatchUp
}

// New returns a mirror. Run starts it.
func New(cfg Config) *Mirror { return &Mirror{cfg: cfg} }

// LastContact returns the time of the store's last response, or the zero time before the first one.
func (m *Mirror) LastContact() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastContact
}

// CaughtUp reports whether the copy was current, up to Config.CatchUp, at a time since the last complete read.
func (m *Mirror) CaughtUp() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.caughtUp
}

// recordDuration records how long the latest successful call took. A complete read starts over.
func (m *Mirror) recordDuration(took time.Duration, complete bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	current := m.cfg.CatchUp == 0 || took <= m.cfg.CatchUp
	m.caughtUp = current || (m.caughtUp && !complete)
}

// Run tracks the prefix until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	for ctx.Err() == nil {
		asOf, err := m.readAll(ctx)
		if err == nil {
			err = m.follow(ctx, asOf)
		}
		if ctx.Err() != nil {
			return
		}
		m.recordFailure(err)
		pause.For(ctx, m.cfg.Retry)
	}
}

// readAll reads all keys under the prefix and passes them to Reset. It returns the store revision after which changes
// are to be followed.
func (m *Mirror) readAll(ctx context.Context) (asOf int64, err error) {
	started := time.Now()
	items, asOf, err := kv.ListResuming(ctx, m.cfg.Store, m.cfg.Prefix)
	if err != nil {
		return 0, errors.Trace(err)
	}
	if ctx.Err() != nil {
		return 0, ctx.Err() // a later mirror of the prefix may have passed newer keys to the same place
	}
	m.recordSuccess()
	m.recordDuration(time.Since(started), true)
	m.cfg.Reset(items)
	return asOf, nil
}

// maxIncompleteWatches is the number of consecutive watches whose response did not arrive completely after which the prefix is read
// again: the changes since the revision may be too large for one response, while a page is bounded.
const maxIncompleteWatches = 2

// follow watches for changes since revision asOf until the store has compacted the revisions it needs, or the changes do not
// arrive in one response. After other failures it continues from the same revision.
func (m *Mirror) follow(ctx context.Context, asOf int64) error {
	incomplete := 0 // consecutive watches
	for ctx.Err() == nil {
		started := time.Now()
		changes, err := m.cfg.Store.Watch(ctx, m.cfg.Prefix, asOf, m.watchWait())
		if errors.Is(err, kv.ErrCompacted) {
			return errors.Trace(err)
		}
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			if incomplete++; !errors.Is(err, kv.ErrIncomplete) {
				incomplete = 0
			}
			if incomplete == maxIncompleteWatches {
				return errors.Trace(err)
			}
			m.recordFailure(err)
			pause.For(ctx, m.cfg.Retry)
			continue
		}
		incomplete = 0
		m.recordSuccess()
		m.recordDuration(time.Since(started), false)
		asOf = max(asOf, changes.AsOf)
		switch {
		case len(changes.Changes) > 0:
			m.cfg.Apply(changes.Changes)
		case m.cfg.Unchanged != nil:
			m.cfg.Unchanged()
		}
		if m.CaughtUp() {
			pause.For(ctx, m.cfg.Pause-time.Since(started))
		}
	}
	return nil
}

// watchWait returns how long the next watch may wait for changes. After a failure it returns 0, so that the recovery of
// the store is detected immediately.
func (m *Mirror) watchWait() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failing || !m.caughtUp {
		return 0
	}
	return m.cfg.Wait
}

// recordSuccess records a response of the store and logs the first one after a failure.
func (m *Mirror) recordSuccess() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastContact = time.Now()
	if m.failing {
		m.failing = false
		m.cfg.Log.Event(eventlog.MirrorRecovered).Str("prefix", m.cfg.Prefix).Msg("")
	}
}

// recordFailure logs the first failure after a success.
func (m *Mirror) recordFailure(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.failing {
		m.failing = true
		m.cfg.Log.Event(eventlog.MirrorLost).Str("prefix", m.cfg.Prefix).Err(err).Msg("")
	}
}
