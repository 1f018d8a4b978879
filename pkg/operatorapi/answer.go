package operatorapi

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"

	"fulmarcourse.example/core/document"
	"fulmarcourse.example/fulmarcourse/pkg/control"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/problem"
)

// handler returns the JSON value that answers a request, or an error.
type handler func(r *http.Request) (any, error)

// handle adds the time limit of a command to a handler and writes the answer or the problem.
func (a *api) handle(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), commandTimeout)
		defer cancel()
		answer, err := h(r.WithContext(ctx))
		if err != nil {
			p := toProblem(err)
			a.cfg.Log.Event(eventlog.OperatorCommandRejected).Str("path", r.URL.Path).Str("type", p.Type).
				Err(err).Msg("operator command rejected")
			problem.Write(w, p)
			return
		}
		encoded, err := json.Marshal(answer)
		if err != nil {
			a.cfg.Log.Event(eventlog.OperatorAnswerNotWritable).Str("path", r.URL.Path).Err(err).Msg("answer not encoded")
			problem.Write(w, toProblem(err))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(encoded) // fails only when the connection is closed
	}
}

// toProblem maps the errors of the handlers and of package control to problem details.
func toProblem(err error) problem.Problem {
	var (
		findings           document.Findings
		badRequest         *badRequestError
		versionConflict    *control.VersionConflictError
		datacentreConflict *control.DatacentreConflictError
	)
	switch {
	case errors.As(err, &findings):
		return problem.Problem{Type: ProblemFindings, Title: "The document has findings",
			Status: http.StatusUnprocessableEntity, Findings: toFindings(findings)}
	case errors.As(err, &badRequest):
		return problem.Problem{Type: ProblemBadRequest, Title: "The request cannot be used", Status: http.StatusBadRequest,
			Findings: []problem.Finding{{Place: badRequest.field, Message: badRequest.message, Accepted: badRequest.accepted}}}
	case errors.As(err, &versionConflict), errors.As(err, &datacentreConflict):
		return newProblem(ProblemConflict, "Another version or state is in effect", http.StatusConflict, err)
	}
	for _, known := range errorProblems {
		if errors.Is(err, known.err) {
			return newProblem(known.kind, known.title, known.status, err)
		}
	}
	return newProblem(ProblemInternal, "The command failed", http.StatusInternalServerError, err)
}

// errorProblems maps constant errors to problems. ErrOutcomeUnknown comes first, because an error that also wraps
// ErrNotApplied must not be reported as "no effect".
var errorProblems = []struct {
	err    error
	kind   string
	title  string
	status int
}{
	{control.ErrOutcomeUnknown, ProblemOutcomeUnknown, "It is not known whether the command took effect", http.StatusGatewayTimeout},
	{control.ErrNotApplied, ProblemNotApplied, "The command had no effect", http.StatusServiceUnavailable},
	{control.ErrNotTried, ProblemNotTried, "The document has not passed a try", http.StatusUnprocessableEntity},
	{control.ErrWrongEnvironment, ProblemWrongEnvironment, "The document is for another environment", http.StatusUnprocessableEntity},
	{control.ErrUnknownDatacentre, ProblemUnknownDatacentre, "Unknown data centre", http.StatusNotFound},
	{errNoDocument, ProblemNoDocument, "No document is in effect", http.StatusNotFound},
}

func newProblem(kind, title string, status int, err error) problem.Problem {
	return problem.Problem{Type: kind, Title: title, Status: status, Detail: err.Error()}
}

func toFindings(findings document.Findings) []problem.Finding {
	converted := make([]problem.Finding, len(findings))
	for i, f := range findings {
		converted[i] = problem.Finding{Place: f.Place(), Section: f.Section, Key: f.Key, Message: f.Message, Accepted: f.Accepted}
	}
	return converted
}
