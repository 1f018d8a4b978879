package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/standin/fleet"
	"fulmarcourse.example/fulmarcourse/test/poll"
)

const (
	// soakStep is the time between two steps of a soak run.
	soakStep = 100 * time.Millisecond
	// faultOneIn is the inverse of the probability that a step starts a fault.
	faultOneIn = 6
	// maxFaultDuration is the longest time that a fault lasts.
	maxFaultDuration = 4 * time.Second
	// cancelOneIn is the inverse of the probability that an accepted job is cancelled.
	cancelOneIn = 8
	// minCrashes is the number of crashes of workers under one task from which its job may be given up.
	minCrashes = 2
	// maxFailures is the number of failed attempts of one task after which its job has failed, as set by
	// fleet.Platform.Configure.
	maxFailures = 3
)

// stateUnknown is what site.state returns for a job that the host does not know.
const stateUnknown = "410"

// soakRun submits and cancels jobs while faults are injected, and records the responses that callers received.
type soakRun struct {
	s            *site
	observer     *soakObserver
	seed         uint64
	rnd          *rand.Rand
	workers      int           // of the site
	faults       []fault       // that the run injects; none for calm time
	faultOneIn   int           // inverse of the probability that a step starts a fault
	maxFault     time.Duration // longest time that a fault lasts
	start        time.Time
	jobs         int
	version      int // of the stored configuration
	accepted     map[string]bool
	cancelled    map[string]bool // a cancel request was sent, whatever its response
	refused      map[string]bool // the only submission was refused, so the job must never run
	uncertain    map[string]bool // the submission got no definite response
	final        map[string]string
	down         map[int]bool      // hosts whose process was terminated and has not been restarted
	crashes      int               // of workers so far
	left         []*fleet.Endpoint // at which a worker has listened before it returned at another address
	activeFaults []activeFault
}

type activeFault struct {
	endsAt time.Time
	name   string
	heal   func()
}

// soak runs one seed. The seed determines the actions, but not how long the processes take for them.
func soak(t *testing.T, seed uint64, length time.Duration) {
	s := newSite(t, soakConfig(seed, soakWorkers), soakHosts)
	runSoak(s, soakFaults, seed, length)
}

// relayedSoak runs one seed on a site whose owner polls the workers through relays on the other hosts, with faults of the links
// between the hosts as well.
func relayedSoak(t *testing.T, seed uint64, length time.Duration) {
	s := newRelayedSite(t, soakConfig(seed, relayedWorkers), soakHosts)
	runSoak(s, slices.Concat(soakFaults, peerFaults), seed, length)
}

// returningSoak runs one seed on a site with workers that return at other addresses and as other kinds as well.
func returningSoak(t *testing.T, seed uint64, length time.Duration) {
	cfg := soakConfig(seed, soakWorkers)
	cfg.Requires = requirements
	s := newSite(t, cfg, soakHosts)
	runSoak(s, slices.Concat(soakFaults, returnFaults), seed, length)
}

// Sizes of the site of a soak run.
const (
	soakHosts   = 3
	soakWorkers = 5
)

func soakConfig(seed uint64, workers int) fleet.Config {
	return fleet.Config{
		Seed: seed, Datacentres: []string{"dc1", "dc2"}, Workers: workers, RunTime: shortTasks, ClockDrift: fleet.MaxClockDrift,
	}
}

func runSoak(s *site, faults []fault, seed uint64, length time.Duration) {
	r := newSoakRun(s, faults, seed)
	r.submitService()
	r.run(length)
	r.observer.trafficEnds()
	r.finish()
}

func newSoakRun(s *site, faults []fault, seed uint64) *soakRun {
	return &soakRun{
		s: s, observer: startObserver(s), seed: seed, rnd: rand.New(rand.NewPCG(seed, 11)), workers: len(s.platform.Workers()),
		faults: faults, faultOneIn: faultOneIn, maxFault: maxFaultDuration,
		start: time.Now(), version: 1, accepted: map[string]bool{}, cancelled: map[string]bool{},
		refused: map[string]bool{}, uncertain: map[string]bool{}, final: map[string]string{}, down: map[int]bool{},
	}
}

