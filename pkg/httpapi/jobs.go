package httpapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/problem"
)

// Errors of Jobs. The handlers also map errors.NotFound, errors.NotValid, errors.Forbidden and errors.AlreadyExists of
// juju/errors; any other error is reported as an internal error.
const (
	// ErrNotAccepted means that nothing was recorded, for example because the store is down.
	ErrNotAccepted = errors.ConstError("not accepted")
	// ErrOutcomeUnknown means that the change may have been recorded.
	ErrOutcomeUnknown = errors.ConstError("the change may have been recorded")
)

// Filter selects the jobs of a list. Empty fields match all jobs.
type Filter struct {
	Team structs.TeamName
	Kind structs.KindName
}

// Jobs submits and reads batch jobs.
type Jobs interface {
	Submit(ctx context.Context, spec structs.JobSpec) (structs.JobRecord, error)
	Get(ctx context.Context, id structs.JobID) (structs.JobRecord, error)
	List(ctx context.Context, filter Filter) ([]structs.JobRecord, error)
	Cancel(ctx context.Context, id structs.JobID) (structs.JobRecord, error)
	Explain(ctx context.Context, id structs.JobID) (Explanation, error)
	// Wait returns the job when it is final, or its latest known state when until is closed first.
	Wait(ctx context.Context, id structs.JobID, until <-chan struct{}) (structs.JobRecord, error)
}

// Explanation states for each task of a job why it waits or where it runs.
type Explanation struct {
	Job   structs.JobID `json:"job"`
	Tasks []string      `json:"tasks"` // one text per task
}

const (
	// DefaultWait and MaxWait are the default and the maximum timeout of GET /v1/jobs/{id}/wait.
	DefaultWait = 30 * time.Second
	MaxWait     = 5 * time.Minute
)

// submitJob handles POST /v1/jobs.
func (a *api) submitJob(w http.ResponseWriter, r *http.Request) {
	var spec structs.JobSpec
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, a.cfg.MaxBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&spec); err != nil {
		p := a.bodyProblem(err)
		if p.Status == http.StatusBadRequest {
			p.Type, p.Title = "/problems/invalid-job", "Invalid job"
		}
		problem.Write(w, *p)
		return
	}
	if key := r.Header.Get(KeyHeader); key != "" {
		if spec.Key != "" && spec.Key != key {
			problem.Write(w, problem.Problem{
				Type: "/problems/invalid-job", Title: "Invalid job", Status: http.StatusBadRequest,
				Detail: fmt.Sprintf("the body and the header %s name different keys", KeyHeader),
			})
			return
		}
		spec.Key = key
	}
	job, err := a.cfg.Jobs.Submit(r.Context(), spec)
	respond(w, http.StatusCreated, job, err)
}

// listJobs handles GET /v1/jobs?team=&kind=.
func (a *api) listJobs(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	jobs, err := a.cfg.Jobs.List(r.Context(), Filter{
		Team: structs.TeamName(query.Get("team")), Kind: structs.KindName(query.Get("kind")),
	})
	respond(w, http.StatusOK, jobs, err)
}

// getJob handles GET /v1/jobs/{id}.
func (a *api) getJob(w http.ResponseWriter, r *http.Request) {
	job, err := a.cfg.Jobs.Get(r.Context(), jobID(r))
	respond(w, http.StatusOK, job, err)
}

// cancelJob handles POST /v1/jobs/{id}/cancel.
func (a *api) cancelJob(w http.ResponseWriter, r *http.Request) {
	job, err := a.cfg.Jobs.Cancel(r.Context(), jobID(r))
	respond(w, http.StatusAccepted, job, err)
}

// explainJob handles GET /v1/jobs/{id}/explain.
func (a *api) explainJob(w http.ResponseWriter, r *http.Request) {
	explanation, err := a.cfg.Jobs.Explain(r.Context(), jobID(r))
	respond(w, http.StatusOK, explanation, err)
}

// waitJob handles GET /v1/jobs/{id}/wait?timeout=30s. It responds with 200 when the job is final, or with 202 and the
// current record at the timeout or at a shutdown.
func (a *api) waitJob(w http.ResponseWriter, r *http.Request) {
	timeout := DefaultWait
	if text := r.URL.Query().Get("timeout"); text != "" {
		parsed, err := time.ParseDuration(text)
		if err != nil || parsed < 0 || parsed > MaxWait {
			problem.Write(w, problem.Problem{
				Type: "/problems/invalid-request", Title: "Invalid request", Status: http.StatusBadRequest,
				Findings: []problem.Finding{{
					Place: "timeout", Message: fmt.Sprintf("%q is not a valid timeout", text),
					Accepted: fmt.Sprintf("a duration from 0s to %s, for example 30s", MaxWait),
				}},
			})
			return
		}
		timeout = parsed
	}
	until, cancel := a.waitLimit(timeout)
	defer cancel()
	job, err := a.cfg.Jobs.Wait(r.Context(), jobID(r), until)
	status := http.StatusOK
	if !job.Final() {
		status = http.StatusAccepted
	}
	respond(w, status, job, err)
}

// waitLimit returns a channel that is closed at the timeout, at a shutdown of the server, or by cancel.
func (a *api) waitLimit(timeout time.Duration) (until <-chan struct{}, cancel func()) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	go func() {
		defer cancel()
		select {
		case <-a.cfg.stopping:
		case <-ctx.Done():
		}
	}()
	return ctx.Done(), cancel
}

func jobID(r *http.Request) structs.JobID { return structs.JobID(pathvar.Vars(r)["id"]) }

// respond sends value as JSON with the given status, or the problem of err if it is not nil.
func respond(w http.ResponseWriter, status int, value any, err error) {
	if err != nil {
		writeJobProblem(w, err)
		return
	}
	data, err := json.Marshal(value)
	if err != nil {
		writeJobProblem(w, errors.Annotate(err, "encode answer"))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // fails only when the caller has disconnected
}

func writeJobProblem(w http.ResponseWriter, err error) {
	p := problem.Problem{Detail: err.Error()}
	switch {
	case errors.Is(err, errors.NotFound):
		p.Type, p.Title, p.Status = "/problems/unknown-job", "No such job", http.StatusNotFound
	case errors.Is(err, errors.NotValid):
		p.Type, p.Title, p.Status = "/problems/invalid-job", "Invalid job", http.StatusBadRequest
	case errors.Is(err, errors.Forbidden):
		p.Type, p.Title, p.Status = "/problems/not-allowed", "Not allowed", http.StatusForbidden
	case errors.Is(err, errors.AlreadyExists):
		p.Type, p.Title, p.Status = "/problems/key-reused", "The idempotency key was used for another job", http.StatusUnprocessableEntity
	case errors.Is(err, ErrNotAccepted):
		p.Type, p.Title, p.Status = "/problems/not-accepted", "Not accepted", http.StatusServiceUnavailable
		w.Header().Set("Retry-After", retryAfter)
	case errors.Is(err, ErrOutcomeUnknown):
		p.Type, p.Title, p.Status = "/problems/unknown", "It may have been accepted; repeat with the same idempotency key", http.StatusGatewayTimeout
	default:
		p.Type, p.Title, p.Status = "/problems/internal", "Internal error", http.StatusInternalServerError
	}
	problem.Write(w, p)
}
