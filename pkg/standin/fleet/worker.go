package fleet

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

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
	crashDowntime   = time.Second           // until a worker that has crashed answers again, unless Return.After is set
	entryExpiration = 3 * time.Second       // until the entry of its former id is removed
)

// headerExpectInstance names the id of the worker that a call is meant for. A worker with another id rejects it.
const headerExpectInstance = "Fulmarcourse-Expect-Instance"

// MaxTaskLease is the longest lease that a worker grants, on its own clock, unless Config.MaxTaskLease is set. It shortens longer ones.
const MaxTaskLease = 6 * time.Second

// Limits of a worker that the platform's documents state.
const (
	endsPerReply = 500             // number of ends in the response to a poll, the earliest first
	maxPollWait  = 2 * time.Second // for how long a poll may wait for an end
	maxStopTime  = 400 * time.Millisecond
)

// Run is the history entry of one attempt of a task on a worker. Outcome is empty while it runs, then "done", "failed",
// "stopped", "lapsed" if the lease expired, or "gone" if the worker crashed.
type Run struct {
	Task    string
	Attempt int64
	Worker  string
	Labels  []string // of the worker's process
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
	needs     Resources
	endsAt    time.Time
	startedAt time.Time
	stopped   bool // a stop was ordered and ends the run at endsAt
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
	ID        string
	platform  *Platform
	clockRate float64    // speed of the worker's clock; 1 is exact
	rnd       *rand.Rand // decides how long stops take; guarded by mu

	mu             sync.Mutex // guards the fields below
	id             string     // of the current process: ID, or another one after a crash under a new id
	kind           Kind
	endpoint       *Endpoint
	former         []formerID
	generation     int       // number of processes that have ended
	down           bool      // there is no process
	entryFrom      time.Time // the process writes no entry before
	faults         WorkerFaults
	incarnation    int64
	startedAt      time.Time
	fence          int64 // highest fencing token received
	leaseUntil     int64 // end of the lease, on the worker's clock in ms
	running        map[runKey]activeRun
	ended          []endedRun       // unacknowledged ends
	lastEnd        int64            // number of the latest end
	latestPoll     order            // the latest one with a lease end
	formerPoll     order            // latestPoll of the former process
	highestAttempt map[string]int64 // highest attempt of a task that was stopped or has ended here
	orders         int              // received so far, including polls
	draining       bool
	changed        chan struct{} // closed and replaced when a task or the process ends
	stop           chan struct{}
}

// Endpoint returns where the worker listens; nil while it is down.
func (w *Worker) Endpoint() *Endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return nil
	}
	return w.endpoint
}

// Listed returns the id of the worker's process, and whether its entry in the store names the address and the start of that process.
func (w *Worker) Listed() (id string, listed bool) {
	w.mu.Lock()
	id, address, born, down := w.id, w.endpoint.Address, w.incarnation, w.down
	w.mu.Unlock()
	var entry struct {
		Address string
		Born    int64
	}
	err := json.Unmarshal(w.platform.Store.Value("servers/"+id), &entry)
	return id, err == nil && !down && entry.Address == address && entry.Born == born
}

// Sound returns the id and the kind of the worker's process, and whether it is up and listed, without faults, and does not drain.
func (w *Worker) Sound() (id string, kind Kind, sound bool) {
	id, listed := w.Listed()
	w.mu.Lock()
	defer w.mu.Unlock()
	return id, w.kind, listed && id == w.id && !w.draining && w.faults == (WorkerFaults{})
}

// FailServices ends the runs of all tasks that run until they are stopped, as failed.
func (w *Worker) FailServices() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, r := range w.running {
		if r.endsAt.IsZero() {
			w.finish(key, "failed", true)
		}
	}
}

// Calls returns the number of calls that the worker has received, polls included.
func (w *Worker) Calls() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.orders
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

// writeEntry writes the worker's entry to the store.
func (w *Worker) writeEntry() {
	w.mu.Lock()
	state, incarnation, id, kind, address := "ready", w.incarnation, w.id, w.kind, w.endpoint.Address
	if w.draining {
		state = "draining"
	}
	unwritten := w.down || time.Now().Before(w.entryFrom)
	w.mu.Unlock()
	if unwritten {
		return
	}
	w.platform.Store.Put("servers/"+id, map[string]any{
		"service": kind.Pool, "address": address, "zone": kind.Datacentre, "version": "v1",
		"slots": 8, "state": state, "coldRemainingMs": 0, "remainingMs": 3000, "seq": 1, "born": incarnation,
		"capacity": kind.Capacity, "labels": kind.AllLabels(),
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
					w.finish(key, w.outcome(r), true)
				}
			}
			w.mu.Unlock()
		}
	}
}

