package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"testing"
	"time"

	"fulmarcourse.example/fulmarcourse/test/poll"
)

// entry is what a worker writes to the store, as far as the tests read it.
type entry struct {
	Service, Address, Zone string
	Born                   int64
	Labels                 []string
	Capacity               Resources
}

// entryOf returns the stored entry of an id; its fields are zero if there is none.
func entryOf(t *testing.T, p *Platform, id string) (e entry) {
	t.Helper()
	if data := p.Store.Value("servers/" + id); data != nil {
		if err := json.Unmarshal(data, &e); err != nil {
			t.Fatal(err)
		}
	}
	return e
}

// reply is what a worker answers to a call.
type reply struct {
	Status  int // 0 for no response
	ClockMs int64
	Reason  string
}

// callAt calls the worker with an id at an address, and waits for a response for at most half a second.
func callAt(t *testing.T, address, id, path string, body order) (r reply, waited bool) {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(headerExpectInstance, id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, ctx.Err() != nil
	}
	defer func() { _ = resp.Body.Close() }()
	_ = json.NewDecoder(resp.Body).Decode(&r) // a response with status 421 has no body
	r.Status = resp.StatusCode
	return r, false
}

// newWorkers starts a platform without an owner.
func newWorkers(t *testing.T, cfg Config) *Platform {
	t.Helper()
	cfg.Datacentres = []string{"dc"}
	if cfg.RunTime == nil {
		cfg.RunTime = func(string) time.Duration { return 0 }
	}
	p, err := NewPlatform(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

func crashAndReturn(t *testing.T, w *Worker, r Return) {
	t.Helper()
	if err := w.CrashAndReturn(r); err != nil {
		t.Fatal(err)
	}
}

const (
	pathPoll  = "/fulmarcourse/hold"
	pathStart = "/fulmarcourse/run-start"
)

// Guards against a stand-in whose worker returns with something of its former process, or still answers at its former address:
// tests with such workers would not show what an owner does about them.
func TestWorkerReturnsAtAnotherAddressAsAnotherKind(t *testing.T) {
	for name, silent := range map[string]bool{"former address closes connections": false, "former address is silent": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newWorkers(t, Config{Workers: 1})
			w, former := p.Workers()[0], entryOf(t, p, "i-0000")
			start := order{Task: "j.0.0.0", Attempt: 5, UntilMs: time.Minute.Milliseconds(), Fence: 9}
			if r, _ := callAt(t, former.Address, "i-0000", pathStart, start); r.Status != http.StatusOK {
				t.Fatalf("start: %+v", r)
			}
			crashAndReturn(t, w, Return{
				NewAddress: true, OldSilent: silent, Born: func(born int64) int64 { return born - 1000 },
				As: func(k *Kind) {
					*k = Kind{Datacentre: "dc2", Rack: "r-7", Pool: "other", Labels: []string{"b"}, Capacity: Resources{CPU: 500, MemMB: 10, GPU: 1}}
				},
			})
			if r, waited := callAt(t, former.Address, "i-0000", pathPoll, order{}); r.Status != 0 || waited != silent {
				t.Errorf("a call to the former address gets %+v, time-out %t", r, waited)
			}
			now := former
			poll.Until(t, "the entry has changed", func() bool { now = entryOf(t, p, "i-0000"); return now.Address != former.Address })
			if now.Service != "other" || now.Zone != "dc2" || !slices.Equal(now.Labels, []string{"b", "r-7"}) ||
				now.Capacity != (Resources{500, 10, 1}) || now.Born != former.Born-1000 {
				t.Errorf("entry %+v after %+v", now, former)
			}
			start.Attempt, start.Fence = 1, 1 // both lower than those that the former process has seen
			r, _ := callAt(t, now.Address, "i-0000", pathStart, start)
			if r.Status != http.StatusOK || r.ClockMs > 5000 {
				t.Errorf("start on the new process: %+v", r)
			}
			runs := p.History()
			if len(runs) != 2 || runs[0].Outcome != "gone" || !slices.Equal(runs[1].Labels, []string{"b", "r-7"}) {
				t.Errorf("history %+v", runs)
			}
		})
	}
}

// Guards against a stand-in that answers a poll of a former process with the lists of the new one.
func TestOpenPollOfACrashedProcessGetsNoResponse(t *testing.T) {
	p := newWorkers(t, Config{Workers: 1})
	w := p.Workers()[0]
	polled := make(chan reply, 1)
	go func() {
		r, _ := callAt(t, w.Endpoint().Address, "i-0000", pathPoll, order{WaitMs: 300, UntilMs: time.Minute.Milliseconds()})
		polled <- r
	}()
	poll.Until(t, "the poll is open", func() bool { return w.Calls() == 1 })
	w.Crash()
	if r := <-polled; r.Status != 0 {
		t.Errorf("the poll gets %+v", r)
	}
}

