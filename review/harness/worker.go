//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// anyAddress lets a runner listen at a free port.
const anyAddress = "127.0.0.1:0"

// run is one run of a task on a runner. Outcome is empty while it runs; "gone" means that its runner has crashed.
type run struct {
	task    string
	number  int64
	worker  string
	started time.Time
	ended   time.Time
	outcome string
	spec    string
	endLost bool // the runner crashed, or its lease lapsed, before its end was taken note of
	acked   bool // lastSeen has reached its end
}

// job returns the id of the job that the run belongs to.
func (r *run) job() string {
	id, _, _ := strings.Cut(r.task, ".")
	return id
}

type runKey struct {
	task   string
	number int64
}

// activeRun is a run in progress. endsAt is zero for a task that lasts.
type activeRun struct {
	run      *run
	size     size
	endsAt   time.Time
	stopping bool
}

type endedRun struct {
	number  int64
	key     runKey
	outcome string
	run     *run
}

// size is an amount of capacity.
type size struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"memMb"`
	GPU   int64 `json:"gpu"`
}

// worker is a stand-in of one runner, at one address. It guards its capacity and answers as PROTOCOL.md says.
type worker struct {
	p       *platform
	machine int
	service string
	zone    string
	labels  []string
	address string

	mu        sync.Mutex // guards the fields below
	server    *http.Server
	id        string
	lives     int
	up        bool
	born      int64
	startedAt time.Time
	fence     int64
	leaseMs   int64 // end of the lease on the runner's clock
	running   map[runKey]*activeRun
	highest   map[string]int64 // by task, the highest run that was stopped or has ended here
	ended     []endedRun
	lastEnd   int64
	failing   bool // everything that it starts fails
	cut       bool // the entry hosts don't reach it, nor its answers them; it runs on
	changed   chan struct{}
}

const stopTime = 50 * time.Millisecond // a stop takes at most stopMs

func (w *worker) clockMs() int64 { return time.Since(w.startedAt).Milliseconds() + 1 }

// begin starts a new life of the runner at its address. A later life has a new id, unless keepID is set.
func (w *worker) begin(keepID bool) error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.address = listener.Addr().String()
	if w.id == "" || !keepID {
		w.lives++
		w.id = fmt.Sprintf("i-%04d-%d", w.machine, w.lives)
	}
	w.startedAt = time.Now()
	w.born = w.startedAt.UnixMilli()
	w.fence, w.leaseMs, w.lastEnd, w.ended = 0, 0, 0, nil
	w.running, w.highest = map[runKey]*activeRun{}, map[string]int64{}
	w.changed = make(chan struct{})
	w.server = &http.Server{Handler: w}
	w.up = true
	server := w.server
	w.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	w.writeEntry()
	return nil
}

// crash ends the runner's process with all that it runs. It is back after the given time: at its address under a new id or, if keepID
// is set, under the id that it had, at its address or, if moves is set, at another one.
func (w *worker) crash(downFor time.Duration, keepID, moves bool) {
	w.mu.Lock()
	now := time.Now()
	w.up = false
	lost := []string{}
	for key, a := range w.running {
		a.run.ended, a.run.outcome = now, "gone"
		lost = append(lost, fmt.Sprintf("%s run %d", key.task, key.number))
	}
	w.running = map[runKey]*activeRun{}
	w.loseEnds()
	server, id := w.server, w.id
	w.mu.Unlock()
	_ = server.Close()
	w.p.record.line("runner %s crashes; it ran %s", id, strings.Join(lost, ", "))
	if !keepID {
		time.AfterFunc(3*heartbeat, func() { w.p.store.inner.Delete("servers/" + id) })
	}
	time.AfterFunc(downFor, func() {
		if moves {
			w.mu.Lock()
			w.address = anyAddress
			w.mu.Unlock()
		}
		if err := w.begin(keepID); err != nil {
			w.p.record.line("runner at %s cannot start again: %v", w.address, err)
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.p.record.line("runner %s is up at %s, after %s", w.id, w.address, id)
	})
}

func (w *worker) setFailing(failing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failing = failing
}

// writeEntry writes the runner's entry to the store.
func (w *worker) writeEntry() {
	w.mu.Lock()
	up, id, born, address := w.up, w.id, w.born, w.address
	w.mu.Unlock()
	if !up {
		return
	}
	w.p.store.inner.Put("servers/"+id, map[string]any{
		"service": w.service, "address": address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "seq": time.Since(w.p.record.started).Milliseconds(), "born": born,
		"capacity": workerSize, "labels": w.labels,
	})
}

// used returns the capacity in use. w.mu is held.
func (w *worker) used() size {
	var sum size
	for _, a := range w.running {
		sum.CPU, sum.MemMB, sum.GPU = sum.CPU+a.size.CPU, sum.MemMB+a.size.MemMB, sum.GPU+a.size.GPU
	}
	return sum
}

// tick ends tasks that are due or whose lease has expired.
func (w *worker) tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	if w.clockMs() > w.leaseMs {
		w.loseEnds()
	}
	for key, a := range w.running {
		switch {
		case w.clockMs() > w.leaseMs:
			w.finish(key, "lapsed")
		case !a.endsAt.IsZero() && now.After(a.endsAt):
			w.finish(key, w.outcomeOf(a))
		}
	}
}

func (w *worker) outcomeOf(a *activeRun) string {
	switch {
	case a.stopping:
		return "stopped"
	case w.failing:
		return "failed"
	}
	return "done"
}

// finish ends a run and lists its end. w.mu is held.
func (w *worker) finish(key runKey, outcome string) {
	a := w.running[key]
	delete(w.running, key)
	a.run.ended, a.run.outcome = time.Now(), outcome
	w.highest[key.task] = max(w.highest[key.task], key.number)
	w.lastEnd++
	w.ended = append(w.ended, endedRun{w.lastEnd, key, outcome, a.run})
	close(w.changed)
	w.changed = make(chan struct{})
	w.p.record.line("runner %s ends %s run %d: %s", w.id, key.task, key.number, outcome)
}

type order struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"spec"`
	UntilMs  int64  `json:"untilMs"`
	Fence    int64  `json:"fencingToken"`
	LastSeen int64  `json:"lastSeen"`
	WaitMs   int64  `json:"waitMs"`
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loseIfCut(r)
	if !w.up {
		panic(http.ErrAbortHandler)
	}
	if expected := r.Header.Get("Fulmarcourse-Expect-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if o.Fence < w.fence {
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	w.fence = o.Fence
	switch r.URL.Path {
	case "/fulmarcourse/run-start":
		status, reason := w.start(o)
		w.p.record.line("runner %s gets start of %s run %d: %d %s", w.id, o.Task, o.Run, status, reason)
		w.answer(rw, status, map[string]any{"reason": reason})
	case "/fulmarcourse/run-stop":
		w.p.record.line("runner %s gets stop of %s run %d", w.id, o.Task, o.Run)
		w.stop(runKey{o.Task, o.Run})
		w.answer(rw, http.StatusOK, map[string]any{})
	case "/fulmarcourse/pace":
		w.answer(rw, http.StatusOK, map[string]any{})
	case "/fulmarcourse/hold":
		w.hold(rw, r, o)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

// loseIfCut leaves a request without an answer if the runner is cut off. w.mu is held.
func (w *worker) loseIfCut(r *http.Request) {
	if !w.cut {
		return
	}
	w.mu.Unlock()
	<-r.Context().Done()
	w.mu.Lock()
	panic(http.ErrAbortHandler)
}

// setCut cuts the runner off from the entry hosts, or ends that.
func (w *worker) setCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
}

// answer writes a response with the reading of the runner's clock. w.mu is held.
func (w *worker) answer(rw http.ResponseWriter, status int, body map[string]any) {
	body["clockMs"], body["born"] = w.clockMs(), w.born
	data, _ := json.Marshal(body)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(data)
}

// loseEnds records that the ends which were not taken note of never will be. w.mu is held.
func (w *worker) loseEnds() {
	for _, end := range w.ended {
		end.run.endLost = true
	}
}

func (w *worker) extendLease(untilMs int64) {
	w.leaseMs = max(w.leaseMs, min(untilMs, w.clockMs()+holdMax.Milliseconds()))
}

// start begins a run. w.mu is held.
func (w *worker) start(o order) (status int, reason string) {
	key := runKey{o.Task, o.Run}
	if _, runs := w.running[key]; runs {
		return http.StatusOK, ""
	}
	if o.UntilMs <= w.clockMs() {
		return http.StatusConflict, "late"
	}
	w.extendLease(o.UntilMs)
	if o.Run <= w.highest[o.Task] {
		return http.StatusConflict, "old"
	}
	task := w.p.task(o.Task)
	used := w.used()
	if used.CPU+task.size.CPU > workerSize.CPU || used.MemMB+task.size.MemMB > workerSize.MemMB {
		return http.StatusConflict, "room"
	}
	a := &activeRun{run: w.p.addRun(&run{task: o.Task, number: o.Run, worker: w.id, started: time.Now(), spec: o.Spec}), size: task.size}
	if task.work > 0 {
		a.endsAt = time.Now().Add(task.work)
	}
	w.running[key] = a
	return http.StatusOK, ""
}

// stop stops a run, or has it rejected if it comes later. w.mu is held.
func (w *worker) stop(key runKey) {
	w.highest[key.task] = max(w.highest[key.task], key.number)
	if a, runs := w.running[key]; runs && !a.stopping {
		a.stopping, a.endsAt = true, time.Now().Add(stopTime)
	}
}

// hold extends the lease, forgets the ends up to lastSeen and answers with both lists. w.mu is held.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o order) {
	if o.UntilMs > 0 {
		w.extendLease(o.UntilMs)
	}
	kept := []endedRun{}
	for _, end := range w.ended {
		if end.number > o.LastSeen {
			kept = append(kept, end)
			continue
		}
		end.run.acked = true
	}
	w.ended = kept
	born, deadline := w.born, time.After(time.Duration(o.WaitMs)*time.Millisecond)
	for waiting := o.WaitMs > 0; waiting && len(w.ended) == 0; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-r.Context().Done():
			waiting = false
		case <-deadline:
			waiting = false
		case <-changed:
		}
		w.mu.Lock()
	}
	w.loseIfCut(r)
	if !w.up || w.born != born {
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	for key, a := range w.running {
		percent := 100
		if !a.endsAt.IsZero() {
			percent = int(100 * float64(time.Since(a.run.started)) / float64(a.endsAt.Sub(a.run.started)))
		}
		running = append(running, []any{key.task, key.number, "", min(percent, 100), 0})
	}
	for _, end := range w.ended {
		ended = append(ended, []any{end.number, end.key.task, end.key.number, end.outcome, ""})
	}
	w.answer(rw, http.StatusOK, map[string]any{"running": running, "ended": ended})
}
