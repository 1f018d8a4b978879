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
	// leavingLimit is the time after which a leaving host receives no new work, from its appearance in the host list (I8).
	leavingLimit = 3 * time.Second
	hostListLag  = time.Second
	callInterval = 50 * time.Millisecond
)

// callers sends idempotent requests through every entry host until it is closed.
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
					// Entry hosts are killed meanwhile, so a call may fail.
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

// only selects one host.
func only(id structs.HostID) func(structs.HostID) bool {
	return func(other structs.HostID) bool { return other == id }
}

// workAfter counts task starts and requests on a host after a time.
func (s *shift) workAfter(at time.Duration, id structs.HostID) int {
	count := 0
	for _, e := range s.c.Platform.History.Events() {
		if e.Host == id && e.At >= at && (e.Type == standin.TaskStarted || e.Type == standin.RequestStarted) {
			count++
		}
	}
	return count
}

// busyWorker returns a worker on which a long task of the round runs.
func (s *shift) busyWorker() structs.HostID {
	s.t.Helper()
	for id, host := range s.running() {
		if id.Job == s.long.ID {
			return host
		}
	}
	s.t.Fatal("no long task runs")
	return ""
}

// runnerBeside returns a runner of the same rack as a worker.
func runnerBeside(worker structs.HostID) structs.HostID {
	return structs.HostID(strings.Replace(string(worker), "-worker-", "-runner-", 1))
}

// departure is a worker and a runner that leave.
type departure struct {
	worker, runner structs.HostID
	limit          time.Duration // no new work from then on
}

// chooseLeaving returns a worker and a runner that receive work now.
func (s *shift) chooseLeaving() departure {
	s.t.Helper()
	worker := s.busyWorker()
	d := departure{worker: worker, runner: runnerBeside(worker)}
	from := s.now()
	s.c.Await(fmt.Sprintf("%s and %s receive work", d.worker, d.runner), func() bool {
		return s.workAfter(from, d.worker) > 0 && s.workAfter(from, d.runner) > 0
	})
	return d
}

// announce puts the departure in the host list, where it appears after the lag.
func (s *shift) announce(d *departure, state structs.HostState) {
	s.c.Platform.HostList.SetState(d.worker, state)
	s.c.Platform.HostList.SetState(d.runner, state)
	d.limit = s.now() + hostListLag + leavingLimit
}

// awaitGone waits until the long tasks run elsewhere and the limit is over, and checks that no work arrived after it
// although there was some.
func (s *shift) awaitGone(d departure) {
	s.t.Helper()
	s.awaitRunningOn("other workers", func(id structs.HostID) bool { return id != d.worker })
	s.awaitTime(d.limit)
	from := s.now()
	s.c.Await("other workers receive work", func() bool {
		return s.startsAfter(from, func(id structs.HostID) bool { return id != d.worker }) >= 5
	})
	s.checkGone(d)
}

func (s *shift) checkGone(d departure) {
	s.t.Helper()
	for _, v := range invariants.NoStart(s.c.Platform.History.Events(), d.limit, only(d.worker)) {
		s.t.Error(v)
	}
	for _, e := range s.c.Platform.History.OfType(standin.RequestStarted) {
		if e.Host == d.runner && e.At >= d.limit {
			s.t.Errorf("request on %s at %s, limit %s", e.Host, e.At, d.limit)
		}
	}
	s.checkHistory()
}

// Guards against new work on hosts that leave, and against tasks that are lost or run twice when they leave a worker:
// when the shard owner dies meanwhile, and when the host list is down before and after it shows the departure.
func TestLeavingHostsReceiveNoNewWork(t *testing.T) {
	cfg := twoDatacentres()
	cfg.HostListLag = hostListLag
	for i := range cfg.Datacentres {
		cfg.Datacentres[i].WorkersPerRack, cfg.Datacentres[i].RunnersPerRack = 2, 2
	}
	s := newShift(t, cfg)
	load := startCallers(s.c)
	defer load.close()
	for _, round := range []struct {
		name string
		run  func(*shift, *departure)
	}{
		{"owner killed", leaveWithoutOwner},
		{"host list down", leaveWithoutList},
	} {
		t.Logf("%s at %s", round.name, s.now())
		s.begin()
		d := s.chooseLeaving()
		round.run(s, &d)
		s.announce(&d, structs.HostLive)
		s.end()
	}
}

// leaveWithoutOwner kills the owner of the worker's shard when the departure is announced.
func leaveWithoutOwner(s *shift, d *departure) {
	owner := s.c.Owner(s.long.Home)
	s.announce(d, structs.HostLeaving)
	s.c.Kill(owner)
	s.awaitGone(*d)
	s.c.Restart(owner)
	s.c.AwaitReady(owner)
}

// leaveWithoutList announces the departure while the host list is down. Work goes on until the list shows it. Then the
// list fails again and the owner dies: its successor must not fall back on an older list.
func leaveWithoutList(s *shift, d *departure) {
	list := s.c.Platform.HostList
	list.SetDown(true)
	s.announce(d, structs.HostLeaving)
	unseen := d.limit
	s.c.Await("work on the hosts that leave, while nobody can know it", func() bool {
		return s.workAfter(unseen, d.worker) > 0 && s.workAfter(unseen, d.runner) > 0
	})
	list.SetDown(false)
	d.limit = s.now() + leavingLimit
	s.awaitGone(*d)
	list.SetDown(true)
	shard := s.long.Home
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
	s.checkGone(*d)
	list.SetDown(false)
	s.c.Restart(owner)
	s.c.AwaitReady(owner)
}
