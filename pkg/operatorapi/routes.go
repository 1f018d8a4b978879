package operatorapi

import (
	"context"
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/control"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
)

// commandTimeout limits one command, including the resolution of a write without a response.
const commandTimeout = 8 * time.Second

// RouteTimeout is the timeout that the server must allow for the routes (rest.WithTimeout). It is longer than
// commandTimeout, so that the server does not respond before the outcome of the command is known.
const RouteTimeout = commandTimeout + 2*time.Second

// Control is the part of the control state that the handlers use. *control.Service implements it.
type Control interface {
	Document() (structs.Document, structs.DocumentRecord, bool)
	Datacentre(id structs.DatacentreID) structs.DatacentreState
	DatacentreReport(id structs.DatacentreID) (control.ChangeReport, bool)
	KnownDatacentres() []structs.DatacentreID
	Confirmation() control.Confirmation
	StoreReachable() bool
	RemovalAttempted() bool
	Members() []structs.MemberRecord
	Owners() map[structs.ShardID]control.Ownership
	Try(ctx context.Context, text, author string) (control.DocumentResult, error)
	Promote(ctx context.Context, request control.PromoteRequest) (control.DocumentResult, error)
	History(ctx context.Context) ([]structs.DocumentRecord, error)
	SetDatacentre(ctx context.Context, id structs.DatacentreID, state structs.DatacentreState, author string) (control.ChangeReport, error)
}

// Config configures the routes.
type Config struct {
	Host        structs.HostID
	Environment string
	Now         func() time.Time // time.Now when nil
	Log         *eventlog.Logger // discards when nil
}

// api implements the handlers.
type api struct {
	cfg Config
	svc Control
}

// Routes returns the routes for operators. The server must allow RouteTimeout for them.
func Routes(svc Control, cfg Config) []rest.Route {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Log == nil {
		cfg.Log = eventlog.Discard()
	}
	a := &api{cfg: cfg, svc: svc}
	return []rest.Route{
		{Method: http.MethodPost, Path: "/v1/documents/validate", Handler: a.handle(a.validate)},
		{Method: http.MethodPost, Path: "/v1/documents/diff", Handler: a.handle(a.diff)},
		{Method: http.MethodPost, Path: "/v1/documents/try", Handler: a.handle(a.try)},
		{Method: http.MethodPost, Path: "/v1/documents/promote", Handler: a.handle(a.promote)},
		{Method: http.MethodGet, Path: "/v1/documents/current", Handler: a.handle(a.current)},
		{Method: http.MethodGet, Path: "/v1/documents/history", Handler: a.handle(a.history)},
		{Method: http.MethodGet, Path: "/v1/status", Handler: a.handle(a.status)},
		{Method: http.MethodPost, Path: "/v1/datacentres/:dc/out", Handler: a.handle(a.setDatacentre(structs.DatacentreOut))},
		{Method: http.MethodPost, Path: "/v1/datacentres/:dc/in", Handler: a.handle(a.setDatacentre(structs.DatacentreIn))},
	}
}
