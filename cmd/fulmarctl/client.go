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
	// maxReplyBytes limits the memory for one reply; a list of jobs is the longest.
	maxReplyBytes = 256 << 20
	// dialTimeout limits the wait for a server that does not answer at all, so that the next one is tried soon.
	dialTimeout = 2 * time.Second
)

// serverList is the value of -server. It keeps the order in which servers are tried.
type serverList []string

// String returns the servers separated by commas.
func (l *serverList) String() string { return strings.Join(*l, ",") }

// Set adds one or more servers. Host names are rejected: addresses are never resolved.
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

// repeat tells when a call may be sent to the next server.
type repeat int

const (
	// repeatSafe calls change nothing or can be applied twice, so any failure leads to the next server.
	repeatSafe repeat = iota
	// repeatIfNotRun calls go to the next server only when the one before has certainly not run them.
	repeatIfNotRun
)

// call is one HTTP call.
type call struct {
	method, path string
	body         any // nil: no body
	repeat       repeat
	changes      bool // whether it may change anything
}

// client calls entry hosts in the order of -server.
type client struct {
	app     *app
	service httpc.Service
}

func newClient(a *app) *client {
	// fulmarctl itself decides which server to call; a breaker would reject calls after failures.
	breaker.NoBreakerFor(serviceName)
	return &client{app: a, service: httpc.NewServiceWithClient(serviceName, &http.Client{
		// A new connection per call: net/http sends requests again only on connections that were idle before.
		Transport:     &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	})}
}

// do sends a call to the servers in order until one settles it, and decodes the reply into result.
func (c *client) do(ctx context.Context, one call, result any) error {
	var last *failure
	for _, server := range c.app.options.servers {
		reply, f := c.send(ctx, server, one)
		if f == nil {
			if err := json.Unmarshal(reply, result); err != nil {
				return c.badReply(server, one, err)
			}
			return nil
		}
		last = worse(last, f)
		if !one.mayContinue(f) {
			break
		}
	}
	return last
}

// mayContinue reports whether the next server may be called after a failure.
func (one call) mayContinue(f *failure) bool {
	switch f.code {
	case exitNotRun:
		return true
	case exitUnknown:
		return one.repeat == repeatSafe
	}
	return false
}

// worse keeps an unknown outcome when a later server only says that it has not run the call.
func worse(before, now *failure) *failure {
	if before != nil && before.code == exitUnknown && now.code == exitNotRun {
		return before
	}
	return now
}

func (c *client) badReply(server string, one call, err error) error {
	code := exitNotRun
	if one.changes {
		code = exitUnknown
	}
	return fail(code, "the reply of "+server+" cannot be read", err.Error())
}

// send makes one call to one server.
func (c *client) send(ctx context.Context, server string, one call) ([]byte, *failure) {
	ctx, cancel := context.WithTimeout(ctx, c.app.options.timeout)
	defer cancel()
	request, err := one.request(ctx, server)
	if err != nil {
		return nil, &failure{code: exitNotRun, problem: noReply(server, err)}
	}
	response, err := c.service.DoRequest(request)
	if err != nil {
		return nil, one.transportFailure(server, err)
	}
	defer func() { _ = response.Body.Close() }()
	reply, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return nil, one.transportFailure(server, err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, toFailure(response.StatusCode, reply, one.changes)
	}
	return reply, nil
}

func (one call) request(ctx context.Context, server string) (*http.Request, error) {
	var body io.Reader
	if one.body != nil {
		encoded, err := json.Marshal(one.body)
		if err != nil {
			return nil, errors.Trace(err)
		}
		body = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, one.method, server+one.path, body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, nil
}

// transportFailure handles a call without a reply. A failed connection attempt has certainly sent nothing.
func (one call) transportFailure(server string, err error) *failure {
	var op *net.OpError
	notSent := errors.As(err, &op) && op.Op == "dial"
	code := exitUnknown
	if notSent || !one.changes {
		code = exitNotRun
	}
	return &failure{code: code, problem: noReply(server, err)}
}

func noReply(server string, err error) problem.Problem {
	return problem.Problem{Title: "no reply from " + server, Detail: err.Error()}
}
