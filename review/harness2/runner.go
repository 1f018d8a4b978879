//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// endsAtATime is how many ends a runner returns in one answer (PROTOCOL.md, Running tasks).
const endsAtATime = 500

// size is an amount of capacity.
type size struct {
	CPU   int64 `json:"cpu"`
	MemMb int64 `json:"memMb"`
	GPU   int64 `json:"gpu"`
}

// taskKind is what a runner knows of the tasks of a job: how long they take, and what they need.
type taskKind struct {
	size      size
	work      time.Duration // 0: the task lasts
	failShare float64       // of the runs
	stepWork  []time.Duration
	job       *sentJob // nil unless the script checks what a job asks for
}

// workOf returns how long a task takes.
func (k taskKind) workOf(step int) time.Duration {
	if k.stepWork != nil {
		return k.stepWork[step]
	}
	return k.work
}

// runKey names a run of a task.
type runKey struct {
	task string
	run  int64
}

// activeRun is a run that a runner has begun.
type activeRun struct {
	started  time.Time
	endsAt   time.Time     // zero for a task that lasts
	stopsAt  time.Time     // zero unless it is being stopped
	resumed  time.Duration // work that the checkpoint has saved
	fails    bool
	needs    size
	recorded *run
}

// listedEnd is an end that lastSeen has not reached.
type listedEnd struct {
	number   int64
	key      runKey
	how      string
	saved    string
	recorded *run
}

// runner is a stand-in of a runner, as PROTOCOL.md describes it. It checks the fencing token and its capacity, kills everything
// when the lease expires, takes up to stopMs for a stop, and returns at most endsAtATime ends at once.
type runner struct {
	site     *site
	machine  string
	service  string
	zone     string
	address  string
	capacity size
	keepID   bool // it starts again under the id that it had

	mu       sync.Mutex
	id       string
	lives    int
	up       bool
	server   *http.Server
	born     time.Time
	fence    int64
	leaseTo  int64
	running  map[runKey]*activeRun
	ended    []listedEnd
	lastEnd  int64
	highest  map[string]int64 // highest run of a task that was stopped or has ended here
	changed  chan struct{}
	seq      int64
	draining bool
	cut      bool    // nothing reaches the runner, and it works on
	late     float64 // share of the orders that get no answer and are carried out later
}

func newRunner(s *site, n int, service, zone string, capacity size) (*runner, error) {
	r := &runner{site: s, machine: fmt.Sprintf("m%02d", n), service: service, zone: zone, capacity: capacity}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.address = listener.Addr().String()
	r.begin(listener)
	go r.endRuns()
	go r.heartbeats()
	return r, nil
}

// begin starts a life of the runner, which runs nothing and has seen no fencing token.
func (r *runner) begin(listener net.Listener) {
	r.mu.Lock()
	r.lives++
	if !r.keepID {
		r.id = fmt.Sprintf("i-%s-%d", r.machine, r.lives)
	}
	r.up, r.born = true, time.Now()
	r.fence, r.leaseTo, r.lastEnd, r.seq, r.draining = 0, 0, 0, 0, false
	r.running, r.ended, r.highest = map[runKey]*activeRun{}, nil, map[string]int64{}
	r.changed = make(chan struct{})
	life := r.lives
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { r.serve(life, w, q) })}
	r.server = server
	r.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // ends with Close
	r.writeEntry()
}

// crash ends the runner's process: all that runs there is gone, and all its connections close. The next life begins after a time at the
// same address; there is none if the time is 0.
func (r *runner) crash(down time.Duration) {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.up = false
	r.site.record.event("crash", "runner %s %s, %d runs", r.machine, r.id, len(r.running))
	for key, a := range r.running {
		a.recorded.finish("gone")
		delete(r.running, key)
	}
	for _, e := range r.ended {
		e.recorded.loseEnd()
	}
	close(r.changed)
	r.changed = make(chan struct{})
	id, server := r.id, r.server
	r.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(3*heartbeat, func() {
		r.mu.Lock()
		listed := r.up && r.id == id
		r.mu.Unlock()
		if !listed {
			r.site.store.Delete("servers/" + id)
		}
	})
	if down > 0 {
		time.AfterFunc(down, r.restart)
	}
}

func (r *runner) restart() {
	for range 100 {
		if r.site.closing() {
			return
		}
		if listener, err := net.Listen("tcp", r.address); err == nil {
			r.begin(listener)
			r.site.record.event("back", "runner %s %s", r.machine, r.id)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	r.site.record.event("error", "runner %s can't listen again", r.machine)
}

// clock is the runner's steady clock. r.mu is held.
func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() + 1 }

func (r *runner) writeEntry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up || r.cut {
		return
	}
	r.seq++
	state := "ready"
	if r.draining {
		state = "draining"
	}
	r.site.store.Put("servers/"+r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": state,
		"coldRemainingMs": 0, "seq": r.seq, "born": r.born.UnixMilli(), "capacity": r.capacity, "labels": []string{"a", "r-" + r.machine},
	})
}

