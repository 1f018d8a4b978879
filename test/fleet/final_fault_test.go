package fleet

import (
	"strings"
	"syscall"
	"testing"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/standin/fleet"
	"fulmarcourse.example/fulmarcourse/test/poll"
)

const (
	// outage is how long all hosts are down.
	outage = time.Second
	// maxLeaseWait bounds the time for which an owner waits for the leases of workers that do not answer: 1.2 s of the owner's record,
	// 1.03 times the leases of 6 s, and 0.5 s.
	maxLeaseWait = 8 * time.Second
)

// outages name what happens to the workers while all hosts are down.
var outages = map[string]struct {
	change  func(workers []*fleet.Worker)
	silent  bool // the first worker does not answer any more
	expires bool // the leases of a process have to expire, since nothing shows that it has ended
}{
	"nothing": {change: func([]*fleet.Worker) {}},
	"half of the workers return under their ids": {change: func(workers []*fleet.Worker) {
		for _, w := range workers[:len(workers)/2] {
			w.Crash()
		}
	}},
	"all workers return under their ids": {change: func(workers []*fleet.Worker) {
		for _, w := range workers {
			w.Crash()
		}
	}},
	"all workers return under new ids": {change: func(workers []*fleet.Worker) {
		for _, w := range workers {
			w.CrashUnderNewID()
		}
	}},
	"all workers return under their ids at other addresses": {change: func(workers []*fleet.Worker) {
		for _, w := range workers {
			mustReturn(w, fleet.Return{NewAddress: true})
		}
	}},
	"two workers take each other's address": {change: func(workers []*fleet.Worker) {
		first, second := workers[0].Endpoint(), workers[1].Endpoint()
		mustReturn(workers[0], fleet.Return{At: second})
		mustReturn(workers[1], fleet.Return{At: first})
	}},
	"a worker returns under its id elsewhere, and another one under a new id at its address": {expires: true, change: func(workers []*fleet.Worker) {
		former := workers[0].Endpoint()
		mustReturn(workers[0], fleet.Return{NewAddress: true})
		mustReturn(workers[1], fleet.Return{At: former, NewID: true})
	}},
	"a worker falls silent and another drains": {silent: true, expires: true, change: func(workers []*fleet.Worker) {
		workers[0].SetFaults(fleet.WorkerFaults{Unresponsive: true})
		workers[1].Drain()
	}},
}

// Scenario: all hosts lose power at the same moment, right after jobs were accepted, and workers crash, return, drain or fall silent
// before the first host is back. Guards against accepted jobs and services that wait beside idle workers under the next owner, which
// knows of the workers only what the former one has stored, and against tasks that run twice.
func TestAllHostsAreLostAfterASubmission(t *testing.T) {
	for name, test := range outages {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, fleet.Config{Seed: 9, Datacentres: []string{"dc1", "dc2"}, Workers: 6, RunTime: shortTasks}, 3)
			s.submit(0, longRunningID, longRunningJob)
			poll.Until(t, "all services run", func() bool { return s.runningNow() == 3 })
			for n := range 6 {
				s.submit(n%3, jobID(n), twoStepJob)
			}
			s.killAll()
			workers, silent, limit := s.platform.Workers(), "", maxTakeover
			test.change(workers)
			if test.silent {
				silent = workers[0].ID
			}
			if test.expires {
				limit += maxLeaseWait
			}
			time.Sleep(outage)
			s.startAll()
			started := time.Now()
			for n := range 6 {
				s.awaitState(n%3, jobID(n), "completed")
			}
			poll.Until(t, "all services run again", func() bool { return s.runningServices(silent) == 3 })
			now := time.Now()
			took, stalled := now.Sub(started).Round(time.Millisecond), s.stalls.between(started, now).Round(time.Millisecond)
			// The store and the workers do not answer while the test process stands still, and the bound is for hosts that reach them.
			if took-stalled > limit {
				t.Errorf("jobs and services waited %v after the hosts were back, beside stalls of the test process of %v, want at most %v", took, stalled, limit)
			} else {
				t.Logf("all ran after %v, beside stalls of the test process of %v", took, stalled)
			}
			s.checkHistory()
		})
	}
}

// mustReturn makes a worker crash and return. A new endpoint always has an address.
func mustReturn(w *fleet.Worker, r fleet.Return) {
	if err := w.CrashAndReturn(r); err != nil {
		panic(err)
	}
}

// killAll kills all hosts at the same moment.
func (s *site) killAll() {
	for n := range s.hosts {
		s.signal(n, syscall.SIGKILL)
	}
	for _, h := range s.hosts {
		<-h.process.exited
	}
}

// runningServices returns the number of tasks of the job longRunningID that run, except on the worker named silent.
func (s *site) runningServices(silent string) int {
	n := 0
	for _, r := range s.platform.History() {
		if r.Ended.IsZero() && r.Worker != silent && strings.HasPrefix(r.Task, longRunningID) {
			n++
		}
	}
	return n
}
