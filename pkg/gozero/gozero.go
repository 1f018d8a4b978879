// Package gozero configures the process-wide parts of go-zero, its logger and its signal handling, and wraps handlers
// in its REST server.
package gozero

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/handler"

	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
)

// forceQuit is go-zero's time limit of a shutdown. It is longer than any accepted shutdown timeout, so that it never
// applies.
const forceQuit = 24 * time.Hour

// writer implements logx.Writer and logs the messages of go-zero's logger as events.
type writer struct {
	logger *eventlog.Logger
}

// Configure makes go-zero's package-level logger write its errors to logger. Informational messages are disabled: the
// HTTP client logs one per call, which would be most of the log of an idle host.
//
// go-zero also handles SIGTERM and by default kills the process 5.5 s later, which would abort requests in progress.
// The daemon bounds its own shutdown, so go-zero's limit is raised to forceQuit.
func Configure(logger *eventlog.Logger) {
	proc.SetTimeToForceQuit(forceQuit)
	// go-zero's server also sets up the logger, which replaces the writer. The set-up takes effect only once, so it is
	// done here before the writer is set.
	logx.MustSetup(logx.LogConf{ServiceName: "fulmard", Mode: "console", Level: "error"})
	logx.SetWriter(writer{logger})
	logx.SetLevel(logx.ErrorLevel)
	logx.DisableStat()
}

// httpPrefix is the prefix of the messages of go-zero's HTTP client about failed or slow calls. They are dropped: the
// callers log failures with their consequences, and calls that wait for an event are slow by design.
const httpPrefix = "[HTTP]"

func (w writer) write(code eventlog.Code, v any, fields []logx.LogField) {
	if text, ok := v.(string); ok && strings.HasPrefix(text, httpPrefix) {
		return
	}
	entry := w.logger.Event(code)
	for _, field := range fields {
		entry = entry.Any(field.Key, field.Value)
	}
	entry.Msg(fmt.Sprint(v))
}

func (w writer) Alert(v any)                          { w.write(eventlog.LibraryError, v, nil) }
func (w writer) Close() error                         { return nil }
func (w writer) Debug(v any, fields ...logx.LogField) { w.write(eventlog.LibraryInfo, v, fields) }
func (w writer) Error(v any, fields ...logx.LogField) { w.write(eventlog.LibraryError, v, fields) }
func (w writer) Info(v any, fields ...logx.LogField)  { w.write(eventlog.LibraryInfo, v, fields) }
func (w writer) Severe(v any)                         { w.write(eventlog.LibraryError, v, nil) }
func (w writer) Slow(v any, fields ...logx.LogField)  { w.write(eventlog.LibraryInfo, v, fields) }
func (w writer) Stack(v any)                          { w.write(eventlog.LibraryError, v, nil) }
func (w writer) Stat(v any, fields ...logx.LogField)  { w.write(eventlog.LibraryInfo, v, fields) }

// Wrap adds go-zero's request spans and recovery from panics to a handler that does its own routing.
func Wrap(name string, next http.Handler) http.Handler {
	return handler.TraceHandler(name, "")(handler.RecoverHandler(next))
}

// NewHandler returns a handler for routes that uses go-zero's REST server, which adds a span for each request and
// recovers from panics. The caller provides the listener, because rest.Server can be stopped only by a signal to the
// process. The address is "IP:port". Requests for a path without a route go to notFound, and those with another method
// than the route's to notAllowed.
func NewHandler(address string, notFound, notAllowed http.Handler, routes ...rest.Route) (http.Handler, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.NotValidf("address %q", address)
	}
	if net.ParseIP(host) == nil {
		return nil, errors.NotValidf("address %q: host (must be an IP address)", address)
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return nil, errors.NotValidf("address %q: port", address)
	}
	server, err := rest.NewServer(restConf(host, number),
		rest.WithNotFoundHandler(notFound), rest.WithNotAllowedHandler(notAllowed))
	if err != nil {
		return nil, errors.Annotate(err, "rest server")
	}
	// NewServer resets go-zero's shutdown times to its defaults.
	proc.SetTimeToForceQuit(forceQuit)
	server.AddRoutes(routes)
	serverless, err := rest.NewServerless(server)
	if err != nil {
		return nil, errors.Annotate(err, "routes")
	}
	return http.HandlerFunc(serverless.Serve), nil
}

// restConf returns the configuration of go-zero's REST server. Only Trace and Recover are enabled. The following
// middlewares are disabled because they change outcomes: Timeout answers 503 while a request may still be running;
// Shedding, Breaker and MaxConns reject requests by their own criteria and without an outcome; MaxBytes answers without
// problem details; Gunzip changes the body that the runner receives. Log would write a line per request outside the
// event log, and metrics are reported with tally.
func restConf(host string, port int) rest.RestConf {
	return rest.RestConf{
		ServiceConf: service.ServiceConf{Name: "fulmarcourse", Mode: service.ProMode},
		Host:        host,
		Port:        port,
		Middlewares: rest.MiddlewaresConf{Trace: true, Recover: true},
	}
}
