// Package httpsend sends HTTP requests exactly once and reports whether a failed request may have reached the
// server. net/http does not report this by itself: its errors do not say whether a byte was written.
package httpsend

import (
	"bytes"
	"context"
	"fulmarcourse.example/fulmarcourse/pkg/netdial"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"
)

// ErrNotSent means that no byte of the request was written. Every other error means that the server may have
// read the request.
const ErrNotSent = errors.ConstError("request not sent")

const (
	defaultDialTimeout = time.Second
	// idleTimeout is shorter than the idle time-out of common servers, so that a request is rarely written to a
	// connection that the server is closing.
	idleTimeout = 15 * time.Second
	// maxIdlePerHost keeps the connections of a busy server open between calls.
	maxIdlePerHost = 64
	// defaultMaxBody bounds the memory that one response can take, in bytes.
	defaultMaxBody = 64 << 20
)

// Config configures a Client.
type Config struct {
	Name            string        // names the remote service in logs
	MaxConnsPerHost int           // open connections per server; 0 means no limit
	DialTimeout     time.Duration // time to connect; 1 s when zero
	Source          netip.Addr    // local address of connections; the system chooses when zero
	MaxBody         int64         // longest accepted response body in bytes, without compression; 64 MiB when zero
	Gzip            bool          // servers may compress their responses
}

// Client sends requests. It never repeats a request and follows no redirect.
type Client struct {
	service   httpc.Service
	transport *http.Transport
	maxBody   int64
	gzip      bool
}

// Response is a completely received response.
type Response struct {
	Status        int
	Header        http.Header
	Body          []byte
	ContentLength int64 // as stated by the server; -1 when it stated none. Of a compressed body, the compressed length
}

// NewClient returns a client with its own connections.
func NewClient(cfg Config) *Client {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	if cfg.MaxBody == 0 {
		cfg.MaxBody = defaultMaxBody
	}
	dialer := netdial.NewDialer(cfg.Source, cfg.DialTimeout)
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c}, nil
		},
		MaxConnsPerHost:     cfg.MaxConnsPerHost,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true, // the stated length is compared with the received one
	}
	// The callers decide when to retry or to stop calling; a breaker would reject calls at random after an outage.
	breaker.NoBreakerFor(cfg.Name)
	client := &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &Client{service: httpc.NewServiceWithClient(cfg.Name, client), transport: transport, maxBody: cfg.MaxBody, gzip: cfg.Gzip}
}

// Post sends body to url with header and returns the complete response, whatever its status.
// The error matches ErrNotSent when nothing was written.
func (c *Client) Post(ctx context.Context, url string, header http.Header, body []byte) (Response, error) {
	return c.send(ctx, http.MethodPost, url, header, body)
}

// Get reads url. The error matches ErrNotSent when nothing was written.
func (c *Client) Get(ctx context.Context, url string) (Response, error) {
	return c.GetWithHeader(ctx, url, nil)
}

// GetWithHeader is Get with request headers.
func (c *Client) GetWithHeader(ctx context.Context, url string, header http.Header) (Response, error) {
	return c.send(ctx, http.MethodGet, url, header, nil)
}

// Do sends a request with any method. The error matches ErrNotSent when nothing was written.
func (c *Client) Do(ctx context.Context, method, url string, header http.Header, body []byte) (Response, error) {
	return c.send(ctx, method, url, header, body)
}

type checkKey struct{}

// BeforeWrite returns a context whose request calls check immediately before its first byte is written, after any wait
// for a connection. If check returns an error, nothing is written and the request fails with ErrNotSent. check may be
// called from another goroutine.
func BeforeWrite(ctx context.Context, check func() error) context.Context {
	return context.WithValue(ctx, checkKey{}, &check)
}

func checkOf(ctx context.Context) *func() error {
	check, _ := ctx.Value(checkKey{}).(*func() error)
	return check
}

// CloseIdle closes the connections that carry no request.
func (c *Client) CloseIdle() { c.transport.CloseIdleConnections() }

func (c *Client) send(ctx context.Context, method, url string, header http.Header, body []byte) (Response, error) {
	used := usedConn{check: checkOf(ctx)}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: used.record})
	req, err := newRequest(ctx, method, url, header, body)
	if err != nil {
		return Response{}, errors.WithType(err, ErrNotSent)
	}
	if c.gzip {
		req.Header.Set("Accept-Encoding", "gzip")
	}
	resp, err := c.service.DoRequest(req)
	if err != nil {
		if used.nothingWritten() {
			return Response{}, errors.WithType(err, ErrNotSent)
		}
		return Response{}, errors.Trace(err)
	}
	return c.read(resp)
}

// read receives the whole response body.
func (c *Client) read(resp *http.Response) (Response, error) {
	defer func() { _ = resp.Body.Close() }()
	body, done, err := bodyOf(resp)
	if err != nil {
		return Response{}, err
	}
	defer done()
	data, err := io.ReadAll(io.LimitReader(body, c.maxBody+1))
	if err != nil {
		return Response{}, errors.Annotate(err, "response is incomplete")
	}
	if int64(len(data)) > c.maxBody {
		return Response{}, errors.Errorf("response is longer than %d bytes", c.maxBody)
	}
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: data, ContentLength: resp.ContentLength}, nil
}

// onceBody hides the type of its reader from net/http, which otherwise sets GetBody and then sends a request
// again on a second connection.
type onceBody struct{ io.Reader }

func newRequest(ctx context.Context, method, url string, header http.Header, body []byte) (*http.Request, error) {
	var reader io.Reader
	if method != http.MethodGet {
		reader = onceBody{bytes.NewReader(body)}
	}
	req, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return nil, err
	}
	if len(body) > 0 {
		req.ContentLength = int64(len(body))
	}
	for key, values := range header {
		req.Header[key] = values
	}
	return req, nil
}

// usedConn remembers the connection that net/http chose for a request.
type usedConn struct {
	mu     sync.Mutex
	conn   *conn
	writes int64 // writes of earlier requests on the connection
	check  *func() error
}

// record is called by net/http before it writes the request.
func (u *usedConn) record(info httptrace.GotConnInfo) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conn = info.Conn.(*conn) // DialContext of NewClient makes no other type
	u.writes = u.conn.writes.Load()
	u.conn.check.Store(u.check)
}

// nothingWritten reports whether the failed request wrote nothing and never will.
func (u *usedConn) nothingWritten() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.conn == nil || u.conn.seal(u.writes)
}
