package standin

import (
	"time"

	"fulmarcourse.example/core/structs"
)

// Advance simulates the worker's tasks up to the current time: it updates their progress, and ends those that have
// finished or whose leases have expired. Every command does this first, and a Platform does it periodically.
func (w *Worker) Advance() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(w.clock())
}

// advance proceeds from one end of a task to the next, because each end changes the speed of the other tasks. Its
// result therefore does not depend on how often it is called. w.mu is held.
func (w *Worker) advance(now time.Time) {
	for {
		rates := w.rates()
		next := w.nextEnd(rates, now)
		w.advanceTasks(rates, next)
		if !w.endDueTasks() {
			break
		}
	}
	for _, t := range w.tasks {
		if t.running() {
			t.sampleUsage(now, w.usageLag)
		}
	}
}

// rates returns the speed of each running task. w.mu is held.
func (w *Worker) rates() map[*task]float64 {
	load := w.load()
	rates := map[*task]float64{}
	for _, t := range w.tasks {
		if t.running() {
			rates[t] = t.throttle / w.interference.slowdown(t.cmd.Kind, w.neighbours(t), load)
		}
	}
	return rates
}

// nextEnd returns the time of the next end of a task, or now when none ends before. w.mu is held.
func (w *Worker) nextEnd(rates map[*task]float64, now time.Time) time.Time {
	next := now
	for t, rate := range rates {
		if end := w.advancedTo.Add(t.timeToEnd(rate)); end.Before(next) {
			next = end
		}
		if t.leaseUntil.Before(next) {
			next = t.leaseUntil
		}
	}
	if next.Before(w.advancedTo) {
		return w.advancedTo
	}
	return next
}

// advanceTasks updates the progress of all running tasks up to the time until. w.mu is held.
func (w *Worker) advanceTasks(rates map[*task]float64, until time.Time) {
	d := until.Sub(w.advancedTo)
	for t, rate := range rates {
		if t.timeToEnd(rate) <= d {
			t.progress = t.endProgress()
		} else {
			t.advance(d, rate)
		}
	}
	w.advancedTo = until
}

// endDueTasks ends the tasks that are due at w.advancedTo and reports whether there were any. w.mu is held.
func (w *Worker) endDueTasks() bool {
	found := false
	for _, t := range w.tasks {
		switch {
		case !t.running():
			continue
		case !w.advancedTo.Before(t.leaseUntil):
			w.finish(t, structs.WorkerTaskExpired, TaskExpired, "lease expired")
		case t.progress < t.endProgress():
			continue
		case t.behaviour.Fails:
			w.finish(t, structs.WorkerTaskFailed, TaskFailed, "task failed")
		default:
			w.finish(t, structs.WorkerTaskDone, TaskFinished, "")
		}
		found = true
	}
	return found
}

// finish ends a running task at w.advancedTo. w.mu is held.
func (w *Worker) finish(t *task, state structs.WorkerTaskState, event EventType, reason string) {
	t.state, t.ended, t.reason = state, w.advancedTo, reason
	w.record(event, t.cmd, t.checkpoint, reason)
}

// load returns the used share of the processors, at most 1. w.mu is held.
func (w *Worker) load() float64 {
	if w.capacity.MilliCPU == 0 {
		return 0
	}
	used := w.requestMilliCPU
	for _, t := range w.tasks {
		if t.running() {
			used += t.usage().MilliCPU
		}
	}
	return min(1, float64(used)/float64(w.capacity.MilliCPU))
}

// neighbours returns the running tasks on the host except t, and its requests. w.mu is held.
func (w *Worker) neighbours(t *task) []neighbour {
	var all []neighbour
	for _, other := range w.tasks {
		if other != t && other.running() {
			all = append(all, neighbour{other.cmd.Kind, other.throttle})
		}
	}
	for kind, count := range w.requests {
		all = append(all, neighbour{kind, float64(count)})
	}
	return all
}

// RequestSlowdown returns the factor by which requests of a kind currently take longer on this host.
func (w *Worker) RequestSlowdown(kind structs.KindName) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(w.clock())
	return w.interference.slowdown(kind, w.neighbours(nil), w.load())
}

// AddRequests changes the number of requests of a kind that run on this host, each on milliCPU thousandths of a
// processor. A co-located Runner calls it.
func (w *Worker) AddRequests(kind structs.KindName, change int, milliCPU int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(w.clock())
	w.requests[kind] += change
	w.requestMilliCPU += int64(change) * milliCPU
}