// submitService submits the job of services that run beside all other jobs.
func (r *soakRun) submitService() {
	r.s.t.Helper()
	r.observer.submitted(longRunningID, longRunningJob)
	r.s.submit(0, longRunningID, longRunningJob)
	r.observer.accepted(longRunningID)
}

// run submits jobs and injects faults for a time, and ends all faults afterwards.
func (r *soakRun) run(length time.Duration) {
	ticker := time.NewTicker(soakStep)
	defer ticker.Stop()
	for end := time.Now().Add(length); time.Now().Before(end); <-ticker.C {
		r.heal(time.Now())
		if len(r.faults) > 0 && r.rnd.IntN(r.faultOneIn) == 0 {
			r.injectFault()
		}
		r.submit()
		r.checkRandomJob()
	}
	r.heal(time.Now().Add(r.maxFault))
}

func (r *soakRun) heal(now time.Time) {
	kept := r.activeFaults[:0]
	for _, active := range r.activeFaults {
		if now.After(active.endsAt) {
			active.heal()
			r.observer.faultEnds()
			r.log("ends: " + active.name)
		} else {
			kept = append(kept, active)
		}
	}
	r.activeFaults = kept
}

// injectFault starts a random fault for a random time.
func (r *soakRun) injectFault() {
	fault := r.faults[r.rnd.IntN(len(r.faults))]
	r.observer.faultStarts()
	heal := fault.start(r)
	length := time.Duration(r.rnd.Int64N(int64(r.maxFault)))
	r.activeFaults = append(r.activeFaults, activeFault{time.Now().Add(length), fault.name, heal})
	r.log("starts: " + fault.name)
}

func (r *soakRun) log(text string) {
	r.s.t.Logf("%v %s %s", time.Since(r.start).Round(time.Millisecond), time.Now().UTC().Format("15:04:05.000"), text)
}

func (r *soakRun) submit() {
	id := jobID(r.jobs)
	r.jobs++
	r.observer.submitted(id, twoStepJob)
	switch status := r.s.post(r.randomHost(), id, twoStepJob); status {
	case http.StatusOK:
		r.accepted[id] = true
		r.observer.accepted(id)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		r.refused[id] = true
	default:
		r.uncertain[id] = true
	}
	if r.accepted[id] && r.rnd.IntN(cancelOneIn) == 0 {
		r.cancelled[id] = true
		r.observer.ended(id)
		r.s.status(http.MethodDelete, r.s.url(r.randomHost(), id), "") // recorded as cancelled whatever the response
	}
}

// checkRandomJob reads the state of a random job through a random host.
func (r *soakRun) checkRandomJob() {
	id := jobID(r.rnd.IntN(r.jobs))
	r.check(id, r.s.state(r.randomHost(), id))
}

// check fails the test if a final state differs from an earlier one, if a job is cancelled without a request, or if a host in touch
// does not know an accepted job.
func (r *soakRun) check(id, state string) {
	if state == stateUnknown && r.observer.unknown(id) {
		r.s.t.Errorf("accepted job %s is answered %s", id, state)
	}
	if !isFinal(state) {
		return
	}
	r.observer.ended(id)
	if before, found := r.final[id]; found && before != state {
		r.s.t.Errorf("job %s is %s after it was %s", id, state, before)
	}
	r.final[id] = state
	if state == "cancelled" && !r.cancelled[id] {
		r.s.t.Errorf("job %s is cancelled although no cancel request was sent", id)
	}
}

