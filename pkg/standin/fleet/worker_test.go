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
