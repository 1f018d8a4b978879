// Package httpapi implements the HTTP interface for callers: requests of latency-critical services and batch jobs.
// Errors are problem details (RFC 9457).
package httpapi

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"
	"github.com/zeromicro/go-zero/rest"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/gozero"
)

const (
	// DefaultMaxBody is the default limit of request bodies in bytes.
	DefaultMaxBody = 1 << 20
	// readHeaderTimeout closes connections that do not send a complete request header in time.
	readHeaderTimeout = 10 * time.Second
)

// Requests serves requests of latency-critical services.
type Requests interface {
	Serve(ctx context.Context, req structs.Request) structs.Reply
}

// Catalogue contains the kinds of the document in effect.
type Catalogue interface {
	// Kind returns a latency-critical kind of a service, or false if there is none.
	Kind(service structs.ServiceName, kind structs.KindName) (structs.Kind, bool)
}

// Config configures a Server.
type Config struct {
	Address   string // IP:port to listen on; port 0 selects a free port
	Requests  Requests
	Catalogue Catalogue
	Jobs      Jobs
	Healthy   func() error     // returns nil while the process works, for /healthz
	Ready     func() error     // returns nil while it accepts new requests, for /readyz
	MaxBody   int64            // bytes; DefaultMaxBody when 0
	Routes    []rest.Route     // further routes, for example those for operators
	Now       func() time.Time // time.Now when nil
	Scope     tally.Scope      // tally.NoopScope when nil
	Log       *eventlog.Logger // discards when nil

	stopping chan struct{} // closed by Stop; ends calls that wait for a job
}

// Server serves the HTTP interface for callers.
type Server struct {
	cfg      Config
	listener net.Listener
	http     *http.Server
	stopOnce sync.Once
}

// NewServer builds the routes and listens on Address. Requests are served after Serve is called.
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

// Serve handles requests until Stop is called, and then returns nil.
func (s *Server) Serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	s.cfg.Log.Event(eventlog.HTTPServeFailed).Err(err).Msg("")
	return errors.Annotate(err, "HTTP interface")
}

// Stop closes the listener and waits for the requests in progress. If ctx ends first, it closes their connections and
// returns an error.
func (s *Server) Stop(ctx context.Context) error {
	s.stopOnce.Do(func() { close(s.cfg.stopping) })
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close() // the error of Shutdown is returned instead
		return errors.Annotate(err, "stop HTTP interface")
	}
	return nil
}

// newHandler returns one handler for all routes, including those of the configuration.
func newHandler(cfg Config) (http.Handler, error) {
	api := &api{cfg: cfg}
	return gozero.NewHandler(cfg.Address, http.HandlerFunc(notFound), http.HandlerFunc(methodNotAllowed),
		append(api.routes(), cfg.Routes...)...)
}