// finish waits until every accepted job has ended and checks the responses that callers received.
func (r *soakRun) finish() {
	t := r.s.t
	t.Helper()
	for n := range r.s.hosts {
		r.s.awaitReady(n)
	}
	for id := range r.accepted {
		r.awaitEnd(id)
	}
	r.awaitServices()
	settled := time.Since(r.observer.calmSince())
	r.checkJobsAreKnown()
	r.s.checkWorkersAreUsed()
	r.observer.stop()
	r.checkRuns()
	r.s.checkHistory()
	t.Logf("%d jobs: %d accepted, %d refused, %d uncertain; %d attempts; all had ended and all services ran %v after the last disturbance",
		r.jobs, len(r.accepted), len(r.refused), len(r.uncertain), len(r.s.platform.History()), settled.Round(time.Millisecond))
	t.Log(r.observer.longestWaits())
}

// awaitServices waits until all services run, unless their job has ended.
func (r *soakRun) awaitServices() {
	r.s.t.Helper()
	poll.Until(r.s.t, "all services run again", func() bool {
		r.check(longRunningID, r.s.state(r.randomHost(), longRunningID))
		return r.final[longRunningID] != "" || r.s.runningServices("") == 3
	})
}

// checkJobsAreKnown fails the test if a host does not know the state of an accepted job.
func (r *soakRun) checkJobsAreKnown() {
	r.s.t.Helper()
	for id := range r.accepted {
		if state := r.s.state(r.randomHost(), id); state != r.final[id] {
			r.s.t.Errorf("job %s is answered %s after all faults, it was %s", id, state, r.final[id])
		}
	}
}

// awaitEnd waits for a final state of an accepted job.
func (r *soakRun) awaitEnd(id string) {
	r.s.t.Helper()
	state := ""
	defer func() {
		if r.final[id] == "" {
			r.log("job " + id + " has not ended, its state: " + state)
		}
	}()
	poll.Until(r.s.t, "accepted job "+id+" ends", func() bool {
		state = r.s.state(r.randomHost(), id)
		r.check(id, state)
		return r.final[id] != ""
	})
}

// checkRuns compares the responses that callers received with the runs on the workers.
func (r *soakRun) checkRuns() {
	t := r.s.t
	t.Helper()
	done, failed := map[string]int{}, map[string]int{}
	mostFailed := map[string]int{} // largest number of failed attempts of one task, by job
	crashed, mostCrashed := map[string]int{}, map[string]int{}
	for _, run := range r.s.platform.History() {
		id, _, _ := strings.Cut(run.Task, ".")
		switch run.Outcome {
		case "done":
			done[id]++
		case "failed":
			failed[run.Task]++
			mostFailed[id] = max(mostFailed[id], failed[run.Task])
		case "gone":
			crashed[run.Task]++
			mostCrashed[id] = max(mostCrashed[id], crashed[run.Task])
		}
		if r.refused[id] {
			t.Errorf("refused job %s has run", id)
		}
	}
	for id, state := range r.final {
		if state == "completed" && done[id] < twoStepJobTasks {
			t.Errorf("job %s is completed, but only %d of its tasks are done", id, done[id])
		}
		if state == "failed" && mostFailed[id] < maxFailures && mostCrashed[id] < minCrashes {
			t.Errorf("job %s has failed after at most %d failed attempts of a task and %d crashes of workers under one",
				id, mostFailed[id], mostCrashed[id])
			r.logRuns(id)
		}
	}
	for task, n := range failed {
		if n > maxFailures {
			t.Errorf("task %s has failed %d times", task, n)
		}
	}
}

// logRuns logs what the workers have seen of a job.
func (r *soakRun) logRuns(job string) {
	for _, run := range r.s.platform.History() {
		if strings.HasPrefix(run.Task, job) {
			r.log(describeRun(run))
		}
	}
}

func describeRun(run fleet.Run) string {
	const format = "15:04:05.000"
	return fmt.Sprintf("%s attempt %d on %s: %s to %s, %q, end lost %t",
		run.Task, run.Attempt, run.Worker, run.Started.UTC().Format(format), run.Ended.UTC().Format(format), run.Outcome, run.EndLost)
}
