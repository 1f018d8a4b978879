package schedule

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
)

// Bounds of the platform's rule LOST on tasks that could run and do not.
const (
	// ruleFinish is the time after the end of the faults (finish_s) from which no job may wait.
	ruleFinish = 14 * time.Second
	// ruleWait is the time for which a task whose turn has come may wait while there is capacity for it.
	ruleWait = 3 * time.Second
	// ruleServiceDown is the time since the last run of a service task from which ruleWait counts.
	ruleServiceDown = 6 * time.Second
	// ruleCalm is the time without disturbance, ruleWait included, after which services may not wait at any time of the run.
	ruleCalm = 4*time.Second + ruleWait
	// ruleTimes is how many times over there has to be capacity for a task. A single place in a full pool may be kept for another service
	// that waits.
	ruleTimes = 2
	// simPollGap is the time since the latest poll from which a worker counts as disturbed. Relays poll all the time, but each step of the
	// simulation polls a worker at random.
	simPollGap = time.Second
)

var simObserveAll = flag.Bool("sim.observe", false, "report each task that waits beyond the platform's rule, and go on with the next seeds")

// observer applies the rule LOST to what happens on the workers of a simulation. It does not use what the owner knows, but to describe a
// task that waits for too long.
type observer struct {
	disturbedAt time.Duration // latest step that was not calm
	crashedAt   time.Duration // latest step in which a worker had crashed; after the other faults, under crashingJob only
	term        int64         // as of the latest step
	processes   int64
	polledAt    map[*faultSimWorker]time.Duration // latest poll, answered or not
	lastRun     map[workload.TaskID]time.Duration // of service tasks; before the first run, when their job was first seen
	waits       map[workload.TaskID]observedWait  // by service task, and by the first task of a job that ends
	reported    map[workload.JobID]bool           // with simObserveAll
	strict      bool                              // openWaits count as well
}

// observedWait is a time in which a task of a job could run, and nothing of the job ran; of a service, in which the task did not run.
type observedWait struct {
	since     time.Duration
	freeSince time.Duration // since when, after the faults, less than half of the pool has been in use as well
	reasons   []WaitReason  // that the owner has given meanwhile, each change
	text      string        // the same with the times
}

// observedPool is what runs on the workers in one step.
type observedPool struct {
	running  map[workload.TaskID]WorkerID
	jobs     map[workload.JobID]bool        // with running tasks
	ended    map[workload.TaskID]bool       // done ends that are listed by a worker
	unlisted map[workload.JobID]bool        // with ends that may not have been listed, as the worker is not polled
	free     map[WorkerID]structs.Resources // of sound workers
	order    []WorkerID
	halfFree bool // less than half of the capacity of sound workers is in use
}

func newObserver() *observer {
	return &observer{polledAt: map[*faultSimWorker]time.Duration{}, lastRun: map[workload.TaskID]time.Duration{}, waits: map[workload.TaskID]observedWait{},
		reported: map[workload.JobID]bool{}}
}

// observe fails the test if a task waits beyond the platform's rule. It is called with each step.
func (f *faultSim) observe() {
	if f.former != nil {
		return // the platform's rule does not allow for the time that calls to former processes take
	}
	o := f.observer
	if f.disturbed() {
		o.disturbedAt = f.now
	}
	// A crash under crashingJob is a fault as well, after which the lease of the worker may have to end.
	finished := f.now >= max(time.Hour+simFaultsEnd, o.crashedAt)+ruleFinish
	var pool *observedPool
	for i := range f.jobs {
		job := &f.jobs[i]
		if job.ID == crashingJob { // it crashes its workers, and the rule BUDGET bounds its starts
			continue
		}
		service := job.Steps[0].Service
		if !service && !finished {
			continue
		}
		if state, _ := f.s.JobState(job.ID); state.Final() {
			continue
		}
		if pool == nil {
			pool = f.observePool()
		}
		if service {
			f.observeServices(job, pool, finished)
		} else {
			f.observeJob(job, pool)
		}
	}
}

