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
	// MaxRemaining is the longest remaining time that is accepted in a message.
	MaxRemaining = 10 * time.Minute
	// attemptIDRetention is the minimum time for which attempt ids are kept. It only has to cover repeats of a
	// message in the network, which arrive within seconds.
	attemptIDRetention = 30 * time.Second
)

// DispatchServer implements the owner side of peerpb.Shards/Dispatch. The node combines it with the other calls of
// that service.
type DispatchServer struct {
	pools Pools
	seen  *seenAttempts
	log   *eventlog.Logger
}

// ServerConfig configures a DispatchServer.
type ServerConfig struct {
	Pools Pools            // of this host
	Now   func() time.Time // time.Now when nil
	Log   *eventlog.Logger // discards when nil
}

// NewDispatchServer returns a server that has not received any attempt yet.
func NewDispatchServer(cfg ServerConfig) *DispatchServer {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Log == nil {
		cfg.Log = eventlog.Discard()
	}
	return &DispatchServer{pools: cfg.Pools, seen: newSeenAttempts(cfg.Now), log: cfg.Log}
}

// Dispatch runs one attempt on the pool of its shard. The deadline follows from the remaining time in the message. The
// deadline of the call is later, so that the owner decides the outcome before the call is aborted.
func (s *DispatchServer) Dispatch(ctx context.Context, m *peerpb.DispatchRequest) (*peerpb.DispatchReply, error) {
	if m.AttemptId == "" {
		return nil, status.Error(codes.InvalidArgument, "attempt_id is missing")
	}
	req := requestFromWire(m)
	if req.Remaining <= 0 || req.Remaining > MaxRemaining {
		return replyToWire(m.AttemptId, notRunReply(structs.ReasonDeadline)), nil
	}
	pool, owned := s.pools.Pool(shardFromWire(m.Shard))
	if !owned {
		return replyToWire(m.AttemptId, notRunReply(structs.ReasonWrongOwner)), nil
	}
	if !s.seen.addIfNew(m.AttemptId) {
		s.log.Event(eventlog.AttemptRepeated).Str("request", req.ID).Msg("")
		return replyToWire(m.AttemptId, unknownReply(structs.ReasonRepeatedAttempt)), nil
	}
	return replyToWire(m.AttemptId, pool.Dispatch(ctx, m.AttemptId, req)), nil
}

// seenAttempts keeps attempt ids for one to two times attemptIDRetention, in two generations.
type seenAttempts struct {
	now func() time.Time

	mu       sync.Mutex
	started  time.Time // when current was created
	current  map[string]struct{}
	previous map[string]struct{}
}

func newSeenAttempts(now func() time.Time) *seenAttempts {
	return &seenAttempts{now: now, started: now(), current: map[string]struct{}{}}
}

// addIfNew adds id and reports whether it was not in the set before.
func (a *seenAttempts) addIfNew(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now := a.now(); now.Sub(a.started) >= attemptIDRetention {
		a.previous, a.current, a.started = a.current, map[string]struct{}{}, now
	}
	_, inCurrent := a.current[id]
	_, inPrevious := a.previous[id]
	a.current[id] = struct{}{}
	return !inCurrent && !inPrevious
}
