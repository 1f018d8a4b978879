package httpapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/problem"
)

// serveFunc implements Requests with a function.
type serveFunc func(context.Context, structs.Request) structs.Reply

func (f serveFunc) Serve(ctx context.Context, req structs.Request) structs.Reply { return f(ctx, req) }

// singleKind is a Catalogue with one kind, quotes/quote.
type singleKind struct{}

func (singleKind) Kind(service structs.ServiceName, kind structs.KindName) (structs.Kind, bool) {
	return structs.Kind{Deadline: 3 * time.Second}, service == "quotes" && kind == "quote"
}

// fakeJobs answers every call with a job or an error.
type fakeJobs struct {
	job         structs.JobRecord
	err         error
	spec        structs.JobSpec
	waitStarted chan struct{} // closed by the first Wait when set
	once        sync.Once
}

func (f *fakeJobs) Submit(_ context.Context, spec structs.JobSpec) (structs.JobRecord, error) {
	f.spec = spec
	return f.job, f.err
}
func (f *fakeJobs) Get(context.Context, structs.JobID) (structs.JobRecord, error) {
	return f.job, f.err
}
func (f *fakeJobs) Wait(ctx context.Context, _ structs.JobID, until <-chan struct{}) (structs.JobRecord, error) {
	if f.waitStarted != nil {
		f.once.Do(func() { close(f.waitStarted) })
	}
	if f.err != nil || f.job.Final() {
		return f.job, f.err
	}
	select {
	case <-until:
		return f.job, nil
	case <-ctx.Done():
		return f.job, ctx.Err()
	}
}
func (f *fakeJobs) List(context.Context, Filter) ([]structs.JobRecord, error) {
	return []structs.JobRecord{f.job}, f.err
}
func (f *fakeJobs) Cancel(context.Context, structs.JobID) (structs.JobRecord, error) {
	return f.job, f.err
}
func (f *fakeJobs) Explain(context.Context, structs.JobID) (Explanation, error) {
	return Explanation{Job: f.job.ID}, f.err
}

// want fails the test unless got equals expected.
func want[T comparable](t testing.TB, got, expected T, subject string) {
	t.Helper()
	if got != expected {
		t.Fatalf("%s: got %v, want %v", subject, got, expected)
	}
}

// start serves on a loopback address and returns the base URL and the server.
func start(t *testing.T, serve serveFunc, jobs Jobs) (string, *Server) {
	t.Helper()
	server, err := NewServer(Config{
		Address: "127.0.0.1:0", Requests: serve, Catalogue: singleKind{}, Jobs: jobs, MaxBody: 100,
		Ready: func() error { return errors.New("no document") },
	})
	want(t, err, nil, "error")
	ended := make(chan error, 1)
	go func() { ended <- server.Serve() }()
	t.Cleanup(func() {
		want(t, server.Stop(context.Background()), nil, "stop")
		want(t, <-ended, nil, "end of serving")
	})
	return "http://" + server.Addr(), server
}

// call makes one HTTP call and returns the response with its body.
func call(t *testing.T, method, url, body string, header map[string]string) (*http.Response, []byte) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	want(t, err, nil, "error")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	want(t, err, nil, "error")
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	want(t, err, nil, "error")
	return resp, data
}

