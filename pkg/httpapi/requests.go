package httpapi

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/problem"
)

// Headers of requests and their replies.
const (
	TimeoutHeader   = "Request-Timeout-Ms" // of the request: milliseconds until the deadline
	KeyHeader       = "Idempotency-Key"
	OutcomeHeader   = "Fulmarcourse-Outcome"
	RequestIDHeader = "Request-Id"
)

// Limits of requests.
const (
	// DefaultDeadline applies when neither the request nor its kind sets a deadline.
	DefaultDeadline = 2 * time.Second
	// MaxDeadline is the longest deadline of a request. It is well below the longest that shard owners accept.
	MaxDeadline = 5 * time.Minute
	// MaxKey is the maximum length of an idempotency key in bytes.
	MaxKey = 255
	// retryAfter is the value in seconds of the Retry-After header for requests that were not run.
	retryAfter = "1"
)

// serveRequest handles POST /v1/services/{service}/{kind}.
func (a *api) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := uuid.NewString()
	w.Header().Set(RequestIDHeader, id)
	req, invalid := a.readRequest(w, r, id)
	if invalid != nil {
		invalid.Outcome = string(structs.NotRun)
		w.Header().Set(OutcomeHeader, invalid.Outcome)
		problem.Write(w, *invalid)
		return
	}
	writeReply(w, a.cfg.Requests.Serve(r.Context(), req))
}

// readRequest parses a request. If the request is invalid, it returns the problem, and nothing was run.
func (a *api) readRequest(w http.ResponseWriter, r *http.Request, id string) (structs.Request, *problem.Problem) {
	start := a.cfg.Now()
	vars := pathvar.Vars(r)
	service, kindName := structs.ServiceName(vars["service"]), structs.KindName(vars["kind"])
	kind, known := a.cfg.Catalogue.Kind(service, kindName)
	if !known {
		return structs.Request{}, &problem.Problem{
			Type: "/problems/unknown-kind", Title: "No such service or kind", Status: http.StatusNotFound,
			Detail: fmt.Sprintf("service %q has no latency-critical kind %q", service, kindName),
		}
	}
	deadline, findings := readHeaders(r, kind)
	if len(findings) > 0 {
		return structs.Request{}, &problem.Problem{
			Type: "/problems/invalid-request", Title: "Invalid request", Status: http.StatusBadRequest, Findings: findings,
		}
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, a.cfg.MaxBody))
	if err != nil {
		return structs.Request{}, a.bodyProblem(err)
	}
	return structs.Request{
		ID: id, Service: service, Kind: kindName, Idempotent: kind.Idempotent, Key: r.Header.Get(KeyHeader),
		Remaining: deadline - a.cfg.Now().Sub(start), Body: body,
	}, nil
}

func (a *api) bodyProblem(err error) *problem.Problem {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &problem.Problem{
			Type: "/problems/too-large", Title: "Request body too large", Status: http.StatusRequestEntityTooLarge,
			Detail: fmt.Sprintf("at most %d bytes are accepted", a.cfg.MaxBody),
		}
	}
	return &problem.Problem{
		Type: "/problems/incomplete-body", Title: "Request body could not be read", Status: http.StatusBadRequest,
		Detail: err.Error(),
	}
}

// readHeaders returns the deadline of a request and the findings for all invalid headers.
func readHeaders(r *http.Request, kind structs.Kind) (time.Duration, []problem.Finding) {
	var findings []problem.Finding
	deadline := kind.Deadline
	if deadline <= 0 {
		deadline = DefaultDeadline
	}
	if text := r.Header.Get(TimeoutHeader); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 || ms > MaxDeadline.Milliseconds() {
			findings = append(findings, problem.Finding{
				Place: TimeoutHeader, Message: fmt.Sprintf("%q is not a valid timeout", text),
				Accepted: fmt.Sprintf("whole milliseconds from 1 to %d", MaxDeadline.Milliseconds()),
			})
		}
		deadline = time.Duration(ms) * time.Millisecond
	}
	if key := r.Header.Get(KeyHeader); len(key) > MaxKey {
		findings = append(findings, problem.Finding{
			Place: KeyHeader, Message: fmt.Sprintf("key of %d bytes is too long", len(key)),
			Accepted: fmt.Sprintf("at most %d bytes", MaxKey),
		})
	}
	return deadline, findings
}

// writeReply sends the complete answer of the runner, or a problem if there is none.
func writeReply(w http.ResponseWriter, reply structs.Reply) {
	w.Header().Set(OutcomeHeader, string(reply.Outcome))
	if reply.Outcome != structs.Answered {
		writeOutcomeProblem(w, reply)
		return
	}
	if bodyAllowed(reply.Status) {
		w.Header().Set("Content-Type", contentType(reply.Body))
		w.Header().Set("Content-Length", strconv.Itoa(len(reply.Body)))
	}
	w.WriteHeader(reply.Status)
	if bodyAllowed(reply.Status) {
		// A write fails only when the caller has disconnected; the content length reveals an incomplete body.
		_, _ = w.Write(reply.Body)
	}
}

// bodyAllowed reports whether HTTP allows a body with the status.
func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// contentType returns the media type of an answer. Runners answer in JSON; any other body is sent as an octet stream.
func contentType(body []byte) string {
	if json.Valid(body) {
		return "application/json"
	}
	return "application/octet-stream"
}

func writeOutcomeProblem(w http.ResponseWriter, reply structs.Reply) {
	p := problem.Problem{Type: "/problems/" + reply.Reason, Outcome: string(reply.Outcome), Detail: reply.Reason}
	switch {
	case reply.Reason == structs.ReasonInProgress:
		p.Status, p.Title = http.StatusConflict, "A request with this idempotency key is in progress"
	case reply.Reason == structs.ReasonKeyReused:
		p.Status, p.Title = http.StatusUnprocessableEntity, "The idempotency key was used with another body"
	case reply.Reason == structs.ReasonStoreUnavailable:
		p.Status, p.Title = http.StatusServiceUnavailable, "The request was not run: its idempotency key could not be recorded"
		p.Detail = "this submission was not run; the outcome of earlier ones with the same key is not known here"
		w.Header().Set("Retry-After", retryAfter)
	case reply.Outcome == structs.NotRun:
		p.Status, p.Title = http.StatusServiceUnavailable, "The request was not run"
		w.Header().Set("Retry-After", retryAfter)
	case reply.Reason == structs.ReasonDeadline:
		p.Status, p.Title = http.StatusGatewayTimeout, "No answer by the deadline; the request may have run"
	default:
		p.Status, p.Title = http.StatusBadGateway, "The answer was lost; the request may have run"
	}
	problem.Write(w, p)
}
