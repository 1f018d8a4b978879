package standin_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/hostlist"
	"fulmarcourse.example/fulmarcourse/pkg/runner"
	"fulmarcourse.example/fulmarcourse/pkg/standin"
	"fulmarcourse.example/fulmarcourse/pkg/store"
	"fulmarcourse.example/fulmarcourse/pkg/worker"
	"fulmarcourse.example/fulmarcourse/test/poll"
)

func newPlatform(t *testing.T) (*standin.Platform, map[structs.HostID]structs.Host) {
	t.Helper()
	p, err := standin.NewPlatform(standin.PlatformConfig{
		Datacentres: []standin.DatacentreConfig{
			{ID: "north", Racks: 2, WorkersPerRack: 2, RunnersPerRack: 1},
			{ID: "south", Racks: 1, WorkersPerRack: 1, RunnersPerRack: 2},
		},
		Worker:   standin.WorkerConfig{Capacity: structs.Resources{MilliCPU: 16000, MemoryBytes: 60 << 30}},
		Service:  "gilding",
		Colocate: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	hosts, err := hostlist.NewClient(hostlist.Config{Endpoint: p.HostListURL}).Hosts(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	byID := map[structs.HostID]structs.Host{}
	for _, h := range hosts {
		byID[h.ID] = h
	}
	return p, byID
}

// Guards against a platform whose list does not match its servers, and against events that are missing from the
// history.
func TestPlatformServesItsHosts(t *testing.T) {
	p, hosts := newPlatform(t)
	if len(hosts) != 9 || len(p.Workers) != 5 || len(p.Runners) != 4 {
		t.Fatalf("%d hosts, %d workers, %d runners", len(hosts), len(p.Workers), len(p.Runners))
	}
	before := len(p.History.Events())
	for id, h := range hosts {
		switch h.Role {
		case structs.RoleWorker:
			cmd := command(string(id), 3600)
			if err := worker.NewClient(worker.Config{}).Start(t.Context(), h.Address, cmd); err != nil {
				t.Error(err)
			}
		case structs.RoleRunner:
			a := runner.Attempt{ID: string(id), Service: h.Service, Kind: "quote", Remaining: time.Minute}
			if _, err := runner.NewClient(runner.Config{}).Do(t.Context(), h.Address, a); err != nil {
				t.Error(err)
			}
		}
	}
	put := store.Txn{Puts: []store.Put{{Key: "k"}}}
	if _, err := store.NewClient(store.Config{Endpoint: p.StoreURL}).Txn(t.Context(), put); err != nil {
		t.Error(err)
	}
	events, err := standin.FetchHistory(t.Context(), p.HostListURL, int64(before))
	if err != nil {
		t.Fatal(err)
	}
	if status := p.Status(); status.Store != (standin.StoreCalls{Writes: 1}) || status.Runners["south-0-runner-1"].MaxBusy != 1 {
		t.Errorf("status %+v", status)
	}
	found := map[structs.HostID]standin.EventType{}
	for i, e := range events {
		if e.Sequence != int64(before+i+1) {
			t.Errorf("event %d has sequence %d", before+i+1, e.Sequence)
		}
		found[e.Host] = e.Type
	}
	for id, h := range hosts {
		want := map[structs.HostRole]standin.EventType{structs.RoleWorker: standin.TaskStarted, structs.RoleRunner: standin.RequestAnswered}[h.Role]
		if found[id] != want {
			t.Errorf("last event of %s is %q, want %q", id, found[id], want)
		}
	}
}

// Guards against a list that reports the wrong shared machine: interference guards would then protect the wrong
// requests.
func TestColocatedHostsShareAMachine(t *testing.T) {
	_, hosts := newPlatform(t)
	cases := []struct {
		worker, runner structs.HostID
		shared         bool
	}{
		{"north-0-worker-0", "north-0-runner-0", true},
		{"north-0-worker-1", "north-0-runner-0", false},
		{"north-1-worker-0", "north-0-runner-0", false},
		{"south-0-worker-0", "south-0-runner-0", true},
		{"south-0-worker-0", "south-0-runner-1", false},
	}
	for _, tc := range cases {
		w, r := hosts[tc.worker].Machine, hosts[tc.runner].Machine
		if (w == r) != tc.shared {
			t.Errorf("%s is on %q, %s on %q, want shared %t", tc.worker, w, tc.runner, r, tc.shared)
		}
	}
}

// Guards against a killed host that still answers, and against a kill that stops other hosts.
func TestKill(t *testing.T) {
	p, hosts := newPlatform(t)
	client := worker.NewClient(worker.Config{})
	if err := p.Apply(standin.Control{Kill: []structs.HostID{"north-0-worker-0"}}); err != nil {
		t.Error(err)
	}
	if err := client.Start(t.Context(), hosts["north-0-worker-0"].Address, command("a", 1)); !errors.Is(err, worker.ErrUnreachable) {
		t.Errorf("killed worker: got %v, want ErrUnreachable", err)
	}
	if err := client.Start(t.Context(), hosts["north-0-worker-1"].Address, command("a", 1)); err != nil {
		t.Errorf("other worker: %v", err)
	}
}

// Guards against co-located tasks that do not slow requests, and requests that do not slow co-located tasks.
func TestRequestsAndTasksSlowEachOther(t *testing.T) {
	clock := standin.NewManualClock()
	w := standin.NewWorker(standin.WorkerConfig{
		ID: "w", Capacity: structs.Resources{MilliCPU: 2000}, Clock: clock.Now,
		Interference: standin.Interference{{Slowed: "quote", By: "render"}: 2, {Slowed: "render", By: "quote"}: 1},
	})
	if f := w.RequestSlowdown("quote"); f != 1 {
		t.Errorf("slowdown on an empty host is %g", f)
	}
	w.AddRequests("quote", 1, 1000) // half of the host
	if f := w.RequestSlowdown("render"); f != 1.5 {
		t.Errorf("slowdown by a request on a half-loaded host is %g, want 1.5", f)
	}
	w.AddRequests("quote", -1, 1000)
	if f := w.RequestSlowdown("render"); f != 1 {
		t.Errorf("slowdown after the request is %g", f)
	}
}

// Guards against a runner that accepts more connections than its limit, and against one that accepts
// no more after some have closed.
func TestRunnerLimitsConnections(t *testing.T) {
	history := standin.NewHistory(nil)
	r := standin.NewRunner(standin.RunnerConfig{ID: "r", MaxConns: 2, History: history})
	server, err := r.Listen()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	dial := func() net.Conn {
		c, err := net.Dial("tcp", server.Addr())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	first := dial()
	dial()
	if _, err := dial().Read(make([]byte, 1)); err == nil {
		t.Error("third connection was not closed")
	}
	if load := r.Load(); load.Conns != 2 || load.MaxConns != 2 {
		t.Errorf("load %+v, want 2 connections", load)
	}
	if e := history.Events(); len(e) != 1 || e[0].Type != standin.ConnRefused {
		t.Errorf("events %+v", e)
	}
	_ = first.Close()
	client := runner.NewClient(runner.Config{})
	poll.Until(t, "a connection is accepted after one was closed", func() bool {
		_, err := client.Do(t.Context(), server.Addr(), runner.Attempt{ID: "a", Service: "s", Kind: "quote", Remaining: poll.Limit})
		return err == nil
	})
}

// Guards against settings that tests in other processes cannot change, and against a Control that is applied in
// part or ignored because of an unknown name.
func TestControlOverHTTP(t *testing.T) {
	p, _ := newPlatform(t)
	post := func(body string) int {
		resp, err := http.Post(p.HostListURL+standin.ControlPath, "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
		return resp.StatusCode
	}
	c := store.NewClient(store.Config{Endpoint: p.StoreURL})
	for _, tc := range []struct {
		body   string
		status int
		down   bool
	}{
		{`{"store":{"down":true},"kill":["nobody"]}`, http.StatusBadRequest, false},
		{`{"stor":{"down":true}}`, http.StatusBadRequest, false},
		{`{"store":{"down":true}}`, http.StatusNoContent, true},
		{`{"workers":{"north-0-worker-0":{"failing":true}}}`, http.StatusNoContent, true},
		{`{"store":{"down":false}}`, http.StatusNoContent, false},
	} {
		if status := post(tc.body); status != tc.status {
			t.Errorf("%s: status %d, want %d", tc.body, status, tc.status)
		}
		if _, _, err := c.Get(t.Context(), "k"); (err != nil) != tc.down {
			t.Errorf("%s: read error %v, want down %t", tc.body, err, tc.down)
		}
	}
}
