package hostlist_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/phuslu/log"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/hostlist"
	"fulmarcourse.example/fulmarcourse/pkg/standin"
)

// Guards against a fake list that shows changes before its lag has passed, in the wrong order, or not at all.
func TestChangesAppearAfterTheLag(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	list := standin.NewHostList(standin.HostListConfig{Lag: 2 * time.Second, Clock: func() time.Time { return now }})
	server := httptest.NewServer(list)
	t.Cleanup(server.Close)
	client := hostlist.NewClient(hostlist.Config{Endpoint: server.URL})
	check := func(step, want string) {
		t.Helper()
		hosts, err := client.Hosts(t.Context())
		var got []string
		for _, h := range hosts {
			got = append(got, string(h.ID)+" "+string(h.State))
		}
		if err != nil || strings.Join(got, ", ") != want {
			t.Errorf("%s: got %q, error %v, want %q", step, got, err, want)
		}
	}
	list.Put(structs.Host{ID: "b", State: structs.HostLive})
	list.Put(structs.Host{ID: "a", State: structs.HostLive})
	check("before the lag", "")
	list.ApplyPending()
	check("after ApplyPending", "a live, b live")
	if !list.SetState("b", structs.HostLeaving) || list.SetState("c", structs.HostLeaving) {
		t.Error("SetState reports a wrong result for a listed or an unlisted host")
	}
	now = now.Add(time.Second)
	list.Remove("a")
	now = now.Add(time.Second)
	check("after the first change", "a live, b leaving")
	now = now.Add(time.Second)
	check("after the second change", "b leaving")
}

// Guards against treating an incomplete response as an empty list, which would remove all hosts.
func TestIncompleteListsAreUnavailable(t *testing.T) {
	for _, body := range []string{``, `{}`, `{"hosts":null}`, `{"hosts":[{"id":`, `[]`} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, body)
		}))
		client := hostlist.NewClient(hostlist.Config{Endpoint: server.URL})
		if hosts, err := client.Hosts(t.Context()); !errors.Is(err, hostlist.ErrUnavailable) {
			t.Errorf("%q: got %d hosts, error %v, want ErrUnavailable", body, len(hosts), err)
		}
		server.Close()
	}
}

// Guards against logging an outage at every poll, and against not logging its end.
func TestOutageIsLoggedOnce(t *testing.T) {
	list := standin.NewHostList(standin.HostListConfig{})
	server := httptest.NewServer(list)
	t.Cleanup(server.Close)
	var out bytes.Buffer
	client := hostlist.NewClient(hostlist.Config{Endpoint: server.URL, Log: eventlog.NewLogger(&out, log.InfoLevel, "host")})
	for _, down := range []bool{false, true, true, false, false} {
		list.SetDown(down)
		if _, err := client.Hosts(t.Context()); (err != nil) != down {
			t.Errorf("down %t: error %v", down, err)
		}
	}
	lost, recovered := strings.Count(out.String(), `"hostlist_lost"`), strings.Count(out.String(), `"hostlist_recovered"`)
	if lost != 1 || recovered != 1 {
		t.Errorf("logged %d losses and %d recoveries, want 1 of each: %s", lost, recovered, out.String())
	}
}

// Guards against missing a change of the list because of its entity tag, receiving an unchanged list again at every
// poll, and accepting a 304 response to a request without an entity tag.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	list := standin.NewHostList(standin.HostListConfig{})
	var statuses []int
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		list.ServeHTTP(recorder, r)
		statuses = append(statuses, recorder.Code)
		w.Header().Set("ETag", recorder.Header().Get("ETag"))
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	t.Cleanup(server.Close)
	client := hostlist.NewClient(hostlist.Config{Endpoint: server.URL})
	steps := []struct {
		change func()
		hosts  int
		status int
	}{
		{func() { list.Put(structs.Host{ID: "a"}) }, 1, http.StatusOK},
		{func() {}, 1, http.StatusNotModified},
		{func() { list.Put(structs.Host{ID: "b"}) }, 2, http.StatusOK},
		{func() { list.Remove("a") }, 1, http.StatusOK},
		{func() {}, 1, http.StatusNotModified},
	}
	for i, step := range steps {
		step.change()
		hosts, err := client.Hosts(t.Context())
		if err != nil || len(hosts) != step.hosts || statuses[i] != step.status {
			t.Errorf("step %d: %d hosts, status %d, error %v, want %d hosts, status %d",
				i, len(hosts), statuses[i], err, step.hosts, step.status)
		}
	}
	always := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNotModified)
	}))
	t.Cleanup(always.Close)
	if _, err := hostlist.NewClient(hostlist.Config{Endpoint: always.URL}).Hosts(t.Context()); err == nil {
		t.Error("304 without a cached list is not an error")
	}
}
