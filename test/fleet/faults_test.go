package fleet

import (
	"syscall"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/standin/fleet"
	"fulmarcourse.example/fulmarcourse/test/faultproxy"
)

const (
	linkDelay      = 150 * time.Millisecond // added by a slow link, plus a random jitter of at most the same length
	storeDelay     = 200 * time.Millisecond // added to every response of a slow store
	lateWriteDelay = time.Second            // until the store applies a late write, which it does not answer
	lateOrderDelay = 2 * time.Second        // until a worker executes a late order, which it does not answer
)

// fault is a kind of fault that a soak run injects. start selects the target, injects the fault and returns the
// function that ends it.
type fault struct {
	name  string
	start func(r *soakRun) (heal func())
}

// soakFaults are the faults from which a soak run selects at random. Several can be active at the same time.
var soakFaults = []fault{
	{"store unresponsive", storeFault(fleet.StoreFaults{Unresponsive: true})},
	{"store unavailable", storeFault(fleet.StoreFaults{Unavailable: true})},
	{"store loses responses", storeFault(fleet.StoreFaults{LoseResponseOneIn: 3})},
	{"store writes late", storeFault(fleet.StoreFaults{LateWriteOneIn: 4, LateWriteDelay: lateWriteDelay})},
	{"store slow", storeFault(fleet.StoreFaults{Delay: storeDelay})},
	{"store compacts history", func(r *soakRun) func() { r.s.platform.Store.Compact(); return noHeal }},
	{"store revokes leases", func(r *soakRun) func() { r.s.platform.Store.RevokeLeases(); return noHeal }},
	{"worker crashes", (*soakRun).crashWorker},
	{"worker unresponsive", workerFault(fleet.WorkerFaults{Unresponsive: true})},
	{"worker executes orders late", workerFault(fleet.WorkerFaults{LateOrderOneIn: 2, LateOrderDelay: lateOrderDelay})},
	{"worker fails tasks", workerFault(fleet.WorkerFaults{FailTasks: true})},
	{"worker slow", workerFault(fleet.WorkerFaults{Slowdown: 5})},
	{"link cut to the target", linkFault(func(p *faultproxy.Proxy) { p.Cut(faultproxy.ToTarget) }, healLink)},
	{"link cut to the caller", linkFault(func(p *faultproxy.Proxy) { p.Cut(faultproxy.ToCaller) }, healLink)},
	{"link cut", linkFault(func(p *faultproxy.Proxy) { p.Cut(faultproxy.Both...) }, healLink)},
	{"link frozen", linkFault(
		func(p *faultproxy.Proxy) { p.Freeze(faultproxy.Both...) }, func(p *faultproxy.Proxy) { p.Thaw(faultproxy.Both...) })},
	{"link slow", linkFault(
		func(p *faultproxy.Proxy) { p.SetDelay(faultproxy.ToTarget, linkDelay, linkDelay) },
		func(p *faultproxy.Proxy) { p.SetDelay(faultproxy.ToTarget, 0, 0) })},
	{"link reset", linkFault((*faultproxy.Proxy).CloseConnections, func(*faultproxy.Proxy) {})},
	{"host killed", func(r *soakRun) func() { return r.restart(r.randomHost(), syscall.SIGKILL) }},
	{"host stopped", func(r *soakRun) func() { return r.restart(r.randomHost(), syscall.SIGTERM) }},
	{"host paused", func(r *soakRun) func() {
		host := r.randomHost()
		r.s.signal(host, syscall.SIGSTOP)
		return func() { r.s.signal(host, syscall.SIGCONT) }
	}},
	{"host reloads settings", func(r *soakRun) func() { r.s.reload(r.randomHost()); return noHeal }},
	{"all hosts killed", func(r *soakRun) func() {
		var heals []func()
		for host := range r.s.hosts {
			heals = append(heals, r.restart(host, syscall.SIGKILL))
		}
		return func() {
			for _, heal := range heals {
				heal()
			}
		}
	}},
	{"configuration changes", func(r *soakRun) func() {
		r.version++
		r.s.platform.Configure(r.version)
		return noHeal
	}},
	{"data centre evacuated", func(r *soakRun) func() {
		r.s.platform.Evacuate("dc2", true)
		return func() { r.s.platform.Evacuate("dc2", false) }
	}},
}

func noHeal() {}

// crashWorker crashes a worker. Every second one returns under a new id; the choice uses no random number, so that a seed
// still decides on the same faults as before.
func (r *soakRun) crashWorker() (heal func()) {
	r.crashes++
	if r.crashes%2 == 0 {
		r.randomWorker().CrashUnderNewID()
	} else {
		r.randomWorker().Crash()
	}
	return noHeal
}

func storeFault(faults fleet.StoreFaults) func(*soakRun) func() {
	return func(r *soakRun) func() {
		r.s.platform.Store.SetFaults(faults)
		return func() {
			r.s.platform.Store.SetFaults(fleet.StoreFaults{})
			r.observer.disturbedFor(faults.LateWriteDelay)
		}
	}
}

func workerFault(faults fleet.WorkerFaults) func(*soakRun) func() {
	return func(r *soakRun) func() {
		worker := r.randomWorker()
		worker.SetFaults(faults)
		return func() {
			worker.SetFaults(fleet.WorkerFaults{})
			r.observer.disturbedFor(faults.LateOrderDelay)
		}
	}
}

// linkFault injects a fault into a randomly selected link: from one host to the store, or from all hosts to one worker.
func linkFault(start, heal func(*faultproxy.Proxy)) func(*soakRun) func() {
	return func(r *soakRun) func() {
		link := r.s.links[r.rnd.IntN(len(r.s.links))]
		start(link)
		return func() { heal(link) }
	}
}

func healLink(p *faultproxy.Proxy) { p.Heal(faultproxy.Both...) }

func (r *soakRun) randomHost() int { return r.rnd.IntN(len(r.s.hosts)) }

func (r *soakRun) randomWorker() *fleet.Worker {
	workers := r.s.platform.Workers()
	return workers[r.rnd.IntN(len(workers))]
}

// restart terminates the process of a host with a signal and returns the function that starts it again. It does nothing
// while another fault has the host down.
func (r *soakRun) restart(host int, sig syscall.Signal) (heal func()) {
	if r.down[host] {
		return noHeal
	}
	r.down[host] = true
	r.s.signal(host, sig)
	return func() {
		r.s.signal(host, syscall.SIGCONT)
		r.s.kill(host) // a host that received SIGTERM may still be finishing requests
		r.s.start(host)
		r.down[host] = false
	}
}
