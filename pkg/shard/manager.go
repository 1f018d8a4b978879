package shard

import (
	"context"
	"sync"

	"fulmarcourse.example/core/structs"
	"github.com/juju/errors"
)

// ErrNotOwner means that this host does not run a loop for the shard.
const ErrNotOwner = errors.ConstError("this host does not own the shard")

// Manager runs one Loop per owned shard.
type Manager struct {
	cfg Config

	mu    sync.Mutex
	loops map[structs.ShardID]*runningLoop
}

// runningLoop is a Loop with the means to stop it and to wait for its end.
type runningLoop struct {
	loop   *Loop
	cancel context.CancelFunc
	done   chan struct{}
}

// NewManager returns a manager without loops.
func NewManager(cfg Config) *Manager {
	return &Manager{cfg: cfg, loops: map[structs.ShardID]*runningLoop{}}
}

// Acquired starts the loop of a shard. The ownership service calls it after a claim.
func (m *Manager) Acquired(id structs.ShardID, epoch structs.Epoch) {
	m.stop(id)
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningLoop{loop: newLoop(m.cfg, id, epoch), cancel: cancel, done: make(chan struct{})}
	m.mu.Lock()
	m.loops[id] = r
	m.mu.Unlock()
	go func() {
		defer close(r.done)
		r.loop.Run(ctx)
	}()
}

// Lost stops the loop of a shard and returns when its calls have ended and its last changes are written. The ownership
// service calls it after a loss and before a release.
func (m *Manager) Lost(id structs.ShardID) { m.stop(id) }

func (m *Manager) stop(id structs.ShardID) {
	m.mu.Lock()
	r, ok := m.loops[id]
	delete(m.loops, id)
	m.mu.Unlock()
	if ok {
		r.cancel()
		<-r.done
	}
}

// Loop returns the loop of a shard, or ErrNotOwner.
func (m *Manager) Loop(id structs.ShardID) (*Loop, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.loops[id]
	if !ok {
		return nil, errors.Annotatef(ErrNotOwner, "shard %s", id)
	}
	return r.loop, nil
}

// Digests returns the batch capacity and backlog of all owned shards.
func (m *Manager) Digests() []structs.ShardDigest {
	m.mu.Lock()
	loops := make([]*Loop, 0, len(m.loops))
	for _, r := range m.loops {
		loops = append(loops, r.loop)
	}
	m.mu.Unlock()
	digests := make([]structs.ShardDigest, 0, len(loops))
	for _, l := range loops {
		digests = append(digests, l.Digest())
	}
	return digests
}
