package dispatch

import (
	"cmp"
	"context"
	"slices"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
)

// Limits of the workers that one relay polls.
const (
	// workersPerRelay is the maximum number of workers that one entry host polls.
	workersPerRelay = 75
	// workersPerCore and workersPerMbps bound the workers that a host polls by its processor and by its network link: with
	// frequent task ends a worker takes about 0.0013 of a core and 20 kbit/s in each direction, and both must suffice for
	// some times as much, because a relay that falls behind delays all its workers.
	workersPerCore = 250
	workersPerMbps = 12
	// minRelayCapacity is the number of workers that even the smallest host polls.
	minRelayCapacity = 4
)

// RelayHost is an entry host that can poll workers.
type RelayHost struct {
	Name       string
	Datacentre structs.DatacentreID
	Cores      float64
	LinkMbps   float64 // bandwidth of the host's network link; 0 if unknown
	Address    string  // at which the host is registered; empty for this host
	Local      bool    // the relay runs in this process
	Client     RelayClient
}

// relayPlace is a host at an address. After a host has started again at another address, its relay is another one.
type relayPlace struct{ host, address string }

func (h RelayHost) place() relayPlace { return relayPlace{h.Name, h.Address} }

// capacity returns how many workers the host can poll.
func (h RelayHost) capacity() int {
	capacity := workersPerRelay
	if h.Cores > 0 {
		capacity = min(capacity, int(h.Cores*workersPerCore))
	}
	if h.LinkMbps > 0 {
		capacity = min(capacity, int(h.LinkMbps*workersPerMbps))
	}
	return max(capacity, minRelayCapacity)
}

// Relays lists the entry hosts that can run relays.
type Relays interface {
	// RelayHosts returns the live entry hosts, including this one.
	RelayHosts() []RelayHost
}

// openLinks opens links until the hosts behind them can poll all workers, and then releases those that are not needed
// any more. o.mu is held.
func (o *Owner) openLinks(ctx context.Context, workers int) {
	hosts := o.cfg.Relays.RelayHosts()
	candidates := relayCandidates(hosts, workers)
	capacity := o.openCapacity(candidates)
	for _, host := range candidates {
		if capacity >= workers {
			break
		}
		if _, open := o.links[host.Name]; open || bootclock.Uptime() < o.relayBackOffUntil[host.place()] {
			continue
		}
		o.openLink(ctx, host)
		capacity += host.capacity()
	}
	o.localSubstitutes = !slices.ContainsFunc(candidates, isLocal)
	if o.localSubstitutes && len(o.links) == 0 {
		o.openLocalLink(ctx, hosts)
	}
	if capacity >= workers {
		o.releaseUnregistered(ctx, o.unregisteredLinks(hosts), len(hosts))
	}
	if o.localSubstitutes && o.answeredCapacity() >= workers {
		o.releaseLocalRelay(ctx)
	}
}

func isLocal(h RelayHost) bool { return h.Local }

// openLocalLink opens a link to the relay of this host. While no other one can be used, its workers keep their leases. o.mu is held.
func (o *Owner) openLocalLink(ctx context.Context, hosts []RelayHost) {
	if n := slices.IndexFunc(hosts, isLocal); n >= 0 {
		o.openLink(ctx, hosts[n])
	}
}

// full reports whether a link gets no further workers: the relay of this host polls what the host can while it stands in for others.
// Other relays get all workers, whatever their capacity. o.mu is held.
func (o *Owner) full(l *link) bool {
	return l.host.Local && o.localSubstitutes && len(l.workers) >= l.host.capacity()
}

// relayCandidates returns the hosts that may poll the workers, in order of preference: this host alone if it can poll all
// of them, else the others, since planning needs the processor time and the network link of this one.
func relayCandidates(hosts []RelayHost, workers int) []RelayHost {
	var local, remote []RelayHost
	for _, host := range hosts {
		if host.Local {
			local = append(local, host)
		} else {
			remote = append(remote, host)
		}
	}
	if len(remote) == 0 || (len(local) > 0 && workers <= local[0].capacity()) {
		return local
	}
	slices.SortFunc(remote, func(a, b RelayHost) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.Name, b.Name))
	})
	return remote
}

// openCapacity returns how many workers those of the hosts can poll to which links are open. o.mu is held.
func (o *Owner) openCapacity(hosts []RelayHost) int {
	capacity := 0
	for _, host := range hosts {
		if _, open := o.links[host.Name]; open {
			capacity += host.capacity()
		}
	}
	return capacity
}

// answeredCapacity returns how many workers the other hosts can poll whose relays have answered. o.mu is held.
func (o *Owner) answeredCapacity() int {
	capacity := 0
	for _, l := range o.links {
		if !l.host.Local && l.relayClockReadAt > 0 {
			capacity += l.host.capacity()
		}
	}
	return capacity
}

// unregisteredLinks returns the links to hosts that are no longer registered; such a host is about to stop. o.mu is
// held.
func (o *Owner) unregisteredLinks(hosts []RelayHost) []*link {
	registered := make(map[string]bool, len(hosts))
	for _, host := range hosts {
		registered[host.Name] = true
	}
	var unregistered []*link
	for name, l := range o.links {
		if !registered[name] {
			unregistered = append(unregistered, l)
		}
	}
	return unregistered
}

// releaseUnregistered releases the links to unregistered hosts once replacement links are open. If no host other than
// this one is registered, the registry is considered unreliable and the links are kept. o.mu is held.
func (o *Owner) releaseUnregistered(ctx context.Context, unregistered []*link, registered int) {
	if registered < 2 {
		return
	}
	for _, l := range unregistered {
		o.releaseRelay(ctx, l, "host no longer registered")
	}
}

// releaseLocalRelay moves the workers of this host's relay to the other relays. o.mu is held.
func (o *Owner) releaseLocalRelay(ctx context.Context) {
	l, local := o.links[o.cfg.Host]
	if !local || len(o.links) < 2 {
		return
	}
	o.releaseRelay(ctx, l, "enough remote relays")
}
