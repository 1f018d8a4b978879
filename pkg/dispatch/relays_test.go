package dispatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"fulmarcourse.example/core/schedule"
	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/core/workload"
	"fulmarcourse.example/fulmarcourse/pkg/bootclock"
	"fulmarcourse.example/fulmarcourse/pkg/eventlog"
	"fulmarcourse.example/fulmarcourse/pkg/kv/kvtest"
)

// listedHosts implements Relays. Its relays have no assignments.
type listedHosts []RelayHost

func (l listedHosts) RelayHosts() []RelayHost { return append([]RelayHost(nil), l...) }

// fleetOwner returns an owner with workers and an owner's host among equal hosts, and runs their assignment once.
func fleetOwner(t *testing.T, workers, hosts int, cores, linkMbps float64) (*Owner, context.Context) {
	t.Helper()
	var list listedHosts
	for n := range hosts {
		list = append(list, RelayHost{
			Name: fmt.Sprintf("host-%02d", n), Datacentre: "dc", Cores: cores, LinkMbps: linkMbps, Local: n == 0,
			Client: &fakeRelay{},
		})
	}
	o := NewOwner(Config{Host: "host-00", Store: kvtest.NewStore(), Relays: list, Log: eventlog.Discard(),
		Scope: tally.NoopScope, TaskLease: time.Second}, confirmedOwnership(t))
	var infos []schedule.WorkerInfo
	for n := range workers {
		infos = append(infos, schedule.WorkerInfo{ID: schedule.WorkerID(fmt.Sprint("w", n)), Datacentre: "dc",
			Capacity: structs.Resources{MilliCPU: 16000}})
	}
	o.setWorkers(infos)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); o.linkWG.Wait() })
	o.mu.Lock()
	defer o.mu.Unlock()
	o.loaded = true
	o.assignWorkers(ctx)
	return o, ctx
}

// Scenario: a fleet whose hosts have slow network links or few cores. Guards against relays that poll more workers than
// their link or processor carries: their calls time out, are repeated on new connections and fill the link further.
func TestRelaysPollWhatTheirHostsCarry(t *testing.T) {
	for name, c := range map[string]struct {
		workers, hosts  int
		cores, linkMbps float64
		relays          int // that are needed
		local           bool
	}{
		"slow links":                     {140, 18, 0.8, 2, 6, false},
		"few cores":                      {350, 37, 0.2, 100, 7, false},
		"strong hosts":                   {490, 42, 0.8, 200, 7, false},
		"owner alone":                    {66, 7, 0.4, 1000, 1, true},
		"unknown links":                  {66, 7, 0.4, 0, 1, true},
		"more workers than hosts can do": {400, 5, 0.8, 2, 4, false},
	} {
		o, _ := fleetOwner(t, c.workers, c.hosts, c.cores, c.linkMbps)
		o.mu.Lock()
		total := 0
		for host, l := range o.links {
			total += len(l.workers)
			if l.host.Local != c.local {
				t.Errorf("%s: %s is a relay", name, host)
			}
			if len(l.workers) > l.host.capacity() && len(o.links)*l.host.capacity() >= c.workers {
				t.Errorf("%s: %s polls %d workers, its capacity is %d", name, host, len(l.workers), l.host.capacity())
			}
		}
		if len(o.links) != c.relays || total != c.workers {
			t.Errorf("%s: %d relays poll %d of %d workers, want %d relays", name, len(o.links), total, c.workers, c.relays)
		}
		o.mu.Unlock()
	}
}

// Guards against a relay that counts as lost because the process was paused, although it runs in the process of the owner: its
// workers would not be polled while it is backed off from, and their leases would expire.
func TestLocalRelayIsNotLostInAPause(t *testing.T) {
	for _, local := range []bool{true, false} {
		l := &link{host: RelayHost{Local: local}}
		ctx, cancel := l.collectContext(t.Context())
		if _, bounded := ctx.Deadline(); bounded == local {
			t.Errorf("relay in this process: %v, its call has a deadline: %v", local, bounded)
		}
		cancel()
		if ctx.Err() == nil {
			t.Error("the call does not end with its link")
		}
	}
}

// lose makes the owner lose a relay and assigns the workers again.
func (o *Owner) lose(ctx context.Context, host string) {
	o.mu.Lock()
	l := o.links[host]
	o.mu.Unlock()
	o.closeLink(l, errors.New("no answer"))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.assignWorkers(ctx)
}

