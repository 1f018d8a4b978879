// Package worker is the HTTP client of workers, the backend servers that run tasks under leases.
package worker

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/httpsend"
	"fulmarcourse.example/fulmarcourse/pkg/problem"
)

// Errors of commands. Callers test them with errors.Is.
const (
	// ErrRefused means that the command was certainly not run. The message has the reason.
	ErrRefused = errors.ConstError("worker command was not run")
	// ErrUnreachable means that nothing was sent. Such an error also matches ErrRefused.
	ErrUnreachable = errors.ConstError("worker unreachable")
	// ErrUncertain means that the command may have been run.
	ErrUncertain = errors.ConstError("worker command may have been run")
	// ErrStaleEpoch means that the worker has seen a later owner of the shard. The command was not run.
	ErrStaleEpoch = errors.ConstError("worker has seen a later shard owner")
)

const (
	defaultTimeout           = 2 * time.Second
	defaultCheckpointTimeout = 10 * time.Second
	maxCommandConns          = 4 // per worker
	maxRenewConns            = 2 // per worker
)

// Config configures a Client.
type Config struct {
	Timeout           time.Duration // time limit of one call; 2 s if zero
	CheckpointTimeout time.Duration // time limit of Checkpoint; 10 s if zero
	Source            netip.Addr    // local address of connections; zero lets the system choose
	Metrics           tally.Scope   // tally.NoopScope if nil
}

// BeforeSend returns a context that makes a command call check immediately before its first byte is written. If check
// returns an error, the command is not sent and its error matches ErrRefused.
func BeforeSend(ctx context.Context, check func() error) context.Context {
	return httpsend.BeforeWrite(ctx, check)
}

// Client calls workers. It is safe for concurrent use and never retries a call.
type Client struct {
	commands          *httpsend.Client
	renewals          *httpsend.Client // separate connections, so that renewals never wait for slow commands
	timeout           time.Duration
	checkpointTimeout time.Duration
	metrics           tally.Scope
	tracer            trace.Tracer
}

// NewClient returns a client without open connections.
func NewClient(cfg Config) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.CheckpointTimeout == 0 {
		cfg.CheckpointTimeout = defaultCheckpointTimeout
	}
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	return &Client{
		commands:          httpsend.NewClient(httpsend.Config{Source: cfg.Source, Name: "worker", MaxConnsPerHost: maxCommandConns}),
		renewals:          httpsend.NewClient(httpsend.Config{Source: cfg.Source, Name: "worker", MaxConnsPerHost: maxRenewConns, Gzip: true}),
		timeout:           cfg.Timeout,
		checkpointTimeout: cfg.CheckpointTimeout,
		metrics:           cfg.Metrics,
		tracer:            otel.Tracer("fulmarcourse/worker"),
	}
}

// Renew renews the task leases of a shard on the worker at addr ("IP:port") and returns the worker's inventory. Workers
// may compress the inventory: it makes up most of the idle traffic of a shard owner, and its similar entries compress
// well. The leases start at req.LeaseFrom on the worker's clock or, if it is 0, when the worker handles the call, which
// is not before the call is sent.
func (c *Client) Renew(ctx context.Context, addr string, req RenewRequest) (structs.Inventory, error) {
	var inventory structs.Inventory
	if err := c.call(ctx, addr, RenewPath, req, &inventory); err != nil {
		return structs.Inventory{}, err
	}
	if inventory.Worker == "" {
		return structs.Inventory{}, fail(addr, RenewPath, errors.New("inventory without worker"), ErrUncertain)
	}
	return inventory, nil
}

// Start runs one attempt of a task. It is idempotent: the worker runs an attempt at most once.
func (c *Client) Start(ctx context.Context, addr string, cmd structs.StartCommand) error {
	return c.confirm(ctx, addr, StartPath, cmd)
}

// Checkpoint takes a checkpoint of a running attempt and returns the name of the checkpoint.
func (c *Client) Checkpoint(ctx context.Context, addr string, ref AttemptRef) (checkpoint string, err error) {
	var reply CheckpointReply
	if err := c.call(ctx, addr, CheckpointPath, ref, &reply); err != nil {
		return "", err
	}
	if reply.Checkpoint == "" {
		return "", fail(addr, CheckpointPath, errors.New("reply without checkpoint"), ErrUncertain)
	}
	return reply.Checkpoint, nil
}

// Throttle limits an attempt to a fraction of full speed, above 0 and at most 1.
func (c *Client) Throttle(ctx context.Context, addr string, ref AttemptRef, share float64) error {
	return c.confirm(ctx, addr, ThrottlePath, ThrottleRequest{AttemptRef: ref, Share: share})
}

// Stop stops an attempt. If it returns nil, the attempt does not run on this worker, and the worker refuses a start
// command for it that arrives later.
func (c *Client) Stop(ctx context.Context, addr string, ref AttemptRef) error {
	return c.confirm(ctx, addr, StopPath, ref)
}

// confirm sends a command whose response is a Done.
func (c *Client) confirm(ctx context.Context, addr, path string, in any) error {
	var done Done
	if err := c.call(ctx, addr, path, in, &done); err != nil {
		return err
	}
	if !done.Done {
		return fail(addr, path, errors.New("response without confirmation"), ErrUncertain)
	}
	return nil
}

// call sends the request in and decodes the response into out. It records a span and metrics.
func (c *Client) call(ctx context.Context, addr, path string, in, out any) error {
	ctx, span := c.tracer.Start(ctx, "worker"+path, trace.WithAttributes(attribute.String("worker", addr)))
	defer span.End()
	metrics := c.metrics.Tagged(map[string]string{"path": path})
	metrics.Counter("worker_calls").Inc(1)
	err := c.exchange(ctx, addr, path, in, out)
	if err != nil {
		metrics.Counter("worker_errors").Inc(1)
		span.SetStatus(codes.Error, err.Error())
	}
	return err
}

func (c *Client) exchange(ctx context.Context, addr, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return fail(addr, path, err, ErrRefused)
	}
	client, timeout := c.commands, c.timeout
	switch path {
	case RenewPath:
		client = c.renewals
	case CheckpointPath:
		timeout = c.checkpointTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	header := http.Header{"Content-Type": {"application/json"}}
	resp, err := client.Post(ctx, "http://"+addr+path, header, body)
	if errors.Is(err, httpsend.ErrNotSent) {
		return fail(addr, path, errors.WithType(err, ErrUnreachable), ErrRefused)
	}
	if err != nil {
		return fail(addr, path, err, ErrUncertain)
	}
	if resp.Status != http.StatusOK {
		return rejection(addr, path, resp)
	}
	if err := json.Unmarshal(resp.Body, out); err != nil {
		return fail(addr, path, err, ErrUncertain)
	}
	return nil
}

// rejection returns the error for an error response. Only the problem types of the protocol mean that the command was
// certainly not run; all other responses are uncertain.
func rejection(addr, path string, resp httpsend.Response) error {
	var p problem.Problem
	if err := json.Unmarshal(resp.Body, &p); err != nil {
		return fail(addr, path, errors.Errorf("status %d", resp.Status), ErrUncertain)
	}
	cause := errors.Errorf("status %d: %s", resp.Status, p.Detail)
	switch p.Type {
	case ProblemRefused:
		return fail(addr, path, cause, ErrRefused)
	case ProblemStaleEpoch:
		return fail(addr, path, cause, ErrStaleEpoch)
	}
	return fail(addr, path, cause, ErrUncertain)
}

func fail(addr, path string, cause error, kind errors.ConstError) error {
	return errors.Annotatef(errors.WithType(cause, kind), "%s on %s: %s", path, addr, kind)
}
