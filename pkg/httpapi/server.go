// Package httpapi is the HTTP interface for callers: requests of latency-critical services and batch jobs. Errors
// are problem details (RFC 9457).
package httpapi

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
)

const (
	// DefaultMaxBody bounds request bodies, in bytes.
	DefaultMaxBody = 1 << 20
	// readHeaderTimeout ends connections that send no complete request header.
	readHeaderTimeout = 10 * time.Second
	// forceQuitAfter replaces go-zero's own limit of 5.5 s between SIGTERM and killing the process, which would
	// interrupt requests; the process ends by its own graceful shutdown.
	forceQuitAfter = 24 * time.Hour
)

// Requests serves requests of latency-critical services.
type Requests interface {
	Serve(ctx context.Context, req structs.Request) structs.Reply
}

// Catalogue knows the kinds of the document in effect.
type Catalogue interface {
	// Kind returns a latency-critical kind of a service.
	Kind(service structs.ServiceName, kind structs.KindName) (structs.Kind, bool)
}

// Config configures a Server.
type Config struct {
	Address   string // IP:port to listen on; port 0 takes a free one
	Requests  Requests
	Catalogue Catalogue
	Jobs      Jobs
	Healthy   func() error // whether the process works, for /healthz
	Ready     func() error // whether it takes new requests, for /readyz
	MaxBody   int64        // bytes; DefaultMaxBody when 0
	Routes    []rest.Route // further routes, for example those for operators
	Now       func() time.Time
	Scope     tally.Scope      // tally.NoopScope when nil
	Log       *eventlog.Logger // discards when nil

	stopping chan struct{} // closed by Stop; ends calls that only wait
}

// Server serves the HTTP interface for callers.
type Server struct {
	cfg      Config
	listener net.Listener
	http     *http.Server
	stopOnce sync.Once
}

// NewServer builds the routes and listens. Serve answers requests.
func NewServer(cfg Config) (*Server, error) {
	if cfg.MaxBody <= 0 {
		cfg.MaxBody = DefaultMaxBody
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	if cfg.Log == nil {
		cfg.Log = eventlog.Discard()
	}
	cfg.stopping = make(chan struct{})
	handler, err := newHandler(cfg)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, errors.Annotatef(err, "listen on %s", cfg.Address)
	}
	return &Server{
		cfg:      cfg,
		listener: listener,
		http:     &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout},
	}, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Serve answers requests until Stop is called. It returns nil after a Stop.
func (s *Server) Serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	s.cfg.Log.Event(eventlog.HTTPServeFailed).Err(err).Msg("")
	return errors.Annotate(err, "HTTP interface")
}

// Stop closes the listener and waits for the requests in progress. When ctx ends first, their connections are
// closed and an error is returned.
func (s *Server) Stop(ctx context.Context) error {
	s.stopOnce.Do(func() { close(s.cfg.stopping) })
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close() // the error of Shutdown tells more
		return errors.Annotate(err, "stop HTTP interface")
	}
	return nil
}

// newHandler returns the routes as one handler. go-zero's rest server provides routing, tracing and
// recovery; the listener is our own, because rest.Server can only be stopped by a signal to the process.
func newHandler(cfg Config) (http.Handler, error) {
	host, port, err := net.SplitHostPort(cfg.Address)
	if err != nil {
		return nil, errors.NotValidf("address %q", cfg.Address)
	}
	if net.ParseIP(host) == nil {
		return nil, errors.NotValidf("address %q: host that is not an IP number", cfg.Address)
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return nil, errors.NotValidf("address %q: port", cfg.Address)
	}
	server, err := rest.NewServer(restConf(host, number),
		rest.WithNotFoundHandler(http.HandlerFunc(notFound)),
		rest.WithNotAllowedHandler(http.HandlerFunc(notAllowed)))
	if err != nil {
		return nil, errors.Annotate(err, "rest server")
	}
	// NewServer has set go-zero's shutdown times from its own defaults.
	proc.SetTimeToForceQuit(forceQuitAfter)
	api := &api{cfg: cfg}
	server.AddRoutes(api.routes())
	server.AddRoutes(cfg.Routes)
	serverless, err := rest.NewServerless(server)
	if err != nil {
		return nil, errors.Annotate(err, "routes")
	}
	return http.HandlerFunc(serverless.Serve), nil
}

// restConf returns the settings of go-zero's rest server. These of its middlewares are off because they change
// outcomes: Timeout answers 503 while a request may still run, Shedding, Breaker and MaxConns reject without an
// outcome and by criteria of their own, MaxBytes answers without a problem body, and Gunzip changes what the
// runner gets. Log would write a line per request past the event log, and metrics are kept with tally.
func restConf(host string, port int) rest.RestConf {
	return rest.RestConf{
		ServiceConf: service.ServiceConf{Name: "fulmarcourse", Mode: service.ProMode},
		Host:        host,
		Port:        port,
		Middlewares: rest.MiddlewaresConf{Trace: true, Recover: true},
	}
}