// disturbed reports whether a fault is active, or has happened in this step. Polls and answers that are lost one by one do not count.
func (f *faultSim) disturbed() bool {
	o, processes := f.observer, int64(0)
	for _, worker := range f.workers {
		processes += worker.processes
	}
	if o.processes != processes {
		o.crashedAt = f.now
	}
	changed := o.term != f.term || o.processes != processes
	o.term, o.processes = f.term, processes
	if changed || len(f.delayed) > 0 || f.storeDown() {
		return true
	}
	if l := f.late; l != nil {
		behind := slices.ContainsFunc(l.results, func(r lateResult) bool { return f.now < r.at })
		if behind || f.now < l.behindUntil || l.writing != nil && f.now < l.writing.appliedAt {
			return true
		}
	}
	if k := f.known; k != nil && k.writing != nil && f.now < k.writing.appliedAt {
		return true
	}
	return slices.ContainsFunc(f.workers, func(w *faultSimWorker) bool { return f.unreachable(w) || w.cut != nil })
}

// soundForRule reports whether a worker has capacity for tasks: it does not drain, is polled and reachable, and its entry in the list is its
// own.
func (f *faultSim) soundForRule(worker *faultSimWorker) bool {
	entry := f.entry(worker)
	return !worker.info.Draining && !f.unreachable(worker) && worker.cut == nil && f.now-f.observer.polledAt[worker] <= simPollGap &&
		entry.Address == worker.info.Address && entry.StartedMs == worker.info.StartedMs
}

func (f *faultSim) observePool() *observedPool {
	p := &observedPool{running: map[workload.TaskID]WorkerID{}, jobs: map[workload.JobID]bool{}, ended: map[workload.TaskID]bool{},
		unlisted: map[workload.JobID]bool{}, free: map[WorkerID]structs.Resources{}}
	capacity, used := int64(0), int64(0)
	for _, worker := range f.workers {
		free := worker.info.Capacity
		for key := range worker.running {
			p.running[key.task], p.jobs[key.task.Job] = worker.info.ID, true
			size := f.spec(key.task).Size
			free = free.Sub(size)
			used += size.MilliCPU
		}
		for _, e := range worker.ended {
			if e.Kind == EndDone {
				p.ended[e.Task] = true
			}
			if f.now-f.observer.polledAt[worker] > simPollGap {
				p.unlisted[e.Task.Job] = true
			}
		}
		if f.soundForRule(worker) {
			p.free[worker.info.ID] = free
			p.order = append(p.order, worker.info.ID)
			capacity += worker.info.Capacity.MilliCPU
		}
	}
	p.halfFree = used < capacity/2
	return p
}

// spec returns the step of a task.
func (f *faultSim) spec(id workload.TaskID) *workload.Step {
	n := slices.IndexFunc(f.jobs, func(job workload.Job) bool { return job.ID == id.Job })
	return &f.jobs[n].Steps[id.Step]
}

// capacity returns how many times over there is capacity for a task on sound workers, up to ruleTimes: it fits on as many
// workers, or as often on one of them.
func (p *observedPool) capacity(id workload.TaskID, spec *workload.Step) int {
	times := 0
	for _, worker := range p.order {
		perWorker := ruleTimes
		if spec.MaxPerWorker > 0 {
			perWorker = min(perWorker, spec.MaxPerWorker-p.runningOn(worker, id))
		}
		for free := p.free[worker]; perWorker > 0 && spec.Reserved().Fits(free); perWorker-- {
			times++
			free = free.Sub(spec.Reserved())
		}
		if times >= ruleTimes {
			return ruleTimes
		}
	}
	return times
}

// runningOn returns how many tasks of the step of a task run on a worker.
func (p *observedPool) runningOn(worker WorkerID, id workload.TaskID) int {
	n := 0
	for task, on := range p.running {
		if on == worker && task.Job == id.Job && task.Step == id.Step {
			n++
		}
	}
	return n
}

// observeServices applies the rule to the tasks of a service.
func (f *faultSim) observeServices(job *workload.Job, p *observedPool, finished bool) {
	o, spec := f.observer, &job.Steps[0]
	for n := range spec.Tasks {
		id := taskID(job.ID, 0, n)
		if _, runs := p.running[id]; runs || o.lastRun[id] == 0 {
			o.lastRun[id] = f.now
		}
		times := 0
		if f.now-o.lastRun[id] >= ruleServiceDown && !p.unlisted[job.ID] {
			times = p.capacity(id, spec)
		}
		w := f.observeWait(id, id, times, p, finished)
		calm := f.now-o.disturbedAt >= ruleCalm && w.since > 0 && f.now-w.since >= ruleWait
		if calm || w.freeSince > 0 && f.now-w.freeSince >= ruleWait {
			f.reportWait(id, f.now-o.lastRun[id], w)
		}
	}
}

