package fleet

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/fulmarcourse/pkg/standin"
)

// WorkerFaults are the ways in which a worker misbehaves. The zero value is a worker that works.
type WorkerFaults struct {
	Unresponsive   bool          // calls get no answer
	LateOrderOneIn int           // one in so many orders is not answered and carried out later; 0 for none
	LateOrderDelay time.Duration // after which late orders are carried out
	FailTasks      bool          // every task fails
	Slowdown       float64       // tasks take so many times as long; 0 for 1
}

// Run is one attempt of a task on a worker, as its history keeps it.
type Run struct {
	Task    string
	Attempt int64
	Worker  string
	Started time.Time
	Ended   time.Time // zero while it runs
	Outcome string
}

type runKey struct {
	task string
	run  int64
}

type running struct {
	index  int // in the history
	ends   time.Time
	starts time.Time
}

// Worker is the stand-in of one worker.
type Worker struct {
	ID string
	Datacentre,
	Rack string
	platform  *Platform
	address   string  // at which callers reach it
	clockRate float64 // of its clock, 1 for an exact one
	server    *standin.Server

	mu       sync.Mutex // guards the fields below
	faults   WorkerFaults
	born     int64
	booted   time.Time
	fence    int64
	until    int64 // lease, on the worker's clock in ms
	running  map[runKey]running
	ended    [][]any
	ends     int64
	highest  map[string]int64 // highest run of a task that was stopped or has ended here
	orders   int
	draining bool
	changed  chan struct{}
	stop     chan struct{}
}

func (w *Worker) clockMs() int64 {
	return int64(float64(time.Since(w.booted).Milliseconds())*w.clockRate) + 1
}

// SetFaults changes how the worker misbehaves.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Drain lets the worker report that it will leave.
func (w *Worker) Drain() {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	w.announce()
}

// Crash ends everything that runs; the worker starts anew under the same id.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key := range w.running {
		w.finish(key, "gone", false)
	}
	w.start()
}

// start begins a new life. w.mu is held.
func (w *Worker) start() {
	w.born = time.Now().UnixMilli()
	w.booted = time.Now()
	w.fence, w.until, w.ends, w.ended = 0, 0, 0, nil
	w.running, w.highest = map[runKey]running{}, map[string]int64{}
}

// announce writes the worker's entry.
func (w *Worker) announce() {
	w.mu.Lock()
	state, born := "ready", w.born
	if w.draining {
		state = "draining"
	}
	w.mu.Unlock()
	w.platform.Store.Put("servers/"+w.ID, map[string]any{
		"service": w.platform.Pool, "address": w.address, "zone": w.Datacentre, "version": "v1",
		"slots": 8, "state": state, "coldRemainingMs": 0, "remainingMs": 3000, "seq": 1, "born": born,
		"capacity": map[string]int{"cpu": 16000, "memMb": 64000, "gpu": 0}, "labels": []string{"a", w.Rack},
	})
}

// tick ends tasks that are over or whose lease has expired.
func (w *Worker) tick() {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case now := <-ticker.C:
			w.mu.Lock()
			for key, r := range w.running {
				switch {
				case w.clockMs() > w.until:
					w.finish(key, "lapsed", true)
				case !r.ends.IsZero() && now.After(r.ends):
					how := "done"
					if w.faults.FailTasks {
						how = "failed"
					}
					w.finish(key, how, true)
				}
			}
			w.mu.Unlock()
		}
	}
}