// Guards against an HTTP status, outcome header or body that does not match the reply.
func TestRepliesAsHTTP(t *testing.T) {
	large := bytes.Repeat([]byte("x"), 300_000)
	cases := []struct {
		reply      structs.Reply
		status     int
		retryAfter bool
	}{
		{structs.Reply{Outcome: structs.Answered, Status: 200, Body: large}, 200, false},
		{structs.Reply{Outcome: structs.Answered, Status: 503, Body: []byte(`{"from":"runner"}`)}, 503, false},
		{structs.Reply{Outcome: structs.Answered, Status: 204}, 204, false},
		{structs.Reply{Outcome: structs.NotRun, Reason: structs.ReasonQueueFull}, 503, true},
		{structs.Reply{Outcome: structs.NotRun, Reason: structs.ReasonDeadline}, 503, true},
		{structs.Reply{Outcome: structs.NotRun, Reason: structs.ReasonStoreUnavailable}, 503, true},
		{structs.Reply{Outcome: structs.NotRun, Reason: structs.ReasonKeyReused}, 422, false},
		{structs.Reply{Outcome: structs.OutcomeUnknown, Reason: structs.ReasonInProgress}, 409, false},
		{structs.Reply{Outcome: structs.OutcomeUnknown, Reason: structs.ReasonDeadline}, 504, false},
		{structs.Reply{Outcome: structs.OutcomeUnknown, Reason: structs.ReasonRunnerLost}, 502, false},
	}
	var reply structs.Reply
	var got structs.Request
	url, _ := start(t, func(_ context.Context, req structs.Request) structs.Reply {
		got = req
		return reply
	}, nil)
	for _, c := range cases {
		reply = c.reply
		resp, body := call(t, http.MethodPost, url+"/v1/services/quotes/quote", "body", map[string]string{KeyHeader: "k", TimeoutHeader: "700"})
		want(t, resp.StatusCode, c.status, "status for "+c.reply.Reason)
		want(t, resp.Header.Get(OutcomeHeader), string(c.reply.Outcome), OutcomeHeader)
		want(t, resp.Header.Get(RequestIDHeader), got.ID, RequestIDHeader)
		want(t, resp.Header.Get("Retry-After") != "", c.retryAfter, "Retry-After present")
		if c.reply.Outcome == structs.Answered {
			want(t, bytes.Equal(body, c.reply.Body), true, "whole body")
			want(t, max(0, resp.ContentLength), int64(len(c.reply.Body)), "content length")
			continue
		}
		var p problem.Problem
		want(t, json.Unmarshal(body, &p), nil, "problem")
		want(t, fmt.Sprint(p.Status, p.Outcome), fmt.Sprint(c.status, c.reply.Outcome), "status and outcome in the problem")
	}
	want(t, got.Key+" "+string(got.Body), "k body", "key and body")
	want(t, got.Remaining <= 700*time.Millisecond && got.ID != "", true, "deadline and id passed to the request")
}

// Guards against running a request with invalid input, and against an error reply without a problem body or outcome.
func TestInvalidRequestsAreNotRun(t *testing.T) {
	url, _ := start(t, func(context.Context, structs.Request) structs.Reply {
		t.Error("an invalid request was run")
		return structs.Reply{Outcome: structs.Answered, Status: 200}
	}, nil)
	cases := []struct {
		path, body string
		header     map[string]string
		status     int
	}{
		{"/v1/services/quotes/other", "", nil, 404},
		{"/v1/services/other/quote", "", nil, 404},
		{"/v1/services/quotes/quote", strings.Repeat("x", 101), nil, 413},
		{"/v1/services/quotes/quote", "", map[string]string{TimeoutHeader: "1s"}, 400},
		{"/v1/services/quotes/quote", "", map[string]string{TimeoutHeader: "0"}, 400},
		{"/v1/services/quotes/quote", "", map[string]string{TimeoutHeader: "99999999999999"}, 400},
		{"/v1/services/quotes/quote", "", map[string]string{KeyHeader: strings.Repeat("k", MaxKey+1)}, 400},
	}
	for _, c := range cases {
		resp, body := call(t, http.MethodPost, url+c.path, c.body, c.header)
		want(t, resp.StatusCode, c.status, c.path+" "+string(body))
		want(t, resp.Header.Get(OutcomeHeader), string(structs.NotRun), OutcomeHeader)
		want(t, resp.Header.Get("Content-Type"), problem.ContentType, "content type")
	}
	for path, status := range map[string]int{"/nothing": 404, "/v1/services/quotes/quote": 405, "/readyz": 503, "/healthz": 200} {
		resp, _ := call(t, http.MethodGet, url+path, "", nil)
		want(t, resp.StatusCode, status, path)
	}
	_, err := NewServer(Config{Address: "localhost:0"})
	want(t, errors.Is(err, errors.NotValid), true, "address without an IP number rejected")
}

