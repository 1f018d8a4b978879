package worker_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/standin"
	"fulmarcourse.example/fulmarcourse/pkg/worker"
	"fulmarcourse.example/fulmarcourse/test/poll"
)

var shard = structs.ShardID{Datacentre: "dc", Index: 1}

func startCommand(epoch structs.Epoch) structs.StartCommand {
	return structs.StartCommand{
		Task: structs.TaskID{Job: "job"}, Attempt: 1, Kind: "render", Shard: shard, Epoch: epoch,
		Reserved: structs.Resources{MilliCPU: 1000}, Lease: time.Hour, RunSeconds: 3600,
	}
}

func ref(epoch structs.Epoch) worker.AttemptRef {
	return worker.AttemptRef{Task: structs.TaskID{Job: "job"}, Attempt: 1, Shard: shard, Epoch: epoch}
}

// start runs a fake worker with a fixed clock and returns it with its history and address.
func start(t *testing.T) (*standin.Worker, *standin.History, string) {
	t.Helper()
	now := time.Unix(1_000_000, 0)
	clock := func() time.Time { return now }
	history := standin.NewHistory(clock)
	w := standin.NewWorker(standin.WorkerConfig{ID: "w", Capacity: structs.Resources{MilliCPU: 1000}, Clock: clock, History: history})
	server := httptest.NewServer(w)
	t.Cleanup(server.Close)
	return w, history, server.Listener.Addr().String()
}

// Guards against commands that do not reach the worker or reach it with missing fields.
func TestCommands(t *testing.T) {
	_, history, addr := start(t)
	c := worker.NewClient(worker.Config{})
	if err := c.Start(t.Context(), addr, startCommand(5)); err != nil {
		t.Fatal(err)
	}
	if err := c.Throttle(t.Context(), addr, ref(5), 0.25); err != nil {
		t.Fatal(err)
	}
	checkpoint, err := c.Checkpoint(t.Context(), addr, ref(5))
	if err != nil || checkpoint == "" {
		t.Fatalf("checkpoint %q, error %v", checkpoint, err)
	}
	if err := c.Stop(t.Context(), addr, ref(5)); err != nil {
		t.Fatal(err)
	}
	inventory, err := c.Renew(t.Context(), addr, worker.RenewRequest{Shard: shard, Epoch: 5, Lease: time.Minute})
	if err != nil || inventory.Worker != "w" || len(inventory.Tasks) != 1 {
		t.Fatalf("inventory %+v, error %v", inventory, err)
	}
	task := inventory.Tasks[0]
	if task.State != structs.WorkerTaskStopped || task.Throttle != 0.25 || task.Checkpoint != checkpoint || task.Reserved != startCommand(5).Reserved {
		t.Errorf("task %+v", task)
	}
	inventory, err = c.Renew(t.Context(), addr, worker.RenewRequest{Shard: shard, Epoch: 5, Acknowledge: []worker.AttemptRef{ref(5)}})
	if err != nil || len(inventory.Tasks) != 0 {
		t.Errorf("inventory after the acknowledgement %+v, error %v", inventory, err)
	}
	if n := len(history.OfType(standin.TaskStarted)); n != 1 {
		t.Errorf("%d starts, want 1", n)
	}
}

// Guards against reporting a start as not run when its response is lost, and against running the attempt twice when the
// start is repeated.
func TestLostStartIsUncertain(t *testing.T) {
	w, history, addr := start(t)
	c := worker.NewClient(worker.Config{})
	w.LoseResponses(1)
	if err := c.Start(t.Context(), addr, startCommand(1)); !errors.Is(err, worker.ErrUncertain) || errors.Is(err, worker.ErrRefused) {
		t.Errorf("got %v, want ErrUncertain", err)
	}
	if err := c.Start(t.Context(), addr, startCommand(1)); err != nil {
		t.Errorf("repeated start: %v", err)
	}
	if n := len(history.OfType(standin.TaskStarted)); n != 1 {
		t.Errorf("%d starts, want 1", n)
	}
}

// Guards against running commands of a former owner, and against reporting them as refused, which the owner may retry.
func TestStaleEpoch(t *testing.T) {
	_, history, addr := start(t)
	c := worker.NewClient(worker.Config{})
	if _, err := c.Renew(t.Context(), addr, worker.RenewRequest{Shard: shard, Epoch: 6}); err != nil {
		t.Fatal(err)
	}
	_, checkpointErr := c.Checkpoint(t.Context(), addr, ref(5))
	_, renewErr := c.Renew(t.Context(), addr, worker.RenewRequest{Shard: shard, Epoch: 5})
	for name, err := range map[string]error{
		"start": c.Start(t.Context(), addr, startCommand(5)), "stop": c.Stop(t.Context(), addr, ref(5)),
		"throttle": c.Throttle(t.Context(), addr, ref(5), 1), "checkpoint": checkpointErr, "renew": renewErr,
	} {
		if !errors.Is(err, worker.ErrStaleEpoch) || errors.Is(err, worker.ErrRefused) {
			t.Errorf("%s: got %v, want ErrStaleEpoch", name, err)
		}
	}
	other := startCommand(5)
	other.Shard.Index = 2
	if err := c.Start(t.Context(), addr, other); err != nil {
		t.Errorf("epochs of one shard fence another: %v", err)
	}
	if n := len(history.OfType(standin.TaskStarted)); n != 1 {
		t.Errorf("%d starts, want 1", n)
	}
}

