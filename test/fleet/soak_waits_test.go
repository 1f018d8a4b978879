package fleet

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/standin/fleet"
)

// Bounds of the platform's rule LOST on waits, with the values of its deployments.
const (
	finishAfter  = 14 * time.Second // from the end of traffic and faults until waits of jobs count
	restartAfter = 6 * time.Second  // from the last run of a service task until its wait counts
	calmBefore   = 4 * time.Second  // without disturbance until a wait of a service task counts
	maxWait      = 3 * time.Second  // of a job or a service task beside capacity, once it counts
)

// minPlaces is how often the free capacity has to suffice for a waiting task.
const minPlaces = 2

// jobSpec is a job as its caller has submitted it.
type jobSpec struct{ Steps []stepSpec }

type stepSpec struct {
	fleet.Resources
	Count        int
	After        []int
	LongRunning  bool
	Requires     string // label; empty for none
	AntiAffinity int    // most tasks of the step on one worker; 0 for no limit
}

// mustParseJob returns the spec in the body of a submission, which is a constant of the tests.
func mustParseJob(body string) (spec jobSpec) {
	if err := json.Unmarshal([]byte(body), &spec); err != nil {
		panic(err)
	}
	return spec
}

func taskName(job string, step, index int) string { return fmt.Sprintf("%s.0.%d.%d", job, step, index) }

// splitTask returns the job and the step of a task.
func splitTask(task string) (job string, step int) {
	var occurrence, index int
	job, numbers, _ := strings.Cut(task, ".")
	_, _ = fmt.Sscanf(numbers, "%d.%d.%d", &occurrence, &step, &index) // step 0 if the name has another form
	return job, step
}

// openJob is an accepted job that nobody has cancelled and no caller has seen in a final state.
type openJob struct {
	id       string
	accepted time.Time
}

// soundWorker is a worker that is up, listed and without faults.
type soundWorker struct {
	id   string
	kind fleet.Kind
}

// observation is what callers and workers have seen up to a time.
type observation struct {
	at        time.Time
	specs     map[string]jobSpec // of all submitted jobs, by id
	open      []openJob
	runs      []fleet.Run   // so far, in order of start
	workers   []soundWorker // present ones
	disturbed time.Time     // end of the latest disturbance, or at
	trafficTo time.Time     // when the last job was submitted; zero while the traffic goes on
	stalls    *stallRecorder
}

// wait is a wait beside free capacity: of a job without a running task, or of a service task.
type wait struct {
	job         string
	task        string // that could run
	service     bool
	from, until time.Time
	places      int // how often the free capacity suffices for the task
	found       bool
}

func (w wait) length() time.Duration { return w.until.Sub(w.from).Round(time.Millisecond) }

// waitObserver applies the platform's rule LOST on waits to one observation after the other.
type waitObserver struct {
	waits             map[string]*wait // present ones, by job or service task
	longest, restarts time.Duration    // longest wait of a job, and of a service task, so far
}

// observe returns the waits that have become too long since the previous observation.
func (o *waitObserver) observe(ob observation) (found []wait) {
	present := map[string]*wait{}
	for _, c := range newPoolView(ob).candidates() {
		w := o.waits[c.name]
		if w == nil || w.from.Before(c.notBefore) {
			w = &wait{job: c.job, task: c.task, service: c.service, from: ob.at}
		}
		w.until, w.places = ob.at, c.places
		present[c.name] = w
		o.measure(*w)
		if !w.found && w.until.Sub(w.from)-ob.stalls.between(w.from, w.until) >= maxWait {
			w.found = true
			found = append(found, *w)
		}
	}
	o.waits = present
	return found
}

func (o *waitObserver) measure(w wait) {
	if w.service {
		o.restarts = max(o.restarts, w.length())
	} else {
		o.longest = max(o.longest, w.length())
	}
}

// candidate is a job or a service task that could run and does not.
type candidate struct {
	name      string // of the job or of the service task
	job, task string
	service   bool
	notBefore time.Time // until which its wait does not count
	places    int
}

// poolView is an observation with the runs sorted by task and the capacity by worker.
type poolView struct {
	observation
	byTask   map[string]*taskRuns
	used     map[string]fleet.Resources // of sound workers, by id
	ofStep   map[string]int             // running tasks by worker and step
	halfUsed bool                       // half of the sound workers' capacity is in use, or more
}

// taskRuns is what the workers have seen of one task.
type taskRuns struct {
	running, done bool
	ended         time.Time // end of the latest run
}

