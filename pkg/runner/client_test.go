package runner_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/runner"
	"fulmarcourse.example/fulmarcourse/pkg/standin"
	"fulmarcourse.example/fulmarcourse/test/faultproxy"
	"fulmarcourse.example/fulmarcourse/test/poll"
)

func attempt(id string) runner.Attempt {
	return runner.Attempt{ID: id, Service: "gilding", Kind: "quote", Body: []byte("body of " + id), Remaining: poll.Limit}
}

// start runs a fake runner and returns it with its address.
func start(t *testing.T, cfg standin.RunnerConfig) (*standin.Runner, string) {
	t.Helper()
	r := standin.NewRunner(cfg)
	server, err := r.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	t.Cleanup(r.Close)
	return r, server.Addr()
}

// runs returns how often the attempt ran.
func runs(h *standin.History, id string) int {
	n := 0
	for _, e := range h.OfType(standin.RequestStarted) {
		if e.Request == id {
			n++
		}
	}
	return n
}

// mustAnswer checks that the attempt gets the complete answer to its own request.
func mustAnswer(t *testing.T, client *runner.Client, addr, id string) {
	t.Helper()
	answer, err := client.Do(t.Context(), addr, attempt(id))
	if want := "quote answer to body of " + id; err != nil || answer.Status != http.StatusOK || string(answer.Body) != want {
		t.Errorf("attempt %s: got %d %q, error %v, want %q", id, answer.Status, answer.Body, err, want)
	}
}

// Guards against delivering a corrupt answer or the answer to another attempt, running an attempt twice, and a faulty
// answer that affects later attempts of the same client.
func TestFaultyAnswersAreUncertain(t *testing.T) {
	history := standin.NewHistory(nil)
	r, addr := start(t, standin.RunnerConfig{History: history})
	client := runner.NewClient(runner.Config{})
	mustAnswer(t, client, addr, "before")
	for _, fault := range []standin.AnswerFault{standin.AnswerTruncated, standin.AnswerMismatched, standin.AnswerWithoutID, standin.AnswerLost} {
		r.FailAnswers(fault)
		id := "attempt-" + string(fault)
		answer, err := client.Do(t.Context(), addr, attempt(id))
		if !errors.Is(err, runner.ErrUncertain) || !strings.Contains(err.Error(), addr) || !strings.Contains(err.Error(), id) {
			t.Errorf("%s: got %q and error %v, want ErrUncertain with the runner and the attempt", fault, answer.Body, err)
		}
		if n := runs(history, id); n != 1 {
			t.Errorf("%s: ran %d times, want once", fault, n)
		}
		mustAnswer(t, client, addr, "after-"+string(fault))
	}
}

// Guards against delivering a late answer to a later attempt on the same runner.
func TestLateAnswerIsDropped(t *testing.T) {
	history := standin.NewHistory(nil)
	r, addr := start(t, standin.RunnerConfig{History: history})
	r.SetFrozen(true)
	client := runner.NewClient(runner.Config{MaxConnsPerHost: 1})
	late := attempt("late")
	late.Remaining = 20 * time.Millisecond
	if _, err := client.Do(t.Context(), addr, late); !errors.Is(err, runner.ErrUncertain) && !errors.Is(err, runner.ErrNotSent) {
		t.Errorf("got %v, want ErrUncertain, or ErrNotSent on a slow machine", err)
	}
	r.SetFrozen(false)
	mustAnswer(t, client, addr, "next")
}

// Guards against reporting a refusal as uncertain, or a request that ran as refused.
func TestBusyRunnerRefuses(t *testing.T) {
	history := standin.NewHistory(nil)
	r, addr := start(t, standin.RunnerConfig{Slots: 1, History: history})
	r.SetFrozen(true)
	client := runner.NewClient(runner.Config{})
	first := make(chan error, 1)
	go func() {
		_, err := client.Do(context.Background(), addr, attempt("first"))
		first <- err
	}()
	poll.Until(t, "first attempt runs", func() bool { return r.Load().Busy == 1 })
	if _, err := client.Do(t.Context(), addr, attempt("second")); !errors.Is(err, runner.ErrBusy) {
		t.Errorf("got %v, want ErrBusy", err)
	}
	r.SetFrozen(false)
	if err := <-first; err != nil {
		t.Errorf("first attempt: %v", err)
	}
	if n := runs(history, "second"); n != 0 {
		t.Errorf("refused attempt ran %d times", n)
	}
}

// Guards against reporting attempts that cannot have been sent as uncertain.
func TestNotSent(t *testing.T) {
	client := runner.NewClient(runner.Config{})
	// Nothing listens on port 1. Unlike a free port, it cannot be taken by another test.
	const addr = "127.0.0.1:1"
	expired, withoutID, invalidID := attempt("expired"), attempt(""), attempt("line\nbreak")
	expired.Remaining = 0
	for name, a := range map[string]runner.Attempt{"refused": attempt("a"), "deadline passed": expired, "no id": withoutID, "invalid id": invalidID} {
		if _, err := client.Do(t.Context(), addr, a); !errors.Is(err, runner.ErrNotSent) {
			t.Errorf("%s: got %v, want ErrNotSent", name, err)
		}
	}
}

