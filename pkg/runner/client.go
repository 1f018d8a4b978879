// Package runner is the HTTP client of runners, the backend servers that answer latency-critical requests.
// It sends each attempt at most once, and every error states whether the request may have run.
package runner

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/httpsend"
)

// Errors of attempts. Callers test them with errors.Is.
const (
	// ErrNotSent means that no byte was sent, so the request certainly did not run.
	ErrNotSent = errors.ConstError("request was not sent to the runner")
	// ErrBusy means that the runner refused the request and did not run it.
	ErrBusy = errors.ConstError("runner refused the request")
	// ErrUncertain means that the request may have run and that no complete answer was received.
	ErrUncertain = errors.ConstError("request may have run")
)

// defaultMaxConns is half of the 64 connections that a runner accepts. The other half is reserved for connections that
// the client has closed but the runner still counts, and for those of the previous owner of the shard.
const defaultMaxConns = 32

// Config configures a Client.
type Config struct {
	MaxConnsPerHost int              // maximum open connections per runner; 32 if zero
	DialTimeout     time.Duration    // 1 s if zero
	Source          netip.Addr       // local address of connections; zero lets the system choose
	Metrics         tally.Scope      // tally.NoopScope if nil
	Log             *eventlog.Logger // receives mismatched responses; no logging if nil
}

// Client sends attempts to runners. It is safe for concurrent use.
type Client struct {
	http    *httpsend.Client
	metrics tally.Scope
	tracer  trace.Tracer
	log     *eventlog.Logger
}

// Attempt is one attempt to run a request on one runner.
type Attempt struct {
	ID        string // unique per attempt
	Service   structs.ServiceName
	Kind      structs.KindName
	Body      []byte
	Remaining time.Duration // time until the deadline
}

// Answer is a complete answer to an attempt.
type Answer struct {
	Status int // HTTP status
	Body   []byte
}

// NewClient returns a client without open connections.
func NewClient(cfg Config) *Client {
	if cfg.MaxConnsPerHost == 0 {
		cfg.MaxConnsPerHost = defaultMaxConns
	}
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	if cfg.Log == nil {
		cfg.Log = eventlog.Discard()
	}
	return &Client{
		http: httpsend.NewClient(httpsend.Config{Source: cfg.Source,
			Name: "runner", MaxConnsPerHost: cfg.MaxConnsPerHost, DialTimeout: cfg.DialTimeout,
		}),
		metrics: cfg.Metrics,
		tracer:  otel.Tracer("fulmarcourse/runner"),
		log:     cfg.Log,
	}
}

// Do sends the attempt to the runner at addr ("IP:port") and returns its complete answer.
// Errors match exactly one of ErrNotSent, ErrBusy and ErrUncertain. Do waits for the answer for at most a.Remaining.
func (c *Client) Do(ctx context.Context, addr string, a Attempt) (Answer, error) {
	ctx, span := c.tracer.Start(ctx, "runner.do", trace.WithAttributes(attribute.String("attempt", a.ID), attribute.String("runner", addr)))
	defer span.End()
	c.metrics.Counter("runner_attempts").Inc(1)
	answer, kind, err := c.exchange(ctx, addr, a)
	if err != nil {
		c.metrics.Tagged(map[string]string{"error": kind.Error()}).Counter("runner_failures").Inc(1)
		span.SetStatus(codes.Error, err.Error())
		return Answer{}, errors.Annotatef(errors.WithType(err, kind), "attempt %s on %s: %s", a.ID, addr, kind)
	}
	return answer, nil
}

// exchange sends the attempt. The second result is the error constant that an error is to match.
func (c *Client) exchange(ctx context.Context, addr string, a Attempt) (Answer, errors.ConstError, error) {
	if a.ID == "" {
		return Answer{}, ErrNotSent, errors.New("attempt without id")
	}
	if a.Remaining <= 0 {
		return Answer{}, ErrNotSent, errors.New("deadline has passed")
	}
	ctx, cancel := context.WithTimeout(ctx, a.Remaining)
	defer cancel()
	header := http.Header{
		AttemptHeader:  {a.ID},
		TimeoutHeader:  {strconv.FormatInt(a.Remaining.Milliseconds(), 10)},
		"Content-Type": {"application/octet-stream"},
	}
	resp, err := c.http.Post(ctx, "http://"+addr+Path(a.Service, a.Kind), header, a.Body)
	if errors.Is(err, httpsend.ErrNotSent) {
		return Answer{}, ErrNotSent, err
	}
	if err != nil {
		return Answer{}, ErrUncertain, err
	}
	if err := checkMatch(resp, a.ID); err != nil {
		c.log.Event(eventlog.RunnerForeignReply).Str("runner", addr).Str("attempt", a.ID).Err(err).Msg("")
		return Answer{}, ErrUncertain, err
	}
	if resp.Status == http.StatusServiceUnavailable && resp.Header.Get(OutcomeHeader) == OutcomeNotRun {
		return Answer{}, ErrBusy, errors.New(string(resp.Body))
	}
	return Answer{Status: resp.Status, Body: resp.Body}, "", nil
}

// checkMatch rejects responses to other attempts and responses with an unknown or wrong length.
func checkMatch(resp httpsend.Response, id string) error {
	if ids := resp.Header.Values(AttemptHeader); len(ids) != 1 || ids[0] != id {
		return errors.Errorf("response belongs to attempt %q", ids)
	}
	if resp.ContentLength != int64(len(resp.Body)) {
		return errors.Errorf("response states %d bytes and has %d", resp.ContentLength, len(resp.Body))
	}
	return nil
}
