package httpsend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
)

// refusing is an address on which nothing listens. Unlike a free port, it cannot be taken by another test.
const refusing = "http://127.0.0.1:1"

// Guards against writing a request whose check would have failed after its wait for a connection.
func TestCheckBeforeWrite(t *testing.T) {
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	var served atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		served.Add(1)
		arrived <- struct{}{}
		<-release
	}))
	defer server.Close()
	client := NewClient(Config{Name: "test", MaxConnsPerHost: 1})
	results := make(chan error, 2)
	go func() {
		_, err := client.Post(context.Background(), server.URL, nil, []byte("first"))
		results <- err
	}()
	<-arrived
	checked := errors.New("not allowed any more")
	waiting := make(chan struct{})
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{GetConn: func(string) { close(waiting) }})
	go func() {
		_, err := client.Post(BeforeWrite(ctx, func() error { return checked }), server.URL, nil, []byte("second"))
		results <- err
	}()
	<-waiting
	close(release)
	failed := 0
	for range 2 {
		if err := <-results; errors.Is(err, ErrNotSent) {
			failed++
		}
	}
	if failed != 1 || served.Load() != 1 {
		t.Fatalf("%d requests were not sent, the server got %d", failed, served.Load())
	}
	if _, err := client.Post(BeforeWrite(t.Context(), func() error { return nil }), server.URL, nil, []byte("third")); err != nil {
		t.Fatal(err)
	}
}

// Guards against reporting a refused connection as a request that may have run.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	client := NewClient(Config{Name: "test"})
	_, err := client.Post(t.Context(), refusing, nil, []byte("body"))
	if !errors.Is(err, ErrNotSent) {
		t.Fatalf("got %v, want ErrNotSent", err)
	}
}

// Guards against reporting a request as possibly run if it waits for a connection until its deadline.
func TestWaitForConnectionIsNotSent(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	var served atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		served.Add(1)
		close(arrived)
		<-release
	}))
	defer server.Close()
	client := NewClient(Config{Name: "test", MaxConnsPerHost: 1})
	first := make(chan error, 1)
	go func() {
		_, err := client.Post(context.Background(), server.URL, nil, []byte("first"))
		first <- err
	}()
	<-arrived
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := client.Post(ctx, server.URL, nil, []byte("second"))
	close(release)
	if !errors.Is(err, ErrNotSent) {
		t.Errorf("second request: got %v, want ErrNotSent", err)
	}
	if err := <-first; err != nil {
		t.Errorf("first request: %v", err)
	}
	if n := served.Load(); n != 1 {
		t.Errorf("server got %d requests, want 1", n)
	}
}

// rawServer starts a server that answers the first request on each connection and closes the connection after reading
// the second. It returns the URL and the number of requests read.
func rawServer(t *testing.T) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	requests := new(atomic.Int64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answerOnce(c, requests)
		}
	}()
	return "http://" + l.Addr().String(), requests
}

func answerOnce(c net.Conn, requests *atomic.Int64) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for i := range 2 {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		requests.Add(1)
		if i == 0 {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

// Guards against net/http sending a request again when a reused connection closes after the server has read the
// request: a non-idempotent request would run twice. net/http treats an empty body as a separate case.
func TestReusedConnectionIsNotRetried(t *testing.T) {
	for _, body := range []string{"body", ""} {
		if req, err := newRequest(t.Context(), http.MethodPost, "http://host", nil, []byte(body)); err != nil || req.GetBody != nil {
			t.Errorf("body %q: net/http can repeat the request, error %v", body, err)
		}
		url, requests := rawServer(t)
		client := NewClient(Config{Name: "test"})
		if _, err := client.Post(t.Context(), url, nil, []byte(body)); err != nil {
			t.Fatal(err)
		}
		_, err := client.Post(t.Context(), url, nil, []byte(body))
		if err == nil || errors.Is(err, ErrNotSent) {
			t.Errorf("body %q: got %v, want an error other than ErrNotSent", body, err)
		}
		if n := requests.Load(); n != 2 {
			t.Errorf("body %q: server read %d requests, want 2", body, n)
		}
	}
}

// Guards against following a redirect, which would send the request to a second server.
func TestRedirectIsNotFollowed(t *testing.T) {
	var hits atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hits.Add(1)
		http.Redirect(w, r, "/other", http.StatusFound)
	}))
	defer server.Close()
	resp, err := NewClient(Config{Name: "test"}).Post(t.Context(), server.URL, nil, []byte("body"))
	if err != nil || resp.Status != http.StatusFound || hits.Load() != 1 {
		t.Fatalf("got status %d, error %v, %d requests", resp.Status, err, hits.Load())
	}
}

