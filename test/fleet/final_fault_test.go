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
	change func(workers []*fleet.Worker)
	silent bool // the first worker does not answer any more
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
	"a worker falls silent and another drains": {silent: true, change: func(workers []*fleet.Worker) {
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
				silent, limit = workers[0].ID, maxTakeover+maxLeaseWait
			}
			time.Sleep(outage)
			s.startAll()
			started := time.Now()
			for n := range 6 {
				s.awaitState(n%3, jobID(n), "completed")
			}
			poll.Until(t, "all services run again", func() bool { return s.runningServices(silent) == 3 })
			if took := time.Since(started); took > limit {
				t.Errorf("jobs and services waited %v after the hosts were back, want at most %v", took.Round(time.Millisecond), limit)
			} else {
				t.Logf("all ran after %v", took.Round(time.Millisecond))
			}
			s.checkHistory()
		})
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
