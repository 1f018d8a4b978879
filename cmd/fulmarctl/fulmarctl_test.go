package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/zeromicro/go-zero/core/logx"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/control"
	"fulmarcourse.example/fulmarcourse/pkg/operatorapi"
	"fulmarcourse.example/fulmarcourse/pkg/problem"
)

func TestMain(m *testing.M) {
	logx.Disable()
	m.Run()
}

// server is an entry host with scripted answers, one per call; the last one repeats.
type server struct {
	*httptest.Server
	mu      sync.Mutex
	calls   []string // method and path
	bodies  []string
	answers []http.HandlerFunc
}

func newServer(t *testing.T, answers ...http.HandlerFunc) *server {
	t.Helper()
	s := &server{answers: answers}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body bytes.Buffer
		_, _ = body.ReadFrom(r.Body)
		s.mu.Lock()
		answer := s.answers[min(len(s.calls), len(s.answers)-1)]
		s.calls = append(s.calls, r.Method+" "+r.URL.String())
		s.bodies = append(s.bodies, body.String())
		s.mu.Unlock()
		answer(w, r)
	}))
	t.Cleanup(s.Close)
	return s
}

// seen returns the calls so far. A client may go on before the handler of an aborted call has returned.
func (s *server) seen() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

func (s *server) body(call int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bodies[call]
}

func answer(value any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(value) }
}

func refuse(kind string, status int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		problem.Write(w, problem.Problem{Type: kind, Title: "refused", Status: status})
	}
}

