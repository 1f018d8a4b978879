package fleet

import (
	"testing"
	"time"

	"fulmarcourse.example/fulmarcourse/pkg/standin/fleet"
	"fulmarcourse.example/fulmarcourse/test/poll"
)

const (
	// maxServiceOutage is how long the platform lets a service that has capacity be away after its last run: 6 s, and 3 s more.
	maxServiceOutage = 9 * time.Second
	// longTaskLease is the longest lease that workers of some sites grant. It outlasts maxServiceOutage.
	longTaskLease = 10 * time.Second
	// gone is longer than any test.
	gone = time.Hour
)

// Scenario: a worker that runs services is lost for good, and nothing else happens, or the process of the owner is killed at the same
// moment. Guards against services that wait, beside free workers, for task leases which outlast the time that the platform allows.
func TestServicesOfALostWorkerRunAgainInTime(t *testing.T) {
	for name, c := range map[string]struct{ silent, ownerKilled bool }{
		"connections closed":                   {},
		"no response":                          {silent: true},
		"connections closed, and owner killed": {ownerKilled: true},
		"no response, and owner killed":        {silent: true, ownerKilled: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newServiceSite(t, 3)
			owner := s.owner()
			s.loseWorkerWithServices(c.silent)
			lost := time.Now()
			if c.ownerKilled {
				s.kill(owner)
			}
			poll.Until(t, "all services run again", func() bool { return s.runningNow() == 3 })
			s.checkOutage(lost)
			s.checkHistory()
		})
	}
}

// newServiceSite starts a site with a number of hosts, whose workers grant longTaskLease, and returns it once all tasks of a service run.
func newServiceSite(t *testing.T, hosts int) *site {
	t.Helper()
	s := newSite(t, fleet.Config{Seed: 50, Datacentres: []string{"dc1", "dc2"}, Workers: 4, RunTime: shortTasks,
		ClockDrift: fleet.MaxClockDrift, MaxTaskLease: longTaskLease}, hosts)
	s.submit(0, longRunningID, longRunningJob)
	poll.Until(t, "all services run", func() bool { return s.runningNow() == 3 })
	s.awaitPolls()
	return s
}

// loseWorkerWithServices ends the process of a worker that runs a service, for good. If it is silent, calls to its address get no response;
// otherwise their connections are closed.
func (s *site) loseWorkerWithServices(silent bool) {
	s.t.Helper()
	for _, w := range s.platform.Workers() {
		if s.runningServices("")-s.runningServices(w.ID) > 0 {
			mustReturn(w, fleet.Return{After: gone, OldSilent: silent})
			return
		}
	}
	s.t.Fatal("no worker runs a service")
}

// checkOutage fails the test if a service that ended at the loss of its worker started again later than the platform allows, beside the
// time for which the test process, and with it the platform, stood still.
func (s *site) checkOutage(lost time.Time) {
	s.t.Helper()
	s.checkRestartedBy(lost, lost.Add(maxServiceOutage))
}