// Guards against job errors mapped to a status that hides a definite result, and against accepting submissions with
// misspelt fields.
func TestJobs(t *testing.T) {
	jobs := &fakeJobs{job: structs.JobRecord{ID: "j", Tasks: []structs.TaskRecord{{State: structs.TaskRunning}}}}
	url, _ := start(t, nil, jobs)
	calls := []struct {
		method, path, body string
		status             int
	}{
		{http.MethodPost, "/v1/jobs", `{"team":"t","kind":"trace"}`, 201},
		{http.MethodPost, "/v1/jobs", `{"team":"t","knid":"trace"}`, 400},
		{http.MethodPost, "/v1/jobs", `{"key":"other"}`, 400},
		{http.MethodPost, "/v1/jobs", `{"key":"` + strings.Repeat("x", 100) + `"}`, 413},
		{http.MethodGet, "/v1/jobs?team=t", "", 200},
		{http.MethodGet, "/v1/jobs/j", "", 200},
		{http.MethodPost, "/v1/jobs/j/cancel", "", 202},
		{http.MethodGet, "/v1/jobs/j/explain", "", 200},
		{http.MethodGet, "/v1/jobs/j/wait?timeout=1ms", "", 202},
		{http.MethodGet, "/v1/jobs/j/wait?timeout=soon", "", 400},
	}
	for _, c := range calls {
		resp, body := call(t, c.method, url+c.path, c.body, map[string]string{KeyHeader: "k"})
		want(t, resp.StatusCode, c.status, c.method+" "+c.path+" "+string(body))
	}
	want(t, jobs.spec.Key+" "+string(jobs.spec.Team), "k t", "submitted key and team")
	jobs.job.Tasks[0].State = structs.TaskDone
	resp, _ := call(t, http.MethodGet, url+"/v1/jobs/j/wait", "", nil)
	want(t, resp.StatusCode, 200, "wait for a final job")
	for err, status := range map[error]int{
		errors.NotFoundf("job"): 404, errors.NotValidf("kind"): 400, errors.Forbiddenf("urgent"): 403,
		errors.AlreadyExistsf("key"): 422, errors.Annotate(ErrNotAccepted, "store"): 503,
		errors.Annotate(ErrOutcomeUnknown, "store"): 504, errors.New("other"): 500,
	} {
		jobs.err = err
		resp, _ := call(t, http.MethodPost, url+"/v1/jobs", `{}`, nil)
		want(t, resp.StatusCode, status, err.Error())
	}
}

// Guards against a stop that interrupts a request in progress, or that is delayed by calls that only wait for a job.
func TestStopIsGraceful(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	jobs := &fakeJobs{job: structs.JobRecord{Tasks: make([]structs.TaskRecord, 1)}, waitStarted: make(chan struct{})}
	url, server := start(t, func(context.Context, structs.Request) structs.Reply {
		close(started)
		<-release
		return structs.Reply{Outcome: structs.Answered, Status: 200, Body: []byte("whole")}
	}, jobs)
	answers := make(chan string, 2)
	get := func(method, path string) {
		resp, body := call(t, method, url+path, "", nil)
		answers <- resp.Status + string(body)
	}
	go get(http.MethodPost, "/v1/services/quotes/quote")
	<-started
	go get(http.MethodGet, "/v1/jobs/j/wait?timeout=5m")
	<-jobs.waitStarted
	stopped := make(chan error, 1)
	go func() { stopped <- server.Stop(context.Background()) }()
	want(t, (<-answers)[:3], "202", "status of the waiting call")
	close(release)
	want(t, <-answers, "200 OKwhole", "answer of the request in progress")
	want(t, <-stopped, nil, "stop")
}