// Guards against a stand-in without a time in which the list still names the former process, and without a former address at
// which another worker listens.
func TestFormerAddressIsUsedByAnotherWorker(t *testing.T) {
	p := newWorkers(t, Config{Workers: 2})
	moved, other := p.Workers()[0], p.Workers()[1]
	address, former := entryOf(t, p, "i-0000").Address, moved.Endpoint()
	const stale = 1500 * time.Millisecond
	started := time.Now()
	crashAndReturn(t, moved, Return{After: 10 * time.Millisecond, NewAddress: true, StaleEntry: stale})
	crashAndReturn(t, other, Return{After: 20 * time.Millisecond, At: former})
	poll.Until(t, "the other worker answers at the former address", func() bool {
		r, _ := callAt(t, address, "i-0001", pathPoll, order{})
		return r.Status == http.StatusOK
	})
	if r, _ := callAt(t, address, "i-0000", pathPoll, order{}); r.Status != http.StatusMisdirectedRequest {
		t.Errorf("a call that is meant for the former worker gets %+v", r)
	}
	poll.Until(t, "the entry has changed", func() bool { return entryOf(t, p, "i-0000").Address != address })
	if took := time.Since(started); took < stale {
		t.Errorf("the entry has changed after %v, want at least %v", took, stale)
	}
	if r, _ := callAt(t, entryOf(t, p, "i-0000").Address, "i-0000", pathPoll, order{}); r.Status != http.StatusOK {
		t.Errorf("the worker that has moved answers %+v", r)
	}
}

// Guards against a stand-in that accepts more than its capacity, or whose history does not show a start without the label.
func TestStartsAreCheckedAgainstCapacityAndLabels(t *testing.T) {
	p := newWorkers(t, Config{Workers: 1, Requires: func(string) Requirements {
		return Requirements{Resources: Resources{CPU: 9000}, Label: "b"}
	}})
	address := p.Workers()[0].Endpoint().Address
	for n, want := range []reply{{Status: http.StatusOK}, {Status: http.StatusConflict, Reason: "room"}} {
		r, _ := callAt(t, address, "i-0000", pathStart, order{Task: jobTask(n), Attempt: 1, UntilMs: time.Minute.Milliseconds()})
		if r.Status != want.Status || r.Reason != want.Reason {
			t.Errorf("start %d: %+v, want %+v", n, r, want)
		}
	}
	if found := p.RunsWithoutLabel(); len(found) != 1 {
		t.Errorf("starts without the label: %v", found)
	}
}

func jobTask(n int) string { return []string{"j.0.0.0", "j.0.0.1"}[n] }

// Guards against a stand-in whose worker answers, is listed or counts as present after it was removed, and against a later worker that
// gets its id: tests with such a worker would not show what an owner does about one that is lost for good.
func TestRemovedWorkerDoesNotReturn(t *testing.T) {
	t.Parallel()
	p := newWorkers(t, Config{Workers: 2})
	w, former := p.Workers()[1], entryOf(t, p, "i-0001")
	start := order{Task: "j.0.0.0", Attempt: 5, UntilMs: time.Minute.Milliseconds(), Fence: 9}
	if r, _ := callAt(t, former.Address, "i-0001", pathStart, start); r.Status != http.StatusOK {
		t.Fatalf("start: %+v", r)
	}
	p.Remove(w)
	if r, waited := callAt(t, former.Address, "i-0001", pathPoll, order{}); r.Status != 0 || waited {
		t.Errorf("poll of the removed worker: %+v, waited %t", r, waited)
	}
	if runs := p.History(); len(runs) != 1 || runs[0].Outcome != "gone" {
		t.Errorf("runs after the removal: %+v", runs)
	}
	if workers := p.Workers(); len(workers) != 1 || workers[0] == w {
		t.Errorf("%d workers after the removal, want the other one", len(workers))
	}
	if entryOf(t, p, "i-0001").Address == "" {
		t.Error("the entry of the removed worker is gone at once")
	}
	added, err := p.AddWorker()
	if err != nil {
		t.Fatal(err)
	}
	if added.ID != "i-0002" {
		t.Errorf("the worker that was added has the id %s", added.ID)
	}
	poll.Until(t, "the entry of the removed worker is gone", func() bool { return p.Store.Value("servers/i-0001") == nil })
}