func (r *runner) heartbeats() {
	for !r.site.closing() {
		time.Sleep(heartbeat)
		r.writeEntry()
	}
}

// endRuns ends runs that are done, were told to stop, or whose lease has expired.
func (r *runner) endRuns() {
	for !r.site.closing() {
		time.Sleep(4 * time.Millisecond)
		r.mu.Lock()
		now := time.Now()
		lapsed := r.clock() > r.leaseTo
		if lapsed {
			for _, e := range r.ended {
				e.recorded.loseEnd()
			}
		}
		for _, key := range r.sortedRuns() {
			a := r.running[key]
			switch {
			case lapsed:
				r.end(key, "lapsed")
			case !a.endsAt.IsZero() && now.After(a.endsAt):
				how := "done"
				if a.fails {
					how = "failed"
				}
				r.end(key, how)
			case !a.stopsAt.IsZero() && now.After(a.stopsAt):
				r.end(key, "stopped")
			}
		}
		r.mu.Unlock()
	}
}

// sortedRuns returns the runs in the order of their ends, so that ends are numbered in time. r.mu is held.
func (r *runner) sortedRuns() []runKey {
	keys := make([]runKey, 0, len(r.running))
	for key := range r.running {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return r.running[keys[i]].endsAt.Before(r.running[keys[j]].endsAt) })
	return keys
}

// end ends a run and lists the end. r.mu is held.
func (r *runner) end(key runKey, how string) {
	a := r.running[key]
	delete(r.running, key)
	r.highest[key.task] = max(r.highest[key.task], key.run)
	r.lastEnd++
	saved := ""
	if how != "done" {
		saved = r.checkpoint(key, a)
	}
	r.ended = append(r.ended, listedEnd{r.lastEnd, key, how, saved, a.recorded})
	a.recorded.finish(how)
	close(r.changed)
	r.changed = make(chan struct{})
}

