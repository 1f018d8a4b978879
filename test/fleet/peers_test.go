package fleet

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/standin/fleet"
	"fulmarcourse.example/fulmarcourse/test/faultproxy"
	"fulmarcourse.example/fulmarcourse/test/poll"
)

// relayShare is the share of a core of a host that cannot poll all workers of a relayed site itself, but half of them.
const relayShare = "0.02"

// relayedWorkers is the number of workers of a relayed site.
const relayedWorkers = 8

// peerLinks are the proxies between the hosts of a site. Each host is shown the addresses of proxies in place of those of the
// others, by a view of the store.
type peerLinks struct {
	links [][]*faultproxy.Proxy // by the index of the calling host and that of the called one; nil for a host itself
}

// newRelayedSite starts a site with proxies between its hosts, whose owner needs the relays on the others.
func newRelayedSite(t *testing.T, cfg fleet.Config, hosts int) *site {
	t.Helper()
	s := newPlatform(t, cfg)
	s.peers = &peerLinks{links: make([][]*faultproxy.Proxy, hosts)}
	for n := range hosts {
		view, err := fleet.NewView(&fleet.View{Store: s.platform.Store, Rewrite: func(_ string, value []byte) []byte {
			return s.peers.shownTo(n, s.hosts, value)
		}})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(view.Close)
		s.addHost(n, cfg.Datacentres[n%len(cfg.Datacentres)], view.Addr())
		s.setShare(n, relayShare)
	}
	for n := range hosts {
		for _, called := range s.hosts {
			if called == s.hosts[n] {
				s.peers.links[n] = append(s.peers.links[n], nil)
				continue
			}
			s.peers.links[n] = append(s.peers.links[n], faultproxy.Start(t, called.peerAddress))
		}
	}
	s.startAll()
	return s
}

// shownTo returns a stored value with the addresses by which a host reaches the others.
func (p *peerLinks) shownTo(caller int, hosts []*host, value []byte) []byte {
	for n, link := range p.links[caller] {
		if link != nil {
			value = bytes.ReplaceAll(value, quoted(hosts[n].peerAddress), quoted(link.Addr()))
		}
	}
	return value
}

func quoted(s string) []byte { return []byte(`"` + s + `"`) }

// Scenario: the owner is cut from one of its two relays while tasks run. Guards against tasks that run twice
// or not at all while their workers pass to another relay, and against a relayed site without relays.
func TestOwnerIsCutFromARelay(t *testing.T) {
	s := newRelayedSite(t, soakConfig(9, relayedWorkers), soakHosts)
	owner := s.owner()
	relay := (owner + 1) % soakHosts
	opened := func(n int) bool {
		log, err := os.ReadFile(s.hosts[owner].logPath)
		return err == nil && strings.Contains(string(log), fmt.Sprintf(`"relay_opened","relay":"%s"`, s.hosts[n].name))
	}
	poll.Until(t, "the owner uses both relays", func() bool { return opened(relay) && opened((owner+2)%soakHosts) })
	const jobs = 20
	for n := range jobs {
		s.submit(owner, jobID(n), twoStepJob)
	}
	s.peers.links[owner][relay].Cut(faultproxy.Both...)
	for n := range jobs {
		s.awaitState(owner, jobID(n), "completed")
	}
	s.checkHistory()
}

// Scenario: all open connections between the hosts lose all bytes for good, without a reset, while services run and jobs arrive. Guards
// against an owner that goes on using them until a keep-alive closes them: by then the leases of all tasks have lapsed.
func TestConnectionsBetweenHostsGoSilent(t *testing.T) {
	const (
		observed = 12 * time.Second // the keep-alive, and the longest lease
		pause    = 200 * time.Millisecond
	)
	s := newRelayedSite(t, soakConfig(9, relayedWorkers), soakHosts)
	owner := s.owner()
	s.submit(owner, longRunningID, longRunningJob)
	poll.Until(t, "the service runs", func() bool { return s.runningNow() == 3 })
	silent := 0
	for _, links := range s.peers.links {
		for _, link := range links {
			if link != nil {
				silent += link.SilenceConnections()
			}
		}
	}
	if silent == 0 {
		t.Fatal("no connection between hosts is open")
	}
	submitted := 0
	for end := time.Now().Add(observed); time.Now().Before(end); time.Sleep(pause) {
		s.submit(submitted%soakHosts, jobID(submitted), twoStepJob)
		submitted++
	}
	for n := range submitted {
		s.awaitState(owner, jobID(n), "completed")
	}
	for _, r := range s.platform.History() {
		if r.Outcome == "lapsed" {
			t.Errorf("the lease of %s on %s lapsed", r.Task, r.Worker)
		}
	}
	s.checkHistory()
}

// peerFaults are the faults of links between hosts, from which a soak run on a relayed site selects as well.
var peerFaults = []fault{
	{"peer link cut to the target", peerFault(func(p *faultproxy.Proxy) { p.Cut(faultproxy.ToTarget) }, healLink)},
	{"peer link cut", peerFault(func(p *faultproxy.Proxy) { p.Cut(faultproxy.Both...) }, healLink)},
	{"peer link frozen", peerFault(
		func(p *faultproxy.Proxy) { p.Freeze(faultproxy.Both...) }, func(p *faultproxy.Proxy) { p.Thaw(faultproxy.Both...) })},
	{"peer link slow", peerFault(
		func(p *faultproxy.Proxy) { p.SetDelay(faultproxy.ToTarget, linkDelay, linkDelay) },
		func(p *faultproxy.Proxy) { p.SetDelay(faultproxy.ToTarget, 0, 0) })},
	{"peer connections silent", peerFault(func(p *faultproxy.Proxy) { p.SilenceConnections() }, func(*faultproxy.Proxy) {})},
	{"peer link reset", peerFault((*faultproxy.Proxy).CloseConnections, func(*faultproxy.Proxy) {})},
	{"hosts cut from each other", func(r *soakRun) func() {
		caller, called := r.randomPeers()
		links := []*faultproxy.Proxy{r.s.peers.links[caller][called], r.s.peers.links[called][caller]}
		for _, link := range links {
			link.Cut(faultproxy.Both...)
		}
		return func() {
			for _, link := range links {
				healLink(link)
			}
		}
	}},
}

// peerFault injects a fault into the randomly selected link from one host to another.
func peerFault(start, heal func(*faultproxy.Proxy)) func(*soakRun) func() {
	return func(r *soakRun) func() {
		caller, called := r.randomPeers()
		link := r.s.peers.links[caller][called]
		start(link)
		return func() { heal(link) }
	}
}

// randomPeers returns two different hosts.
func (r *soakRun) randomPeers() (caller, called int) {
	caller = r.randomHost()
	return caller, (caller + 1 + r.rnd.IntN(len(r.s.hosts)-1)) % len(r.s.hosts)
}