func newPoolView(ob observation) *poolView {
	p := &poolView{observation: ob, byTask: map[string]*taskRuns{}, used: map[string]fleet.Resources{}, ofStep: map[string]int{}}
	for _, run := range ob.runs {
		task := p.task(run.Task)
		if !run.Ended.IsZero() {
			task.done = task.done || run.Outcome == "done" && !run.EndLost
			if run.Ended.After(task.ended) {
				task.ended = run.Ended
			}
			continue
		}
		task.running = true
		job, step := splitTask(run.Task)
		if spec := p.specs[job]; step < len(spec.Steps) {
			p.used[run.Worker] = p.used[run.Worker].Plus(spec.Steps[step].Resources)
		}
		p.ofStep[stepOn(run.Worker, job, step)]++
	}
	var used, capacity fleet.Resources
	for _, w := range ob.workers {
		used, capacity = used.Plus(p.used[w.id]), capacity.Plus(w.kind.Capacity)
	}
	p.halfUsed = 2*used.CPU >= capacity.CPU || 2*used.MemMB >= capacity.MemMB
	return p
}

func stepOn(worker, job string, step int) string { return fmt.Sprint(worker, " ", job, " ", step) }

func (p *poolView) task(name string) *taskRuns {
	if p.byTask[name] == nil {
		p.byTask[name] = &taskRuns{}
	}
	return p.byTask[name]
}

// candidates returns the jobs and service tasks whose wait counts now.
func (p *poolView) candidates() (found []candidate) {
	for _, job := range p.open {
		found = append(found, p.services(job)...)
		if c, waits := p.batch(job); waits {
			found = append(found, c)
		}
	}
	return slices.DeleteFunc(found, func(c candidate) bool { return c.places < minPlaces || p.at.Before(c.notBefore) })
}

// services returns the service tasks of a job that do not run.
func (p *poolView) services(job openJob) (found []candidate) {
	for n, step := range p.specs[job.id].Steps {
		if !step.LongRunning || !p.turn(job.id, step) {
			continue
		}
		for index := range step.Count {
			name := taskName(job.id, n, index)
			task := p.task(name)
			if task.running {
				continue
			}
			notBefore := job.accepted
			if !task.ended.IsZero() {
				notBefore = task.ended.Add(restartAfter)
			}
			found = append(found, candidate{
				name: name, job: job.id, task: name, service: true, places: p.places(job.id, n),
				notBefore: latest(notBefore, p.disturbed.Add(calmBefore)),
			})
		}
	}
	return found
}

// batch returns a task of a job that could run, if no task of the job runs and the wait of a job counts.
func (p *poolView) batch(job openJob) (c candidate, waits bool) {
	if p.trafficTo.IsZero() || p.halfUsed {
		return candidate{}, false
	}
	c = candidate{name: job.id, job: job.id, notBefore: latest(p.disturbed, p.trafficTo).Add(finishAfter)}
	for n, step := range p.specs[job.id].Steps {
		for index := range step.Count {
			name := taskName(job.id, n, index)
			task := p.task(name)
			c.notBefore = latest(c.notBefore, task.ended)
			switch {
			case task.running:
				return candidate{}, false
			case c.places < minPlaces && !step.LongRunning && !task.done && p.turn(job.id, step):
				c.task, c.places = name, p.places(job.id, n)
			}
		}
	}
	return c, c.places > 0
}

// turn reports whether all tasks of the steps before a step are done.
func (p *poolView) turn(job string, step stepSpec) bool {
	for _, before := range step.After {
		for index := range p.specs[job].Steps[before].Count {
			if !p.task(taskName(job, before, index)).done {
				return false
			}
		}
	}
	return true
}

// places returns how often the free capacity of the sound workers suffices for a task of a step, minPlaces at most.
func (p *poolView) places(job string, n int) (places int) {
	step := p.specs[job].Steps[n]
	for _, w := range p.workers {
		if step.Requires != "" && !slices.Contains(w.kind.AllLabels(), step.Requires) {
			continue
		}
		most := minPlaces
		if step.AntiAffinity > 0 {
			most = min(most, step.AntiAffinity-p.ofStep[stepOn(w.id, job, n)])
		}
		used := p.used[w.id]
		for range most {
			if used = used.Plus(step.Resources); !used.Within(w.kind.Capacity) {
				break
			}
			places++
		}
	}
	return min(places, minPlaces)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
