// Package hostlist is the client of the platform's list of live and leaving hosts, which is updated with a delay. Reads
// are conditional (RFC 9110, If-None-Match): if the server sends an entity tag, an unchanged list is neither sent nor
// decoded again.
package hostlist

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

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/httpsend"
)

// ErrUnavailable means that the complete list could not be read.
const ErrUnavailable = errors.ConstError("host list unavailable")

// Path is the URL path of the list.
const Path = "/v1/hosts"

const defaultTimeout = 2 * time.Second

// List is the body of a response.
type List struct {
	Hosts []structs.Host `json:"hosts"`
}

// Config configures a Client.
type Config struct {
	Endpoint string           // "http://IP:port"
	Timeout  time.Duration    // time limit of one call; 2 s if zero
	Source   netip.Addr       // local address of connections; zero lets the system choose
	Metrics  tally.Scope      // tally.NoopScope if nil
	Log      *eventlog.Logger // receives outages of the list and their end; no logging if nil
}

// Client reads the host list. It is safe for concurrent use.
type Client struct {
	url     string
	timeout time.Duration
	http    *httpsend.Client
	metrics tally.Scope
	log     *eventlog.Logger
	tracer  trace.Tracer
	failing atomic.Bool                // whether the latest call failed
	cached  atomic.Pointer[taggedList] // nil if the latest list had no entity tag
}

// taggedList is a list with its entity tag.
type taggedList struct {
	tag   string
	hosts []structs.Host
}

// NewClient returns a client of the host list at cfg.Endpoint.
func NewClient(cfg Config) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	if cfg.Log == nil {
		cfg.Log = eventlog.Discard()
	}
	return &Client{
		url:     strings.TrimSuffix(cfg.Endpoint, "/") + Path,
		timeout: cfg.Timeout,
		http:    httpsend.NewClient(httpsend.Config{Source: cfg.Source, Name: "hostlist"}),
		metrics: cfg.Metrics,
		log:     cfg.Log,
		tracer:  otel.Tracer("fulmarcourse/hostlist"),
	}
}

// Hosts returns all hosts of the list. The caller must not modify the slice: calls may return the same slice while the
// list is unchanged. Errors match ErrUnavailable.
func (c *Client) Hosts(ctx context.Context) ([]structs.Host, error) {
	ctx, span := c.tracer.Start(ctx, "hostlist.hosts")
	defer span.End()
	c.metrics.Counter("hostlist_reads").Inc(1)
	hosts, err := c.read(ctx)
	c.logChange(err)
	if err != nil {
		c.metrics.Counter("hostlist_errors").Inc(1)
		span.SetStatus(codes.Error, err.Error())
		return nil, errors.Annotate(errors.WithType(err, ErrUnavailable), "read the host list")
	}
	return hosts, nil
}

// logChange logs the first failure after a success and the first success after a failure.
func (c *Client) logChange(err error) {
	failed := err != nil
	if c.failing.Swap(failed) == failed {
		return
	}
	if failed {
		c.log.Event(eventlog.HostListLost).Err(err).Msg("")
	} else {
		c.log.Event(eventlog.HostListRecovered).Msg("")
	}
}

func (c *Client) read(ctx context.Context) ([]structs.Host, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	cached := c.cached.Load()
	var header http.Header
	if cached != nil {
		header = http.Header{"If-None-Match": {cached.tag}}
	}
	resp, err := c.http.GetWithHeader(ctx, c.url, header)
	if err != nil {
		return nil, err
	}
	if cached != nil && resp.Status == http.StatusNotModified {
		return cached.hosts, nil
	}
	hosts, err := decode(resp)
	if err != nil {
		return nil, err
	}
	if tag := resp.Header.Get("ETag"); tag != "" {
		c.cached.Store(&taggedList{tag, hosts})
	} else {
		c.cached.Store(nil)
	}
	return hosts, nil
}

func decode(resp httpsend.Response) ([]structs.Host, error) {
	if resp.Status != http.StatusOK {
		return nil, errors.Errorf("status %d", resp.Status)
	}
	var list struct {
		Hosts *[]structs.Host `json:"hosts"`
	}
	if err := json.Unmarshal(resp.Body, &list); err != nil {
		return nil, errors.Annotate(err, "decode")
	}
	if list.Hosts == nil {
		return nil, errors.New("response without hosts")
	}
	return *list.Hosts, nil
}