// serve starts a server that always sends the given response and returns its address.
func serve(t *testing.T, status int, body string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Guards against deriving a certain outcome from responses that do not state one.
func TestResponses(t *testing.T) {
	cases := []struct {
		status int
		body   string
		want   error
	}{
		{409, `{"type":"/problems/worker-refused","title":"Command refused","status":409,"detail":"full"}`, worker.ErrRefused},
		{409, `{"type":"/problems/stale-epoch","title":"Stale epoch","status":409}`, worker.ErrStaleEpoch},
		{409, `{"type":"/problems/other","title":"Other","status":409}`, worker.ErrUncertain},
		{500, `{}`, worker.ErrUncertain},
		{502, `<html>`, worker.ErrUncertain},
		{200, `{}`, worker.ErrUncertain},
		{200, `{"done":false}`, worker.ErrUncertain},
		{200, `{"done":tr`, worker.ErrUncertain},
		{200, `{"done":true}`, nil},
	}
	c := worker.NewClient(worker.Config{})
	for _, tc := range cases {
		err := c.Start(t.Context(), serve(t, tc.status, tc.body), startCommand(1))
		if tc.want == nil && err != nil || tc.want != nil && !errors.Is(err, tc.want) {
			t.Errorf("%d %s: got %v, want %v", tc.status, tc.body, err, tc.want)
		}
	}
}

// Guards against treating an empty JSON object as an inventory without tasks, after which the owner would allocate the
// capacity again, or as a checkpoint without a name.
func TestEmptyReplyIsUncertain(t *testing.T) {
	addr := serve(t, http.StatusOK, `{}`)
	c := worker.NewClient(worker.Config{})
	if _, err := c.Renew(t.Context(), addr, worker.RenewRequest{Shard: shard}); !errors.Is(err, worker.ErrUncertain) {
		t.Errorf("inventory: got %v, want ErrUncertain", err)
	}
	if _, err := c.Checkpoint(t.Context(), addr, ref(1)); !errors.Is(err, worker.ErrUncertain) {
		t.Errorf("checkpoint: got %v, want ErrUncertain", err)
	}
}

// Guards against confusing an unreachable worker with one that refuses a command, which has answered.
func TestUnreachable(t *testing.T) {
	// Nothing listens on port 1. Unlike a free port, it cannot be taken by another test.
	const refusing = "127.0.0.1:1"
	c := worker.NewClient(worker.Config{})
	err := c.Start(t.Context(), refusing, startCommand(1))
	if !errors.Is(err, worker.ErrRefused) || !errors.Is(err, worker.ErrUnreachable) {
		t.Errorf("refused connection: got %v, want ErrRefused and ErrUnreachable", err)
	}
	_, _, addr := start(t)
	large := startCommand(1)
	large.Reserved.MilliCPU = 1001
	err = c.Start(t.Context(), addr, large)
	if !errors.Is(err, worker.ErrRefused) || errors.Is(err, worker.ErrUnreachable) {
		t.Errorf("refusal: got %v, want ErrRefused only", err)
	}
}

// Guards against renewals that wait for slow commands until the task leases expire.
func TestRenewalsDoNotWaitForCommands(t *testing.T) {
	const conns, commands = 4, 8 // the client opens connections for half of the commands only
	var arrived atomic.Int64
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != worker.RenewPath {
			arrived.Add(1)
			<-release
		}
		_, _ = io.WriteString(w, `{"worker":"w","done":true}`)
	}))
	t.Cleanup(server.Close)
	addr := server.Listener.Addr().String()
	c := worker.NewClient(worker.Config{Timeout: time.Minute})
	errs := make(chan error, commands)
	for range commands {
		go func() { errs <- c.Stop(t.Context(), addr, ref(1)) }()
	}
	poll.Until(t, "commands use all their connections", func() bool { return arrived.Load() == conns })
	if _, err := c.Renew(t.Context(), addr, worker.RenewRequest{Shard: shard}); err != nil {
		t.Errorf("renewal while commands are blocked: %v", err)
	}
	close(release)
	for range commands {
		if err := <-errs; err != nil {
			t.Error(err)
		}
	}
}
