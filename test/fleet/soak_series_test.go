package fleet

import (
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/standin/fleet"
	"fulmarcourse.example/fulmarcourse/test/faultproxy"
)

// A series soak run alternates between faults that follow each other closely and calm time in which the traffic goes on.
const (
	seriesOfFaults = 5 * time.Second
	// calmTime is the time after which a wait of a service task that does not start again is reported, and one second more.
	calmTime = restartAfter + maxWait + time.Second
	// seriesFaultOneIn is the inverse of the probability that a step starts a fault in a series.
	seriesFaultOneIn = 2
	// maxSeriesFault is the longest time that a fault of a series lasts.
	maxSeriesFault = 1500 * time.Millisecond
	// minLoss and maxLoss bound how long the loss of a worker for good counts as a fault. What it leaves behind has to be over in the calm
	// time; the faults of a series count for longer and take their calm time with them.
	minLoss, maxLoss = 200 * time.Millisecond, time.Second
	// maxCrashDelay is the longest time from the cut of a worker's link until the worker crashes.
	maxCrashDelay = 400 * time.Millisecond
)

// seriesFaults are the faults from which a series selects: those after which an owner can know little of the tasks that have run.
var seriesFaults = []fault{
	{"worker crashes behind a cut", func(r *soakRun) func() { return r.crashCutOff(r.randomWorker()) }},
	{"worker crashes behind a cut", func(r *soakRun) func() { return r.crashCutOff(r.randomWorker()) }},
	{"all workers crash behind cuts", func(r *soakRun) func() {
		var heals []func()
		for _, w := range r.s.platform.Workers() {
			heals = append(heals, r.crashCutOff(w))
		}
		return func() {
			for _, heal := range heals {
				heal()
			}
		}
	}},
	{"owner killed after a submission", func(r *soakRun) func() {
		r.submit()
		return r.restart(r.presentOwner(), syscall.SIGKILL)
	}},
	{"all connections silent", func(r *soakRun) func() {
		for _, link := range r.s.links {
			link.SilenceConnections()
		}
		return noHeal
	}},
	{"connections silent", linkFault(func(p *faultproxy.Proxy) { p.SilenceConnections() }, func(*faultproxy.Proxy) {})},
	{"services fail", func(r *soakRun) func() { r.randomWorker().FailServices(); return noHeal }},
	{"services fail behind a cut", func(r *soakRun) func() {
		w := r.randomWorker()
		heal := r.cutOff(w)
		w.FailServices()
		return heal
	}},
	{"worker executes orders late", workerFault(fleet.WorkerFaults{LateOrderOneIn: 2, LateOrderDelay: lateOrderDelay})},
	{"store writes late", storeFault(fleet.StoreFaults{LateWriteOneIn: 4, LateWriteDelay: lateWriteDelay})},
	{"host paused", func(r *soakRun) func() {
		host := r.randomHost()
		r.s.signal(host, syscall.SIGSTOP)
		return func() { r.s.signal(host, syscall.SIGCONT) }
	}},
}

// seriesSoak runs one seed. Its length is that of all series together.
func seriesSoak(t *testing.T, seed uint64, length time.Duration) {
	r := newSoakRun(newSite(t, soakConfig(seed, soakWorkers), soakHosts), seriesFaults, seed)
	r.series(length)
}

// relayedSeriesSoak is seriesSoak on a site whose owner polls the workers through relays, with faults of the links between the hosts.
func relayedSeriesSoak(t *testing.T, seed uint64, length time.Duration) {
	r := newSoakRun(newRelayedSite(t, soakConfig(seed, relayedWorkers), soakHosts), slices.Concat(seriesFaults, peerFaults), seed)
	r.series(length)
}

func (r *soakRun) series(length time.Duration) {
	r.faultOneIn, r.maxFault = seriesFaultOneIn, maxSeriesFault
	faults := r.faults
	losses := rand.New(rand.NewPCG(r.seed, 13)) // so that a seed selects the same faults as without losses
	r.submitService()
	for left := length; left > 0; left -= seriesOfFaults {
		r.faults = faults
		r.run(min(left, seriesOfFaults))
		r.faults = nil
		if left > seriesOfFaults {
			r.run(time.Duration(losses.Int64N(int64(maxLoss))))
			counts := minLoss + time.Duration(losses.Int64N(int64(maxLoss-minLoss)))
			for waited := time.Duration(0); !r.loseWorker(counts) && waited < calmTime; waited += soakStep {
				r.run(soakStep)
			}
			r.run(calmTime + maxLoss)
			r.addWorker()
		}
	}
	r.observer.trafficEnds()
	r.finish()
}

// loseWorker removes a sound worker that runs a service for good, if there is one. The loss counts as a fault for a time.
func (r *soakRun) loseWorker(counts time.Duration) (lost bool) {
	for _, run := range r.s.platform.History() {
		if !run.Ended.IsZero() || !strings.HasPrefix(run.Task, longRunningID) {
			continue
		}
		for _, w := range r.s.platform.Workers() {
			if id, _, sound := w.Sound(); sound && id == run.Worker {
				r.observer.faultStarts()
				r.s.platform.Remove(w)
				r.activeFaults = append(r.activeFaults, activeFault{time.Now().Add(counts), "worker lost for good", noHeal})
				r.log("starts: worker lost for good, " + id)
				return true
			}
		}
	}
	return false
}

// addWorker adds a worker if one was lost.
func (r *soakRun) addWorker() {
	if len(r.s.platform.Workers()) >= r.workers {
		return
	}
	if _, err := r.s.platform.AddWorker(); err != nil {
		r.s.t.Fatal(err)
	}
}

// crashCutOff cuts a worker off and crashes it within maxCrashDelay, at times under a new id.
func (r *soakRun) crashCutOff(w *fleet.Worker) (heal func()) {
	restoreLink := r.cutOff(w)
	crash := w.Crash
	if r.rnd.IntN(2) == 0 {
		crash = w.CrashUnderNewID
	}
	timer := time.AfterFunc(time.Duration(r.rnd.Int64N(int64(maxCrashDelay))), crash)
	return func() {
		if timer.Stop() {
			crash()
		}
		restoreLink()
	}
}

// cutOff cuts the link to a worker, unless the worker is down.
func (r *soakRun) cutOff(w *fleet.Worker) (heal func()) {
	endpoint := w.Endpoint()
	if endpoint == nil {
		return noHeal
	}
	n := slices.IndexFunc(r.s.links, func(p *faultproxy.Proxy) bool { return p.Addr() == endpoint.Address })
	r.s.links[n].Cut(faultproxy.Both...)
	return func() { healLink(r.s.links[n]) }
}

// presentOwner returns the index of the host in the owner's record, or that of any host.
func (r *soakRun) presentOwner() int {
	record := string(r.s.platform.Store.Value(ownerKey))
	n := slices.IndexFunc(r.s.hosts, func(h *host) bool { return strings.Contains(record, string(quoted(h.name))) })
	if n < 0 {
		return r.randomHost()
	}
	return n
}
