// Package httpsend sends HTTP requests without retries and reports whether a failed request may have reached the
// server. The errors of net/http do not state whether any byte was written.
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

// ErrNotSent means that no byte of the request was written. After any other error the server may have received the
// request. Nothing is written once the context of the request has ended.
const ErrNotSent = errors.ConstError("request not sent")

// ErrIncomplete means that a response has begun and did not arrive completely, or is longer than the limit.
const ErrIncomplete = errors.ConstError("response is incomplete")

const (
	defaultDialTimeout = time.Second
	// idleTimeout is shorter than the idle time-out of common servers, so that requests are rarely written to a connection
	// that the server is closing.
	idleTimeout = 15 * time.Second
	// maxIdlePerHost is large enough to keep the connections to a busy server open between calls.
	maxIdlePerHost = 64
	// defaultMaxBody bounds the memory used for one response, in bytes.
	defaultMaxBody = 64 << 20
)

// Config configures a Client.
type Config struct {
	Name            string        // name of the remote service in logs
	MaxConnsPerHost int           // maximum open connections per server; 0 means no limit
	DialTimeout     time.Duration // time limit of connecting; 1 s if zero
	Source          netip.Addr    // local address of connections; zero lets the system choose
	MaxBody         int64         // maximum uncompressed response body in bytes; 64 MiB if zero
	Gzip            bool          // whether servers may compress their responses
}

// Client sends requests. It never retries a request and does not follow redirects. It is safe for concurrent use.
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
	ContentLength int64 // length stated by the server, compressed if the body is; -1 if unknown
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
		DisableCompression:  true, // callers compare the stated length with the received one
	}
	// The callers decide about retries and back-off. A circuit breaker would reject calls at random after an outage.
	breaker.NoBreakerFor(cfg.Name)
	client := &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &Client{service: httpc.NewServiceWithClient(cfg.Name, client), transport: transport, maxBody: cfg.MaxBody, gzip: cfg.Gzip}
}

// Post sends body to url with header and returns the complete response, regardless of its status. The error matches
// ErrNotSent if nothing was written.
func (c *Client) Post(ctx context.Context, url string, header http.Header, body []byte) (Response, error) {
	return c.send(ctx, http.MethodPost, url, header, body)
}

// Get reads url. The error matches ErrNotSent if nothing was written.
func (c *Client) Get(ctx context.Context, url string) (Response, error) {
	return c.GetWithHeader(ctx, url, nil)
}

// GetWithHeader reads url with request headers. The error matches ErrNotSent if nothing was written.
func (c *Client) GetWithHeader(ctx context.Context, url string, header http.Header) (Response, error) {
	return c.send(ctx, http.MethodGet, url, header, nil)
}

// Do sends a request with any method. The error matches ErrNotSent if nothing was written.
func (c *Client) Do(ctx context.Context, method, url string, header http.Header, body []byte) (Response, error) {
	return c.send(ctx, method, url, header, body)
}

type readKey struct{}

// OnRead returns a context that makes a request call onRead each time that a part of the body of its response has arrived.
func OnRead(ctx context.Context, onRead func()) context.Context {
	return context.WithValue(ctx, readKey{}, onRead)
}

// notifyingReader calls onRead after each read.
type notifyingReader struct {
	io.Reader
	onRead func()
}

func (r notifyingReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.onRead()
	return n, err
}

type checkKey struct{}

// BeforeWrite returns a context that makes a request call check immediately before its first byte is written, after any
// wait for a connection. If check returns an error, nothing is written and the request fails with ErrNotSent. check may
// be called from another goroutine.
func BeforeWrite(ctx context.Context, check func() error) context.Context {
	return context.WithValue(ctx, checkKey{}, &check)
}

// writeCheck returns the check before the first byte of a request: that ctx has not ended, and the one of BeforeWrite.
// net/http may hand over a connection and write to it after ctx has ended, because it notices the end later. After a pause of
// the process, the deadline of ctx may have passed although its timer has not fired yet.
func writeCheck(ctx context.Context) *func() error {
	custom, _ := ctx.Value(checkKey{}).(*func() error)
	check := func() error {
		if err := ctx.Err(); err != nil {
			return err
		}
		if deadline, limited := ctx.Deadline(); limited && !time.Now().Before(deadline) {
			return context.DeadlineExceeded
		}
		if custom != nil {
			return (*custom)()
		}
		return nil
	}
	return &check
}

// CloseIdle closes the idle connections.
func (c *Client) CloseIdle() { c.transport.CloseIdleConnections() }

func (c *Client) send(ctx context.Context, method, url string, header http.Header, body []byte) (Response, error) {
	used := usedConn{check: writeCheck(ctx)}
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

// read reads the whole response body.
func (c *Client) read(resp *http.Response) (Response, error) {
	defer func() { _ = resp.Body.Close() }()
	body, done, err := decodedBody(resp)
	if err != nil {
		return Response{}, err
	}
	defer done()
	if onRead, ok := resp.Request.Context().Value(readKey{}).(func()); ok {
		body = notifyingReader{body, onRead}
	}
	data, err := io.ReadAll(io.LimitReader(body, c.maxBody+1))
	if err != nil {
		return Response{}, errors.WithType(errors.Annotate(err, "response is incomplete"), ErrIncomplete)
	}
	if int64(len(data)) > c.maxBody {
		return Response{}, errors.WithType(errors.Errorf("response is longer than %d bytes", c.maxBody), ErrIncomplete)
	}
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: data, ContentLength: resp.ContentLength}, nil
}

// onceBody hides the type of its reader from net/http, which would otherwise set GetBody and could then send the
// request again on another connection.
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

// usedConn records the connection that net/http chose for a request.
type usedConn struct {
	mu     sync.Mutex
	conn   *conn
	writes int64 // write count of the connection before the request
	check  *func() error
}

// record is the GotConn hook, which net/http calls before it writes the request.
func (u *usedConn) record(info httptrace.GotConnInfo) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conn = info.Conn.(*conn) // the type that DialContext in NewClient returns
	u.writes = u.conn.writes.Load()
	u.conn.check.Store(u.check)
}

// nothingWritten reports whether nothing of the failed request was written. It seals the connection, so that nothing of
// it can be written later.
func (u *usedConn) nothingWritten() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.conn == nil || u.conn.seal(u.writes)
}
