package fleet

import (
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"
)

const (
	observeInterval = 100 * time.Millisecond
	visibleAfter    = 3 * time.Second // from the acceptance of a job until each host in touch knows it
	inTouchAfter    = 3 * time.Second // from the last disturbance until all hosts are in touch
)

// soakObserver observes a soak run while it goes on, and fails its test if a job or a service task waits for longer than the platform
// allows. It uses what callers and workers have seen.
type soakObserver struct {
	s       *site
	started time.Time
	stop    func()       // ends the observation
	waits   waitObserver // used by the goroutine of the observation, and after its end

	mu        sync.Mutex // guards the fields below
	specs     map[string]jobSpec
	open      map[string]openJob
	faults    int       // active ones
	disturbed time.Time // end of the latest fault or absence of a worker
	trafficTo time.Time
}

func startObserver(s *site) *soakObserver {
	o := &soakObserver{s: s, started: time.Now(), specs: map[string]jobSpec{}, open: map[string]openJob{}}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(observeInterval)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case now := <-ticker.C:
				o.look(now)
			}
		}
	}()
	o.stop = sync.OnceFunc(func() {
		close(stop)
		<-stopped
	})
	s.t.Cleanup(o.stop)
	return o
}

// submitted records a submission, before it is sent.
func (o *soakObserver) submitted(id, body string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.specs[id] = mustParseJob(body)
}

func (o *soakObserver) accepted(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.open[id] = openJob{id, time.Now()}
}

// ended records that a caller is about to cancel a job or has seen it in a final state.
func (o *soakObserver) ended(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.open, id)
}

func (o *soakObserver) faultStarts() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults++
}

func (o *soakObserver) faultEnds() {
	o.mu.Lock()
	o.faults--
	o.mu.Unlock()
	o.disturbedFor(0)
}

// disturbedFor records that a fault has an effect for some time from now, such as orders that are carried out late.
func (o *soakObserver) disturbedFor(effect time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.disturbed = latest(o.disturbed, time.Now().Add(effect))
}

func (o *soakObserver) trafficEnds() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.trafficTo = time.Now()
}

// calmSince returns the end of the latest disturbance, or now while there is one.
func (o *soakObserver) calmSince() time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.faults > 0 {
		return time.Now()
	}
	return latest(o.disturbed, o.s.stalls.lastEnd())
}

// unknown reports whether a host that does not know a job breaks the platform's rule LOST: the job was accepted long enough ago, nobody
// has cancelled it, and the host is in touch.
func (o *soakObserver) unknown(id string) bool {
	o.mu.Lock()
	job, open := o.open[id]
	o.mu.Unlock()
	return open && time.Since(job.accepted) > visibleAfter && time.Since(o.calmSince()) > inTouchAfter
}

// look makes one observation.
func (o *soakObserver) look(now time.Time) {
	ob := observation{at: now, runs: o.s.platform.History(), specs: map[string]jobSpec{}, stalls: &o.s.stalls}
	var absent bool
	for _, w := range o.s.platform.Workers() {
		if id, kind, sound := w.Sound(); sound {
			ob.workers = append(ob.workers, soundWorker{id, kind})
		} else {
			absent = true
		}
	}
	o.mu.Lock()
	if absent {
		o.disturbed = latest(o.disturbed, now)
	}
	maps.Copy(ob.specs, o.specs)
	for _, job := range o.open {
		ob.open = append(ob.open, job)
	}
	ob.trafficTo = o.trafficTo
	o.mu.Unlock()
	ob.disturbed = o.calmSince()
	for _, w := range o.waits.observe(ob) {
		o.report(w, ob)
	}
}

// report fails the test because of a wait, unless a host shows the job in a final state.
func (o *soakObserver) report(w wait, ob observation) {
	states := map[string]string{}
	for n, h := range o.s.hosts {
		state := o.s.state(n, w.job)
		if isFinal(state) {
			o.ended(w.job)
			return
		}
		states[h.name] = state
	}
	kind := "job " + w.job + ": nothing runs and " + w.task
	if w.service {
		kind = "service task " + w.task
	}
	o.s.t.Errorf("%s at %v (%s): %s could run and has waited for %v, on %d sound workers; undisturbed for %v; shown as %v; the owner's reason:\n%s",
		o.s.t.Name(), w.until.Sub(o.started).Round(time.Millisecond), w.until.UTC().Format("15:04:05.000"), kind, w.length(),
		len(ob.workers), w.until.Sub(ob.disturbed).Round(time.Millisecond), states, o.reasons(w.job))
	for _, run := range ob.runs {
		if run.Task == w.task {
			o.s.t.Log(describeRun(run))
		}
	}
}

// isFinal reports whether a job in a state never leaves it.
func isFinal(state string) bool {
	return state == "completed" || state == "failed" || state == "cancelled"
}

// reasons returns the latest line about a wait of a job in each host's log, and the latest totals of an owner.
func (o *soakObserver) reasons(job string) string {
	var found []string
	for _, h := range o.s.hosts {
		waits, status := "", ""
		for line := range strings.Lines(o.s.log(h)) {
			switch {
			case strings.Contains(line, `"task_waits"`) && strings.Contains(line, job):
				waits = line
			case strings.Contains(line, `"partition_status"`):
				status = line
			}
		}
		if waits != "" || status != "" {
			found = append(found, h.name+": "+waits+status)
		}
	}
	return strings.Join(found, "")
}

// longestWaits describes the longest waits that have counted. It is called after the end of the observation.
func (o *soakObserver) longestWaits() string {
	return fmt.Sprintf("longest waits that counted: %v of a job, %v of a service task", o.waits.longest, o.waits.restarts)
}