// outcome returns how a run ends that is due. w.mu is held.
func (w *Worker) outcome(r activeRun) string {
	switch {
	case r.stopped:
		return "stopped"
	case w.faults.FailTasks:
		return "failed"
	}
	return "done"
}

// stopRun makes a run end within maxStopTime. Until then it counts as running. w.mu is held.
func (w *Worker) stopRun(key runKey) {
	r, runs := w.running[key]
	if !runs || r.stopped {
		return
	}
	due := time.Now().Add(time.Duration(w.rnd.Int64N(int64(maxStopTime))))
	if r.endsAt.IsZero() || due.Before(r.endsAt) {
		r.endsAt, r.stopped = due, true
		w.running[key] = r
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

// extendLease extends the lease to a time on the worker's clock, by at most the longest lease from now. w.mu is held.
func (w *Worker) extendLease(untilMs int64) {
	w.markLapsedEnds()
	w.leaseUntil = max(w.leaseUntil, min(untilMs, w.clockMs()+w.platform.cfg.maxTaskLease().Milliseconds()))
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
	w.notify()
}

// notify wakes the polls that wait for a change. w.mu is held.
func (w *Worker) notify() {
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
	generation := w.generation
	expected := r.Header.Get(headerExpectInstance)
	down, other := w.down, expected != "" && expected != w.id
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
			if w.generation == generation {
				w.execute(r.URL.Path, o)
			}
		})
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/fulmarcourse/hold" {
		w.servePoll(rw, r, o, generation)
		return
	}
	w.lockProcess(generation)
	status, reason := w.execute(r.URL.Path, o)
	clock := w.clockMs()
	w.mu.Unlock()
	standin.WriteJSON(rw, status, map[string]any{"clockMs": clock, "reason": reason})
}

// lockProcess locks w.mu, if the process that has received a call has not ended. Otherwise the call gets no response.
func (w *Worker) lockProcess(generation int) {
	w.mu.Lock()
	if w.generation != generation {
		w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
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
		w.stopRun(key)
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
	needs := w.platform.requirements(key.task).Resources
	if !w.reserved().Plus(needs).Within(w.kind.Capacity) {
		return http.StatusConflict, "room"
	}
	now := time.Now()
	r := activeRun{startedAt: now, needs: needs, index: w.platform.recordStart(Run{
		Task: key.task, Attempt: key.attempt, Worker: w.id, Labels: w.kind.AllLabels(), Started: now,
	})}
	if work := w.platform.runTime(key.task); work > 0 {
		r.endsAt = now.Add(time.Duration(float64(work) * max(w.faults.Slowdown, 1)))
	}
	w.running[key] = r
	if o.Spec == CrashingInput {
		time.AfterFunc(crashDelay, w.CrashUnderNewID)
	}
	return http.StatusOK, ""
}

// reserved returns the sum of what the running tasks need. w.mu is held.
func (w *Worker) reserved() (sum Resources) {
	for _, r := range w.running {
		sum = sum.Plus(r.needs)
	}
	return sum
}

// servePoll extends the lease, drops acknowledged ends and returns the running tasks and the earliest endsPerReply of the other ends. If there
// are no ends, it first waits for one, for at most o.WaitMs milliseconds or maxPollWait.
func (w *Worker) servePoll(rw http.ResponseWriter, r *http.Request, o order, generation int) {
	deadline := time.NewTimer(min(time.Duration(o.WaitMs)*time.Millisecond, maxPollWait))
	defer deadline.Stop()
	w.lockProcess(generation)
	if o.Fence < w.fence {
		clock := w.clockMs()
		w.mu.Unlock()
		standin.WriteJSON(rw, http.StatusConflict, map[string]any{"clockMs": clock, "reason": "fence"})
		return
	}
	w.fence = o.Fence
	w.extendLease(o.UntilMs)
	if o.UntilMs > 0 {
		w.latestPoll = o
	}
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
		w.lockProcess(generation)
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
	for _, end := range w.ended[:min(len(w.ended), endsPerReply)] {
		ended = append(ended, []any{end.number, end.key.task, end.key.attempt, end.outcome, ""})
	}
	standin.WriteJSON(rw, http.StatusOK, map[string]any{
		"clockMs": w.clockMs(), "born": w.incarnation, "running": running, "ended": ended,
	})
}
