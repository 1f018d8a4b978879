package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"fulmarcourse.example/fulmarcourse/pkg/problem"
)

const (
	defaultServer = "http://127.0.0.1:8080"
	serviceName   = "fulmarctl"
	// maxReplyBytes limits the memory for one reply. The largest reply is a list of jobs.
	maxReplyBytes = 256 << 20
	// dialTimeout bounds the connection attempt to a server that does not respond, so that the next one is tried soon.
	dialTimeout = 2 * time.Second
)

// serverList is the value of -server: the servers in the order in which they are tried.
type serverList []string

// String returns the servers separated by commas.
func (l *serverList) String() string { return strings.Join(*l, ",") }

// Set adds one or more servers, separated by commas. It rejects host names, since fulmarctl does not resolve names.
func (l *serverList) Set(text string) error {
	for _, server := range strings.Split(text, ",") {
		parsed, err := url.Parse(strings.TrimSpace(server))
		if err != nil || parsed.Scheme != "http" || strings.Trim(parsed.Path, "/") != "" {
			return errors.Errorf("%q is not of the form http://IP:port", server)
		}
		if _, err := netip.ParseAddrPort(parsed.Host); err != nil {
			return errors.Errorf("%q has no IP address with a port", server)
		}
		*l = append(*l, "http://"+parsed.Host)
	}
	return nil
}

func (l *serverList) setDefault(fromEnvironment string) error {
	if fromEnvironment == "" {
		fromEnvironment = defaultServer
	}
	return l.Set(fromEnvironment)
}

// retryPolicy defines after which failures a call may be sent to the next server.
type retryPolicy int

const (
	// retryAlways is for calls that change nothing or are idempotent: they go to the next server after any failure that
	// leaves them not run or their outcome unknown.
	retryAlways retryPolicy = iota
	// retryIfNotRun is for other calls: they go to the next server only if they were certainly not run.
	retryIfNotRun
)

// apiCall is one HTTP call to an entry host.
type apiCall struct {
	method, path string
	body         any // nil: no body
	retry        retryPolicy
	mutates      bool // whether the call may change state on the server
}

// client calls entry hosts, in the order given by -server.
type client struct {
	app     *app
	service httpc.Service
}

func newClient(a *app) *client {
	// fulmarctl selects the servers itself; a circuit breaker would reject calls after failures.
	breaker.NoBreakerFor(serviceName)
	return &client{app: a, service: httpc.NewServiceWithClient(serviceName, &http.Client{
		// Each call uses a new connection, since net/http retries requests by itself on reused connections.
		Transport:     &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	})}
}

// do sends a call to the servers in order until one replies or the retry policy forbids another attempt. It decodes the
// reply into result.
func (c *client) do(ctx context.Context, call apiCall, result any) error {
	var last *failure
	for _, server := range c.app.options.servers {
		reply, f := c.send(ctx, server, call)
		if f == nil {
			if err := json.Unmarshal(reply, result); err != nil {
				return c.decodeFailure(server, call, err)
			}
			return nil
		}
		last = mergeFailures(last, f)
		if !call.mayContinue(f) {
			break
		}
	}
	return last
}

// mayContinue reports whether the call may be sent to the next server after f.
func (call apiCall) mayContinue(f *failure) bool {
	switch f.code {
	case exitNotRun:
		return true
	case exitUnknown:
		return call.retry == retryAlways
	}
	return false
}

// mergeFailures returns the failure to report after two attempts: the later one, unless the earlier attempt had an
// unknown outcome and the later one was not run.
func mergeFailures(before, now *failure) *failure {
	if before != nil && before.code == exitUnknown && now.code == exitNotRun {
		return before
	}
	return now
}

func (c *client) decodeFailure(server string, call apiCall, err error) error {
	code := exitNotRun
	if call.mutates {
		code = exitUnknown
	}
	return fail(code, "the reply of "+server+" cannot be read", err.Error())
}

// send sends a call to one server and returns the body of the reply.
func (c *client) send(ctx context.Context, server string, call apiCall) ([]byte, *failure) {
	ctx, cancel := context.WithTimeout(ctx, c.app.options.timeout)
	defer cancel()
	request, err := call.request(ctx, server)
	if err != nil {
		return nil, &failure{code: exitNotRun, problem: noReplyProblem(server, err)}
	}
	response, err := c.service.DoRequest(request)
	if err != nil {
		return nil, call.transportFailure(server, err)
	}
	defer func() { _ = response.Body.Close() }()
	reply, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return nil, call.transportFailure(server, err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, failureOf(response.StatusCode, reply, call.mutates)
	}
	return reply, nil
}

func (call apiCall) request(ctx context.Context, server string) (*http.Request, error) {
	var body io.Reader
	if call.body != nil {
		encoded, err := json.Marshal(call.body)
		if err != nil {
			return nil, errors.Trace(err)
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, call.method, server+call.path, body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

// transportFailure returns the failure of a call without a complete reply. If the connection attempt failed, nothing
// was sent, so the call was certainly not run.
func (call apiCall) transportFailure(server string, err error) *failure {
	var op *net.OpError
	notSent := errors.As(err, &op) && op.Op == "dial"
	code := exitUnknown
	if notSent || !call.mutates {
		code = exitNotRun
	}
	return &failure{code: code, problem: noReplyProblem(server, err)}
}

func noReplyProblem(server string, err error) problem.Problem {
	return problem.Problem{Title: "no reply from " + server, Detail: err.Error()}
}
