package requests

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"fulmarcourse.example/core/latency"
	"fulmarcourse.example/core/retry"
	"fulmarcourse.example/core/routing"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
)

// Config configures a Service.
type Config struct {
	Directory  Directory
	Dispatcher Dispatcher
	Keys       Keys
	Policy     routing.Policy   // routing.SlotAware when nil
	Now        func() time.Time // time.Now when nil
	Rand       *rand.Rand       // seeded from the system when nil; used under the service's lock
	Scope      tally.Scope      // tally.NoopScope when nil
	Log        *eventlog.Logger // discards when nil
}

// Service serves the latency-critical requests of callers at one entry host.
type Service struct {
	cfg    Config
	scope  tally.Scope
	tracer trace.Tracer
	router *router

	mu        sync.Mutex
	budget    retry.Budget                // for hedges, and retries after a runner may have read the request
	reroutes  retry.RerouteBudget         // for retries after a rejection for load
	latencies map[kindKey]*latency.Window // latency of answered attempts
	active    int                         // Serve calls and attempts in progress
	closed    bool
	ended     chan struct{} // closed and replaced whenever a Serve call or an attempt ends
}

type kindKey struct {
	service structs.ServiceName
	kind    structs.KindName
}

// NewService returns a service with the defaults of Config applied.
func NewService(cfg Config) *Service {
	if cfg.Policy == nil {
		cfg.Policy = routing.SlotAware{}
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	if cfg.Log == nil {
		cfg.Log = eventlog.Discard()
	}
	return &Service{
		cfg:       cfg,
		scope:     cfg.Scope.SubScope("requests"),
		tracer:    otel.Tracer("fulmarcourse/requests"),
		router:    newRouter(cfg),
		latencies: map[kindKey]*latency.Window{},
		ended:     make(chan struct{}),
	}
}

// Serve runs one request and returns its reply at most ReplyGrace after the deadline, or keys.MaxRecordWait later if an
// outcome has to be recorded. The outcome is OutcomeUnknown if the request may have run without an answer. An empty
// request id is replaced by a new one. Cancelling ctx ends the request early, except a non-idempotent request with an
// idempotency key: its outcome is recorded for repeats.
func (s *Service) Serve(ctx context.Context, req structs.Request) structs.Reply {
	if req.ID == "" {
		req.ID = uuid.NewString()
	}
	ctx, span := s.tracer.Start(ctx, "requests.serve", trace.WithAttributes(attribute.String("request", req.ID)))
	defer span.End()
	start := s.cfg.Now()
	reply := s.serve(ctx, req, start.Add(req.Remaining))
	s.scope.Tagged(map[string]string{"outcome": string(reply.Outcome), "reason": reply.Reason}).Counter("served").Inc(1)
	s.scope.Timer("latency").Record(s.cfg.Now().Sub(start))
	span.SetAttributes(attribute.String("outcome", string(reply.Outcome)), attribute.String("reason", reply.Reason))
	return reply
}

func (s *Service) serve(ctx context.Context, req structs.Request, deadline time.Time) structs.Reply {
	if !s.beginRequest() {
		return notRunReply(structs.ReasonDraining)
	}
	defer s.done()
	if req.Idempotent || req.Key == "" {
		return s.run(ctx, req, deadline)
	}
	// The outcome is recorded for repeats, so the request continues when this caller disconnects.
	ctx = context.WithoutCancel(ctx)
	claim, reply, claimed := s.claim(ctx, req, deadline)
	if !claimed {
		return reply
	}
	reply = s.run(ctx, req, deadline)
	s.cfg.Keys.Finish(ctx, claim, reply)
	return reply
}

// Close rejects new requests and waits until those in progress have ended and their outcomes are recorded, or until
// ctx ends.
func (s *Service) Close(ctx context.Context) error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	for {
		s.mu.Lock()
		active, ended := s.active, s.ended
		s.mu.Unlock()
		if active == 0 {
			return s.cfg.Keys.Close(ctx)
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// beginRequest counts a Serve call and adds it to the retry budgets. It returns false if the service is closed.
func (s *Service) beginRequest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.active++
	s.budget.RecordRequest()
	s.reroutes.RecordRequest()
	return true
}

// beginAttempt counts an attempt of a request that is already counted. It is allowed while the service closes.
func (s *Service) beginAttempt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active++
}

// done counts the end of a Serve call or an attempt.
func (s *Service) done() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	close(s.ended)
	s.ended = make(chan struct{})
}

func (s *Service) spendRetryToken() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Spend()
}

// spendReroute spends the budget for one attempt at another shard after a rejection for load, if there is any left.
func (s *Service) spendReroute() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reroutes.Spend()
}

// observe records the latency of an answered attempt.
func (s *Service) observe(req structs.Request, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.windowLocked(req).Observe(s.cfg.Now(), d)
}

// expectedServiceTime returns the median latency of the request's kind, or 0 if it is unknown.
func (s *Service) expectedServiceTime(req structs.Request) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, _ := s.windowLocked(req).Quantile(s.cfg.Now(), 0.5)
	return d
}

func (s *Service) hedgeDelay(req structs.Request, remaining time.Duration) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return retry.HedgeDelay(s.cfg.Now(), s.windowLocked(req), req.Idempotent, remaining)
}

// windowLocked returns the latency window of the request's kind. Callers hold mu.
func (s *Service) windowLocked(req structs.Request) *latency.Window {
	key := kindKey{req.Service, req.Kind}
	w, ok := s.latencies[key]
	if !ok {
		w = latency.NewWindow(latency.DefaultWindow)
		s.latencies[key] = w
	}
	return w
}

func notRunReply(reason string) structs.Reply {
	return structs.Reply{Outcome: structs.NotRun, Reason: reason}
}

func unknownReply(reason string) structs.Reply {
	return structs.Reply{Outcome: structs.OutcomeUnknown, Reason: reason}
}