// wireOrder is the body of every call.
type wireOrder struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	UntilMs    int64  `json:"untilMs"`
	Fence      int64  `json:"fencingToken"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   int64  `json:"lastSeen"`
	WaitMs     int64  `json:"waitMs"`
}

func (r *runner) serve(life int, w http.ResponseWriter, q *http.Request) {
	var o wireOrder
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.unreachable() {
		<-q.Context().Done()
		panic(http.ErrAbortHandler)
	}
	r.lock(life)
	if expected := q.Header.Get("Fulmarcourse-Expect-Instance"); expected != "" && expected != r.id {
		r.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if q.URL.Path != "/fulmarcourse/hold" && rand.Float64() < r.late {
		r.mu.Unlock()
		time.AfterFunc(2*time.Second+rand.N(10*time.Second), func() { r.carryOut(life, q.URL.Path, o) })
		<-q.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if o.Fence < r.fence {
		r.answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	r.fence = o.Fence
	switch q.URL.Path {
	case "/fulmarcourse/run-start":
		if reason := r.start(o); reason != "" {
			r.answer(w, http.StatusConflict, map[string]any{"reason": reason})
			return
		}
		r.answer(w, http.StatusOK, map[string]any{})
	case "/fulmarcourse/run-stop":
		r.stop(o)
		r.answer(w, http.StatusOK, map[string]any{})
	case "/fulmarcourse/pace":
		r.answer(w, http.StatusOK, map[string]any{})
	case "/fulmarcourse/hold":
		r.hold(life, w, q, o)
	default:
		r.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
	}
}

// unreachable reports whether nothing reaches the runner.
func (r *runner) unreachable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut
}

// carryOut carries out an order late, unless the process that got it has ended.
func (r *runner) carryOut(life int, path string, o wireOrder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lives != life || !r.up || o.Fence < r.fence {
		return
	}
	r.fence = o.Fence
	switch path {
	case "/fulmarcourse/run-start":
		r.start(o)
	case "/fulmarcourse/run-stop":
		r.stop(o)
	}
}

// setCut cuts the runner off, or ends that.
func (r *runner) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
}

// lock locks r.mu. A call to a process that has ended gets no answer.
func (r *runner) lock(life int) {
	r.mu.Lock()
	if r.lives != life || !r.up {
		r.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
}

// answer unlocks r.mu and writes a response.
func (r *runner) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["clockMs"], body["born"] = r.clock(), r.born.UnixMilli()
	r.mu.Unlock()
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // the caller may be gone
}

// extend extends the lease, by at most holdMax from now. It never shortens it. r.mu is held.
func (r *runner) extend(untilMs int64) {
	r.leaseTo = max(r.leaseTo, min(untilMs, r.clock()+holdMax.Milliseconds()))
}

// start begins a run and returns the reason why it doesn't. r.mu is held.
func (r *runner) start(o wireOrder) string {
	key := runKey{o.Task, o.Run}
	if o.UntilMs <= r.clock() {
		return "late"
	}
	if _, there := r.running[key]; there {
		r.extend(o.UntilMs)
		return ""
	}
	if r.clock() > r.leaseTo { // what is still listed as running has lapsed
		for _, other := range r.sortedRuns() {
			r.end(other, "lapsed")
		}
		for _, e := range r.ended {
			e.recorded.loseEnd()
		}
	}
	r.extend(o.UntilMs)
	if o.Run <= r.highest[o.Task] {
		return "old"
	}
	kind := r.site.kindOf(o.Task)
	name := parseTask(o.Task)
	need := kind.size
	if kind.job != nil {
		need = kind.job.sizeOf(name.step)
	}
	used := need
	for _, a := range r.running {
		used = size{used.CPU + a.needs.CPU, used.MemMb + a.needs.MemMb, used.GPU + a.needs.GPU}
	}
	over := used.CPU > r.capacity.CPU || used.MemMb > r.capacity.MemMb || used.GPU > r.capacity.GPU
	if over && !r.site.unguarded {
		return "room"
	}
	now := time.Now()
	a := &activeRun{started: now, needs: need, fails: rand.Float64() < kind.failShare}
	if work := kind.workOf(name.step); work > 0 {
		full := spread(o.Task, work)
		a.resumed = min(r.savedBy(o), full-10*time.Millisecond)
		a.endsAt = now.Add(full - a.resumed)
	}
	a.recorded = r.site.record.begin(o.Task, o.Run, r.id)
	if over {
		r.site.record.breaks("LIMIT", "%s run %d on %s: %+v of %+v", o.Task, o.Run, r.id, used, r.capacity)
	}
	if kind.job != nil {
		kind.job.checkStart(r, name, o)
	}
	r.running[key] = a
	return ""
}

// savedBy returns how much work the checkpoint of a start has saved.
func (r *runner) savedBy(o wireOrder) time.Duration {
	if o.Checkpoint == "" {
		return 0
	}
	task, ms, _ := strings.Cut(o.Checkpoint, "/")
	saved, err := strconv.Atoi(ms)
	if task != o.Task || err != nil {
		r.site.record.breaks("UNASKED", "%s run %d has the checkpoint %q", o.Task, o.Run, o.Checkpoint)
	}
	return time.Duration(saved) * time.Millisecond
}

// checkpoint returns the checkpoint of a run.
func (r *runner) checkpoint(key runKey, a *activeRun) string {
	kind := r.site.kindOf(key.task)
	if kind.job == nil || a.endsAt.IsZero() || !kind.job.steps[parseTask(key.task).step].saves {
		return ""
	}
	saved := a.resumed + time.Since(a.started)
	return fmt.Sprintf("%s/%d", key.task, saved.Milliseconds()/500*500)
}

// spread returns a run time within a tenth of work, which is the same for each run of a task.
func spread(task string, work time.Duration) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(task))
	return time.Duration(float64(work) * (0.9 + 0.2*float64(h.Sum32()%1000)/1000))
}

// stop begins to stop a run. r.mu is held.
func (r *runner) stop(o wireOrder) {
	r.highest[o.Task] = max(r.highest[o.Task], o.Run)
	if a, there := r.running[runKey{o.Task, o.Run}]; there && a.stopsAt.IsZero() {
		a.stopsAt = time.Now().Add(rand.N(stopTime))
	}
}

// hold extends the lease, forgets the ends up to lastSeen, and returns what runs and the first ends that are left. r.mu is held.
func (r *runner) hold(life int, w http.ResponseWriter, q *http.Request, o wireOrder) {
	if r.clock() > r.leaseTo {
		for _, e := range r.ended {
			e.recorded.loseEnd()
		}
	}
	if o.UntilMs > 0 {
		r.extend(o.UntilMs)
	}
	r.ended = slices.DeleteFunc(r.ended, func(e listedEnd) bool {
		if e.number <= o.LastSeen {
			e.recorded.takeNote()
		}
		return e.number <= o.LastSeen
	})
	deadline := time.NewTimer(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	defer deadline.Stop()
	for waiting := o.WaitMs > 0; len(r.ended) == 0 && waiting; {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-q.Context().Done():
			return
		case <-deadline.C:
			waiting = false
		case <-changed:
		}
		r.lock(life)
	}
	if r.cut {
		r.mu.Unlock()
		<-q.Context().Done()
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	for key, a := range r.running {
		percent := 100
		if !a.endsAt.IsZero() {
			percent = int(100 * time.Since(a.started) / a.endsAt.Sub(a.started))
		}
		running = append(running, []any{key.task, key.run, r.checkpoint(key, a), min(percent, 100), 1})
	}
	for _, e := range r.ended[:min(len(r.ended), endsAtATime)] {
		ended = append(ended, []any{e.number, e.key.task, e.key.run, e.how, e.saved})
	}
	if len(r.ended) > endsAtATime {
		r.site.record.noteBacklog(r.id, len(r.ended))
	}
	r.answer(w, http.StatusOK, map[string]any{"running": running, "ended": ended})
}
