package integration

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"fulmarcourse.example/core/structs"
	"fulmarcourse.example/fulmarcourse/pkg/standin"
	"fulmarcourse.example/fulmarcourse/test/cluster"
	"fulmarcourse.example/fulmarcourse/test/invariants"
)

const (
	// leavingLimit is the time after which a leaving host must receive no new work, counted from when the host list shows
	// it as leaving (I8).
	leavingLimit = 3 * time.Second
	hostListLag  = time.Second
	callInterval = 50 * time.Millisecond
)

// callers sends requests of an idempotent kind through every entry host until it is closed.
type callers struct {
	stop  chan struct{}
	loops sync.WaitGroup
}

func startCallers(c *cluster.Cluster) *callers {
	s := &callers{stop: make(chan struct{})}
	for _, id := range c.Entries() {
		s.loops.Go(func() {
			ticker := time.NewTicker(callInterval)
			defer ticker.Stop()
			for {
				select {
				case <-s.stop:
					return
				case <-ticker.C:
					// Calls may fail because the test kills entry hosts.
					cluster.Send(base(c, id), cluster.Call{Service: service, Kind: "preview", Deadline: callDeadline, Body: "load"})
				}
			}
		})
	}
	return s
}

func (s *callers) close() {
	close(s.stop)
	s.loops.Wait()
}

// onHost selects a single host.
func onHost(id structs.HostID) func(structs.HostID) bool {
	return func(other structs.HostID) bool { return other == id }
}

// workAfter counts the task starts and requests on a host after a time.
func (s *rounds) workAfter(at time.Duration, id structs.HostID) int {
	count := 0
	for _, e := range s.c.Platform.History.Events() {
		if e.Host == id && e.At >= at && (e.Type == standin.TaskStarted || e.Type == standin.RequestStarted) {
			count++
		}
	}
	return count
}

// busyWorker returns a worker that runs a long task of the round.
func (s *rounds) busyWorker() structs.HostID {
	s.t.Helper()
	for id, host := range s.running() {
		if id.Job == s.longJob.ID {
			return host
		}
	}
	s.t.Fatal("no long task runs")
	return ""
}

// runnerInRackOf returns a runner in the rack of a worker.
func runnerInRackOf(worker structs.HostID) structs.HostID {
	return structs.HostID(strings.Replace(string(worker), "-worker-", "-runner-", 1))
}

// departure is a worker and a runner that leave together.
type departure struct {
	worker, runner structs.HostID
	limit          time.Duration // they must receive no new work after this time
}

// chooseLeaving selects a worker and a runner of one rack and waits until both receive work.
func (s *rounds) chooseLeaving() departure {
	s.t.Helper()
	worker := s.busyWorker()
	d := departure{worker: worker, runner: runnerInRackOf(worker)}
	from := s.now()
	s.c.Await(fmt.Sprintf("%s and %s receive work", d.worker, d.runner), func() bool {
		return s.workAfter(from, d.worker) > 0 && s.workAfter(from, d.runner) > 0
	})
	return d
}

// announce sets the state of both hosts in the host list, which shows it after hostListLag.
func (s *rounds) announce(d *departure, state structs.HostState) {
	s.c.Platform.HostList.SetState(d.worker, state)
	s.c.Platform.HostList.SetState(d.runner, state)
	d.limit = s.now() + hostListLag + leavingLimit
}

// awaitDeparture waits until the long tasks run on other workers and until other workers receive work after the limit,
// and checks that the leaving hosts have received none after it.
func (s *rounds) awaitDeparture(d departure) {
	s.t.Helper()
	s.awaitRunningOn("other workers", func(id structs.HostID) bool { return id != d.worker })
	s.awaitTime(d.limit)
	from := s.now()
	s.c.Await("other workers receive work", func() bool {
		return s.startsAfter(from, func(id structs.HostID) bool { return id != d.worker }) >= 5
	})
	s.checkDeparture(d)
}

// checkDeparture fails the test for work on the leaving hosts after the limit, and for violated invariants.
func (s *rounds) checkDeparture(d departure) {
	s.t.Helper()
	for _, v := range invariants.NoStart(s.c.Platform.History.Events(), d.limit, onHost(d.worker)) {
		s.t.Error(v)
	}
	for _, e := range s.c.Platform.History.OfType(standin.RequestStarted) {
		if e.Host == d.runner && e.At >= d.limit {
			s.t.Errorf("request on %s at %s, limit %s", e.Host, e.At, d.limit)
		}
	}
	s.checkHistory()
}

// Guards against new work on leaving hosts, and against tasks that are lost or run twice when they move away from them:
// when the shard owner is killed at the same time, and when the host list is down before and after it shows the hosts
// as leaving.
func TestLeavingHostsReceiveNoNewWork(t *testing.T) {
	cfg := twoDatacentres()
	cfg.HostListLag = hostListLag
	for i := range cfg.Datacentres {
		cfg.Datacentres[i].WorkersPerRack, cfg.Datacentres[i].RunnersPerRack = 2, 2
	}
	s := newRounds(t, cfg)
	load := startCallers(s.c)
	defer load.close()
	for _, round := range []struct {
		name string
		run  func(*rounds, *departure)
	}{
		{"owner killed", leaveWithoutOwner},
		{"host list down", leaveWithoutList},
	} {
		t.Logf("%s at %s", round.name, s.now())
		s.beginRound()
		d := s.chooseLeaving()
		round.run(s, &d)
		s.announce(&d, structs.HostLive)
		s.endRound()
	}
}

// leaveWithoutOwner kills the owner of the worker's shard right after the departure is announced.
func leaveWithoutOwner(s *rounds, d *departure) {
	owner := s.c.Owner(s.longJob.Home)
	s.announce(d, structs.HostLeaving)
	s.c.Kill(owner)
	s.awaitDeparture(*d)
	s.c.Restart(owner)
	s.c.AwaitReady(owner)
}

// leaveWithoutList announces the departure while the host list is down. The hosts receive work until the list shows
// them as leaving. Then the list fails again and the owner is killed: its successor must not fall back on an older
// list.
func leaveWithoutList(s *rounds, d *departure) {
	list := s.c.Platform.HostList
	list.SetDown(true)
	s.announce(d, structs.HostLeaving)
	limitWithoutOutage := d.limit
	s.c.Await("the leaving hosts receive work while the host list is down", func() bool {
		return s.workAfter(limitWithoutOutage, d.worker) > 0 && s.workAfter(limitWithoutOutage, d.runner) > 0
	})
	list.SetDown(false)
	d.limit = s.now() + leavingLimit
	s.awaitDeparture(*d)
	list.SetDown(true)
	shard := s.longJob.Home
	owner := s.c.Owner(shard)
	s.c.Kill(owner)
	s.c.Await("another owner of "+shard.String(), func() bool {
		now := s.c.Owner(shard)
		return now != "" && now != owner
	})
	from := s.now()
	s.c.Await("other workers of the data centre receive work", func() bool {
		return s.startsAfter(from, invariants.InDatacentre(shard.Datacentre)) > 0
	})
	s.checkDeparture(*d)
	list.SetDown(false)
	s.c.Restart(owner)
	s.c.AwaitReady(owner)
}