// cut reads the request and closes the connection without an answer.
func cut(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// reset reads the request and resets the connection.
func reset(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// deadServer returns the address of a server that accepts no connections.
func deadServer(t *testing.T) string {
	s := httptest.NewServer(http.NotFoundHandler())
	s.Close()
	return s.URL
}

// fulmarctl runs one command line without waiting.
func fulmarctl(t *testing.T, args ...string) (code int, out, errOut string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	a := newApp(func(name string) string { return map[string]string{"USER": "ann"}[name] }, &stdout, &stderr)
	a.sleep = func(context.Context, time.Duration) error { return nil }
	code = a.run(t.Context(), args)
	return code, stdout.String(), stderr.String()
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "env.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

const validText = "[environment]\nname = production\n[datacentre a]\nbatch = yes\n"

// Guards against an offline check that needs a server, misses findings, or succeeds for a faulty document.
func TestOffline(t *testing.T) {
	valid, faulty := writeFile(t, validText), writeFile(t, validText+"[kind k]\nclas = batch\n")
	if code, out, _ := fulmarctl(t, "validate", "-offline", valid); code != exitOK || !strings.Contains(out, "production") {
		t.Errorf("valid document: exit %d, %s", code, out)
	}
	code, _, errOut := fulmarctl(t, "validate", "-offline", faulty)
	if code != exitNegative || !strings.Contains(errOut, faulty+":6: [kind k] clas: unknown key") {
		t.Errorf("faulty document: exit %d, %s", code, errOut)
	}
	code, out, _ := fulmarctl(t, "-o", "json", "validate", "-offline", faulty)
	var p problem.Problem
	if err := json.Unmarshal([]byte(out), &p); err != nil || code != exitNegative || len(p.Findings) != 3 {
		t.Errorf("faulty document as JSON: exit %d, %v, %s", code, err, out)
	}
	changed := writeFile(t, strings.Replace(validText, "yes", "no", 1))
	if code, out, _ := fulmarctl(t, "diff", "-against", valid, changed); code != exitOK || !strings.Contains(out, `"yes" -> "no"`) {
		t.Errorf("diff: exit %d, %s", code, out)
	}
}

// Guards against a document that is sent although no server can read it: too long for a request, or no text, which JSON
// would change on the way.
func TestUnreadableDocumentIsNotSent(t *testing.T) {
	s := newServer(t, answer(struct{}{}))
	for text, want := range map[string]string{
		strings.Repeat("\x00", 1<<20):  "1048576 bytes",
		"[environment]\nname = \xff\n": ":2: the line is not valid UTF-8",
		"\x00":                         ":1: the line is not valid UTF-8",
	} {
		for _, command := range []string{"validate", "diff", "try"} {
			code, _, errOut := fulmarctl(t, "-server", s.URL, command, writeFile(t, text))
			if code != exitNegative || !strings.Contains(errOut, want) {
				t.Errorf("%s: exit %d, %s", command, code, errOut)
			}
		}
	}
	if len(s.seen()) > 0 {
		t.Errorf("calls %v", s.seen())
	}
}

// Guards against text from a document or a reply that changes what the terminal shows.
func TestOutputIsPrintable(t *testing.T) {
	for text, want := range map[string]string{
		"a\u202eb\x1b[2J\n": `a\u202eb\u001b[2J` + "\n",
		"p\U000e0001q\tä":   `p\udb40\udc01q` + "\tä",
	} {
		if got := printable(text); got != want {
			t.Errorf("%q is written as %q, want %q", text, got, want)
		}
	}
	var decoded string
	if err := json.Unmarshal([]byte(`"`+printable("x\u202e\U000e0001")+`"`), &decoded); err != nil || decoded != "x\u202e\U000e0001" {
		t.Errorf("JSON does not stay JSON: %q, %v", decoded, err)
	}
}

// Guards against command lines that are misread: each must end with the usage code and reach no server.
func TestUsage(t *testing.T) {
	s := newServer(t, answer(struct{}{}))
	for _, args := range [][]string{
		{}, {"demote"}, {"promote", "digest"}, {"promote", "-expect", "1"}, {"datacentre", "off", "a"}, {"datacentre", "out"},
		{"jobs"}, {"jobs", "submit", "-team", "t"}, {"jobs", "submit", "-team", "t", "-kind", "k", "-memory", "4GB"},
		{"-o", "yaml", "status"}, {"validate", "no-such-file"}, {"status", "-server", "http://entry.example:80"},
	} {
		if code, _, errOut := fulmarctl(t, append([]string{"-server", s.URL}, args...)...); code != exitUsage || errOut == "" {
			t.Errorf("%v: exit %d, %s", args, code, errOut)
		}
	}
	if len(s.seen()) > 0 {
		t.Errorf("calls %v", s.seen())
	}
}

// Guards against exit codes that mislead scripts, above all "not run" for a command that may have taken effect.
func TestExitCodes(t *testing.T) {
	cases := []struct {
		name     string
		answer   http.HandlerFunc
		read     int // exit code of a command that changes nothing
		promoted int // exit code of promote
	}{
		{"findings", refuse(operatorapi.ProblemFindings, 422), exitNegative, exitNegative},
		{"not tried", refuse(operatorapi.ProblemNotTried, 422), exitNegative, exitNegative},
		{"conflict", refuse(operatorapi.ProblemConflict, 409), exitConflict, exitConflict},
		{"not applied", refuse(operatorapi.ProblemNotApplied, 503), exitNotRun, exitNotRun},
		{"unknown", refuse(operatorapi.ProblemOutcomeUnknown, 504), exitUnknown, exitUnknown},
		{"internal", refuse(operatorapi.ProblemInternal, 500), exitNotRun, exitUnknown},
		{"plain 503", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, exitNotRun, exitUnknown},
		{"plain 404", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(404) }, exitNegative, exitNegative},
		{"cut", cut, exitNotRun, exitUnknown},
		{"reset", reset, exitNotRun, exitUnknown},
		{"not JSON", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) }, exitNotRun, exitUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newServer(t, c.answer)
			if code, _, errOut := fulmarctl(t, "-server", s.URL, "history"); code != c.read {
				t.Errorf("history: exit %d, want %d: %s", code, c.read, errOut)
			}
			if code, _, errOut := fulmarctl(t, "-server", s.URL, "promote", "-expect", "1", "d"); code != c.promoted {
				t.Errorf("promote: exit %d, want %d: %s", code, c.promoted, errOut)
			}
		})
	}
	if code, _, _ := fulmarctl(t, "-server", deadServer(t), "promote", "-expect", "1", "d"); code != exitNotRun {
		t.Errorf("promote without a server: exit %d, want %d", code, exitNotRun)
	}
}

