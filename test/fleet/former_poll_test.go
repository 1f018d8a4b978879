package fleet

import (
	"testing"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/standin/fleet"
	"fulmarcourse.example/fulmarcourse/test/poll"
)

// fullWorkerJob is a job of services each of which needs a whole worker.
const fullWorkerJob = `{"spec":"text","steps":[{"count":2,"cpu":16000,"memMb":100,"longRunning":true,"mayMiss":1}]}`

// formerPollDelay is the time from the return of a worker until a poll for its former process is carried out there.
const formerPollDelay = 5 * time.Second

// newReturnedWorkerSite starts a site with a number of hosts and two workers, which grant longTaskLease and run a service each that needs all of a
// worker. It returns the site and the first worker once that one has returned under its ID and both services run.
func newReturnedWorkerSite(t *testing.T, seed uint64, hosts int) (*site, *fleet.Worker) {
	t.Helper()
	s := newSite(t, fleet.Config{
		Seed: seed, Datacentres: []string{"dc1"}, Workers: 2, RunTime: shortTasks, MaxTaskLease: longTaskLease, Uptime: time.Hour,
		Requires: func(string) fleet.Requirements {
			return fleet.Requirements{Resources: fleet.Resources{CPU: 16000, MemMB: 100}}
		},
	}, hosts)
	s.submit(0, longRunningID, fullWorkerJob)
	poll.Until(t, "all services run", func() bool { return s.runningNow() == 2 })
	s.awaitPolls()
	w := s.platform.Workers()[0]
	w.Crash()
	poll.Until(t, "all services run again", func() bool { return s.runningNow() == 2 })
	return s, w
}

// Scenario: a worker returns under its ID and runs a service again; seconds later it carries out a poll for its former process, which extends
// its leases by the longest one that it grants. Then it is cut off, and another worker joins. Guards against a service that runs in both places.
func TestServiceRunsOnceAfterAPollForAFormerProcess(t *testing.T) {
	t.Parallel()
	s, w := newReturnedWorkerSite(t, 51, 1)
	s.awaitPolls()
	time.Sleep(formerPollDelay)
	w.CarryOutFormerPoll()
	w.SetFaults(fleet.WorkerFaults{Unresponsive: true})
	if _, err := s.platform.AddWorker(); err != nil {
		t.Fatal(err)
	}
	poll.Until(t, "the service of the worker that is cut off runs again", func() bool { return s.runningServices(w.ID) == 2 })
	s.checkHistory()
}
