package store

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/httpsend"
	"fulmarcourse.example/fulmarcourse/pkg/store/gateway"
)

const (
	defaultTimeout = 2 * time.Second
	// maxConns limits the connections for reads and transactions. The call rates grow more slowly than the fleet.
	maxConns = 32
	// maxLeaseConns limits the connections for lease calls.
	maxLeaseConns = 4
	// maxResponse is the maximum length of one response in bytes. The largest response is a range read of all jobs.
	maxResponse = 256 << 20
)

// Config configures a Client.
type Config struct {
	Endpoint string           // "http://IP:port"
	Timeout  time.Duration    // time limit of one call; 2 s if zero
	Source   netip.Addr       // local address of connections; zero lets the system choose
	Metrics  tally.Scope      // tally.NoopScope if nil
	Clock    func() time.Time // time.Now if nil
	Log      *eventlog.Logger // receives outages of the store and their end; no logging if nil
}

// Client calls the store. It is safe for concurrent use and never retries a call.
type Client struct {
	endpoint string
	timeout  time.Duration
	keys     *httpsend.Client
	leases   *httpsend.Client // separate connections, so that renewals never wait for slow reads and writes
	clock    func() time.Time
	metrics  metrics
	tracer   trace.Tracer
	log      *eventlog.Logger
	failing  atomic.Bool // whether the latest call failed
}

// NewClient returns a client of the store at cfg.Endpoint. It opens no connection before the first call.
func NewClient(cfg Config) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.Log == nil {
		cfg.Log = eventlog.Discard()
	}
	return &Client{
		endpoint: strings.TrimSuffix(cfg.Endpoint, "/"),
		timeout:  cfg.Timeout,
		keys:     httpsend.NewClient(httpsend.Config{Source: cfg.Source, Name: "store", MaxConnsPerHost: maxConns, MaxBody: maxResponse}),
		leases:   httpsend.NewClient(httpsend.Config{Source: cfg.Source, Name: "store", MaxConnsPerHost: maxLeaseConns}),
		clock:    cfg.Clock,
		metrics:  newMetrics(cfg.Metrics),
		tracer:   otel.Tracer("fulmarcourse/store"),
		log:      cfg.Log,
	}
}

// operation is one method of the gateway.
type operation struct {
	name  string
	path  string
	write bool // whether the call may change the store
	lease bool // whether the call uses the connections for leases
}

var (
	opRange     = operation{"range", gateway.RangePath, false, false}
	opTxn       = operation{"txn", gateway.TxnPath, true, false}
	opGrant     = operation{"lease_grant", gateway.GrantPath, true, true}
	opKeepAlive = operation{"lease_keepalive", gateway.KeepAlivePath, true, true}
	opRevoke    = operation{"lease_revoke", gateway.RevokePath, true, true}
)

// call sends the request in and decodes the response into out. It records a span, metrics and outages.
func (c *Client) call(ctx context.Context, op operation, in, out any) error {
	ctx, span := c.tracer.Start(ctx, "store."+op.name)
	defer span.End()
	started := c.clock()
	err := c.exchange(ctx, op, in, out)
	c.metrics.observe(op, c.clock().Sub(started), err)
	c.logChange(op, err)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	return err
}

// logChange logs the first failure after a success and the first success after a failure.
func (c *Client) logChange(op operation, err error) {
	failed := errors.Is(err, ErrUnavailable) || errors.Is(err, ErrUncertain)
	if c.failing.Swap(failed) == failed {
		return
	}
	if failed {
		c.log.Event(eventlog.StoreLost).Str("operation", op.name).Err(err).Msg("")
	} else {
		c.log.Event(eventlog.StoreRecovered).Str("operation", op.name).Msg("")
	}
}

func (c *Client) exchange(ctx context.Context, op operation, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Annotatef(err, "store %s: encode the request", op.name)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	header := http.Header{"Content-Type": {"application/json"}}
	client := c.keys
	if op.lease {
		client = c.leases
	}
	resp, err := client.Post(ctx, c.endpoint+op.path, header, body)
	if errors.Is(err, httpsend.ErrNotSent) {
		return fail(op, err, ErrUnavailable)
	}
	if err != nil {
		return fail(op, err, op.failure())
	}
	if resp.Status != http.StatusOK {
		return responseError(op, resp)
	}
	if err := json.Unmarshal(resp.Body, out); err != nil {
		return fail(op, err, op.failure())
	}
	return nil
}

// failure returns the error for a call whose request the server may have received.
func (op operation) failure() errors.ConstError {
	if op.write {
		return ErrUncertain
	}
	return ErrUnavailable
}

func fail(op operation, cause error, kind errors.ConstError) error {
	return errors.Annotatef(errors.WithType(cause, kind), "store %s: %s", op.name, kind)
}

// responseError returns the error for a complete response with an error status.
func responseError(op operation, resp httpsend.Response) error {
	var e gateway.Error
	if err := json.Unmarshal(resp.Body, &e); err != nil {
		return fail(op, errors.Errorf("status %d", resp.Status), op.failure())
	}
	return gatewayError(op, e)
}

// gatewayError returns the error for an error message of the gateway. It distinguishes rejections, which have no
// effect, from errors after which a write may still take effect, for example a time-out inside the store.
func gatewayError(op operation, e gateway.Error) error {
	code := e.Code
	if code == 0 {
		code = e.GRPCCode
	}
	cause := errors.Errorf("code %d: %s", code, e.Message)
	switch code {
	case gateway.CodeNotFound:
		return fail(op, cause, ErrLeaseNotFound)
	case gateway.CodeInvalidArgument, gateway.CodeFailedPrecondition, gateway.CodeOutOfRange:
		return fail(op, cause, ErrInvalid)
	}
	return fail(op, cause, op.failure())
}
