// Package mirror keeps a copy of the keys under a prefix of the store up to date.
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
	Wait   time.Duration // one watch waits so long at most; a connection that has gone silent is noticed soon after
	Pause  time.Duration // least time between two watches, so that frequent changes are fetched together
	Retry  time.Duration // pause after a failed call
	Log    *eventlog.Logger
	// Reset is called with all keys when the prefix was read anew.
	Reset func(items []kv.Item)
	// Apply is called with the changes since, in their order.
	Apply func(changes []kv.Change)
}

// Mirror follows one prefix.
type Mirror struct {
	cfg Config

	mu      sync.Mutex // guards contact and failing
	contact time.Time
	failing bool
}

// New returns a mirror that has read nothing yet.
func New(cfg Config) *Mirror { return &Mirror{cfg: cfg} }

// LastContact returns when the store last answered; the zero time before the first answer.
func (m *Mirror) LastContact() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.contact
}

// Run follows the prefix until ctx ends.
func (m *Mirror) Run(ctx context.Context) {
	for ctx.Err() == nil {
		asOf, err := m.read(ctx)
		if err == nil {
			err = m.follow(ctx, asOf)
		}
		if ctx.Err() != nil {
			return
		}
		m.failed(err)
		pause.For(ctx, m.cfg.Retry)
	}
}

func (m *Mirror) read(ctx context.Context) (asOf int64, err error) {
	items, asOf, err := kv.List(ctx, m.cfg.Store, m.cfg.Prefix)
	if err != nil {
		return 0, errors.Trace(err)
	}
	m.reached()
	m.cfg.Reset(items)
	return asOf, nil
}

// follow watches until the history is gone. Other failures are repeated from the same revision.
func (m *Mirror) follow(ctx context.Context, asOf int64) error {
	for ctx.Err() == nil {
		started := time.Now()
		changes, err := m.cfg.Store.Watch(ctx, m.cfg.Prefix, asOf, m.wait())
		if errors.Is(err, kv.ErrCompacted) {
			return errors.Trace(err)
		}
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			m.failed(err)
			pause.For(ctx, m.cfg.Retry)
			continue
		}
		m.reached()
		asOf = max(asOf, changes.AsOf)
		if len(changes.Changes) > 0 {
			m.cfg.Apply(changes.Changes)
		}
		pause.For(ctx, m.cfg.Pause-time.Since(started))
	}
	return nil
}

// wait returns how long the next watch may wait. After a failure it does not wait, so that an answer tells at once that
// the store is back.
func (m *Mirror) wait() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failing {
		return 0
	}
	return m.cfg.Wait
}

func (m *Mirror) reached() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.contact = time.Now()
	if m.failing {
		m.failing = false
		m.cfg.Log.Event(eventlog.MirrorRecovered).Str("prefix", m.cfg.Prefix).Msg("")
	}
}

// failed logs the first failure after a success.
func (m *Mirror) failed(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.failing {
		m.failing = true
		m.cfg.Log.Event(eventlog.MirrorLost).Str("prefix", m.cfg.Prefix).Err(err).Msg("")
	}
}
