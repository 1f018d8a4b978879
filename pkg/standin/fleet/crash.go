package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Kind describes what a worker process says of itself.
type Kind struct {
	Datacentre string
	Rack       string // also one of its labels
	Pool       string
	Labels     []string // beside the rack
	Capacity   Resources
}

// AllLabels returns all labels of the worker, in a new slice.
func (k Kind) AllLabels() []string { return append(slices.Clone(k.Labels), k.Rack) }

// Resources are amounts of a worker or of a task.
type Resources struct {
	CPU   int64 `json:"cpu"` // in thousandths of a core
	MemMB int64 `json:"memMb"`
	GPU   int64 `json:"gpu"`
}

// defaultCapacity is the capacity of a worker that is added.
var defaultCapacity = Resources{CPU: 16000, MemMB: 64000}

// Plus returns the sum of two amounts.
func (r Resources) Plus(other Resources) Resources {
	return Resources{r.CPU + other.CPU, r.MemMB + other.MemMB, r.GPU + other.GPU}
}

// Within reports whether the amount does not exceed a limit.
func (r Resources) Within(limit Resources) bool {
	return r.CPU <= limit.CPU && r.MemMB <= limit.MemMB && r.GPU <= limit.GPU
}

// Requirements are what a task needs from its worker. The zero value needs nothing.
type Requirements struct {
	Resources Resources
	Label     string // that the worker must have; empty for none
}

// Return describes how a worker returns after a crash. With the zero value it returns after crashDowntime, under the same id, at the
// same address and as the same kind.
type Return struct {
	After      time.Duration // until the new process listens; crashDowntime if 0
	NewID      bool          // the entry of the former id remains for entryExpiration
	NewAddress bool          // the new process listens at an address that was not in use before
	At         *Endpoint     // where the new process listens, for instance the former endpoint of another worker; nil for the choice by NewAddress
	OldSilent  bool          // calls to the former address get no response; otherwise their connections are closed
	StaleEntry time.Duration // after the return, during which the new process writes no entry and the former one stays

	Born func(former int64) int64 // start of the new process by its clock, in Unix ms, by that of the former; nil for the present time
	As   func(k *Kind)            // changes the kind of the new process; nil for the same kind
}

// Crash ends all runs without reporting them and restarts the worker at once, under the same id with a new incarnation. It does
// nothing while the worker is down.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.down {
		w.endProcess()
		w.startProcess(time.Now())
	}
}

// CrashUnderNewID ends all runs without reporting them. A new process answers at the worker's address after crashDowntime,
// under another id.
func (w *Worker) CrashUnderNewID() { w.crash(Return{NewID: true}) }

// CrashAndReturn ends all runs without reporting them. A new process returns as r states. It does nothing while the worker is down.
// It is called by one goroutine at a time.
func (w *Worker) CrashAndReturn(r Return) error {
	if r.At == nil && r.NewAddress {
		endpoint, err := w.platform.newEndpoint()
		if err != nil {
			return err
		}
		r.At = endpoint
	}
	w.crash(r)
	return nil
}

// crash is CrashAndReturn with an endpoint that exists; nil for the present one.
func (w *Worker) crash(r Return) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down {
		return
	}
	w.endProcess()
	w.down = true
	w.endpoint.detach(w, r.OldSilent)
	w.former = append(w.former, formerID{w.id, time.Now().Add(entryExpiration)})
	time.AfterFunc(cmp.Or(r.After, crashDowntime), func() { w.comeBack(r) })
}

// endProcess ends all runs without reporting them and ends all calls in progress without a response. w.mu is held.
func (w *Worker) endProcess() {
	for key := range w.running {
		w.finish(key, "gone", false)
	}
	w.loseEnds()
	w.ended = nil
	w.formerPoll = w.latestPoll
	w.generation++
	w.notify()
}

// CarryOutFormerPoll carries out the latest poll of the former process with a lease end, as one without an answer that arrives late.
func (w *Worker) CarryOutFormerPoll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.formerPoll.Fence >= w.fence {
		w.fence = w.formerPoll.Fence
		w.extendLease(w.formerPoll.UntilMs)
	}
}

// comeBack starts the new process of a worker that is down.
func (w *Worker) comeBack(r Return) {
	w.mu.Lock()
	defer w.mu.Unlock()
	formerBorn := w.incarnation
	w.startProcess(time.Now())
	w.down = false
	if r.NewID {
		w.id = fmt.Sprintf("%s-%d", w.ID, w.generation)
	}
	if r.Born != nil {
		w.incarnation = r.Born(formerBorn)
	}
	if r.As != nil {
		w.kind.Labels = slices.Clone(w.kind.Labels)
		r.As(&w.kind)
	}
	if r.At != nil {
		w.endpoint = r.At
	}
	w.entryFrom = w.startedAt.Add(r.StaleEntry)
	w.former = slices.DeleteFunc(w.former, func(f formerID) bool { return f.id == w.id })
	w.endpoint.attach(w)
}

// startProcess begins a new incarnation, which has started at a time and has no lease, fence, runs or ends. w.mu is held.
func (w *Worker) startProcess(startedAt time.Time) {
	w.startedAt = startedAt
	w.incarnation = w.startedAt.UnixMilli()
	w.fence, w.leaseUntil, w.lastEnd, w.ended, w.draining = 0, 0, 0, nil, false
	w.running, w.highestAttempt = map[runKey]activeRun{}, map[string]int64{}
}

// formerID is an id under which a worker is still listed after its process has ended.
type formerID struct {
	id    string
	until time.Time // when its entry is removed
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