// Scenario: an owner that cannot poll all workers itself loses all its relays, whose hosts are still registered: they are cut off from
// it. Guards against an owner that polls no worker, so that the leases of all tasks lapse, against one that polls more than its host
// can, and against workers without services that are polled in place of those with them.
func TestOwnerWithoutRelaysPollsWhatItCan(t *testing.T) {
	const workers, services = 90, 20
	o, ctx := fleetOwner(t, workers, 3, 0.4, 1000)
	service := workload.Job{ID: "000000000000000a", Steps: []workload.Step{{Tasks: services, Service: true}}}
	o.update(func(s *schedule.Scheduler, now schedule.Time) {
		s.AddJob(service, nil, false)
		for n := range services {
			row := schedule.Running{Task: workload.TaskID{Job: service.ID, Index: n}, Attempt: 1}
			s.Report(now, schedule.WorkerID(fmt.Sprint("w", workers-1-n)), schedule.Report{
				Incarnation: 1, SentAt: now.Boot, Running: []schedule.Running{row}})
		}
	})
	o.lose(ctx, "host-01")
	o.lose(ctx, "host-02")
	local := o.linkTo("host-00")
	if local == nil {
		t.Fatal("the owner polls no worker")
	}
	if got, want := o.polledBy(local), local.host.capacity(); got != want {
		t.Errorf("the owner polls %d workers, want %d", got, want)
	}
	for n := range services {
		if id := schedule.WorkerID(fmt.Sprint("w", workers-1-n)); o.linkOfWorker(id) != local {
			t.Errorf("%s runs a service and is not polled", id)
		}
	}
	o.mu.Lock()
	clear(o.relayBackOffUntil)
	o.assignWorkers(ctx)
	o.mu.Unlock()
	if o.linkTo("host-01") == nil || o.polledBy(local) == 0 {
		t.Errorf("the owner polls %d workers before its relays have answered", o.polledBy(local))
	}
	o.mu.Lock()
	for _, host := range []string{"host-01", "host-02"} {
		o.links[host].relayClockReadAt = 1
	}
	o.assignWorkers(ctx)
	o.assignWorkers(ctx)
	o.mu.Unlock()
	if o.linkTo("host-00") != nil {
		t.Error("the owner polls workers although its relays have answered")
	}
	for n := range workers {
		if o.linkOfWorker(schedule.WorkerID(fmt.Sprint("w", n))) == nil {
			t.Fatalf("w%d is not polled", n)
		}
	}
}

func (o *Owner) linkTo(host string) *link {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.links[host]
}

func (o *Owner) linkOfWorker(id schedule.WorkerID) *link {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.linkOf[id]
}

// polledBy returns the number of workers that are assigned to a link.
func (o *Owner) polledBy(l *link) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(l.workers)
}

// Scenario: both loops of a link find that its relay is lost, and the next link to the host is opened in between. Guards against a loop
// that closes the next link: its workers would count as polled and no link would send for them.
func TestLinkIsClosedOnce(t *testing.T) {
	o, ctx := fleetOwner(t, 90, 3, 0.4, 1000)
	lost := o.linkTo("host-01")
	o.lose(ctx, "host-01")
	o.mu.Lock()
	clear(o.relayBackOffUntil)
	o.assignWorkers(ctx)
	o.mu.Unlock()
	next := o.linkTo("host-01")
	if next == nil || next == lost {
		t.Fatal("no next link is open")
	}
	o.closeLink(lost, errors.New("no answer"))
	if o.linkTo("host-01") != next {
		t.Error("the next link to the host is closed with the former one")
	}
}

// Scenario: a relay is lost because its host has started again at another address. Guards against a host that is not used for
// relayBackOff although it is registered where it is now, while its former address stays unused for that time.
func TestLostRelayIsUsedAtItsNextAddressAtOnce(t *testing.T) {
	o, ctx := fleetOwner(t, 90, 3, 0.4, 1000)
	hosts := o.cfg.Relays.RelayHosts()
	o.lose(ctx, "host-01")
	if o.linkTo("host-01") != nil {
		t.Fatal("the lost relay is used again at the same address")
	}
	hosts[1].Address = "10.0.0.9:7000"
	o.mu.Lock()
	o.cfg.Relays = listedHosts(hosts)
	o.assignWorkers(ctx)
	o.mu.Unlock()
	if l := o.linkTo("host-01"); l == nil || l.host.Address != hosts[1].Address {
		t.Errorf("the relay at the next address has the link %v", l)
	}
}

// Scenario: over a long term hosts are lost and replaced by others. Guards against state that grows with each host that was ever lost.
func TestBackOffOfLostRelaysIsForgotten(t *testing.T) {
	o, ctx := fleetOwner(t, 90, 3, 0.4, 1000)
	now := bootclock.Uptime()
	o.mu.Lock()
	for n := range 20 {
		o.relayBackOffUntil[relayPlace{fmt.Sprint("former-", n), "10.0.0.9:7000"}] = now - time.Second
	}
	o.relayBackOffUntil[relayPlace{"lost", "10.0.0.9:7000"}] = now + time.Minute
	o.mu.Unlock()
	o.lose(ctx, "host-01")
	o.mu.Lock()
	defer o.mu.Unlock()
	if n := len(o.relayBackOffUntil); n != 2 {
		t.Errorf("%d relays are remembered, want the 2 that are not used yet", n)
	}
}