// Guards against a command that is sent to a second server although the first may have run it, and against giving
// up although the next server could be asked safely.
func TestServersAreTriedInOrder(t *testing.T) {
	promote := []string{"promote", "-expect", "1", "d"}
	submit := []string{"jobs", "submit", "-team", "t", "-kind", "k"}
	cases := []struct {
		name    string
		args    []string
		first   http.HandlerFunc // nil: the server accepts no connections
		second  http.HandlerFunc
		code    int
		reaches bool // whether the second server is called
	}{
		{"promote, first is down", promote, nil, answer(control.DocumentResult{Version: 2}), exitOK, true},
		{"promote, first has no store", promote, refuse(operatorapi.ProblemNotApplied, 503), answer(control.DocumentResult{}), exitOK, true},
		{"promote, first is cut", promote, cut, answer(control.DocumentResult{}), exitUnknown, false},
		{"promote, first has a conflict", promote, refuse(operatorapi.ProblemConflict, 409), answer(control.DocumentResult{}), exitConflict, false},
		{"out, first is cut", []string{"datacentre", "out", "a"}, cut, answer(control.ChangeReport{}), exitUnknown, false},
		{"history, first is cut", []string{"history"}, cut, answer(operatorapi.HistoryReply{}), exitOK, true},
		{"submit, first is cut", submit, cut, answer(job{}), exitOK, true},
		{"submit, cut and refused", submit, cut, refuse("/problems/not-accepted", 503), exitUnknown, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			url := deadServer(t)
			if c.first != nil {
				url = newServer(t, c.first).URL
			}
			second := newServer(t, c.second)
			code, _, errOut := fulmarctl(t, append([]string{"-server", url + "," + second.URL}, c.args...)...)
			if code != c.code || (len(second.seen()) > 0) != c.reaches {
				t.Errorf("exit %d, calls of the second server %v: %s", code, second.seen(), errOut)
			}
		})
	}
}

// Guards against a repeated submission that could create a second job.
func TestSubmitRepeatsWithTheSameKey(t *testing.T) {
	first, second := newServer(t, cut), newServer(t, answer(map[string]string{"id": "j1", "state": "pending"}))
	code, out, _ := fulmarctl(t, "-server", first.URL, "-server", second.URL, "jobs", "submit", "-team", "t", "-kind", "k", "-cpu", "500m")
	if code != exitOK || strings.TrimSpace(out) != "j1" {
		t.Fatalf("exit %d, %s", code, out)
	}
	var a, b structs.JobSpec
	if json.Unmarshal([]byte(first.body(0)), &a) != nil || json.Unmarshal([]byte(second.body(0)), &b) != nil {
		t.Fatalf("bodies %v, %v", first.seen(), second.seen())
	}
	if a.Key == "" || a != b || a.Declared.MilliCPU != 500 {
		t.Fatalf("submissions differ: %+v, %+v", a, b)
	}
}

