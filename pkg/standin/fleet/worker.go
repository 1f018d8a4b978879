package fleet

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"fulmarcourse.example/fulmarcourse/pkg/standin"
)

// WorkerFaults are the faults that a worker injects. The zero value injects none.
type WorkerFaults struct {
	Unresponsive   bool          // calls get no response
	LateOrderOneIn int           // one in this many orders gets no response and is executed later; 0 for none
	LateOrderDelay time.Duration // time after which late orders are executed
	FailTasks      bool          // every task fails
	Slowdown       float64       // factor of the run time of tasks; values below 1 count as 1
}

// CrashingInput is the input of tasks that crash their worker soon after they have started. The worker returns at its address
// under another id.
const CrashingInput = "crash the worker"

const (
	crashDelay      = 10 * time.Millisecond // until a task with CrashingInput crashes its worker
	crashDowntime   = time.Second           // until a worker that has crashed answers under its new id
	entryExpiration = 3 * time.Second       // until the entry of its former id is removed
)

// headerExpectInstance names the id of the worker that a call is meant for. A worker with another id rejects it.
const headerExpectInstance = "Fulmarcourse-Expect-Instance"

// formerID is an id under which a worker is still listed after its process has ended.
type formerID struct {
	id    string
	until time.Time // when its entry is removed
}

// maxTaskLease is the longest lease that a worker grants, on its own clock. It shortens longer ones.
const maxTaskLease = 6 * time.Second

// Run is the history entry of one attempt of a task on a worker. Outcome is empty while it runs, then "done", "failed",
// "stopped", "lapsed" if the lease expired, or "gone" if the worker crashed.
type Run struct {
	Task    string
	Attempt int64
	Worker  string
	Started time.Time
	Ended   time.Time // zero while it runs
	Outcome string
	// EndLost states that the worker's lease lapsed, or its process crashed, after the end and before its acknowledgement. The
	// platform then treats the end as never reported, for good, and allows the task to start again.
	EndLost bool
}

type runKey struct {
	task    string
	attempt int64
}

type activeRun struct {
	index     int // in Platform.history
	endsAt    time.Time
	startedAt time.Time
}

// endedRun is an end that no caller has acknowledged yet.
type endedRun struct {
	number  int64
	key     runKey
	outcome string
	index   int // in Platform.history
}

// Worker is a fake of one worker. It is an http.Handler.
type Worker struct {
	ID string
	Datacentre,
	Rack string
	platform  *Platform
	address   string  // at which callers reach the worker
	clockRate float64 // speed of the worker's clock; 1 is exact
	server    *standin.Server

	mu             sync.Mutex // guards the fields below
	id             string     // of the current process: ID, or another one after a crash under a new id
	former         []formerID
	downUntil      time.Time // it answers no calls before
	faults         WorkerFaults
	incarnation    int64
	startedAt      time.Time
	fence          int64 // highest fencing token received
	leaseUntil     int64 // end of the lease, on the worker's clock in ms
	running        map[runKey]activeRun
	ended          []endedRun       // unacknowledged ends
	lastEnd        int64            // number of the latest end
	highestAttempt map[string]int64 // highest attempt of a task that was stopped or has ended here
	orders         int              // received so far, including polls
	draining       bool
	changed        chan struct{} // closed and replaced when a task ends
	stop           chan struct{}
}

// clockMs returns the worker's clock: milliseconds since its start, beginning with 1.
func (w *Worker) clockMs() int64 {
	return int64(float64(time.Since(w.startedAt).Milliseconds())*w.clockRate) + 1
}

// SetFaults replaces the faults that the worker injects.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Drain makes the worker report that it is draining.
func (w *Worker) Drain() {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	w.writeEntry()
}

// Crash ends all runs without reporting them and restarts the worker under the same id with a new incarnation.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key := range w.running {
		w.finish(key, "gone", false)
	}
	w.start()
}