// Guards against returning an incomplete or oversized response as complete, or reporting its request as not sent.
func TestIncompleteResponses(t *testing.T) {
	handlers := map[string]http.HandlerFunc{
		"closed without response": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"shorter than stated": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "half")
		},
		"longer than allowed": func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write(make([]byte, 101))
		},
	}
	for name, handler := range handlers {
		server := httptest.NewServer(handler)
		_, err := NewClient(Config{Name: "test", MaxBody: 100}).Post(t.Context(), server.URL, nil, []byte("body"))
		if err == nil || errors.Is(err, ErrNotSent) {
			t.Errorf("%s: got %v, want an error other than ErrNotSent", name, err)
		}
		server.Close()
	}
}

// Guards against a circuit breaker that rejects calls for seconds after the end of an outage.
func TestOutageDoesNotBlockLaterCalls(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	client := NewClient(Config{Name: "test"})
	for range 200 {
		_, _ = client.Get(t.Context(), refusing)
	}
	for range 10 {
		if _, err := client.Get(t.Context(), server.URL); err != nil {
			t.Fatal(err)
		}
	}
}

// endingContext is a context whose Err tells its end before its Done channel is closed, as with a context that is being
// cancelled: its children are cancelled one after the other.
type endingContext struct {
	context.Context
	ended atomic.Bool
}

func (c *endingContext) Err() error {
	if c.ended.Load() {
		return context.Canceled
	}
	return c.Context.Err()
}

// Scenario: the context of a request ends while a connection is handed over to it, for example the connection of another
// request that was cancelled with it. Guards against a request that reaches the server although its caller has given up,
// so that it counts as possibly run.
func TestRequestOfEndedContextIsNotWritten(t *testing.T) {
	var served atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) }))
	defer server.Close()
	client := NewClient(Config{Name: "test"})
	for _, reused := range []bool{false, true} {
		before := served.Load()
		ctx := &endingContext{Context: t.Context()}
		traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
			if info.Reused != reused {
				t.Errorf("connection reused: %v, want %v", info.Reused, reused)
			}
			ctx.ended.Store(true)
		}})
		_, err := client.Post(traced, server.URL, nil, []byte("body"))
		if !errors.Is(err, ErrNotSent) {
			t.Errorf("reused %v: got %v, want ErrNotSent", reused, err)
		}
		if n := served.Load() - before; n != 0 {
			t.Errorf("reused %v: the server got %d requests", reused, n)
		}
		if _, err := client.Post(t.Context(), server.URL, nil, []byte("body")); err != nil { // leaves an idle connection
			t.Fatal(err)
		}
	}
}

// pausedContext is a context whose deadline has passed while the process was paused: its timer has not fired yet.
type pausedContext struct {
	context.Context
}

func (pausedContext) Deadline() (time.Time, bool) { return time.Now().Add(-time.Second), true }

// Scenario: the process is paused while a request waits for a connection, and goes on before the timer of the request's
// context has fired. Guards against a request that is written after its time limit.
func TestRequestIsNotWrittenAfterItsDeadline(t *testing.T) {
	var served atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) }))
	defer server.Close()
	client := NewClient(Config{Name: "test"})
	_, err := client.Post(pausedContext{t.Context()}, server.URL, nil, []byte("body"))
	if !errors.Is(err, ErrNotSent) {
		t.Errorf("got %v, want ErrNotSent", err)
	}
	if n := served.Load(); n != 0 {
		t.Errorf("the server got %d requests", n)
	}
}

// countingConn is a connection that counts the writes and discards the data.
type countingConn struct {
	net.Conn
	writes atomic.Int64
}

func (c *countingConn) Write(b []byte) (int, error) { c.writes.Add(1); return len(b), nil }
func (c *countingConn) Close() error                { return nil }

// Guards against a race of a write with a seal: either the seal fails or the write does not reach the server.
func TestSealExcludesWrites(t *testing.T) {
	for round := range 2000 {
		inner := &countingConn{}
		c := &conn{Conn: inner}
		_, _ = c.Write([]byte("earlier request"))
		var used usedConn
		used.record(httptrace.GotConnInfo{Conn: c})
		var done sync.WaitGroup
		if round > 0 { // the first round has no write
			done.Go(func() { _, _ = c.Write([]byte("request")) })
		}
		unsent := used.nothingWritten()
		done.Wait()
		if unsent == (inner.writes.Load() > 1) {
			t.Fatalf("nothing written is %t with %d writes", unsent, inner.writes.Load())
		}
	}
}
