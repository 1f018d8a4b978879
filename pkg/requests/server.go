package requests

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/api/peerpb"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
)

const (
	// MaxRemaining bounds the remaining time that a message may carry.
	MaxRemaining = 10 * time.Minute
	// rememberAttempts is how long attempt ids are remembered at least. It only has to cover repeats of a message
	// in the network, which follow within seconds.
	rememberAttempts = 30 * time.Second
)

// DispatchServer is the owner side of peerpb.Shards/Dispatch. The wiring combines it with the other calls of that
// service.
type DispatchServer struct {
	pools Pools
	seen  *attemptMemory
	log   *eventlog.Logger
}

// ServerConfig configures a DispatchServer.
type ServerConfig struct {
	Pools Pools            // of this host
	Now   func() time.Time // time.Now when nil
	Log   *eventlog.Logger // discards when nil
}

// NewDispatchServer returns a server.
func NewDispatchServer(cfg ServerConfig) *DispatchServer {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Log == nil {
		cfg.Log = eventlog.Discard()
	}
	return &DispatchServer{pools: cfg.Pools, seen: newAttemptMemory(cfg.Now), log: cfg.Log}
}

// Dispatch runs one attempt on the pool of its shard. The deadline is the remaining time in the message; the
// deadline of the call is later, so that the outcome is decided here and not by an aborted call.
func (s *DispatchServer) Dispatch(ctx context.Context, m *peerpb.DispatchRequest) (*peerpb.DispatchReply, error) {
	if m.AttemptId == "" {
		return nil, status.Error(codes.InvalidArgument, "attempt_id is missing")
	}
	req := requestFromWire(m)
	if req.Remaining <= 0 || req.Remaining > MaxRemaining {
		return toWireReply(m.AttemptId, notRun(structs.ReasonDeadline)), nil
	}
	pool, owned := s.pools.Pool(shardFromWire(m.Shard))
	if !owned {
		return toWireReply(m.AttemptId, notRun(structs.ReasonWrongOwner)), nil
	}
	if !s.seen.first(m.AttemptId) {
		s.log.Event(eventlog.AttemptRepeated).Str("request", req.ID).Msg("")
		return toWireReply(m.AttemptId, unknown(structs.ReasonRepeatedAttempt)), nil
	}
	return toWireReply(m.AttemptId, pool.Dispatch(ctx, m.AttemptId, req)), nil
}

// attemptMemory remembers attempt ids for rememberAttempts to twice that, in two generations.
type attemptMemory struct {
	now func() time.Time

	mu       sync.Mutex
	started  time.Time
	current  map[string]struct{}
	previous map[string]struct{}
}

func newAttemptMemory(now func() time.Time) *attemptMemory {
	return &attemptMemory{now: now, started: now(), current: map[string]struct{}{}}
}

// first reports whether id was not seen before, and remembers it.
func (a *attemptMemory) first(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now := a.now(); now.Sub(a.started) >= rememberAttempts {
		a.previous, a.current, a.started = a.current, map[string]struct{}{}, now
	}
	_, inCurrent := a.current[id]
	_, inPrevious := a.previous[id]
	a.current[id] = struct{}{}
	return !inCurrent && !inPrevious
}
