package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"fulmarcourse.example/fulmarcourse/test/poll"
)

// call sends a request to a worker and returns the number of ends in the response.
func call(t *testing.T, w *Worker, path string, body order) (ends int) {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.Post("http://"+w.Endpoint().Address+path, "application/json", bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var reply struct{ Ended []json.RawMessage }
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("%s: status %d, error %v", path, resp.StatusCode, err)
	}
	return len(reply.Ended)
}

// Guards against a check that reports a start which the platform allows: the end of the task before was not acknowledged when
// the process of its worker crashed, so that no owner can know of it. Guards also against one that allows a start after an end
// that was acknowledged before the crash, also if the second run is done as well.
func TestStartAfterALostEndIsAllowed(t *testing.T) {
	for _, acknowledged := range []bool{false, true} {
		for name, crash := range map[string]func(*Worker){"same id": (*Worker).Crash, "new id": (*Worker).CrashUnderNewID} {
			p, err := NewPlatform(Config{Datacentres: []string{"dc"}, Workers: 2, RunTime: func(string) time.Duration { return time.Millisecond }})
			if err != nil {
				t.Fatal(err)
			}
			first, second := p.Workers()[0], p.Workers()[1]
			start := order{Task: "j.0.0.0", Attempt: 1, UntilMs: time.Minute.Milliseconds()}
			call(t, first, "/fulmarcourse/run-start", start)
			poll.Until(t, "the end is listed", func() bool { return call(t, first, "/fulmarcourse/hold", order{}) == 1 })
			if acknowledged {
				call(t, first, "/fulmarcourse/hold", order{AckedEnd: 1})
			}
			crash(first)
			start.Attempt = 2
			call(t, second, "/fulmarcourse/run-start", start)
			poll.Until(t, "the second run is done", func() bool { return call(t, second, "/fulmarcourse/hold", order{}) == 1 })
			found := fmt.Sprint(p.RunsAfterDone())
			if reported := len(p.RunsAfterDone()) == 1; reported != acknowledged {
				t.Errorf("end acknowledged %t, crash under the %s: found %s", acknowledged, name, found)
			}
			p.Close()
		}
	}
}

// Guards against a worker that lists more ends at a time than the platform's do, or not the earliest ones, so that no test notices an owner
// that takes the first response for complete.
func TestResponseListsTheEarliestEnds(t *testing.T) {
	p, err := NewPlatform(Config{Datacentres: []string{"dc"}, Workers: 1, RunTime: func(string) time.Duration { return time.Millisecond }})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	w := p.Workers()[0]
	const tasks = endsPerReply + 2
	for n := range tasks {
		call(t, w, "/fulmarcourse/run-start", order{Task: fmt.Sprint("j.0.0.", n), Attempt: 1, UntilMs: time.Minute.Milliseconds()})
	}
	poll.Until(t, "all tasks have ended", func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.lastEnd == tasks
	})
	if n := call(t, w, "/fulmarcourse/hold", order{}); n != endsPerReply {
		t.Errorf("the first response lists %d ends, want %d", n, endsPerReply)
	}
	if n := call(t, w, "/fulmarcourse/hold", order{AckedEnd: endsPerReply}); n != tasks-endsPerReply {
		t.Errorf("the second response lists %d ends, want %d", n, tasks-endsPerReply)
	}
}

// Guards against stops that free the capacity of a worker sooner than on the platform: a stop takes some time, in which the run counts.
func TestStoppedRunCountsUntilItsEndIsListed(t *testing.T) {
	p, err := NewPlatform(Config{Datacentres: []string{"dc"}, Workers: 1, RunTime: func(string) time.Duration { return 0 }})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	w := p.Workers()[0]
	call(t, w, "/fulmarcourse/run-start", order{Task: "f.0.0.0", Attempt: 1, UntilMs: time.Minute.Milliseconds()})
	stopped := time.Now()
	call(t, w, "/fulmarcourse/run-stop", order{Task: "f.0.0.0", Attempt: 1})
	poll.Until(t, "the end is listed", func() bool { return call(t, w, "/fulmarcourse/hold", order{}) == 1 })
	run := p.History()[0]
	if took := run.Ended.Sub(stopped); run.Outcome != "stopped" || took <= 0 {
		t.Errorf("the run has ended as %s after %v, want it stopped after some time", run.Outcome, took)
	}
}
