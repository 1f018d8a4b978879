package fleet

import (
	"syscall"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/standin/fleet"
	"fulmarcourse.example/fulmarcourse/test/faultproxy"
)

const (
	linkDelay  = 150 * time.Millisecond // of a slow connection, and as much again at random
	storeDelay = 200 * time.Millisecond // of every answer of a slow store
	lateStore  = time.Second            // after which the store carries out an unanswered write
	lateWorker = 2 * time.Second        // after which a worker carries out an unanswered order
)

// fault is one kind of trouble. start picks its target and returns how to end it.
type fault struct {
	name  string
	start func(r *soakRun) (heal func())
}

// soakFaults are the kinds of trouble that a soak draws from. Several may be in force at once.
var soakFaults = []fault{
	{"store silent", storeFault(fleet.StoreFaults{Unresponsive: true})},
	{"store busy", storeFault(fleet.StoreFaults{Unavailable: true})},
	{"store loses answers", storeFault(fleet.StoreFaults{LoseResponseOneIn: 3})},
	{"store writes late", storeFault(fleet.StoreFaults{LateWriteOneIn: 4, LateWriteDelay: lateStore})},
	{"store slow", storeFault(fleet.StoreFaults{Delay: storeDelay})},
	{"store drops history", func(r *soakRun) func() { r.s.platform.Store.Compact(); return nothing }},
	{"store ends leases", func(r *soakRun) func() { r.s.platform.Store.RevokeLeases(); return nothing }},
	{"worker crashes", func(r *soakRun) func() { r.worker().Crash(); return nothing }},
	{"worker silent", workerFault(fleet.WorkerFaults{Unresponsive: true})},
	{"worker late", workerFault(fleet.WorkerFaults{LateOrderOneIn: 2, LateOrderDelay: lateWorker})},
	{"worker fails tasks", workerFault(fleet.WorkerFaults{FailTasks: true})},
	{"worker slow", workerFault(fleet.WorkerFaults{Slowdown: 5})},
	{"link cut to the target", linkFault(func(p *faultproxy.Proxy) { p.Cut(faultproxy.ToTarget) }, healLink)},
	{"link cut to the caller", linkFault(func(p *faultproxy.Proxy) { p.Cut(faultproxy.ToCaller) }, healLink)},
	{"link cut", linkFault(func(p *faultproxy.Proxy) { p.Cut(faultproxy.Both...) }, healLink)},
	{"link silent", linkFault(
		func(p *faultproxy.Proxy) { p.Freeze(faultproxy.Both...) }, func(p *faultproxy.Proxy) { p.Thaw(faultproxy.Both...) })},
	{"link slow", linkFault(
		func(p *faultproxy.Proxy) { p.SetDelay(faultproxy.ToTarget, linkDelay, linkDelay) },
		func(p *faultproxy.Proxy) { p.SetDelay(faultproxy.ToTarget, 0, 0) })},
	{"link reset", linkFault((*faultproxy.Proxy).CloseConnections, func(*faultproxy.Proxy) {})},
	{"host killed", func(r *soakRun) func() { return r.restart(r.host(), syscall.SIGKILL) }},
	{"host stopped", func(r *soakRun) func() { return r.restart(r.host(), syscall.SIGTERM) }},
	{"host paused", func(r *soakRun) func() {
		host := r.host()
		r.s.signal(host, syscall.SIGSTOP)
		return func() { r.s.signal(host, syscall.SIGCONT) }
	}},
	{"host settings read again", func(r *soakRun) func() { r.s.signal(r.host(), syscall.SIGHUP); return nothing }},
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
		return nothing
	}},
	{"data centre evacuated", func(r *soakRun) func() {
		r.s.platform.Evacuate("dc2", true)
		return func() { r.s.platform.Evacuate("dc2", false) }
	}},
}

func nothing() {}

func storeFault(faults fleet.StoreFaults) func(*soakRun) func() {
	return func(r *soakRun) func() {
		r.s.platform.Store.SetFaults(faults)
		return func() { r.s.platform.Store.SetFaults(fleet.StoreFaults{}) }
	}
}

func workerFault(faults fleet.WorkerFaults) func(*soakRun) func() {
	return func(r *soakRun) func() {
		worker := r.worker()
		worker.SetFaults(faults)
		return func() { worker.SetFaults(fleet.WorkerFaults{}) }
	}
}

// linkFault disturbs the way from one host to the store or from all hosts to one worker.
func linkFault(start, heal func(*faultproxy.Proxy)) func(*soakRun) func() {
	return func(r *soakRun) func() {
		link := r.s.links[r.rnd.IntN(len(r.s.links))]
		start(link)
		return func() { heal(link) }
	}
}

func healLink(p *faultproxy.Proxy) { p.Heal(faultproxy.Both...) }

func (r *soakRun) host() int { return r.rnd.IntN(len(r.s.hosts)) }

func (r *soakRun) worker() *fleet.Worker {
	workers := r.s.platform.Workers()
	return workers[r.rnd.IntN(len(workers))]
}

// restart ends the process of a host by a signal and returns how to start it again.
func (r *soakRun) restart(host int, sig syscall.Signal) (heal func()) {
	if r.down[host] {
		return nothing
	}
	r.down[host] = true
	r.s.signal(host, sig)
	return func() {
		r.s.signal(host, syscall.SIGCONT)
		r.s.kill(host) // it may still be finishing requests
		r.s.start(host)
		r.down[host] = false
	}
}