// Guards against "out" that ends before the members have confirmed, and against missing that another operator
// has brought the data centre back.
func TestDatacentreOutWaits(t *testing.T) {
	expires := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	open := control.ChangeReport{Datacentre: "a", State: structs.DatacentreOut, Revision: 7, Datacentres: []control.DatacentreReport{
		{Datacentre: "a", Unconfirmed: []structs.HostID{"a2"}, ExpiresAt: &expires}}}
	confirmed := open
	confirmed.Datacentres = []control.DatacentreReport{{Datacentre: "a", Confirmed: true}}
	replaced := confirmed
	replaced.Revision = 9
	status := func(r control.ChangeReport) http.HandlerFunc {
		return answer(operatorapi.StatusReply{Datacentres: []operatorapi.DatacentreStatus{{Datacentre: "a", Change: &r}}})
	}
	s := newServer(t, answer(open), status(open), status(confirmed))
	code, out, _ := fulmarctl(t, "-server", s.URL, "datacentre", "out", "a")
	if code != exitOK || len(s.seen()) != 3 || !strings.Contains(out, "a: confirmed") {
		t.Errorf("exit %d after calls %v: %s", code, s.seen(), out)
	}
	s = newServer(t, answer(open), status(replaced))
	if code, _, _ := fulmarctl(t, "-server", s.URL, "datacentre", "out", "a"); code != exitConflict {
		t.Errorf("replaced by another operator: exit %d", code)
	}
	s = newServer(t, answer(open), status(open))
	code, out, _ = fulmarctl(t, "-server", s.URL, "datacentre", "out", "a")
	if code != exitOK || !strings.Contains(out, "not confirmed by [a2]; permits expire at 2026-01-02T03:04:05Z") {
		t.Errorf("never confirmed: exit %d, %s", code, out)
	}
}

// Guards against waiting that ends early or hides a task that did not succeed.
func TestJobsWait(t *testing.T) {
	in := func(states ...structs.TaskState) http.HandlerFunc {
		record := structs.JobRecord{ID: "j1"}
		for _, state := range states {
			record.Tasks = append(record.Tasks, structs.TaskRecord{State: state})
		}
		return answer(record)
	}
	cases := []struct {
		last  http.HandlerFunc
		args  []string
		code  int
		calls int
	}{
		{in(structs.TaskDone, structs.TaskDone), nil, exitOK, 2},
		{in(structs.TaskDone, structs.TaskParked), nil, exitNegative, 2},
		{in(structs.TaskRunning), []string{"-for", "3s"}, exitNegative, 4},
		{refuse("/problems/unknown-job", 404), nil, exitNegative, 2},
	}
	for _, c := range cases {
		s := newServer(t, in(structs.TaskDone, structs.TaskRunning), c.last)
		args := append(append([]string{"-server", s.URL, "jobs", "wait"}, c.args...), "j1")
		if code, out, _ := fulmarctl(t, args...); code != c.code || len(s.seen()) != c.calls {
			t.Errorf("exit %d after %d calls, want %d after %d: %s", code, len(s.seen()), c.code, c.calls, out)
		}
	}
}

// Guards against text forms that lose what the operator asked for.
func TestTextForms(t *testing.T) {
	cases := []struct {
		args   []string
		call   string
		answer any
		want   string
	}{
		{[]string{"status"}, "GET /v1/status", operatorapi.StatusReply{Version: 4, RemovalAttempted: true}, "a removal was attempted"},
		{[]string{"history"}, "GET /v1/documents/history", operatorapi.HistoryReply{
			Versions: []structs.DocumentRecord{{Version: 4, Author: "bob"}}}, "bob"},
		{[]string{"jobs", "list", "-team", "t 1"}, "GET /v1/jobs?team=t+1", []structs.JobRecord{
			{ID: "j1", Tasks: []structs.TaskRecord{{State: structs.TaskParked}}}}, "parked 1"},
		{[]string{"jobs", "cancel", "a/b"}, "POST /v1/jobs/a%2Fb/cancel", structs.JobRecord{CancelRequested: true}, "cancel requested"},
		{[]string{"explain", "j1"}, "GET /v1/jobs/j1/explain", explanation{Tasks: []string{"waits for capacity"}}, "task 0: waits for capacity"},
	}
	for _, c := range cases {
		s := newServer(t, answer(c.answer))
		code, out, errOut := fulmarctl(t, append([]string{"-server", s.URL}, c.args...)...)
		if code != exitOK || s.seen()[0] != c.call || !strings.Contains(out, c.want) {
			t.Errorf("%v: exit %d, calls %v, %s%s", c.args, code, s.seen(), out, errOut)
		}
	}
}