// finish ends a run; listed tells whether the worker lists the end. w.mu is held.
func (w *Worker) finish(key runKey, how string, listed bool) {
	r := w.running[key]
	delete(w.running, key)
	w.platform.ended(r.index, how)
	if !listed {
		return
	}
	w.highest[key.task] = max(w.highest[key.task], key.run)
	w.ends++
	w.ended = append(w.ended, []any{w.ends, key.task, key.run, how, ""})
	close(w.changed)
	w.changed = make(chan struct{})
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
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	w.orders++
	faults := w.faults
	late := faults.LateOrderOneIn > 0 && r.URL.Path != "/fulmarcourse/hold" && w.orders%faults.LateOrderOneIn == 0
	life := w.born
	w.mu.Unlock()
	if faults.Unresponsive {
		<-r.Context().Done()
		return
	}
	if late {
		time.AfterFunc(faults.LateOrderDelay, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.born == life {
				w.carryOut(r.URL.Path, o)
			}
		})
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/fulmarcourse/hold" {
		w.hold(rw, r, o)
		return
	}
	w.mu.Lock()
	status, reason := w.carryOut(r.URL.Path, o)
	clock := w.clockMs()
	w.mu.Unlock()
	standin.WriteJSON(rw, status, map[string]any{"clockMs": clock, "reason": reason})
}

// carryOut does what an order says. w.mu is held.
func (w *Worker) carryOut(path string, o order) (status int, reason string) {
	if o.Fence < w.fence {
		return http.StatusConflict, "fence"
	}
	w.fence = o.Fence
	key := runKey{o.Task, o.Run}
	switch path {
	case "/fulmarcourse/run-start":
		return w.begin(key, o)
	case "/fulmarcourse/run-stop":
		w.highest[o.Task] = max(w.highest[o.Task], o.Run)
		if _, runs := w.running[key]; runs {
			w.finish(key, "stopped", true)
		}
	}
	return http.StatusOK, ""
}

func (w *Worker) begin(key runKey, o order) (status int, reason string) {
	if _, runs := w.running[key]; runs {
		return http.StatusOK, ""
	}
	if o.UntilMs <= w.clockMs() {
		return http.StatusConflict, "late"
	}
	if key.run <= w.highest[key.task] {
		return http.StatusConflict, "old"
	}
	w.until = max(w.until, o.UntilMs)
	now := time.Now()
	r := running{starts: now, index: w.platform.started(Run{Task: key.task, Attempt: key.run, Worker: w.ID, Started: now})}
	if work := w.platform.work(key.task); work > 0 {
		r.ends = now.Add(time.Duration(float64(work) * max(w.faults.Slowdown, 1)))
	}
	w.running[key] = r
	return http.StatusOK, ""
}

// hold extends the lease, forgets ends and returns both lists, at the latest after the wait.
func (w *Worker) hold(rw http.ResponseWriter, r *http.Request, o order) {
	deadline := time.NewTimer(time.Duration(o.WaitMs) * time.Millisecond)
	defer deadline.Stop()
	w.mu.Lock()
	if o.Fence < w.fence {
		clock := w.clockMs()
		w.mu.Unlock()
		standin.WriteJSON(rw, http.StatusConflict, map[string]any{"clockMs": clock, "reason": "fence"})
		return
	}
	w.fence = o.Fence
	w.until = max(w.until, o.UntilMs)
	kept := w.ended[:0:0]
	for _, row := range w.ended {
		if row[0].(int64) > o.LastSeen {
			kept = append(kept, row)
		}
	}
	w.ended = kept
	for len(w.ended) == 0 && o.WaitMs > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-deadline.C:
			o.WaitMs = 0
		}
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	rows := [][]any{}
	for key, run := range w.running {
		percent := 100.0
		if !run.ends.IsZero() {
			percent = 100 * float64(time.Since(run.starts)) / float64(run.ends.Sub(run.starts))
		}
		rows = append(rows, []any{key.task, key.run, "", int(percent), 0})
	}
	standin.WriteJSON(rw, http.StatusOK, map[string]any{
		"clockMs": w.clockMs(), "born": w.born, "running": rows, "ended": append([][]any{}, w.ended...),
	})
}

// serve starts the worker's server.
func (w *Worker) serve() error {
	server, err := standin.NewServer(w)
	if err != nil {
		return errors.Annotatef(err, "worker %s", w.ID)
	}
	w.server = server
	go w.tick()
	return nil
}
