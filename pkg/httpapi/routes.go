package httpapi

import (
	"net/http"

	"github.com/zeromicro/go-zero/rest"

	"fulmarcourse.example/fulmarcourse/pkg/problem"
)

// api implements the handlers.
type api struct {
	cfg Config
}

func (a *api) routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: "/v1/services/:service/:kind", Handler: a.serveRequest},
		{Method: http.MethodPost, Path: "/v1/jobs", Handler: a.submitJob},
		{Method: http.MethodGet, Path: "/v1/jobs", Handler: a.listJobs},
		{Method: http.MethodGet, Path: "/v1/jobs/:id", Handler: a.getJob},
		{Method: http.MethodPost, Path: "/v1/jobs/:id/cancel", Handler: a.cancelJob},
		{Method: http.MethodGet, Path: "/v1/jobs/:id/explain", Handler: a.explainJob},
		{Method: http.MethodGet, Path: "/v1/jobs/:id/wait", Handler: a.waitJob},
		{Method: http.MethodGet, Path: "/healthz", Handler: healthHandler(a.cfg.Healthy)},
		{Method: http.MethodGet, Path: "/readyz", Handler: healthHandler(a.cfg.Ready)},
	}
}

// healthHandler responds with 200 while check returns nil, and with 503 and the reason otherwise. A nil check always
// passes.
func healthHandler(check func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if check != nil {
			if err := check(); err != nil {
				problem.Write(w, problem.Problem{Title: "Not available", Status: http.StatusServiceUnavailable, Detail: err.Error()})
				return
			}
		}
		w.WriteHeader(http.StatusOK)
	}
}

func notFound(w http.ResponseWriter, r *http.Request) {
	problem.Write(w, problem.Problem{
		Type: "/problems/not-found", Title: "No such resource", Status: http.StatusNotFound, Detail: r.URL.Path,
	})
}

func methodNotAllowed(w http.ResponseWriter, r *http.Request) {
	problem.Write(w, problem.Problem{
		Type: "/problems/method-not-allowed", Title: "Method not allowed here", Status: http.StatusMethodNotAllowed,
		Detail: r.Method + " " + r.URL.Path,
	})
}