// observeJob applies the rule to a job whose tasks end.
func (f *faultSim) observeJob(job *workload.Job, p *observedPool) {
	o, key := f.observer, taskID(job.ID, 0, 0)
	if p.jobs[job.ID] || p.unlisted[job.ID] {
		delete(o.waits, key)
		return
	}
	id, times := key, 0
	for n := range job.Steps {
		for index := range job.Steps[n].Tasks {
			other := taskID(job.ID, n, index)
			if times < ruleTimes && f.turnHasCome(job, other, p) {
				id, times = other, p.capacity(other, &job.Steps[n])
			}
		}
	}
	w := f.observeWait(key, id, times, p, true)
	if w.freeSince > 0 && f.now-w.freeSince >= ruleWait {
		f.reportWait(id, f.now-max(f.lastStart[id], time.Hour), w)
	}
}

// turnHasCome reports whether a task that does not run may start: it is not done, and all tasks of the steps before are.
func (f *faultSim) turnHasCome(job *workload.Job, id workload.TaskID, p *observedPool) bool {
	if f.isDone(id, p) {
		return false
	}
	for _, before := range job.Steps[id.Step].After {
		for index := range job.Steps[before].Tasks {
			if !f.isDone(taskID(job.ID, before, index), p) {
				return false
			}
		}
	}
	return true
}

// isDone reports whether a run of a task has ended done. An end that was not acknowledged in time counts once it is stored.
func (f *faultSim) isDone(id workload.TaskID, p *observedPool) bool {
	if f.done[id] || p.ended[id] {
		return true
	}
	for _, st := range f.stored[id.Job].Steps {
		if st.Occurrence == id.Occurrence && st.Step == id.Step && (st.AllDone || slices.Contains(st.Done, id.Index)) {
			return true
		}
	}
	return false
}

// observeWait records that a task could run if there is capacity for it ruleTimes over, and returns for how long it could.
func (f *faultSim) observeWait(key, id workload.TaskID, times int, p *observedPool, finished bool) observedWait {
	if times < ruleTimes {
		delete(f.observer.waits, key)
		return observedWait{}
	}
	w, waits := f.observer.waits[key]
	if !waits {
		w = observedWait{since: f.now}
	}
	switch {
	case !finished || !p.halfFree:
		w.freeSince = 0
	case w.freeSince == 0:
		w.freeSince = f.now
	}
	if reason := f.ownersReason(id); len(w.reasons) == 0 || reason != w.reasons[len(w.reasons)-1] {
		w.reasons = append(w.reasons, reason)
		w.text += fmt.Sprintf(" %.1f %v", (f.now - time.Hour).Seconds(), reason)
	}
	f.observer.waits[key] = w
	return w
}

// reportWait fails the test because of a task that waits although it could run.
func (f *faultSim) reportWait(id workload.TaskID, waited time.Duration, w observedWait) {
	f.t.Helper()
	if !f.observer.strict && !*simObserveAll && f.isOpen(w.reasons) {
		return
	}
	text := fmt.Sprintf("%v could run and does not for %.1f s, reasons since:%s; calm for %.1f s; %s", id, waited.Seconds(), w.text,
		(f.now - f.observer.disturbedAt).Seconds(), f.describePool())
	if !*simObserveAll {
		f.fatalf("%s", text)
	}
	if !f.observer.reported[id.Job] {
		f.observer.reported[id.Job] = true
		f.t.Errorf("seed %d at %.1f s: %s", f.seed, (f.now - time.Hour).Seconds(), text)
	}
}

// ownersReason returns the reason that the owner gives for a task that waits; Suitable if the task does not wait for the owner.
func (f *faultSim) ownersReason(id workload.TaskID) WaitReason {
	t := f.s.task(id)
	if t == nil || !t.waits(f.now) {
		return Suitable
	}
	reason, _ := newExplainer(f.s, f.time()).reason(t)
	return reason
}

// describePool returns the state of the workers, and how the owner sees them.
func (f *faultSim) describePool() string {
	var text strings.Builder
	fmt.Fprintf(&text, "term %d", f.term)
	for _, worker := range f.workers {
		fmt.Fprintf(&text, "; %s runs %d", worker.info.ID, len(worker.running))
		if !f.soundForRule(worker) {
			text.WriteString(", not sound")
		}
		if reason := f.unusedReason(worker); reason != Suitable {
			fmt.Fprintf(&text, ", %v for the owner", reason)
		}
	}
	return text.String()
}