// CrashUnderNewID ends all runs without reporting them. A new process answers at the worker's address after crashDowntime,
// under another id. The entry of the former one remains for entryExpiration.
func (w *Worker) CrashUnderNewID() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key := range w.running {
		w.finish(key, "gone", false)
	}
	now := time.Now()
	w.former = append(w.former, formerID{w.id, now.Add(entryExpiration)})
	w.start()
	w.downUntil = now.Add(crashDowntime)
	w.incarnation = w.downUntil.UnixMilli()
	w.id = fmt.Sprintf("%s-%d", w.ID, w.incarnation)
}

// removeFormerEntries removes the entries of former ids that have expired.
func (w *Worker) removeFormerEntries() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.former = slices.DeleteFunc(w.former, func(f formerID) bool {
		expired := time.Now().After(f.until)
		if expired {
			w.platform.Store.Delete("servers/" + f.id)
		}
		return expired
	})
}

// start begins a new incarnation without a lease, runs or ends. w.mu is held.
func (w *Worker) start() {
	w.loseEnds()
	w.incarnation = time.Now().UnixMilli()
	w.startedAt = time.Now()
	w.fence, w.leaseUntil, w.lastEnd, w.ended = 0, 0, 0, nil
	w.running, w.highestAttempt = map[runKey]activeRun{}, map[string]int64{}
}

// writeEntry writes the worker's entry to the store.
func (w *Worker) writeEntry() {
	w.mu.Lock()
	state, incarnation, id := "ready", w.incarnation, w.id
	if w.draining {
		state = "draining"
	}
	down := time.Now().Before(w.downUntil)
	w.mu.Unlock()
	if down {
		return
	}
	w.platform.Store.Put("servers/"+id, map[string]any{
		"service": w.platform.Pool, "address": w.address, "zone": w.Datacentre, "version": "v1",
		"slots": 8, "state": state, "coldRemainingMs": 0, "remainingMs": 3000, "seq": 1, "born": incarnation,
		"capacity": map[string]int{"cpu": 16000, "memMb": 64000, "gpu": 0}, "labels": []string{"a", w.Rack},
	})
}

// endDueTasks ends tasks that have finished or whose lease has expired, until the worker is closed.
func (w *Worker) endDueTasks() {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			return
		case now := <-ticker.C:
			w.mu.Lock()
			w.markLapsedEnds()
			for key, r := range w.running {
				switch {
				case w.clockMs() > w.leaseUntil:
					w.finish(key, "lapsed", true)
				case !r.endsAt.IsZero() && now.After(r.endsAt):
					outcome := "done"
					if w.faults.FailTasks {
						outcome = "failed"
					}
					w.finish(key, outcome, true)
				}
			}
			w.mu.Unlock()
		}
	}
}

// markLapsedEnds records in the history that the lease has lapsed before the listed ends were acknowledged. w.mu is held.
func (w *Worker) markLapsedEnds() {
	if w.clockMs() <= w.leaseUntil {
		return
	}
	w.loseEnds()
}

// loseEnds records in the history that the listed ends will never be acknowledged. w.mu is held.
func (w *Worker) loseEnds() {
	for _, end := range w.ended {
		w.platform.recordEndLost(end.index)
	}
}

// extendLease extends the lease to a time on the worker's clock, by at most maxTaskLease from now. w.mu is held.
func (w *Worker) extendLease(untilMs int64) {
	w.markLapsedEnds()
	w.leaseUntil = max(w.leaseUntil, min(untilMs, w.clockMs()+maxTaskLease.Milliseconds()))
}

// finish ends a run. The worker reports the end if report is true. w.mu is held.
func (w *Worker) finish(key runKey, outcome string, report bool) {
	r := w.running[key]
	delete(w.running, key)
	w.platform.recordEnd(r.index, outcome)
	if !report {
		return
	}
	w.highestAttempt[key.task] = max(w.highestAttempt[key.task], key.attempt)
	w.lastEnd++
	w.ended = append(w.ended, endedRun{number: w.lastEnd, key: key, outcome: outcome, index: r.index})
	close(w.changed)
	w.changed = make(chan struct{})
}

