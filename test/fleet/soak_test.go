package fleet

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/standin/fleet"
	"fulmarcourse.example/fulmarcourse/test/poll"
)

const (
	// soakStep is the time between two actions of a soak.
	soakStep = 100 * time.Millisecond
	// faultOne is the chance of a fault in a step, one in so many.
	faultOne = 6
	// maxFault bounds how long a fault lasts.
	maxFault = 4 * time.Second
	// cancelOne is the share of the jobs that are cancelled, one in so many.
	cancelOne = 8
	// maxFailures is the number of failed attempts after which a job has failed; fleet.Platform.Configure sets it.
	maxFailures = 3
)

// soakRun submits and cancels jobs while faults come and go, and knows what callers were told.
type soakRun struct {
	s         *site
	rnd       *rand.Rand
	began     time.Time
	jobs      int
	version   int // of the configuration
	accepted  map[string]bool
	cancelled map[string]bool // cancelling was acknowledged or may have happened
	refused   map[string]bool // told that it never runs, and by nobody else that it may
	open      map[string]bool // told nothing certain
	final     map[string]string
	down      map[int]bool // hosts whose process is being replaced
	ends      []faultEnd
}

type faultEnd struct {
	at   time.Time
	name string
	heal func()
}

// soak plays one seed. The seed decides what is done, not how long the processes take for it.
func soak(t *testing.T, seed uint64, length time.Duration) {
	rnd := rand.New(rand.NewPCG(seed, 11))
	cfg := fleet.Config{
		Seed: seed, Datacentres: []string{"dc1", "dc2"}, Workers: 5, RunTime: shortTasks, ClockDrift: fleet.MaxClockDrift,
	}
	r := &soakRun{
		s: newSite(t, cfg, 3), rnd: rnd, began: time.Now(), version: 1, accepted: map[string]bool{}, cancelled: map[string]bool{},
		refused: map[string]bool{}, open: map[string]bool{}, final: map[string]string{}, down: map[int]bool{},
	}
	r.play(length)
	r.settle()
}

// play acts for a time and heals everything afterwards.
func (r *soakRun) play(length time.Duration) {
	ticker := time.NewTicker(soakStep)
	defer ticker.Stop()
	for end := time.Now().Add(length); time.Now().Before(end); <-ticker.C {
		r.heal(time.Now())
		if r.rnd.IntN(faultOne) == 0 {
			r.fault()
		}
		r.submit()
		r.look()
	}
	r.heal(time.Now().Add(maxFault))
}

func (r *soakRun) heal(now time.Time) {
	kept := r.ends[:0]
	for _, end := range r.ends {
		if now.After(end.at) {
			end.heal()
			r.note("ends: " + end.name)
		} else {
			kept = append(kept, end)
		}
	}
	r.ends = kept
}

// fault starts one fault of a random kind for a random time.
func (r *soakRun) fault() {
	kind := soakFaults[r.rnd.IntN(len(soakFaults))]
	heal := kind.start(r)
	length := time.Duration(r.rnd.Int64N(int64(maxFault)))
	r.ends = append(r.ends, faultEnd{time.Now().Add(length), kind.name, heal})
	r.note("starts: " + kind.name)
}

func (r *soakRun) note(text string) {
	r.s.t.Logf("%v %s %s", time.Since(r.began).Round(time.Millisecond), time.Now().UTC().Format("15:04:05.000"), text)
}

func (r *soakRun) submit() {
	id := jobID(r.jobs)
	r.jobs++
	switch status := r.s.post(r.host(), id, twoSteps); status {
	case http.StatusOK:
		r.accepted[id] = true
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		r.refused[id] = true
	default:
		r.open[id] = true
	}
	if r.accepted[id] && r.rnd.IntN(cancelOne) == 0 {
		r.cancelled[id] = true
		r.s.status(http.MethodDelete, r.s.url(r.host(), id), "") // cancelled is true whatever the answer
	}
}

// look asks any host for the state of any job. A final state must not be followed by another one.
func (r *soakRun) look() {
	id := jobID(r.rnd.IntN(r.jobs))
	r.check(id, r.s.state(r.host(), id))
}

func (r *soakRun) check(id, state string) {
	switch state {
	case "completed", "failed", "cancelled":
	default:
		return
	}
	if before, found := r.final[id]; found && before != state {
		r.s.t.Errorf("job %s is %s after it was %s", id, state, before)
	}
	r.final[id] = state
	if state == "cancelled" && !r.cancelled[id] {
		r.s.t.Errorf("job %s is cancelled, and nobody has asked for it", id)
	}
}

// settle waits until every accepted job has ended and checks what callers were told.
func (r *soakRun) settle() {
	t := r.s.t
	t.Helper()
	for n := range r.s.hosts {
		r.s.awaitReady(n)
	}
	for id := range r.accepted {
		r.awaitEnd(id)
	}
	r.checkRuns()
	r.s.checkHistory()
	t.Logf("%d jobs: %d accepted, %d refused, %d uncertain; %d attempts",
		r.jobs, len(r.accepted), len(r.refused), len(r.open), len(r.s.platform.History()))
}

// awaitEnd waits for a final state of an accepted job.
func (r *soakRun) awaitEnd(id string) {
	r.s.t.Helper()
	state := ""
	defer func() {
		if r.final[id] == "" {
			r.note("job " + id + " has not ended, its state: " + state)
		}
	}()
	poll.Until(r.s.t, "accepted job "+id+" ends", func() bool {
		state = r.s.state(r.host(), id)
		r.check(id, state)
		return r.final[id] != ""
	})
}

// checkRuns compares what callers were told with what the workers have done.
func (r *soakRun) checkRuns() {
	t := r.s.t
	t.Helper()
	done, failed := map[string]int{}, map[string]int{}
	most := map[string]int{} // failed attempts of one task, by job
	for _, run := range r.s.platform.History() {
		id, _, _ := strings.Cut(run.Task, ".")
		switch run.Outcome {
		case "done":
			done[id]++
		case "failed":
			failed[run.Task]++
			most[id] = max(most[id], failed[run.Task])
		}
		if r.refused[id] {
			t.Errorf("refused job %s has run", id)
		}
	}
	for id, state := range r.final {
		if state == "completed" && done[id] < twoStepsTasks {
			t.Errorf("job %s is completed, and %d of its tasks are done", id, done[id])
		}
		if state == "failed" && most[id] < maxFailures {
			t.Errorf("job %s has failed after %d failed attempts of a task", id, most[id])
		}
	}
	for task, n := range failed {
		if n > maxFailures {
			t.Errorf("task %s has failed %d times", task, n)
		}
	}
}