// Guards against accepting a response as an answer or a refusal without its id, length and status being valid.
func TestResponseChecks(t *testing.T) {
	cases := []struct {
		name    string
		ids     []string
		status  int
		outcome string
		length  string // Content-Length; chunked when empty
		want    error
	}{
		{"complete", []string{"a"}, 200, "", "4", nil},
		{"error of the service is an answer", []string{"a"}, 500, "", "4", nil},
		{"503 of the service is an answer", []string{"a"}, 503, "", "4", nil},
		{"refusal", []string{"a"}, 503, "not-run", "4", runner.ErrBusy},
		{"refusal of another attempt", []string{"b"}, 503, "not-run", "4", runner.ErrUncertain},
		{"outcome without refusal status", []string{"a"}, 200, "not-run", "4", nil},
		{"no id", nil, 200, "", "4", runner.ErrUncertain},
		{"two ids", []string{"a", "b"}, 200, "", "4", runner.ErrUncertain},
		{"no length", []string{"a"}, 200, "", "", runner.ErrUncertain},
		{"too short", []string{"a"}, 200, "", "5", runner.ErrUncertain},
	}
	for _, c := range cases {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header()[runner.AttemptHeader] = c.ids
			if c.outcome != "" {
				w.Header().Set(runner.OutcomeHeader, c.outcome)
			}
			if c.length != "" {
				w.Header().Set("Content-Length", c.length)
			}
			w.WriteHeader(c.status)
			_ = http.NewResponseController(w).Flush()
			_, _ = io.WriteString(w, "body")
		}))
		answer, err := runner.NewClient(runner.Config{}).Do(t.Context(), server.Listener.Addr().String(), attempt("a"))
		if c.want == nil && (err != nil || answer.Status != c.status || string(answer.Body) != "body") {
			t.Errorf("%s: got %+v, error %v", c.name, answer, err)
		}
		if c.want != nil && !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, err, c.want)
		}
		server.Close()
	}
}

// Guards against delivering a partially received answer, at whichever byte the connection breaks, including in the
// status line and the headers.
func TestAnswerCutAtEveryByte(t *testing.T) {
	history := standin.NewHistory(nil)
	_, addr := start(t, standin.RunnerConfig{History: history})
	proxy := faultproxy.Start(t, addr)
	client := runner.NewClient(runner.Config{})
	for n := 0; ; n++ {
		id := fmt.Sprintf("attempt-%03d", n)
		proxy.CloseAfter(faultproxy.ToCaller, n)
		_, err := client.Do(t.Context(), proxy.Addr(), attempt(id))
		if ran := runs(history, id); ran != 1 {
			t.Fatalf("cut after %d bytes: ran %d times", n, ran)
		}
		if err == nil {
			if n < 100 {
				t.Fatalf("answer of at least 100 bytes was complete after %d bytes", n)
			}
			return
		}
		if !errors.Is(err, runner.ErrUncertain) {
			t.Fatalf("cut after %d bytes: got %v, want ErrUncertain", n, err)
		}
	}
}

// Guards against reporting a partially written request as certainly not run, at whichever byte the connection breaks.
func TestRequestCutAtEveryByte(t *testing.T) {
	_, addr := start(t, standin.RunnerConfig{})
	proxy := faultproxy.Start(t, addr)
	client := runner.NewClient(runner.Config{})
	for n := 0; n < 100; n++ {
		proxy.CloseAfter(faultproxy.ToTarget, n)
		if _, err := client.Do(t.Context(), proxy.Addr(), attempt("a")); !errors.Is(err, runner.ErrUncertain) {
			t.Fatalf("cut after %d bytes: got %v, want ErrUncertain", n, err)
		}
	}
}

// Guards against opening more connections to a runner than configured when there are more requests than connections.
func TestConnectionsAreBounded(t *testing.T) {
	const conns, requests = 4, 40
	history := standin.NewHistory(nil)
	r, addr := start(t, standin.RunnerConfig{
		History: history, Slots: requests,
		ServiceTime: map[structs.KindName]time.Duration{"quote": time.Millisecond},
	})
	client := runner.NewClient(runner.Config{MaxConnsPerHost: conns})
	var done sync.WaitGroup
	for i := range requests {
		done.Go(func() { mustAnswer(t, client, addr, fmt.Sprint("attempt-", i)) })
	}
	done.Wait()
	if load := r.Load(); load.MaxConns > conns || load.MaxBusy > conns {
		t.Errorf("load %+v with at most %d connections", load, conns)
	}
}