// order is the body of every call: an order to start or stop an attempt, or a poll.
type order struct {
	Task     string `json:"task"`
	Attempt  int64  `json:"run"`
	Spec     string `json:"spec"`
	UntilMs  int64  `json:"untilMs"` // end of the lease, on the worker's clock
	Fence    int64  `json:"fencingToken"`
	AckedEnd int64  `json:"lastSeen"` // number of the latest end that the caller acknowledges
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
	incarnation := w.incarnation
	expected := r.Header.Get(headerExpectInstance)
	down, other := time.Now().Before(w.downUntil), expected != "" && expected != w.id
	w.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	if other {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if faults.Unresponsive {
		<-r.Context().Done()
		return
	}
	if late {
		time.AfterFunc(faults.LateOrderDelay, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.incarnation == incarnation {
				w.execute(r.URL.Path, o)
			}
		})
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/fulmarcourse/hold" {
		w.servePoll(rw, r, o)
		return
	}
	w.mu.Lock()
	status, reason := w.execute(r.URL.Path, o)
	clock := w.clockMs()
	w.mu.Unlock()
	standin.WriteJSON(rw, status, map[string]any{"clockMs": clock, "reason": reason})
}

// execute applies an order and returns the status of the response and the reason of a rejection. w.mu is held.
func (w *Worker) execute(path string, o order) (status int, reason string) {
	if o.Fence < w.fence {
		return http.StatusConflict, "fence"
	}
	w.fence = o.Fence
	key := runKey{o.Task, o.Attempt}
	switch path {
	case "/fulmarcourse/run-start":
		return w.startRun(key, o)
	case "/fulmarcourse/run-stop":
		w.highestAttempt[o.Task] = max(w.highestAttempt[o.Task], o.Attempt)
		if _, runs := w.running[key]; runs {
			w.finish(key, "stopped", true)
		}
	}
	return http.StatusOK, ""
}

func (w *Worker) startRun(key runKey, o order) (status int, reason string) {
	if _, runs := w.running[key]; runs {
		return http.StatusOK, ""
	}
	if o.UntilMs <= w.clockMs() {
		return http.StatusConflict, "late"
	}
	w.extendLease(o.UntilMs) // also by a start that is rejected as old
	if key.attempt <= w.highestAttempt[key.task] {
		return http.StatusConflict, "old"
	}
	now := time.Now()
	r := activeRun{startedAt: now, index: w.platform.recordStart(Run{Task: key.task, Attempt: key.attempt, Worker: w.id, Started: now})}
	if work := w.platform.runTime(key.task); work > 0 {
		r.endsAt = now.Add(time.Duration(float64(work) * max(w.faults.Slowdown, 1)))
	}
	w.running[key] = r
	if o.Spec == CrashingInput {
		time.AfterFunc(crashDelay, w.CrashUnderNewID)
	}
	return http.StatusOK, ""
}

// servePoll extends the lease, drops acknowledged ends and returns the running tasks and the other ends. If there are
// no ends, it first waits for one, for at most o.WaitMs milliseconds.
func (w *Worker) servePoll(rw http.ResponseWriter, r *http.Request, o order) {
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
	w.extendLease(o.UntilMs)
	w.ended = slices.DeleteFunc(w.ended, func(end endedRun) bool { return end.number <= o.AckedEnd })
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
	running, ended := [][]any{}, [][]any{}
	for key, run := range w.running {
		percent := 100.0
		if !run.endsAt.IsZero() {
			percent = 100 * float64(time.Since(run.startedAt)) / float64(run.endsAt.Sub(run.startedAt))
		}
		running = append(running, []any{key.task, key.attempt, "", int(percent), 0})
	}
	for _, end := range w.ended {
		ended = append(ended, []any{end.number, end.key.task, end.key.attempt, end.outcome, ""})
	}
	standin.WriteJSON(rw, http.StatusOK, map[string]any{
		"clockMs": w.clockMs(), "born": w.incarnation, "running": running, "ended": ended,
	})
}

// serve starts the worker's server and the loop that ends its tasks.
func (w *Worker) serve() error {
	server, err := standin.NewServer(w)
	if err != nil {
		return errors.Annotatef(err, "worker %s", w.ID)
	}
	w.server = server
	go w.endDueTasks()
	return nil
}
