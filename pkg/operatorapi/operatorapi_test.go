package operatorapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/zeromicro/go-zero/rest/router"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/control"
	"fulmarcourse.example/fulmarcourse/pkg/problem"
)

// fakeControl records every command and returns err.
type fakeControl struct {
	Control
	err      error
	commands []string // that reached the control state
}

func (f *fakeControl) Document() (structs.Document, structs.DocumentRecord, bool) {
	return structs.Document{}, structs.DocumentRecord{}, false
}
func (f *fakeControl) Try(context.Context, string, string) (control.DocumentResult, error) {
	f.commands = append(f.commands, "try")
	return control.DocumentResult{Outcome: control.Applied, Version: 3}, f.err
}
func (f *fakeControl) Promote(_ context.Context, request control.PromoteRequest) (control.DocumentResult, error) {
	f.commands = append(f.commands, "promote "+string(request.Digest))
	return control.DocumentResult{Outcome: control.Applied, Version: request.ExpectedVersion + 1}, f.err
}
func (f *fakeControl) SetDatacentre(_ context.Context, id structs.DatacentreID, state structs.DatacentreState, author string) (control.ChangeReport, error) {
	f.commands = append(f.commands, string(state)+" "+string(id)+" by "+author)
	return control.ChangeReport{Datacentre: id, State: state, Outcome: control.Applied}, f.err
}
func (f *fakeControl) Confirmation() control.Confirmation {
	return control.Confirmation{Revision: 7, ReadAt: now.Add(-time.Second)}
}
func (f *fakeControl) StoreReachable() bool                     { return true }
func (f *fakeControl) RemovalAttempted() bool                   { return false }
func (f *fakeControl) Members() []structs.MemberRecord          { return nil }
func (f *fakeControl) KnownDatacentres() []structs.DatacentreID { return []structs.DatacentreID{"a"} }
func (f *fakeControl) Datacentre(structs.DatacentreID) structs.DatacentreState {
	return structs.DatacentreOut
}
func (f *fakeControl) DatacentreReport(id structs.DatacentreID) (control.ChangeReport, bool) {
	return control.ChangeReport{Datacentre: id, Revision: 5}, true
}
func (f *fakeControl) Owners() map[structs.ShardID]control.Ownership {
	return map[structs.ShardID]control.Ownership{
		{Datacentre: "a", Index: 1}: {Epoch: 9}, {Datacentre: "a", Index: 0}: {Epoch: 8}}
}

var now = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func call(t *testing.T, svc Control, method, path, body string) *httptest.ResponseRecorder {
	t.Helper()
	mux := router.NewRouter()
	for _, route := range Routes(svc, Config{Host: "a1", Now: func() time.Time { return now }}) {
		if err := mux.Handle(route.Method, route.Path, route.Handler); err != nil {
			t.Fatal(err)
		}
	}
	recorder := httptest.NewRecorder()
	mux.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
	return recorder
}

const validBody = `{"text":"[environment]\nname = production\n[datacentre a]\nbatch = yes\n","author":"ann"}`

// Guards against requests that do not reach the control state or reach it with wrong arguments.
func TestCommands(t *testing.T) {
	cases := []struct {
		method, path, body, command, want string
	}{
		{"POST", "/v1/documents/validate", validBody, "", `"environment":"production"`},
		{"POST", "/v1/documents/diff", validBody, "", `{"action":"added","section":"datacentre a"}`},
		{"POST", "/v1/documents/try", validBody, "try", `"version":3`},
		{"POST", "/v1/documents/promote", `{"digest":"d","expected_version":3,"author":"ann"}`, "promote d", `"version":4`},
		{"POST", "/v1/datacentres/a/out", `{"author":"ann"}`, "out a by ann", `"state":"out"`},
		{"POST", "/v1/datacentres/a/in", `{"author":"ann"}`, "in a by ann", `"state":"in"`},
		{"GET", "/v1/status", "", "", `"revision":7,"revision_age_ms":1000`},
	}
	for _, c := range cases {
		t.Run(c.path, func(t *testing.T) {
			svc := &fakeControl{}
			answer := call(t, svc, c.method, c.path, c.body)
			if answer.Code != http.StatusOK || !strings.Contains(answer.Body.String(), c.want) {
				t.Errorf("status %d, body %s; want %s", answer.Code, answer.Body, c.want)
			}
			if got := strings.Join(svc.commands, ","); got != c.command {
				t.Errorf("the control state received %q, want %q", got, c.command)
			}
		})
	}
}

// Guards against invalid input that has an effect, or whose problem does not name the place of the error.
func TestUnusableInput(t *testing.T) {
	cases := []struct {
		name, path, body string
		status           int
		place            string
	}{
		{"faulty document", "/v1/documents/try", `{"name":"env.ini","text":"[kind]","author":"ann"}`, 422, "env.ini:1"},
		{"no author", "/v1/documents/try", strings.Replace(validBody, "ann", "", 1), 400, "author"},
		{"no digest", "/v1/documents/promote", `{"author":"ann"}`, 400, "digest"},
		{"misspelt field", "/v1/documents/promote", `{"digest":"d","expectedVersion":3,"author":"ann"}`, 400, "body"},
		{"no JSON", "/v1/datacentres/a/out", "", 400, "body"},
		{"too long", "/v1/documents/validate", `{"text":"` + strings.Repeat("x", maxBodyBytes) + `"}`, 400, "body"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			svc := &fakeControl{}
			answer := call(t, svc, "POST", c.path, c.body)
			var p problem.Problem
			if err := json.Unmarshal(answer.Body.Bytes(), &p); err != nil {
				t.Fatal(err)
			}
			if answer.Code != c.status || p.Status != c.status || len(p.Findings) == 0 || p.Findings[0].Place != c.place {
				t.Errorf("status %d, problem %+v", answer.Code, p)
			}
			if len(svc.commands) > 0 {
				t.Errorf("the control state received %v", svc.commands)
			}
		})
	}
}

// Guards against an error with the wrong problem type, above all an unknown outcome reported as "no effect".
func TestErrors(t *testing.T) {
	cases := map[string]struct {
		err    error
		status int
	}{
		ProblemConflict:          {&control.VersionConflictError{Expected: 1, Current: 2}, 409},
		ProblemOutcomeUnknown:    {errors.WithType(errors.Annotate(control.ErrNotApplied, "look-up"), control.ErrOutcomeUnknown), 504},
		ProblemNotApplied:        {errors.WithType(errors.New("refused"), control.ErrNotApplied), 503},
		ProblemNotTried:          {errors.Trace(control.ErrNotTried), 422},
		ProblemWrongEnvironment:  {errors.Trace(control.ErrWrongEnvironment), 422},
		ProblemUnknownDatacentre: {errors.Trace(control.ErrUnknownDatacentre), 404},
		ProblemInternal:          {errors.New("failure"), 500},
	}
	for kind, c := range cases {
		t.Run(kind, func(t *testing.T) {
			answer := call(t, &fakeControl{err: c.err}, "POST", "/v1/datacentres/a/out", `{"author":"ann"}`)
			if answer.Code != c.status || !strings.Contains(answer.Body.String(), `"type":"`+kind+`"`) {
				t.Errorf("status %d, body %s", answer.Code, answer.Body)
			}
		})
	}
	if answer := call(t, &fakeControl{}, "GET", "/v1/documents/current", ""); answer.Code != 404 {
		t.Errorf("current without a document: status %d", answer.Code)
	}
}
